//! Log lines of requests that are refused at the door.
//!
//! A router that is behind refuses hundreds of requests a second, and has no time to tell of each. The first of a second
//! have a line of their own; one line says how many others there were.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bulrushtrestle_core::verdict::Refusal;
use tokio::time::sleep;

use crate::metrics::{Busy, Stage};

/// Refusals in a second that have a line of their own: enough to find some of them at their callers.
pub(super) const LINES_PER_SECOND: u32 = 8;
const SECOND: Duration = Duration::from_secs(1);

/// The refusals of the present second.
#[derive(Debug, Default)]
pub(super) struct Door {
    second: Mutex<Second>,
}

#[derive(Debug, Default)]
struct Second {
    is_open: bool,
    lines: u32,
    /// Refusals without a line of their own.
    others: u64,
}

impl Door {
    /// Counts a refusal and says whether it is to have a line of its own.
    pub(super) fn admits(self: &Arc<Self>) -> bool {
        let mut second = self.lock();
        if !second.is_open {
            second.is_open = true;
            tokio::spawn(Arc::clone(self).close());
        }
        let admits = second.lines < LINES_PER_SECOND;
        match admits {
            true => second.lines += 1,
            false => second.others += 1,
        }
        admits
    }

    /// Tells of the others at the end of the second.
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

/// Writes the line of a refusal.
pub(super) fn log_refusal(busy: &Busy, attempt: &str, refusal: &Refusal) {
    let _within = busy.enter(Stage::Log);
    let (reason, verdict) = (refusal.reason, refusal.verdict);
    let wait = refusal.retry_after.map_or(0, |wait| wait.as_millis());
    log::info!(target: "refused", "attempt={attempt} reason={reason} verdict={verdict} retry_after_ms={wait}");
}
