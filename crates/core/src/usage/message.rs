//! Peer messages with which routers report their requests to the holder of the duties.

use serde::{Deserialize, Serialize};

use crate::key::{OrganisationId, PoolId};
use crate::time::Time;

/// A message between a router and the holder of the duties or the next candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsagePart {
    /// Figures of the sender.
    Figures(Figures),
    /// The fleet's time, for a router whose own estimate deviates.
    Clock {
        /// [`Figures::sent`] of the message that is answered.
        echo: Time,
        /// The fleet's time at the arrival of that message.
        time: Time,
    },
}

/// The figures of one run of a router. All counts are totals, so that a message may be lost or
/// repeated without harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// When the message was sent, by the sender's steady clock.
    pub sent: Time,
    /// The sender's wall clock at that time.
    pub wall: Time,
    /// The sender's estimate of the fleet's time at that time. Windows that ended earlier are
    /// complete.
    pub time: Time,
    /// The requests that began in the open window and in those that ended recently.
    pub windows: Vec<WindowRows>,
    /// The requests of pools whose number of targets the fleet orders.
    pub pools: Vec<PoolRow>,
}

/// The requests that began in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRows {
    /// The number of the window since the Unix epoch.
    pub window: u64,
    /// The requests of each organisation that had any.
    pub counts: Vec<(OrganisationId, u64)>,
}

/// The requests of one router for one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The pool.
    pub pool: PoolId,
    /// Requests at targets.
    pub running: u32,
    /// Requests that wait for a target.
    pub waiting: u32,
    /// Requests that began since the message before, or a second before the first one.
    pub begun: u32,
    /// Those of them that began after their objective.
    pub late: u32,
    /// Requests that were refused for want of capacity since the message before.
    pub refused: u32,
}

impl PoolRow {
    /// Returns whether the row says nothing.
    pub fn is_idle(&self) -> bool {
        *self
            == Self {
                pool: self.pool,
                ..Self::default()
            }
    }
}
