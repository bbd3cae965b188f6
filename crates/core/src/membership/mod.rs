//! Membership: the routers of the fleet, which of them are live, and which router is responsible
//! for what.
//!
//! # Invariant
//!
//! Responsibility (the owner of a target, the home router and the aggregators of an organisation)
//! is a pure function of the set of live routers, computed by rendezvous hashing. Routers that
//! consider the same set live agree without exchanging a message. If their sets differ, the
//! components that build on them stay safe and only lose quality.
//!
//! # How it works
//!
//! The platform's VM list names the routers of the fleet. It lags, so it does not show which of
//! them are live. Each router exchanges heartbeats with partners and considers a partner down if it
//! receives no heartbeat within the timeout. In a small fleet ([`Config::mesh_max`]) all routers
//! are partners of each other. In a larger fleet each router chooses a few partners by rendezvous
//! hashing and is also the partner of the routers that chose it. Links are therefore symmetric,
//! every router has partners, and all routers can compute the links from the same list. Partners
//! forward changed rows (see [`message::Row`]) immediately, so that the cost of a router grows with
//! the number of its partners and not with the size of the fleet. A router that receives a row in
//! which it is down raises the version of its own row, which overrides the report.
//!
//! Many routers may be lost at once, and with them most partners of those that are left. The same
//! choice is therefore made a second time among the routers that are not known to be lost, and
//! gives the substitutes (see `links`). A new partner is asked for its rows at once, so that each
//! learns what the other knows; if it does not answer it is lost too, and replaced in turn.
//!
//! A router that receives no heartbeats from a partner considers the partner down even if the rows
//! show it as live. It reports a partner as down only once until it hears it again, so that a single
//! broken link cannot make a router alternate between live and down for the entire fleet. A router
//! that hears nobody reports nobody: it may itself be cut off. It looks for other partners, and
//! checks those it missed again once it hears any router.
//!
//! A router that is down stays listed, and its fixed partners go on sending heartbeats to it. A
//! frame from it is answered with its row, so that it corrects the row and is live again.
//!
//! Figures and rejected alternatives are in `docs/design/0004-membership.md`.

mod links;
pub mod message;
mod rendezvous;
mod state;
#[cfg(test)]
mod tests;

pub use self::rendezvous::{best, owner, ranking};
pub use self::state::{Config, HeartbeatTiming, Members, Peer};
