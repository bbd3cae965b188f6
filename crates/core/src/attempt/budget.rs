//! Token buckets that bound the retries of each organisation.

use std::collections::BTreeMap;

use crate::attempt::Config;
use crate::prelude::*;

/// The price of one retry, in thousandths.
const RETRY: u64 = 1_000;

/// The retries that each organisation may still make at this router.
///
/// Only buckets that are not full are stored, so that memory grows with the organisations that
/// retry and not with all of them.
#[derive(Debug)]
pub struct Budgets {
    cfg: Config,
    buckets: BTreeMap<OrganisationId, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Thousandths of retries.
    level: u64,
    filled: Time,
}

impl Budgets {
    /// Returns budgets that are full for every organisation.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            buckets: BTreeMap::new(),
        }
    }

    /// Credits an accepted request.
    pub fn earn(&mut self, now: Time, org: OrganisationId) {
        if self.buckets.contains_key(&org) {
            let level = self.level(now, org) + u64::from(self.cfg.retry_millis_per_request);
            self.store(now, org, level);
        }
    }

    /// Pays for one retry.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent, with the time after which it suffices again.
    pub fn pay(&mut self, now: Time, org: OrganisationId) -> Result<(), Duration> {
        let level = self.level(now, org);
        if let Some(left) = level.checked_sub(RETRY) {
            self.store(now, org, left);
            return Ok(());
        }
        let rate = u64::from(self.cfg.retry_millis_per_second.max(1));
        Err(Duration::from_millis(
            ((RETRY - level) * 1_000).div_ceil(rate),
        ))
    }

    /// Returns how many organisations have spent part of their budget.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Says whether every budget is full.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn full(&self) -> u64 {
        u64::from(self.cfg.retry_burst) * RETRY
    }

    fn level(&self, now: Time, org: OrganisationId) -> u64 {
        let Some(bucket) = self.buckets.get(&org) else {
            return self.full();
        };
        let millis = u64::try_from(now.since(bucket.filled).as_millis()).unwrap_or(u64::MAX);
        let earned = millis.saturating_mul(u64::from(self.cfg.retry_millis_per_second)) / 1_000;
        bucket.level.saturating_add(earned).min(self.full())
    }

    fn store(&mut self, now: Time, org: OrganisationId, level: u64) {
        if level >= self.full() {
            self.buckets.remove(&org);
        } else {
            self.buckets.insert(org, Bucket { level, filled: now });
        }
    }
}
