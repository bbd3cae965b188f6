//! Peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, OrganisationId, RouterId};

/// What one router tells another about service. Every figure is a total, so that a part may be lost,
/// repeated or reordered without harm.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SharePart {
    /// What the sender itself counted, in its present run.
    pub own: Vec<OwnRow>,
    /// What the sender, as an accountant, knows to be counted by others than the receiver's present
    /// run.
    pub totals: Vec<TotalRow>,
    /// Rows of any router, for an accountant that has just started.
    pub rows: Vec<Row>,
}

/// Service that the sender counted in its present run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnRow {
    /// Who received it.
    pub organisation: OrganisationId,
    /// All of it, in units of [`Cost`](crate::cost::Cost).
    pub received: u64,
    /// The organisation's lift; see the module's documentation.
    pub lift: u64,
}

/// Service that was counted by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalRow {
    /// Who received it.
    pub organisation: OrganisationId,
    /// What others counted.
    pub others: u64,
    /// The organisation's lift.
    pub lift: u64,
}

/// Service that one run of a router counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who received it.
    pub organisation: OrganisationId,
    /// Which router counted it.
    pub router: RouterId,
    /// In which run.
    pub incarnation: Incarnation,
    /// All of it.
    pub received: u64,
}

impl SharePart {
    /// Says whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.own.is_empty() && self.totals.is_empty() && self.rows.is_empty()
    }
}
