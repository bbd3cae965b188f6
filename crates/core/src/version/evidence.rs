//! Evidence for and against a version.
//!
//! The two versions are compared over the same time, route by route, and at like load of their targets,
//! because a version may be bad on one route or under load only. A comparison asks how likely the
//! failures of the new version were if it were only a little worse than the old one, by Chernoff's bound
//! on the binomial distribution. Failures of a noisy old version therefore excuse those of the new one.
//!
//! A time is slow if it lies well above the ninetieth percentile of the old version's times on the route
//! at that router, so the distribution's form does not matter.

use core::fmt;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::message::Fault;

/// The natural logarithm of the odds at which the new version counts as bad.
const LOG_ODDS: f64 = 12.0;
/// Failures up to this fraction are never held against a version.
const FAILURES_MIN: f64 = 0.02;
/// Slow times up to this fraction are never held against a version: as many lie above the ninetieth percentile.
const SLOW_MIN: f64 = 0.1;
/// So many times the old version's fraction is not held against the new one.
const MARGIN: f64 = 1.5;
/// By how many standard deviations the old version's fraction may be higher than seen: one in forty is further off.
const DEVIATIONS: f64 = 2.0;
/// A time is slow if it is so many halves of the percentile.
const SLOW_HALVES: u64 = 3;
/// Samples before a percentile is trusted.
const PERCENTILE_SAMPLES: u32 = 10;
/// Samples at which a histogram is halved, so that it follows the present.
const HISTOGRAM_SAMPLES: u32 = 1_000;
/// Recent tallies are halved now and then until the new version has fewer samples in them.
const RECENT_SAMPLES: u32 = 32;
const RECENT: Duration = Duration::from_secs(5);
/// Connections of one target that break within this time count as one failure, because whatever stops
/// a machine breaks all that runs on it.
const SAME_BREAK: Duration = Duration::from_secs(2);
/// Where broken connections are counted.
const BREAK_ROUTE: Route = Route {
    class: Class::Interactive,
    objective_ms: 0,
    load: Load::Low,
};

/// Which requests are compared with each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Route {
    /// The class of the requests.
    pub class: Class,
    /// Their objective in milliseconds, which tells kinds of requests of one class apart: a small one that takes several
    /// times its time is still faster than a large one. Zero if none is stated.
    pub objective_ms: u32,
    /// The highest load of the target that was known while it had the request.
    pub load: Load,
}

/// The load of a target, in thirds of its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// Less than a third.
    Low,
    /// Up to two thirds.
    Middle,
    /// More.
    High,
}

/// What was seen of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The old version.
    pub old: Counts,
    /// The new version.
    pub new: Counts,
}

/// What was seen of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were dispatched.
    pub sent: u32,
    /// Requests that ended well or ill at the target.
    pub ended: u32,
    /// Those that failed.
    pub failed: u32,
    /// Requests whose times could be compared.
    pub timed: u32,
    /// Those that were slow to start or to go on.
    pub slow: u32,
    /// Requests whose start could be compared, those that still go on included.
    pub started: u32,
    /// Those that were slow to start.
    pub late: u32,
}

/// A time that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// From the dispatch to the first byte of the answer.
    Start,
    /// For each token, or for the whole answer of a plain service.
    Pace,
}

/// What one router saw itself.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) tallies: BTreeMap<Route, Tally>,
    /// How often connections of each target broke, those of one moment counted once.
    pub(super) breaks: BTreeMap<TargetId, u32>,
    usual: BTreeMap<(Route, Measure), Histogram>,
}

/// Tallies over the whole move and over the recent past.
#[derive(Debug, Default)]
pub(super) struct Pool {
    total: BTreeMap<Route, Tally>,
    recent: BTreeMap<Route, Tally>,
    halved: Time,
    broken_at: BTreeMap<TargetId, Time>,
}

impl Load {
    /// All loads, the lowest first.
    pub const ALL: [Self; 3] = [Self::Low, Self::Middle, Self::High];

    /// Returns the load of a target that runs `running` requests in `slots`.
    pub const fn of(running: u32, slots: u32) -> Self {
        match running.saturating_mul(3) {
            thirds if thirds < slots => Self::Low,
            thirds if thirds <= slots.saturating_mul(2) => Self::Middle,
            _ => Self::High,
        }
    }
}

impl Evidence {
    /// Counts a request that was dispatched.
    pub(super) fn on_sent(&mut self, route: Route, new: bool) {
        self.counts(route, new).sent += 1;
    }

    /// Counts the end of a request.
    pub(super) fn on_end(&mut self, route: Route, new: bool, failed: bool) {
        let counts = self.counts(route, new);
        counts.ended += 1;
        counts.failed += u32::from(failed);
    }

    /// Says whether a time is slow by what is usual for the old version, if that is known. If the old
    /// version was not seen at the same load, its next higher one stands in, which excuses more.
    pub(super) fn is_slow(
        &mut self,
        route: Route,
        new: bool,
        measure: Measure,
        time: Duration,
    ) -> Option<bool> {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let usual = self.percentile(route, measure);
        if !new {
            let histogram = self.usual.entry((route, measure)).or_default();
            histogram.add(micros);
        }
        usual.map(|usual| micros > usual.saturating_mul(SLOW_HALVES) / 2)
    }

    /// Counts a request whose start was compared.
    pub(super) fn on_started(&mut self, route: Route, new: bool, late: bool) {
        let counts = self.counts(route, new);
        counts.started += 1;
        counts.late += u32::from(late);
    }

    /// Counts a request whose times were compared.
    pub(super) fn on_timed(&mut self, route: Route, new: bool, slow: bool) {
        let counts = self.counts(route, new);
        counts.timed += 1;
        counts.slow += u32::from(slow);
    }

    fn counts(&mut self, route: Route, new: bool) -> &mut Counts {
        let tally = self.tallies.entry(route).or_default();
        if new { &mut tally.new } else { &mut tally.old }
    }

    fn percentile(&self, route: Route, measure: Measure) -> Option<u64> {
        let loads = Load::ALL.into_iter();
        loads.filter(|&load| load >= route.load).find_map(|load| {
            let route = Route { load, ..route };
            self.usual.get(&(route, measure))?.percentile()
        })
    }
}

impl Pool {
    /// Adds what was seen since the last time; what was seen long ago counts for the whole only.
    pub(super) fn add(&mut self, now: Time, route: Route, seen: Tally, is_recent: bool) {
        self.total.entry(route).or_default().add(seen);
        if !is_recent {
            return;
        }
        self.recent.entry(route).or_default().add(seen);
        if now.since(self.halved) < RECENT {
            return;
        }
        self.halved = now;
        while self.recent_samples() >= RECENT_SAMPLES {
            self.recent.values_mut().for_each(Tally::halve);
        }
    }

    fn recent_samples(&self) -> u32 {
        self.recent.values().map(|tally| tally.new.ended).sum()
    }

    /// Counts broken connections of a target as one failure, whoever saw them.
    pub(super) fn on_break(&mut self, now: Time, target: TargetId, new: bool) {
        let last = self.broken_at.insert(target, now);
        if last.is_some_and(|at| now.since(at) < SAME_BREAK) {
            return;
        }
        let failure = Counts {
            ended: 1,
            failed: 1,
            ..Counts::default()
        };
        let mut seen = Tally::default();
        if new {
            seen.new = failure;
        } else {
            seen.old = failure;
        }
        self.add(now, BREAK_ROUTE, seen, true);
    }

    /// Returns what was seen on all routes over the whole move.
    pub(super) fn whole(&self) -> Tally {
        let mut sum = Tally::default();
        self.total.values().for_each(|tally| sum.add(*tally));
        sum
    }

    /// Returns the fault of the new version, if it shows on any route or on all taken together.
    pub(super) fn fault(&self) -> Option<(Route, Fault)> {
        fault(&self.total).or_else(|| fault(&self.recent))
    }
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }

    fn halve(&mut self) {
        self.old.halve();
        self.new.halve();
    }

    /// Returns what came on top of `before`, or everything if the count started again.
    pub(super) fn since(self, before: Self) -> Self {
        let (old, new) = (self.old.since(before.old), self.new.since(before.new));
        match (old, new) {
            (Some(old), Some(new)) => Self { old, new },
            _ => self,
        }
    }

    fn fault(&self) -> Option<Fault> {
        let (old, new) = (self.old, self.new);
        let failures = Trials(new.failed, new.ended);
        if failures.are_worse_than(Trials(old.failed, old.ended), FAILURES_MIN) {
            return Some(Fault::Fails);
        }
        let slow = Trials(new.slow, new.timed);
        let late = Trials(new.late, new.started);
        let is_slow = slow.are_worse_than(Trials(old.slow, old.timed), SLOW_MIN)
            || late.are_worse_than(Trials(old.late, old.started), SLOW_MIN);
        is_slow.then_some(Fault::Slow)
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sent,
            ended,
            failed,
            timed,
            slow,
            started,
            late,
        } = self;
        write!(
            f,
            "sent={sent} ended={ended} failed={failed} timed={timed} slow={slow} started={started} late={late}"
        )
    }
}

impl Counts {
    const fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.ended += other.ended;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slow += other.slow;
        self.started += other.started;
        self.late += other.late;
    }

    const fn halve(&mut self) {
        self.sent /= 2;
        self.ended /= 2;
        self.failed /= 2;
        self.timed /= 2;
        self.slow /= 2;
        self.started /= 2;
        self.late /= 2;
    }

    fn since(self, before: Self) -> Option<Self> {
        Some(Self {
            sent: self.sent.checked_sub(before.sent)?,
            ended: self.ended.checked_sub(before.ended)?,
            failed: self.failed.checked_sub(before.failed)?,
            timed: self.timed.checked_sub(before.timed)?,
            slow: self.slow.checked_sub(before.slow)?,
            started: self.started.checked_sub(before.started)?,
            late: self.late.checked_sub(before.late)?,
        })
    }
}

/// Looks at every route, then at each kind of requests, each class and all classes over all loads from one load up:
/// harm that begins at some load shows at every higher one, and each of them alone has few requests.
fn fault(tallies: &BTreeMap<Route, Tally>) -> Option<(Route, Fault)> {
    let sum = |kinds: Kinds, least: Load| {
        let mut sum = Tally::default();
        let is_member = |route: &Route| route.load >= least && kinds.contain(route);
        let members = tallies.iter().filter(|(route, _)| is_member(route));
        members.clone().for_each(|(_, tally)| sum.add(*tally));
        let (first, _) = members.into_iter().next()?;
        Some((*first, sum))
    };
    let objectives: BTreeSet<u32> = tallies.keys().map(|route| route.objective_ms).collect();
    let objectives = objectives.into_iter().map(Kinds::OfObjective);
    let wider = objectives
        .chain(Class::ALL.map(Kinds::OfClass))
        .chain([Kinds::All])
        .flat_map(|kinds| Load::ALL.map(|least| (kinds, least)));
    let routes = tallies.iter().map(|(route, tally)| (*route, *tally));
    routes
        .chain(wider.filter_map(|(kinds, least)| sum(kinds, least)))
        .find_map(|(route, tally)| Some((route, tally.fault()?)))
}

/// Requests that are looked at together.
#[derive(Debug, Clone, Copy)]
enum Kinds {
    OfObjective(u32),
    OfClass(Class),
    All,
}

impl Kinds {
    fn contain(self, route: &Route) -> bool {
        match self {
            Self::OfObjective(objective) => route.objective_ms == objective,
            Self::OfClass(class) => route.class == class,
            Self::All => true,
        }
    }
}

/// So many hits in so many trials.
#[derive(Debug, Clone, Copy)]
struct Trials(u32, u32);

impl Trials {
    /// Says whether the fraction of hits is surely above the one of `usual`, and above `least`.
    fn are_worse_than(self, usual: Self, least: f64) -> bool {
        let Self(hits, trials) = self;
        if hits == 0 || trials == 0 {
            return false;
        }
        let seen = f64::from(hits) / f64::from(trials);
        // The fraction of few trials may be far off, so it is drawn towards one half and taken at the upper end of
        // where it may well be.
        let count = f64::from(usual.1) + 2.0;
        let usual = (f64::from(usual.0) + 1.0) / count;
        let usual = usual + DEVIATIONS * (usual * (1.0 - usual) / count).sqrt();
        let allowed = (usual * MARGIN).clamp(least, 0.9);
        seen > allowed && f64::from(trials) * divergence(seen, allowed) >= LOG_ODDS
    }
}

/// Returns the Kullback-Leibler divergence between two coins.
fn divergence(seen: f64, assumed: f64) -> f64 {
    let term = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    term(seen, assumed) + term(1.0 - seen, 1.0 - assumed)
}

/// Times in steps of a quarter of an octave.
#[derive(Debug, Default)]
struct Histogram {
    counts: BTreeMap<u32, u32>,
    samples: u32,
}

impl Histogram {
    fn add(&mut self, micros: u64) {
        *self.counts.entry(step(micros)).or_default() += 1;
        self.samples += 1;
        if self.samples < HISTOGRAM_SAMPLES {
            return;
        }
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
        self.samples = self.counts.values().sum();
    }

    /// Returns the upper end of the step that holds the ninetieth percentile.
    fn percentile(&self) -> Option<u64> {
        if self.samples < PERCENTILE_SAMPLES {
            return None;
        }
        let mut above = self.samples / 10;
        for (&step, &count) in self.counts.iter().rev() {
            if count > above {
                return Some(end_of(step));
            }
            above -= count;
        }
        None
    }
}

fn step(micros: u64) -> u32 {
    let micros = micros.max(4);
    let octave = micros.ilog2();
    let quarter = (micros >> (octave - 2)) & 3;
    octave * 4 + u32::try_from(quarter).unwrap_or(0)
}

fn end_of(step: u32) -> u64 {
    let (octave, quarter) = (step / 4, u64::from(step % 4));
    (5 + quarter) << (octave - 2)
}
