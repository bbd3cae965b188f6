//! Requests: admission, queueing, refusal and removal.

use crate::attempt::RetryState;
use crate::node::Node;
use crate::node::funnel::work_of;
use crate::once::Admission;
use crate::output::Output;
use crate::prelude::*;
use crate::queue::Waiting;

/// The wait proposed to a caller that is refused for a reason of the router's own.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that the node has accepted and not yet answered.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) req: Request,
    pub(super) class: Class,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// The time until which the request may wait for a target.
    pub(super) wait_until: Time,
    pub(super) stage: Stage,
    pub(super) retry_state: RetryState,
    /// Whether an answer began, here or at the router whose stream the request resumes.
    pub(super) has_begun: bool,
}

/// The stage of a request in the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request waits for its idempotency key to be claimed.
    Claiming,
    /// The request waits for a slot.
    Waiting,
    /// The request is at a target, as this attempt.
    Running(AttemptId),
}

impl Node {
    pub(super) fn on_request(&mut self, req: Request) {
        let (id, pool, organisation) = (req.id, req.pool, req.organisation);
        self.funnels.of(pool, organisation).asked += work_of(&req);
        match self.admit(req) {
            Ok(()) => self.cx.count(Counter::Accepted),
            Err(refusal) => {
                self.funnels.of(pool, organisation).refused += 1;
                self.count_refusal(pool, refusal.reason);
                self.refuse(id, refusal);
            }
        }
    }

    /// Drops a request whose caller no longer needs an answer.
    pub(super) fn drop_request(&mut self, request: RequestId, reason: Reason) {
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

    /// Refuses a waiting request, with the verdict of all its attempts.
    pub(super) fn abandon(&mut self, request: RequestId, reason: Reason) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let wait = match reason {
            Reason::DeadlinePassed | Reason::QueueFull => self
                .queues
                .retry_after(self.cx.now, active.req.organisation),
            _ => Some(RETRY_AFTER),
        };
        self.abandon_for(request, reason, wait);
    }

    /// Refuses a waiting request like [`abandon`](Self::abandon), and proposes a wait to its caller.
    pub(super) fn abandon_for(
        &mut self,
        request: RequestId,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        if let Some(active) = self.requests.get(&request) {
            let (pool, organisation) = (active.req.pool, active.req.organisation);
            let unclaimed = self
                .once
                .refusal(self.cx.now, self.log_visibility(), request)
                .map(|refusal| refusal.verdict);
            let verdict = unclaimed.unwrap_or(active.retry_state.verdict());
            self.queues.remove(pool, organisation, request);
            self.funnels.of(pool, organisation).expired += 1;
            if matches!(reason, Reason::DeadlinePassed | Reason::QueueFull) {
                let key = (pool, organisation);
                self.service.on_refused(self.cx.now, key);
            }
            self.count_refusal(pool, reason);
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

    /// Forgets a request. Its idempotency key is released if the request certainly did not run.
    pub(super) fn close(&mut self, request: RequestId) {
        let Some(active) = self.requests.remove(&request) else {
            return;
        };
        self.release_suspect(request);
        self.poison.on_closed(request);
        if matches!(active.req.repeat, Repeat::Once(_)) {
            match active.retry_state.verdict() {
                Verdict::NotRun => self.once.release(&mut self.cx, request),
                Verdict::MayHaveRun => self.once.finish(request),
            }
        }
    }

    fn admit(&mut self, req: Request) -> Result<(), Refusal> {
        let refuse_for_now = |reason| Refusal::not_run(reason, Some(RETRY_AFTER));
        if !self.is_ready() {
            return Err(refuse_for_now(Reason::NotCurrent));
        }
        if !self.accepts() {
            return Err(refuse_for_now(Reason::Stopping));
        }
        if self.requests.len() >= self.cfg.requests_max {
            return Err(refuse_for_now(Reason::Overloaded));
        }
        let Some(organisation) = self.catalogue.organisation(req.organisation) else {
            return Err(Refusal::not_run(Reason::Unauthorised, None));
        };
        if self.catalogue.pool(req.pool).is_none() {
            return Err(Refusal::not_run(Reason::UnknownPool, None));
        }
        let limits = organisation.limits;
        self.demand
            .on_arrival(self.cx.now, req.pool, req.prompt_tokens);
        let waiting = self.queues.waiting(req.organisation) + self.once.pending(req.organisation);
        if waiting >= limits.waiting as usize {
            let wait = self.queues.retry_after(self.cx.now, req.organisation);
            return Err(Refusal::not_run(Reason::QueueFull, wait));
        }
        let now = self.cx.now;
        let wait_limit = now + Duration::from_millis(u64::from(limits.wait_ms));
        let deadline = req.deadline.unwrap_or(Time::MAX).min(wait_limit);
        if deadline <= now {
            return Err(refuse_for_now(Reason::DeadlinePassed));
        }
        let class = req.class.unwrap_or(organisation.class);
        let arrived = req.details.arrived.map_or(now, |arrived| arrived.min(now));
        let wait_until = self
            .max_wait(&req)
            .map_or(deadline, |wait| deadline.min(arrived + wait));
        if let Err(refusal) = self.check_wait(&req, wait_until) {
            // What came too late for any target says nothing about their capacity.
            if refusal.reason == Reason::QueueFull && wait_until > now {
                let key = (req.pool, req.organisation);
                self.service.on_asked(now, key, work_of(&req).tokens);
                self.service.on_refused(now, key);
            }
            return Err(refusal);
        }
        let admission = self.admit_key(&req, deadline)?;
        self.budgets.earn(now, self.cfg.attempt.payer(&req));
        let active = Active {
            wait_until,
            class,
            arrived,
            deadline,
            stage: Stage::Claiming,
            retry_state: RetryState::new(req.repeat),
            has_begun: req.details.is_resumed,
            req,
        };
        let id = active.req.id;
        self.requests.insert(id, active);
        if admission == Admission::Run {
            self.enqueue(id);
        }
        Ok(())
    }

    /// Queues a request whose idempotency key allows it to run, or refuses the request if it or a
    /// part of its prompt crashes targets.
    pub(super) fn enqueue(&mut self, request: RequestId) {
        if self.refuse_if_quarantined(request) || self.refuse_if_barred(request) {
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.stage = Stage::Waiting;
        let key = (active.req.pool, active.req.organisation);
        let tokens = work_of(&active.req).tokens;
        self.service.on_asked(self.cx.now, key, tokens);
        let deadline = active.wait_until;
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline,
        };
        let (pool, organisation, class) = (active.req.pool, active.req.organisation, active.class);
        let begins = self.queues.lane_mut(pool, organisation).is_none();
        if self.queues.is_empty(pool) {
            self.scan_now(pool);
        }
        self.queues.push(pool, organisation, class, waiting);
        if begins {
            self.begin_waiting(pool, organisation);
        }
        if self.queues.next_deadline() == Some(deadline) {
            self.cx.wake(deadline);
        }
    }
}
