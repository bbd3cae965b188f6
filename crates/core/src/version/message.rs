//! Records and peer messages of this duty.

use serde::{Deserialize, Serialize};

/// A record of this duty.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveStep {}

/// Evidence on versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionPart {}
