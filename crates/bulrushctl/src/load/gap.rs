//! The fairness gap: by how much the service of two backlogged organisations drifts apart.

use std::collections::HashMap;

/// The drift of pairs of organisations over time.
///
/// For each pair it follows the difference of their weighted service over every stretch of samples in
/// which both are backlogged. The gap of a stretch is the distance between the highest and the lowest
/// difference in it: no interval within the stretch shows more.
#[derive(Debug, Default)]
pub(super) struct Gap {
    pairs: HashMap<(usize, usize), Stretch>,
    max: f64,
}

/// The extremes of a difference.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    low: f64,
    high: f64,
}

/// One organisation at the time of a sample.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    /// Service received so far, divided by the weight.
    pub(super) service: f64,
    /// Whether it is backlogged.
    pub(super) backlogged: bool,
}

impl Gap {
    /// Takes a sample of all organisations and returns the widest gap of the stretches that go on.
    pub(super) fn sample(&mut self, points: &[Point]) -> f64 {
        let mut widest = 0.0_f64;
        for (i, a) in points.iter().enumerate() {
            for (j, b) in points.iter().enumerate().skip(i + 1) {
                if !(a.backlogged && b.backlogged) {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let difference = a.service - b.service;
                let stretch = self.pairs.entry((i, j)).or_insert(Stretch {
                    low: difference,
                    high: difference,
                });
                stretch.low = stretch.low.min(difference);
                stretch.high = stretch.high.max(difference);
                widest = widest.max(stretch.high - stretch.low);
            }
        }
        self.max = self.max.max(widest);
        widest
    }

    /// Returns the widest gap of all samples.
    pub(super) const fn max(&self) -> f64 {
        self.max
    }
}
