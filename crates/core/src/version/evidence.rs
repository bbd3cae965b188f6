//! Evidence for and against a version.
//!
//! The two versions are compared over the same time, route by route, and at like load of their targets,
//! because a version may be bad on one route or under load only. Each comparison is a sequential
//! likelihood-ratio test: how much likelier is what the new version did if it fails by so many points more
//! than the old one, than if it fails as often? High odds convict it, low odds show it good, and what lies
//! between is undecided. The margin is added, not multiplied, so a noisy old version costs power and does
//! not excuse a bad new one.
//!
//! A target that is at fault by itself says nothing of its version. Targets are counted in groups, and the
//! groups of a version that fail far more often than its best ones are left out: any of the old version,
//! less than half of the new one's, because harm that shows at half of the targets is the version's.
//!
//! A request that a target declines has not run, so it counts neither for nor against the version.
//!
//! A time is slow if it lies well above the ninetieth percentile of the old version's times on the route
//! at that router, for as much work, so the distribution's form does not matter. The ways that were weighed
//! are in `docs/design/0033-evidence-of-versions.md`.

use core::fmt;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::message::Fault;

/// The natural logarithm of the odds at which the new version counts as bad: one good version in some twenty thousand
/// comparisons gets there by chance.
const BAD_ODDS: f64 = 10.0;
/// The natural logarithm of the odds from which on the new version is in doubt: twenty to one, which one failure never reaches.
const DOUBT_ODDS: f64 = 3.0;
/// The natural logarithm of the odds at which the new version has shown itself good over the whole move: one to twenty.
const GOOD_ODDS: f64 = -3.0;
/// The same over the recent past, where there are few requests: one to three.
const GOOD_LATELY_ODDS: f64 = -1.0;
/// By how much more often than the old version a bad one may fail, as fractions of all requests. Each is as likely.
const EXCESSES: [f64; 4] = [0.03, 0.1, 0.2, 0.4];
/// The excess against which a version shows itself good. A smaller one shows later, with more requests.
const GOOD_EXCESS: f64 = 0.2;
/// Failures up to this fraction are never held against a version.
const FAILURES_MIN: f64 = 0.02;
/// Slow times up to this fraction are never held against a version: as many lie above the ninetieth percentile.
const SLOW_MIN: f64 = 0.1;
/// By how many standard deviations the old version's fraction may be higher than seen: one in forty is further off.
const DEVIATIONS: f64 = 2.0;
/// The natural logarithm of the odds at which a group of targets is left out as being at fault by itself: one to twenty.
const OUTLIER_ODDS: f64 = 3.0;
/// Requests of the old version from which on the recent past is compared with the recent past.
const REFERENCE_SAMPLES: u32 = 32;
/// The highest fractions that are assumed of a version, so that no odds are infinite.
const FRACTION_MAX: f64 = 0.9;
const HARMFUL_MAX: f64 = 0.98;
/// Groups of targets. A pool with no more targets mostly has one target in a group; more groups cost bytes in each
/// report to deciders.
const GROUPS: u32 = 16;
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

/// Some targets of a pool that are counted together, the same for every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group(u8);

/// The requests of one route at one group of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slice {
    /// The route.
    pub route: Route,
    /// The targets.
    pub group: Group,
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
    /// Requests that a target declined without running them.
    pub declined: u32,
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

/// How much a target has to do for a request, in octaves of tokens, so that times of like requests are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Work(u32);

/// What one router saw itself.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) tallies: BTreeMap<Slice, Tally>,
    /// How often connections of each target broke, those of one moment counted once.
    pub(super) breaks: BTreeMap<TargetId, u32>,
    /// The old version's times by the work that they took, and without regard to it where few took as much.
    usual: BTreeMap<(Route, Measure, Option<Work>), Histogram>,
}

/// What the evidence says of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is surely worse than the old one, on this route.
    Bad(Route, Fault),
    /// It seems to be worse on some route.
    Doubtful,
    /// Too little is known.
    Undecided,
    /// It does as well as the old one.
    Good,
}

/// Tallies over the whole move and over the recent past.
#[derive(Debug, Default)]
pub(super) struct Pool {
    total: BTreeMap<Slice, Tally>,
    recent: BTreeMap<Slice, Tally>,
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

impl Group {
    /// Returns the group of a target.
    pub const fn of(target: TargetId) -> Self {
        Self((target.0 % GROUPS) as u8)
    }
}

impl Slice {
    /// Returns where a request of this route at this target is counted.
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

    /// Counts a request that was declined.
    pub(super) fn on_declined(&mut self, slice: Slice, new: bool) {
        self.counts(slice, new).declined += 1;
    }

    /// Counts the end of a request.
    pub(super) fn on_end(&mut self, slice: Slice, new: bool, failed: bool) {
        let counts = self.counts(slice, new);
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
        (tokens, time): (u32, Duration),
    ) -> Option<bool> {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let work = Work(tokens.checked_ilog2().unwrap_or(0));
        let usual = self.percentile(route, measure, work);
        if !new {
            for work in [Some(work), None] {
                let histogram = self.usual.entry((route, measure, work)).or_default();
                histogram.add(micros);
            }
        }
        usual.map(|usual| micros > usual.saturating_mul(SLOW_HALVES) / 2)
    }

    /// Counts a request whose start was compared.
    pub(super) fn on_started(&mut self, slice: Slice, new: bool, late: bool) {
        let counts = self.counts(slice, new);
        counts.started += 1;
        counts.late += u32::from(late);
    }

    /// Counts a request whose times were compared.
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
            let mut usual = [Some(work), None].into_iter();
            usual.find_map(|work| self.usual.get(&(route, measure, work))?.percentile())
        })
    }
}

impl Pool {
    /// Adds what was seen since the last time; what was seen long ago counts for the whole only.
    pub(super) fn add(&mut self, now: Time, slice: Slice, seen: Tally, is_recent: bool) {
        self.total.entry(slice).or_default().add(seen);
        if !is_recent {
            return;
        }
        self.recent.entry(slice).or_default().add(seen);
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
        self.add(now, Slice::of(BREAK_ROUTE, target), seen, true);
    }

    /// Returns what was seen on all routes over the whole move.
    pub(super) fn whole(&self) -> Tally {
        let mut sum = Tally::default();
        self.total.values().for_each(|tally| sum.add(*tally));
        sum
    }

    /// Returns what the evidence says: whether the new version is worse on any route, over the whole move or
    /// lately, or as good as the old one on all taken together.
    pub(super) fn verdict(&self) -> Verdict {
        let whole = odds(&self.total, &self.total);
        let lately = odds(&self.recent, &self.total);
        let worst = whole.worst.into_iter().chain(lately.worst);
        let worst = worst.max_by(|a, b| a.odds.total_cmp(&b.odds));
        match worst {
            Some(worst) if worst.odds >= BAD_ODDS => Verdict::Bad(worst.route, worst.fault),
            Some(worst) if worst.odds >= DOUBT_ODDS => Verdict::Doubtful,
            _ if whole.good <= GOOD_ODDS && lately.good <= GOOD_LATELY_ODDS => Verdict::Good,
            _ => Verdict::Undecided,
        }
    }

    /// Returns the route on which the new version gave most bad answers, and what was bad about them.
    pub(super) fn most_harm(&self) -> (Route, Fault) {
        let harm = |tally: &Tally| tally.new.failed + tally.new.slow.max(tally.new.late);
        let worst = self.total.iter().max_by_key(|(_, tally)| harm(tally));
        worst.map_or((BREAK_ROUTE, Fault::Fails), |(slice, tally)| {
            let fails = tally.new.failed >= tally.new.slow.max(tally.new.late);
            let fault = if fails { Fault::Fails } else { Fault::Slow };
            (slice.route, fault)
        })
    }

    /// Returns how many bad answers the new version gave: failures, and answers that were slow.
    pub(super) fn harm(&self) -> u32 {
        let Counts {
            failed, slow, late, ..
        } = self.whole().new;
        failed + slow.max(late)
    }
}

impl Verdict {
    /// Returns the stable name of the verdict.
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

    /// Returns what came on top of `before`, or everything if the count started again.
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

/// What tallies say against the new version.
#[derive(Debug)]
struct Odds {
    /// The comparison that speaks most against it.
    worst: Option<Suspicion>,
    /// The odds that it is worse by [`GOOD_EXCESS`] on all routes together; the highest of all measures.
    good: f64,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    odds: f64,
    route: Route,
    fault: Fault,
}

/// Looks at every route, then at each kind of requests, each class and all classes over all loads from one load up:
/// harm that begins at some load shows at every higher one, and each of them alone has few requests. `before` stands
/// in for the old version where `tallies` have little of it.
fn odds(tallies: &BTreeMap<Slice, Tally>, before: &BTreeMap<Slice, Tally>) -> Odds {
    let routes: BTreeSet<Route> = tallies.keys().map(|slice| slice.route).collect();
    let objectives: BTreeSet<u32> = routes.iter().map(|route| route.objective_ms).collect();
    let objectives = objectives.into_iter().map(Kinds::OfObjective);
    let wider = objectives
        .chain(Class::ALL.map(Kinds::OfClass))
        .chain([Kinds::All])
        .flat_map(|kinds| Load::ALL.map(|least| (kinds, least)));
    let single = routes.iter().map(|route| (Kinds::Of(*route), Load::Low));
    let suspicions = single.chain(wider).filter_map(|(kinds, least)| {
        let arms = Arms::of(tallies, before, kinds, least)?;
        let fault = |measure: Aspect| {
            let (old, new) = arms.trials(measure);
            Suspicion {
                odds: new.odds_of_harm(old, measure.least()),
                route: arms.route,
                fault: measure.fault(),
            }
        };
        let faults = Aspect::ALL.map(fault).into_iter();
        faults.max_by(|a, b| a.odds.total_cmp(&b.odds))
    });
    let worst = suspicions.max_by(|a, b| a.odds.total_cmp(&b.odds));
    let all = Arms::of(tallies, before, Kinds::All, Load::Low);
    Odds {
        worst,
        good: all.map_or(0.0, |arms| arms.odds_against_good()),
    }
}

/// What of an answer may be bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Aspect {
    Failure,
    Pace,
    Start,
}

impl Aspect {
    const ALL: [Self; 3] = [Self::Failure, Self::Pace, Self::Start];

    const fn of(self, counts: &Counts) -> Trials {
        match self {
            Self::Failure => Trials(counts.failed, counts.ended),
            Self::Pace => Trials(counts.slow, counts.timed),
            Self::Start => Trials(counts.late, counts.started),
        }
    }

    /// Returns the fraction that is never held against a version.
    const fn least(self) -> f64 {
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

/// Both versions, by groups of targets.
#[derive(Debug, Default)]
struct Groups {
    old: [Counts; GROUPS as usize],
    new: [Counts; GROUPS as usize],
}

impl Groups {
    /// Adds up the requests of some kinds; nothing if there were none. A peer's group that does not exist is passed over.
    fn of(tallies: &BTreeMap<Slice, Tally>, kinds: Kinds, least: Load) -> Option<(Route, Self)> {
        let is_member = |slice: &Slice| slice.route.load >= least && kinds.contain(&slice.route);
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

/// Two versions that are compared.
#[derive(Debug)]
struct Arms {
    route: Route,
    groups: Groups,
    /// What stands in for the old version.
    before: Option<Groups>,
}

impl Arms {
    fn of(
        tallies: &BTreeMap<Slice, Tally>,
        before: &BTreeMap<Slice, Tally>,
        kinds: Kinds,
        least: Load,
    ) -> Option<Self> {
        let (route, groups) = Groups::of(tallies, kinds, least)?;
        let before = Groups::of(before, kinds, least).map(|(_, groups)| groups);
        Some(Self {
            route,
            groups,
            before,
        })
    }

    /// Returns the old version's trials and the new one's, without groups of targets that are at fault by themselves.
    fn trials(&self, aspect: Aspect) -> (Trials, Trials) {
        let each = |groups: &[Counts]| -> Vec<Trials> {
            let trials = groups.iter().map(|counts| aspect.of(counts));
            trials.filter(|trials| trials.1 > 0).collect()
        };
        let mut old = each(&self.groups.old);
        let seen: u32 = old.iter().map(|trials| trials.1).sum();
        if let Some(before) = self.before.as_ref().filter(|_| seen < REFERENCE_SAMPLES) {
            old = each(&before.old);
        }
        let new = each(&self.groups.new);
        let (may_leave_old, may_leave_new) = (old.len(), new.len().saturating_sub(1) / 2);
        let least = aspect.least();
        (
            without_outliers(old, may_leave_old, least),
            without_outliers(new, may_leave_new, least),
        )
    }

    /// Returns the odds that the new version is worse by [`GOOD_EXCESS`]. Times count only if most could be compared.
    fn odds_against_good(&self) -> f64 {
        let odds = |aspect: Aspect| {
            let (old, new) = self.trials(aspect);
            (new.1, new.odds_against_good(old, aspect.least()))
        };
        let (ended, failure) = odds(Aspect::Failure);
        let (started, start) = odds(Aspect::Start);
        if started * 2 >= ended {
            failure.max(start)
        } else {
            failure
        }
    }
}

/// Adds up trials without those that have far more hits than the best ones, unless more than `most` of them have.
fn without_outliers(mut trials: Vec<Trials>, most: usize, least: f64) -> Trials {
    let sum = |trials: &[Trials]| {
        let add = |a: Trials, b: &Trials| Trials(a.0 + b.0, a.1 + b.1);
        trials.iter().fold(Trials(0, 0), add)
    };
    let all = sum(&trials);
    trials.sort_by(|a, b| a.smoothed().total_cmp(&b.smoothed()));
    let mut core = Trials(0, 0);
    let mut left_out = 0;
    for each in trials {
        if core.1 > 0 && each.odds_of_harm(core, least) >= OUTLIER_ODDS {
            left_out += 1;
        } else {
            core = Trials(core.0 + each.0, core.1 + each.1);
        }
    }
    if left_out > most { all } else { core }
}

/// Requests that are looked at together.
#[derive(Debug, Clone, Copy)]
enum Kinds {
    Of(Route),
    OfObjective(u32),
    OfClass(Class),
    All,
}

impl Kinds {
    fn contain(self, route: &Route) -> bool {
        match self {
            Self::Of(only) => only == *route,
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
    /// Returns the logarithm of the odds that hits are more frequent than `usual` by one of [`EXCESSES`].
    fn odds_of_harm(self, usual: Self, least: f64) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        let usual = usual.upper().clamp(least, FRACTION_MAX);
        let each = EXCESSES.map(|excess| self.odds(usual, excess));
        let highest = each.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = each.iter().map(|odds| (odds - highest).exp()).sum();
        highest + (sum / EXCESSES.len() as f64).ln()
    }

    /// Returns the logarithm of the odds that hits are more frequent than `usual` by [`GOOD_EXCESS`].
    fn odds_against_good(self, usual: Self, least: f64) -> f64 {
        self.odds(
            usual.smoothed_from(least).clamp(least, FRACTION_MAX),
            GOOD_EXCESS,
        )
    }

    /// Returns the logarithm of how much likelier the hits are at `usual` and `excess` than at `usual`.
    fn odds(self, usual: f64, excess: f64) -> f64 {
        let Self(hits, trials) = self;
        let misses = f64::from(trials.saturating_sub(hits));
        let harmful = (usual + excess).min(HARMFUL_MAX);
        f64::from(hits) * (harmful / usual).ln() + misses * ((1.0 - harmful) / (1.0 - usual)).ln()
    }

    /// Returns the fraction of hits, drawn towards one half where there are few trials.
    fn smoothed(self) -> f64 {
        (f64::from(self.0) + 1.0) / (f64::from(self.1) + 2.0)
    }

    /// Returns the fraction of hits, drawn towards `usual` where there are few trials.
    fn smoothed_from(self, usual: f64) -> f64 {
        (f64::from(self.0) + 2.0 * usual) / (f64::from(self.1) + 2.0)
    }

    /// Returns the upper end of where the fraction of hits may well be.
    fn upper(self) -> f64 {
        let (count, seen) = (f64::from(self.1) + 2.0, self.smoothed());
        seen + DEVIATIONS * (seen * (1.0 - seen) / count).sqrt()
    }
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
