//! How late the traffic threads are, so that a router that cannot keep up takes no more than it can serve.
//!
//! # Invariant
//!
//! A request is taken only while what arrives is dealt with within [`LATE_MAX`]. Beyond that, callers that leave,
//! targets that must get nothing more and deadlines would all be noticed too late; a request that is refused at once
//! can still be served elsewhere.
//!
//! A task wakes every [`TICK`]. It runs in turn with all other tasks, so by how much it is late is how long whatever
//! is ready waits for the processor.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::control::LATE_MAX;

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(20);

/// The lateness of the traffic threads.
#[derive(Debug)]
pub(crate) struct Lag {
    started: Instant,
    /// When the task ran last, in microseconds since the start.
    ran_at: AtomicU64,
    /// How late it was then, in microseconds.
    late: AtomicU64,
}

impl Lag {
    /// Starts without lateness.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            ran_at: AtomicU64::new(0),
            late: AtomicU64::new(0),
        }
    }

    /// Measures for as long as the process serves, and closes its door while these threads, or those that `is_behind`
    /// speaks for, do not keep up. Whenever that changes, a line says what `spent` tells of the time since the last change.
    pub(crate) async fn measure(
        &self,
        is_behind: impl Fn() -> bool,
        close: watch::Sender<bool>,
        mut spent: impl FnMut() -> String,
    ) {
        loop {
            self.note(self.started.elapsed());
            let (is_late, is_behind) = (self.is_too_large(), is_behind());
            let closes = is_late || is_behind;
            let changed = close.send_if_modified(|closed| {
                let changed = *closed != closes;
                *closed = closes;
                changed
            });
            if changed {
                let late = self.late.load(Ordering::Relaxed) / 1_000;
                log::warn!(target: "lag", "thread=traffic late_ms={late} max_ms={} control_behind={is_behind} closed={closes} {}", LATE_MAX.as_millis(), spent());
            }
            sleep(TICK).await;
        }
    }

    /// Says whether requests are to be refused now.
    pub(crate) fn is_too_large(&self) -> bool {
        self.at(self.started.elapsed()) >= LATE_MAX
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
