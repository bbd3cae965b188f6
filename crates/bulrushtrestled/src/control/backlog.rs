//! The backlog of requests that were handed over to the control thread.
//!
//! # Invariant
//!
//! A request that the control thread admits has waited for it for less than [`LATE_MAX`]. A request
//! that waited longer is refused when it is received, and while one waits that long, no more requests
//! are accepted. Otherwise a router with more requests than it sustains would serve all of them late:
//! callers would leave or retry meanwhile, and the work done for them would be wasted.
//!
//! The wait is measured from the hand-over, so that a caller that sends slowly does not add to the
//! backlog. The oldest request counts while it still waits, so that a thread that receives no
//! requests at all is detected.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bulrushtrestle_core::key::RequestId;

/// The lag of a thread from which on requests are refused. It is a third of the half second within
/// which targets must be notified that a caller has left.
pub(crate) const LATE_MAX: Duration = Duration::from_millis(150);

/// The retry delay proposed to a caller that is refused because the router is overloaded.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The range over which retry delays are spread around [`DEFAULT_RETRY_AFTER`], in thousandths of it,
/// so that callers that are refused together do not retry together.
const RETRY_SPREAD: u64 = 1_000;

/// Returns the retry delay proposed to the caller of a request. Consecutive requests get evenly spread
/// delays.
pub(crate) fn spread_retry_after(request: RequestId) -> Duration {
    // The golden ratio as a fraction of 2^64: any run of multiples of it is spread evenly.
    let spread = request.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    let thousandths = (spread * RETRY_SPREAD) >> 32;
    let lowest = 1_000 - RETRY_SPREAD / 2;
    DEFAULT_RETRY_AFTER * u32::try_from(lowest + thousandths).unwrap_or(1_000) / 1_000
}

/// The requests that wait for the control thread, shared by both ends of the channel.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog(Arc<Mutex<Waiting>>);

#[derive(Debug, Default)]
struct Waiting {
    /// When the waiting requests were handed over, the oldest first.
    handed_over: VecDeque<Instant>,
    /// The shortest wait of the requests received since the last [`Backlog::take_delay`].
    shortest: Option<Duration>,
}

impl Backlog {
    /// Returns whether new requests are to be refused early.
    pub(crate) fn is_behind(&self, now: Instant) -> bool {
        self.lock().oldest_wait(now) >= LATE_MAX
    }

    /// Returns the larger of the shortest wait since the previous call and the wait so far of the oldest
    /// waiting request. A thread that works off its backlog between two calls shows no delay, however
    /// long single requests waited.
    pub(crate) fn take_delay(&self, now: Instant) -> Duration {
        let mut waiting = self.lock();
        let shortest = waiting.shortest.take().unwrap_or_default();
        shortest.max(waiting.oldest_wait(now))
    }

    /// Records a request that is handed over.
    pub(super) fn enter(&self, now: Instant) {
        self.lock().handed_over.push_back(now);
    }

    /// Removes the request recorded last, which could not be handed over.
    pub(super) fn undo_enter(&self) {
        self.lock().handed_over.pop_back();
    }

    /// Records that the control thread received the oldest request, and returns how long it waited.
    pub(super) fn leave(&self, now: Instant) -> Duration {
        let mut waiting = self.lock();
        let waited = waiting.oldest_wait(now);
        waiting.handed_over.pop_front();
        waiting.shortest = Some(
            waiting
                .shortest
                .map_or(waited, |shortest| shortest.min(waited)),
        );
        waited
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    /// Returns how long the oldest request has waited.
    fn oldest_wait(&self, now: Instant) -> Duration {
        let oldest = self.handed_over.front();
        oldest.map_or(Duration::ZERO, |&handed_over| {
            now.saturating_duration_since(handed_over)
        })
    }
}
