//! The permits of one router at one target.

use std::collections::VecDeque;

use crate::limit::Rate;
use crate::prelude::*;

/// How long a permit lasts unused.
const LIFETIME: Duration = Duration::from_secs(1);
/// How long a permit is left to large requests.
const SPARE_AFTER: Duration = Duration::from_millis(300);
/// Fractions of a permit are counted in these units: thousandths of a request per second accrue in
/// microseconds.
const PERMIT: i128 = 1_000_000_000;

/// Permits that accrue at a rate, each for one request. An unused permit lapses after a second.
#[derive(Debug, Clone)]
pub struct Meter {
    rate: Rate,
    /// Whether the last unused permit does not lapse.
    keeps_permit: bool,
    /// What has accrued towards the next permit. Negative after requests without a permit.
    fraction: i128,
    /// When the unused permits accrued, the oldest first.
    permits: VecDeque<Time>,
    updated: Time,
}

impl Meter {
    /// Returns a meter without permits. `start` is what has accrued towards the first one, as a fraction
    /// of 2^64.
    pub fn new(now: Time, start: u64) -> Self {
        Self {
            rate: Rate::default(),
            keeps_permit: false,
            fraction: i128::from(start) * PERMIT / (1_i128 << 64),
            permits: VecDeque::new(),
            updated: now,
        }
    }

    /// Sets the rate from now on, and whether the last unused permit does not lapse.
    pub fn set_rate(&mut self, now: Time, rate: Rate, keeps_permit: bool) {
        self.advance(now);
        self.rate = rate;
        self.keeps_permit = keeps_permit;
    }

    /// Returns the rate.
    pub const fn rate(&self) -> Rate {
        self.rate
    }

    /// Adds the permits that have accrued, and drops those that have lapsed.
    pub fn advance(&mut self, now: Time) {
        let rate = i128::from(self.rate.as_millis());
        let micros = now.since(self.updated).as_micros();
        self.updated = self.updated.max(now);
        self.fraction += rate * i128::try_from(micros).unwrap_or(0);
        if self.fraction >= PERMIT {
            let accrued = self.fraction / PERMIT;
            self.fraction %= PERMIT;
            // Earlier ones have lapsed already.
            let lasting = rate * LIFETIME.as_micros().cast_signed() / PERMIT + 1;
            for later in (0..accrued.min(lasting)).rev() {
                let micros = (self.fraction + later * PERMIT) / rate.max(1);
                let age = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
                self.permits.push_back(now - age);
            }
        }
        let kept = usize::from(self.keeps_permit);
        while self.permits.len() > kept
            && self
                .permits
                .front()
                .is_some_and(|&at| now.since(at) >= LIFETIME)
        {
            self.permits.pop_front();
        }
    }

    /// Returns the unused permits, as of the last call of [`advance`](Self::advance).
    pub fn permits(&self) -> u32 {
        u32::try_from(self.permits.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a permit has not been used for a while, so that no large request needs it.
    pub fn has_spare(&self) -> bool {
        let oldest = self.permits.front();
        oldest.is_some_and(|&at| self.updated.since(at) >= SPARE_AFTER)
    }

    /// Returns how long it takes until the next permit accrues.
    pub fn next_in(&self) -> Duration {
        let rate = i128::from(self.rate.as_millis()).max(1);
        let micros = (PERMIT - self.fraction) / rate;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Drops the unused permits, which accrued at a higher rate than the one that applies now.
    pub fn drop_permits(&mut self) {
        self.permits.clear();
    }

    /// Uses a permit. Without one, the next that accrues is used.
    pub fn spend(&mut self) {
        if self.permits.pop_front().is_none() {
            self.fraction -= PERMIT;
        }
    }
}
