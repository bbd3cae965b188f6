//! Settings of version moves.

use crate::prelude::*;

/// How traffic moves from the old version of a pool to the new one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// In stages, each of which starts only if the evidence allows it.
    #[default]
    Staged,
    /// All at once, regardless of evidence. This is the baseline of benchmarks.
    AtOnce,
}

/// The limit on a pool's requests that may go to a new version from the order of a move to its
/// finishing time, as long as the move is not final. All requests to the new version count, not
/// only those with a bad answer, because the version may turn bad at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exposure {
    /// The limit as a share of the pool's requests, in thousandths.
    pub share: u32,
    /// The number of requests that are permitted in addition to the share.
    pub slack: u32,
}

impl Default for Exposure {
    fn default() -> Self {
        Self {
            share: 1_000,
            slack: 0,
        }
    }
}

/// The settings of version moves.
#[derive(Debug, Clone)]
pub struct Config {
    /// How traffic moves from one version to the next. Default: staged.
    pub policy: Policy,
    /// The interval between two checks of stages and evidence. Default: 500 ms.
    pub period: Duration,
    /// The interval at which the facts about a move are sent to peers again, and the complete
    /// totals to deciders. Default: 2 s.
    pub repeat: Duration,
    /// The time after which a step is appended to the log again if it has not been read back.
    /// Default: 5 s.
    pub append_retry: Duration,
    /// The age at which the facts about a move are appended to the log again, so that they outlive
    /// the record's retention. Must be well below the retention of the log. Default: 1 day.
    pub refresh: Duration,
    /// The shortest duration of a stage. Default: 1 s.
    pub stage_min: Duration,
    /// The largest share of the new version before a good verdict, in thousandths. Default: 400, at
    /// which a pool with one request per second reaches a good verdict in half a minute.
    pub share_max: u32,
    /// The number of bad answers after which a move is rolled back if the new version has never had
    /// a good verdict, whatever the old version does. Default: 40, slightly below the number that
    /// users accept.
    pub harm_max: u32,
    /// The limit on all requests to the new version before the move is final. Default: no limit.
    pub exposure: Exposure,
    /// The shortest duration of the last stage before the move may finish. Default: 1 s.
    pub final_stage_min: Duration,
    /// The number of routers per move that receive the evidence of all routers and take steps, so
    /// that a router that cannot read the catalogue does not delay the move. Default: 5. If one
    /// router in two cannot read the catalogue, no decider can in about one move in thirty.
    pub deciders: usize,
    /// How long before its finishing time a move is planned to end. Default: zero.
    pub margin: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::Staged,
            period: Duration::from_millis(500),
            repeat: Duration::from_secs(2),
            append_retry: Duration::from_secs(5),
            refresh: Duration::from_secs(24 * 3_600),
            stage_min: Duration::from_secs(1),
            share_max: 400,
            harm_max: 40,
            exposure: Exposure::default(),
            final_stage_min: Duration::from_secs(1),
            deciders: 5,
            margin: Duration::ZERO,
        }
    }
}
