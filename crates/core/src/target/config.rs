//! Settings of this component.

use crate::prelude::*;

/// How the limit of a target is found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// It starts at one and grows with finished answers.
    #[default]
    WarmUp,
    /// It is always the slots of the catalogue entry. This is the baseline of benchmarks.
    Full,
}

/// How quickly trust in a target grows and is lost.
#[derive(Debug, Clone)]
pub struct Config {
    /// How the limit is found. Default: warm-up.
    pub policy: Policy,
    /// The shortest time between two steps of growth. Default: 1 s.
    pub step: Duration,
    /// The shortest time between two halvings, so that one event counts once. Default: 200 ms.
    pub halving: Duration,
    /// The first hold after a target did not answer; it doubles each time. Default: 100 ms.
    pub hold: Duration,
    /// The longest hold. Default: 5 s.
    pub hold_max: Duration,
    /// The silence after which a target that reported its load is cold. Default: 5 s.
    pub silence: Duration,
    /// The longest wait for the start of an answer. Default: 3 s.
    pub start_max: Duration,
    /// A stream that flows for this long counts as much as a finished answer. Default: 10 s.
    pub stream: Duration,
    /// The time between two looks at owners, data centres and silence. Default: 500 ms.
    pub period: Duration,
    /// The time after which an owner repeats a limit to its standbys. Default: 30 s.
    pub repeat: Duration,
    /// How many routers, next in rank for a target, learn its limit. Default: 7.
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
            silence: Duration::from_secs(5),
            start_max: Duration::from_secs(3),
            stream: Duration::from_secs(10),
            period: Duration::from_millis(500),
            repeat: Duration::from_secs(30),
            standbys: 7,
        }
    }
}
