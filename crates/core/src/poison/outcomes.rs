//! How many of a router's recent requests broke before their answers began.

use std::collections::VecDeque;

use crate::prelude::*;

/// The time that one bucket covers.
const BUCKET: Duration = Duration::from_millis(500);
/// The number of buckets. Three seconds are long enough for a few requests on a quiet router and
/// short enough to follow the start of a wave of failures.
const BUCKETS: usize = 6;
/// Answers that are assumed in addition to those seen, so that a router that has seen few requests
/// does not demand less than one that has seen many.
const PRIOR_SOUND: f64 = 9.5;
const PRIOR_BROKEN: f64 = 0.5;

/// The outcomes of a pool's requests in the last seconds, as this router saw them.
#[derive(Debug, Default)]
pub struct Outcomes {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    began: Time,
    broken: u32,
    sound: u32,
}

impl Outcomes {
    /// Counts a request whose target broke before it answered.
    pub fn record_broken(&mut self, now: Time) {
        if let Some(bucket) = self.bucket(now) {
            bucket.broken += 1;
        }
    }

    /// Counts a request whose answer began and went on.
    pub fn record_sound(&mut self, now: Time) {
        if let Some(bucket) = self.bucket(now) {
            bucket.sound += 1;
        }
    }

    /// Returns how many crashes in a row chance explains with a probability of at most
    /// `chance_max`, if it breaks requests as often as in the last seconds.
    pub fn run_explained(&self, now: Time, chance_max: f64) -> usize {
        let oldest = now - BUCKET * u32::try_from(BUCKETS).unwrap_or(u32::MAX);
        let recent = self.buckets.iter().filter(|bucket| bucket.began >= oldest);
        let (mut broken, mut all) = (PRIOR_BROKEN, PRIOR_BROKEN + PRIOR_SOUND);
        for bucket in recent {
            broken += f64::from(bucket.broken);
            all += f64::from(bucket.broken) + f64::from(bucket.sound);
        }
        let run = chance_max.ln() / (broken / all).ln();
        // The conversion saturates: if all requests break, no run is too long for chance.
        run.ceil() as usize
    }

    fn bucket(&mut self, now: Time) -> Option<&mut Bucket> {
        if self
            .buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.began) >= BUCKET)
        {
            if self.buckets.len() >= BUCKETS {
                self.buckets.pop_front();
            }
            self.buckets.push_back(Bucket {
                began: now,
                broken: 0,
                sound: 0,
            });
        }
        self.buckets.back_mut()
    }
}
