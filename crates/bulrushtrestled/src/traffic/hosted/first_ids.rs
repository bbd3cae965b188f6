//! The id with which the streams of each route begin.
//!
//! The second id of a stream confirms the first one. If an answer breaks off before it, the first id may
//! be spoilt, and the answer can be resumed after it only if other streams of the route begin with the
//! same id.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The most routes that are remembered. Beyond it, all are forgotten and learnt again.
const ROUTES_MAX: usize = 4_096;

/// The id with which the last complete stream of each route began.
#[derive(Debug, Default)]
pub(super) struct FirstIds(Mutex<HashMap<String, u64>>);

impl FirstIds {
    /// Records the first id of a complete stream with several ids.
    pub(super) fn record(&self, route: &str, id: u64) {
        let mut ids = self.lock();
        if ids.get(route) == Some(&id) {
            return;
        }
        if ids.len() >= ROUTES_MAX {
            ids.clear();
        }
        ids.insert(route.to_owned(), id);
    }

    /// Returns whether the streams of a route begin with this id, as far as is known.
    pub(super) fn is_usual(&self, route: &str, id: u64) -> bool {
        self.lock().get(route) == Some(&id)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
