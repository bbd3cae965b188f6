//! Peer messages about the service that organisations received.

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, OrganisationId, RouterId};

/// A report of service from one router to another. Every figure is a total, so that a report may be
/// lost, repeated or reordered without harm.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SharePart {
    /// Service that the sender itself counted in its present incarnation.
    pub own: Vec<OwnRow>,
    /// Service that the sender, as an aggregator, knows and that the receiver's present incarnation
    /// did not count.
    pub totals: Vec<TotalRow>,
    /// Rows of any router, for an aggregator that has just started.
    pub rows: Vec<Row>,
}

/// Service of one organisation that the sender counted in its present incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnRow {
    /// The organisation that received the service.
    pub organisation: OrganisationId,
    /// The total service, in units of [`Cost`](crate::cost::Cost).
    pub received: u64,
    /// The organisation's lift; see [`share`](crate::share).
    pub lift: u64,
}

/// Service of one organisation that routers other than the receiver's present incarnation counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalRow {
    /// The organisation that received the service.
    pub organisation: OrganisationId,
    /// The total service, in units of [`Cost`](crate::cost::Cost).
    pub others: u64,
    /// The organisation's lift; see [`share`](crate::share).
    pub lift: u64,
}

/// Service of one organisation that one incarnation of a router counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The organisation that received the service.
    pub organisation: OrganisationId,
    /// The router that counted the service.
    pub router: RouterId,
    /// The incarnation of the router that counted the service.
    pub incarnation: Incarnation,
    /// The total service, in units of [`Cost`](crate::cost::Cost).
    pub received: u64,
}

impl SharePart {
    /// Returns whether the report has no rows.
    pub const fn is_empty(&self) -> bool {
        self.own.is_empty() && self.totals.is_empty() && self.rows.is_empty()
    }
}
