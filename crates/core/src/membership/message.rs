//! Peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Offset, RouterId};

/// Liveness of a router and how far it knows the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sequence of the last frame that the sender took from the receiver. It lets the receiver
    /// date what the sender says by the receiver's own clock.
    pub echo: u64,
    /// Every edit below this offset is contained in the sender's catalogue.
    pub applied: Offset,
    /// How long ago the sender last knew that nothing at or above `applied` was on the log, in
    /// milliseconds; the largest value if it never did.
    pub current_age_ms: u32,
    /// Whether the sender sees the log as down.
    pub log_down: bool,
    /// Whether the sender does not know the receiver's row and wants all rows.
    pub wants_rows: bool,
    /// Rows that changed lately, or all rows where the receiver wanted them.
    pub rows: Vec<Row>,
}

/// What the fleet knows of one router. The row with the higher incarnation, then the higher version,
/// replaces the other; at equal versions the worse condition does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The router.
    pub router: RouterId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Raised by the router itself whenever its row changes.
    pub version: u32,
    /// Its condition.
    pub condition: Condition,
    /// Where callers reach it.
    pub address: String,
    /// What it can bear, in thousandths of a processor core.
    pub capacity: u32,
}

/// The condition of a router. A worse condition is a greater value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// It has caught up and takes new requests.
    Ready,
    /// It runs but has not caught up, or cannot show that it is current.
    Unready,
    /// It has been asked to stop.
    Stopping,
    /// One of the routers that expect its heartbeats has not heard it in time.
    Down,
}
