//! Peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::balance::holdings::Chain;
use crate::key::{OrganisationId, PoolId, RouterId, TargetId};

/// What one router has at targets now, and which parts of prompts it has sent to them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Whether the rows are all that there are. If not, they are those that changed since the last part.
    pub is_full: bool,
    /// The targets at which the router has requests; also those that it has left, if the part is not full.
    pub rows: Vec<LoadRow>,
    /// What waits at the router.
    pub claims: Vec<ClaimRow>,
    /// Long parts of prompts that the router has sent to targets of late.
    pub held: Vec<HeldRow>,
    /// The routers beside those that callers are sent to that told the sender themselves of work of theirs, so
    /// that these report to one another too; nothing if they are the same as in the last part.
    pub busy: Option<Vec<RouterId>>,
}

/// A part of a prompt that a target has, together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// The target.
    pub target: TargetId,
    /// The part.
    pub chain: Chain,
}

/// What waits of one organisation at one router, as far as the router is likely to take it before its next report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The pool that it waits for.
    pub pool: PoolId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service that it received lately relative to its weight, in thousandths of a generated token.
    pub level: u64,
    /// How many requests wait.
    pub requests: u32,
    /// The tokens of their prompts.
    pub tokens: u32,
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
