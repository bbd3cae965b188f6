//! When requests arrive: drawn before the experiment begins, from its seed alone.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::experiment::{Experiment, Stream};

/// A request that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Arrival {
    /// When, after the start.
    pub(super) at: Duration,
    /// Whose, as an index into the organisations.
    pub(super) organisation: usize,
    /// Which, as an index into the organisation's streams.
    pub(super) stream: usize,
}

/// Returns all arrivals in order, no more than the experiment allows.
pub(super) fn arrivals(experiment: &Experiment) -> Vec<Arrival> {
    let max = usize::try_from(experiment.requests_max).unwrap_or(usize::MAX);
    let mut all = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    for (organisation, entry) in experiment.organisations.iter().enumerate() {
        for (stream, entry) in entry.streams.iter().enumerate() {
            let times = times(entry, experiment.seconds, &mut rng).take(max);
            all.extend(times.map(|at| Arrival {
                at,
                organisation,
                stream,
            }));
        }
    }
    all.sort_unstable();
    all.truncate(max);
    all
}

/// Returns the times of one stream, with exponentially distributed gaps.
fn times(stream: &Stream, whole: f64, rng: &mut ChaCha8Rng) -> impl Iterator<Item = Duration> {
    let end = stream.end_seconds(whole);
    let rate = stream.per_second;
    let mut rng = ChaCha8Rng::from_rng(rng);
    let mut at = stream.start_seconds;
    std::iter::from_fn(move || {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / rate;
        (at < end).then(|| Duration::from_secs_f64(at))
    })
}
