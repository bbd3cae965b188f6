//! The ages of the log's records, as far as needed to know until when records may be lost.

use std::collections::VecDeque;

use crate::prelude::*;

/// The distance of the marks by which the ages of records are known.
const MARK: Duration = Duration::from_secs(10);

/// The ages of some records.
#[derive(Debug, Default)]
pub(super) struct Ages {
    /// In the order of the log.
    marks: VecDeque<(Offset, Time)>,
    newest: Option<Time>,
}

impl Ages {
    /// Notes the age of a record that is applied.
    pub(super) fn note(&mut self, offset: Offset, at: Time) {
        self.newest = Some(self.newest.unwrap_or(at).max(at));
        if self.marks.back().is_none_or(|&(_, mark)| at >= mark + MARK) {
            self.marks.push_back((offset, at));
        }
    }

    /// Returns a time that no record below `first` is later than, or `None` if none is lost.
    ///
    /// `applied` is the first offset that was not applied, and `next` the age of the first record that
    /// is read now.
    pub(super) fn lost_until(
        &mut self,
        now: Time,
        first: Offset,
        applied: Offset,
        next: Option<Time>,
    ) -> Option<Time> {
        if first == Offset(0) {
            return None;
        }
        while self.marks.front().is_some_and(|&(at, _)| at < first) {
            self.marks.pop_front();
        }
        let known = self.marks.front().map(|&(_, at)| at).or(next);
        let all_read = self.newest.filter(|_| applied >= first);
        Some(known.or(all_read).unwrap_or(now))
    }
}
