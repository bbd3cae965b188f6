//! Membership: which routers there are, which of them are alive, and who is responsible for what.
//!
//! # Invariant
//!
//! Responsibility (owner of a target, home and accountants of an organisation) is a pure function of
//! the set of live routers, by rendezvous hash. Routers that see the same set agree without a message;
//! where they see different sets, the duties built on top stay safe and only lose quality.
//!
//! # How it works
//!
//! The platform's VM list says which routers there are; it lags, so it does not say which are alive.
//! Each router sends heartbeats to a few partners, the best of its own ranking of all routers. Everyone
//! can compute whose heartbeats it may expect, and silence beyond the timeout is death. In a fleet of at
//! most [`Config::partners`] other routers everyone is everyone's partner. In a larger fleet the partners
//! pass on rows (see [`message::Row`]), so the cost of a router grows with its partners and not with the
//! fleet. A router that hears of its own death raises its version and so takes it back.
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
pub use self::state::{Config, Members, Peer};
