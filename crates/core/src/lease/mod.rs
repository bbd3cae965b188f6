//! Lease: one router at a time holds a task, by a claim on the log.
//!
//! # Invariant
//!
//! At no time do two routers both believe that they hold the same lease, as long as their clocks run at
//! rates that differ by less than [`Config::margin`] over a term. The holder counts its term from before
//! it sent the claim; everyone else counts from when they read it and does not claim before that term has
//! passed. The offset of the claim is the fencing number, so a target that checks it refuses a holder
//! that was paused.
//!
//! A lease needs the log. In an outage a lease lapses, and the task that hangs on it rests or goes on by
//! the rules of its own component.

pub mod message;
mod state;
#[cfg(test)]
mod tests;

pub use self::state::{Config, Leases};
