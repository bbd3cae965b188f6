//! The rate at which requests leave a queue, and the wait that follows from it.

use crate::prelude::*;

/// The reciprocal of the weight of the latest interval in the moving mean.
const SMOOTHING: u32 = 8;
/// The shortest wait that is proposed to a caller.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// The longest wait that is proposed to a caller.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// The rate at which requests leave a queue for a target, as the mean time between two of them.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use bulrushtrestle_core::queue::DrainRate;
/// use bulrushtrestle_core::time::Time;
///
/// let mut rate = DrainRate::new(Time::from_millis(0));
/// for second in 1..=50 {
///     rate.on_dispatch(Time::from_millis(second * 1_000), true);
/// }
/// let wait = rate.wait(Time::from_millis(50_000), 10);
/// assert_eq!(wait, Duration::from_secs(10));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    /// When the last request left, or when the queue last became non-empty, whichever is later.
    since: Time,
    /// The moving mean of the time between two requests that leave, if there was any while others
    /// waited.
    interval: Option<Duration>,
}

impl DrainRate {
    /// Returns the rate of a queue that becomes non-empty now.
    pub const fn new(now: Time) -> Self {
        Self {
            since: now,
            interval: None,
        }
    }

    /// Records that the queue becomes non-empty. The time for which it was empty does not count
    /// towards the rate.
    pub const fn on_nonempty(&mut self, now: Time) {
        self.since = now;
    }

    /// Records that a request left for a target. `others_wait` says whether other requests still
    /// wait.
    pub fn on_dispatch(&mut self, now: Time, others_wait: bool) {
        let interval = now.since(self.since);
        self.since = now;
        self.interval = match self.interval {
            // A queue that runs empty is limited by arrivals, which say nothing about the rate.
            None if others_wait => Some(interval),
            Some(mean) if others_wait => Some((mean * (SMOOTHING - 1) + interval) / SMOOTHING),
            unchanged => unchanged,
        };
    }

    /// Returns the estimated time until `requests` requests have left.
    pub fn wait(&self, now: Time, requests: usize) -> Duration {
        let elapsed = now.since(self.since);
        let interval = self.interval.unwrap_or(elapsed).max(elapsed / SMOOTHING);
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        interval.saturating_mul(requests).clamp(WAIT_MIN, WAIT_MAX)
    }
}
