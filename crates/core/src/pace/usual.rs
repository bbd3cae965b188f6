//! The usual time to the start of an answer, for each pool.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The number of answers from which the usual time is known.
const SAMPLES_MIN: u32 = 8;
/// The reciprocal of the weight of one answer in the average.
const WEIGHT_DIVISOR: u64 = 32;
/// What an answer takes beside reading its prompt, in prompt tokens.
const ANSWER_TOKENS: u64 = 500;

/// The slow average of each pool's time to the start of an answer, relative to the prompt tokens to
/// read.
#[derive(Debug, Default)]
pub struct Usual(BTreeMap<PoolId, Average>);

#[derive(Debug, Default)]
struct Average {
    nanos_per_token: u64,
    samples: u32,
}

impl Usual {
    /// Records that an answer started after `took`, for a prompt with `tokens` tokens to read.
    pub fn on_answer(&mut self, pool: PoolId, tokens: u32, took: Duration) {
        let average = self.0.entry(pool).or_default();
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        let sample = nanos / (ANSWER_TOKENS + u64::from(tokens));
        average.samples = average.samples.saturating_add(1);
        let divisor = u64::from(average.samples).min(WEIGHT_DIVISOR);
        let kept = average.nanos_per_token - average.nanos_per_token / divisor;
        average.nanos_per_token = kept + sample / divisor;
    }

    /// Returns the usual time to the start of an answer to such a prompt; `None` if too few answers
    /// have been seen.
    pub fn time(&self, pool: PoolId, tokens: u32) -> Option<Duration> {
        let average = self.0.get(&pool)?;
        let time = average
            .nanos_per_token
            .saturating_mul(ANSWER_TOKENS + u64::from(tokens));
        (average.samples >= SAMPLES_MIN).then(|| Duration::from_nanos(time))
    }

    /// Drops the averages of unknown pools.
    pub fn retain_known(&mut self, is_known: impl Fn(PoolId) -> bool) {
        self.0.retain(|&pool, _| is_known(pool));
    }
}
