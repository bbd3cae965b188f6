//! The arrival times of requests. They are drawn before the experiment begins and depend only on the
//! experiment, including its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::experiment::{Experiment, Stream};

/// The arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Arrival {
    /// The intended start of the request, after the start of the experiment.
    pub(super) at: Duration,
    /// The organisation of the request, as an index into the organisations of the experiment.
    pub(super) organisation: usize,
    /// The stream of the request, as an index into the streams of the organisation.
    pub(super) stream: usize,
}

/// Returns all arrivals in the order of their times, up to the experiment's `requests_max`.
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

/// Returns the arrival times of one stream, with exponentially distributed intervals.
fn times(
    stream: &Stream,
    experiment_seconds: f64,
    rng: &mut ChaCha8Rng,
) -> impl Iterator<Item = Duration> {
    let end = stream.end_seconds(experiment_seconds);
    let rate = stream.per_second;
    let mut rng = ChaCha8Rng::from_rng(rng);
    let mut at = stream.start_seconds;
    std::iter::from_fn(move || {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / rate;
        (at < end).then(|| Duration::from_secs_f64(at))
    })
}
