//! Queue: the requests that wait at this router.
//!
//! # Invariant
//!
//! Each organisation has a queue of its own for each pool and class, each queue has a limit, and each
//! request in it has a deadline. No request waits past its deadline: it gets its final answer in the event
//! in which the deadline is seen to have passed. What one organisation queues lengthens no other's queue.
//!
//! # How it works
//!
//! Whose turn it is between organisations is the ledger's matter; here it is decided which request of an
//! organisation is next, and when an urgent request of another organisation goes before it.
//!
//! Within an organisation interactive requests go first, but a batch request that has waited for
//! [`Config::ageing`] counts as interactive, so it is next once the interactive ones that came before it
//! are gone. Between organisations interactive requests keep [`Config::interactive_percent`] of the slots that a router
//! uses: while they have less, the organisations with an interactive request are considered alone, as far
//! as they are not more than [`Config::lead`] above the floor. The lead is part of the fairness bound in
//! [`share`](crate::share); past it the ledger alone decides.
//!
//! A refusal for want of room or time says when to come back: the number of requests that wait, divided by
//! the rate at which the organisation's queue was drained lately (see [`Drain`]).

mod drain;
mod running;
mod state;
#[cfg(test)]
mod tests;

pub use self::drain::Drain;
pub use self::running::Running;
pub use self::state::{Config, Lane, Queues, Waiting};
