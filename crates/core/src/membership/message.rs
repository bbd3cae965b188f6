//! Peer messages of membership.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Offset, RouterId};

/// Liveness of a router and the state of its catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sequence of the last frame that the sender accepted from the receiver. The receiver
    /// knows when it sent that frame, and so has a lower bound, by its own clock, on the time of
    /// the heartbeat.
    pub echo: u64,
    /// Every edit below this offset is in the sender's catalogue.
    pub applied: Offset,
    /// The time in milliseconds since the sender last confirmed that the log held nothing at or
    /// above `applied`. The largest value if it never did.
    pub current_age_ms: u32,
    /// Whether the sender considers the log unavailable.
    pub log_down: bool,
    /// Whether the sender has no row of the receiver and requests all rows.
    pub wants_rows: bool,
    /// The rows that changed recently, or all rows if the receiver requested them.
    pub rows: Vec<Row>,
}

/// The state of one router as known to the fleet. Of two rows the one with the higher incarnation
/// wins, then the one with the higher version, then the one with the worse condition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The router that the row describes.
    pub router: RouterId,
    /// The run of the router.
    pub incarnation: Incarnation,
    /// The version of the row, which only the router itself raises, whenever its row changes.
    pub version: u32,
    /// The condition of the router.
    pub condition: Condition,
    /// The address at which callers reach the router.
    pub address: String,
    /// The capacity of the router in thousandths of a processor core.
    pub capacity: u32,
}

impl Row {
    /// Returns the row of a router that is on the VM list and was never heard. Any row of the router
    /// itself is newer.
    pub(super) const fn never_heard(router: RouterId) -> Self {
        Self {
            router,
            incarnation: Incarnation(0),
            version: 0,
            condition: Condition::Unready,
            address: String::new(),
            capacity: 0,
        }
    }

    /// Returns whether the row shows the router as down.
    pub fn is_down(&self) -> bool {
        self.condition == Condition::Down
    }
}

/// The condition of a router. A worse condition is a greater value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// The router is current and accepts new requests.
    Ready,
    /// The router runs but has not read the log up to its tail, or cannot confirm that it is
    /// current.
    Unready,
    /// The router was asked to stop.
    Stopping,
    /// A partner received no heartbeat of the router within the timeout.
    Down,
}
