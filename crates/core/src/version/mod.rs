//! Version: traffic moves from one version of a pool to the next, and back if the next one is bad.
//!
//! # Invariant
//!
//! Of the requests that a router dispatches in a pool, the new version gets exactly the share of the
//! present stage, never more. What is known of a move only merges: a stage goes forward, and a move that
//! was taken back by any router is back for every router that hears of it, by the log or by peers, and
//! stays so. A router that knows nothing of a move gives the new version nothing.
//!
//! # How it works
//!
//! The stages are worked back from the finishing time of the catalogue entry, see [`schedule`]. The
//! holder of the lease takes each step when it is due and records it. In an outage of the log the live
//! router that rendezvous hashing prefers takes the steps, and records them when the log is back.
//!
//! Each router compares the two versions over the same time on each route and at like load, see
//! [`evidence`], and tells the decider its totals. Whoever finds the new version bad takes the move back.
//!
//! The old version keeps its targets until the move has finished, and one request in a hundred to be
//! compared with. The ways that were weighed are in `docs/design/0011-version-moves.md`.

mod config;
pub mod evidence;
pub mod message;
pub mod schedule;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Policy};
pub use self::state::{Arm, Decider, MoveStatus, Moves};
