//! Dispatch where each router chooses targets by itself ([`Policy::Local`]) and no owner grants
//! slots.

use std::collections::{BTreeMap, BTreeSet};

use crate::address;
use crate::balance::message::ClaimRow;
use crate::balance::{
    Candidate, CandidateLoad, Choice, Permit, ReadSpeed, RequestProfile, Share, Workload,
};
use crate::catalogue::TargetView;
use crate::catalogue::entry::{Pool, Route, Service, Target};
use crate::cold_start::Allowance;
use crate::node::Node;
use crate::node::funnel::work_of;
use crate::node::request::Active;
use crate::output::{Basis, Turn};
use crate::prelude::*;
use crate::queue::Waiting;
use crate::slots::Policy;
use crate::speed::{self, WORK_USUAL};
use crate::version::Arm;

/// How many requests of an organisation may always wait at a router, however long the expected
/// wait.
const WAITING_ALWAYS_ALLOWED: usize = 8;
/// The most requests dispatched from one pool in one event; the rest is left to the next event.
const DISPATCHES_PER_EVENT_MAX: usize = 64;
/// The most requests of one organisation that one scan checks for one that fits a target.
const SCANNED_PER_ORGANISATION_MAX: usize = 8;
/// The most requests that one scan of a pool checks in total before it waits for the next event.
const SCANNED_MAX: usize = 48;
/// The wait proposed to a caller when the pool has no target: about the time between two state
/// records of a target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The shortest wait allowed for a request, however short its objective is.
const WAIT_MIN: Duration = Duration::from_millis(30);

/// The most prompt tokens that an engine reads in one step, in which it also generates a token for each
/// of its requests.
const STEP_TOKENS: u64 = 2_048;
/// The part of the assumed rate of reading below which the targets of a pool count as slow, in
/// hundredths. Pools that read at about the assumed rate keep the assumed bound.
const SLOW_POOL_PERCENT: u64 = 75;
/// The part of a pause objective that a target may spend reading, in hundredths. The rest is left for
/// generating the event's tokens.
const READING_PERCENT: u32 = 90;

/// The time between two scans of a pool's queues if the last scan could dispatch nothing. A target
/// takes about as long to read a short prompt, and the shortest objective in use is thirty times as
/// long.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// The time after which the targets for light requests are determined again, where that depends on
/// their speeds. Slow machines stay slow.
const LIGHT_TARGETS_INTERVAL: Duration = Duration::from_secs(1);

/// A pool's targets as the catalogue lists them, cached because looking up each target for every
/// event would be most of the work of a router with many targets.
#[derive(Debug)]
pub(super) struct TargetList {
    /// The catalogue's change count at which the list was built; the list is valid as long as the
    /// count is the same.
    changes: u64,
    /// The targets, in ascending order of their ids.
    targets: Vec<ListedTarget>,
    /// The least pause objective of the routes to the pool.
    gap_aim: Option<Duration>,
    /// The most prompt tokens that a target reads during one event of a stream.
    event_tokens: u64,
    /// When the targets for light requests were determined.
    light_at: Time,
}

#[derive(Debug)]
struct ListedTarget {
    candidate: Candidate,
    entry: Target,
    data_centre: Option<DataCentreId>,
    out_of_service: bool,
}

impl ListedTarget {
    const fn view(&self) -> TargetView<'_> {
        TargetView {
            id: self.candidate.target,
            entry: &self.entry,
            data_centre: self.data_centre,
            out: self.out_of_service,
        }
    }
}

/// The base of the claim that a router reports for its waiting requests in a pool. The limit of the
/// claim is this base plus [`CLAIM_FACTOR`] times the requests dispatched since the last report, so
/// a router that keeps up at least doubles its claim with each report until all its waiting
/// requests are included.
const CLAIM_MIN: u32 = 1;
/// The growth of the claim limit with each dispatched request; see [`CLAIM_MIN`].
const CLAIM_FACTOR: u32 = 2;
/// The most waiting requests of an organisation whose tokens are added up for what it asks for.
const ASKED_WAITING_MAX: usize = 64;

/// A waiting request for which a target was found.
#[derive(Debug)]
struct NextDispatch {
    organisation: OrganisationId,
    class: Class,
    waiting: Waiting,
    choice: Choice,
    basis: Basis,
}

impl Node {
    /// Dispatches the requests that wait for a pool as long as a target has free capacity.
    ///
    /// Organisations are scanned in ascending order of the service that they received recently. If
    /// the target that holds a request's prompt has no free capacity, requests that fit elsewhere
    /// may overtake it for a limited time, so that the prompt need not be read again; see
    /// [`balance`](crate::balance). After that time nothing overtakes it.
    ///
    /// If a scan dispatches nothing, the next one waits for [`SCAN_INTERVAL`] unless the pool
    /// changes at this router before: most events of a busy router free no capacity, and a scan is
    /// expensive in a large fleet.
    pub(super) fn dispatch_locally(&mut self, pool: PoolId) {
        if self.targets_are_stale() || !self.is_scan_due(pool) {
            return;
        }
        self.limits.advance(self.cx.now);
        self.pace.advance(self.cx.now);
        let target_list = self.take_target_list(pool);
        self.dispatch_from(pool, &target_list);
        self.target_lists.insert(pool, target_list);
    }

    /// Says whether a pool's queues are to be scanned now.
    fn is_scan_due(&self, pool: PoolId) -> bool {
        let next = self.next_scans.get(&pool);
        next.is_none_or(|&at| at <= self.cx.now)
    }

    /// Schedules a scan of a pool's queues in this event, because capacity may have been freed or
    /// the queues were empty before.
    pub(super) fn scan_now(&mut self, pool: PoolId) {
        self.next_scans.remove(&pool);
    }

    fn dispatch_from(&mut self, pool: PoolId, target_list: &TargetList) {
        let mut arm = self.moves.next_arm(pool);
        let mut candidates = self.candidates(pool, arm, target_list);
        self.open_turns(pool, &candidates);
        for _ in 0..DISPATCHES_PER_EVENT_MAX {
            if self.queues.is_empty(pool) && !self.moves.has(pool) {
                // The next request to arrive finds the queues empty and is scanned at once.
                self.next_scans.remove(&pool);
                return;
            }
            let due = self.moves.next_arm(pool);
            if due != arm {
                arm = due;
                candidates = self.candidates(pool, arm, target_list);
            }
            let next = self
                .next_dispatch(pool, &candidates)
                .or_else(|| self.next_of_other_arm(pool, arm, target_list));
            let Some(next) = next else {
                let at = self.cx.now + SCAN_INTERVAL;
                self.next_scans.insert(pool, at);
                self.cx.wake(at);
                return;
            };
            let request = next.waiting.request;
            self.queues
                .take(self.cx.now, pool, next.organisation, request);
            if self.hold_if_suspect(request) {
                continue;
            }
            let target = next.choice.target;
            self.dispatch(pool, next.class, next.waiting, target, next.basis);
            self.record_unread(request, next.choice);
            self.balance.spend_turn(pool, next.organisation);
            self.record_sent(pool, next.organisation, request);
            *self.dispatched_since_report.entry(pool).or_default() += 1;
            self.refresh_candidate(pool, &mut candidates, next.choice.target);
        }
    }

    /// Returns the next waiting request for which one of the candidate targets can be chosen.
    fn next_dispatch(
        &mut self,
        pool: PoolId,
        candidates: &[CandidateLoad],
    ) -> Option<NextDispatch> {
        if !candidates
            .iter()
            .any(|place| self.balance.may_have_capacity(place))
        {
            return None;
        }
        let now = self.cx.now;
        let mut scanned = 0;
        let mut eligible = self.eligible_organisations(pool);
        eligible.sort_by_key(|it| !self.balance.is_short(pool, it.organisation));
        for eligible in eligible {
            let organisation = eligible.organisation;
            let share = self.balance.share(now, pool, organisation);
            let first = self
                .queues
                .first(now, pool, organisation, SCANNED_PER_ORGANISATION_MAX);
            for (class, waiting) in first {
                if waiting.deadline <= now {
                    continue;
                }
                let waits_for_holder = self.waits_for_holder(&waiting);
                let due = self.permit(pool, organisation, share);
                let choice = due.and_then(|due| {
                    let choice = self.choose_for(share, candidates, &waiting)?;
                    Some((due, choice))
                });
                if let Some((due, choice)) = choice {
                    let basis = Basis {
                        waited: now.since(waiting.since),
                        turn: due.turn,
                        recent: eligible.time,
                        lowest: due.lowest,
                        reporting_peers: self.balance.reporting_peers(now),
                        targets_age: self.targets_read.map(|at| now.since(at)),
                    };
                    return Some(NextDispatch {
                        organisation,
                        class,
                        waiting,
                        choice,
                        basis,
                    });
                }
                let funnel = self.funnels.of(pool, organisation);
                match due {
                    None => funnel.without_turn += 1,
                    Some(_) => funnel.without_target += 1,
                }
                scanned += 1;
                // Others must not wait for an organisation that has exceeded its share.
                let is_blocking = !waits_for_holder && share != Share::Exhausted;
                if is_blocking || scanned >= SCANNED_MAX {
                    return None;
                }
            }
        }
        None
    }

    /// Returns the next request for the version that is not next in turn, if that version may stand
    /// in.
    fn next_of_other_arm(
        &mut self,
        pool: PoolId,
        arm: Arm,
        target_list: &TargetList,
    ) -> Option<NextDispatch> {
        let other = self.moves.fallback_arm(self.cx.now, pool, arm)?;
        let candidates = self.candidates(pool, other, target_list);
        self.next_dispatch(pool, &candidates)
    }

    /// Returns the service that an organisation received recently, divided by its weight.
    pub(super) fn recent_time(&self, organisation: OrganisationId, weight: u32) -> u64 {
        let total = self.ledger.total(organisation);
        self.recent.of(organisation, total).0 / u64::from(weight.max(1))
    }

    /// Says whether a request still waits for a target that holds its prompt, instead of accepting
    /// any target.
    fn waits_for_holder(&self, waiting: &Waiting) -> bool {
        let time = waiting.deadline.since(waiting.since);
        let hold = time * self.balance.cfg().holder_wait_percent / 100;
        self.cx.now.since(waiting.since) < hold
    }

    /// Marks the turns of organisations for recalculation, right before this router reports to its
    /// peers.
    pub(super) fn renew_turns_if_due(&mut self) {
        if self.slots.cfg.policy == Policy::Local && self.cx.now >= self.next_load_report {
            self.balance.invalidate_turns();
            self.service.advance(self.cx.now);
            let own = self.own_service();
            let catalogue = &self.catalogue;
            let weight_of = |organisation| {
                catalogue
                    .organisation(organisation)
                    .map_or(1, |it| it.weight)
            };
            self.balance.update_shares(self.cx.now, &own, weight_of);
            self.next_scans.clear();
        }
    }

    /// Returns the permission for an organisation to send a request, as far as its share or its turn
    /// gives one. Credit is earned over time and needs no turn, which divides the room of a moment.
    fn permit(&self, pool: PoolId, organisation: OrganisationId, share: Share) -> Option<Permit> {
        let by_share = |turn| Permit { turn, lowest: None };
        let by_turn = self.balance.turn(pool, organisation);
        match share {
            Share::Open => by_turn,
            Share::Short => Some(by_share(Turn::Short)),
            Share::Credit => Some(by_share(Turn::Share)),
            Share::Exhausted => by_turn.map(|permit| Permit {
                turn: Turn::Spare,
                ..permit
            }),
        }
    }

    /// Returns the target for a request of an organisation, as far as its share allows it.
    fn choose_for(
        &self,
        share: Share,
        candidates: &[CandidateLoad],
        waiting: &Waiting,
    ) -> Option<Choice> {
        let waits_for_holder = self.waits_for_holder(waiting);
        let choose = |waits_for_holder| {
            let is_short = share == Share::Short;
            self.choose_locally(candidates, waiting.request, waits_for_holder, is_short)
        };
        let is_spare = |choice: &Choice| {
            let mut places = candidates.iter();
            let chosen = places.find(|place| place.candidate.target == choice.target);
            chosen.is_some_and(|place| self.balance.has_spare_room(place, choice))
        };
        match share {
            Share::Open | Share::Credit => choose(waits_for_holder),
            Share::Exhausted => choose(waits_for_holder).filter(is_spare),
            // While targets have room, waiting for one that caches the prompt leaves capacity idle.
            Share::Short if waits_for_holder => {
                choose(true).or_else(|| choose(false).filter(is_spare))
            }
            Share::Short => choose(false),
        }
    }

    /// Returns this router's claims: the waiting requests that it is likely to dispatch, starting
    /// with the organisations that received the least service, and the service of all
    /// organisations in pools for which requests are unserved here or at a peer. Nothing is claimed
    /// while nothing can be dispatched, since capacity would idle for it everywhere.
    pub(super) fn own_claims(&self) -> Vec<ClaimRow> {
        let mut claims = self.own_service();
        let unserved = claims.iter().filter(|row| row.unserved > 0);
        let mut contended: BTreeSet<PoolId> = unserved.map(|row| row.pool).collect();
        let pools: BTreeSet<PoolId> = claims.iter().map(|row| row.pool).collect();
        let is_contended = |pool: &PoolId| self.balance.is_contended(self.cx.now, *pool);
        contended.extend(pools.into_iter().filter(is_contended));
        claims.retain(|row| contended.contains(&row.pool));
        for &pool in &contended {
            self.add_waiting(pool, &mut claims);
        }
        claims
    }

    /// Adds to the claims for a pool the waiting requests that this router is likely to dispatch
    /// before its next report.
    fn add_waiting(&self, pool: PoolId, claims: &mut [ClaimRow]) {
        let mut left = self.claim_max(pool);
        for eligible in self.eligible_organisations(pool) {
            if left == 0 {
                break;
            }
            let is_same =
                |row: &&mut ClaimRow| (row.pool, row.organisation) == (pool, eligible.organisation);
            let Some(row) = claims.iter_mut().find(is_same) else {
                continue;
            };
            let own = self.waiting_of(pool, eligible.organisation, left);
            row.level = eligible.time;
            row.requests = u32::try_from(own.requests).unwrap_or(u32::MAX);
            row.tokens = u32::try_from(own.tokens).unwrap_or(u32::MAX);
            left = left.saturating_sub(row.requests);
        }
    }

    /// Returns what each organisation asked for and was sent at this router; nothing while nothing
    /// can be dispatched.
    fn own_service(&self) -> Vec<ClaimRow> {
        if self.targets_are_stale() {
            return Vec::new();
        }
        let mut keys: BTreeSet<(PoolId, OrganisationId)> = self.service.keys().collect();
        for pool in self.queues.pools() {
            let waiting = self.queues.backlogged(pool);
            keys.extend(waiting.map(|(organisation, _)| (pool, organisation)));
        }
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let row = |(pool, organisation)| {
            let service = self.service.of((pool, organisation));
            // Requests may have waited for longer than the window.
            let backlog = service.sent + self.waiting_tokens(pool, organisation);
            let waiting = self.queues.waiting_for(pool, organisation) as u64;
            ClaimRow {
                pool,
                organisation,
                level: u64::MAX,
                requests: 0,
                tokens: 0,
                asked: count(service.asked.max(backlog)),
                sent: count(service.sent),
                // Capacity is not what holds back an organisation that runs all it may.
                unserved: match self.may_run_more(organisation) {
                    true => count(service.refused + waiting),
                    false => 0,
                },
            }
        };
        keys.into_iter().map(row).collect()
    }

    /// Returns whether an organisation is below its limit of running requests.
    fn may_run_more(&self, organisation: OrganisationId) -> bool {
        let entry = self.catalogue.organisation(organisation);
        entry.is_some_and(|entry| self.running.of(organisation) < entry.limits.running)
    }

    /// Returns the tokens of the prompts and answers of an organisation's first waiting requests.
    fn waiting_tokens(&self, pool: PoolId, organisation: OrganisationId) -> u64 {
        let now = self.cx.now;
        let first = self
            .queues
            .first(now, pool, organisation, ASKED_WAITING_MAX);
        let active = first
            .iter()
            .filter_map(|(_, waiting)| self.requests.get(&waiting.request));
        active.map(|active| work_of(&active.req).tokens).sum()
    }

    /// Returns the most waiting requests that may be claimed for a pool in one report.
    fn claim_max(&self, pool: PoolId) -> u32 {
        let dispatched = self
            .dispatched_since_report
            .get(&pool)
            .copied()
            .unwrap_or_default();
        CLAIM_MIN + CLAIM_FACTOR * dispatched
    }

    /// Returns the size of an organisation's first waiting requests for a pool, at most `most` of
    /// them.
    fn waiting_of(&self, pool: PoolId, organisation: OrganisationId, most: u32) -> Workload {
        let now = self.cx.now;
        let first = self.queues.first(now, pool, organisation, most as usize);
        let tokens = first
            .iter()
            .map(|(_, waiting)| u64::from(self.prompt_tokens(waiting.request)));
        Workload {
            requests: first.len() as u64,
            tokens: tokens.sum(),
        }
    }

    /// Calculates what each organisation that waits for a pool may use, if it has no turn yet.
    fn open_turns(&mut self, pool: PoolId, candidates: &[CandidateLoad]) {
        let now = self.cx.now;
        let most = self.claim_max(pool);
        for eligible in self.eligible_organisations(pool) {
            let organisation = eligible.organisation;
            if self.balance.has_turn(pool, organisation) {
                continue;
            }
            let own = self.waiting_of(pool, organisation, most);
            let is_light = self.is_light(pool, organisation);
            let free_capacity = self
                .balance
                .free_capacity(candidates, own.tokens_each(), is_light);
            let quota = self.balance.compute_turn(
                now,
                (pool, organisation),
                eligible.time,
                own,
                free_capacity,
            );
            let funnel = self.funnels.of(pool, organisation);
            funnel.allowed_millis += quota.granted;
            funnel.quota = Some(quota);
        }
    }

    /// Says whether the next request of an organisation is light ([`RequestProfile::is_light`]).
    fn is_light(&self, pool: PoolId, organisation: OrganisationId) -> bool {
        let first = self.queues.first(self.cx.now, pool, organisation, 1);
        let active = first
            .first()
            .and_then(|(_, waiting)| self.requests.get(&waiting.request));
        active.is_some_and(|active| RequestProfile::of(&active.req, false).is_light())
    }

    fn prompt_tokens(&self, request: RequestId) -> u32 {
        let active = self.requests.get(&request);
        active.map_or(0, |active| active.req.prompt_tokens)
    }

    /// Returns how long a request may wait for a target; `None` if it has no objective.
    pub(super) fn max_wait(&self, req: &Request) -> Option<Duration> {
        let objective = req.details.objective?;
        let share = self.balance.cfg().max_wait_percent;
        Some((objective * share / 100).max(WAIT_MIN))
    }

    /// Checks whether a request may join its queue.
    ///
    /// # Errors
    ///
    /// Refuses a request that would wait in vain: if its wait was used up before it reached the
    /// node, its pool has no usable target, or the queue of its organisation is too long.
    pub(super) fn check_wait(&self, req: &Request, wait_until: Time) -> Result<(), Refusal> {
        if wait_until <= self.cx.now {
            let wait = self.queues.retry_after(self.cx.now, req.organisation);
            return Err(Refusal::not_run(Reason::QueueFull, wait));
        }
        if self.targets_are_stale()
            && self.queues.waiting(req.organisation) >= WAITING_ALWAYS_ALLOWED
        {
            // A read of the targets' records is under way, but this router falls behind.
            return Err(Refusal::not_run(
                Reason::NotCurrent,
                Some(NO_TARGET_RETRY_AFTER),
            ));
        }
        let local = self.slots.cfg.policy == Policy::Local;
        let mut targets = self.catalogue.targets_of(req.pool);
        if local && !targets.any(|view| self.targets.serves(&view)) {
            return Err(Refusal::not_run(
                Reason::NoTarget,
                Some(NO_TARGET_RETRY_AFTER),
            ));
        }
        if local && let Some(time) = self.hopeless_wait(req.pool, wait_until) {
            return Err(Refusal::not_run(Reason::NoTarget, Some(time)));
        }
        let Some(max_wait) = self.max_wait(req) else {
            return Ok(());
        };
        if local && let Some(wait) = self.limited_wait(req.pool, req.organisation) {
            return match wait > max_wait {
                true => Err(Refusal::not_run(Reason::QueueFull, Some(wait))),
                false => Ok(()),
            };
        }
        // A few requests may always wait, since an organisation whose queue runs empty now and then
        // would lose its turns.
        if self.queues.waiting(req.organisation) < WAITING_ALWAYS_ALLOWED {
            return Ok(());
        }
        match self.queues.retry_after(self.cx.now, req.organisation) {
            Some(wait) if wait > max_wait => Err(Refusal::not_run(Reason::QueueFull, Some(wait))),
            _ => Ok(()),
        }
    }

    fn choose_locally(
        &self,
        candidates: &[CandidateLoad],
        request: RequestId,
        waits_for_holder: bool,
        is_short: bool,
    ) -> Option<Choice> {
        let active = self.requests.get(&request)?;
        let constraints = active.retry_state.dispatch_constraints();
        let wanted = RequestProfile {
            size: self.size(active),
            due_tokens: self.due_tokens(active),
            is_short,
            ..RequestProfile::of(&active.req, waits_for_holder)
        };
        let now = self.cx.now;
        let is_preferred =
            |place: &&CandidateLoad| constraints.prefer == Some(place.candidate.target);
        let is_open = |place: &&CandidateLoad| !constraints.avoid.contains(&place.candidate.target);
        let choose_preferred = |_| {
            let preferred = candidates.iter().filter(is_preferred);
            self.balance.choose(now, wanted, preferred)
        };
        // The check of `prefer` comes first because few requests prefer a target, and each choice
        // looks up which targets hold the prompt.
        constraints.prefer.and_then(choose_preferred).or_else(|| {
            self.balance
                .choose(now, wanted, candidates.iter().filter(is_open))
        })
    }

    /// Returns the tokens that a target of usual speed reads until the answer to a request is due.
    fn due_tokens(&self, active: &Active) -> u64 {
        let (Some(objective), Some(_)) = (active.req.details.objective, active.req.details.gap_max)
        else {
            return u64::MAX;
        };
        let left = objective.saturating_sub(self.cx.now.since(active.arrived));
        let assumed = self.balance.cfg().read_per_ms;
        self.speeds.rate(active.req.pool, assumed).tokens_in(left)
    }

    /// Returns the targets of a pool that may be sent requests now, with their load. The list is
    /// built once for all waiting requests.
    fn candidates(&self, pool: PoolId, arm: Arm, target_list: &TargetList) -> Vec<CandidateLoad> {
        let now = self.cx.now;
        let mut usable = self.targets.usable_each(now);
        let open = |listed: &&ListedTarget| {
            let view = listed.view();
            self.moves.arm_includes(pool, arm, &view.entry.version)
                && usable(&view)
                && !self.quarantine.is_reserved(now, view.id)
                && self.cold_limit_allows(pool, view.id)
                && self.pace.allows(view.id)
                && self.limits.allows(view.id)
        };
        let open: Vec<Candidate> = target_list
            .targets
            .iter()
            .filter(open)
            .map(|listed| listed.candidate)
            .collect();
        let loads = self.balance.loads(now, open.iter().map(|it| it.target));
        let unread_max = target_list.gap_aim.and_then(|_| self.slow_unread_max(pool));
        let pause_bound = target_list
            .gap_aim
            .map(|gap| self.pause_bound(pool, gap, target_list.event_tokens));
        let mut work = self.speeds.work_each(now, speed::Basis::Stated);
        let places = open.iter().zip(loads);
        places
            .map(|(&candidate, load)| {
                let permits = self.limits.permits(candidate.target);
                // A limit suits large requests.
                let prefers_light = candidate.prefers_light && permits.is_none();
                CandidateLoad {
                    candidate: Candidate {
                        prefers_light,
                        ..candidate
                    },
                    load,
                    permits,
                    speed: self.read_speed(work(candidate.target), unread_max, pause_bound),
                }
            })
            .collect()
    }

    /// Returns the most unread tokens at a target of usual speed, if the targets of the pool are known to
    /// read clearly slower than assumed.
    fn slow_unread_max(&self, pool: PoolId) -> Option<u64> {
        let cfg = self.balance.cfg();
        let most = self
            .speeds
            .rate(pool, cfg.read_per_ms)
            .tokens_in(cfg.max_unread);
        let is_slow = most * 100 < cfg.max_unread_tokens() * SLOW_POOL_PERCENT;
        is_slow.then_some(most)
    }

    /// Returns how fast a target of this work reads, and how much may be unread there: `unread_max` at
    /// usual speed, or less where streams would pause for too long.
    fn read_speed(
        &self,
        work: u32,
        unread_max: Option<u64>,
        pause: Option<PauseBound>,
    ) -> ReadSpeed {
        let at_work = |tokens: u64| tokens * u64::from(WORK_USUAL) / u64::from(work);
        let unread_max = match pause.filter(|pause| pause.applies(work)) {
            Some(pause) => Some(at_work(pause.unread_max)),
            None if work == WORK_USUAL => unread_max,
            None => Some(at_work(
                unread_max.unwrap_or_else(|| self.balance.cfg().max_unread_tokens()),
            )),
        };
        ReadSpeed { work, unread_max }
    }

    /// Returns what targets of a pool may have unread so that streams with this pause objective are on
    /// time. `event_tokens` is what a target reads during one event of a stream at most.
    fn pause_bound(&self, pool: PoolId, gap: Duration, event_tokens: u64) -> PauseBound {
        let cfg = self.balance.cfg();
        let rate = self.speeds.rate(pool, cfg.read_per_ms);
        let time = (gap * cfg.pause_percent / 100).min(cfg.max_unread);
        PauseBound {
            unread_max: rate.tokens_in(time),
            event_tokens,
            borne_tokens: rate.tokens_in(gap * READING_PERCENT / 100),
        }
    }

    /// Removes and returns the cached list of a pool's targets, rebuilt if the catalogue has
    /// changed.
    fn take_target_list(&mut self, pool: PoolId) -> TargetList {
        let changes = self.catalogue.changes();
        match self.target_lists.remove(&pool) {
            Some(mut target_list) if target_list.changes == changes => {
                self.update_light_targets(pool, &mut target_list);
                target_list
            }
            _ => {
                let catalogue = &self.catalogue;
                self.speeds.retain_known(
                    |target| catalogue.target(target).is_some(),
                    |pool| catalogue.pool(pool).is_some(),
                );
                self.target_list(pool, changes)
            }
        }
    }

    /// Determines again which targets are reserved for light requests, where that depends on their
    /// speeds.
    fn update_light_targets(&self, pool: PoolId, target_list: &mut TargetList) {
        let now = self.cx.now;
        if target_list.gap_aim.is_none() || now.since(target_list.light_at) < LIGHT_TARGETS_INTERVAL
        {
            return;
        }
        target_list.light_at = now;
        let ids = target_list.targets.iter().map(|it| it.candidate.target);
        let light = self.targets_for_light_requests(pool, ids);
        for listed in &mut target_list.targets {
            listed.candidate.prefers_light = light.contains(&listed.candidate.target);
        }
    }

    fn target_list(&self, pool: PoolId, changes: u64) -> TargetList {
        let mut views: Vec<TargetView<'_>> = self.catalogue.targets_of(pool).collect();
        views.sort_unstable_by_key(|view| view.id);
        let quiet = self.targets_for_light_requests(pool, views.iter().map(|view| view.id));
        let entry = self.catalogue.pool(pool);
        let listed = |view: &TargetView<'_>| ListedTarget {
            candidate: Candidate {
                target: view.id,
                slots: view.entry.slots,
                distance: self.distance(view),
                prefers_light: quiet.contains(&view.id),
            },
            entry: view.entry.clone(),
            data_centre: view.data_centre,
            out_of_service: view.out,
        };
        TargetList {
            changes,
            light_at: self.cx.now,
            gap_aim: entry.and_then(|pool| self.catalogue.gap_aim(&pool.name)),
            event_tokens: entry.map_or(0, |pool| {
                u64::from(pool.bounds.tokens_per_event) * STEP_TOKENS
            }),
            targets: views.iter().map(listed).collect(),
        }
    }

    /// Updates the load of a candidate that was just sent a request, or removes the candidate if it
    /// may not be sent another.
    fn refresh_candidate(
        &self,
        pool: PoolId,
        candidates: &mut Vec<CandidateLoad>,
        target: TargetId,
    ) {
        let now = self.cx.now;
        let permits = self.limits.permits(target);
        let is_open = self.cold_limit_allows(pool, target)
            && self.pace.allows(target)
            && self.targets.wants_requests(now, target)
            && self.limits.allows(target);
        candidates.retain(|place| is_open || place.candidate.target != target);
        for place in candidates {
            if place.candidate.target == target {
                place.load = self.balance.load(now, target);
                place.permits = permits;
            }
        }
    }

    /// Says whether the limit on requests to cold targets lets this router send a target another
    /// request.
    fn cold_limit_allows(&self, pool: PoolId, target: TargetId) -> bool {
        let now = self.cx.now;
        let is_cold = self.cold_targets.is_cold(now, target);
        !is_cold || {
            let allowance = self.allowance(pool);
            self.cold_targets
                .allows(now, target, &allowance, self.cx.me)
        }
    }

    /// Sets this router's part of the fleet's retry burst: the retries allowed beyond those that
    /// requests earn.
    pub(super) fn update_retry_burst(&mut self) {
        if let Some(burst) = self.cfg.attempt.fleet_burst {
            let others = self.members.peers().filter(|(_, peer)| peer.listed).count();
            let routers = u32::try_from(others + 1).unwrap_or(u32::MAX);
            self.budgets.set_burst(burst / routers);
        }
    }

    /// Returns the targets of a pool that are reserved for light requests: the first ones by id, an
    /// order that all routers share, so that adding or removing a target changes at most one of
    /// them. Targets that state that they are slow come first, because reading long prompts there
    /// makes streams late.
    fn targets_for_light_requests(
        &self,
        pool: PoolId,
        targets: impl Iterator<Item = TargetId>,
    ) -> Vec<TargetId> {
        let is_model = |pool: &Pool| pool.service == Service::Model;
        if !self.catalogue.pool(pool).is_some_and(is_model) {
            return Vec::new();
        }
        let is_fast = |id| !self.speeds.is_slow(self.cx.now, id);
        let mut targets: Vec<(bool, TargetId)> = targets.map(|id| (is_fast(id), id)).collect();
        let count = targets.len() * self.balance.cfg().light_percent as usize / 100;
        targets.sort_unstable();
        targets.truncate(count);
        targets.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns how many requests per second the fleet may send to a cold target of a pool, and the
    /// routers that share them.
    pub(super) fn allowance(&self, pool: PoolId) -> Allowance {
        let per_second = self
            .catalogue
            .pool(pool)
            .map_or(0, |pool| pool.bounds.cold_starts_per_s);
        let listed = self.members.peers().filter(|(_, peer)| peer.listed);
        Allowance {
            per_second,
            routers: listed.map(|(id, _)| id).chain([self.cx.me]).collect(),
            is_former_run_recent: Allowance::is_former_run_recent(self.cx.now, self.started),
        }
    }

    /// Asks for shares of the allowance of cold targets, and lends this router's.
    pub(super) fn exchange_cold_shares(&mut self) {
        let now = self.cx.now;
        self.cold_targets.expire_loans(now);
        if self.slots.cfg.policy != Policy::Local {
            return;
        }
        let cold: Vec<TargetId> = self.cold_targets.cold(now).collect();
        let mut allowances: BTreeMap<PoolId, Allowance> = BTreeMap::new();
        for target in cold {
            let Some(pool) = self.pool_of_target(target) else {
                continue;
            };
            let demand = self.demand.requests(now, pool);
            let allowance = allowances
                .entry(pool)
                .or_insert_with(|| self.allowance(pool));
            if allowance.per_second == 0 {
                continue;
            }
            self.cold_targets
                .lend_if_due(&mut self.cx, target, demand, allowance);
            self.cold_targets
                .ask_if_due(&mut self.cx, target, demand, allowance);
        }
    }

    /// Counts a request that was sent as service of its organisation.
    fn record_sent(&mut self, pool: PoolId, organisation: OrganisationId, request: RequestId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let work = work_of(&active.req);
        self.funnels.of(pool, organisation).sent += work;
        let key = (pool, organisation);
        self.service.on_sent(self.cx.now, key, work.tokens);
        self.balance.spend_share(pool, organisation, work.tokens);
    }

    fn record_unread(&mut self, request: RequestId, choice: Choice) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let parts = &active.req.details.parts;
        let ahead = self.balance.load(self.cx.now, choice.target).unread;
        self.balance
            .on_dispatch(self.cx.now, choice.target, choice.unread, parts);
        if let crate::node::request::Stage::Running(attempt) = active.stage
            && let Some(attempt) = self.attempts.get_mut(&attempt)
        {
            attempt.unread = choice.unread;
            attempt.ahead = ahead;
            attempt.sample.tokens = choice.unread;
            attempt.is_balanced = true;
        }
    }

    /// Returns the route of a caller's request and the pool that takes the request, by the route's
    /// shares. Each call counts towards the shares, so it must be made once per request.
    pub fn resolve(&mut self, host: &str, path: &str) -> Option<(Route, PoolId)> {
        let route = self.catalogue.route(host, path)?.clone();
        let (pool, _) = self.catalogue.pool_by_name(self.splits.next(&route)?)?;
        Some((route, pool))
    }

    /// Returns the addresses for callers near a data centre: the strongest routers that serve
    /// there, or all routers that serve if there are too few in the data centre to survive the loss
    /// of one.
    pub fn addresses_near(&self, data_centre: Option<&str>) -> Vec<String> {
        address::addresses_near(
            &self.members,
            self.cx.now,
            data_centre,
            &self.cfg.data_centre,
        )
    }
}

/// What targets of usual speed may have unread so that streams there are on time.
#[derive(Debug, Clone, Copy)]
struct PauseBound {
    /// The most unread tokens where reading can make streams late.
    unread_max: u64,
    /// The most tokens that a target reads during one event of a stream.
    event_tokens: u64,
    /// The tokens that a target of usual speed reads within the pause that streams bear.
    borne_tokens: u64,
}

impl PauseBound {
    /// Returns whether a target of this work makes streams late while it reads without interruption.
    const fn applies(&self, work: u32) -> bool {
        self.event_tokens * work as u64 > self.borne_tokens * WORK_USUAL as u64
    }
}
