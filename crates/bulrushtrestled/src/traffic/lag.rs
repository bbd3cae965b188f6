//! Scheduling lag of the traffic threads: how long a task that is ready waits for the processor.
//!
//! A timer task wakes every [`TICK`]. It is scheduled like all other tasks, so its delay equals the
//! time for which they wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// The interval of the timer task.
pub(super) const TICK: Duration = Duration::from_millis(20);

/// The scheduling lag of the traffic threads.
#[derive(Debug)]
pub(super) struct Lag {
    started: Instant,
    /// When the timer task last ran, in microseconds since `started`.
    ran_at: AtomicU64,
    /// By how much the last run of the timer task was late, in microseconds.
    late: AtomicU64,
}

impl Lag {
    /// Returns a lag of zero, measured from now.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            ran_at: AtomicU64::new(0),
            late: AtomicU64::new(0),
        }
    }

    /// Records a run of the timer task and returns by how much the run is late.
    pub(super) fn tick(&self) -> Duration {
        self.record(self.started.elapsed());
        Duration::from_micros(self.late.load(Ordering::Relaxed))
    }

    /// Returns the current lag.
    pub(super) fn now(&self) -> Duration {
        self.at(self.started.elapsed())
    }

    /// Records a run of the timer task, `now` after the start.
    pub(super) fn record(&self, now: Duration) {
        self.late
            .store(micros(self.overdue(now)), Ordering::Relaxed);
        self.ran_at.store(micros(now), Ordering::Relaxed);
    }

    /// Returns the lag `now` after the start: the larger of the delay of the last run and the time
    /// by which the next run is overdue.
    pub(super) fn at(&self, now: Duration) -> Duration {
        let late = Duration::from_micros(self.late.load(Ordering::Relaxed));
        late.max(self.overdue(now))
    }

    fn overdue(&self, now: Duration) -> Duration {
        let ran_at = Duration::from_micros(self.ran_at.load(Ordering::Relaxed));
        now.saturating_sub(ran_at + TICK)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
