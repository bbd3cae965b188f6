//! Duty: tasks that one router at a time performs for the fleet, by calls to an endpoint of the
//! platform.
//!
//! # Invariant
//!
//! No two routers make calls at the same time, and no two use the same fencing number, as long as the
//! rates of their clocks differ by less than [`Config::margin`] over a term. The holder counts its
//! term from before it sent the claim or renewal, and starts no call within one call timeout of the
//! term's end. All others count the term from when they read the record, and claim after the term
//! and the margin. A claim is an append at the end of the topic as it was read, so of several only
//! one takes effect. Its number is higher than that of the record before it, and holds the era of the
//! store in its high half, so that it also rises when a restored store has forgotten claims. See
//! `docs/design/0038-duties.md`.
//!
//! # What is sent
//!
//! While [`Duties::held`] returns a number, the node asks `usage` and `autoscale` what is due, and
//! passes orders to [`Duties::send`]. What must be in the store before it is sent is written with
//! [`Duties::write`]; its content comes back as it stands in the topic, from the own append or a
//! read.

mod calls;
mod fence;
pub mod message;
mod state;
#[cfg(test)]
mod tests;

pub use self::message::{
    DutyCall, DutyEvent, DutyOrder, DutyPart, DutyResult, HolderRecord, Subject,
};
pub use self::state::{Config, Duties, Standing};

/// The key of the record that holds the lease; after a restore of the store a slash and the era follow.
pub const HOLDER: &str = "holder";
