//! Matching requests that wait with slots that are free.

use crate::attempt::Wish;
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::output::{Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;

impl Node {
    /// Dispatches requests as long as there is a slot for the next one.
    ///
    /// A request that must avoid every target that is free is put aside, so that it does not hold up
    /// the others.
    pub(super) fn pump(&mut self) {
        if !self.is_ready() {
            return;
        }
        for pool in self.queues.pools() {
            let mut aside = Vec::new();
            while self.choose(pool, Wish::default()).is_some() {
                let Some(waiting) = self.next(pool) else {
                    break;
                };
                aside.extend(self.place(pool, waiting));
            }
            for waiting in aside.into_iter().rev() {
                self.put_back(waiting);
            }
        }
    }

    /// Dispatches a request, or returns it if no target that it may go to is free.
    ///
    /// The deadline is checked here again, because a router that was paused may decide late.
    fn place(&mut self, pool: PoolId, waiting: Waiting) -> Option<Waiting> {
        if waiting.deadline <= self.cx.now {
            self.give_up(waiting.request, Reason::DeadlinePassed);
            return None;
        }
        if self.holds_suspect(waiting.request) {
            return None;
        }
        let active = self.requests.get(&waiting.request)?;
        let Some(target) = self.choose(pool, active.life.wish()) else {
            return Some(waiting);
        };
        self.dispatch(waiting, target);
        None
    }

    fn put_back(&mut self, waiting: Waiting) {
        if let Some(active) = self.requests.get(&waiting.request) {
            let (pool, org, class) = (active.req.pool, active.req.organisation, active.class);
            self.queues.push_front(pool, org, class, waiting);
        }
    }

    fn choose(&self, pool: PoolId, wish: Wish<'_>) -> Option<TargetId> {
        let routers = u32::try_from(self.members.live(self.cx.now).count()).unwrap_or(u32::MAX);
        self.catalogue
            .targets_of(pool)
            .filter(|target| !target.out && !wish.avoid.contains(&target.id))
            .filter(|target| !self.quarantine.keeps_off(self.cx.now, target.id))
            .map(|target| {
                (
                    self.slots.free(target.id, target.entry.slots, routers),
                    target.id,
                )
            })
            .filter(|&(free, _)| free > 0)
            .max_by_key(|&(free, id)| (Some(id) == wish.prefer, free, id))
            .map(|(_, target)| target)
    }

    fn next(&mut self, pool: PoolId) -> Option<Waiting> {
        let turn = |org: &OrganisationId| {
            let weight = self
                .catalogue
                .organisation(*org)
                .map_or(1, |entry| entry.weight);
            (self.ledger.virtual_time(*org, weight), *org)
        };
        let org = self.queues.backlogged(pool).min_by_key(turn)?;
        self.queues.pop(pool, org)
    }

    pub(super) fn dispatch(&mut self, waiting: Waiting, target: TargetId) {
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
        };
        let prompt = Cost::prompt(u64::from(active.req.prompt_tokens));
        self.ledger.charge(active.req.organisation, prompt);
        self.slots.take(target);
        let state = Attempt::new(waiting.request, target, resume_from, self.cx.now);
        self.attempts.insert(attempt, state);
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}
