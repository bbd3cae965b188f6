//! What a caller may conclude from a refusal: whether the request may have run.
//!
//! See `docs/CALLERS.md` for what a caller does with each verdict and reason.

use core::{fmt, time::Duration};

/// Whether a refused request may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request can have reached a target, or the target itself reported that it did
    /// not start the request. The caller may send the request again with the same key.
    NotRun,
    /// The request may have run, partly or completely.
    MayHaveRun,
}

impl Verdict {
    /// Returns the stable name used in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused. The set is closed; each member has its own counter.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable name used in answers to callers and in metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status code of the reason.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    Malformed = "malformed", 400;
    /// The bearer token is missing or belongs to no organisation.
    Unauthorised = "unauthorised", 401;
    /// The pool (model or plain service) is not in the catalogue.
    UnknownPool = "unknown_pool", 404;
    /// The caller did not finish sending its request in time.
    CallerTooSlow = "caller_too_slow", 408;
    /// The headers or the body are larger than allowed.
    TooLarge = "too_large", 413;
    /// The organisation has as many waiting requests as its limits allow.
    QueueFull = "queue_full", 429;
    /// The organisation has as many open connections or requests as its limits allow.
    TooManyOpen = "too_many_open", 429;
    /// The router reached a limit that applies to all callers together.
    Overloaded = "overloaded", 503;
    /// The deadline passed while the request waited.
    DeadlinePassed = "deadline_passed", 504;
    /// No target of the pool can accept a request at present.
    NoTarget = "no_target", 503;
    /// The router has not read the log up to its tail yet, or cannot confirm that its state is
    /// current.
    NotCurrent = "not_current", 503;
    /// The router is stopping and accepts no new requests.
    Stopping = "stopping", 503;
    /// A request with the same content crashed targets before, so this one is not run.
    Quarantined = "quarantined", 422;
    /// Requests with the same content broke off at targets that may have crashed, so this one is not
    /// run for now.
    ContentBarred = "content_barred", 503;
    /// A part of the prompt crashed targets, so that no request with it is run for now.
    PartBarred = "part_barred", 503;
    /// A request with the same idempotency key has run or is running.
    Duplicate = "duplicate", 409;
    /// The idempotency key is older than the oldest records of claims, so it is unknown whether a
    /// request with this key ran.
    KeyTooOld = "key_too_old", 422;
    /// The idempotency key is not a UUID of version 7.
    KeyInvalid = "key_invalid", 400;
    /// The time in the idempotency key is too far in the future.
    KeyFromFuture = "key_from_future", 422;
    /// The idempotency key was issued by another router, and only that router can run it.
    KeyIssuedElsewhere = "key_issued_elsewhere", 409;
    /// The claim of the idempotency key cannot be recorded at present.
    ClaimUnavailable = "claim_unavailable", 503;
    /// It is unknown whether the claim of the idempotency key was recorded.
    ClaimUnknown = "claim_unknown", 503;
    /// The target failed before it sent a complete answer.
    TargetFailed = "target_failed", 502;
    /// The target's answer broke off and could not be resumed.
    AnswerIncomplete = "answer_incomplete", 502;
    /// The target stopped sending data in the middle of an answer.
    TargetSilent = "target_silent", 504;
    /// The retry budget is used up.
    RetryBudgetSpent = "retry_budget_spent", 503;
    /// The caller disconnected before the answer was complete.
    CallerLeft = "caller_left", 499;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that is not completed. It is sent as soon as it is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request is refused.
    pub reason: Reason,
    /// The time after which the caller can retry; `None` if a retry is pointless.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that certainly did not run.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        }
    }

    /// Returns the refusal of a request that may have run.
    pub const fn may_have_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}
