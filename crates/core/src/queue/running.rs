//! Counts of running requests, by organisation and by pool and class.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Counts of the requests that this router runs.
#[derive(Debug, Default)]
pub struct Running {
    organisations: BTreeMap<OrganisationId, u32>,
    pools: BTreeMap<(PoolId, Class), u32>,
}

impl Running {
    /// Returns the number of running requests of an organisation.
    pub fn of(&self, organisation: OrganisationId) -> u32 {
        self.organisations.get(&organisation).copied().unwrap_or(0)
    }

    /// Returns the number of running requests of a pool.
    pub fn at(&self, pool: PoolId) -> u32 {
        let of = |class| self.pools.get(&(pool, class)).copied().unwrap_or(0);
        of(Class::Interactive).saturating_add(of(Class::Batch))
    }

    /// Returns whether interactive requests are less than `percent` hundredths of the pool's
    /// running requests, counting one more request.
    pub fn is_interactive_short(&self, pool: PoolId, percent: u32) -> bool {
        let of = |class| self.pools.get(&(pool, class)).copied().unwrap_or(0);
        let (interactive, batch) = (of(Class::Interactive), of(Class::Batch));
        interactive * 100 < percent * (interactive + batch + 1)
    }

    /// Records that a request starts.
    pub fn add(&mut self, pool: PoolId, organisation: OrganisationId, class: Class) {
        *self.organisations.entry(organisation).or_default() += 1;
        *self.pools.entry((pool, class)).or_default() += 1;
    }

    /// Records that a request ended.
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
