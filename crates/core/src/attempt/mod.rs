//! Attempt: the attempts of a request at targets, from the first dispatch to the complete answer.
//!
//! # Invariant
//!
//! A verdict of [`NotRun`](crate::verdict::Verdict::NotRun) covers all attempts of a request
//! together: once a byte of any of them may have reached a target that did not decline the request,
//! every later refusal states that the request may have run. From then on, a request that may not
//! be repeated is never sent again, not even to resume its stream, because an engine that lost the
//! stream would run the request a second time. An event has an effect only if it carries the
//! attempt in progress.
//!
//! A stream of a repeatable request is resumed after the last token that the caller has received:
//! first at the same target on a new connection, because the fault may lie in the connection alone,
//! then at another target. Every retry is charged to a budget (see [`Budgets`]), so that retries
//! cannot flood a failing pool. See `docs/design/0020-at-most-once.md`.

mod budget;
mod config;
mod retry;
#[cfg(test)]
mod tests;

pub use self::budget::{Budgets, Payer};
pub use self::config::{Config, PaidBy};
pub use self::retry::{DispatchConstraints, Ending, Limits, Next, RetryState};
