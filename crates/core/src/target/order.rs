//! Which of two records of a target is the newer one.
//!
//! # Invariant
//!
//! A target that was learnt to leave, or to be gone, is not taken for ready again by a record that it wrote before.
//!
//! A store orders records by when it took them in. A target's write that got no answer may take effect seconds later,
//! behind newer ones, so that order is not the target's. A target counts its records within a run, and says when the
//! run began; both together are its own order.

use std::collections::BTreeMap;

use crate::input::TargetState;
use crate::prelude::*;

/// For how long it is remembered what a target that is gone wrote last. It is several times the seconds for which a write
/// without an answer may be under way.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The last record of each target, in the targets' own order.
#[derive(Debug, Default)]
pub struct RecordOrder {
    last: BTreeMap<TargetId, Last>,
}

#[derive(Debug, Clone, Copy)]
struct Last {
    started_ms: Option<u64>,
    sequence: u64,
    /// When the target was learnt to be gone, unless it has been back since.
    gone: Option<Time>,
}

impl RecordOrder {
    /// Takes in a record, and says whether it is as new as all before it. One that is older is not to be heeded.
    pub fn admits(&mut self, state: &TargetState) -> bool {
        if let Some(last) = self.last.get(&state.target)
            && last.is_newer_than(state)
        {
            return false;
        }
        let last = Last {
            started_ms: state.started_ms,
            sequence: state.sequence,
            gone: None,
        };
        self.last.insert(state.target, last);
        true
    }

    /// Notes that a target has no record any more.
    pub fn on_removed(&mut self, now: Time, target: TargetId) {
        let stays = |last: &Last| last.gone.is_none_or(|at| now.since(at) < REMEMBERED);
        self.last.retain(|_, last| stays(last));
        if let Some(last) = self.last.get_mut(&target) {
            last.gone = Some(now);
        }
    }
}

impl Last {
    /// Says whether a record was written before this one. Without the beginning of the run, a smaller number may be that
    /// of a new run, which is the safer belief.
    fn is_newer_than(&self, state: &TargetState) -> bool {
        let (Some(run), Some(other)) = (self.started_ms, state.started_ms) else {
            return false;
        };
        // A record that is met again says nothing new; behind a removal it is an old one.
        let met_again = self.gone.is_some() && state.sequence == self.sequence;
        other < run || (other == run && (state.sequence < self.sequence || met_again))
    }
}
