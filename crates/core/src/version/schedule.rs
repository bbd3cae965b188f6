//! The stages of a move, computed backwards from its finishing time.

use crate::prelude::*;

/// One stage of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stage {
    /// The share of the new version during the stage, in thousandths.
    share: u32,
    /// When the stage starts, as a percentage of the time from the start to the finishing time of
    /// the move.
    begins: u32,
}

/// The stages of every move. The last one leaves one request in a hundred with the old version, so
/// that the two versions can be compared over the same time until the move is final.
const STAGES: [Stage; 6] = [
    stage(10, 0),
    stage(50, 20),
    stage(150, 35),
    stage(400, 50),
    stage(750, 65),
    stage(990, 80),
];
/// When a move may finish at the earliest, as a percentage of the time from its start to its
/// finishing time. The remainder is for distributing the record to all routers.
const FINISH_PERCENT: u32 = 95;
/// The shortest planned duration of a move, whatever its finishing time.
const SPAN_MIN: Duration = Duration::from_secs(10);

/// The share that stands for all requests, in thousandths.
pub const FULL_SHARE: u32 = 1_000;

/// The step of a move that is due by the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The stage with this index.
    Stage(u8),
    /// The end of the move: all requests go to the new version.
    Finish,
}

/// Returns the share of the new version in a stage, in thousandths.
///
/// A stage index beyond the last stage yields [`FULL_SHARE`].
pub fn share(stage: u8) -> u32 {
    STAGES
        .get(usize::from(stage))
        .map_or(FULL_SHARE, |stage| stage.share)
}

/// The index of the last stage.
pub const LAST_STAGE: u8 = (STAGES.len() - 1) as u8;

/// Returns the share of the new version in a stage, in thousandths, limited to `unproven_max` as
/// long as the stage requires no good verdict on the new version.
pub fn share_within(stage: u8, unproven_max: u32) -> u32 {
    if needs_proof(stage, unproven_max) {
        share(stage)
    } else {
        share(stage).min(unproven_max)
    }
}

/// Returns whether a stage may start only after a good verdict on the new version. This holds for
/// every stage after the first one whose share reaches `unproven_max`, in thousandths.
pub fn needs_proof(stage: u8, unproven_max: u32) -> bool {
    stage
        .checked_sub(1)
        .is_some_and(|before| share(before) >= unproven_max)
}

/// Returns the step that is due at `now` in a move that started at `start`.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use bulrushtrestle_core::time::Time;
/// use bulrushtrestle_core::version::schedule::{Due, due};
///
/// let start = Time::from_millis(0);
/// let finish_at = start + Duration::from_secs(100);
/// assert_eq!(due(start, start, finish_at), Due::Stage(0));
/// assert_eq!(due(start + Duration::from_secs(81), start, finish_at), Due::Stage(5));
/// assert_eq!(due(start + Duration::from_secs(95), start, finish_at), Due::Finish);
/// ```
pub fn due(now: Time, start: Time, finish_at: Time) -> Due {
    let span = finish_at.since(start).max(SPAN_MIN);
    let passed = |percent: u32| now.since(start) >= span * percent / 100;
    if passed(FINISH_PERCENT) {
        return Due::Finish;
    }
    let started = STAGES.iter().filter(|stage| passed(stage.begins)).count();
    let current = started.saturating_sub(1);
    Due::Stage(u8::try_from(current).unwrap_or(u8::MAX))
}

const fn stage(share: u32, begins: u32) -> Stage {
    Stage { share, begins }
}
