//! Limit: the requests per second that targets take from the whole fleet, as they state in their
//! answers.
//!
//! # Invariant
//!
//! All routers together send a target that states a limit no more requests per second than the limit
//! allows, apart from the permits that are unused at one time: about one second's worth. This holds
//! whichever routers are cut off, started, stopped or lost, and whoever has the callers.
//!
//! # How it works
//!
//! Each router takes a part of the limit. The parts follow the demand: routers report how many
//! requests recently arrived for a pool with a limited target, together with their load
//! ([`message::DemandRow`]), and a router's part is its share of that sum ([`Part`]). Routers that are
//! not heard of keep an equal part for themselves, so that the parts of both sides of a partition add
//! up to the limit.
//!
//! A part becomes permits, each for one request ([`Meter`]). Permits accrue at the rate of the part,
//! and an unused one lapses after a second. In a fleet with more routers than the limit allows
//! requests, most routers thus have no permit at a target at any one time. The permits of the routers
//! are spread over time, because what has accrued towards the first one depends on a router's rank.
//!
//! # Statements
//!
//! An answer without a limit lifts it. Answers may overtake one another, so a statement that allows
//! more than the one before counts only if its request was sent after that one arrived. Routers
//! report statements to each other ([`message::LimitRow`]); those that allow less apply at once, and
//! others after [`RAISE_DELAY`] without a contradiction. A new run of a target keeps the limit until
//! its first answer. See `docs/design/0037-stated-limits.md`.

mod demand;
pub mod message;
mod meter;
mod state;
#[cfg(test)]
mod tests;

use crate::prelude::*;

pub use self::demand::Demand;
pub use self::meter::Meter;
pub use self::state::{Change, Limits, Permits};

/// How long a peer's statement that allows more than what is known waits for a contradiction: the
/// time of a report over two relays.
pub const RAISE_DELAY: Duration = Duration::from_millis(500);
/// The rate that applies to a target that states a lower one, so that its next statement is noticed:
/// one request in four seconds.
const RATE_MIN: Rate = Rate::from_millis(250);

/// A rate of requests, in thousandths of a request per second.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Rate(u64);

impl Rate {
    /// Returns a rate in thousandths of a request per second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the sum of two rates, or the largest rate if it is larger.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns how long it takes at this rate until `requests` requests may be sent.
    pub fn time_for(self, requests: u64) -> Duration {
        let millis = requests.saturating_mul(1_000_000).div_ceil(self.0.max(1));
        Duration::from_millis(millis)
    }
}

impl core::fmt::Display for Rate {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// The part of a limit that one router takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The requests that recently arrived at this router.
    pub own: u64,
    /// The requests that recently arrived at the other routers that are heard of.
    pub others: u64,
    /// The number of routers that are heard of, including this one.
    pub heard: u64,
    /// The number of routers that may send requests, heard of or not.
    pub routers: u64,
}

impl Part {
    /// Returns the part of a rate. Each router counts as having one more request than arrived, so
    /// that one without demand has a small part when its first request arrives.
    pub(crate) fn of(self, rate: Rate) -> Rate {
        let heard = self.heard.clamp(1, self.routers.max(1));
        let numerator = u128::from(self.own + 1) * u128::from(heard);
        let weights = u128::from(self.own) + u128::from(self.others) + u128::from(heard);
        let denominator = weights * u128::from(self.routers.max(1));
        let part = u128::from(rate.0) * numerator / denominator.max(1);
        Rate(u64::try_from(part).unwrap_or(u64::MAX))
    }

    /// Returns whether the fleet is so small that each router may keep a permit: all of these
    /// together are no more than the requests of one second.
    pub(crate) const fn keeps_permit(self, rate: Rate) -> bool {
        self.routers.saturating_mul(1_000) <= rate.0
    }
}
