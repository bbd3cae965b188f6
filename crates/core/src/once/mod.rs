//! Once: a request that carries an idempotency key runs at most once in the fleet.
//!
//! # Invariant
//!
//! A key is run only by the router whose claim holds it, and by that router at most once. The first
//! claim of a key in the order of the log holds it until its holder releases it; a claim that finds the
//! key held loses for good. A holder releases only what it has certainly not sent, and never sends what
//! it has released. Nobody else can undo a claim, so a router that was paused between its claim and its
//! dispatch may go on at any later time without harm.
//!
//! Keys are UUIDs of version 7 and carry their time. A key from before the horizon, the time from which
//! on every claim is still known, is refused, because a claim of it may have aged out. Keys that a
//! router issued itself are recognised by every router, are run by the issuing incarnation alone, and
//! need no log. A key belongs to the organisation that uses it: the same UUID of another organisation is
//! another key. See `docs/design/0020-at-most-once.md`.

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

pub use self::claims::{Claims, Fold};
pub use self::config::Config;
pub use self::issue::Issuer;
pub use self::key::Key;
pub use self::state::{Admission, Once, Settled, LogStatus};
