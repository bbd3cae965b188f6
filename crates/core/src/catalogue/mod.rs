//! Catalogue: which organisations, pools, targets, data centres and moves there are.
//!
//! # Invariant
//!
//! The content of the catalogue is a function of the records of the log up to an offset. The order of
//! offsets is the only order: an edit applies if the entry still stands at the revision that the edit
//! replaces, and is a conflict otherwise, on every router alike. An entry's revision never falls, so an
//! accepted edit never reverts, whatever a peer or an old copy says.
//!
//! # Records that have aged out
//!
//! The log forgets. While it still remembers, the holder of a lease appends entries again with their
//! original offsets ([`message::Refresh`], [`Retention`]). A router that starts reads from the oldest record
//! that is left, its horizon. Until it has reached the tail once, it cannot tell whether an edit of an entry
//! that it has not met is a conflict, so it holds such edits back ([`Applied::Undecided`]) and settles them
//! in log order when the entry's copy appears or the tail is reached.
//!
//! # Entries from a store
//!
//! Where the platform itself keeps the newest content of each record, [`Catalogue::replace`] takes it over
//! as it is. The store's offsets are the revisions, and identities are derived from names
//! ([`derived_id`]), so that routers that have read different parts of the history still agree.
//!
//! See `docs/OPERATIONS.md` for how operators edit the catalogue.

pub mod entry;
pub mod message;
mod retention;
mod state;
#[cfg(test)]
mod tests;
mod validate;

pub use self::retention::Retention;
pub use self::state::{Applied, Catalogue, Scope, TargetView, derived_id};
pub use self::validate::{InvalidError, check};
