//! Settings of this component.

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

/// What a new version may get of a pool's requests from the order to the finishing time, while the move is not final.
/// A version may turn bad at any time, so all that it gets counts, not only what it harms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exposure {
    /// The share, in thousandths.
    pub share: u32,
    /// So many requests beyond it.
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
    /// The largest share of the new version before it has shown itself good, in thousandths. Default: 400, at which a
    /// pool with a request a second shows it in half a minute.
    pub share_max: u32,
    /// The bad answers after which a version that never showed itself good is taken back, whatever the old version
    /// does. Default: 40, a little below what the users allow.
    pub harm_max: u32,
    /// What the new version may get in all before the move is final. Default: everything.
    pub exposure: Exposure,
    /// The shortest time in the last stage before the move is final. Default: 1 s.
    pub watch: Duration,
    /// How many routers see the evidence of all and take steps, so that one that cannot read the catalogue holds
    /// nothing up. Default: 5, all of which one blind router in two leaves out once in thirty moves.
    pub deciders: usize,
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
            share_max: 400,
            harm_max: 40,
            exposure: Exposure::default(),
            watch: Duration::from_secs(1),
            deciders: 5,
            margin: Duration::ZERO,
        }
    }
}
