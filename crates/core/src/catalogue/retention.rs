//! When entries have to be appended again, so that the log does not forget them.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// When each entry was last on the log, the oldest first.
#[derive(Debug, Default)]
pub struct Retention {
    at: BTreeMap<Offset, Time>,
    oldest: BTreeSet<(Time, Offset)>,
}

impl Retention {
    /// Returns a record of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the entry that was created at `created` is on the log in a record of time `at`.
    pub fn on_record(&mut self, created: Offset, at: Time) {
        let known = self.at.entry(created).or_insert(at);
        if *known < at {
            self.oldest.remove(&(*known, created));
            *known = at;
        }
        self.oldest.insert((*known, created));
    }

    /// Returns the entries that were last on the log before `limit`, the oldest first.
    pub fn older_than(&self, limit: Time) -> impl Iterator<Item = Offset> {
        self.oldest
            .range(..(limit, Offset(0)))
            .map(|&(_, created)| created)
    }
}
