//! Slots: how many requests each router may have at each target.
//!
//! # Invariant
//!
//! The sum over the fleet of the requests at a target never passes the target's limit.

pub mod message;
mod state;

pub use self::state::Slots;
