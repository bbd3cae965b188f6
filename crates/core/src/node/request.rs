//! Requests that arrive and callers that leave.

use crate::node::Node;
use crate::output::Output;
use crate::prelude::*;
use crate::queue::Waiting;

/// The longest wait that is proposed to a caller that is refused for want of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request from its arrival to its final answer.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) req: Request,
    pub(super) class: Class,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    pub(super) stage: Stage,
    /// How often it was dispatched.
    pub(super) attempts: u32,
    /// Tokens that the caller has.
    pub(super) delivered: u64,
}

/// Where a request is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a slot.
    Waiting,
    /// It is at a target.
    Running(AttemptId),
}

impl Node {
    pub(super) fn on_request(&mut self, req: Request) {
        let id = req.id;
        match self.admit(req) {
            Ok(()) => self.cx.count(Counter::Accepted),
            Err(refusal) => self.refuse(id, refusal),
        }
    }

    pub(super) fn on_cancelled(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let (pool, org) = (active.req.pool, active.req.organisation);
        match active.stage {
            Stage::Waiting => {
                self.queues.remove(pool, org, request);
            }
            Stage::Running(attempt) => {
                self.end_attempt(attempt);
                self.cx.out.push(Output::Abort(attempt));
            }
        }
        self.requests.remove(&request);
        self.cx.count(Counter::Refused(Reason::CallerLeft));
    }

    /// Gives up a request that waits.
    pub(super) fn give_up(&mut self, request: RequestId, reason: Reason) {
        if let Some(active) = self.requests.get(&request) {
            self.queues
                .remove(active.req.pool, active.req.organisation, request);
            self.refuse(request, Refusal::not_run(reason, Some(RETRY_AFTER)));
        }
    }

    /// Gives a request its final answer and forgets it.
    pub(super) fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.requests.remove(&request);
        self.cx.count(Counter::Refused(refusal.reason));
        self.cx.out.push(Output::Refuse(request, refusal));
    }

    fn admit(&mut self, req: Request) -> Result<(), Refusal> {
        let busy = |reason| Refusal::not_run(reason, Some(RETRY_AFTER));
        if !self.is_ready() {
            return Err(busy(Reason::NotCurrent));
        }
        if !self.accepts() {
            return Err(busy(Reason::Stopping));
        }
        if self.requests.len() >= self.cfg.requests_max {
            return Err(busy(Reason::Overloaded));
        }
        let Some(organisation) = self.catalogue.organisation(req.organisation) else {
            return Err(Refusal::not_run(Reason::Unauthorised, None));
        };
        if self.catalogue.pool(req.pool).is_none() {
            return Err(Refusal::not_run(Reason::UnknownPool, None));
        }
        let limits = organisation.limits;
        if self.queues.waiting(req.organisation) >= limits.waiting as usize {
            return Err(busy(Reason::QueueFull));
        }
        let now = self.cx.now;
        let patience = now + Duration::from_millis(u64::from(limits.wait_ms));
        let deadline = req.deadline.unwrap_or(Time::MAX).min(patience);
        let class = req.class.unwrap_or(organisation.class);
        let waiting = Waiting {
            request: req.id,
            since: now,
            deadline,
        };
        self.queues.push(req.pool, req.organisation, class, waiting);
        let active = Active {
            class,
            arrived: now,
            deadline,
            stage: Stage::Waiting,
            attempts: 0,
            delivered: 0,
            req,
        };
        self.requests.insert(active.req.id, active);
        Ok(())
    }
}
