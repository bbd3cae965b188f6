//! Token buckets that bound retries.

use std::collections::BTreeMap;

use crate::attempt::Config;
use crate::prelude::*;

/// The wait that is proposed where only further requests fill a budget.
const UNTIMED_WAIT: Duration = Duration::from_secs(1);
/// The price of one retry, in thousandths.
const RETRY: u64 = 1_000;

/// Who pays for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payer {
    /// The organisation whose request it is.
    Organisation(OrganisationId),
    /// The pool that is asked again, whoever asks.
    Pool(PoolId),
}

/// The retries that each payer may still make at this router.
///
/// Only buckets that are not full are stored, so that memory grows with the payers that retry and not with
/// all of them.
#[derive(Debug)]
pub struct Budgets {
    cfg: Config,
    buckets: BTreeMap<Payer, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Thousandths of retries.
    level: u64,
    filled: Time,
}

impl Budgets {
    /// Returns budgets that are full for everybody.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            buckets: BTreeMap::new(),
        }
    }

    /// Credits an accepted request.
    pub fn earn(&mut self, now: Time, payer: Payer) {
        if self.buckets.contains_key(&payer) {
            let level = self.level(now, payer) + u64::from(self.cfg.retry_millis_per_request);
            self.store(now, payer, level);
        }
    }

    /// Sets how many retries can be saved up.
    pub const fn set_burst(&mut self, burst: u32) {
        self.cfg.retry_burst = burst;
    }

    /// Pays for one retry.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent, with the time after which it suffices again.
    pub fn pay(&mut self, now: Time, payer: Payer) -> Result<(), Duration> {
        let level = self.level(now, payer);
        if let Some(left) = level.checked_sub(RETRY) {
            self.store(now, payer, left);
            return Ok(());
        }
        match u64::from(self.cfg.retry_millis_per_second) {
            0 => Err(UNTIMED_WAIT),
            rate => Err(Duration::from_millis(
                ((RETRY - level) * 1_000).div_ceil(rate),
            )),
        }
    }

    /// Returns how many payers have spent part of their budget.
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

    fn level(&self, now: Time, payer: Payer) -> u64 {
        let Some(bucket) = self.buckets.get(&payer) else {
            return self.full();
        };
        let millis = u64::try_from(now.since(bucket.filled).as_millis()).unwrap_or(u64::MAX);
        let earned = millis.saturating_mul(u64::from(self.cfg.retry_millis_per_second)) / 1_000;
        bucket.level.saturating_add(earned).min(self.full())
    }

    fn store(&mut self, now: Time, payer: Payer, level: u64) {
        if level >= self.full() {
            self.buckets.remove(&payer);
        } else {
            self.buckets.insert(payer, Bucket { level, filled: now });
        }
    }
}
