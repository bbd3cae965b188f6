//! Catalogue: the configured organisations, pools, targets, data centres, version moves and routes.
//!
//! # Invariant
//!
//! The content of the catalogue is a function of the records of the log up to an offset. Edits take
//! effect in the order of their offsets: an edit applies if the entry is still at the revision that
//! the edit replaces, and is a conflict otherwise. Every router decides this in the same way. An
//! entry's revision never decreases, so no peer and no old copy can revert an accepted edit.
//!
//! # Records that have aged out
//!
//! The log drops old records. Before it drops the record of an entry, the holder of a lease appends
//! the entry again with its original offsets ([`message::Refresh`], [`Retention`]). A router that
//! starts reads from the oldest retained record. Until it has reached the tail once, it cannot
//! decide whether an edit of an entry that it has not read is a conflict. It holds such edits back
//! ([`Applied::Undecided`]) and decides them in log order when a copy of the entry is read or the
//! tail is reached.
//!
//! # Entries from a store
//!
//! Where the platform itself keeps the newest content of each record in a store,
//! [`Catalogue::replace`] takes over that content unchanged. The store's offsets serve as
//! revisions, and identities are derived from names ([`derived_id`]), so that routers agree even if
//! they have read different parts of the history. No two entries of a kind share an identity,
//! whatever their names ([`Catalogue::assign_identities`]).
//!
//! See `docs/OPERATIONS.md` for how operators edit the catalogue.

pub mod entry;
pub mod message;
mod order;
mod retention;
mod state;
#[cfg(test)]
mod tests;
mod validate;

pub use self::order::ConfigurationOrder;
pub use self::retention::Retention;
pub use self::state::{Applied, Catalogue, Scope, TargetView, derived_id};
pub use self::validate::{InvalidError, check};
