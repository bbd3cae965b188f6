//! Determines which of two records of a target is newer.
//!
//! # Invariant
//!
//! Once a target is known to be leaving or removed, a record that it wrote earlier does not make it
//! ready again.
//!
//! A store orders records by the time of their acceptance, which may differ from the order in which
//! the target wrote them: a write without a response may take effect seconds later, after newer
//! ones. Each record therefore contains the start time of the target's run and a sequence number
//! within the run, which together give the order of writing.

use std::collections::BTreeMap;

use crate::input::TargetState;
use crate::prelude::*;

/// How long the last record of a removed target is retained: several times the few seconds after
/// which a write without a response may still take effect.
const RETENTION: Duration = Duration::from_secs(60);

/// The last record of each target, in the order in which the target wrote its records.
#[derive(Debug, Default)]
pub struct RecordOrder {
    last: BTreeMap<TargetId, Last>,
}

/// The position of a target's last record.
#[derive(Debug, Clone, Copy)]
struct Last {
    /// The start time of the run.
    started_ms: Option<u64>,
    sequence: u64,
    /// When the target was removed, unless it has written a record since.
    removed_at: Option<Time>,
}

impl RecordOrder {
    /// Processes a record, and returns whether it is at least as new as all previous records of its
    /// target. The caller must ignore an older record.
    pub fn admits(&mut self, state: &TargetState) -> bool {
        if let Some(last) = self.last.get(&state.target)
            && last.is_newer_than(state)
        {
            return false;
        }
        let last = Last {
            started_ms: state.started_ms,
            sequence: state.sequence,
            removed_at: None,
        };
        self.last.insert(state.target, last);
        true
    }

    /// Records that a target's record was removed.
    pub fn on_removed(&mut self, now: Time, target: TargetId) {
        let is_retained = |last: &Last| last.removed_at.is_none_or(|at| now.since(at) < RETENTION);
        self.last.retain(|_, last| is_retained(last));
        if let Some(last) = self.last.get_mut(&target) {
            last.removed_at = Some(now);
        }
    }
}

impl Last {
    /// Returns whether `state` was written before this record. If a start time is missing, a
    /// smaller sequence number may belong to a new run, so `state` is not considered older, which
    /// is the safer assumption.
    fn is_newer_than(&self, state: &TargetState) -> bool {
        let (Some(run), Some(other)) = (self.started_ms, state.started_ms) else {
            return false;
        };
        // After a removal, a repetition of the last record is outdated.
        let is_repeated = self.removed_at.is_some() && state.sequence == self.sequence;
        other < run || (other == run && (state.sequence < self.sequence || is_repeated))
    }
}
