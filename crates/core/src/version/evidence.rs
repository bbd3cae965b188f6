//! Evidence for and against the new version of a move.
//!
//! The two versions are compared over the same time, per route, and at similar load of their
//! targets, because a version may be bad on one route or under load only. Each comparison is a
//! sequential likelihood-ratio test. The test computes how much likelier the results of the new
//! version are if its failure rate exceeds that of the old version by a given number of percentage
//! points than if the rates are equal. High odds mean that the version is bad, low odds that it is
//! good, and odds in between leave it undecided. The excess is added, not multiplied, so a noisy
//! old version reduces the power of the test but does not exonerate a bad new one.
//!
//! A fault of a single target is no evidence about its version. Targets are counted in groups, and
//! groups of a version that fail far more often than its best ones are excluded. Any number of
//! groups of the old version may be excluded, but less than half of the new version's groups: harm
//! at half of the targets is a fault of the version.
//!
//! A request that a target declines has not run, so it counts neither for nor against the version.
//!
//! A time is slow if it is well above the ninetieth percentile of the old version's times on the
//! same route, at the same router and for the same amount of work. The shape of the distribution
//! therefore does not matter. The alternatives that were considered are described in
//! `docs/design/0033-evidence-of-versions.md`.

use core::fmt;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::message::Fault;

/// Natural logarithm of the odds from which the new version is bad. By chance, a good version
/// reaches these odds in about one of twenty thousand comparisons.
const BAD_LOG_ODDS: f64 = 10.0;
/// Natural logarithm of the odds from which the new version is doubtful: twenty to one. A single
/// failure never reaches these odds.
const DOUBTFUL_LOG_ODDS: f64 = 3.0;
/// Natural logarithm of the odds up to which the new version is good over the whole move: one to
/// twenty.
const GOOD_LOG_ODDS: f64 = -3.0;
/// Natural logarithm of the odds up to which the new version is good over the recent period: one to
/// three. The bound is weaker than [`GOOD_LOG_ODDS`] because the recent period has few requests.
const GOOD_RECENT_LOG_ODDS: f64 = -1.0;
/// The failure rates that a bad version is assumed to have in excess of the old version's rate, as
/// fractions of all requests. Each is taken as equally likely.
const EXCESSES: [f64; 4] = [0.03, 0.1, 0.2, 0.4];
/// The excess failure rate that must be unlikely for a version to be good, as a fraction of all
/// requests. A smaller excess is only detected later, with more requests.
const GOOD_EXCESS: f64 = 0.2;
/// The fraction of failures up to which a version is never considered bad.
const FAILURES_MIN: f64 = 0.02;
/// The fraction of slow times up to which a version is never considered slow. By definition, this
/// fraction of times is above the ninetieth percentile.
const SLOW_MIN: f64 = 0.1;
/// Number of standard deviations by which the old version's true fraction may exceed the observed
/// one. One fraction in forty exceeds it by more.
const DEVIATIONS: f64 = 2.0;
/// Natural logarithm of the odds from which a group of targets is excluded as an outlier: twenty to
/// one.
const OUTLIER_LOG_ODDS: f64 = 3.0;
/// Number of recent requests at the old version from which the recent period of the new version is
/// compared with the recent period of the old one. With fewer, the old version's total serves as
/// the reference.
const REFERENCE_SAMPLES: u32 = 32;
/// Upper bound on the fraction of bad answers that the old version is assumed to give, so that no
/// odds are infinite.
const FRACTION_MAX: f64 = 0.9;
/// Upper bound on the fraction of bad answers that a bad version is assumed to give, so that no
/// odds are infinite.
const HARMFUL_MAX: f64 = 0.98;
/// Number of groups of targets. In a pool with at most this many targets, most groups have one
/// target. More groups would increase the size of each report to deciders.
const GROUPS: u32 = 16;
/// The ratio of a time to the percentile above which the time is slow, in halves.
const SLOW_RATIO_HALVES: u64 = 3;
/// Number of samples from which a histogram yields a percentile.
const PERCENTILE_SAMPLES: u32 = 10;
/// Number of samples at which the counts of a histogram are halved, so that recent times have more
/// weight.
const HISTOGRAM_SAMPLES: u32 = 1_000;
/// At each [`HALVING_INTERVAL`], the recent tallies are halved until they contain fewer ended
/// requests of the new version than this number.
const RECENT_SAMPLES: u32 = 32;
/// The shortest time between two halvings of the recent tallies.
const HALVING_INTERVAL: Duration = Duration::from_secs(5);
/// The time within which broken connections to one target count as one failure, because the failure
/// of a machine breaks all its connections.
const BREAK_WINDOW: Duration = Duration::from_secs(2);
/// The route under which broken connections are counted.
const BREAK_ROUTE: Route = Route {
    class: Class::Interactive,
    objective_ms: 0,
    load: Load::Low,
};

/// The kind of a request, for comparing the versions on requests of the same kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Route {
    /// The class of the requests.
    pub class: Class,
    /// The objective of the requests in milliseconds, or zero if none is stated. It separates small
    /// from large requests of one class: a small request at several times its usual time is still
    /// faster than a large one.
    pub objective_ms: u32,
    /// The highest load of the target that the router observed while the request ran.
    pub load: Load,
}

/// The load of a target, as the fraction of its slots that is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// Less than one third of the slots.
    Low,
    /// From one third up to two thirds of the slots.
    Middle,
    /// More than two thirds of the slots.
    High,
}

/// A group of targets that are counted together. Every router forms the same groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group(u8);

/// A key for counting requests: a route and a group of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slice {
    /// The route of the requests.
    pub route: Route,
    /// The group of the targets that received the requests.
    pub group: Group,
}

/// The counts of both versions, for one slice or a sum of slices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The counts of the old version.
    pub old: Counts,
    /// The counts of the new version.
    pub new: Counts,
}

/// The counts of one version, for one slice or a sum of slices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were dispatched.
    pub sent: u32,
    /// Requests that a target declined without running them.
    pub declined: u32,
    /// Requests that ended at the target, successfully or not.
    pub ended: u32,
    /// Ended requests that failed.
    pub failed: u32,
    /// Requests whose pace was compared.
    pub timed: u32,
    /// Requests whose pace was compared and that had a slow start or a slow pace.
    pub slow: u32,
    /// Requests whose time to the first byte was compared, including those that are still running.
    pub started: u32,
    /// Requests whose time to the first byte was slow.
    pub late: u32,
}

/// A measured time of a request that is compared between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// The time from the dispatch to the first byte of the answer.
    Start,
    /// The time per token, or the time of the complete answer of a plain service.
    Pace,
}

/// The amount of work of a request, as the binary logarithm of its tokens, so that times of similar
/// requests are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Work(u32);

/// The evidence from the requests that one router dispatched.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) tallies: BTreeMap<Slice, Tally>,
    /// The number of broken connections by target. Breaks at about the same time count once.
    pub(super) breaks: BTreeMap<TargetId, u32>,
    /// The times of the old version by work. The key without work holds all times, as a reference
    /// where few requests have the same work.
    baseline: BTreeMap<(Route, Measure, Option<Work>), Histogram>,
}

/// The result of evaluating the evidence on the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The new version is worse than the old one on this route, with high confidence.
    Bad(Route, Fault),
    /// The new version seems worse than the old one on some route.
    Doubtful,
    /// The evidence does not suffice for another verdict.
    Undecided,
    /// The new version is as good as the old one.
    Good,
}

/// The tallies of a move by slice, over the whole move and over the recent period.
#[derive(Debug, Default)]
pub(super) struct Tallies {
    total: BTreeMap<Slice, Tally>,
    recent: BTreeMap<Slice, Tally>,
    /// When the recent tallies were last halved.
    halved_at: Time,
    /// When a connection to each target last broke.
    broken_at: BTreeMap<TargetId, Time>,
}

impl Load {
    /// All loads, in ascending order.
    pub const ALL: [Self; 3] = [Self::Low, Self::Middle, Self::High];

    /// Returns the load of a target with `slots` slots that runs `running` requests.
    pub const fn of(running: u32, slots: u32) -> Self {
        match running.saturating_mul(3) {
            thirds if thirds < slots => Self::Low,
            thirds if thirds <= slots.saturating_mul(2) => Self::Middle,
            _ => Self::High,
        }
    }
}

impl Group {
    /// Returns the group to which a target belongs.
    pub const fn of(target: TargetId) -> Self {
        Self((target.0 % GROUPS) as u8)
    }
}

impl Slice {
    /// Returns the slice in which a request of a route at a target is counted.
    pub const fn of(route: Route, target: TargetId) -> Self {
        Self {
            route,
            group: Group::of(target),
        }
    }
}

impl Evidence {
    /// Counts a request that was dispatched.
    pub(super) fn on_sent(&mut self, slice: Slice, new: bool) {
        self.counts(slice, new).sent += 1;
    }

    /// Counts a request that the target declined.
    pub(super) fn on_declined(&mut self, slice: Slice, new: bool) {
        self.counts(slice, new).declined += 1;
    }

    /// Counts a request that ended.
    pub(super) fn on_end(&mut self, slice: Slice, new: bool, failed: bool) {
        let counts = self.counts(slice, new);
        counts.ended += 1;
        counts.failed += u32::from(failed);
    }

    /// Returns whether a time is slow compared with the times of the old version, or `None` if too
    /// few of them are known. Without enough times at the same load, those at the next higher load
    /// are used, which is more lenient. A time of the old version is added to the baseline.
    pub(super) fn is_slow(
        &mut self,
        route: Route,
        new: bool,
        measure: Measure,
        (tokens, time): (u32, Duration),
    ) -> Option<bool> {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let work = Work(tokens.checked_ilog2().unwrap_or(0));
        let percentile = self.percentile(route, measure, work);
        if !new {
            for work in [Some(work), None] {
                let histogram = self.baseline.entry((route, measure, work)).or_default();
                histogram.add(micros);
            }
        }
        percentile.map(|percentile| micros > percentile.saturating_mul(SLOW_RATIO_HALVES) / 2)
    }

    /// Counts a request whose time to the first byte was compared.
    pub(super) fn on_started(&mut self, slice: Slice, new: bool, late: bool) {
        let counts = self.counts(slice, new);
        counts.started += 1;
        counts.late += u32::from(late);
    }

    /// Counts a request whose pace was compared.
    pub(super) fn on_timed(&mut self, slice: Slice, new: bool, slow: bool) {
        let counts = self.counts(slice, new);
        counts.timed += 1;
        counts.slow += u32::from(slow);
    }

    fn counts(&mut self, slice: Slice, new: bool) -> &mut Counts {
        let tally = self.tallies.entry(slice).or_default();
        if new { &mut tally.new } else { &mut tally.old }
    }

    fn percentile(&self, route: Route, measure: Measure, work: Work) -> Option<u64> {
        let loads = Load::ALL.into_iter();
        loads.filter(|&load| load >= route.load).find_map(|load| {
            let route = Route { load, ..route };
            let mut works = [Some(work), None].into_iter();
            works.find_map(|work| self.baseline.get(&(route, measure, work))?.percentile())
        })
    }
}

impl Tallies {
    /// Adds counts to the total, and to the recent period if `is_recent`.
    pub(super) fn add(&mut self, now: Time, slice: Slice, added: Tally, is_recent: bool) {
        self.total.entry(slice).or_default().add(added);
        if !is_recent {
            return;
        }
        self.recent.entry(slice).or_default().add(added);
        if now.since(self.halved_at) < HALVING_INTERVAL {
            return;
        }
        self.halved_at = now;
        while self.recent_samples() >= RECENT_SAMPLES {
            self.recent.values_mut().for_each(Tally::halve);
        }
    }

    fn recent_samples(&self) -> u32 {
        self.recent.values().map(|tally| tally.new.ended).sum()
    }

    /// Counts a broken connection to a target as one failure, unless another connection to the
    /// target broke within [`BREAK_WINDOW`]. Breaks that peers report count too.
    pub(super) fn on_break(&mut self, now: Time, target: TargetId, new: bool) {
        let last = self.broken_at.insert(target, now);
        if last.is_some_and(|at| now.since(at) < BREAK_WINDOW) {
            return;
        }
        let failure = Counts {
            ended: 1,
            failed: 1,
            ..Counts::default()
        };
        let mut added = Tally::default();
        if new {
            added.new = failure;
        } else {
            added.old = failure;
        }
        self.add(now, Slice::of(BREAK_ROUTE, target), added, true);
    }

    /// Returns the sum of all slices over the whole move.
    pub(super) fn sum(&self) -> Tally {
        let mut sum = Tally::default();
        self.total.values().for_each(|tally| sum.add(*tally));
        sum
    }

    /// Returns the verdict on the new version. The version is bad or doubtful if it is worse on any
    /// route, over the whole move or over the recent period. It is good if it is as good as the old
    /// one on all routes taken together.
    pub(super) fn verdict(&self) -> Verdict {
        let total = odds(&self.total, &self.total);
        let recent = odds(&self.recent, &self.total);
        let worst = total.worst.into_iter().chain(recent.worst);
        let worst = worst.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds));
        match worst {
            Some(worst) if worst.log_odds >= BAD_LOG_ODDS => Verdict::Bad(worst.route, worst.fault),
            Some(worst) if worst.log_odds >= DOUBTFUL_LOG_ODDS => Verdict::Doubtful,
            _ if total.not_good <= GOOD_LOG_ODDS && recent.not_good <= GOOD_RECENT_LOG_ODDS => {
                Verdict::Good
            }
            _ => Verdict::Undecided,
        }
    }

    /// Returns the route on which the new version gave the most bad answers, and the prevailing
    /// fault.
    pub(super) fn worst_route(&self) -> (Route, Fault) {
        let harm = |tally: &Tally| tally.new.failed + tally.new.slow.max(tally.new.late);
        let worst = self.total.iter().max_by_key(|(_, tally)| harm(tally));
        worst.map_or((BREAK_ROUTE, Fault::Fails), |(slice, tally)| {
            let fails = tally.new.failed >= tally.new.slow.max(tally.new.late);
            let fault = if fails { Fault::Fails } else { Fault::Slow };
            (slice.route, fault)
        })
    }

    /// Returns the number of bad answers of the new version: failures and slow answers.
    pub(super) fn harm(&self) -> u32 {
        let Counts {
            failed, slow, late, ..
        } = self.sum().new;
        failed + slow.max(late)
    }
}

impl Verdict {
    /// Returns the name of the verdict in logs. The name is stable.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Bad(..) => "bad",
            Self::Doubtful => "doubtful",
            Self::Undecided => "undecided",
            Self::Good => "good",
        }
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

    /// Returns the counts added since `before`, or all counts if any of them has decreased because
    /// the counting started anew.
    pub(super) fn since(self, before: Self) -> Self {
        let (old, new) = (self.old.since(before.old), self.new.since(before.new));
        match (old, new) {
            (Some(old), Some(new)) => Self { old, new },
            _ => self,
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sent,
            declined,
            ended,
            failed,
            timed,
            slow,
            started,
            late,
        } = self;
        write!(
            f,
            "sent={sent} declined={declined} ended={ended} failed={failed} timed={timed} slow={slow} started={started} late={late}"
        )
    }
}

impl Counts {
    const fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.declined += other.declined;
        self.ended += other.ended;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slow += other.slow;
        self.started += other.started;
        self.late += other.late;
    }

    const fn halve(&mut self) {
        self.sent /= 2;
        self.declined /= 2;
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
            declined: self.declined.checked_sub(before.declined)?,
            ended: self.ended.checked_sub(before.ended)?,
            failed: self.failed.checked_sub(before.failed)?,
            timed: self.timed.checked_sub(before.timed)?,
            slow: self.slow.checked_sub(before.slow)?,
            started: self.started.checked_sub(before.started)?,
            late: self.late.checked_sub(before.late)?,
        })
    }
}

/// The odds against the new version.
#[derive(Debug)]
struct Odds {
    /// The comparison with the highest odds that the new version is worse.
    worst: Option<Comparison>,
    /// The logarithm of the odds that the new version is worse by [`GOOD_EXCESS`] on all routes
    /// together, as the maximum over the criteria.
    not_good: f64,
}

/// The result of one comparison of the two versions.
#[derive(Debug, Clone, Copy)]
struct Comparison {
    /// The logarithm of the odds that the new version is worse.
    log_odds: f64,
    route: Route,
    fault: Fault,
}

/// Compares the versions on every route, and then on each objective, each class and all requests,
/// each over all loads from a minimum load up. A fault that starts at some load shows at every
/// higher load, and each load alone may have few requests. `reference` replaces the counts of the
/// old version where `tallies` has few of them.
fn odds(tallies: &BTreeMap<Slice, Tally>, reference: &BTreeMap<Slice, Tally>) -> Odds {
    let routes: BTreeSet<Route> = tallies.keys().map(|slice| slice.route).collect();
    let objectives: BTreeSet<u32> = routes.iter().map(|route| route.objective_ms).collect();
    let objectives = objectives.into_iter().map(RouteFilter::Objective);
    let wider = objectives
        .chain(Class::ALL.map(RouteFilter::Class))
        .chain([RouteFilter::All])
        .flat_map(|filter| Load::ALL.map(|min_load| (filter, min_load)));
    let single = routes
        .iter()
        .map(|route| (RouteFilter::Route(*route), Load::Low));
    let comparisons = single.chain(wider).filter_map(|(filter, min_load)| {
        let versions = VersionPair::of(tallies, reference, filter, min_load)?;
        let compare = |criterion: Criterion| {
            let (old, new) = versions.trials(criterion);
            Comparison {
                log_odds: new.log_odds_of_harm(old, criterion.tolerated()),
                route: versions.route,
                fault: criterion.fault(),
            }
        };
        let each = Criterion::ALL.map(compare).into_iter();
        each.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds))
    });
    let worst = comparisons.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds));
    let all = VersionPair::of(tallies, reference, RouteFilter::All, Load::Low);
    Odds {
        worst,
        not_good: all.map_or(0.0, |versions| versions.log_odds_not_good()),
    }
}

/// A criterion by which an answer may be bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Criterion {
    Failure,
    Pace,
    Start,
}

impl Criterion {
    const ALL: [Self; 3] = [Self::Failure, Self::Pace, Self::Start];

    const fn trials(self, counts: &Counts) -> Trials {
        match self {
            Self::Failure => Trials(counts.failed, counts.ended),
            Self::Pace => Trials(counts.slow, counts.timed),
            Self::Start => Trials(counts.late, counts.started),
        }
    }

    /// Returns the fraction of bad answers up to which a version is never considered bad.
    const fn tolerated(self) -> f64 {
        match self {
            Self::Failure => FAILURES_MIN,
            Self::Pace | Self::Start => SLOW_MIN,
        }
    }

    const fn fault(self) -> Fault {
        match self {
            Self::Failure => Fault::Fails,
            Self::Pace | Self::Start => Fault::Slow,
        }
    }
}

/// The counts of both versions by group of targets.
#[derive(Debug, Default)]
struct Groups {
    old: [Counts; GROUPS as usize],
    new: [Counts; GROUPS as usize],
}

impl Groups {
    /// Sums the tallies of the routes that match a filter at a minimum load, and returns the sum
    /// with one of the routes, or `None` if no route matches. Ignores group numbers out of range,
    /// which a peer may send.
    fn of(
        tallies: &BTreeMap<Slice, Tally>,
        filter: RouteFilter,
        min_load: Load,
    ) -> Option<(Route, Self)> {
        let is_member =
            |slice: &Slice| slice.route.load >= min_load && filter.matches(&slice.route);
        let members = tallies.iter().filter(|(slice, _)| is_member(slice));
        let mut sum = Self::default();
        let mut first = None;
        for (slice, tally) in members {
            first.get_or_insert(slice.route);
            let group = usize::from(slice.group.0);
            if let (Some(old), Some(new)) = (sum.old.get_mut(group), sum.new.get_mut(group)) {
                old.add(tally.old);
                new.add(tally.new);
            }
        }
        Some((first?, sum))
    }
}

/// The counts of the two versions in one comparison.
#[derive(Debug)]
struct VersionPair {
    route: Route,
    groups: Groups,
    /// The counts to use for the old version if `groups` has few of them.
    reference: Option<Groups>,
}

impl VersionPair {
    fn of(
        tallies: &BTreeMap<Slice, Tally>,
        reference: &BTreeMap<Slice, Tally>,
        filter: RouteFilter,
        min_load: Load,
    ) -> Option<Self> {
        let (route, groups) = Groups::of(tallies, filter, min_load)?;
        let reference = Groups::of(reference, filter, min_load).map(|(_, groups)| groups);
        Some(Self {
            route,
            groups,
            reference,
        })
    }

    /// Returns the trials of the old and the new version, without outlier groups of targets.
    fn trials(&self, criterion: Criterion) -> (Trials, Trials) {
        let each = |groups: &[Counts]| -> Vec<Trials> {
            let trials = groups.iter().map(|counts| criterion.trials(counts));
            trials.filter(|trials| trials.1 > 0).collect()
        };
        let mut old = each(&self.groups.old);
        let samples: u32 = old.iter().map(|trials| trials.1).sum();
        let reference = self.reference.as_ref();
        if let Some(reference) = reference.filter(|_| samples < REFERENCE_SAMPLES) {
            old = each(&reference.old);
        }
        let new = each(&self.groups.new);
        let (excluded_max_old, excluded_max_new) = (old.len(), new.len().saturating_sub(1) / 2);
        let tolerated = criterion.tolerated();
        (
            without_outliers(old, excluded_max_old, tolerated),
            without_outliers(new, excluded_max_new, tolerated),
        )
    }

    /// Returns the logarithm of the odds that the new version is worse by [`GOOD_EXCESS`]. Start
    /// times are only considered if they were compared for at least half as many requests as ended.
    fn log_odds_not_good(&self) -> f64 {
        let log_odds = |criterion: Criterion| {
            let (old, new) = self.trials(criterion);
            (new.1, new.log_odds_not_good(old, criterion.tolerated()))
        };
        let (ended, failure) = log_odds(Criterion::Failure);
        let (started, start) = log_odds(Criterion::Start);
        if started * 2 >= ended {
            failure.max(start)
        } else {
            failure
        }
    }
}

/// Sums the trials of all groups except those with far more hits than the best ones. If more than
/// `excluded_max` groups would be excluded, sums all of them.
fn without_outliers(mut trials: Vec<Trials>, excluded_max: usize, tolerated: f64) -> Trials {
    let sum = |trials: &[Trials]| {
        let add = |a: Trials, b: &Trials| Trials(a.0 + b.0, a.1 + b.1);
        trials.iter().fold(Trials(0, 0), add)
    };
    let all = sum(&trials);
    trials.sort_by(|a, b| a.smoothed().total_cmp(&b.smoothed()));
    let mut kept = Trials(0, 0);
    let mut excluded = 0;
    for each in trials {
        if kept.1 > 0 && each.log_odds_of_harm(kept, tolerated) >= OUTLIER_LOG_ODDS {
            excluded += 1;
        } else {
            kept = Trials(kept.0 + each.0, kept.1 + each.1);
        }
    }
    if excluded > excluded_max { all } else { kept }
}

/// Selects the routes whose requests are compared together.
#[derive(Debug, Clone, Copy)]
enum RouteFilter {
    Route(Route),
    Objective(u32),
    Class(Class),
    All,
}

impl RouteFilter {
    fn matches(self, route: &Route) -> bool {
        match self {
            Self::Route(only) => only == *route,
            Self::Objective(objective) => route.objective_ms == objective,
            Self::Class(class) => route.class == class,
            Self::All => true,
        }
    }
}

/// The number of hits (bad answers) and the number of trials.
#[derive(Debug, Clone, Copy)]
struct Trials(u32, u32);

impl Trials {
    /// Returns the logarithm of the odds that hits are more frequent than in `usual` by one of
    /// [`EXCESSES`]. Hits up to the fraction `tolerated` are never held to be harm.
    fn log_odds_of_harm(self, usual: Self, tolerated: f64) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        let usual = usual.upper().clamp(tolerated, FRACTION_MAX);
        let each = EXCESSES.map(|excess| self.log_odds(usual, excess));
        let highest = each.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = each.iter().map(|log_odds| (log_odds - highest).exp()).sum();
        highest + (sum / EXCESSES.len() as f64).ln()
    }

    /// Returns the logarithm of the odds that hits are more frequent than in `usual` by
    /// [`GOOD_EXCESS`].
    fn log_odds_not_good(self, usual: Self, tolerated: f64) -> f64 {
        self.log_odds(
            usual
                .smoothed_towards(tolerated)
                .clamp(tolerated, FRACTION_MAX),
            GOOD_EXCESS,
        )
    }

    /// Returns the logarithm of the likelihood ratio of the hits at the fraction `usual + excess`
    /// to the fraction `usual`.
    fn log_odds(self, usual: f64, excess: f64) -> f64 {
        let Self(hits, trials) = self;
        let misses = f64::from(trials.saturating_sub(hits));
        let harmful = (usual + excess).min(HARMFUL_MAX);
        f64::from(hits) * (harmful / usual).ln() + misses * ((1.0 - harmful) / (1.0 - usual)).ln()
    }

    /// Returns the fraction of hits, smoothed towards one half if there are few trials.
    fn smoothed(self) -> f64 {
        (f64::from(self.0) + 1.0) / (f64::from(self.1) + 2.0)
    }

    /// Returns the fraction of hits, smoothed towards `usual` if there are few trials.
    fn smoothed_towards(self, usual: f64) -> f64 {
        (f64::from(self.0) + 2.0 * usual) / (f64::from(self.1) + 2.0)
    }

    /// Returns an upper confidence bound on the fraction of hits, [`DEVIATIONS`] above the smoothed
    /// fraction.
    fn upper(self) -> f64 {
        let (count, fraction) = (f64::from(self.1) + 2.0, self.smoothed());
        fraction + DEVIATIONS * (fraction * (1.0 - fraction) / count).sqrt()
    }
}

/// A histogram of times with four buckets per power of two of microseconds.
#[derive(Debug, Default)]
struct Histogram {
    counts: BTreeMap<u32, u32>,
    samples: u32,
}

impl Histogram {
    fn add(&mut self, micros: u64) {
        *self.counts.entry(bucket(micros)).or_default() += 1;
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

    /// Returns the upper end of the bucket that contains the ninetieth percentile, in microseconds,
    /// or `None` if there are too few samples.
    fn percentile(&self) -> Option<u64> {
        if self.samples < PERCENTILE_SAMPLES {
            return None;
        }
        let mut above = self.samples / 10;
        for (&bucket, &count) in self.counts.iter().rev() {
            if count > above {
                return Some(bucket_end(bucket));
            }
            above -= count;
        }
        None
    }
}

fn bucket(micros: u64) -> u32 {
    let micros = micros.max(4);
    let octave = micros.ilog2();
    let quarter = (micros >> (octave - 2)) & 3;
    octave * 4 + u32::try_from(quarter).unwrap_or(0)
}

fn bucket_end(bucket: u32) -> u64 {
    let (octave, quarter) = (bucket / 4, u64::from(bucket % 4));
    (5 + quarter) << (octave - 2)
}
