//! Attempt: the life of a request at targets, from the first dispatch to the whole answer.
//!
//! # Invariant
//!
//! A verdict of [`NotRun`](crate::verdict::Verdict::NotRun) holds for all attempts of a request
//! together: once a byte of any of them may have reached a target that did not decline it, every later
//! refusal says that the request may have run. A request that may not be repeated is never sent again
//! after that, not even to resume its stream, because an engine that lost the stream would run it a
//! second time. An event counts only if it carries the attempt that is under way.
//!
//! A stream of a repeatable request is resumed after the last token that the caller has: first at the
//! same target on a new connection, because the connection alone may be at fault, then elsewhere.
//! Every retry is paid from the organisation's [`Budgets`], so that a failing pool is not flooded by
//! retries. See `docs/design/0020-at-most-once.md`.

mod budget;
mod config;
mod retry;
#[cfg(test)]
mod tests;

pub use self::budget::{Budgets, Payer};
pub use self::config::{Config, PaidBy};
pub use self::retry::{Ending, RetryState, Limits, Next, DispatchConstraints};
