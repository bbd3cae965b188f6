//! Membership: which routers there are, which of them are alive, and who is responsible for what.
//!
//! # Invariant
//!
//! Responsibility (owner of a target, home and accountants of an organisation) is a pure function of
//! the set of live routers, by rendezvous hash. Routers that see the same set agree without a message;
//! where they see different sets, the duties built on top stay safe and only lose quality.

pub mod message;
mod rendezvous;
mod state;

pub use self::rendezvous::{owner, ranking};
pub use self::state::{Config, Members, Peer};
