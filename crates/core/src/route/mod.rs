//! Route: which of the available targets gets a request.
//!
//! # Invariant
//!
//! A target is chosen only after fairness has chosen the request and the limits have chosen the
//! candidates, so affinity to a cached prefix or to a data centre never gives an organisation a
//! turn or a slot. What is known about caches is a hint: it is bounded in memory, and wrong hints
//! cost only time.

mod choose;
mod prefixes;
mod split;
#[cfg(test)]
mod tests;

pub use self::choose::{Candidate, Distance, choose};
pub use self::prefixes::Prefixes;
pub use self::split::Splits;
