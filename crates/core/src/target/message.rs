//! Peer messages of this duty.

use serde::{Deserialize, Serialize};

/// What one router tells another about this duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetPart {}
