//! The clock that provides the node's time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bulrushtrestle_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

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

/// Detects that the VM was suspended. The steady clock stops meanwhile, the boot-time clock does not.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspensions {
    /// By how much the boot-time clock was ahead of the steady clock when it was last asked.
    ahead: Duration,
}

/// The smallest suspension that is detected. Shorter ones are within the margin of a lease's term.
const SUSPENSION_MIN: Duration = Duration::from_millis(20);

impl Suspensions {
    /// Returns a detector of suspensions from now on.
    pub(crate) fn start() -> Self {
        Self {
            ahead: boot_time_ahead(),
        }
    }

    /// Returns whether the VM was suspended since this was last asked.
    pub(crate) fn advance(&mut self) -> bool {
        let ahead = boot_time_ahead();
        let was_suspended = ahead >= self.ahead + SUSPENSION_MIN;
        if was_suspended {
            self.ahead = ahead;
        }
        was_suspended
    }

    /// Returns whether the VM was suspended since [`advance`](Self::advance) was last asked.
    pub(crate) fn has_advanced(&self) -> bool {
        boot_time_ahead() >= self.ahead + SUSPENSION_MIN
    }
}

/// Returns by how much the boot-time clock is ahead of the steady clock, at least. The steady clock is
/// read last, so that a wait between the two readings does not look like a suspension.
fn boot_time_ahead() -> Duration {
    let read = |clock| {
        let time = clock_gettime(clock);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Duration::from_secs(seconds) + Duration::from_nanos(nanos)
    };
    let boot = read(ClockId::Boottime);
    boot.saturating_sub(read(ClockId::Monotonic))
}
