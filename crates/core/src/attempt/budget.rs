//! Token buckets that limit retries.

use std::collections::BTreeMap;

use crate::attempt::Config;
use crate::prelude::*;

/// The wait reported to callers if a budget is refilled by further requests only and not with time.
const UNTIMED_WAIT: Duration = Duration::from_secs(1);
const MILLIS_PER_RETRY: u64 = 1_000;

/// The owner of the budget that is charged for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payer {
    /// The organisation that sent the request.
    Organisation(OrganisationId),
    /// The pool that the request addresses, for all organisations together.
    Pool(PoolId),
}

/// The retry budgets of all payers at this router.
///
/// Only buckets that are not full are stored, so that memory grows with the number of payers that
/// retry and not with the number of all payers.
#[derive(Debug)]
pub struct Budgets {
    cfg: Config,
    buckets: BTreeMap<Payer, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// The available retries at the time `filled`, in thousandths.
    level_millis: u64,
    filled: Time,
}

impl Budgets {
    /// Returns budgets that are full for all payers.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            buckets: BTreeMap::new(),
        }
    }

    /// Credits a payer with the retries earned by one accepted request.
    pub fn earn(&mut self, now: Time, payer: Payer) {
        if self.buckets.contains_key(&payer) {
            let level =
                self.level_millis(now, payer) + u64::from(self.cfg.retry_millis_per_request);
            self.store(now, payer, level);
        }
    }

    /// Sets the maximum number of retries that a payer can accumulate.
    pub const fn set_burst(&mut self, burst: u32) {
        self.cfg.retry_burst = burst;
    }

    /// Charges a payer for one retry.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not cover a retry. The error is the wait until it does.
    pub fn pay(&mut self, now: Time, payer: Payer) -> Result<(), Duration> {
        let level = self.level_millis(now, payer);
        if let Some(left) = level.checked_sub(MILLIS_PER_RETRY) {
            self.store(now, payer, left);
            return Ok(());
        }
        match u64::from(self.cfg.retry_millis_per_second) {
            0 => Err(UNTIMED_WAIT),
            rate => Err(Duration::from_millis(
                ((MILLIS_PER_RETRY - level) * 1_000).div_ceil(rate),
            )),
        }
    }

    /// Returns the number of payers whose budget is not full.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether every budget is full.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn full_millis(&self) -> u64 {
        u64::from(self.cfg.retry_burst) * MILLIS_PER_RETRY
    }

    fn level_millis(&self, now: Time, payer: Payer) -> u64 {
        let Some(bucket) = self.buckets.get(&payer) else {
            return self.full_millis();
        };
        let millis = u64::try_from(now.since(bucket.filled).as_millis()).unwrap_or(u64::MAX);
        let earned = millis.saturating_mul(u64::from(self.cfg.retry_millis_per_second)) / 1_000;
        bucket
            .level_millis
            .saturating_add(earned)
            .min(self.full_millis())
    }

    fn store(&mut self, now: Time, payer: Payer, level_millis: u64) {
        if level_millis >= self.full_millis() {
            self.buckets.remove(&payer);
        } else {
            let bucket = Bucket {
                level_millis,
                filled: now,
            };
            self.buckets.insert(payer, bucket);
        }
    }
}
