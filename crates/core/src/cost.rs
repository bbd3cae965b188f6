//! The unit of service.

use core::{iter, ops, time::Duration};

/// An amount of service. One unit is a thousandth of the service of one generated token.
///
/// Requests to model engines are charged by prompt tokens and generated tokens, requests to plain
/// services by time. The service of an organisation at all pools thus adds up to one figure. See
/// `docs/design/0002-service-unit.md`.
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
#[serde(transparent)]
pub struct Cost(pub u64);

impl Cost {
    /// No service.
    pub const ZERO: Self = Self(0);
    /// The service of one generated token.
    pub const TOKEN: Self = Self(1_000);
    /// The service of one prompt token.
    pub const PROMPT_TOKEN: Self = Self(100);
    /// The service of one millisecond of running time at a plain service.
    pub const MILLISECOND: Self = Self(50);

    /// Returns the service of `n` generated tokens.
    pub const fn tokens(n: u64) -> Self {
        Self(Self::TOKEN.0.saturating_mul(n))
    }

    /// Returns the service of `n` prompt tokens.
    pub const fn prompt(n: u64) -> Self {
        Self(Self::PROMPT_TOKEN.0.saturating_mul(n))
    }

    /// Returns the service of `elapsed` running time at a plain service.
    pub fn elapsed(elapsed: Duration) -> Self {
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Self(Self::MILLISECOND.0.saturating_mul(millis))
    }

    /// Returns `self - rhs`, or zero if `rhs` is larger.
    pub const fn saturating_sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl ops::Add for Cost {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl ops::AddAssign for Cost {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl iter::Sum for Cost {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, ops::Add::add)
    }
}
