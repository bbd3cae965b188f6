//! Time in the state machine. It is passed in with each event and never read from a clock.
//!
//! The embedding supplies a monotonic clock that is set to the time since the Unix epoch when the
//! process starts. One value therefore serves both for intervals (terms of leases) and for dates
//! (finishing times of version moves, ages of idempotency keys). See `docs/DESIGN.md`.

use core::{fmt, ops, time::Duration};

/// A point in time in microseconds since the Unix epoch. Successive events carry times that never
/// decrease.
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
pub struct Time(pub u64);

impl Time {
    /// The latest time that can be represented. Stands for "never" where nothing is scheduled.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time that lies `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns whole milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns how much later `self` is than `earlier`, or zero if it is not later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
