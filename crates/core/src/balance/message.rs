//! Peer messages of the load balancer.

use serde::{Deserialize, Serialize};

use crate::balance::prefix_index::PrefixHash;
use crate::key::{OrganisationId, PoolId, RouterId, TargetId};

/// A router's load at targets, its waiting requests, and the prompt prefixes that it sent recently.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Whether `rows` lists every target at which the router has requests. If not, `rows` lists
    /// only the targets whose figures changed since the last report.
    pub is_full: bool,
    /// The router's load per target. A partial report has a row of zeros for a target at which the
    /// router no longer has requests.
    pub rows: Vec<LoadRow>,
    /// The requests that wait at the router, by pool and organisation.
    pub claims: Vec<ClaimRow>,
    /// Long prompt prefixes that the router has recently sent to targets.
    pub held: Vec<HeldRow>,
    /// Targets that stated to the sender, since its last report, that they are leaving.
    pub leaving: Vec<TargetId>,
    /// The routers that reported work to the sender directly and to which no callers are sent, so
    /// that routers with work report to one another. `None` if the list is the same as in the last
    /// report.
    pub busy: Option<Vec<RouterId>>,
}

/// A prompt prefix that a target is presumed to cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// The target.
    pub target: TargetId,
    /// Hash of the prefix.
    pub chain: PrefixHash,
}

/// The waiting requests of one organisation at one router that the router is likely to dispatch
/// before its next report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The pool for which the requests wait.
    pub pool: PoolId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service that the organisation received recently, divided by its weight, in thousandths
    /// of a generated token.
    pub level: u64,
    /// The number of waiting requests.
    pub requests: u32,
    /// The tokens of the prompts of these requests.
    pub tokens: u32,
}

/// The load that one router has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens of the router's requests that the target has not read yet.
    pub unread: u32,
    /// Requests of the router that wait or run at the target.
    pub requests: u32,
}
