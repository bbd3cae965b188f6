//! Peer messages of this duty.

use serde::{Deserialize, Serialize};

use crate::key::Offset;

/// Liveness of a router and how far it has applied the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The next offset that the sender has not applied.
    pub applied: Offset,
    /// How long ago the sender last knew that it had applied everything, in milliseconds.
    pub current_age_ms: u32,
    /// Whether the sender sees the log as down.
    pub log_down: bool,
    /// Whether the sender has caught up since it started.
    pub ready: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
}
