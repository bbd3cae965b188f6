//! Log records and peer messages about version moves.

use serde::{Deserialize, Serialize};

use crate::key::{Fence, Offset, PoolId, RouterId, TargetId};
use crate::time::Time;
use crate::version::evidence::{Route, Slice, Tally};

/// A move and the facts about it. Appended to the log whenever the facts change, and sent to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStep {
    /// The pool whose traffic moves.
    pub pool: PoolId,
    /// The revision of the move's catalogue entry. A new edit of the entry starts a new move.
    pub revision: Offset,
    /// The facts about the move.
    pub fact: Fact,
}

/// The facts about a move. Merging facts gives the same result in any order and any number of
/// times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The highest fencing number of a lease under which a step was taken.
    pub fence: Fence,
    /// When the first stage was started.
    pub start: Option<Time>,
    /// The index of the current stage, or `None` before the first stage.
    pub stage: Option<u8>,
    /// Whether the move has finished, so that all traffic goes to the new version.
    pub finished: bool,
    /// The rollback of the move, if it was rolled back. Takes precedence over `finished`.
    pub taken_back: Option<Rollback>,
}

/// When, why and by which router a move was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rollback {
    /// When the move was rolled back.
    pub at: Time,
    /// The router that rolled the move back.
    pub by: RouterId,
    /// The fault of the new version.
    pub fault: Fault,
    /// The route on which the fault was found.
    pub route: Route,
}

/// A fault of a new version, relative to the old version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The new version fails more requests.
    Fails,
    /// The new version is slower.
    Slow,
}

/// The part of a peer message that is about version moves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionPart {
    /// The facts that the sender knows.
    pub steps: Vec<MoveStep>,
    /// The sender's totals for both versions of each move. Only sent to deciders.
    pub seen: Vec<RouterTotals>,
}

/// The totals of one router for both versions of a move, counted since the move started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterTotals {
    /// The pool whose traffic moves.
    pub pool: PoolId,
    /// The revision of the move's catalogue entry.
    pub revision: Offset,
    /// The totals that changed since the previous message, or periodically all of them.
    pub tallies: Vec<(Slice, Tally)>,
    /// The number of broken connections by target, with breaks at about the same time counted once.
    pub breaks: Vec<(TargetId, u32)>,
}

impl Fact {
    /// Merges the facts that another router knows, and returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.fence = self.fence.max(other.fence);
        self.stage = self.stage.max(other.stage);
        self.start = match (self.start, other.start) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.finished |= other.finished;
        self.taken_back = match (self.taken_back.take(), &other.taken_back) {
            (Some(a), Some(b)) => Some(a.min(b.clone())),
            (a, b) => a.or_else(|| b.clone()),
        };
        *self != before
    }

    /// Returns whether the move is finished or rolled back, so that no decision is left.
    pub const fn is_final(&self) -> bool {
        self.finished || self.taken_back.is_some()
    }
}
