//! Matching requests that wait with slots that are free.

use crate::catalogue::TargetView;
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::output::{Dispatch, Output};
use crate::prelude::*;
use crate::queue::Waiting;
use crate::route::{Candidate, Distance, choose};

impl Node {
    /// Dispatches requests as long as there is a slot for the next one.
    pub(super) fn pump(&mut self) {
        if !self.is_ready() {
            return;
        }
        for pool in self.queues.pools() {
            while self
                .candidates(pool)
                .any(|candidate| candidate.used < candidate.part)
            {
                let Some(waiting) = self.next(pool) else {
                    break;
                };
                let Some(target) = self.choose(pool, waiting.request) else {
                    break;
                };
                self.dispatch(waiting, target);
            }
        }
    }

    /// Returns the targets of a pool that may be given work at all.
    fn candidates(&self, pool: PoolId) -> impl Iterator<Item = Candidate> {
        self.catalogue
            .targets_of(pool)
            .filter(|view| self.targets.usable(self.cx.now, view))
            .map(|view| Candidate {
                target: view.id,
                used: self.slots.used(view.id),
                part: self.targets.part(self.cx.now, view.id),
                distance: self.distance(&view),
            })
    }

    fn choose(&self, pool: PoolId, request: RequestId) -> Option<TargetId> {
        let prefix = self.requests.get(&request)?.req.prefix;
        let salt = request.0 ^ (u64::from(self.cx.me.0) << 32);
        choose(self.candidates(pool), self.prefixes.holders(prefix), salt)
    }

    fn distance(&self, view: &TargetView<'_>) -> Distance {
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
        self.targets.on_dispatch(self.cx.now, target);
        if let Some(prefix) = active.req.prefix {
            self.prefixes.store(target, prefix);
        }
        let state = Attempt::new(waiting.request, target, self.cx.now);
        self.attempts.insert(attempt, state);
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}
