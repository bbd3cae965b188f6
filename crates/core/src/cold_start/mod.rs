//! Starts: how many requests a cold target is sent in a second.
//!
//! # Invariant
//!
//! A target that is cold, or may be, is sent no more requests in any second than its pool allows, over the whole
//! fleet, whoever is cut off. Every router takes the same fixed part of the allowance, reckoned over all routers
//! that the platform lists, alive or not, so that no message is needed and none can be lost.
//!
//! # When a target may be cold
//!
//! It says so itself when it starts. It may also have started again without a word: connections to it broke, or its
//! data centre was out. Then it counts as cold until it has written of itself again, late enough that it knew.

mod state;
#[cfg(test)]
mod tests;

pub use self::state::{Allowance, Starts};
