//! Log lines of early refusals, which are decided before a request is handed to the control thread.
//!
//! An overloaded router refuses hundreds of requests per second and cannot afford a log line for
//! each. The first refusals of each second have a line of their own. One more line gives the number
//! of the other refusals.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bulrushtrestle_core::verdict::Refusal;
use tokio::time::sleep;

use crate::metrics::{Busy, Stage};

/// The refusals per second that have a line of their own, enough to trace some of them to their
/// callers.
pub(super) const LINES_PER_SECOND: u32 = 8;
const SECOND: Duration = Duration::from_secs(1);

/// Limits the log lines of early refusals.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    second: Mutex<Second>,
}

/// The refusals within one second.
#[derive(Debug, Default)]
struct Second {
    /// Whether the second has begun. It begins with its first refusal.
    is_open: bool,
    /// Refusals with a line of their own.
    lines: u32,
    /// Refusals without a line of their own.
    others: u64,
}

impl RefusalLog {
    /// Counts a refusal and returns whether to write a line for it.
    pub(super) fn allows_line(self: &Arc<Self>) -> bool {
        let mut second = self.lock();
        if !second.is_open {
            second.is_open = true;
            tokio::spawn(Arc::clone(self).close());
        }
        let is_allowed = second.lines < LINES_PER_SECOND;
        match is_allowed {
            true => second.lines += 1,
            false => second.others += 1,
        }
        is_allowed
    }

    /// Logs the number of the other refusals at the end of the second.
    async fn close(self: Arc<Self>) {
        sleep(SECOND).await;
        let second = std::mem::take(&mut *self.lock());
        if second.others > 0 {
            log::info!(target: "refused", "at=door others={}", second.others);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Second> {
        self.second.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a refusal.
pub(super) fn log_refusal(busy: &Busy, attempt: &str, refusal: &Refusal) {
    let _within = busy.enter(Stage::Log);
    let (reason, verdict) = (refusal.reason, refusal.verdict);
    let wait = refusal.retry_after.map_or(0, |wait| wait.as_millis());
    log::info!(target: "refused", "attempt={attempt} reason={reason} verdict={verdict} retry_after_ms={wait}");
}
