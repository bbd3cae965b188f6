//! Records of this component.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Offset, PoolId, RouterId};

/// A claim of a lease. It is won if it follows the claim that holds the lease when it is read, so of
/// several claims that follow the same one the first in the log wins. Its offset is the fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// What is claimed.
    pub lease: Lease,
    /// Who claims.
    pub holder: RouterId,
    /// The run of the claimant.
    pub incarnation: Incarnation,
    /// The claim that this one follows; `None` if the claimant knows of none.
    pub follows: Option<Offset>,
    /// For how long the claimant holds it, in milliseconds.
    pub term_ms: u32,
}

/// What can be leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lease {
    /// The duty to append entries again before they age out.
    Refresh,
    /// The decision on the stages of a pool's version move.
    Move(PoolId),
    /// The right to give orders to engines.
    Placement,
}
