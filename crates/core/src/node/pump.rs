//! Matching requests that wait with slots that are free.

use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::output::{Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;

impl Node {
    /// Dispatches requests as long as there is a slot for the next one.
    pub(super) fn pump(&mut self) {
        if !self.is_ready() {
            return;
        }
        for pool in self.queues.pools() {
            while let Some(target) = self.choose(pool) {
                let Some(waiting) = self.next(pool) else {
                    break;
                };
                self.dispatch(waiting, target);
            }
        }
    }

    fn choose(&self, pool: PoolId) -> Option<TargetId> {
        let routers = u32::try_from(self.members.live(self.cx.now).count()).unwrap_or(u32::MAX);
        self.catalogue
            .targets_of(pool)
            .filter(|target| !target.out)
            .map(|target| {
                (
                    self.slots.free(target.id, target.entry.slots, routers),
                    target.id,
                )
            })
            .filter(|&(free, _)| free > 0)
            .max()
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

    fn dispatch(&mut self, waiting: Waiting, target: TargetId) {
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
        let prompt = Cost::prompt(u64::from(active.req.prompt_tokens));
        self.ledger.charge(active.req.organisation, prompt);
        self.slots.take(target);
        let state = Attempt::new(waiting.request, target);
        self.attempts.insert(attempt, state);
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}
