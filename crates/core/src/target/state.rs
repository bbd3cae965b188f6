//! The health, limits and owners of all targets in the catalogue, as known to this router.

use std::collections::{BTreeMap, BTreeSet};

use crate::ascending::AscendingLookup;
use crate::catalogue::entry::{DataCentreState, Entry};
use crate::catalogue::{Catalogue, TargetView};
use crate::input::{Report, TargetLoad, TargetNotice, TargetState, Vm, VmRole};
use crate::membership::{Members, best};
use crate::prelude::*;
use crate::target::health::Health;
use crate::target::message::{Limit, TargetPart, Totals};
use crate::target::{Cause, Config, Notices, Policy, Signal, Standing};
use crate::version::evidence::Load;

/// The reciprocal of the fraction of targets that may disappear from the VM list at once. If more
/// disappear, the list is assumed to be wrong.
const VANISHED_DIVISOR: usize = 2;
/// How long a new owner accepts limits from the former owner.
const HANDOVER_WINDOW: Duration = Duration::from_secs(5);
/// How long a peer's notice that a target is leaving is valid unless it is repeated.
const LEAVING_NOTICE_VALID: Duration = Duration::from_secs(15);
/// The time after a peer's notice within which a state that arrives may have been written before
/// it: the delay of the store plus the interval at which targets write their states.
const STATE_LAG_MAX: Duration = Duration::from_secs(2);

/// The state of a target, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The target's limit has reached its slots since the target was last cold.
    Warm,
    /// The target's limit has not reached its slots since the target was last cold.
    Warming(Cause),
    /// The target did not answer, and is tried again after a back-off.
    Held,
    /// The target's VM is leaving or removed.
    Leaving,
    /// The target's data centre is out of service.
    Out,
}

/// The health, limit and owner of every target.
#[derive(Debug)]
pub struct Targets {
    me: RouterId,
    cfg: Config,
    known: BTreeMap<TargetId, Known>,
    /// The last totals that this router received from each router that uses a target.
    peer_totals: BTreeMap<(TargetId, RouterId), Totals>,
    vms: BTreeMap<u32, Presence>,
    /// When a peer last sent a notice that a target is leaving.
    leaving_notices: BTreeMap<TargetId, Time>,
    /// What targets stated in answers to this router.
    notices: Notices,
    /// The data centres that are out of service.
    out: BTreeSet<String>,
    /// The change counter of the catalogue when it was last applied.
    followed: Option<u64>,
    live: Vec<RouterId>,
    /// When this router started, until it can determine the owners of the targets.
    unranked_since: Option<Time>,
    /// The time of the next periodic check.
    next_check: Time,
}

/// The state of a target's VM according to the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Listed,
    Leaving,
    Vanished,
}

/// A target and the state that this router holds for it.
#[derive(Debug)]
struct Known {
    health: Health,
    /// The owner and its standbys, in order of rank.
    rank: Vec<RouterId>,
    /// The limit that this router last received from the owner.
    owner_limit: Option<u32>,
    /// The limit that was last sent to each standby, and when.
    sent_limits: BTreeMap<RouterId, (Time, u32)>,
    /// The results of this router's requests at the target.
    totals: Totals,
    /// The owner and the totals of the last report to it.
    sent_totals: Option<(RouterId, Totals)>,
    /// When this router last dispatched a request to the target.
    used_at: Option<Time>,
    /// When this router became the owner of the target.
    owned_since: Time,
    /// The new owner, until this router has sent it the limit.
    handover: Option<RouterId>,
}

impl Targets {
    /// Returns the state of a router that has just started and knows no targets.
    pub fn new(me: RouterId, cfg: Config, now: Time) -> Self {
        Self {
            me,
            cfg,
            known: BTreeMap::new(),
            peer_totals: BTreeMap::new(),
            vms: BTreeMap::new(),
            leaving_notices: BTreeMap::new(),
            notices: Notices::default(),
            out: BTreeSet::new(),
            followed: None,
            live: Vec::new(),
            unranked_since: Some(now),
            next_check: Time(0),
        }
    }

    /// Returns the settings of targets.
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns how many requests the whole fleet may have at a target, or zero until the owner of
    /// the target is known. The limit is determined by this router if it owns the target, and
    /// otherwise received from the owner. In a partition each side has an owner, and the slots
    /// module decides how much of the limit each side may grant.
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
        match known.owner_limit {
            Some(limit) if known.owner() != Some(self.me) => limit,
            _ => own,
        }
    }

    /// Returns the load of a target, for comparing versions at similar load. The load is computed
    /// from the target's last report, or from `own`, the number of this router's requests there, if
    /// that is higher.
    pub fn load(&self, target: TargetId, own: u32) -> Load {
        self.known.get(&target).map_or(Load::Low, |known| {
            Load::of(known.health.running().max(own), known.health.slots)
        })
    }

    /// Returns the owner of a target, which is the router that maintains its limit.
    pub fn owner(&self, target: TargetId) -> Option<RouterId> {
        self.known.get(&target)?.owner()
    }

    /// Returns whether a target may receive new requests. The caller must check this right before
    /// each dispatch.
    pub fn usable(&self, now: Time, view: &TargetView<'_>) -> bool {
        let is_held = |known: &Known| !known.health.is_available(now);
        // A data centre that is back in service is only used once its targets have been made cold.
        let out = view.out || self.out.contains(&view.entry.data_centre);
        let is_held = self.known.get(&view.id).is_some_and(is_held);
        !out && !is_held && !self.is_leaving(view) && self.notices.allows(now, view.id)
    }

    /// Returns a function that behaves like [`usable`](Self::usable). For targets in ascending
    /// order, all calls together take a single pass over the known targets.
    pub fn usable_each(&self, now: Time) -> impl FnMut(&TargetView<'_>) -> bool {
        let mut known = AscendingLookup::new(&self.known);
        let any_leaving = self.any_leaving();
        let any_notice = !self.notices.is_empty();
        move |view| {
            let is_held = known
                .get(view.id)
                .is_some_and(|known| !known.health.is_available(now));
            let out = view.out || self.out.contains(&view.entry.data_centre);
            let is_refusing = any_notice && !self.notices.allows(now, view.id);
            !(out || is_held || is_refusing || any_leaving && self.is_leaving(view))
        }
    }

    /// Returns whether a target may receive requests, regardless of temporary failures: its data
    /// centre is in service, and its VM is neither leaving nor removed.
    pub fn serves(&self, view: &TargetView<'_>) -> bool {
        !view.out && !self.is_leaving(view)
    }

    /// Returns whether a target takes requests of this router, by what it stated in its answers.
    pub fn standing(&self, now: Time, target: TargetId) -> Standing {
        self.notices.standing(now, target)
    }

    /// Returns whether a request may be sent to a target now, by what it stated in its answers.
    pub fn wants_requests(&self, now: Time, target: TargetId) -> bool {
        self.notices.allows(now, target)
    }

    /// Records what a target stated in an answer. Returns whether that changes its standing.
    pub fn on_notice(&mut self, now: Time, target: TargetId, notice: TargetNotice) -> bool {
        self.notices.on_notice(now, target, notice)
    }

    /// Processes a state that a target published. A new run of the target is not bound by what the
    /// previous one stated. Returns whether the target was freed in this way.
    pub fn on_state(&mut self, now: Time, state: &TargetState) -> bool {
        let is_newer = |at: &Time| now.since(*at) >= STATE_LAG_MAX;
        if !state.leaving
            && self
                .leaving_notices
                .get(&state.target)
                .is_some_and(is_newer)
        {
            self.leaving_notices.remove(&state.target);
        }
        self.notices.on_run(state.target, state.started_ms)
    }

    /// Records that a peer was told by a target that the target is leaving.
    pub fn on_leaving_hint(&mut self, now: Time, target: TargetId) {
        self.leaving_notices.insert(target, now);
    }

    /// Returns the targets that stated in answers to this router that they are leaving.
    pub fn stated_leaving(&self) -> impl Iterator<Item = TargetId> {
        self.notices.leaving()
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
            Some(known) if !known.health.is_available(now) => Condition::Held,
            Some(known) => known
                .health
                .cause
                .filter(|_| known.health.limit < known.health.slots)
                .map_or(Condition::Warm, Condition::Warming),
        }
    }

    /// Returns the targets whose reports and cache events this router needs: those that it owns and
    /// those that it has used within the last minute.
    pub fn watched(&self, now: Time) -> impl Iterator<Item = TargetId> {
        let recent = move |at: Time| now.since(at) < Duration::from_secs(60);
        let needed = move |known: &Known| {
            known.owner() == Some(self.me) || known.used_at.is_some_and(recent)
        };
        self.known
            .iter()
            .filter(move |(_, known)| needed(known))
            .map(|(&target, _)| target)
    }

    /// Records that a request was dispatched to a target.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId) {
        self.notices.on_dispatch(now, target);
        if let Some(known) = self.known.get_mut(&target) {
            known.used_at = Some(now);
        }
    }

    /// Processes a health signal of a target from an attempt.
    pub fn on_signal(&mut self, cx: &mut Context, target: TargetId, signal: Signal) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        if matches!(signal, Signal::Started { .. }) {
            self.notices.on_started(cx.now, target);
        }
        match signal {
            Signal::Finished { .. } | Signal::Flowing => known.totals.finished += 1,
            Signal::Late | Signal::Declined | Signal::Failed => known.totals.bad += 1,
            Signal::Broken => known.totals.broken += 1,
            Signal::Started { .. } | Signal::Unanswered | Signal::Silent => {}
        }
        let cause = known.health.on_signal(cx.now, &self.cfg, signal);
        known.lower_owner_limit(cause.is_some() || signal == Signal::Broken);
        if signal == Signal::Broken && known.owner() != Some(self.me) {
            known.report_to_owner(cx);
        }
        report_cold(cx, target, cause);
    }

    /// Processes a report of a target.
    pub fn on_report(&mut self, cx: &mut Context, target: TargetId, report: Report) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        let cause = known.health.on_report(cx.now, &self.cfg, report);
        known.lower_owner_limit(cause.is_some());
        report_cold(cx, target, cause);
    }

    /// Records the load that a target reported with an answer.
    pub fn on_load(&mut self, target: TargetId, load: TargetLoad) {
        if let Some(known) = self.known.get_mut(&target) {
            known.health.on_load(load);
        }
    }

    /// Applies the VM list. A VM that is no longer listed has been removed, unless so many
    /// disappeared at once that the list is probably wrong.
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
        if vanished.len() <= 1 || vanished.len() * VANISHED_DIVISOR <= present.len() {
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

    /// Processes a message from a peer.
    pub fn on_part(&mut self, cx: &mut Context, from: RouterId, part: &TargetPart) {
        for &target in &part.leaving {
            self.leaving_notices.insert(target, cx.now);
        }
        for received in &part.limits {
            if let Some(known) = self.known.get_mut(&received.target) {
                known.on_limit(cx, received.limit);
            }
        }
        for totals in &part.seen {
            self.on_peer_totals(cx, from, totals);
        }
    }

    /// Performs the periodic check: updates the targets from the catalogue and the membership,
    /// handles report timeouts, and queues messages to peers.
    pub fn on_time(&mut self, cx: &mut Context, catalogue: &Catalogue, members: &Members) {
        if cx.now < self.next_check {
            return;
        }
        self.next_check = cx.now + self.cfg.period;
        if self.followed != Some(catalogue.changes()) {
            self.followed = Some(catalogue.changes());
            self.follow_catalogue(cx.now, catalogue);
            self.follow_data_centres(cx, catalogue);
        }
        self.follow_members(cx.now, members);
        for (&target, known) in &mut self.known {
            let cause = known.health.on_timeout(cx.now, &self.cfg);
            report_cold(cx, target, cause);
        }
        self.leaving_notices
            .retain(|_, at| cx.now.since(*at) < LEAVING_NOTICE_VALID);
        self.send_parts(cx, catalogue, members);
    }

    fn is_leaving(&self, view: &TargetView<'_>) -> bool {
        self.is_listed_as_leaving(view)
            || self.leaving_notices.contains_key(&view.id)
            || self.notices.is_leaving(view.id)
    }

    fn any_leaving(&self) -> bool {
        let not_listed = |presence: &Presence| *presence != Presence::Listed;
        !self.leaving_notices.is_empty()
            || !self.notices.is_empty()
            || self.vms.values().any(not_listed)
    }

    fn is_listed_as_leaving(&self, view: &TargetView<'_>) -> bool {
        let state = self.vms.get(&view.entry.vm);
        matches!(state, Some(Presence::Leaving | Presence::Vanished))
    }

    /// Applies the totals that a peer reported for a target, if this router owns the target.
    fn on_peer_totals(&mut self, cx: &mut Context, from: RouterId, totals: &Totals) {
        let before = self.peer_totals.insert((totals.target, from), *totals);
        let Some(known) = self.known.get_mut(&totals.target) else {
            return;
        };
        // The first totals from a router are only the reference for its next ones.
        let Some(before) = before.filter(|_| known.owner() == Some(self.me)) else {
            return;
        };
        if totals.broken > before.broken {
            known.health.on_broken(cx.now);
        }
        if totals.bad > before.bad {
            known.health.halve(cx.now, &self.cfg);
        }
        let finished = totals.finished.saturating_sub(before.finished);
        if finished > 0 {
            known.health.grow(cx.now, &self.cfg, finished);
        }
    }

    /// Adds and removes targets according to the catalogue.
    fn follow_catalogue(&mut self, now: Time, catalogue: &Catalogue) {
        self.known
            .retain(|&target, _| catalogue.target(target).is_some());
        self.notices
            .retain_known(|target| catalogue.target(target).is_some());
        let known = &self.known;
        self.peer_totals
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

    /// Makes the targets of a data centre cold when it goes out of service and when it returns, so
    /// that they start cold.
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
                known.owner_limit = None;
                report_cold(cx, view.id, cause);
            }
        }
    }

    /// Recomputes the ranking of routers for each target if the set of live routers has changed.
    fn follow_members(&mut self, now: Time, members: &Members) {
        let live: Vec<RouterId> = members.live(now).collect();
        let listed = members.peers().filter(|(_, peer)| !peer.leaving).count() + 1;
        let missing = listed.saturating_sub(live.len());
        let must_wait = |since: Time| missing > 0 && now.since(since) < members.timeout();
        self.unranked_since = self.unranked_since.filter(|&since| must_wait(since));
        if live == self.live || self.unranked_since.is_some() {
            return;
        }
        let ranks = self.cfg.standbys + 1;
        for (&target, known) in &mut self.known {
            let rank = best(u64::from(target.0), live.iter().copied(), ranks);
            let former = core::mem::replace(&mut known.rank, rank);
            let owner = known.owner();
            if former.first() == Some(&self.me) && owner != Some(self.me) {
                known.handover = owner;
            }
            if former.first() != Some(&self.me) && owner == Some(self.me) {
                known.owned_since = now;
                known.health.take_over(now, known.owner_limit.take());
            }
        }
        self.live = live;
    }

    /// Queues totals to owners, limits to standbys and new owners, and notices of leaving targets.
    fn send_parts(&mut self, cx: &mut Context, catalogue: &Catalogue, members: &Members) {
        let mut parts: BTreeMap<RouterId, TargetPart> = BTreeMap::new();
        // Visiting every target of the catalogue costs more than the rest of this function, and is
        // unnecessary in the usual case that no target is leaving.
        let views = self.any_leaving().then(|| catalogue.targets());
        for view in views.into_iter().flatten() {
            for to in self.leaving_recipients(&view) {
                parts.entry(to).or_default().leaving.push(view.id);
            }
        }
        for (&target, known) in &mut self.known {
            if known.owner() == Some(self.me) {
                known.send_limit_to_standbys(cx.now, &self.cfg, target, &mut parts);
                continue;
            }
            if let Some(owner) = known.handover.take() {
                let limit = known.health.limit;
                let part = parts.entry(owner).or_default();
                part.limits.push(Limit { target, limit });
            }
            if let Some((owner, totals)) = known.take_unsent_totals() {
                parts.entry(owner).or_default().seen.push(totals);
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

    /// Returns the routers to which this router must send a notice that a target is leaving. The
    /// owner of the target sends the notice to all routers that use the target. Other routers send
    /// it to the owner, but only if their own VM list shows the target as leaving, so that routers
    /// do not keep an outdated notice alive among themselves.
    fn leaving_recipients(&self, view: &TargetView<'_>) -> Vec<RouterId> {
        let Some(owner) = self.owner(view.id) else {
            return Vec::new();
        };
        if owner != self.me {
            let is_listed = self.is_listed_as_leaving(view);
            return is_listed.then_some(owner).into_iter().collect();
        }
        if !self.is_leaving(view) {
            return Vec::new();
        }
        let users = (view.id, RouterId(0))..=(view.id, RouterId(u32::MAX));
        let users = self.peer_totals.range(users).map(|((_, user), _)| *user);
        users.filter(|user| self.live.contains(user)).collect()
    }
}

impl Known {
    fn new(now: Time, target: TargetId, slots: u32) -> Self {
        Self {
            health: Health::new(now, slots),
            rank: Vec::new(),
            owner_limit: None,
            sent_limits: BTreeMap::new(),
            totals: Totals {
                target,
                ..Totals::default()
            },
            sent_totals: None,
            used_at: None,
            owned_since: now,
            handover: None,
        }
    }

    fn owner(&self) -> Option<RouterId> {
        self.rank.first().copied()
    }

    /// Reports the totals to the owner immediately, because other routers may still send requests
    /// to a target that was restarted.
    fn report_to_owner(&mut self, cx: &mut Context) {
        if let Some((owner, totals)) = self.take_unsent_totals() {
            let part = TargetPart {
                seen: vec![totals],
                ..TargetPart::default()
            };
            cx.send(owner, Part::Target(part), Urgency::Now);
        }
    }

    /// If the target is cold, lowers the limit received from the owner to one, because the owner
    /// may have sent it before the target became cold.
    fn lower_owner_limit(&mut self, is_cold: bool) {
        if is_cold && self.owner_limit.is_some() {
            self.owner_limit = Some(1);
        }
    }

    /// Processes a limit from the owner, or from the former owner if this router has just become
    /// the owner.
    fn on_limit(&mut self, cx: &Context, limit: u32) {
        if self.owner() != Some(cx.me) {
            self.owner_limit = Some(limit);
            return;
        }
        let is_new_owner = cx.now.since(self.owned_since) < HANDOVER_WINDOW;
        if is_new_owner && self.health.cause == Some(Cause::New) && self.health.limit < limit / 2 {
            self.health.take_over(cx.now, Some(limit));
        }
    }

    /// Returns the owner and the totals if they have not been sent to the owner yet, and marks them
    /// as sent. Totals are sent from the first dispatch on, so that the owner has a reference for
    /// later ones.
    fn take_unsent_totals(&mut self) -> Option<(RouterId, Totals)> {
        let owner = self.owner()?;
        self.used_at?;
        let due = (owner, self.totals);
        if self.sent_totals == Some(due) {
            return None;
        }
        self.sent_totals = Some(due);
        Some(due)
    }

    /// Adds the limit to the messages to the standbys that lack it or are due for a repetition.
    fn send_limit_to_standbys(
        &mut self,
        now: Time,
        cfg: &Config,
        target: TargetId,
        parts: &mut BTreeMap<RouterId, TargetPart>,
    ) {
        let limit = self.health.limit;
        let standbys = self.rank.get(1..).unwrap_or_default();
        self.sent_limits.retain(|to, _| standbys.contains(to));
        for &to in standbys {
            let last = self.sent_limits.get(&to);
            if last.is_some_and(|&(at, sent)| sent == limit && now.since(at) < cfg.repeat) {
                continue;
            }
            self.sent_limits.insert(to, (now, limit));
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
