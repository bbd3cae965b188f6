//! Peer messages about slots.
//!
//! Every figure is an absolute level and not a change, so that a message may be lost or repeated
//! without harm.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, PoolId, TargetId};

/// A message about slots between two routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SlotsPart {
    /// A message from a holder to an owner.
    Ask(Ask),
    /// A message from an owner to a holder.
    Grants(Grants),
}

/// The slots that a holder requests from one owner and those that it holds of the owner's targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Counts the asks of this incarnation of the holder to this owner.
    pub sequence: u32,
    /// The incarnation of the owner whose grants [`Holding::seen`] counts.
    pub owner: Incarnation,
    /// All demands of the holder, one per pool. A demand that is missing here is withdrawn.
    pub demands: Vec<Demand>,
    /// All slots of the owner's targets that the holder has. A target that is missing here has
    /// none.
    pub holdings: Vec<Holding>,
}

/// The slots that a holder requests in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The pool, or a lane of a pool.
    pub pool: PoolId,
    /// The number of slots requested, one for each waiting request.
    pub want: u32,
    /// The number of waiting requests that are urgent.
    pub urgent: u32,
    /// The lowest virtual time among the organisations with waiting requests.
    pub lowest: u64,
    /// The amount by which the start of one more request raises `lowest`.
    pub step: u64,
    /// The pool's system virtual time, as the holder knows it.
    pub system: u64,
}

/// The slots that a holder has at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The target.
    pub target: TargetId,
    /// The sequence number of the last grant that the holder applied.
    pub seen: u32,
    /// The number of requests that run at the target or may still be started there.
    pub held: u32,
    /// The fewest requests that ran at the target at any moment since the last ask.
    pub low: u32,
}

/// An owner's answer to a holder's ask.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The incarnation of the holder that asked.
    pub holder: Incarnation,
    /// The sequence number of the last ask that the owner applied. The term of all slots that the
    /// holder has from this owner counts from when that ask was sent.
    pub ask: u32,
    /// Levels that the holder may not have applied yet.
    pub levels: Vec<Level>,
    /// How other routers wait for the pools in which the holder has slots.
    pub floors: Vec<Floor>,
    /// Targets at which more slots are held than the limit allows. The holder has to return slots
    /// that become free there.
    pub over: Vec<TargetId>,
}

/// The number of requests that a holder may have at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// The target.
    pub target: TargetId,
    /// Sequence number of the grant. It increases with each grant of this incarnation of the owner.
    pub sequence: u32,
    /// The number of requests.
    pub level: u32,
}

/// How other routers wait for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The pool, or a lane of a pool.
    pub pool: PoolId,
    /// The lowest virtual time among the other routers with waiting requests, or `None` if there
    /// are none.
    pub lowest: Option<u64>,
    /// Whether the holder has to return a slot that becomes free unless an urgent request takes it.
    pub reserve: bool,
    /// The pool's system virtual time, as the owner knows it.
    pub system: u64,
}
