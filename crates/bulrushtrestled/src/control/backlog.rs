//! How far the control thread is behind with requests that arrive.
//!
//! # Invariant
//!
//! A request that the control thread takes has waited for it for less than [`LATE_MAX`]. One that waited longer is
//! refused when its turn comes, and while there are such, no more are let in. Otherwise a router with more requests than
//! it bears serves each of them late: its callers leave meanwhile or come again, and what it did for them is lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// How late a thread may be before requests are refused: a third of the half second in which targets have to hear that a
/// caller has left.
pub(crate) const LATE_MAX: Duration = Duration::from_millis(150);

/// The wait that is proposed to a caller that is refused because the router does not keep up.
pub(crate) const RETRY_SOON: Duration = Duration::from_secs(1);

/// Whether the control thread is behind, as both sides of the channel see it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    is_behind: AtomicBool,
    /// How long the last request waited that has others behind it, in microseconds.
    waited: AtomicU64,
}

impl Backlog {
    /// Says whether requests are to be refused at the door.
    pub(crate) fn is_behind(&self) -> bool {
        self.0.is_behind.load(Ordering::Relaxed)
    }

    /// Returns how long requests wait for the control thread.
    pub(crate) fn waited(&self) -> Duration {
        Duration::from_micros(self.0.waited.load(Ordering::Relaxed))
    }

    /// Says whether a request is taken that `waited` for the control thread, while `left` others wait behind it.
    pub(super) fn takes(&self, waited: Duration, left: usize) -> bool {
        let is_late = waited >= LATE_MAX;
        let lasting = if left > 0 { waited } else { Duration::ZERO };
        let micros = u64::try_from(lasting.as_micros()).unwrap_or(u64::MAX);
        self.0.waited.store(micros, Ordering::Relaxed);
        self.0
            .is_behind
            .store(is_late && left > 0, Ordering::Relaxed);
        !is_late
    }
}
