//! Peer messages of this duty.

use serde::{Deserialize, Serialize};

use crate::balance::holdings::Chain;
use crate::key::{PoolId, TargetId};

/// What one router has at all targets now. It replaces what the router told before, but for the parts of
/// prompts, which add up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// The targets at which the router has requests.
    pub rows: Vec<LoadRow>,
    /// The pools for which something waits at the router.
    pub floors: Vec<FloorRow>,
    /// Long parts of prompts that the router has sent to targets of late.
    pub held: Vec<HeldRow>,
}

/// A part of a prompt that a target has, together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// The target.
    pub target: TargetId,
    /// The part.
    pub chain: Chain,
}

/// Whose turn it is at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorRow {
    /// The pool.
    pub pool: PoolId,
    /// The lowest virtual time of the organisations that wait for it there.
    pub lowest: u64,
}

/// What one router has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens that the target has still to read for the router.
    pub unread: u32,
    /// Requests of the router that wait or run there.
    pub requests: u32,
}
