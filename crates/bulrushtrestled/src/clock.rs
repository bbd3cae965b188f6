//! The clock that the node's time comes from.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bulrushtrestle_core::time::Time;

/// A monotonic clock, anchored at the Unix epoch when the process starts.
///
/// Steps of the system's clock after the start do not show, so that leases and timeouts never see
/// time run backwards or jump.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    epoch: Duration,
}

impl Clock {
    /// Anchors a clock now.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Time {
        Time::default() + (self.epoch + self.started.elapsed())
    }

    /// Returns the instant at which this clock shows `time`.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        let anchor = Time::default() + self.epoch;
        // Nothing is scheduled further ahead, and instants must not overflow.
        const AHEAD_MAX: Duration = Duration::from_secs(24 * 60 * 60);
        let ahead = time.since(anchor).min(self.started.elapsed() + AHEAD_MAX);
        self.started + ahead
    }
}
