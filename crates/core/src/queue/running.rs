//! How many requests run, by what is limited.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The requests that this router runs.
#[derive(Debug, Default)]
pub struct Running {
    organisations: BTreeMap<OrganisationId, u32>,
    pools: BTreeMap<(PoolId, Class), u32>,
}

impl Running {
    /// Returns how many requests of an organisation run.
    pub fn of(&self, organisation: OrganisationId) -> u32 {
        self.organisations.get(&organisation).copied().unwrap_or(0)
    }

    /// Says whether interactive requests have less than `share` hundredths of what the pool would run
    /// with one more.
    pub fn is_interactive_short(&self, pool: PoolId, share: u32) -> bool {
        let of = |class| self.pools.get(&(pool, class)).copied().unwrap_or(0);
        let (urgent, batch) = (of(Class::Interactive), of(Class::Batch));
        urgent * 100 < share * (urgent + batch + 1)
    }

    /// Notes that a request starts.
    pub fn add(&mut self, pool: PoolId, organisation: OrganisationId, class: Class) {
        *self.organisations.entry(organisation).or_default() += 1;
        *self.pools.entry((pool, class)).or_default() += 1;
    }

    /// Notes that a request ended.
    pub fn remove(&mut self, pool: PoolId, organisation: OrganisationId, class: Class) {
        if let Some(running) = self.pools.get_mut(&(pool, class)) {
            *running = running.saturating_sub(1);
        }
        let left = self.of(organisation).saturating_sub(1);
        if left == 0 {
            self.organisations.remove(&organisation);
        } else {
            self.organisations.insert(organisation, left);
        }
    }
}
