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
//! The stages are worked back from the finishing time of the catalogue entry, see [`schedule`]. The clock
//! says which stage is due, the evidence whether it may begin: beyond a set share only once the new version
//! has shown itself good, and the move is final only after all traffic went to the new version for a while
//! and was answered as well as before. What is undecided stays where it is, past the finishing time too.
//!
//! Each router compares the two versions over the same time on each route and at like load, see
//! [`evidence`], and tells a few deciders its totals. The holder of the lease takes the steps and records
//! them; in an outage of the log, or where there is none, any of the deciders does. Whoever finds the new
//! version bad takes the move back.
//!
//! The old version keeps its targets until the move has finished, and one request in a hundred to be
//! compared with. The ways that were weighed are in `docs/design/0011-version-moves.md` and
//! `docs/design/0033-evidence-of-versions.md`.

mod config;
pub mod evidence;
pub mod message;
pub mod schedule;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Exposure, Policy};
pub use self::state::{Arm, Deciders, MoveStatus, Moves};
