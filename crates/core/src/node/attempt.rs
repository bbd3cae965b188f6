//! What happens to a request at a target.

use crate::attempt::{Ending, Limits, Next};
use crate::input::{AttemptEvent, FailureKind};
use crate::node::Node;
use crate::node::request::Stage;
use crate::output::Output;
use crate::prelude::*;
use crate::quarantine::Standing;
use crate::queue::Waiting;

/// A request at a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) target: TargetId,
    /// Tokens that were counted as service.
    pub(super) counted: u64,
    /// When it was dispatched.
    pub(super) began: Time,
}

impl Attempt {
    pub(super) const fn new(
        request: RequestId,
        target: TargetId,
        counted: u64,
        began: Time,
    ) -> Self {
        Self {
            request,
            target,
            counted,
            began,
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
            AttemptEvent::Declined => self.on_ended(attempt, Ending::Declined),
            AttemptEvent::Failed(failure) => {
                self.count_tokens(attempt, failure.tokens);
                self.on_ended(attempt, Ending::Failed(failure));
            }
        }
    }

    /// Frees what an attempt holds and returns it.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        self.slots.give_back(ended.target);
        Some(ended)
    }

    fn on_finished(&mut self, attempt: AttemptId, tokens: u64) {
        self.count_tokens(attempt, tokens);
        if let Some(ended) = self.end_attempt(attempt) {
            self.clear_suspect(ended.request);
            self.close(ended.request);
            self.cx.count(Counter::Completed);
        }
    }

    fn on_ended(&mut self, attempt: AttemptId, ending: Ending) {
        let Some(ended) = self.end_attempt(attempt) else {
            return;
        };
        self.suspect(&ended, ending);
        if must_cancel(ending) {
            self.cx.out.push(Output::Abort(attempt));
        }
        let Some(active) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let limits = Limits {
            now: self.cx.now,
            deadline: active.deadline,
            attempts_max: self.cfg.attempt.attempts_max,
            organisation: active.req.organisation,
            budgets: &mut self.budgets,
        };
        match active.life.end(ending, limits) {
            Next::Refuse(refusal) => self.refuse(ended.request, refusal),
            Next::Retry(counter) => {
                self.cx.count(counter);
                self.retry(ended.request);
            }
        }
    }

    /// Puts a request back at the front of its queue, or among the suspects if it is one.
    pub(super) fn retry(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        if self
            .quarantine
            .standing(self.cx.now, active.req.fingerprint)
            != Standing::Clear
        {
            active.stage = Stage::Waiting;
            let prefer = active.life.wish().prefer;
            self.quarantine.hold(&active.req, active.deadline, prefer);
            return;
        }
        active.stage = Stage::Waiting;
        let (pool, org, class) = (active.req.pool, active.req.organisation, active.class);
        let avoid = active.life.wish().avoid;
        let mut usable = self.catalogue.targets_of(pool).filter(|t| !t.out);
        if usable.all(|target| avoid.contains(&target.id)) {
            active.life.forgive();
        }
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline: active.deadline,
        };
        self.queues.push_front(pool, org, class, waiting);
    }

    fn count_tokens(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let new = tokens.saturating_sub(state.counted);
        state.counted += new;
        if let Some(active) = self.requests.get_mut(&state.request) {
            active.life.deliver(tokens);
            self.ledger
                .charge(active.req.organisation, Cost::tokens(new));
        }
    }
}

/// Says whether the target may still be working for an attempt that is given up on.
const fn must_cancel(ending: Ending) -> bool {
    match ending {
        Ending::Declined => false,
        Ending::Failed(failure) => {
            matches!(failure.kind, FailureKind::Silent | FailureKind::Crossed)
        }
    }
}
