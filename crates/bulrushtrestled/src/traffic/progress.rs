//! Batches the progress of answers, so that the control thread receives a few messages per second
//! instead of one per token.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bulrushtrestle_core::key::AttemptId;
use tokio::time::{MissedTickBehavior, interval};

use crate::traffic::Traffic;

/// The interval of messages to the control thread.
const FLUSH_EVERY: Duration = Duration::from_millis(150);

/// The number of maps, so that threads rarely wait for the same lock.
const SHARDS: usize = 8;

/// The positions in the answers of those attempts that progressed since the last message.
#[derive(Debug, Default)]
pub(super) struct Progress {
    shards: [Mutex<HashMap<AttemptId, u64>>; SHARDS],
}

impl Progress {
    /// Records the position in the answer of an attempt, in tokens. Tokens from before a resume are
    /// included.
    pub(super) fn record(&self, attempt: AttemptId, tokens: u64) {
        self.shard(attempt).insert(attempt, tokens);
    }

    /// Removes an attempt that has ended. The event that reports its end carries the final
    /// position.
    pub(super) fn remove(&self, attempt: AttemptId) {
        self.shard(attempt).remove(&attempt);
    }

    fn shard(&self, attempt: AttemptId) -> MutexGuard<'_, HashMap<AttemptId, u64>> {
        let index = usize::try_from(attempt.0 % SHARDS as u64).unwrap_or(0);
        lock(&self.shards[index])
    }

    /// Removes and returns all positions, in the order of the attempts.
    fn take(&self) -> Vec<(AttemptId, u64)> {
        let mut all: Vec<_> = self
            .shards
            .iter()
            .flat_map(|shard| std::mem::take(&mut *lock(shard)))
            .collect();
        // Decisions must not depend on the order of a hash map.
        all.sort_unstable();
        all
    }
}

/// Sends the progress to the control thread at each interval; never returns.
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
