//! Once: a request that carries an idempotency key runs at most once in the fleet.
//!
//! # Invariant
//!
//! The request of a key is run only by the router whose claim holds the key, and by that router at
//! most once. The first claim of a key in the order of the log holds the key until its holder
//! releases it. A claim of a key that is held by another claim is lost for good. A holder releases
//! a key only if it has certainly not sent the request, and never sends the request after the
//! release. Only the holder can undo a claim, so a router that was paused between its claim and its
//! dispatch can safely continue at any later time.
//!
//! Keys are UUIDs of version 7 and contain their time. Every claim of a key from after the horizon
//! is still known. A key from before the horizon is refused, because a claim of it may have aged
//! out. Keys that a router issued itself are recognised by every router, are run only by the
//! issuing incarnation, and need no log. A key belongs to the organisation that uses it: the same
//! UUID used by another organisation is a different key. See `docs/design/0020-at-most-once.md`.

mod ages;
mod batch;
mod claims;
mod config;
mod issue;
mod key;
pub mod message;
mod state;
#[cfg(test)]
mod tests;

pub use self::claims::{Claims, StepOutcome};
pub use self::config::Config;
pub use self::issue::Issuer;
pub use self::key::Key;
pub use self::state::{Admission, LogStatus, Once, Settled};
