//! What became of the attempts of one request, and what follows from it.

use crate::attempt::{Budgets, Payer};
use crate::input::{Failure, FailureKind};
use crate::prelude::*;

/// After how long a caller is told to come back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The attempts of one request so far.
#[derive(Debug, Clone)]
pub struct RetryState {
    repeatable: bool,
    attempts: u32,
    /// Attempts that a target may have run.
    runs: u32,
    /// Whether a byte of an attempt that is over may have reached a target that ran it.
    exposed: bool,
    /// Where an attempt is under way.
    at: Option<TargetId>,
    delivered: u64,
    /// What the caller had when the attempt under way began.
    resumed_from: u64,
    failed: Vec<TargetId>,
    /// The target at which the stream is resumed, or was resumed last.
    resumed_at: Option<TargetId>,
    prefer: Option<TargetId>,
}

/// How an attempt ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target said that it did not start the request.
    Declined,
    /// Nothing was sent, because the target was learnt to leave, or the caller gave up, after the decision.
    Withheld,
    /// The attempt failed.
    Failed(Failure),
}

/// What bounds the retries of a request.
#[derive(Debug)]
pub struct Limits<'a> {
    /// The time of the decision.
    pub now: Time,
    /// When the caller gives up.
    pub deadline: Time,
    /// How often a request is sent to a target at most.
    pub attempts_max: u32,
    /// How many targets may run it, if that is bounded.
    pub runs_max: Option<u32>,
    /// Who pays for retries.
    pub payer: Payer,
    /// What is paid from.
    pub budgets: &'a mut Budgets,
}

/// What follows from the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request again; the counter names the reason.
    Retry(Counter),
    /// Give up.
    Refuse(Refusal),
}

/// Which target the next attempt should go to.
#[derive(Debug, Clone, Copy, Default)]
pub struct DispatchConstraints<'a> {
    /// The target that is taken if it is free.
    pub prefer: Option<TargetId>,
    /// Targets that are not taken.
    pub avoid: &'a [TargetId],
}

impl RetryState {
    /// Returns the life of a request that was not sent yet.
    pub const fn new(repeat: Repeat) -> Self {
        Self {
            repeatable: matches!(repeat, Repeat::Allowed),
            attempts: 0,
            runs: 0,
            exposed: false,
            at: None,
            delivered: 0,
            resumed_from: 0,
            failed: Vec::new(),
            resumed_at: None,
            prefer: None,
        }
    }

    /// Notes that an attempt begins.
    pub const fn begin(&mut self, target: TargetId) {
        self.attempts += 1;
        self.at = Some(target);
        self.resumed_from = self.delivered;
        self.prefer = None;
    }

    /// Notes how many tokens the caller has; a smaller number than before changes nothing.
    pub fn deliver(&mut self, tokens: u64) {
        self.delivered = self.delivered.max(tokens);
    }

    /// Notes that the attempt under way ended without a whole answer, and decides what follows.
    pub fn end(&mut self, ending: Ending, limits: Limits<'_>) -> Next {
        let target = self.at.take();
        if let Ending::Failed(failure) = ending {
            self.exposed |= failure.sent;
            self.runs += u32::from(failure.sent);
            self.deliver(failure.tokens);
        }
        if self.exposed && !self.repeatable {
            return self.refuse(reason_of(ending), None);
        }
        if let Err(refusal) = self.afford(ending, limits) {
            return Next::Refuse(refusal);
        }
        if let Some(target) = target
            && ending != Ending::Withheld
        {
            self.direct(target, ending);
        }
        Next::Retry(self.counter(ending))
    }

    /// Returns the true verdict if the request is given up now.
    pub const fn verdict(&self) -> Verdict {
        if self.exposed || self.at.is_some() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Returns how many tokens the caller has.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns where the next attempt should go.
    pub fn dispatch_constraints(&self) -> DispatchConstraints<'_> {
        DispatchConstraints {
            prefer: self.prefer,
            avoid: &self.failed,
        }
    }

    /// Forgets which targets failed, because no other is left.
    pub fn clear_failed_targets(&mut self) {
        self.failed.clear();
    }

    /// Checks everything that bounds retries; the budget last, because the check pays.
    fn afford(&self, ending: Ending, limits: Limits<'_>) -> Result<(), Refusal> {
        let refusal = |reason, retry_after| Refusal {
            verdict: self.verdict(),
            reason,
            retry_after: Some(retry_after),
        };
        if limits.now >= limits.deadline {
            return Err(refusal(Reason::DeadlinePassed, RETRY_AFTER));
        }
        let has_run_enough = limits.runs_max.is_some_and(|max| self.runs >= max);
        if self.attempts >= limits.attempts_max || has_run_enough {
            return Err(refusal(reason_of(ending), RETRY_AFTER));
        }
        if ending == Ending::Withheld {
            // No target has met the request, so no target has to bear a retry.
            return Ok(());
        }
        limits
            .budgets
            .pay(limits.now, limits.payer)
            .map_err(|wait| refusal(Reason::RetryBudgetSpent, wait))
    }

    /// Decides whether the same target is tried once more, on a new connection.
    fn direct(&mut self, target: TargetId, ending: Ending) {
        let progressed = self.delivered > self.resumed_from;
        let connection_at_fault = match ending {
            Ending::Declined | Ending::Withheld => false,
            Ending::Failed(failure) => match failure.kind {
                FailureKind::Silent => failure.sent,
                FailureKind::Broken | FailureKind::Truncated => progressed,
                FailureKind::Connect | FailureKind::Error | FailureKind::Crossed => false,
            },
        };
        if connection_at_fault && self.resumed_at != Some(target) {
            self.resumed_at = Some(target);
            self.prefer = Some(target);
        } else if !self.failed.contains(&target) {
            self.failed.push(target);
        }
    }

    const fn counter(&self, ending: Ending) -> Counter {
        match ending {
            Ending::Declined => Counter::RetryRefusedByTarget,
            Ending::Withheld => Counter::RetryWithheld,
            Ending::Failed(failure) if !failure.sent => Counter::RetryNotSent,
            Ending::Failed(_) if self.delivered > 0 => Counter::RetryResumed,
            Ending::Failed(_) => Counter::RetryTargetFailed,
        }
    }

    const fn refuse(&self, reason: Reason, retry_after: Option<Duration>) -> Next {
        Next::Refuse(Refusal {
            verdict: self.verdict(),
            reason,
            retry_after,
        })
    }
}

/// Returns the reason that a caller sees if nothing follows an attempt that ended so.
const fn reason_of(ending: Ending) -> Reason {
    match ending {
        Ending::Declined => Reason::NoTarget,
        Ending::Withheld => Reason::Overloaded,
        Ending::Failed(failure) => match failure.kind {
            FailureKind::Connect => Reason::NoTarget,
            FailureKind::Broken | FailureKind::Error | FailureKind::Crossed => Reason::TargetFailed,
            FailureKind::Truncated => Reason::AnswerIncomplete,
            FailureKind::Silent => Reason::TargetSilent,
        },
    }
}
