//! How fast a queue is drained, and from it how long a caller has to wait.

use crate::prelude::*;

/// The weight of the latest interval in the mean, as its reciprocal.
const SMOOTHING: u32 = 8;
/// The shortest wait that is proposed.
const WAIT_MIN: Duration = Duration::from_millis(100);
/// The longest wait that is proposed.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// The mean time between two requests that leave a queue towards a target.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use bulrushtrestle_core::queue::Drain;
/// use bulrushtrestle_core::time::Time;
///
/// let mut drain = Drain::new(Time::from_millis(0));
/// for second in 1..=50 {
///     drain.on_left(Time::from_millis(second * 1_000), true);
/// }
/// let wait = drain.wait(Time::from_millis(50_000), 10);
/// assert_eq!(wait, Duration::from_secs(10));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// When the last request left, or the queue began to fill.
    since: Time,
    interval: Option<Duration>,
}

impl Drain {
    /// Returns the drain of a queue that begins to fill now.
    pub const fn new(now: Time) -> Self {
        Self {
            since: now,
            interval: None,
        }
    }

    /// Notes that the queue begins to fill; the time in which it was empty says nothing.
    pub const fn on_filled(&mut self, now: Time) {
        self.since = now;
    }

    /// Notes that a request left towards a target. `busy` says whether others still wait.
    pub fn on_left(&mut self, now: Time, busy: bool) {
        let interval = now.since(self.since);
        self.since = now;
        self.interval = match self.interval {
            // A queue that was not busy was drained as fast as it filled, which is no measure.
            None if busy => Some(interval),
            Some(mean) if busy => Some((mean * (SMOOTHING - 1) + interval) / SMOOTHING),
            unchanged => unchanged,
        };
    }

    /// Returns how long it takes until `requests` have left.
    pub fn wait(&self, now: Time, requests: usize) -> Duration {
        let silence = now.since(self.since);
        let interval = self.interval.unwrap_or(silence).max(silence / SMOOTHING);
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        interval.saturating_mul(requests).clamp(WAIT_MIN, WAIT_MAX)
    }
}
