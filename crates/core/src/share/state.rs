//! The service that was counted.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The service that each organisation has received.
#[derive(Debug, Default)]
pub struct Ledger {
    received: BTreeMap<OrganisationId, Cost>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts service of an organisation.
    pub fn charge(&mut self, organisation: OrganisationId, cost: Cost) {
        *self.received.entry(organisation).or_default() += cost;
    }

    /// Returns the service received relative to the weight. The organisation with the lowest value
    /// is served next.
    pub fn virtual_time(&self, organisation: OrganisationId, weight: u32) -> u64 {
        let received = self
            .received
            .get(&organisation)
            .copied()
            .unwrap_or_default();
        received.0 / u64::from(weight.max(1))
    }
}
