//! Balance: how a router chooses targets itself, without leased slots.
//!
//! # Invariant
//!
//! A target is given another request only while it has a free slot and few unread prompt tokens,
//! counted over this router's requests and the reports of its peers. Other requests wait in the
//! router, where the order between organisations can still change; a target serves in order of
//! arrival. A target without unread tokens takes a request of any size, so that large requests are
//! never starved.
//!
//! # How it works
//!
//! Model engines read prompts one after the other and generate tokens for all running requests
//! together, so the delay of a request is measured in prompt tokens that are still to be read. Each
//! router counts the unread tokens of its own requests and reports them every
//! [`Config::report_every`] ([`message::LoadPart`]): in a small fleet to all others, in a large one to
//! a relay, which sends back the sums of the fleet ([`message::FleetPart`], [`relay`](crate::relay)).
//! Figures expire when none arrive within [`Config::stale_after`].
//!
//! A target caches the prompt parts that it has read, so a prefix that it has read before costs
//! nothing again. Each router records which target was sent which prefix, from its own requests and
//! from its peers' reports of long prefixes ([`PrefixIndex`], [`message::HeldRow`]). For a prefix
//! that no router has sent recently, rendezvous hashing picks the target that should cache the
//! prefix, so that routers agree without a message. The score of a target adds up its unread
//! tokens, the tokens that it would have to read again, its running requests, and the cost of
//! distance; the target with the lowest score is chosen. See `docs/design/0031-balance.md`.
//!
//! While an organisation receives much less than its share of the service that the fleet gives, the
//! others are held to theirs; see [`shares`].
//!
//! Where targets differ in speed, or routes state how long streams may pause, work is compared in
//! time, and the unread tokens at a target are bounded by the pauses that they cause ([`ReadSpeed`],
//! [`speed`](crate::speed)). Scores are then spread by a hash, because routers that know the same
//! figures would all choose the same target. See `docs/design/0041-speed-and-pauses.md`.

mod config;
mod fleet_view;
pub mod message;
mod prefix_index;
mod relaying;
mod score;
mod service_window;
mod shares;
mod state;
#[cfg(test)]
mod tests;
mod turns;

pub use self::config::Config;
pub use self::prefix_index::PrefixIndex;
pub use self::relaying::Member;
pub use self::score::{Candidate, CandidateLoad, Choice, ReadSpeed, RequestProfile, Size};
pub use self::service_window::{Service, ServiceWindow};
pub use self::shares::{Share, Standing};
pub use self::state::{Balance, Load};
pub use self::turns::{Permit, Quota, Workload};
