//! Slots: how many requests each router may have at each target.
//!
//! # Invariant
//!
//! The number of requests at a target, summed over the fleet, never exceeds the target's limit,
//! whichever routers are partitioned, paused, restarted or take over targets, as long as the
//! target's reports of its load are no older than [`Config::report_lag`].
//!
//! # How it works
//!
//! Each target has one *owner*, the live router that rendezvous hashing ranks first. Only the owner
//! grants the target's slots, to itself or to other *holders*. A grant states a level: the number
//! of requests that the holder may have at the target. The level holds for a term
//! ([`Config::term`]). The holder counts the term from when it sent the ask that the owner answers,
//! so the holder's term always ends before the owner's count of it. A request that was started
//! within the term may outlast it, and its slot is held until it ends.
//!
//! A holder with waiting requests sends an ask to owners, with the lowest virtual time among its
//! organisations. An owner grants free slots to the holder with the lowest virtual time, and
//! reports to every holder the lowest virtual time of the others: the *floor*. A holder reuses its
//! slots without asking as long as its own lowest virtual time is not above the floor. Otherwise it
//! returns the slot. So the number of messages grows with the number of terms and not of requests,
//! and an idle slot that no router waits for stays at its holder for [`Config::idle`], which spares
//! the next request the round trip.
//!
//! # Partitions
//!
//! The number of requests that still run for an unreachable router cannot be known, only bounded:
//! its term runs out, so it starts no new requests, and the target's report gives the total that
//! runs. The owner counts such slots as *lost* until reports show that they are free. A router that
//! takes over a target counts all slots as lost, and grants none until the term of its
//! predecessor's grants is over.
//!
//! In a partition, two routers consider themselves the owner of one target. Each counts how many of
//! the routers on the VM list it considers live ([`Visibility`]). A majority grants its part of the
//! limit, rounded up, a minority its part, rounded down, so that the parts add up to no more than
//! the limit. A side of more than a third of the routers gets at least one slot out of two, because
//! a limit grows only with requests that finish. A side of less than a quarter grants nothing, and
//! a side that misses less than a quarter grants everything.

mod config;
mod holder;
pub mod lane;
pub mod message;
mod owned;
mod owner;
mod owners;
mod state;
#[cfg(test)]
mod tests;
mod visibility;

pub use self::config::{Config, Policy};
pub use self::holder::Holder;
pub use self::owner::{Limits, Owner};
pub use self::owners::Owners;
pub use self::state::Slots;
pub use self::visibility::Visibility;
