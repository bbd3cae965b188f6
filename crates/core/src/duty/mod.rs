//! Duty: tasks that one router at a time performs for the fleet, over a control endpoint of the
//! platform. The shapes of orders and results only; replaced at the merge of the branch `duty`.

use crate::key::{OrganisationId, PoolId};

/// What the holder of the lease is to tell the control endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOrder {
    /// The requests that began in one usage window.
    Usage {
        /// The number of the window.
        window: u64,
        /// The requests of each organisation that had any.
        counts: Vec<(OrganisationId, u64)>,
    },
    /// The number of targets of a pool in a data centre.
    Scale {
        /// The pool.
        pool: PoolId,
        /// The name of the data centre.
        data_centre: String,
        /// The number of targets.
        desired: u32,
    },
}

/// The result of a call to the control endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyResult {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced,
    /// The endpoint had too many calls.
    Throttled,
    /// The endpoint refused the order.
    Refused,
    /// There was no readable answer; the call may still be executed.
    Unknown,
}
