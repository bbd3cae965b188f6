//! The settings of claims.

use core::time::Duration;

/// How keys are claimed and how long they are remembered.
#[derive(Debug, Clone)]
pub struct Config {
    /// For how long claims are collected before they are appended together. Default: 5 ms.
    pub window: Duration,
    /// The most steps in one record. Default: 1000.
    pub batch_max: usize,
    /// The wait before a release that was not read back is appended again. Default: 1 s.
    pub release_retry: Duration,
    /// The most claims that are remembered. Older ones are forgotten and move the horizon.
    /// Default: 200000.
    pub keys_max: usize,
    /// How far a key may come from the future. Default: 5 s.
    pub ahead_max: Duration,
    /// How much older than a claim its key is taken to be at most, when records age out. At least
    /// twice `ahead_max`. Default: 60 s.
    pub margin: Duration,
    /// The time that the log may be out of sight while a key without a claim counts as not run.
    /// Default: 2 s.
    pub blind_max: Duration,
    /// For how long an issued key can be used. Default: 10 min.
    pub issued_valid: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(5),
            batch_max: 1_000,
            release_retry: Duration::from_secs(1),
            keys_max: 200_000,
            ahead_max: Duration::from_secs(5),
            margin: Duration::from_secs(60),
            blind_max: Duration::from_secs(2),
            issued_valid: Duration::from_secs(600),
        }
    }
}
