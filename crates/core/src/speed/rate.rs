//! The rate at which the targets of a pool usually read prompts.

use crate::prelude::*;

/// The answers after which the median of their rates is used.
const ANSWERS_MIN: u32 = 8;
/// The answers for which the estimate moves in large steps, which suffice to reach any rate in range.
const LARGE_STEP_ANSWERS: u32 = 32;
/// The steps by which the estimate moves, as divisors of itself.
const LARGE_STEP: u32 = 16;
const SMALL_STEP: u32 = 64;

/// An estimate of the median rate, in hundredths of a token per millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRate {
    /// The rate that is assumed until there are answers.
    assumed: u32,
    estimate: u32,
    answers: u32,
}

impl ReadRate {
    /// Returns the estimate before any answer: `per_ms` tokens per millisecond.
    pub const fn new(per_ms: u32) -> Self {
        let assumed = per_ms.saturating_mul(100);
        Self {
            assumed,
            estimate: assumed,
            answers: 0,
        }
    }

    /// Returns whether enough answers were seen for the median.
    pub const fn is_known(&self) -> bool {
        self.answers >= LARGE_STEP_ANSWERS
    }

    /// Returns the rate in hundredths of a token per millisecond.
    pub const fn per_ms(&self) -> u32 {
        match self.answers < ANSWERS_MIN {
            true => self.assumed,
            false => self.estimate,
        }
    }

    /// Returns how many tokens a target of usual speed reads in this time.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        millis.saturating_mul(u64::from(self.per_ms())) / 100
    }

    /// Moves the estimate towards the rate of an answer by a fixed step, so that it follows the
    /// median. It stays between a quarter and twice of the assumed rate: routers are late with what
    /// they see rather than engines that far from their specification.
    pub fn observe(&mut self, per_ms: u32) {
        let divisor = match self.answers < LARGE_STEP_ANSWERS {
            true => LARGE_STEP,
            false => SMALL_STEP,
        };
        let step = (self.estimate / divisor).max(1);
        self.estimate = match per_ms < self.estimate {
            true => self.estimate - step,
            false => self.estimate + step,
        };
        self.estimate = self.estimate.clamp(self.assumed / 4, self.assumed * 2);
        self.answers = self.answers.saturating_add(1);
    }
}
