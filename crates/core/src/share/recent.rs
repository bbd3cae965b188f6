//! The service that organisations received within a recent window.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;

/// The totals of all organisations at one time.
type Sample = (Time, BTreeMap<OrganisationId, Cost>);

/// Samples of the organisations' totals over a sliding window.
///
/// Where requests hardly wait, virtual times give no useful order: an organisation whose queue
/// often runs empty is lifted each time it waits again, and one that used idle capacity long ago
/// would be shut out because of it. The service within a window of a few seconds shows which
/// organisations received more than others, and old service stops counting.
#[derive(Debug)]
pub struct Recent {
    window: Duration,
    samples: VecDeque<Sample>,
}

impl Recent {
    /// Returns an empty window of a given length.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample of the current totals.
    pub fn sample(&mut self, now: Time, totals: BTreeMap<OrganisationId, Cost>) {
        let oldest = now - self.window;
        // The newest sample that is at least as old as the window is its start.
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, totals));
    }

    /// Returns the service that an organisation received since the start of the window. `total` is
    /// its current total. An organisation that is missing in the first sample started from zero.
    pub fn of(&self, organisation: OrganisationId, total: Cost) -> Cost {
        let before = self.samples.front();
        let before = before.and_then(|(_, totals)| totals.get(&organisation).copied());
        total.saturating_sub(before.unwrap_or_default())
    }
}
