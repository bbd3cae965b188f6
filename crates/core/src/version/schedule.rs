//! The stages of a move, worked back from its finishing time.

use crate::prelude::*;

/// One stage of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stage {
    /// The share of the new version, in thousandths.
    share: u32,
    /// When the stage begins, in hundredths of the time between start and finishing time.
    begins: u32,
}

/// The stages. The last leaves one request in a hundred with the old version, so that the two can be
/// compared over the same time until the move is final.
const STAGES: [Stage; 6] = [
    stage(10, 0),
    stage(50, 20),
    stage(150, 35),
    stage(400, 50),
    stage(750, 65),
    stage(990, 80),
];
/// When the move becomes final at the earliest, in hundredths; the rest is left for the record to reach everyone.
const FINAL: u32 = 95;
/// The shortest time that is planned for a move, whatever finishing time was given.
const SPAN_MIN: Duration = Duration::from_secs(10);

/// All requests, in thousandths.
pub const ALL: u32 = 1_000;

/// What is due in a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// This stage.
    Stage(u8),
    /// The end.
    Finish,
}

/// Returns the share of the new version in a stage, in thousandths.
pub fn share(stage: u8) -> u32 {
    STAGES
        .get(usize::from(stage))
        .map_or(ALL, |stage| stage.share)
}

/// The last stage.
pub const LAST: u8 = (STAGES.len() - 1) as u8;

/// Returns the share of the new version in a stage, in thousandths, if a version that has not shown itself good gets
/// `unproven` at most. A stage beyond the first one that reaches this much begins only once the version has.
pub fn share_within(stage: u8, unproven: u32) -> u32 {
    if needs_proof(stage, unproven) {
        share(stage)
    } else {
        share(stage).min(unproven)
    }
}

/// Says whether a stage may begin only once the new version has shown itself good.
pub fn needs_proof(stage: u8, unproven: u32) -> bool {
    stage
        .checked_sub(1)
        .is_some_and(|before| share(before) >= unproven)
}

/// Returns what is due at `now` in a move that started at `start`.
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
    let passed = |hundredths: u32| now.since(start) >= span * hundredths / 100;
    if passed(FINAL) {
        return Due::Finish;
    }
    let begun = STAGES.iter().filter(|stage| passed(stage.begins)).count();
    let last = begun.saturating_sub(1);
    Due::Stage(u8::try_from(last).unwrap_or(u8::MAX))
}

const fn stage(share: u32, begins: u32) -> Stage {
    Stage { share, begins }
}
