//! The paced targets, and what each bore so far.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::limit::{Meter, Part, Rate};
use crate::prelude::*;

/// The rate at which a target of a pool without a limit on cold targets begins.
const START: Rate = Rate::from_millis(8_000);
/// The lowest pace, so that a target that recovers is noticed.
const PACE_MIN: Rate = Rate::from_millis(1_000);
/// The highest pace. Pacing has ended long before, or the rates of the pool are not those of a model.
const PACE_MAX: Rate = Rate::from_millis(100_000_000);
/// The ratio to the usual time above which an answer is slow. Targets of one pool differ in speed by
/// a factor of two.
const SLOW_FACTOR: u32 = 3;
/// The shortest time that is slow: scheduling on a busy VM takes this long.
const SLOW_MIN: Duration = Duration::from_millis(20);
/// The shortest time between two halvings, so that the failures of one moment count once.
const HALVING: Duration = Duration::from_millis(200);
/// The shortest round.
const ROUND_MIN: Duration = Duration::from_millis(200);
/// The round of a router that sends nothing: the time until the reports of the others contain the
/// requests that were sent at the present pace.
const ROUND_OF_OTHERS: Duration = Duration::from_millis(500);
/// The lowest demand for which pacing goes on, in thousandths of a request per second.
const DEMAND_MIN_MILLIS: u64 = 1_000;
/// When pacing without trouble ends at the latest: a target that nobody uses is not paced forever.
const PACED_MAX: Duration = Duration::from_secs(30);

/// The targets that are paced.
#[derive(Debug, Default)]
pub struct Pace {
    /// Where this router's permits begin between those of the others, as a fraction of 2^64.
    offset: u64,
    targets: BTreeMap<TargetId, Paced>,
}

#[derive(Debug)]
struct Paced {
    pool: PoolId,
    /// The requests per second that the target bears from the whole fleet, by this router's estimate.
    pace: Rate,
    /// The pace at the start, which is the allowance of a cold target.
    start: Rate,
    /// Whether the limit on cold targets applies.
    is_cold: bool,
    meter: Meter,
    /// When the present round began.
    round_since: Time,
    /// The requests that this router sent in the present round.
    sent: u32,
    /// How many of them were answered quickly.
    quick: u32,
    /// Whether the target has borne its pace for a round since it was last cold.
    has_grown: bool,
    /// When pacing started or the pace was last halved.
    troubled_at: Time,
    halved_at: Option<Time>,
    /// Whether no answer has been quick since the pace was last halved.
    is_in_trouble: bool,
}

/// A change of a target's pace that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Pacing started at this rate.
    Started(Rate),
    /// The pace was halved to this rate.
    Halved(Rate),
    /// The pace is no bound any more.
    Ended,
}

/// What a router knows of a paced target beside its own requests.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings {
    /// Whether the target is or may be cold.
    pub is_cold: bool,
    /// This router's part of the pace.
    pub part: Part,
    /// The requests of all routers at the target.
    pub running: u32,
}

impl Pace {
    /// Sets this router's rank among the routers, which spreads the permits of all routers evenly
    /// over time.
    pub fn set_rank(&mut self, rank: usize, routers: usize) {
        self.offset = u64::MAX / (routers as u64).max(1) * rank as u64;
    }

    /// Starts to pace a target that has started or recovered, at what the pool allows a cold target
    /// (zero: no limit is stated). A target that is paced goes on from its present pace if that is
    /// lower.
    pub fn on_start(
        &mut self,
        now: Time,
        (pool, target): (PoolId, TargetId),
        cold_per_s: u32,
    ) -> Option<Change> {
        let start = match cold_per_s {
            0 => START,
            stated => Rate::from_millis(u64::from(stated) * 1_000),
        };
        if let Some(paced) = self.targets.get_mut(&target) {
            paced.pace = paced.pace.min(start);
            paced.start = start;
            paced.has_grown = false;
            paced.troubled_at = now;
            paced.begin_round(now);
            return None;
        }
        let fraction = xxh3_64(&target.0.to_le_bytes()).wrapping_add(self.offset);
        let paced = Paced {
            pool,
            pace: start,
            start,
            is_cold: false,
            meter: Meter::new(now, fraction),
            round_since: now,
            sent: 0,
            quick: 0,
            has_grown: false,
            troubled_at: now,
            halved_at: None,
            is_in_trouble: false,
        };
        self.targets.insert(target, paced);
        Some(Change::Started(start))
    }

    /// Records that an answer to a request of `sent` started after `took`. Without a usual time no
    /// answer is slow.
    pub fn on_answer(
        &mut self,
        now: Time,
        target: TargetId,
        (sent, took): (Time, Duration),
        usual: Option<Duration>,
    ) -> Option<Change> {
        let paced = self.targets.get_mut(&target)?;
        let is_slow = usual.is_some_and(|usual| took > (usual * SLOW_FACTOR).max(SLOW_MIN));
        if is_slow {
            return paced.halve(now);
        }
        if sent >= paced.round_since {
            paced.quick += 1;
            paced.is_in_trouble = false;
        }
        None
    }

    /// Records that a target refused a request or broke off its answer.
    pub fn on_refused(&mut self, now: Time, target: TargetId) -> Option<Change> {
        self.targets.get_mut(&target)?.halve(now)
    }

    /// Sets this router's part of a target's pace, and ends the round or the pacing if that is due.
    pub fn update(
        &mut self,
        now: Time,
        target: TargetId,
        surroundings: Surroundings,
    ) -> Option<Change> {
        let paced = self.targets.get_mut(&target)?;
        paced.set_cold(now, surroundings.is_cold);
        if !paced.is_cold {
            paced.grow_if_due(now, surroundings);
        }
        let part = surroundings.part;
        let rate = part.of(paced.pace);
        paced
            .meter
            .set_rate(now, rate, part.keeps_permit(paced.pace));
        let demand = part.own.saturating_mul(1_000).max(DEMAND_MIN_MILLIS);
        let is_no_bound = paced.has_grown && rate.as_millis() >= demand;
        let is_over = now.since(paced.troubled_at) >= PACED_MAX;
        if paced.is_cold || !(is_no_bound || is_over) {
            return None;
        }
        self.targets.remove(&target);
        Some(Change::Ended)
    }

    /// Adds the permits that have accrued.
    pub fn advance(&mut self, now: Time) {
        for paced in self.targets.values_mut() {
            paced.meter.advance(now);
        }
    }

    /// Returns whether this router may send a target a request now.
    pub fn allows(&self, target: TargetId) -> bool {
        let Some(paced) = self.targets.get(&target) else {
            return true;
        };
        paced.is_left_to_cold_limit() || paced.meter.permits() > 0
    }

    /// Records that a request is sent to a target.
    pub fn on_dispatch(&mut self, target: TargetId) {
        if let Some(paced) = self.targets.get_mut(&target) {
            paced.sent += 1;
            if !paced.is_left_to_cold_limit() {
                paced.meter.spend();
            }
        }
    }

    /// Returns the paced targets and their pools.
    pub fn targets(&self) -> impl Iterator<Item = (TargetId, PoolId)> {
        self.targets
            .iter()
            .map(|(&target, paced)| (target, paced.pool))
    }

    /// Returns whether a target is paced.
    pub fn is_paced(&self, target: TargetId) -> bool {
        self.targets.contains_key(&target)
    }

    /// Returns the requests per second at which the whole fleet may use a target, if it is paced.
    pub fn pace(&self, target: TargetId) -> Option<Rate> {
        self.targets.get(&target).map(|paced| paced.pace)
    }

    /// Drops targets that are unknown.
    pub fn retain_known(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.targets.retain(|&target, _| is_known(target));
    }
}

impl Paced {
    fn begin_round(&mut self, now: Time) {
        self.round_since = now;
        self.sent = 0;
        self.quick = 0;
    }

    /// Says whether the target is cold and has borne its allowance, so that the limit on cold targets
    /// alone applies.
    fn is_left_to_cold_limit(&self) -> bool {
        self.is_cold && self.pace >= self.start
    }

    /// Sets whether the target is cold. What accrued while it was cold is not used afterwards.
    fn set_cold(&mut self, now: Time, is_cold: bool) {
        if self.is_cold && !is_cold {
            self.meter.advance(now);
            self.meter.drop_permits();
            self.begin_round(now);
        }
        if !self.is_cold && is_cold {
            self.pace = self.pace.min(self.start);
            self.has_grown = false;
        }
        self.is_cold = is_cold;
    }

    fn halve(&mut self, now: Time) -> Option<Change> {
        if self.halved_at.is_some_and(|at| now.since(at) < HALVING) {
            return None;
        }
        self.halved_at = Some(now);
        self.is_in_trouble = true;
        self.troubled_at = now;
        self.has_grown = false;
        self.begin_round(now);
        self.meter.drop_permits();
        let halved = Rate::from_millis(self.pace.as_millis() / 2).max(PACE_MIN);
        let is_lower = halved < self.pace;
        self.pace = halved.min(self.pace);
        is_lower.then_some(Change::Halved(self.pace))
    }

    /// Doubles the pace if a round has ended in which the target bore it.
    fn grow_if_due(&mut self, now: Time, surroundings: Surroundings) {
        let age = now.since(self.round_since);
        let is_borne = match self.sent {
            // The others' requests do not pile up at the target. After trouble this does not count:
            // a target that refuses everything has no requests.
            0 => {
                let seconds_worth = self.pace.as_millis() / 1_000;
                let is_piled_up = u64::from(surroundings.running) > seconds_worth;
                let others_send = surroundings.part.others > 0 && !is_piled_up;
                age >= ROUND_OF_OTHERS && others_send && !self.is_in_trouble
            }
            sent => age >= ROUND_MIN && self.quick >= sent.div_ceil(2),
        };
        if !is_borne {
            return;
        }
        self.pace = Rate::from_millis(self.pace.as_millis().saturating_mul(2)).min(PACE_MAX);
        self.has_grown = true;
        self.begin_round(now);
    }
}
