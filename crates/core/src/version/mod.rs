//! Version moves: traffic of a pool moves from one version to the next, and back if the new one is
//! bad.
//!
//! # Invariant
//!
//! Of the requests that a router dispatches in a pool, the new version receives exactly the share
//! of the current stage, never more. Facts about a move only merge: the stage never decreases, and
//! a rollback by any router is permanent for every router that receives it, from the log or from a
//! peer. A router without facts about a move sends no requests to the new version.
//!
//! # How it works
//!
//! The stages are computed backwards from the finishing time of the catalogue entry, see
//! [`schedule`]. The clock determines which stage is due, and the evidence whether that stage may
//! start. Beyond a configured share, a stage requires a good verdict on the new version. A move
//! finishes only after the new version has served nearly all traffic for a while, as well as the
//! old one. Without sufficient evidence a move keeps its stage, even past its finishing time.
//!
//! Each router compares the two versions over the same time, per route and at similar load, see
//! [`evidence`], and reports its totals to a few deciders. The holder of the lease takes the steps
//! and records them. During an outage of the log, or without a log, any decider takes them. Any
//! router that finds the new version bad rolls the move back.
//!
//! Until the move has finished, the old version keeps its targets and one request in a hundred as a
//! reference. The alternatives that were considered are described in
//! `docs/design/0011-version-moves.md` and `docs/design/0033-evidence-of-versions.md`.

mod config;
pub mod evidence;
pub mod message;
pub mod schedule;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Exposure, Policy};
pub use self::state::{Arm, Deciders, MoveStatus, Moves};
