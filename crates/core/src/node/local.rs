//! Choosing targets without anybody who hands out slots.

use std::collections::BTreeSet;

use crate::address;
use crate::balance::message::ClaimRow;
use crate::balance::{Amount, Candidate, Choice, Place, Wanted};
use crate::catalogue::TargetView;
use crate::catalogue::entry::{Pool, Route, Service, Target};
use crate::node::Node;
use crate::output::Basis;
use crate::prelude::*;
use crate::queue::Waiting;
use crate::slots::Policy;
use crate::cold_start::Allowance;
use crate::version::Arm;

/// How many requests of an organisation may always wait at a router.
const QUEUE_MIN: usize = 8;
/// How many requests are dispatched in one event at most; the rest is left to the next event.
const DISPATCHES: usize = 64;
/// How many requests of one organisation are looked at for one that fits.
const LOOK_AHEAD: usize = 8;
/// How many requests are looked at in all before waiting for the next event.
const LOOK_AHEAD_ALL: usize = 48;
/// The wait that is proposed where a pool has no target: about as often as targets write of themselves.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);
/// The shortest time that a request may wait, however short its objective is.
const PATIENCE_MIN: Duration = Duration::from_millis(30);

/// The time between two looks at requests of which none could go at the last one: about what a target of the users' fleets
/// takes to read a short prompt, and a thirtieth of their shortest objective.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What the catalogue says of a pool's targets. To look each of them up for every event is most of what a router with
/// many targets does.
#[derive(Debug)]
pub(super) struct Roster {
    /// The state of the catalogue that it holds for.
    changes: u64,
    /// In ascending order.
    targets: Vec<Listed>,
}

#[derive(Debug)]
struct Listed {
    candidate: Candidate,
    entry: Target,
    data_centre: Option<DataCentreId>,
    out: bool,
}

impl Listed {
    const fn view(&self) -> TargetView<'_> {
        TargetView {
            id: self.candidate.target,
            entry: &self.entry,
            data_centre: self.data_centre,
            out: self.out,
        }
    }
}

/// The time between two reports, in hundredths of the one that is set.
const REPORT_JITTER: core::ops::RangeInclusive<u32> = 80..=120;

/// What a router claims of what waits: so many requests at least, and beyond them so many times what it took since the report
/// before. A router that keeps up doubles its claim with each report until all that waits is in it.
const CLAIM_MIN: u32 = 1;
/// See [`CLAIM_MIN`].
const CLAIM_TIMES: u32 = 2;

/// A request that has a target.
#[derive(Debug)]
struct Next {
    organisation: OrganisationId,
    class: Class,
    waiting: Waiting,
    choice: Choice,
    basis: Basis,
}

impl Node {
    /// Dispatches what waits for a pool as long as a target has room.
    ///
    /// Organisations are looked at by the service that they had lately, the least first. A request whose prompt is held by a
    /// target without room may be passed over for a while by one that fits elsewhere, so that the prompt need
    /// not be read again; see [`balance`](crate::balance). One that has waited for that long lets nothing
    /// pass any more.
    ///
    /// Once nothing could go, the next look waits for [`LOOK_EVERY`] unless something of the pool changes here: most
    /// events of a busy router make no room, and a look is dear in a large fleet.
    pub(super) fn pump_locally(&mut self, pool: PoolId) {
        if self.targets_are_stale() || !self.is_look_due(pool) {
            return;
        }
        let roster = self.take_roster(pool);
        self.dispatch_from(pool, &roster);
        self.rosters.insert(pool, roster);
    }

    /// Says whether what waits for a pool is to be looked at now.
    fn is_look_due(&self, pool: PoolId) -> bool {
        let next = self.next_looks.get(&pool);
        next.is_none_or(|&at| at <= self.cx.now)
    }

    /// Has what waits for a pool looked at in this event, because room may have been made or nothing waited before.
    pub(super) fn look_at_once(&mut self, pool: PoolId) {
        self.next_looks.remove(&pool);
    }

    fn dispatch_from(&mut self, pool: PoolId, roster: &Roster) {
        let mut arm = self.moves.next_arm(pool);
        let mut field = self.field(pool, arm, roster);
        self.open_turns(pool, &field);
        for _ in 0..DISPATCHES {
            if self.queues.is_empty(pool) && !self.moves.has(pool) {
                // What comes next finds nothing before it and is looked at once.
                self.next_looks.remove(&pool);
                return;
            }
            let due = self.moves.next_arm(pool);
            if due != arm {
                arm = due;
                field = self.field(pool, arm, roster);
            }
            let next = self
                .next_local(pool, &field)
                .or_else(|| self.next_of_other_arm(pool, arm, roster));
            let Some(next) = next else {
                let at = self.cx.now + LOOK_EVERY;
                self.next_looks.insert(pool, at);
                self.cx.wake(at);
                return;
            };
            let request = next.waiting.request;
            self.queues
                .take(self.cx.now, pool, next.organisation, request);
            if self.holds_suspect(request) {
                continue;
            }
            let target = next.choice.target;
            self.dispatch(pool, next.class, next.waiting, target, next.basis);
            self.note_unread(request, next.choice);
            self.balance.spend_turn(pool, next.organisation);
            *self.taken.entry(pool).or_default() += 1;
            self.renew_in_field(pool, &mut field, next.choice.target);
        }
    }

    /// Returns the next request that has a target.
    fn next_local(&self, pool: PoolId, field: &[Place]) -> Option<Next> {
        if !field.iter().any(|place| self.balance.may_have_room(place)) {
            return None;
        }
        let now = self.cx.now;
        let mut looked_at = 0;
        for candidate in self.candidates(pool) {
            let organisation = candidate.organisation;
            let first = self.queues.first(now, pool, organisation, LOOK_AHEAD);
            for (class, waiting) in first {
                if waiting.deadline <= now {
                    continue;
                }
                let patient = self.is_patient(&waiting);
                let due = self.balance.turn(pool, organisation);
                let choice = due.and_then(|due| {
                    let choice = self.choose_locally(field, waiting.request, patient)?;
                    Some((due, choice))
                });
                if let Some((due, choice)) = choice {
                    let basis = Basis {
                        waited: now.since(waiting.since),
                        turn: due.turn,
                        recent: candidate.time,
                        lowest: due.lowest,
                        heard: self.balance.heard(now),
                        targets_age: self.targets_read.map(|at| now.since(at)),
                    };
                    return Some(Next {
                        organisation,
                        class,
                        waiting,
                        choice,
                        basis,
                    });
                }
                looked_at += 1;
                if !patient || looked_at >= LOOK_AHEAD_ALL {
                    return None;
                }
            }
        }
        None
    }

    /// Returns the next request for the version whose turn it is not, if that may stand in.
    fn next_of_other_arm(&mut self, pool: PoolId, arm: Arm, roster: &Roster) -> Option<Next> {
        let other = self.moves.other_arm(self.cx.now, pool, arm)?;
        self.next_local(pool, &self.field(pool, other, roster))
    }

    /// Returns the service that an organisation received lately, relative to its weight.
    pub(super) fn recent_time(&self, organisation: OrganisationId, weight: u32) -> u64 {
        let total = self.ledger.total(organisation);
        self.recent.of(organisation, total).0 / u64::from(weight.max(1))
    }

    /// Says whether a request still waits for a target that holds its prompt.
    fn is_patient(&self, waiting: &Waiting) -> bool {
        let time = waiting.deadline.since(waiting.since);
        let hold = time * self.balance.cfg().hold / 100;
        self.cx.now.since(waiting.since) < hold
    }

    /// Lets whose turn it is be worked out anew, right before peers are told what came of it.
    pub(super) fn renew_turns_if_due(&mut self) {
        if self.slots.cfg.policy == Policy::Local && self.cx.now >= self.next_load_report {
            self.balance.renew_turns();
            self.next_looks.clear();
        }
    }

    /// Tells peers what this router has at targets and what waits here, if that is due.
    pub(super) fn report_load_if_due(&mut self) {
        let now = self.cx.now;
        if self.slots.cfg.policy != Policy::Local || now < self.next_load_report {
            return;
        }
        // Routers that report at the same moment would all use the same room.
        let percent = rand::RngExt::random_range(&mut self.cx.rng, REPORT_JITTER);
        self.next_load_report = now + self.balance.cfg().report_every * percent / 100;
        self.cx.wake(self.next_load_report);
        let claims = self.own_claims();
        self.taken.clear();
        let named = address::named(&self.members, now, &self.cfg.data_centre);
        let is_named = |router| named.contains(&router);
        let Some(part) = self.balance.report(now, claims, is_named) else {
            return;
        };
        let readers = self.load_readers(named);
        for &to in readers.intersection(&self.load_readers) {
            self.cx.send(to, Part::Load(part.clone()), Urgency::Now);
        }
        for &to in readers.difference(&self.load_readers) {
            let whole = self.balance.whole_report();
            self.cx.send(to, Part::Load(whole), Urgency::Now);
        }
        self.load_readers = readers;
    }

    /// Returns what waits at this router, those that had least first. What waits while nothing can be sent is not claimed, or
    /// capacity would idle for it everywhere, and neither is more than this router is likely to take.
    fn own_claims(&self) -> Vec<ClaimRow> {
        if self.targets_are_stale() {
            return Vec::new();
        }
        let mut claims = Vec::new();
        for pool in self.queues.pools() {
            let mut left = self.claim_max(pool);
            for candidate in self.candidates(pool) {
                if left == 0 {
                    break;
                }
                let own = self.waiting_of(pool, candidate.organisation, left);
                let requests = u32::try_from(own.requests).unwrap_or(u32::MAX);
                left = left.saturating_sub(requests);
                claims.push(ClaimRow {
                    pool,
                    organisation: candidate.organisation,
                    level: candidate.time,
                    requests,
                    tokens: u32::try_from(own.tokens).unwrap_or(u32::MAX),
                });
            }
        }
        claims
    }

    /// Returns how many requests that wait for a pool are claimed at most.
    fn claim_max(&self, pool: PoolId) -> u32 {
        let taken = self.taken.get(&pool).copied().unwrap_or_default();
        CLAIM_MIN + CLAIM_TIMES * taken
    }

    /// Returns the first requests of an organisation that wait for a pool, at most `most` of them.
    fn waiting_of(&self, pool: PoolId, organisation: OrganisationId, most: u32) -> Amount {
        let now = self.cx.now;
        let first = self.queues.first(now, pool, organisation, most as usize);
        let tokens = first
            .iter()
            .map(|(_, waiting)| u64::from(self.prompt_tokens(waiting.request)));
        Amount {
            requests: first.len() as u64,
            tokens: tokens.sum(),
        }
    }

    /// Works out what the organisations that wait for a pool may use, as far as that is due.
    fn open_turns(&mut self, pool: PoolId, field: &[Place]) {
        let now = self.cx.now;
        let most = self.claim_max(pool);
        for candidate in self.candidates(pool) {
            let organisation = candidate.organisation;
            if self.balance.has_turn(pool, organisation) {
                continue;
            }
            let own = self.waiting_of(pool, organisation, most);
            let is_light = self.is_light(pool, organisation);
            let room = self.balance.room(field, own.tokens_each(), is_light);
            self.balance
                .open_turn(now, (pool, organisation), candidate.time, own, room);
        }
    }

    /// Says whether the next request of an organisation is light.
    fn is_light(&self, pool: PoolId, organisation: OrganisationId) -> bool {
        let first = self.queues.first(self.cx.now, pool, organisation, 1);
        let active = first
            .first()
            .and_then(|(_, waiting)| self.requests.get(&waiting.request));
        active.is_some_and(|active| Wanted::of(&active.req, false).is_light())
    }

    fn prompt_tokens(&self, request: RequestId) -> u32 {
        let active = self.requests.get(&request);
        active.map_or(0, |active| active.req.prompt_tokens)
    }

    /// Returns the routers that need to know this one's load: all that callers are sent to, partners, and, if this
    /// router has work or is asked by callers itself, every router with work. In a large fleet few have any, and
    /// those are rarely partners.
    fn load_readers(&self, named: BTreeSet<RouterId>) -> BTreeSet<RouterId> {
        let now = self.cx.now;
        let mut readers = named;
        if readers.contains(&self.cx.me) || self.balance.has_worked(now) {
            readers.extend(self.balance.busy(now));
        }
        readers.extend(self.members.partners());
        readers.remove(&self.cx.me);
        readers
    }

    /// Returns for how long a request may wait for a target.
    pub(super) fn patience(&self, req: &Request) -> Option<Duration> {
        let objective = req.terms.objective?;
        let share = self.balance.cfg().patience;
        Some((objective * share / 100).max(PATIENCE_MIN))
    }

    /// Refuses a request that would wait in vain: that waited as long as it may before it was handed over, for a pool
    /// without targets, or behind others of its organisation.
    pub(super) fn check_wait(&self, req: &Request, wait_until: Time) -> Result<(), Refusal> {
        if wait_until <= self.cx.now {
            let wait = self.queues.retry_after(self.cx.now, req.organisation);
            return Err(Refusal::not_run(Reason::QueueFull, wait));
        }
        if self.targets_are_stale() && self.queues.waiting(req.organisation) >= QUEUE_MIN {
            // A read is under way, but this router falls behind.
            return Err(Refusal::not_run(Reason::NotCurrent, Some(NO_TARGET_WAIT)));
        }
        let local = self.slots.cfg.policy == Policy::Local;
        let mut targets = self.catalogue.targets_of(req.pool);
        if local && !targets.any(|view| self.targets.serves(&view)) {
            return Err(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_WAIT)));
        }
        let Some(patience) = self.patience(req) else {
            return Ok(());
        };
        // A few always wait, or an organisation whose queue runs empty now and then would lose its turns.
        if self.queues.waiting(req.organisation) < QUEUE_MIN {
            return Ok(());
        }
        match self.queues.retry_after(self.cx.now, req.organisation) {
            Some(wait) if wait > patience => Err(Refusal::not_run(Reason::QueueFull, Some(wait))),
            _ => Ok(()),
        }
    }

    fn choose_locally(&self, field: &[Place], request: RequestId, patient: bool) -> Option<Choice> {
        let active = self.requests.get(&request)?;
        let wish = active.life.wish();
        let wanted = Wanted::of(&active.req, patient);
        let now = self.cx.now;
        let is_preferred = |place: &&Place| wish.prefer == Some(place.candidate.target);
        let is_open = |place: &&Place| !wish.avoid.contains(&place.candidate.target);
        let choose_preferred = |_| {
            let preferred = field.iter().filter(is_preferred);
            self.balance.choose(now, wanted, preferred)
        };
        // Few requests prefer a target, and each choice looks up who holds the prompt.
        wish.prefer.and_then(choose_preferred).or_else(|| {
            self.balance
                .choose(now, wanted, field.iter().filter(is_open))
        })
    }

    /// Returns the targets of a pool that may be given work now, with their load. It is looked up once for all
    /// requests that wait.
    fn field(&self, pool: PoolId, arm: Arm, roster: &Roster) -> Vec<Place> {
        let now = self.cx.now;
        let mut usable = self.targets.usable_each(now);
        let open = |listed: &&Listed| {
            let view = listed.view();
            self.moves.takes(pool, arm, &view.entry.version)
                && usable(&view)
                && !self.quarantine.keeps_off(now, view.id)
                && self.may_start(pool, view.id)
        };
        let open: Vec<Candidate> = roster
            .targets
            .iter()
            .filter(open)
            .map(|listed| listed.candidate)
            .collect();
        let loads = self.balance.loads(now, open.iter().map(|it| it.target));
        let places = open.iter().zip(loads);
        places
            .map(|(&candidate, load)| Place { candidate, load })
            .collect()
    }

    /// Returns what the catalogue says of a pool's targets, as it is now.
    fn take_roster(&mut self, pool: PoolId) -> Roster {
        let changes = self.catalogue.changes();
        match self.rosters.remove(&pool) {
            Some(roster) if roster.changes == changes => roster,
            _ => self.roster(pool, changes),
        }
    }

    fn roster(&self, pool: PoolId, changes: u64) -> Roster {
        let mut views: Vec<TargetView<'_>> = self.catalogue.targets_of(pool).collect();
        views.sort_unstable_by_key(|view| view.id);
        let quiet = self.quiet_targets(pool, &views);
        let listed = |view: &TargetView<'_>| Listed {
            candidate: Candidate {
                target: view.id,
                slots: view.entry.slots,
                distance: self.distance(view),
                is_quiet: quiet.contains(&view.id),
            },
            entry: view.entry.clone(),
            data_centre: view.data_centre,
            out: view.out,
        };
        Roster {
            changes,
            targets: views.iter().map(listed).collect(),
        }
    }

    /// Takes over the load of a target that was just given a request, or drops it if it may not be given another.
    fn renew_in_field(&self, pool: PoolId, field: &mut Vec<Place>, target: TargetId) {
        let now = self.cx.now;
        let is_open = self.may_start(pool, target);
        field.retain(|place| is_open || place.candidate.target != target);
        for place in field {
            if place.candidate.target == target {
                place.load = self.balance.load(now, target);
            }
        }
    }

    /// Says whether a target may be sent another request as far as it may be cold.
    fn may_start(&self, pool: PoolId, target: TargetId) -> bool {
        let now = self.cx.now;
        let is_cold = self.starts.is_cold(now, target);
        !is_cold || {
            let allowance = self.allowance(pool);
            self.starts.allows(now, target, &allowance, self.cx.me)
        }
    }

    /// Takes this router's part of the retries that the fleet may make beyond what requests earn.
    pub(super) fn share_fleet_burst(&mut self) {
        if let Some(burst) = self.cfg.attempt.fleet_burst {
            let others = self.members.peers().filter(|(_, peer)| peer.listed).count();
            let routers = u32::try_from(others + 1).unwrap_or(u32::MAX);
            self.budgets.set_burst(burst / routers);
        }
    }

    /// Returns which targets of a pool are kept for light requests: the first in an order that all routers share,
    /// so that a target that comes or goes changes only one of them.
    fn quiet_targets(&self, pool: PoolId, views: &[TargetView<'_>]) -> Vec<TargetId> {
        let is_model = |pool: &Pool| pool.service == Service::Model;
        if !self.catalogue.pool(pool).is_some_and(is_model) {
            return Vec::new();
        }
        let mut targets: Vec<TargetId> = views.iter().map(|view| view.id).collect();
        let count = targets.len() * self.balance.cfg().quiet as usize / 100;
        targets.sort_unstable();
        targets.truncate(count);
        targets
    }

    /// Returns how much the fleet may send to a cold target of a pool.
    fn allowance(&self, pool: PoolId) -> Allowance {
        let per_second = self
            .catalogue
            .pool(pool)
            .map_or(0, |pool| pool.bounds.cold_starts_per_s);
        let listed = self.members.peers().filter(|(_, peer)| peer.listed);
        Allowance {
            per_second,
            routers: listed.map(|(id, _)| id).chain([self.cx.me]).collect(),
        }
    }

    fn note_unread(&mut self, request: RequestId, choice: Choice) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let parts = &active.req.terms.parts;
        self.balance
            .on_dispatch(self.cx.now, choice.target, choice.unread, parts);
        if let crate::node::request::Stage::Running(attempt) = active.stage
            && let Some(attempt) = self.attempts.get_mut(&attempt)
        {
            attempt.unread = choice.unread;
            attempt.trial.tokens = choice.unread;
            attempt.is_balanced = true;
        }
    }

    /// Returns the route of a caller's request and the pool that takes it, by the route's shares. It is to be
    /// asked once for each request.
    pub fn resolve(&mut self, host: &str, path: &str) -> Option<(Route, PoolId)> {
        let route = self.catalogue.route(host, path)?.clone();
        let (pool, _) = self.catalogue.pool_by_name(self.splits.next(&route)?)?;
        Some((route, pool))
    }

    /// Returns where callers near a data centre should go: the routers there that serve, or all that serve if
    /// there are too few to bear the loss of one.
    pub fn addresses_near(&self, data_centre: Option<&str>) -> Vec<String> {
        address::near(
            &self.members,
            self.cx.now,
            data_centre,
            &self.cfg.data_centre,
        )
    }
}
