//! Requests that arrive and callers that leave.

use crate::attempt::RetryState;
use crate::node::Node;
use crate::once::Admission;
use crate::output::Output;
use crate::prelude::*;
use crate::queue::Waiting;

/// The wait that is proposed to a caller that is refused for a reason of the router's own.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request from its arrival to its final answer.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) req: Request,
    pub(super) class: Class,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Until when it may wait for a target.
    pub(super) wait_until: Time,
    pub(super) stage: Stage,
    pub(super) life: RetryState,
}

/// Where a request is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for its idempotency key to be claimed.
    Claiming,
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

    /// Lets go of a request whose caller needs no answer any more.
    pub(super) fn on_left(&mut self, request: RequestId, reason: Reason) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let (pool, org) = (active.req.pool, active.req.organisation);
        match active.stage {
            Stage::Claiming => {}
            Stage::Waiting => {
                self.queues.remove(pool, org, request);
            }
            Stage::Running(attempt) => {
                self.end_attempt(attempt);
                self.cx.out.push(Output::Abort(attempt));
            }
        }
        self.close(request);
        self.cx.count(Counter::Refused(reason));
    }

    /// Gives up a request that waits, with the verdict of all its attempts.
    pub(super) fn give_up(&mut self, request: RequestId, reason: Reason) {
        if let Some(active) = self.requests.get(&request) {
            let (pool, organisation) = (active.req.pool, active.req.organisation);
            let unclaimed = self
                .once
                .refusal(self.cx.now, self.sight(), request)
                .map(|refusal| refusal.verdict);
            let verdict = unclaimed.unwrap_or(active.life.verdict());
            let wait = self.queues.retry_after(self.cx.now, organisation);
            self.queues.remove(pool, organisation, request);
            let retry_after = match reason {
                Reason::DeadlinePassed | Reason::QueueFull => wait,
                _ => Some(RETRY_AFTER),
            };
            let refusal = Refusal {
                verdict,
                reason,
                retry_after,
            };
            self.refuse(request, refusal);
        }
    }

    /// Gives a request its final answer and forgets it.
    pub(super) fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.close(request);
        self.cx.count(Counter::Refused(refusal.reason));
        self.cx.out.push(Output::Refuse(request, refusal));
    }

    /// Forgets a request. Its key is let go of if it was certainly not sent.
    pub(super) fn close(&mut self, request: RequestId) {
        let Some(active) = self.requests.remove(&request) else {
            return;
        };
        self.let_go_of_suspect(request);
        if matches!(active.req.repeat, Repeat::Once(_)) {
            match active.life.verdict() {
                Verdict::NotRun => self.once.release(&mut self.cx, request),
                Verdict::MayHaveRun => self.once.finish(request),
            }
        }
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
        let waiting = self.queues.waiting(req.organisation) + self.once.pending(req.organisation);
        if waiting >= limits.waiting as usize {
            let wait = self.queues.retry_after(self.cx.now, req.organisation);
            return Err(Refusal::not_run(Reason::QueueFull, wait));
        }
        let now = self.cx.now;
        let patience = now + Duration::from_millis(u64::from(limits.wait_ms));
        let deadline = req.deadline.unwrap_or(Time::MAX).min(patience);
        if deadline <= now {
            return Err(busy(Reason::DeadlinePassed));
        }
        let class = req.class.unwrap_or(organisation.class);
        let arrived = req.details.arrived.map_or(now, |arrived| arrived.min(now));
        let wait_until = self
            .patience(&req)
            .map_or(deadline, |wait| deadline.min(arrived + wait));
        self.check_wait(&req, wait_until)?;
        let admission = self.admit_key(&req, deadline)?;
        self.budgets.earn(now, self.cfg.attempt.payer(&req));
        let active = Active {
            wait_until,
            class,
            arrived,
            deadline,
            stage: Stage::Claiming,
            life: RetryState::new(req.repeat),
            req,
        };
        let id = active.req.id;
        self.requests.insert(id, active);
        if admission == Admission::Run {
            self.enqueue(id);
        }
        Ok(())
    }

    /// Puts a request that may run at the end of its queue, if its content may run.
    pub(super) fn enqueue(&mut self, request: RequestId) {
        if self.refuses_quarantined(request) {
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.stage = Stage::Waiting;
        let deadline = active.wait_until;
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline,
        };
        let (pool, organisation, class) = (active.req.pool, active.req.organisation, active.class);
        let enters = self.queues.lane_mut(pool, organisation).is_none();
        if self.queues.is_empty(pool) {
            self.look_at_once(pool);
        }
        self.queues.push(pool, organisation, class, waiting);
        if enters {
            self.enter(pool, organisation);
        }
        if self.queues.next_deadline() == Some(deadline) {
            self.cx.wake(deadline);
        }
    }
}
