//! Rows on stated limits in load reports.

use serde::{Deserialize, Serialize};

use crate::key::{PoolId, TargetId};
use crate::limit::Rate;

/// A change of the limit that a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The target.
    pub target: TargetId,
    /// The requests that the target takes from the whole fleet; `None` if it no longer states a
    /// limit.
    pub limit: Option<Rate>,
}

/// The requests that recently arrived for a pool with a limited target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The pool.
    pub pool: PoolId,
    /// The requests that arrived within [`Demand::WINDOW`](crate::limit::Demand::WINDOW).
    pub requests: u32,
}
