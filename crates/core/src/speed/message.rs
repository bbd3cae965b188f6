//! Rows on the speed of targets in load reports.

use serde::{Deserialize, Serialize};

use crate::key::TargetId;

/// The work that a target stated, where it differs from what the reporting router knew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRow {
    /// The target.
    pub target: TargetId,
    /// The time that work takes there, in hundredths of the usual time.
    pub work: u16,
}
