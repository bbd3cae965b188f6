//! How late the traffic threads are: how long whatever is ready waits for the processor.
//!
//! A task wakes every [`TICK`]. It runs in turn with all other tasks, so by how much it is late is how long they
//! wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// The time between two looks at the clock.
pub(super) const TICK: Duration = Duration::from_millis(20);

/// The lateness of the traffic threads.
#[derive(Debug)]
pub(super) struct Lag {
    started: Instant,
    /// When the task ran last, in microseconds since the start.
    ran_at: AtomicU64,
    /// How late it was then, in microseconds.
    late: AtomicU64,
}

impl Lag {
    /// Starts without lateness.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            ran_at: AtomicU64::new(0),
            late: AtomicU64::new(0),
        }
    }

    /// Notes that the task runs, and returns how late it is.
    pub(super) fn tick(&self) -> Duration {
        self.note(self.started.elapsed());
        Duration::from_micros(self.late.load(Ordering::Relaxed))
    }

    /// Returns the lateness now.
    pub(super) fn now(&self) -> Duration {
        self.at(self.started.elapsed())
    }

    /// Notes that the task runs, `now` after the start.
    pub(super) fn note(&self, now: Duration) {
        self.late
            .store(micros(self.overdue(now)), Ordering::Relaxed);
        self.ran_at.store(micros(now), Ordering::Relaxed);
    }

    /// Returns the lateness `now` after the start: of the last run, or of the next one if that is later already.
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
