//! Lease claims as they are kept on the log.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Offset, PoolId, RouterId};

/// A claim of a lease. A claim wins if, when it is read, it follows the claim that holds the lease;
/// of several claims that follow the same one, the first in the log wins. The offset of a claim is
/// its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The lease that is claimed.
    pub lease: Lease,
    /// The router that claims.
    pub holder: RouterId,
    /// The run of the claimant.
    pub incarnation: Incarnation,
    /// The offset of the claim that this one follows; `None` if the claimant knows of none.
    pub follows: Option<Offset>,
    /// How long the claimant holds the lease, in milliseconds.
    pub term_ms: u32,
}

/// A task that can be leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lease {
    /// The task of appending entries again before they age out.
    Refresh,
    /// The task of deciding on the stages of a pool's version move.
    Move(PoolId),
    /// The right to give orders to engines.
    Placement,
}
