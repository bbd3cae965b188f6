//! Settings of target health and limits.

use crate::prelude::*;

/// How the limit of a target is determined.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The limit starts at one and grows with finished answers.
    #[default]
    WarmUp,
    /// The limit always equals the slots of the catalogue entry. This is the baseline of
    /// benchmarks.
    Full,
}

/// The settings for the limits and the health of targets.
#[derive(Debug, Clone)]
pub struct Config {
    /// How the limit is determined. Default: warm-up.
    pub policy: Policy,
    /// The shortest time between two increases of a limit. Default: 1 s.
    pub step: Duration,
    /// The shortest time between two halvings of a limit, so that one event counts once.
    /// Default: 200 ms.
    pub halving: Duration,
    /// The first back-off after a target did not answer. The back-off doubles each time.
    /// Default: 100 ms.
    pub hold: Duration,
    /// The longest back-off. Default: 5 s.
    pub hold_max: Duration,
    /// The time without a report or an answer after which a target that has reported its load
    /// becomes cold. Default: 5 s.
    pub report_timeout: Duration,
    /// The time from the dispatch after which an answer that has not started is late. Default: 3 s.
    pub start_max: Duration,
    /// The duration after which a stream that is still in progress counts as a finished answer.
    /// Default: 10 s.
    pub stream: Duration,
    /// The interval of the checks for changed owners, changed data centres and unresponsive
    /// targets. Default: 500 ms.
    pub period: Duration,
    /// The interval at which an owner sends an unchanged limit to its standbys again.
    /// Default: 30 s.
    pub repeat: Duration,
    /// The number of routers, next in rank after the owner of a target, that receive its limit.
    /// Default: 7.
    pub standbys: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::WarmUp,
            step: Duration::from_secs(1),
            halving: Duration::from_millis(200),
            hold: Duration::from_millis(100),
            hold_max: Duration::from_secs(5),
            report_timeout: Duration::from_secs(5),
            start_max: Duration::from_secs(3),
            stream: Duration::from_secs(10),
            period: Duration::from_millis(500),
            repeat: Duration::from_secs(30),
            standbys: 7,
        }
    }
}
