//! Peer messages of this component.
//!
//! Every figure is a level and not a change, so that a message may be lost or repeated without harm.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, PoolId, TargetId};

/// What one router tells another about slots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SlotsPart {
    /// From a holder to an owner.
    Ask(Ask),
    /// From an owner to a holder.
    Grants(Grants),
}

/// What a holder wants and what it holds, for one owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Counts the asks of this run of the holder to this owner.
    pub sequence: u32,
    /// The run of the owner whose grants [`Holding::seen`] counts.
    pub owner: Incarnation,
    /// Everything that is wanted. What is missing is wanted no longer.
    pub demands: Vec<Demand>,
    /// Everything that is held. What is missing is not held.
    pub holdings: Vec<Holding>,
}

/// Slots that are wanted in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The pool.
    pub pool: PoolId,
    /// How many requests wait.
    pub want: u32,
    /// How many of them are urgent.
    pub urgent: u32,
    /// The lowest virtual time among the organisations that wait.
    pub lowest: u64,
    /// By how much one more request raises it at once.
    pub step: u64,
    /// The pool's system virtual time, as the holder knows it.
    pub system: u64,
}

/// Slots that are held at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The target.
    pub target: TargetId,
    /// The sequence of the last grant that was taken.
    pub seen: u32,
    /// Requests that run there, and those that may still be started.
    pub held: u32,
    /// The fewest requests that ran there at any moment since the last ask.
    pub low: u32,
}

/// What an owner grants to a holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The run of the holder that asked.
    pub holder: Incarnation,
    /// The last ask that was taken. The term of everything that is held counts from when it was sent.
    pub ask: u32,
    /// New levels.
    pub levels: Vec<Level>,
    /// What others wait for.
    pub floors: Vec<Floor>,
    /// Targets at which more is held than may be: what becomes free there is to be given back.
    pub over: Vec<TargetId>,
}

/// How many requests a holder may have at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// The target.
    pub target: TargetId,
    /// Counts the grants of this run of the owner to this holder at this target.
    pub sequence: u32,
    /// The number of requests.
    pub level: u32,
}

/// How others wait for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The pool.
    pub pool: PoolId,
    /// The lowest virtual time among the other routers that wait, if any does.
    pub lowest: Option<u64>,
    /// Whether a slot that becomes free is to be given back unless an urgent request takes it.
    pub reserve: bool,
    /// The pool's system virtual time, as the owner knows it.
    pub system: u64,
}
