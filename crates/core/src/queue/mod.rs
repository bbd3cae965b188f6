//! Queue: the requests that wait at this router.
//!
//! # Invariant
//!
//! Each organisation has a queue of its own for each pool and class, each queue has a limit, and
//! each request in a queue has a deadline. No request waits past its deadline: it gets its final
//! answer in the first event after the deadline. The queues of one organisation do not lengthen
//! those of another.
//!
//! # How it works
//!
//! The ledger in [`share`](crate::share) decides which organisation is served next. This module
//! decides which request of an organisation is next, and when an urgent request of another
//! organisation goes before that request.
//!
//! Within an organisation interactive requests go first. A batch request that has waited for
//! [`Config::ageing`] counts as interactive, so only the interactive requests that arrived before
//! it still go first. Between organisations, [`Config::interactive_percent`] of the slots that a
//! router uses are kept for interactive requests: while they use less, only organisations with an
//! interactive request are considered, as long as these are not more than [`Config::lead`] above
//! the floor. The lead is part of the fairness bound in [`share`](crate::share); beyond the lead,
//! the ledger alone decides.
//!
//! A refusal for lack of capacity or time proposes a time to retry after: the number of waiting
//! requests, divided by the rate at which requests recently left the organisation's queues (see
//! [`DrainRate`]).

mod drain_rate;
mod running;
mod state;
#[cfg(test)]
mod tests;

pub use self::drain_rate::DrainRate;
pub use self::running::Running;
pub use self::state::{Config, Lane, Queues, Waiting};
