//! Membership: which routers there are, which of them are alive, and who is responsible for what.
//!
//! # Invariant
//!
//! Responsibility (owner of a target, home and aggregators of an organisation) is a pure function of
//! the set of live routers, by rendezvous hash. Routers that see the same set agree without a message;
//! where they see different sets, the duties built on top stay safe and only lose quality.
//!
//! # How it works
//!
//! The platform's VM list says which routers there are; it lags, so it does not say which are alive. Each
//! router exchanges heartbeats with partners, and silence beyond the timeout is death. In a small fleet
//! ([`Config::mesh_max`]) everyone is everyone's partner. In a larger one each router chooses a few by
//! rendezvous hash and is also the partner of those that chose it, so links go both ways, nobody is left out,
//! and everyone can compute them from the same list. Partners pass on rows (see [`message::Row`]) at once, so
//! the cost of a router grows with its partners and not with the fleet. A router that hears of its own death
//! raises its version and so takes it back.
//!
//! A partner that hears nothing itself trusts its own ears before the rows, and spreads the death of one
//! run of a router only once, so that one broken link cannot make a router flap for the whole fleet.
//!
//! Figures and the ways that were weighed are in `docs/design/0004-membership.md`.

pub mod message;
mod rendezvous;
mod state;
#[cfg(test)]
mod tests;

pub use self::rendezvous::{best, owner, ranking};
pub use self::state::{Config, Contact, Members, Peer};
