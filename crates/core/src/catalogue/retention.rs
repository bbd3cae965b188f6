//! The times by which entries have to be appended again, before the log drops their records.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// The time of the newest log record of each entry.
#[derive(Debug, Default)]
pub struct Retention {
    /// The time of the newest record of each entry. Entries are identified by their creation
    /// offset.
    at: BTreeMap<Offset, Time>,
    /// The same pairs, oldest first.
    by_time: BTreeSet<(Time, Offset)>,
}

impl Retention {
    /// Returns an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a log record of time `at` holds the entry created at offset `created`.
    pub fn on_record(&mut self, created: Offset, at: Time) {
        let known = self.at.entry(created).or_insert(at);
        if *known < at {
            self.by_time.remove(&(*known, created));
            *known = at;
        }
        self.by_time.insert((*known, created));
    }

    /// Returns the entries whose newest log record is older than `limit`, oldest first.
    pub fn older_than(&self, limit: Time) -> impl Iterator<Item = Offset> {
        self.by_time
            .range(..(limit, Offset(0)))
            .map(|&(_, created)| created)
    }
}
