//! Matching requests that wait with slots that are free.

use crate::attempt::Wish;
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
    ///
    /// A request that must avoid every target that is free is put aside, so that it does not hold up
    /// the others.
    pub(super) fn pump(&mut self) {
        if !self.is_ready() {
            return;
        }
        for pool in self.queues.pools() {
            let mut aside = Vec::new();
            while self
                .candidates(pool)
                .any(|target| target.used < target.part)
            {
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
        let Some(target) = self.choose(pool, waiting.request) else {
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
        let active = self.requests.get(&request)?;
        let Wish { avoid, prefer } = active.life.wish();
        let mut candidates = self.candidates(pool);
        let preferred = |target: &Candidate| Some(target.target) == prefer;
        if prefer.is_some()
            && candidates.any(|target| preferred(&target) && target.used < target.part)
        {
            return prefer;
        }
        let rest = self
            .candidates(pool)
            .filter(|target| !avoid.contains(&target.target));
        let salt = request.0 ^ (u64::from(self.cx.me.0) << 32);
        choose(rest, self.prefixes.holders(active.req.prefix), salt)
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
        self.targets.on_dispatch(self.cx.now, target);
        if let Some(prefix) = active.req.prefix {
            self.prefixes.store(target, prefix);
        }
        let state = Attempt::new(waiting.request, target, resume_from, self.cx.now);
        self.attempts.insert(attempt, state);
        self.cx.count(Counter::Dispatched);
        self.cx.out.push(Output::Dispatch(dispatch));
    }
}
