//! Slots: how many requests each router may have at each target.
//!
//! # Invariant
//!
//! The sum over the fleet of the requests at a target never passes the target's limit, whoever is cut off,
//! paused, restarted or takes over, as long as the target's reports of its load are no older than
//! [`Config::report_lag`].
//!
//! # How it works
//!
//! Each target has one *owner*, the router that rendezvous hashing prefers among the live ones. Only the
//! owner hands out the target's slots, to itself or to other *holders*, each time as a level: so many
//! requests may the holder have there. The level holds for a term ([`Config::term`]) that counts from when
//! the holder sent the ask that the owner answers, so the holder's term always ends before the owner's
//! count of it. A request that was started within the term may run past it, and is held until it ends.
//!
//! A holder with requests that wait asks owners, with the lowest virtual time among its organisations. An
//! owner gives what is free to the lowest, and tells every holder the lowest of the others: the *floor*. A
//! holder reuses what it holds without asking as long as its own lowest is not above the floor. Otherwise
//! it gives the slot back. So messages grow with terms and not with requests, and a slot that nobody
//! waits for stays where it is for [`Config::idle`], which spares the next request the round trip.
//!
//! # Lost sight
//!
//! What a router that has gone silent still runs cannot be known, only bounded: its term runs out, so it
//! starts nothing new, and the target's report says how much runs in all. The owner counts such slots as
//! *lost* until reports show that they are free. A router that takes over a target counts all slots as lost,
//! and begins only when the term of its predecessor's grants is over.
//!
//! In a partition two routers take themselves for the owner of one target. Each looks at how many of the
//! routers on the VM list it can see ([`Sight`]). A majority hands out its part, rounded up, others theirs,
//! rounded down, so that the parts add up to no more than the limit. A side of more than a third gets at least
//! one slot out of two, because a limit grows only with requests that finish. A side of less than a quarter hands out
//! nothing, and a side that misses less than a quarter hands out everything.

mod config;
mod holder;
pub mod message;
mod owned;
mod owner;
mod owners;
mod sight;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::{Config, Policy};
pub use self::holder::Holder;
pub use self::owner::{Limits, Owner};
pub use self::owners::Owners;
pub use self::sight::Sight;
pub use self::state::Slots;
