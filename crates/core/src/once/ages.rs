//! The times of the log's records, from which the time of the newest lost record is bounded.

use std::collections::VecDeque;

use crate::prelude::*;

/// The minimum time between two marks.
const MARK_INTERVAL: Duration = Duration::from_secs(10);

/// The times of a sample of the log's records.
#[derive(Debug, Default)]
pub(super) struct Ages {
    /// The offsets and times of sampled records, in the order of the log.
    marks: VecDeque<(Offset, Time)>,
    /// The latest time of an applied record.
    newest: Option<Time>,
}

impl Ages {
    /// Records the time of an applied record.
    pub(super) fn note(&mut self, offset: Offset, at: Time) {
        self.newest = Some(self.newest.unwrap_or(at).max(at));
        if self
            .marks
            .back()
            .is_none_or(|&(_, mark)| at >= mark + MARK_INTERVAL)
        {
            self.marks.push_back((offset, at));
        }
    }

    /// Returns an upper bound on the times of the records below `first`, which the log no longer
    /// retains, or `None` if there are no such records.
    ///
    /// `applied` is the first offset that was not applied. `next` is the time of the first record
    /// of the present read.
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
