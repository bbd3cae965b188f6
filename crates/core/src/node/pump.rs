//! Matching requests that wait with slots that are free.

use crate::attempt::DispatchConstraints;
use crate::catalogue::TargetView;
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::node::version::Trial;
use crate::output::{Basis, Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;
use crate::route::{self, Distance};
use crate::slots::Policy;
use crate::slots::lane::new_lane;
use crate::version::Arm;
use crate::version::evidence::{Route, Slice};

/// How often a node deals with itself in one event; the rest is left to the next event.
const ROUNDS: u32 = 16;

/// Whose request is next for a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn {
    pub(super) organisation: OrganisationId,
    /// The lowest virtual time of all that wait here for the pool.
    lowest: u64,
    urgent: bool,
    /// Whether it goes before others because it is urgent.
    pub(super) kept: bool,
}

/// An organisation that waits for a pool and may run another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    pub(super) time: u64,
    pub(super) organisation: OrganisationId,
    pub(super) weight: u32,
    pub(super) waiting: usize,
    pub(super) urgent: bool,
}

impl Node {
    /// Dispatches requests as long as there is a slot for the next one, and deals with owners about the
    /// rest.
    pub(super) fn pump(&mut self) {
        for _ in 0..ROUNDS {
            if self.gives_out_work() {
                for pool in self.queues.pools() {
                    match self.slots.cfg.policy {
                        Policy::Local => self.pump_locally(pool),
                        _ => self.pump_pool(pool),
                    }
                }
            }
            self.deal();
            if !self.take_own_mail() {
                break;
            }
        }
    }

    /// Dispatches what waits for a pool.
    ///
    /// A request that must avoid every target that is free is put aside, so that it does not hold up
    /// the others.
    fn pump_pool(&mut self, pool: PoolId) {
        let mut aside = Vec::new();
        while let Some((turn, arm)) = self.next_turn(pool) {
            let next = self
                .queues
                .pop(self.cx.now, pool, turn.organisation, turn.kept);
            let Some((class, waiting)) = next else {
                break;
            };
            let placed = self.place((pool, arm), class, waiting, turn);
            aside.extend((!placed).then_some((turn.organisation, class, waiting)));
        }
        for (organisation, class, waiting) in aside.into_iter().rev() {
            let enters = self.queues.lane_mut(pool, organisation).is_none();
            self.queues.push_front(pool, organisation, class, waiting);
            if enters {
                self.enter(pool, organisation);
            }
        }
    }

    /// Dispatches a request unless no target that it may go to is free, and says whether it is dealt
    /// with.
    ///
    /// The deadline is checked here again, because a router that was paused may decide late.
    fn place(
        &mut self,
        (pool, arm): (PoolId, Arm),
        class: Class,
        waiting: Waiting,
        turn: Turn,
    ) -> bool {
        if waiting.deadline <= self.cx.now {
            self.give_up(waiting.request, Reason::DeadlinePassed);
            return true;
        }
        if self.holds_suspect(waiting.request) {
            return true;
        }
        let Some(target) = self.choose((pool, arm), waiting.request, turn) else {
            return false;
        };
        let basis = self.granted(&waiting);
        self.dispatch(pool, class, waiting, target, basis);
        true
    }

    /// Returns whose request is next, if there is a slot for it. A slot that is kept for urgent requests goes to
    /// the first of them if it is not the turn of one anyway.
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
            .find_map(|turn| Some((turn, self.open_arm(pool, turn)?)))
    }

    /// Returns the organisations that wait for a pool and may run another request, the lowest virtual
    /// time first.
    pub(super) fn candidates(&self, pool: PoolId) -> Vec<Candidate> {
        let lanes = self.queues.backlogged(pool);
        let mut candidates: Vec<Candidate> = lanes
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
                (running < most).then(|| Candidate {
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

    /// Returns the turn of the lowest virtual time, and that of the lowest with an urgent request as far
    /// as it may go ahead.
    pub(super) fn turns(&mut self, pool: PoolId) -> Option<(Turn, Option<Turn>)> {
        let candidates = self.candidates(pool);
        let first = *candidates.first()?;
        self.keep_up(pool, first);
        let turn = |candidate: &Candidate, kept| Turn {
            organisation: candidate.organisation,
            lowest: first.time,
            urgent: candidate.urgent,
            kept,
        };
        let urgent = self.first_urgent(&candidates);
        let urgent = urgent.map(|candidate| turn(candidate, true));
        Some((turn(&first, false), urgent))
    }

    /// Returns the first candidate with an urgent request that is not too far above the floor.
    pub(super) fn first_urgent<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let lead = self.queues.cfg().lead.0;
        let lowest = candidates.first()?.time;
        candidates
            .iter()
            .find(|candidate| candidate.urgent && candidate.time <= lowest.saturating_add(lead))
    }

    /// Raises the pool's system virtual time, and lifts an organisation that lags too far behind it.
    fn keep_up(&mut self, pool: PoolId, first: Candidate) {
        let floors = [pool, new_lane(pool)].map(|lane| self.slots.holder.floor(lane));
        let floor = floors.into_iter().flatten().min();
        let seen = floor.map_or(first.time, |floor| floor.min(first.time));
        self.slots.raise_system(pool, seen);
        let lowest = self
            .slots
            .system(pool)
            .saturating_sub(self.ledger.cfg().catch_up.0);
        if first.time < lowest {
            let to = lowest.saturating_add(self.discount(pool, first.organisation));
            self.ledger.lift(first.organisation, first.weight, to);
        }
    }

    /// Returns the target that gets a request, if one may.
    fn choose(
        &self,
        (pool, arm): (PoolId, Arm),
        request: RequestId,
        turn: Turn,
    ) -> Option<TargetId> {
        let active = self.requests.get(&request)?;
        let DispatchConstraints { avoid, prefer } = active.life.dispatch_constraints();
        let mut open = self.open_targets(pool, arm, turn);
        if prefer.is_some() && open.any(|open| Some(open.target) == prefer && has_room(open)) {
            return prefer;
        }
        let rest = self
            .open_targets(pool, arm, turn)
            .filter(|open| !avoid.contains(&open.target));
        let salt = request.0 ^ (u64::from(self.cx.me.0) << 32);
        route::choose(rest, self.prefixes.holders(active.req.prefix), salt)
    }

    /// Returns the version whose turn it is, or that may stand in, if it has a free slot.
    fn open_arm(&mut self, pool: PoolId, turn: Turn) -> Option<Arm> {
        let first = self.moves.next_arm(pool);
        if self.open_targets(pool, first, turn).any(has_room) {
            return Some(first);
        }
        let other = self.moves.fallback_arm(self.cx.now, pool, first)?;
        let is_open = self.open_targets(pool, other, turn).any(has_room);
        is_open.then_some(other)
    }

    /// Returns the targets of a pool that this router may use now for the request whose turn it is.
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

    /// Returns targets with the requests that this router has there and may have there.
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

    /// Returns what the dispatch of a request rests on whose router holds a slot for it.
    pub(super) fn granted(&self, waiting: &Waiting) -> Basis {
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
        active.life.begin(target);
        let resume_from = active.life.delivered();
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
        let bill = self.open_bill(organisation, prompt);
        let known = self.slots.owners.of(target);
        let (lane, owner) = known.unwrap_or((pool, self.cx.me));
        self.slots.holder.on_start(target, lane, owner);
        self.running.add(pool, organisation, class);
        self.targets.on_dispatch(self.cx.now, target);
        self.starts.on_dispatch(self.cx.now, target);
        if let Some(prefix) = prefix {
            self.prefixes.store(target, prefix);
        }
        let load = self.load_of(target);
        let route = Route {
            class,
            objective_ms,
            load,
        };
        let trial = Trial::new(route, prompt);
        let mut state = Attempt::new(waiting.request, target, self.cx.now, bill, trial);
        state.counted = resume_from;
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

/// Says whether a target takes another request from this router.
const fn has_room(open: route::Candidate) -> bool {
    open.used < open.part
}
