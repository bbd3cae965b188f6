//! The service that organisations received in the recent past.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;

/// Totals of all organisations at one time.
type Sample = (Time, BTreeMap<OrganisationId, Cost>);

/// Remembers totals for as long as the recent past lasts.
///
/// Where requests hardly wait, virtual times do not tell whose turn it is: an organisation whose queue runs empty
/// again and again enters anew each time, and one that used idle capacity long ago would be shut out for it. The
/// service of the last few seconds says who has had more than others, and forgets by itself.
#[derive(Debug)]
pub struct Recent {
    window: Duration,
    samples: VecDeque<Sample>,
}

impl Recent {
    /// Returns a memory of nothing that reaches back for `window`.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            samples: VecDeque::new(),
        }
    }

    /// Notes the totals of now.
    pub fn sample(&mut self, now: Time, totals: BTreeMap<OrganisationId, Cost>) {
        let oldest = now - self.window;
        // The newest of those that are too old is where the window begins.
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, totals));
    }

    /// Returns what an organisation received since the window began, where `total` is what it has received by
    /// now. An organisation that was not known then began at zero.
    pub fn of(&self, organisation: OrganisationId, total: Cost) -> Cost {
        let before = self.samples.front();
        let before = before.and_then(|(_, totals)| totals.get(&organisation).copied());
        total.saturating_sub(before.unwrap_or_default())
    }
}
