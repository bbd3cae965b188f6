//! The targets of the catalogue, as this router sees them.

use std::collections::{BTreeMap, BTreeSet};

use crate::ascending::AscendingLookup;
use crate::catalogue::entry::{DataCentreState, Entry};
use crate::catalogue::{Catalogue, TargetView};
use crate::input::{Report, TargetLoad, Vm, VmRole};
use crate::membership::{Members, best};
use crate::prelude::*;
use crate::target::health::Health;
use crate::target::message::{Limit, Seen, TargetPart};
use crate::target::{Cause, Config, Policy, Sign};
use crate::version::evidence::Load;

/// A list from which more than one part in so many of the targets vanished at once is not believed.
const VANISHED_PARTS: usize = 2;
/// How long a router that has become the owner heeds what the former owner tells.
const HANDOVER: Duration = Duration::from_secs(5);
/// How long a peer's word that a target is leaving holds without being repeated.
const LEAVING_HOLDS: Duration = Duration::from_secs(15);

/// What operators see of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It may be given as much as its limit says.
    Warm,
    /// Its limit is still below its slots.
    Warming(Cause),
    /// It does not answer and is tried again later.
    Held,
    /// Its VM is leaving or gone.
    Leaving,
    /// Its data centre is out.
    Out,
}

/// Health, limit and owner of every target.
#[derive(Debug)]
pub struct Targets {
    me: RouterId,
    cfg: Config,
    known: BTreeMap<TargetId, Known>,
    /// What the users of a target told its owner last.
    seen_by: BTreeMap<(TargetId, RouterId), Seen>,
    vms: BTreeMap<u32, Presence>,
    leaving_told: BTreeMap<TargetId, Time>,
    out: BTreeSet<String>,
    /// The state of the catalogue that was followed last.
    followed: Option<u64>,
    live: Vec<RouterId>,
    /// When this router started, until it knows who owns what.
    unsettled: Option<Time>,
    next: Time,
}

/// What the VM list says of a target's VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Listed,
    Leaving,
    Vanished,
}

#[derive(Debug)]
struct Known {
    health: Health,
    /// The owner and its standbys, in their order.
    rank: Vec<RouterId>,
    /// What the owner told last.
    told: Option<u32>,
    /// What was told to standbys, and when.
    tells: BTreeMap<RouterId, (Time, u32)>,
    seen: Seen,
    /// What the owner has been sent of `seen`.
    sent: Option<(RouterId, Seen)>,
    used: Option<Time>,
    /// Since when this router owns it.
    owned: Time,
    /// The new owner, until it has been told the limit.
    handover: Option<RouterId>,
}

impl Targets {
    /// Returns the state of a router that has just started and knows no target.
    pub const fn new(me: RouterId, cfg: Config, now: Time) -> Self {
        Self {
            me,
            cfg,
            known: BTreeMap::new(),
            seen_by: BTreeMap::new(),
            vms: BTreeMap::new(),
            leaving_told: BTreeMap::new(),
            out: BTreeSet::new(),
            followed: None,
            live: Vec::new(),
            unsettled: Some(now),
            next: Time(0),
        }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns how many requests the whole fleet may have at a target. It is this router's to decide
    /// only if it owns the target; it is zero until the router knows the owner. In a partition each
    /// side has an owner, and how much of the limit each may hand out is for the slots to decide.
    pub fn limit(&self, target: TargetId) -> u32 {
        let Some(known) = self
            .known
            .get(&target)
            .filter(|known| known.owner().is_some())
        else {
            return 0;
        };
        let own = match self.cfg.policy {
            Policy::WarmUp => known.health.limit,
            Policy::Full => known.health.slots,
        };
        match known.told {
            Some(told) if known.owner() != Some(self.me) => told,
            _ => own,
        }
    }

    /// Returns the load of a target, for comparisons at like load: by its last report, or by the
    /// requests of this router alone if there are more of them by now.
    pub fn load(&self, target: TargetId, own: u32) -> Load {
        self.known.get(&target).map_or(Load::Low, |known| {
            Load::of(known.health.running().max(own), known.health.slots)
        })
    }

    /// Returns the router that keeps the limit of a target.
    pub fn owner(&self, target: TargetId) -> Option<RouterId> {
        self.known.get(&target)?.owner()
    }

    /// Says whether a target may be given new work, to be asked right before each dispatch.
    pub fn usable(&self, now: Time, view: &TargetView<'_>) -> bool {
        let held = |known: &Known| !known.health.is_free(now);
        // A data centre that is in again serves once its targets have been made cold.
        let out = view.out || self.out.contains(&view.entry.data_centre);
        !out && !self.is_leaving(view) && !self.known.get(&view.id).is_some_and(held)
    }

    /// Returns what says of one target after the other whether it may be given new work, as [`usable`](Self::usable) does.
    /// In ascending order they take one pass over what is known.
    pub fn usable_each(&self, now: Time) -> impl FnMut(&TargetView<'_>) -> bool {
        let mut known = AscendingLookup::new(&self.known);
        let any_leaving = self.any_leaving();
        move |view| {
            let is_held = known.get(view.id).is_some_and(|it| !it.health.is_free(now));
            let out = view.out || self.out.contains(&view.entry.data_centre);
            !(out || is_held || any_leaving && self.is_leaving(view))
        }
    }

    /// Says whether a target may be given work apart from passing failures: its data centre is in, and it is not
    /// about to leave.
    pub fn serves(&self, view: &TargetView<'_>) -> bool {
        !view.out && !self.is_leaving(view)
    }

    /// Returns the state of a target for operators.
    pub fn condition(&self, now: Time, view: &TargetView<'_>) -> Condition {
        if view.out {
            return Condition::Out;
        }
        if self.is_leaving(view) {
            return Condition::Leaving;
        }
        match self.known.get(&view.id) {
            None => Condition::Warming(Cause::New),
            Some(known) if !known.health.is_free(now) => Condition::Held,
            Some(known) => known
                .health
                .cause
                .filter(|_| known.health.limit < known.health.slots)
                .map_or(Condition::Warm, Condition::Warming),
        }
    }

    /// Returns the targets whose reports and cache events this router needs: those that it owns and
    /// those that it used within the last minute.
    pub fn watched(&self, now: Time) -> impl Iterator<Item = TargetId> {
        let recent = move |at: Time| now.since(at) < Duration::from_secs(60);
        let needed =
            move |known: &Known| known.owner() == Some(self.me) || known.used.is_some_and(recent);
        self.known
            .iter()
            .filter(move |(_, known)| needed(known))
            .map(|(&target, _)| target)
    }

    /// Notes that a request goes to a target.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId) {
        if let Some(known) = self.known.get_mut(&target) {
            known.used = Some(now);
        }
    }

    /// Takes in what an attempt showed of a target.
    pub fn on_sign(&mut self, cx: &mut Context, target: TargetId, sign: Sign) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        match sign {
            Sign::Finished { .. } | Sign::Flowing => known.seen.finished += 1,
            Sign::Late | Sign::Declined | Sign::Failed => known.seen.bad += 1,
            Sign::Broken => known.seen.broken += 1,
            Sign::Started { .. } | Sign::Unanswered | Sign::Silent => {}
        }
        let cause = known.health.on_sign(cx.now, &self.cfg, sign);
        known.distrust(cause.is_some() || sign == Sign::Broken);
        if sign == Sign::Broken && known.owner() != Some(self.me) {
            known.tell_owner(cx);
        }
        report_cold(cx, target, cause);
    }

    /// Takes in a target's report.
    pub fn on_report(&mut self, cx: &mut Context, target: TargetId, report: Report) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        let cause = known.health.on_report(cx.now, &self.cfg, report);
        known.distrust(cause.is_some());
        report_cold(cx, target, cause);
    }

    /// Takes in a target's load that came along with an answer.
    pub fn on_load(&mut self, target: TargetId, load: TargetLoad) {
        if let Some(known) = self.known.get_mut(&target) {
            known.health.on_load(load);
        }
    }

    /// Takes in the VM list. A VM that was listed and is not any more has gone, unless so many went
    /// at once that the list itself is in doubt.
    pub fn on_vms(&mut self, vms: &[Vm]) {
        let targets = vms.iter().filter(|vm| vm.role == VmRole::Target);
        let listed: BTreeMap<u32, bool> = targets.map(|vm| (vm.id, vm.leaving)).collect();
        let present =
            |(id, state): (&u32, &Presence)| (*state != Presence::Vanished).then_some(*id);
        let present: Vec<u32> = self.vms.iter().filter_map(present).collect();
        let vanished: Vec<u32> = present
            .iter()
            .copied()
            .filter(|id| !listed.contains_key(id))
            .collect();
        if vanished.len() <= 1 || vanished.len() * VANISHED_PARTS <= present.len() {
            for id in vanished {
                self.vms.insert(id, Presence::Vanished);
            }
        }
        for (id, leaving) in listed {
            let state = if leaving {
                Presence::Leaving
            } else {
                Presence::Listed
            };
            self.vms.insert(id, state);
        }
    }

    /// Takes in what a peer tells.
    pub fn on_part(&mut self, cx: &mut Context, from: RouterId, part: &TargetPart) {
        for &target in &part.leaving {
            self.leaving_told.insert(target, cx.now);
        }
        for told in &part.limits {
            if let Some(known) = self.known.get_mut(&told.target) {
                known.on_told(cx, told.limit);
            }
        }
        for seen in &part.seen {
            self.on_seen(cx, from, seen);
        }
    }

    /// Follows the catalogue, the fleet and the clock, and queues what is due to peers.
    pub fn on_time(&mut self, cx: &mut Context, catalogue: &Catalogue, members: &Members) {
        if cx.now < self.next {
            return;
        }
        self.next = cx.now + self.cfg.period;
        if self.followed != Some(catalogue.changes()) {
            self.followed = Some(catalogue.changes());
            self.follow_catalogue(cx.now, catalogue);
            self.follow_data_centres(cx, catalogue);
        }
        self.follow_members(cx.now, members);
        for (&target, known) in &mut self.known {
            let cause = known.health.on_silence(cx.now, &self.cfg);
            report_cold(cx, target, cause);
        }
        self.leaving_told
            .retain(|_, at| cx.now.since(*at) < LEAVING_HOLDS);
        self.tell(cx, catalogue, members);
    }

    fn is_leaving(&self, view: &TargetView<'_>) -> bool {
        self.is_listed_as_leaving(view) || self.leaving_told.contains_key(&view.id)
    }

    fn any_leaving(&self) -> bool {
        let gone = |presence: &Presence| *presence != Presence::Listed;
        !self.leaving_told.is_empty() || self.vms.values().any(gone)
    }

    fn is_listed_as_leaving(&self, view: &TargetView<'_>) -> bool {
        let state = self.vms.get(&view.entry.vm);
        matches!(state, Some(Presence::Leaving | Presence::Vanished))
    }

    fn on_seen(&mut self, cx: &mut Context, from: RouterId, seen: &Seen) {
        let before = self.seen_by.insert((seen.target, from), *seen);
        let Some(known) = self.known.get_mut(&seen.target) else {
            return;
        };
        // The first totals of a user only say where the counting starts.
        let Some(before) = before.filter(|_| known.owner() == Some(self.me)) else {
            return;
        };
        if seen.broken > before.broken {
            known.health.on_broken(cx.now);
        }
        if seen.bad > before.bad {
            known.health.halve(cx.now, &self.cfg);
        }
        let finished = seen.finished.saturating_sub(before.finished);
        if finished > 0 {
            known.health.grow(cx.now, &self.cfg, finished);
        }
    }

    fn follow_catalogue(&mut self, now: Time, catalogue: &Catalogue) {
        self.known
            .retain(|&target, _| catalogue.target(target).is_some());
        let known = &self.known;
        self.seen_by
            .retain(|(target, _), _| known.contains_key(target));
        for view in catalogue.targets() {
            let slots = view.entry.slots;
            let known = self.known.entry(view.id).or_insert_with(|| {
                self.live.clear();
                Known::new(now, view.id, slots)
            });
            known.health.slots = slots;
            known.health.limit = known.health.limit.min(slots);
        }
    }

    /// Makes the targets of a data centre cold when it goes out, so that they are cold on return.
    fn follow_data_centres(&mut self, cx: &mut Context, catalogue: &Catalogue) {
        let entries = catalogue.iter().filter_map(|stored| stored.entry.as_ref());
        let out = entries.filter_map(|entry| match entry {
            Entry::DataCentre(entry) if entry.state == DataCentreState::Out => {
                Some(entry.name.clone())
            }
            _ => None,
        });
        let out: BTreeSet<String> = out.collect();
        let changed: BTreeSet<String> = out.symmetric_difference(&self.out).cloned().collect();
        self.out = out;
        if changed.is_empty() {
            return;
        }
        for view in catalogue.targets() {
            if !changed.contains(&view.entry.data_centre) {
                continue;
            }
            if let Some(known) = self.known.get_mut(&view.id) {
                let cause = known.health.cool(cx.now, Cause::Returned);
                known.told = None;
                report_cold(cx, view.id, cause);
            }
        }
    }

    /// Ranks the routers for each target again if the set of live ones has changed.
    fn follow_members(&mut self, now: Time, members: &Members) {
        let live: Vec<RouterId> = members.live(now).collect();
        let listed = members.peers().filter(|(_, peer)| !peer.leaving).count() + 1;
        let lost = listed.saturating_sub(live.len());
        let waits = |since: Time| lost > 0 && now.since(since) < members.timeout();
        self.unsettled = self.unsettled.filter(|&since| waits(since));
        if live == self.live || self.unsettled.is_some() {
            return;
        }
        let places = self.cfg.standbys + 1;
        for (&target, known) in &mut self.known {
            let rank = best(u64::from(target.0), live.iter().copied(), places);
            let former = core::mem::replace(&mut known.rank, rank);
            let owner = known.owner();
            if former.first() == Some(&self.me) && owner != Some(self.me) {
                known.handover = owner;
            }
            if former.first() != Some(&self.me) && owner == Some(self.me) {
                known.owned = now;
                known.health.take_over(now, known.told.take());
            }
        }
        self.live = live;
    }

    /// Queues reports to owners, limits to standbys, and word of leaving targets to their owners.
    fn tell(&mut self, cx: &mut Context, catalogue: &Catalogue, members: &Members) {
        let mut parts: BTreeMap<RouterId, TargetPart> = BTreeMap::new();
        // Looking every target up costs more than everything else here, and nearly always none is leaving.
        let views = self.any_leaving().then(|| catalogue.targets());
        for view in views.into_iter().flatten() {
            for to in self.hear_of_leaving(&view) {
                parts.entry(to).or_default().leaving.push(view.id);
            }
        }
        for (&target, known) in &mut self.known {
            if known.owner() == Some(self.me) {
                known.tell_standbys(cx.now, &self.cfg, target, &mut parts);
                continue;
            }
            if let Some(owner) = known.handover.take() {
                let limit = known.health.limit;
                let part = parts.entry(owner).or_default();
                part.limits.push(Limit { target, limit });
            }
            if let Some((owner, seen)) = known.unsent() {
                parts.entry(owner).or_default().seen.push(seen);
            }
        }
        for (to, part) in parts {
            let frame_is_due = members.partners().any(|partner| partner == to);
            let urgency = if frame_is_due {
                Urgency::Periodic
            } else {
                Urgency::Now
            };
            cx.send(to, Part::Target(part), urgency);
        }
    }

    /// Returns the routers to tell that a target is leaving: its owner, or from the owner all that
    /// use the target. Only what this router's own list shows is told to the owner, so that routers
    /// do not keep an old word alive between them.
    fn hear_of_leaving(&self, view: &TargetView<'_>) -> Vec<RouterId> {
        let Some(owner) = self.owner(view.id) else {
            return Vec::new();
        };
        if owner != self.me {
            let tell = self.is_listed_as_leaving(view);
            return tell.then_some(owner).into_iter().collect();
        }
        if !self.is_leaving(view) {
            return Vec::new();
        }
        let users = (view.id, RouterId(0))..=(view.id, RouterId(u32::MAX));
        let users = self.seen_by.range(users).map(|((_, user), _)| *user);
        users.filter(|user| self.live.contains(user)).collect()
    }
}

impl Known {
    fn new(now: Time, target: TargetId, slots: u32) -> Self {
        Self {
            health: Health::new(now, slots),
            rank: Vec::new(),
            told: None,
            tells: BTreeMap::new(),
            seen: Seen {
                target,
                ..Seen::default()
            },
            sent: None,
            used: None,
            owned: now,
            handover: None,
        }
    }

    fn owner(&self) -> Option<RouterId> {
        self.rank.first().copied()
    }

    /// Tells the owner at once, because others may still send to a target that was restarted.
    fn tell_owner(&mut self, cx: &mut Context) {
        if let Some((owner, seen)) = self.unsent() {
            let part = TargetPart {
                seen: vec![seen],
                ..TargetPart::default()
            };
            cx.send(owner, Part::Target(part), Urgency::Now);
        }
    }

    /// Forgets a limit that the owner told before this router saw the target become cold.
    fn distrust(&mut self, cold: bool) {
        if cold && self.told.is_some() {
            self.told = Some(1);
        }
    }

    /// Takes in a limit from the owner, or from the former owner if this router has just become it.
    fn on_told(&mut self, cx: &Context, limit: u32) {
        if self.owner() != Some(cx.me) {
            self.told = Some(limit);
            return;
        }
        let fresh = cx.now.since(self.owned) < HANDOVER;
        if fresh && self.health.cause == Some(Cause::New) && self.health.limit < limit / 2 {
            self.health.take_over(cx.now, Some(limit));
        }
    }

    /// Returns what the owner has not been sent yet, and notes it as sent. The totals go
    /// out after the first dispatch already, so that the owner knows where the counting starts.
    fn unsent(&mut self) -> Option<(RouterId, Seen)> {
        let owner = self.owner()?;
        self.used?;
        let due = (owner, self.seen);
        if self.sent == Some(due) {
            return None;
        }
        self.sent = Some(due);
        Some(due)
    }

    fn tell_standbys(
        &mut self,
        now: Time,
        cfg: &Config,
        target: TargetId,
        parts: &mut BTreeMap<RouterId, TargetPart>,
    ) {
        let limit = self.health.limit;
        let standbys = self.rank.get(1..).unwrap_or_default();
        self.tells.retain(|to, _| standbys.contains(to));
        for &to in standbys {
            let known = self.tells.get(&to);
            if known.is_some_and(|&(at, told)| told == limit && now.since(at) < cfg.repeat) {
                continue;
            }
            self.tells.insert(to, (now, limit));
            let part = parts.entry(to).or_default();
            part.limits.push(Limit { target, limit });
        }
    }
}

fn report_cold(cx: &mut Context, target: TargetId, cause: Option<Cause>) {
    if let Some(cause) = cause {
        cx.count(Counter::TargetCold);
        let subject = format!("{target} is cold: {}", cause.as_str());
        cx.notice(NoticeKind::Target, subject);
    }
}
