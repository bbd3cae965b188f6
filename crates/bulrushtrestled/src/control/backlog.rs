//! How far the control thread is behind with requests that were handed over to it.
//!
//! # Invariant
//!
//! A request that the control thread takes has waited for it for less than [`LATE_MAX`]. One that waited longer is
//! refused when its turn comes, and while one does, no more are let in. Otherwise a router with more requests than
//! it bears serves each of them late: its callers leave meanwhile or come again, and what it did for them is lost.
//!
//! The wait counts from the hand-over, so that a caller that sends slowly does not count as a backlog, and that of the oldest
//! request counts while it lasts, so that a thread that takes none shows.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bulrushtrestle_core::key::RequestId;

/// How late a thread may be before requests are refused: a third of the half second in which targets have to hear that a
/// caller has left.
pub(crate) const LATE_MAX: Duration = Duration::from_millis(150);

/// The wait that is proposed to a caller that is refused because the router does not keep up.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// By how much proposed waits are spread around [`DEFAULT_RETRY_AFTER`], in thousandths of it, so that those who are refused together do
/// not come back together.
const RETRY_SPREAD: u64 = 1_000;

/// Returns the wait that is proposed to the caller of a request. Requests that follow one another are spread evenly.
pub(crate) fn spread_retry_after(request: RequestId) -> Duration {
    // The golden ratio as a fraction of 2^64: any run of multiples of it is spread evenly.
    let spread = request.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    let thousandths = (spread * RETRY_SPREAD) >> 32;
    let least = 1_000 - RETRY_SPREAD / 2;
    DEFAULT_RETRY_AFTER * u32::try_from(least + thousandths).unwrap_or(1_000) / 1_000
}

/// The requests that wait for the control thread, as both sides of the channel see them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog(Arc<Mutex<Waiting>>);

#[derive(Debug, Default)]
struct Waiting {
    /// When those that wait were handed over, the oldest first.
    since: VecDeque<Instant>,
    /// The shortest wait of those that were taken since the last look.
    shortest: Option<Duration>,
}

impl Backlog {
    /// Says whether requests are to be refused at the door.
    pub(crate) fn is_behind(&self, now: Instant) -> bool {
        self.lock().oldest(now) >= LATE_MAX
    }

    /// Returns how long requests wait for the control thread at least: the shortest wait since the last look, or that of
    /// the oldest that still waits. A thread that catches up with all that wait shows no delay, whatever single requests waited.
    pub(crate) fn take_delay(&self, now: Instant) -> Duration {
        let mut waiting = self.lock();
        let shortest = waiting.shortest.take().unwrap_or_default();
        shortest.max(waiting.oldest(now))
    }

    /// Notes a request that is handed over.
    pub(super) fn enter(&self, now: Instant) {
        self.lock().since.push_back(now);
    }

    /// Takes back the request that was noted last and did not get through.
    pub(super) fn undo_enter(&self) {
        self.lock().since.pop_back();
    }

    /// Notes that the oldest request gets its turn, and returns how long it waited.
    pub(super) fn leave(&self, now: Instant) -> Duration {
        let mut waiting = self.lock();
        let waited = waiting.oldest(now);
        waiting.since.pop_front();
        waiting.shortest = Some(waiting.shortest.map_or(waited, |least| least.min(waited)));
        waited
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn oldest(&self, now: Instant) -> Duration {
        let since = self.since.front();
        since.map_or(Duration::ZERO, |&since| {
            now.saturating_duration_since(since)
        })
    }
}
