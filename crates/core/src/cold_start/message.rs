//! Messages on shares of the allowance of a cold target.

use serde::{Deserialize, Serialize};

use crate::key::TargetId;
use crate::time::Time;

/// A request for a share of the allowance of a cold target, or the answer to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColdPart {
    /// From a router that has more requests than its share allows.
    Ask {
        /// The target.
        target: TargetId,
        /// The requests that arrived at the sender within the last second for the target's pool.
        demand: u32,
        /// When the sender asked, by its own clock.
        asked: Time,
    },
    /// From a router that lends its share.
    Loan {
        /// The target.
        target: TargetId,
        /// The requests per second that the receiver may send in place of the sender.
        units: u32,
        /// When the receiver asked, by its own clock: the term begins then.
        asked: Time,
    },
}
