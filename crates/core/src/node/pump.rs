//! Matching requests that wait with slots that are free.

use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::node::slots::usable;
use crate::output::{Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;
use crate::slots::Policy;

/// How often a node deals with itself in one event; the rest is left to the next event.
const ROUNDS: u32 = 16;

/// Whose request is next for a pool.
#[derive(Debug, Clone, Copy)]
struct Turn {
    organisation: OrganisationId,
    /// The lowest virtual time of all that wait here for the pool.
    lowest: u64,
    urgent: bool,
    /// Whether it goes before others because it is urgent.
    kept: bool,
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
                    self.pump_pool(pool);
                }
            }
            self.deal();
            if !self.take_own_mail() {
                break;
            }
        }
    }

    fn pump_pool(&mut self, pool: PoolId) {
        while let Some((turn, target)) = self.next_match(pool) {
            let next = self
                .queues
                .pop(self.cx.now, pool, turn.organisation, turn.kept);
            let Some((class, waiting)) = next else {
                break;
            };
            self.dispatch(pool, class, waiting, target);
        }
    }

    /// Returns whose request is next and where it runs. A slot that is kept for urgent requests goes to
    /// the first of them if it is not the turn of one anyway.
    fn next_match(&mut self, pool: PoolId) -> Option<(Turn, TargetId)> {
        let (first, urgent) = self.turns(pool)?;
        let short = self.running.urgent_is_short(pool, self.queues.cfg().share);
        let turns = match urgent {
            Some(urgent) if short => [Some(urgent), Some(first)],
            urgent => [Some(first), urgent],
        };
        turns
            .into_iter()
            .flatten()
            .find_map(|turn| self.choose(pool, turn).map(|target| (turn, target)))
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
                let time = self.ledger.virtual_time(organisation, weight);
                (running < most).then(|| Candidate {
                    time: (time + lane.raise).saturating_sub(lane.discount),
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
    fn turns(&mut self, pool: PoolId) -> Option<(Turn, Option<Turn>)> {
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
        let floor = self.slots.holder.floor(pool);
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

    /// Returns the target of a pool that gets the next request, if one may.
    fn choose(&self, pool: PoolId, turn: Turn) -> Option<TargetId> {
        if self.slots.cfg.policy == Policy::FixedSplit {
            return self.choose_of_split(pool);
        }
        self.slots
            .holder
            .open(self.cx.now, pool)
            .filter(|&(target, _)| usable(&self.catalogue, target))
            .filter(|&(target, _)| self.slots.holder.may_use(target, turn.lowest, turn.urgent))
            .max_by_key(|&(target, idle)| (idle, target))
            .map(|(target, _)| target)
    }

    fn choose_of_split(&self, pool: PoolId) -> Option<TargetId> {
        let routers = u32::try_from(self.members.live(self.cx.now).count()).unwrap_or(u32::MAX);
        self.catalogue
            .targets_of(pool)
            .filter(|target| !target.out)
            .map(|target| {
                let part = (target.entry.slots / routers.max(1)).max(1);
                let used = self.slots.holder.running(target.id);
                (part.saturating_sub(used), target.id)
            })
            .filter(|&(free, _)| free > 0)
            .max()
            .map(|(_, target)| target)
    }

    fn dispatch(&mut self, pool: PoolId, class: Class, waiting: Waiting, target: TargetId) {
        let Some(active) = self.requests.get_mut(&waiting.request) else {
            return;
        };
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        active.stage = Stage::Running(attempt);
        active.attempts += 1;
        let dispatch = Dispatch {
            request: waiting.request,
            attempt,
            target,
            resume_from: active.delivered,
        };
        let (organisation, prompt) = (active.req.organisation, active.req.prompt_tokens);
        let bill = self.open_bill(organisation, prompt);
        let owner = self.slots.owners.of(target).map_or(self.cx.me, |(_, o)| o);
        self.slots.holder.take(target, pool, owner);
        self.running.add(pool, organisation, class);
        let mut state = Attempt::new(waiting.request, target, self.cx.now, bill);
        state.runs_as = (pool, organisation, class);
        self.attempts.insert(attempt, state);
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}
