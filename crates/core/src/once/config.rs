//! The settings of idempotency keys.

use core::time::Duration;

/// How keys are claimed and how long they are remembered.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long claims are collected before they are appended in one record. Default: 5 ms.
    pub window: Duration,
    /// The maximum number of steps in one record. Default: 1000.
    pub batch_max: usize,
    /// The time after which a release that was not read from the log is appended again. Default: 1
    /// s.
    pub release_retry: Duration,
    /// The maximum number of claims in memory. Beyond it the oldest are forgotten, which moves the
    /// horizon forward. Default: 200000.
    pub keys_max: usize,
    /// How far the time of a key may lie in the future. Default: 5 s.
    pub ahead_max: Duration,
    /// The assumed maximum by which the time of a key lies after the time of the record of its
    /// claim. Added to the time of the newest lost record, it gives the horizon. At least twice
    /// `ahead_max`. Default: 60 s.
    pub margin: Duration,
    /// How long the log may be unreadable while a request whose key has no claim still counts as
    /// not run. Default: 2 s.
    pub log_outage_max: Duration,
    /// How long an issued key can be used. Default: 10 min.
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
            log_outage_max: Duration::from_secs(2),
            issued_valid: Duration::from_secs(600),
        }
    }
}
