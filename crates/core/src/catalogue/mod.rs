//! Catalogue: which organisations, pools, targets, data centres and moves there are.
//!
//! # Invariant
//!
//! The content of the catalogue is a function of the records of the log up to an offset. The order of
//! offsets is the only order: an edit applies if the entry still stands at the revision that the edit
//! replaces, and is a conflict otherwise, on every router alike. An entry's revision never falls, so an
//! accepted edit never reverts, whatever a peer or an old copy says.
//!
//! See `docs/OPERATIONS.md` for how operators edit the catalogue.

pub mod entry;
pub mod message;
mod state;
#[cfg(test)]
mod tests;
mod validate;

pub use self::state::{Applied, Catalogue, TargetView};
pub use self::validate::{InvalidError, check};
