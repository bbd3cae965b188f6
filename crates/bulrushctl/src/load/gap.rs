//! The fairness gap: how far the weighted service of two backlogged organisations diverges.

use std::collections::HashMap;

/// The fairness gaps of all pairs of organisations over time.
///
/// For each pair, tracks the difference of the two weighted services over each run of consecutive
/// samples in which both organisations are backlogged. The gap of a run is the highest difference
/// minus the lowest. It bounds the change of the difference over any interval within the run.
#[derive(Debug, Default)]
pub(super) struct Gap {
    pairs: HashMap<(usize, usize), Extremes>,
    max: f64,
}

/// The lowest and the highest difference within a run of samples.
#[derive(Debug, Clone, Copy)]
struct Extremes {
    low: f64,
    high: f64,
}

/// One organisation at the time of a sample.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    /// The service received so far, divided by the weight, in tokens.
    pub(super) service: f64,
    /// Whether the organisation is backlogged.
    pub(super) backlogged: bool,
}

impl Gap {
    /// Records a sample of all organisations and returns the widest gap of the runs that include this
    /// sample.
    pub(super) fn sample(&mut self, points: &[Point]) -> f64 {
        let mut widest = 0.0_f64;
        for (i, a) in points.iter().enumerate() {
            for (j, b) in points.iter().enumerate().skip(i + 1) {
                if !(a.backlogged && b.backlogged) {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let difference = a.service - b.service;
                let extremes = self.pairs.entry((i, j)).or_insert(Extremes {
                    low: difference,
                    high: difference,
                });
                extremes.low = extremes.low.min(difference);
                extremes.high = extremes.high.max(difference);
                widest = widest.max(extremes.high - extremes.low);
            }
        }
        self.max = self.max.max(widest);
        widest
    }

    /// Returns the widest gap over all samples.
    pub(super) const fn max(&self) -> f64 {
        self.max
    }
}
