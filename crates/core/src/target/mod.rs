//! Targets: how many requests each target can take now, and whether it may receive any.
//!
//! # Invariant
//!
//! A target is cold if it is new, is back in service, was restarted, became unresponsive or
//! suddenly became slow. The limit of a cold target is one request. The limit only grows with
//! finished answers, at most doubles in one step, and never exceeds the slots of the catalogue
//! entry. The owner of the target maintains the limit, which therefore applies to the whole fleet,
//! see `docs/design/0010-warm-up.md`.
//!
//! A target receives no requests while its data centre is out of service, while its VM is leaving
//! or removed, or during the back-off after it failed to answer. This is checked right before each
//! dispatch. The same holds for a target that stated in an answer that it is leaving, or that it
//! wants no requests for a while; see [`Notices`].

mod config;
mod health;
pub mod message;
mod notices;
mod order;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Policy};
pub use self::health::{Cause, Signal};
pub use self::notices::{Notices, Standing};
pub use self::order::RecordOrder;
pub use self::state::{Condition, Targets};
