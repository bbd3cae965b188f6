//! The attempts of one request so far, and the decision whether the request is retried.

use crate::attempt::{Budgets, Payer};
use crate::input::{Failure, FailureKind};
use crate::prelude::*;

/// The default `retry_after` of refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The retry state of one request.
#[derive(Debug, Clone)]
pub struct RetryState {
    repeatable: bool,
    attempts: u32,
    /// The number of failed attempts that a target may have run.
    runs: u32,
    /// Whether a byte of an ended attempt may have reached a target that did not decline it.
    exposed: bool,
    /// The target of the attempt in progress, if there is one.
    current: Option<TargetId>,
    /// How many tokens the caller has received.
    delivered: u64,
    /// The value of `delivered` when the attempt in progress began.
    resumed_from: u64,
    /// Targets that the next attempt avoids.
    failed: Vec<TargetId>,
    /// The target at which a second attempt was last decided on.
    resumed_at: Option<TargetId>,
    /// The target that the next attempt prefers.
    prefer: Option<TargetId>,
}

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target answered that it did not start the request.
    Declined,
    /// Nothing was sent, because after the decision the target was found to be leaving or the
    /// caller cancelled the request.
    Withheld,
    /// The attempt failed.
    Failed(Failure),
}

/// The limits on the retries of a request.
#[derive(Debug)]
pub struct Limits<'a> {
    /// The time of the decision.
    pub now: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The maximum number of attempts.
    pub attempts_max: u32,
    /// How many targets may run the request; `None` for any number.
    pub runs_max: Option<u32>,
    /// The payer that is charged for retries.
    pub payer: Payer,
    /// The budgets of all payers.
    pub budgets: &'a mut Budgets,
}

/// The decision after an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request again. The counter identifies the reason.
    Retry(Counter),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Constraints on the target of the next attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct DispatchConstraints<'a> {
    /// The target to choose if it has a free slot.
    pub prefer: Option<TargetId>,
    /// Targets that must not be chosen.
    pub avoid: &'a [TargetId],
}

impl RetryState {
    /// Returns the state of a request that was not dispatched yet.
    pub const fn new(repeat: Repeat) -> Self {
        Self {
            repeatable: matches!(repeat, Repeat::Allowed),
            attempts: 0,
            runs: 0,
            exposed: false,
            current: None,
            delivered: 0,
            resumed_from: 0,
            failed: Vec::new(),
            resumed_at: None,
            prefer: None,
        }
    }

    /// Records that an attempt begins at `target`.
    pub const fn begin(&mut self, target: TargetId) {
        self.attempts += 1;
        self.current = Some(target);
        self.resumed_from = self.delivered;
        self.prefer = None;
    }

    /// Records how many tokens the caller has received. A smaller number than before has no effect.
    pub fn deliver(&mut self, tokens: u64) {
        self.delivered = self.delivered.max(tokens);
    }

    /// Records that the attempt in progress ended without a complete answer, and decides whether
    /// the request is retried or refused.
    pub fn end(&mut self, ending: Ending, limits: Limits<'_>) -> Next {
        let target = self.current.take();
        if let Ending::Failed(failure) = ending {
            self.exposed |= failure.sent;
            self.runs += u32::from(failure.sent);
            self.deliver(failure.tokens);
        }
        let is_unresumable = matches!(
            ending,
            Ending::Failed(failure) if failure.kind == FailureKind::Unresumable
        );
        if is_unresumable || (self.exposed && !self.repeatable) {
            return self.refuse(reason_of(ending), None);
        }
        if let Err(refusal) = self.check_limits(ending, limits) {
            return Next::Refuse(refusal);
        }
        if let Some(target) = target
            && ending != Ending::Withheld
        {
            self.constrain_next(target, ending);
        }
        Next::Retry(self.counter(ending))
    }

    /// Returns the verdict of a refusal at this time.
    pub const fn verdict(&self) -> Verdict {
        if self.exposed || self.current.is_some() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Returns how many tokens the caller has received.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the constraints on the target of the next attempt.
    pub fn dispatch_constraints(&self) -> DispatchConstraints<'_> {
        DispatchConstraints {
            prefer: self.prefer,
            avoid: &self.failed,
        }
    }

    /// Makes the next attempt avoid `target`, which may have crashed.
    pub fn avoid(&mut self, target: TargetId) {
        self.prefer = None;
        if !self.failed.contains(&target) {
            self.failed.push(target);
        }
    }

    /// Allows the failed targets again. Used when no other target is left.
    pub fn clear_failed_targets(&mut self) {
        self.failed.clear();
    }

    /// Checks all limits on retries. The budget comes last because that check charges the payer.
    fn check_limits(&self, ending: Ending, limits: Limits<'_>) -> Result<(), Refusal> {
        let refusal = |reason, retry_after| Refusal {
            verdict: self.verdict(),
            reason,
            retry_after: Some(retry_after),
        };
        if limits.now >= limits.deadline {
            return Err(refusal(Reason::DeadlinePassed, RETRY_AFTER));
        }
        let runs_exhausted = limits.runs_max.is_some_and(|max| self.runs >= max);
        if self.attempts >= limits.attempts_max || runs_exhausted {
            return Err(refusal(reason_of(ending), RETRY_AFTER));
        }
        if ending == Ending::Withheld {
            // No target received the request, so the retry puts no additional load on targets.
            return Ok(());
        }
        limits
            .budgets
            .pay(limits.now, limits.payer)
            .map_err(|wait| refusal(Reason::RetryBudgetSpent, wait))
    }

    /// Decides whether the next attempt prefers `target`, on a new connection, or avoids it.
    fn constrain_next(&mut self, target: TargetId, ending: Ending) {
        let progressed = self.delivered > self.resumed_from;
        let connection_at_fault = match ending {
            Ending::Declined | Ending::Withheld => false,
            Ending::Failed(failure) => match failure.kind {
                FailureKind::Silent => failure.sent,
                FailureKind::Broken | FailureKind::Truncated => progressed,
                FailureKind::Connect
                | FailureKind::Error
                | FailureKind::Crossed
                | FailureKind::Unresumable => false,
            },
        };
        if connection_at_fault && self.resumed_at != Some(target) {
            self.resumed_at = Some(target);
            self.prefer = Some(target);
        } else {
            self.avoid(target);
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

/// Returns the reason of the refusal if no retry follows the ending.
const fn reason_of(ending: Ending) -> Reason {
    match ending {
        Ending::Declined => Reason::NoTarget,
        Ending::Withheld => Reason::Overloaded,
        Ending::Failed(failure) => match failure.kind {
            FailureKind::Connect => Reason::NoTarget,
            FailureKind::Broken | FailureKind::Error | FailureKind::Crossed => Reason::TargetFailed,
            FailureKind::Truncated | FailureKind::Unresumable => Reason::AnswerIncomplete,
            FailureKind::Silent => Reason::TargetSilent,
        },
    }
}
