//! Tokens received, gathered so that the control thread is told a few times a second and not for
//! every token.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bulrushtrestle_core::key::AttemptId;
use tokio::time::{MissedTickBehavior, interval};

use crate::traffic::Traffic;

/// The time between two messages to the control thread.
const FLUSH_EVERY: Duration = Duration::from_millis(150);

/// Maps that threads fill at the same time.
const SHARDS: usize = 8;

/// Positions in the answers of attempts that moved since the last message.
#[derive(Debug, Default)]
pub(super) struct Progress {
    shards: [Mutex<HashMap<AttemptId, u64>>; SHARDS],
}

impl Progress {
    /// Notes how far the answer of an attempt has come, tokens from before a resume included.
    pub(super) fn note(&self, attempt: AttemptId, tokens: u64) {
        self.shard(attempt).insert(attempt, tokens);
    }

    /// Forgets an attempt that has ended; its end carries the final figure.
    pub(super) fn forget(&self, attempt: AttemptId) {
        self.shard(attempt).remove(&attempt);
    }

    fn shard(&self, attempt: AttemptId) -> MutexGuard<'_, HashMap<AttemptId, u64>> {
        let index = usize::try_from(attempt.0 % SHARDS as u64).unwrap_or(0);
        lock(&self.shards[index])
    }

    fn take(&self) -> Vec<(AttemptId, u64)> {
        let mut all: Vec<_> = self
            .shards
            .iter()
            .flat_map(|shard| std::mem::take(&mut *lock(shard)))
            .collect();
        // The order of a hash map must not reach the decisions.
        all.sort_unstable();
        all
    }
}

/// Tells the control thread for as long as the process lives.
pub(super) async fn flush(traffic: Arc<Traffic>) {
    let mut ticks = interval(FLUSH_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let tokens = traffic.progress.take();
        if !tokens.is_empty() {
            traffic.control.progress(tokens);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
