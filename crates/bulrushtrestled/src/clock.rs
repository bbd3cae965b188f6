//! The clock that provides the node's time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bulrushtrestle_core::time::Time;

/// A monotonic clock, anchored at the Unix epoch when the process starts.
///
/// Later steps of the system clock have no effect, so that time never runs backwards or jumps for
/// leases and timeouts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    /// The time since the Unix epoch at `started`.
    started_after_epoch: Duration,
}

impl Clock {
    /// Returns a clock anchored at the present system time.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            started_after_epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Time {
        Time::default() + (self.started_after_epoch + self.started.elapsed())
    }

    /// Returns the instant at which this clock reads `time`, at most a day ahead.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        let anchor = Time::default() + self.started_after_epoch;
        // Nothing is scheduled further ahead, and the limit prevents an overflow of the instant.
        const AHEAD_MAX: Duration = Duration::from_secs(24 * 60 * 60);
        let ahead = time.since(anchor).min(self.started.elapsed() + AHEAD_MAX);
        self.started + ahead
    }
}
