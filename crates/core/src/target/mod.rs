//! Target: what each target can bear now, and whether it may be given work at all.
//!
//! # Invariant
//!
//! A target that is new, has returned, was restarted, fell silent or became slow all of a sudden is
//! cold: its limit is one. The limit grows only with answers that finish, at most doubles in one
//! step, and never passes the slots of the catalogue entry. It is kept by the target's owner and
//! thus counts for the whole fleet, see `docs/design/0010-warm-up.md`.
//!
//! A target gets no work while its data centre is out, while its VM is leaving or gone, or while it
//! is held back after it failed to answer. This is decided right before each dispatch.

mod config;
mod health;
pub mod message;
mod order;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Policy};
pub use self::health::{Cause, Signal};
pub use self::order::RecordOrder;
pub use self::state::{Condition, Targets};
