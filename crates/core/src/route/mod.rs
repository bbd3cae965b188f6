//! Route: which of the targets that may take a request gets it.
//!
//! # Invariant
//!
//! Fairness has chosen the request and the limits have chosen the candidates before a route is
//! looked for, so affinity to a cached prefix or to a data centre never gives anybody a turn or a slot.
//! What is known of caches is a hint: it is bounded in memory, and wrong hints cost time only.

mod choose;
mod prefixes;
mod split;
#[cfg(test)]
mod tests;

pub use self::choose::{Candidate, Distance, choose};
pub use self::prefixes::Prefixes;
pub use self::split::Splits;
