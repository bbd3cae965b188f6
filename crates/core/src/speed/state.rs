//! What a router knows of the speed of targets.

use std::collections::BTreeMap;

use crate::ascending::AscendingLookup;
use crate::prelude::*;
use crate::speed::message::SpeedRow;
use crate::speed::{ReadRate, STATED_WEARS_OFF, WORK_RANGE, WORK_USUAL};

/// The age up to which what was seen of a target counts in full. A router of a large fleet sees an
/// answer of each target every few seconds.
const KEPT: Duration = Duration::from_secs(10);
/// The time after [`KEPT`] in which what was seen wears off to the usual.
const WEARS_OFF: Duration = Duration::from_secs(10);

/// The fewest tokens of which the time to read them says something of the speed. Fewer are read in a
/// part of a step.
const TOKENS_MIN: u64 = 2_048;
/// The part of the time to the first event that is not spent reading: network and the steps that
/// generate the event.
const START_OVERHEAD: Duration = Duration::from_millis(20);
/// The range of the work that a single answer may show; others are clamped.
const ANSWER_RANGE: core::ops::RangeInclusive<u64> = 25..=400;
/// The weight of an answer in the mean, as a divisor.
const ANSWER_DIVISOR: i64 = 4;
/// The answers from which the mean is used.
const ANSWERS_MIN: u32 = 4;
/// The difference from the usual that answers have to show, in hundredths. Their times depend also on
/// requests that this router does not know of yet.
const LEARNT_DIFFERENCE_MIN: u32 = 25;
/// The step in which work counts, in hundredths, so that targets of nearly equal speed are equal.
const WORK_STEP: u32 = 10;
/// How many times as fast as its answers show a target may state that it is, and how many times as
/// slow. Neighbours slow a machine for short times, so it is often slower than most answers show; and a
/// few late answers must not make a fast target count as slow.
const STATED_FASTER_MAX: u32 = 3;
const STATED_SLOWER_MAX: u32 = 4;

/// The work from which a target is slow.
const SLOW_WORK: u32 = 130;

/// What is known of the speed of targets and pools.
#[derive(Debug, Default)]
pub struct Speeds {
    targets: BTreeMap<TargetId, TargetSpeed>,
    rates: BTreeMap<PoolId, PoolRates>,
}

/// The median rates of a pool.
#[derive(Debug, Clone, Copy)]
struct PoolRates {
    /// The rate of targets of usual work that had nothing else to read.
    alone: ReadRate,
    /// The rate of all targets, whatever they had to read. Routers know of requests of others late, so
    /// answers are compared with others that were seen in the same way.
    all: ReadRate,
}

/// What counts of what is known of the speed of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// What targets state.
    Stated,
    /// What targets state, and for those that state nothing what their answers show. Times of answers
    /// vary also among equal targets.
    Answers,
}

/// A prompt that was read, as known to the router that sent it.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The tokens that the target had to read before its first event, including those of requests
    /// before this one.
    pub tokens: u64,
    /// Whether the target had nothing else to read.
    pub is_alone: bool,
    /// The time from dispatch to the first event.
    pub took: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct TargetSpeed {
    stated: Option<Stated>,
    learnt: Option<Learnt>,
}

/// What a target states.
#[derive(Debug, Clone, Copy)]
struct Stated {
    at: Time,
    last: u32,
    /// The work that the target states for most of the time.
    level: u32,
}

/// What a target's answers show.
#[derive(Debug, Clone, Copy)]
struct Learnt {
    at: Time,
    work: u32,
    answers: u32,
}

impl Stated {
    fn first(at: Time, work: u32) -> Self {
        Self {
            at,
            last: work,
            level: work,
        }
    }

    fn observe(&mut self, at: Time, work: u32) {
        self.at = at;
        self.last = work;
        self.level = match work < self.level {
            true => u32::midpoint(self.level, work),
            false => (self.level + (self.level / 16).max(1)).min(work),
        };
    }

    fn work(&self, now: Time) -> u32 {
        let age = now.since(self.at);
        if age < STATED_WEARS_OFF {
            return blend(self.last, self.level, age, STATED_WEARS_OFF);
        }
        worn(self.level, age)
    }
}

impl TargetSpeed {
    fn stated(&self, now: Time) -> Option<u32> {
        Some(self.stated?.work(now))
    }

    fn learnt(&self, now: Time) -> Option<u32> {
        let learnt = self.learnt.filter(|it| it.answers >= ANSWERS_MIN)?;
        Some(worn(learnt.work, now.since(learnt.at)))
    }

    fn work(&self, now: Time, basis: Basis) -> u32 {
        let work = match (self.stated(now), self.learnt(now)) {
            (Some(stated), Some(learnt)) => stated.clamp(
                learnt / STATED_FASTER_MAX,
                learnt.saturating_mul(STATED_SLOWER_MAX),
            ),
            (Some(stated), None) => stated,
            (None, _) if basis == Basis::Stated => WORK_USUAL,
            (None, Some(learnt)) if learnt.abs_diff(WORK_USUAL) >= LEARNT_DIFFERENCE_MIN => learnt,
            (None, _) => WORK_USUAL,
        };
        let work = (work + WORK_STEP / 2) / WORK_STEP * WORK_STEP;
        work.clamp(*WORK_RANGE.start(), *WORK_RANGE.end())
    }
}

impl Speeds {
    /// Returns the work of a target.
    pub fn work(&self, now: Time, target: TargetId) -> u32 {
        let known = self.targets.get(&target);
        known.map_or(WORK_USUAL, |known| known.work(now, Basis::Answers))
    }

    /// Returns a lookup of the work of targets, which takes one pass over targets in ascending order.
    /// `basis` says what counts.
    pub fn work_each(&self, now: Time, basis: Basis) -> impl FnMut(TargetId) -> u32 {
        let mut known = AscendingLookup::new(&self.targets);
        move |target| {
            let known = known.get(target);
            known.map_or(WORK_USUAL, |known| known.work(now, basis))
        }
    }

    /// Returns the rate at which the targets of a pool usually read; `assumed` is the rate in tokens
    /// per millisecond without any answer.
    pub fn rate(&self, pool: PoolId, assumed: u32) -> ReadRate {
        let known = self.rates.get(&pool).map(|rates| rates.alone);
        known.unwrap_or_else(|| ReadRate::new(assumed))
    }

    /// Records the work that a target stated in an answer. Returns a row for the peers if it differs
    /// by a tenth from what was known.
    pub fn on_stated(&mut self, now: Time, target: TargetId, work: u16) -> Option<SpeedRow> {
        let before = self.targets.get(&target).and_then(|it| it.stated(now));
        let before = before.unwrap_or(WORK_USUAL);
        self.record(now, target, work);
        let is_news = before.abs_diff(u32::from(work)) >= before.div_ceil(10);
        is_news.then_some(SpeedRow { target, work })
    }

    /// Records the work that a target stated to a peer.
    pub fn on_peer_row(&mut self, now: Time, row: SpeedRow) {
        self.record(now, row.target, row.work);
    }

    fn record(&mut self, now: Time, target: TargetId, work: u16) {
        let work = u32::from(work);
        match &mut self.targets.entry(target).or_default().stated {
            Some(stated) => stated.observe(now, work),
            stated => *stated = Some(Stated::first(now, work)),
        }
    }

    /// Records how long a target took to read a prompt. `assumed` is the rate in tokens per
    /// millisecond that is expected without any answer.
    pub fn on_read(
        &mut self,
        now: Time,
        (pool, target): (PoolId, TargetId),
        assumed: u32,
        reading: Reading,
    ) {
        if reading.tokens < TOKENS_MIN {
            return;
        }
        let took = reading.took.saturating_sub(START_OVERHEAD);
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let known = self.targets.entry(target).or_default();
        let rates = self.rates.entry(pool).or_insert_with(|| PoolRates {
            alone: ReadRate::new(assumed),
            all: ReadRate::new(assumed),
        });
        let stated = known.stated(now).unwrap_or(WORK_USUAL);
        // What the target states explains a part of the time; the rates are those of usual work.
        let per_ms = reading.tokens.saturating_mul(u64::from(stated) * 1_000) / micros;
        let per_ms = u32::try_from(per_ms).unwrap_or(u32::MAX);
        rates.all.observe(per_ms);
        if reading.is_alone {
            rates.alone.observe(per_ms);
        }
        if !rates.all.is_known() {
            return;
        }
        let usual = u64::from(rates.all.per_ms());
        // The rate is in hundredths of a token per millisecond, the work in hundredths as well.
        let work = usual.saturating_mul(micros) / 1_000 / reading.tokens;
        let work = work.clamp(*ANSWER_RANGE.start(), *ANSWER_RANGE.end());
        let learnt = known.learnt.get_or_insert(Learnt {
            at: now,
            work: WORK_USUAL,
            answers: 0,
        });
        let step = (work as i64 - i64::from(learnt.work)) / ANSWER_DIVISOR;
        learnt.work = learnt.work.saturating_add_signed(step as i32);
        learnt.at = now;
        learnt.answers = learnt.answers.saturating_add(1);
    }

    /// Forgets targets and pools that are no longer known.
    pub fn retain_known(
        &mut self,
        mut target: impl FnMut(TargetId) -> bool,
        mut pool: impl FnMut(PoolId) -> bool,
    ) {
        self.targets.retain(|&id, _| target(id));
        self.rates.retain(|&id, _| pool(id));
    }

    /// Returns whether a target is slow for most of the time, by what it states.
    pub fn is_slow(&self, now: Time, target: TargetId) -> bool {
        let stated = self.targets.get(&target).and_then(|known| known.stated);
        stated.is_some_and(|it| worn(it.level, now.since(it.at)) >= SLOW_WORK)
    }
}

/// Returns what counts of a figure of some age.
fn worn(work: u32, age: Duration) -> u32 {
    match age.checked_sub(KEPT) {
        None => work,
        Some(over) if over < WEARS_OFF => blend(work, WORK_USUAL, over, WEARS_OFF),
        Some(_) => WORK_USUAL,
    }
}

/// Returns the value between `from` and `to` after a part of the time in which one becomes the other.
fn blend(from: u32, to: u32, age: Duration, whole: Duration) -> u32 {
    let age = age.as_millis() as i64;
    let whole = whole.as_millis() as i64;
    let change = (i64::from(to) - i64::from(from)) * age / whole;
    from.saturating_add_signed(change as i32)
}
