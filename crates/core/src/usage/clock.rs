//! The fleet's time, from the wall clocks of many routers.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The age from which a reading of a peer's wall clock is not used: five reports.
const READING_AGE_MAX: Duration = Duration::from_secs(5);
/// How long the median counts as followed: two reports.
const SETTLED_FOR: Duration = Duration::from_secs(2);
/// A jump of the wall clock against the steady clock from which this router may have been suspended,
/// so that the readings of its peers' clocks are void. Far above what clocks are slewed in a second.
const JUMP_MIN_US: u64 = 500_000;

/// This router's estimate of the fleet's time.
///
/// Wall clocks may step by seconds. The steady clock does not, so the estimate is the steady clock
/// plus an offset that follows the median of the fleet. Routers that do not hear the others' clocks
/// get the time from the holder of the duties.
#[derive(Debug, Default)]
pub(super) struct Clock {
    /// The fleet's time minus the steady clock, in microseconds.
    offset: Option<i64>,
    /// The last reading of this router's wall clock, minus the steady clock.
    own: Option<i64>,
    /// Readings of peers' wall clocks minus the steady clock of this router, and when they arrived.
    readings: BTreeMap<RouterId, (Time, i64)>,
    /// When the estimate last followed the median of most routers.
    settled: Option<Time>,
}

impl Clock {
    /// Returns the fleet's time, unless no clock was read.
    pub(super) fn time(&self, now: Time) -> Option<Time> {
        self.offset.map(|offset| shifted(now, offset))
    }

    /// Returns this router's wall clock.
    pub(super) fn wall(&self, now: Time) -> Option<Time> {
        self.own.map(|offset| shifted(now, offset))
    }

    /// Records a reading of this router's wall clock.
    pub(super) fn on_wall(&mut self, now: Time, wall: Time) {
        let offset = difference(wall, now);
        let before = self.own.replace(offset);
        if before.is_some_and(|before| offset.abs_diff(before) >= JUMP_MIN_US) {
            self.readings.clear();
            self.settled = None;
        }
        self.offset.get_or_insert(offset);
    }

    /// Returns the fleet's time, if the estimate follows the median of most routers.
    pub(super) fn settled_time(&self, now: Time) -> Option<Time> {
        let settled = self.settled?;
        (now.since(settled) < SETTLED_FOR)
            .then(|| self.time(now))
            .flatten()
    }

    /// Records the wall clock of a peer. Its age is that of the message, some milliseconds.
    pub(super) fn on_reading(&mut self, now: Time, from: RouterId, wall: Time) {
        self.readings.insert(from, (now, difference(wall, now)));
    }

    /// Applies the fleet's time, sent by the holder between `echo` and `now`. The estimate moves by
    /// no more than the answer proves wrong, so that a slow link does not disturb it.
    pub(super) fn on_answer(&mut self, now: Time, echo: Time, time: Time) {
        let earliest = difference(time, now);
        let latest = difference(time, echo.min(now));
        if let Some(offset) = &mut self.offset {
            *offset = (*offset).clamp(earliest, latest);
        }
    }

    /// Sets the estimate to the median of the wall clocks, if those of more than half of `routers`
    /// routers are known.
    pub(super) fn follow_median(&mut self, now: Time, routers: usize) {
        self.readings
            .retain(|_, (at, _)| now.since(*at) < READING_AGE_MAX);
        let peers = self.readings.values().map(|&(_, offset)| offset);
        let mut offsets: Vec<i64> = peers.chain(self.own).collect();
        if offsets.len() * 2 <= routers {
            return;
        }
        offsets.sort_unstable();
        let upper = offsets[offsets.len() / 2];
        let lower = offsets[(offsets.len() - 1) / 2];
        let offset = self.offset.unwrap_or(lower);
        // Between the two middle clocks of an even number nothing tells which one is right.
        self.offset = Some(offset.clamp(lower, upper));
        self.settled = Some(now);
    }
}

fn shifted(time: Time, offset: i64) -> Time {
    Time(time.0.saturating_add_signed(offset))
}

/// Returns `a` minus `b` in microseconds.
fn difference(a: Time, b: Time) -> i64 {
    let signed = |time: Time| i64::try_from(time.0).unwrap_or(i64::MAX);
    signed(a).saturating_sub(signed(b))
}
