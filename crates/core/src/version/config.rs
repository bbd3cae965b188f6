//! Settings of this duty.

use crate::prelude::*;

/// How traffic moves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// In stages, with evidence.
    #[default]
    Staged,
    /// All at once, without evidence. This is the baseline of benchmarks.
    AtOnce,
}

/// How moves are watched.
#[derive(Debug, Clone)]
pub struct Config {
    /// How traffic moves. Default: staged.
    pub policy: Policy,
    /// The time between two looks at stages and evidence. Default: 500 ms.
    pub period: Duration,
    /// The time after which what is known of a move is told to peers again. Default: 2 s.
    pub repeat: Duration,
    /// The time after which a step that was not read back is appended again. Default: 5 s.
    pub append_retry: Duration,
    /// The age at which what is known of a move is appended again, so that it outlives its record; to
    /// be well below the log's retention. Default: 1 day.
    pub refresh: Duration,
    /// The shortest time in a stage. Default: 1 s.
    pub stage_min: Duration,
    /// The largest share of the new version before the move is final, in thousandths. Default: 1000, so
    /// that the stages alone decide.
    pub share_max: u32,
    /// How long before the finishing time a move ends. Default: none.
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
            share_max: 1_000,
            margin: Duration::ZERO,
        }
    }
}
