//! Duty: tasks that one router at a time performs for the fleet.
//!
//! Interface to the components that have something to send (`usage`, `autoscale`):
//!
//! - Only while [`Duties::held`] is `Some`, the node asks them what is due and passes orders to
//!   [`Duties::send`]. The result comes back to them by the order's content.
//! - What must be in the store before it is sent is written with [`Duties::write`] under a key of
//!   its own; the value comes back as it stands in the topic, both after the own append and
//!   whenever it is read, with the era of the answer.

pub mod message;
mod state;

pub use self::message::{
    DutyCall, DutyEvent, DutyOrder, DutyPart, DutyResult, HolderRecord, Subject,
};
pub use self::state::{Config, Duties};

/// The key of the record that holds the lease.
pub const HOLDER: &str = "holder";

/// The key of the record that holds the last reports of usage.
pub const USAGE: &str = "usage";
