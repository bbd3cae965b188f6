//! The requests that recently arrived for each pool.

use std::collections::{BTreeMap, VecDeque};

use crate::limit::Rate;
use crate::prelude::*;

/// How many of the last requests of a pool are kept to compare the sizes of prompts.
const SIZES_MAX: usize = 64;

/// The requests that arrived for each pool within the last second, about.
#[derive(Debug, Default)]
pub struct Demand(BTreeMap<PoolId, Arrivals>);

/// The arrivals of two successive windows.
#[derive(Debug, Default)]
struct Arrivals {
    /// When the present window began.
    since: Time,
    present: u64,
    previous: u64,
    /// The prompt tokens of the last requests, the oldest first.
    sizes: VecDeque<u32>,
    /// The prompt tokens from which a request counts as large, if any does.
    large_from: Option<u32>,
}

impl Demand {
    /// The time over which arrivals are counted.
    pub const WINDOW: Duration = Duration::from_secs(1);

    /// Records that a request arrived.
    pub fn on_arrival(&mut self, now: Time, pool: PoolId, prompt_tokens: u32) {
        let arrivals = self.0.entry(pool).or_default();
        arrivals.advance(now);
        arrivals.present += 1;
        if arrivals.sizes.len() == SIZES_MAX {
            arrivals.sizes.pop_front();
        }
        arrivals.sizes.push_back(prompt_tokens);
    }

    /// Returns how many requests arrived for a pool within [`WINDOW`](Self::WINDOW). The arrivals of
    /// the window before count as if they were spread evenly over it.
    pub fn requests(&self, now: Time, pool: PoolId) -> u64 {
        let Some(arrivals) = self.0.get(&pool) else {
            return 0;
        };
        let (since, present, previous) = arrivals.windows(now);
        let window = Self::WINDOW.as_micros();
        let left = window.saturating_sub(now.since(since).as_micros());
        let before = u128::from(previous) * left / window;
        present + u64::try_from(before).unwrap_or(u64::MAX)
    }

    /// Determines which requests of a pool count as large: those with the largest prompts, as many as
    /// arrive at `rate`.
    pub fn divide_by_size(&mut self, now: Time, pool: PoolId, rate: Rate) {
        let arriving = Rate::from_millis(self.requests(now, pool).saturating_mul(1_000));
        let Some(arrivals) = self.0.get_mut(&pool) else {
            return;
        };
        let mut sizes: Vec<u32> = arrivals.sizes.iter().copied().collect();
        sizes.sort_unstable();
        let large = sizes.len() as u64 * rate.as_millis() / arriving.as_millis().max(1);
        let small = sizes
            .len()
            .saturating_sub(usize::try_from(large).unwrap_or(usize::MAX));
        arrivals.large_from = sizes.get(small).copied();
    }

    /// Lets no request count as large until pools are divided again.
    pub fn forget_sizes(&mut self) {
        for arrivals in self.0.values_mut() {
            arrivals.large_from = None;
        }
    }

    /// Returns whether a prompt counts as large in its pool.
    pub fn is_large(&self, pool: PoolId, prompt_tokens: u32) -> bool {
        let from = self.0.get(&pool).and_then(|arrivals| arrivals.large_from);
        from.is_some_and(|from| prompt_tokens >= from)
    }

    /// Drops the counts of pools that are unknown.
    pub fn retain_known(&mut self, is_known: impl Fn(PoolId) -> bool) {
        self.0.retain(|&pool, _| is_known(pool));
    }
}

impl Arrivals {
    fn advance(&mut self, now: Time) {
        (self.since, self.present, self.previous) = self.windows(now);
    }

    /// Returns when the present window began, and the requests in it and in the one before.
    fn windows(&self, now: Time) -> (Time, u64, u64) {
        let age = now.since(self.since);
        if age < Demand::WINDOW {
            return (self.since, self.present, self.previous);
        }
        match age < 2 * Demand::WINDOW {
            true => (self.since + Demand::WINDOW, 0, self.present),
            false => (now, 0, 0),
        }
    }
}
