//! Balance: which target gets a request where routers choose for themselves.
//!
//! # Invariant
//!
//! A target is given another request only while little of earlier prompts is still unread at it, as far as this
//! router and its peers know, and while it has a free slot. What waits, waits in the router, where the order
//! between organisations can still be decided; a target serves in order of arrival. A target at which nothing
//! is unread takes a request of any size, so that large ones are never shut out.
//!
//! # How it works
//!
//! Model engines read prompts one after the other and generate tokens for all running requests together, so what
//! delays a request is measured in prompt tokens that are still to be read. Each router counts those of its own
//! requests and tells its peers with each heartbeat ([`message::LoadPart`]). The figures of peers are as old as a
//! heartbeat; they expire when a peer falls silent.
//!
//! The parts of a prompt that a target has read before cost nothing again. Which target holds which part is
//! remembered from own requests and from what peers tell of long parts ([`Holdings`], [`message::HeldRow`]). For a part
//! that nobody has sent lately, rendezvous hashing names the target that is to hold it, so that routers agree without
//! a message. The score of a target adds up what is unread, what would have to be read again, what runs, and the way
//! to it; the lowest is chosen. See `docs/design/0031-balance.md`.

mod config;
mod holdings;
pub mod message;
mod score;
mod state;
#[cfg(test)]
mod tests;
mod turns;

pub use self::config::Config;
pub use self::holdings::Holdings;
pub use self::score::{Candidate, CandidateLoad, Choice, RequestProfile};
pub use self::state::{Balance, Load};
pub use self::turns::{Due, Workload};
