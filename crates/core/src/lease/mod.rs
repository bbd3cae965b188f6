//! Lease: at most one router at a time holds a task, by a claim on the log.
//!
//! # Invariant
//!
//! At no time do two routers both believe that they hold the same lease, as long as their clocks
//! run at rates that differ by less than [`Config::margin`] over a term. The holder counts its term
//! from before it sent the claim; all other routers count it from when they read the claim, and do
//! not claim before the term has passed. The offset of the claim is the fencing number, so a target
//! that checks it refuses a holder that was paused.
//!
//! A lease needs the log. In an outage of the log leases lapse, and a task that needs a lease is
//! suspended or continues, by the rules of its own component.

pub mod message;
mod state;
#[cfg(test)]
mod tests;

pub use self::state::{Config, Leases};
