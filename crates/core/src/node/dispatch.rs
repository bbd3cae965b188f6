//! Dispatch of waiting requests: the loop over all pools, and the matching of requests with granted
//! slots.

use crate::attempt::DispatchConstraints;
use crate::catalogue::TargetView;
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::node::version::VersionSample;
use crate::output::{Basis, Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;
use crate::route::{self, Distance};
use crate::slots::Policy;
use crate::slots::lane::new_lane;
use crate::version::Arm;
use crate::version::evidence::{Route, Slice};

/// The most rounds of dispatch and local messages in one event; the rest is left to the next event.
const DISPATCH_ROUNDS_MAX: u32 = 16;

/// The organisation whose request is next for a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn {
    pub(super) organisation: OrganisationId,
    /// The lowest virtual time of all organisations that wait at this router for the pool.
    lowest: u64,
    urgent: bool,
    /// Whether the turn is for an urgent request only, ahead of organisations with a lower virtual
    /// time.
    pub(super) urgent_only: bool,
}

/// An organisation that waits for a pool and is below its limit of running requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EligibleOrganisation {
    pub(super) time: u64,
    pub(super) organisation: OrganisationId,
    pub(super) weight: u32,
    pub(super) waiting: usize,
    pub(super) urgent: bool,
}

impl Node {
    /// Dispatches waiting requests as long as there are slots for them, and exchanges slots with
    /// owners for the rest.
    pub(super) fn dispatch_waiting(&mut self) {
        for _ in 0..DISPATCH_ROUNDS_MAX {
            if self.may_dispatch() {
                for pool in self.queues.pools() {
                    match self.slots.cfg.policy {
                        Policy::Local => self.dispatch_locally(pool),
                        _ => self.dispatch_granted(pool),
                    }
                }
            }
            self.exchange_slots();
            if !self.handle_local_messages() {
                break;
            }
        }
    }

    /// Dispatches the requests that wait for a pool to granted slots.
    ///
    /// A request that must avoid every free target is set aside, so that it does not block the
    /// others.
    fn dispatch_granted(&mut self, pool: PoolId) {
        let mut deferred = Vec::new();
        while let Some((turn, arm)) = self.next_turn(pool) {
            let next = self
                .queues
                .pop(self.cx.now, pool, turn.organisation, turn.urgent_only);
            let Some((class, waiting)) = next else {
                break;
            };
            let handled = self.try_dispatch((pool, arm), class, waiting, turn);
            deferred.extend((!handled).then_some((turn.organisation, class, waiting)));
        }
        for (organisation, class, waiting) in deferred.into_iter().rev() {
            let begins = self.queues.lane_mut(pool, organisation).is_none();
            self.queues.push_front(pool, organisation, class, waiting);
            if begins {
                self.begin_waiting(pool, organisation);
            }
        }
    }

    /// Dispatches a request to a free target, and says whether the request is handled. `false`
    /// means that no target that it may use is free.
    ///
    /// The deadline is checked again here, because a router that was paused may decide late.
    fn try_dispatch(
        &mut self,
        (pool, arm): (PoolId, Arm),
        class: Class,
        waiting: Waiting,
        turn: Turn,
    ) -> bool {
        if waiting.deadline <= self.cx.now {
            self.abandon(waiting.request, Reason::DeadlinePassed);
            return true;
        }
        if self.hold_if_suspect(waiting.request) {
            return true;
        }
        let Some(target) = self.choose((pool, arm), waiting.request, turn) else {
            return false;
        };
        let basis = self.granted_basis(&waiting);
        self.dispatch(pool, class, waiting, target, basis);
        true
    }

    /// Returns whose request is next and for which version, if there is a slot for it. A slot
    /// reserved for urgent requests goes to the first urgent request, also when it is the turn of
    /// an organisation without one.
    fn next_turn(&mut self, pool: PoolId) -> Option<(Turn, Arm)> {
        let (first, urgent) = self.turns(pool)?;
        let short = self
            .running
            .is_interactive_short(pool, self.queues.cfg().interactive_percent);
        let turns = match urgent {
            Some(urgent) if short => [Some(urgent), Some(first)],
            urgent => [Some(first), urgent],
        };
        turns
            .into_iter()
            .flatten()
            .find_map(|turn| Some((turn, self.available_arm(pool, turn)?)))
    }

    /// Returns the organisations that wait for a pool and may run another request, in ascending
    /// order of virtual time. With [`Policy::Local`] the order is by recent service instead.
    pub(super) fn eligible_organisations(&self, pool: PoolId) -> Vec<EligibleOrganisation> {
        let lanes = self.queues.backlogged(pool);
        let mut candidates: Vec<EligibleOrganisation> = lanes
            .filter_map(|(organisation, lane)| {
                let entry = self.catalogue.organisation(organisation);
                let (weight, most) = entry.map_or((1, 1), |e| (e.weight, e.limits.running));
                let running = self.running.of(organisation);
                let time = match self.slots.cfg.policy {
                    Policy::Local => self.recent_time(organisation, weight),
                    _ => {
                        let time = self.ledger.virtual_time(organisation, weight);
                        (time + lane.raise).saturating_sub(lane.discount)
                    }
                };
                (running < most).then(|| EligibleOrganisation {
                    time,
                    organisation,
                    weight,
                    waiting: lane.len().min((most - running) as usize),
                    urgent: lane.has_urgent(),
                })
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }

    /// Returns the turn of the organisation with the lowest virtual time and, if urgent requests
    /// may go ahead, the turn of the lowest organisation with an urgent request.
    pub(super) fn turns(&mut self, pool: PoolId) -> Option<(Turn, Option<Turn>)> {
        let candidates = self.eligible_organisations(pool);
        let first = *candidates.first()?;
        self.advance_system_time(pool, first);
        let turn = |candidate: &EligibleOrganisation, urgent_only| Turn {
            organisation: candidate.organisation,
            lowest: first.time,
            urgent: candidate.urgent,
            urgent_only,
        };
        let urgent = self.first_urgent(&candidates);
        let urgent = urgent.map(|candidate| turn(candidate, true));
        Some((turn(&first, false), urgent))
    }

    /// Returns the first candidate with an urgent request whose virtual time is within the
    /// configured lead of the lowest one.
    pub(super) fn first_urgent<'a>(
        &self,
        candidates: &'a [EligibleOrganisation],
    ) -> Option<&'a EligibleOrganisation> {
        let lead = self.queues.cfg().lead.0;
        let lowest = candidates.first()?.time;
        candidates
            .iter()
            .find(|candidate| candidate.urgent && candidate.time <= lowest.saturating_add(lead))
    }

    /// Raises the pool's system virtual time, and lifts the first organisation if it lags too far
    /// behind.
    fn advance_system_time(&mut self, pool: PoolId, first: EligibleOrganisation) {
        let floors = [pool, new_lane(pool)].map(|lane| self.slots.holder.floor(lane));
        let floor = floors.into_iter().flatten().min();
        let reached = floor.map_or(first.time, |floor| floor.min(first.time));
        self.slots.raise_system(pool, reached);
        let lowest = self
            .slots
            .system(pool)
            .saturating_sub(self.ledger.cfg().catch_up.0);
        if first.time < lowest {
            let to = lowest.saturating_add(self.discount(pool, first.organisation));
            self.ledger.lift(first.organisation, first.weight, to);
        }
    }

    /// Returns the target that gets a request, if one is free.
    fn choose(
        &self,
        (pool, arm): (PoolId, Arm),
        request: RequestId,
        turn: Turn,
    ) -> Option<TargetId> {
        let active = self.requests.get(&request)?;
        let DispatchConstraints { avoid, prefer } = active.retry_state.dispatch_constraints();
        let mut open = self.open_targets(pool, arm, turn);
        if prefer.is_some() && open.any(|open| Some(open.target) == prefer && has_free_slot(open)) {
            return prefer;
        }
        let rest = self
            .open_targets(pool, arm, turn)
            .filter(|open| !avoid.contains(&open.target));
        let salt = request.0 ^ (u64::from(self.cx.me.0) << 32);
        route::choose(rest, self.prefixes.holders(active.req.prefix), salt)
    }

    /// Returns the version that is next in turn if it has a free slot, or else the other version if
    /// that may stand in and has one.
    fn available_arm(&mut self, pool: PoolId, turn: Turn) -> Option<Arm> {
        let first = self.moves.next_arm(pool);
        if self.open_targets(pool, first, turn).any(has_free_slot) {
            return Some(first);
        }
        let other = self.moves.fallback_arm(self.cx.now, pool, first)?;
        let is_open = self.open_targets(pool, other, turn).any(has_free_slot);
        is_open.then_some(other)
    }

    /// Returns the targets of a pool that this router may use now for the request that is next.
    fn open_targets(
        &self,
        pool: PoolId,
        arm: Arm,
        turn: Turn,
    ) -> impl Iterator<Item = route::Candidate> {
        let split = self.slots.cfg.policy == Policy::FixedSplit;
        let parts = split.then(|| self.parts_of_split(pool));
        let open = (!split).then(|| self.open_grants(pool, arm, turn));
        let all = parts
            .into_iter()
            .flatten()
            .chain(open.into_iter().flatten());
        all.filter_map(move |(target, used, part)| {
            let view = self.catalogue.target(target)?;
            let usable = self.moves.arm_includes(pool, arm, &view.entry.version)
                && self.targets.usable(self.cx.now, &view)
                && !self.quarantine.is_reserved(self.cx.now, target);
            usable.then(|| route::Candidate {
                target,
                used,
                part,
                distance: self.distance(&view),
            })
        })
    }

    /// Returns targets with granted slots, each with the number of requests that this router has
    /// there and the number that it may have there.
    fn open_grants(
        &self,
        pool: PoolId,
        arm: Arm,
        turn: Turn,
    ) -> impl Iterator<Item = (TargetId, u32, u32)> {
        let holder = &self.slots.holder;
        let lane = if arm == Arm::New {
            new_lane(pool)
        } else {
            pool
        };
        holder
            .open(self.cx.now, lane)
            .filter(move |&(target, _)| holder.may_use(target, turn.lowest, turn.urgent))
            .map(move |(target, idle)| {
                let used = holder.running(target);
                (target, used, used + idle)
            })
    }

    fn parts_of_split(&self, pool: PoolId) -> impl Iterator<Item = (TargetId, u32, u32)> {
        let routers = u32::try_from(self.members.live(self.cx.now).count()).unwrap_or(u32::MAX);
        self.catalogue.targets_of(pool).map(move |view| {
            let part = (view.entry.slots / routers.max(1)).max(1);
            (view.id, self.slots.holder.running(view.id), part)
        })
    }

    pub(super) fn distance(&self, view: &TargetView<'_>) -> Distance {
        let mine = &self.cfg.data_centre;
        if view.entry.data_centre == *mine {
            return Distance::Near;
        }
        let region = |name: &str| {
            let (_, entry) = self.catalogue.data_centre_by_name(name)?;
            Some(entry.region.as_str())
        };
        if region(mine) == region(&view.entry.data_centre) {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    /// Returns the basis of a dispatch for which the router holds a granted slot.
    pub(super) fn granted_basis(&self, waiting: &Waiting) -> Basis {
        Basis {
            waited: self.cx.now.since(waiting.since),
            ..Basis::default()
        }
    }

    pub(super) fn dispatch(
        &mut self,
        pool: PoolId,
        class: Class,
        waiting: Waiting,
        target: TargetId,
        basis: Basis,
    ) {
        let Some(active) = self.requests.get_mut(&waiting.request) else {
            return;
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        active.stage = Stage::Running(attempt);
        active.retry_state.begin(target);
        let resume_from = active.retry_state.delivered();
        let dispatch = Dispatch {
            request: waiting.request,
            attempt,
            target,
            resume_from,
            basis,
        };
        let (organisation, prompt) = (active.req.organisation, active.req.prompt_tokens);
        let prefix = active.req.prefix;
        let objective = active.req.details.objective.unwrap_or_default();
        let objective_ms = u32::try_from(objective.as_millis()).unwrap_or(u32::MAX);
        let charge_account = self.open_charge_account(organisation, prompt);
        let known = self.slots.owners.of(target);
        let (lane, owner) = known.unwrap_or((pool, self.cx.me));
        self.slots.holder.on_start(target, lane, owner);
        self.running.add(pool, organisation, class);
        self.targets.on_dispatch(self.cx.now, target);
        self.cold_targets.on_dispatch(self.cx.now, target);
        self.limits.on_dispatch(target);
        self.pace.on_dispatch(target);
        if let Some(prefix) = prefix {
            self.prefixes.store(target, prefix);
        }
        let load = self.load_of(target);
        let route = Route {
            class,
            objective_ms,
            load,
        };
        let sample = VersionSample::new(route, prompt);
        let mut state = Attempt::new(waiting.request, target, self.cx.now, charge_account, sample);
        state.tokens_counted = resume_from;
        state.runs_as = (pool, organisation, class);
        self.attempts.insert(attempt, state);
        if !self.moves.is_empty()
            && let Some((pool, version)) = self.version_of(target)
        {
            let version = version.to_owned();
            let slice = Slice::of(route, target);
            self.moves.on_dispatch(pool, &version, slice);
        }
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}

/// Says whether this router may send a target another request.
const fn has_free_slot(open: route::Candidate) -> bool {
    open.used < open.part
}
