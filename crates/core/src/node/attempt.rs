//! What happens to a request at a target.

use crate::input::{AttemptEvent, Failure};
use crate::node::Node;
use crate::node::request::Stage;
use crate::prelude::*;
use crate::queue::Waiting;
use crate::share::Bill;
use crate::slots::Policy;

/// A request at a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) target: TargetId,
    /// Tokens that were counted as service.
    pub(super) counted: u64,
    /// What it was charged.
    pub(super) bill: Bill,
    /// Until when its time was charged, for calls of plain services.
    pub(super) charged_until: Time,
    /// Where it counts as running.
    pub(super) runs_as: (PoolId, OrganisationId, Class),
}

impl Attempt {
    pub(super) fn new(request: RequestId, target: TargetId, now: Time, bill: Bill) -> Self {
        Self {
            request,
            target,
            counted: 0,
            bill,
            charged_until: now,
            runs_as: <(PoolId, OrganisationId, Class)>::default(),
        }
    }
}

impl Node {
    pub(super) fn on_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if !self.attempts.contains_key(&attempt) {
            self.cx.count(Counter::StaleAttempt);
            return;
        }
        match event {
            AttemptEvent::Started => {}
            AttemptEvent::Progress { tokens } => self.count_tokens(attempt, tokens),
            AttemptEvent::Finished { tokens } => self.on_finished(attempt, tokens),
            AttemptEvent::Declined => self.again(attempt, Counter::RetryRefusedByTarget),
            AttemptEvent::Failed(failure) => self.on_failed(attempt, failure),
        }
    }

    /// Frees what an attempt holds and returns it.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        self.charge_time(attempt);
        let ended = self.attempts.remove(&attempt)?;
        let (pool, organisation, class) = ended.runs_as;
        self.ledger.refund(organisation, ended.bill.unused());
        self.running.remove(pool, organisation, class);
        self.slots.holder.give_back(ended.target);
        if self.slots.cfg.policy == Policy::Forwarded {
            self.slots.holder.return_slot(ended.target);
        }
        Some(ended)
    }

    fn on_finished(&mut self, attempt: AttemptId, tokens: u64) {
        self.count_tokens(attempt, tokens);
        if let Some(ended) = self.end_attempt(attempt) {
            self.requests.remove(&ended.request);
            self.cx.count(Counter::Completed);
        }
    }

    fn on_failed(&mut self, attempt: AttemptId, failure: Failure) {
        if !failure.sent {
            self.again(attempt, Counter::RetryNotSent);
            return;
        }
        if let Some(ended) = self.end_attempt(attempt) {
            self.refuse(
                ended.request,
                Refusal::may_have_run(Reason::TargetFailed, None),
            );
        }
    }

    /// Puts a request that certainly did not run back at the front of its queue.
    fn again(&mut self, attempt: AttemptId, counter: Counter) {
        let Some(ended) = self.end_attempt(attempt) else {
            return;
        };
        let Some(active) = self.requests.get_mut(&ended.request) else {
            return;
        };
        if active.attempts >= self.cfg.attempts_max {
            let refusal = Refusal::not_run(Reason::NoTarget, Some(Duration::from_secs(1)));
            self.refuse(ended.request, refusal);
            return;
        }
        active.stage = Stage::Waiting;
        let waiting = Waiting {
            request: ended.request,
            since: active.arrived,
            deadline: active.deadline,
        };
        let (pool, org, class) = (active.req.pool, active.req.organisation, active.class);
        self.queues.push_front(pool, org, class, waiting);
        self.enter(pool, org);
        self.cx.count(counter);
    }

    fn count_tokens(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let new = tokens.saturating_sub(state.counted);
        state.counted += new;
        self.charge_attempt(attempt, Cost::tokens(new));
    }
}
