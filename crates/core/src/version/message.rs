//! Records and peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::key::{Fence, Offset, PoolId, RouterId, TargetId};
use crate::time::Time;
use crate::version::evidence::{Route, Slice, Tally};

/// What is known of a move. It is recorded on the log whenever it changes, and told to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStep {
    /// The pool.
    pub pool: PoolId,
    /// The revision of the catalogue entry; a new edit of the entry is another move.
    pub revision: Offset,
    /// What is known.
    pub fact: Fact,
}

/// What is known of a move. Facts merge, in any order and any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The highest fencing number of a lease under which a step was taken.
    pub fence: Fence,
    /// When the first stage began.
    pub start: Option<Time>,
    /// The present stage.
    pub stage: Option<u8>,
    /// Whether all traffic belongs to the new version for good.
    pub finished: bool,
    /// Why and by whom the move was taken back.
    pub taken_back: Option<TakenBack>,
}

/// Why and by whom a move was taken back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TakenBack {
    /// When.
    pub at: Time,
    /// The router that found the new version bad.
    pub by: RouterId,
    /// What was found.
    pub fault: Fault,
    /// Where it was found.
    pub route: Route,
}

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It fails more requests than the old one.
    Fails,
    /// It is slower than the old one.
    Slow,
}

/// What one router tells another about moves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionPart {
    /// What the sender knows.
    pub steps: Vec<MoveStep>,
    /// To deciders: what the sender saw of both versions.
    pub seen: Vec<Seen>,
}

/// What one router saw of both versions of a move since it started, as totals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The pool.
    pub pool: PoolId,
    /// The revision of the catalogue entry.
    pub revision: Offset,
    /// The totals that changed, or all of them now and then.
    pub tallies: Vec<(Slice, Tally)>,
    /// How often connections of targets broke.
    pub breaks: Vec<(TargetId, u32)>,
}

impl Fact {
    /// Takes in what somebody else knows, and says whether that changed anything.
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

    /// Says whether nothing more is to be decided.
    pub const fn is_final(&self) -> bool {
        self.finished || self.taken_back.is_some()
    }
}
