//! Quarantine: requests that crash the targets that run them.
//!
//! # Invariant
//!
//! What was running at a target when it crashed is a suspect, known by the fingerprint of its content and
//! not by its key. A suspect runs only alone on a target, and once at a time in the fleet. One that
//! crashes its target while it is alone is quarantined: no router runs it until the entry expires. A
//! request is never condemned for a crash in company, and running to the end clears it.
//!
//! # How it works
//!
//! A connection that breaks or an answer that ends early is presumed to be a crash until the target's
//! next report, which shows by its uptime whether the process restarted ([`Breaks`]). Routers tell each
//! other about crashes by entries that only merge ([`Book`]). A router tries one suspect at a time
//! ([`Trial`]): it asks the coordinator of the fingerprint for a permit, keeps everybody off one target,
//! waits until the target reports that it is idle, and only then dispatches.
//!
//! When several targets crash within a moment, their data centre or rack is more likely at fault than a
//! request; what ran at only one of them is not suspected then. See `docs/design/0021-quarantine.md`.

mod book;
mod breaks;
mod config;
pub mod message;
mod state;
#[cfg(test)]
mod tests;
mod trial;

pub use self::book::{Book, SuspectStatus};
pub use self::breaks::{Break, Breaks, Finding};
pub use self::config::Config;
pub use self::state::{Fleet, Quarantine, Task};
pub use self::trial::{Phase, Trial};
