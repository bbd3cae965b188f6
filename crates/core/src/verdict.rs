//! What a caller may conclude from a refusal: whether the request may have run.
//!
//! See `docs/CALLERS.md` for what a caller does with each verdict and reason.

use core::{fmt, time::Duration};

/// Whether a request that was refused may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request can have reached a target, or the target itself said that it did not
    /// start the request. The caller may send it again with the same key.
    NotRun,
    /// The request may have run, in part or as a whole.
    MayHaveRun,
}

impl Verdict {
    /// Returns the stable name that callers see.
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

            /// Returns the stable name that callers and metrics see.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status that goes with the reason.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is not well formed.
    Malformed = "malformed", 400;
    /// The bearer token is missing or belongs to no organisation.
    Unauthorised = "unauthorised", 401;
    /// The pool (model or plain service) is not in the catalogue.
    UnknownPool = "unknown_pool", 404;
    /// The caller did not finish sending its request in time.
    CallerTooSlow = "caller_too_slow", 408;
    /// The headers or the body are larger than allowed.
    TooLarge = "too_large", 413;
    /// The organisation has as many requests waiting as its limits allow.
    QueueFull = "queue_full", 429;
    /// The organisation has as many connections or requests open as its limits allow.
    TooManyOpen = "too_many_open", 429;
    /// The router as a whole holds as much as it may.
    Overloaded = "overloaded", 503;
    /// The deadline passed while the request waited.
    DeadlinePassed = "deadline_passed", 504;
    /// No target of the pool may take work now.
    NoTarget = "no_target", 503;
    /// The router has not caught up with the log yet, or cannot show that it is current.
    NotCurrent = "not_current", 503;
    /// The router is stopping and takes no new requests.
    Stopping = "stopping", 503;
    /// The content of the request crashed targets before and is not run again.
    Quarantined = "quarantined", 422;
    /// A request with the same idempotency key has run or is running.
    Duplicate = "duplicate", 409;
    /// The idempotency key is older than the records that could show whether it ran.
    KeyTooOld = "key_too_old", 422;
    /// The idempotency key is not a UUID of version 7.
    KeyInvalid = "key_invalid", 400;
    /// The idempotency key carries a time that lies too far in the future.
    KeyFromFuture = "key_from_future", 422;
    /// The idempotency key was issued by another router, which alone can run it.
    KeyIssuedElsewhere = "key_issued_elsewhere", 409;
    /// The claim of the idempotency key cannot be recorded now.
    ClaimUnavailable = "claim_unavailable", 503;
    /// It is not known whether the claim of the idempotency key was recorded.
    ClaimUnknown = "claim_unknown", 503;
    /// The target failed before it gave a whole answer.
    TargetFailed = "target_failed", 502;
    /// The target's answer broke off and could not be resumed.
    AnswerIncomplete = "answer_incomplete", 502;
    /// The target fell silent in the middle of an answer.
    TargetSilent = "target_silent", 504;
    /// The organisation's budget of retries is spent.
    RetryBudgetSpent = "retry_budget_spent", 503;
    /// The caller left before the answer was whole.
    CallerLeft = "caller_left", 499;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that is given up on. It goes out the moment it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was given up on.
    pub reason: Reason,
    /// After how long the caller may usefully come back; `None` if coming back is of no use.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request of which no byte reached a target.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        }
    }

    /// Returns a refusal of a request that may have run.
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
