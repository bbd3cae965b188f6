//! What one target can bear.

use crate::input::{Report, TargetLoad};
use crate::prelude::*;
use crate::target::Config;

/// Answers that are needed before a baseline is trusted.
const BASELINE_SAMPLES: u32 = 8;
/// The weight of a new sample in a baseline, as one part of so many.
const BASELINE_PARTS: u64 = 16;
/// A sample this many times above the baseline is slow.
const SLOW_FACTOR: u64 = 3;
/// Starts below this time are never slow.
const SLOW_START_MIN: Duration = Duration::from_secs(1);
/// So many slow answers in a row make a target cold.
const SLOW_RUN: u32 = 3;
/// So many unanswered requests in a row make a target cold.
const UNANSWERED_RUN: u32 = 2;
/// How far the time of start computed from two reports may differ because reports lag.
const REPORT_LAG: Duration = Duration::from_secs(5);
/// A target that is up for less is not given credit for what it runs.
const SETTLED: Duration = Duration::from_secs(10);
/// Growth above the last limit that proved too high, as one part of the slots.
const GROWTH_PARTS: u32 = 32;

/// Why a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// This router has not seen it before.
    New,
    /// Its data centre was out.
    Returned,
    /// It was restarted.
    Restarted,
    /// It did not answer.
    Silent,
    /// It became slow all of a sudden.
    Slow,
}

impl Cause {
    /// Returns the stable name of the cause.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Returned => "returned",
            Self::Restarted => "restarted",
            Self::Silent => "silent",
            Self::Slow => "slow",
        }
    }
}

/// Something that was learnt about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// An answer started.
    Started {
        /// The time since the dispatch.
        after: Duration,
    },
    /// An answer has not started in time.
    Late,
    /// A stream has flowed for long.
    Flowing,
    /// An answer finished.
    Finished {
        /// The time since its start.
        took: Duration,
        /// Tokens that it had.
        tokens: u64,
    },
    /// The target declined a request.
    Declined,
    /// The target failed a request.
    Failed,
    /// A connection broke in the middle of an answer.
    Broken,
    /// No connection could be made.
    Unanswered,
    /// Nothing arrived any more on a connection. That alone says nothing of the target: a new
    /// connection to it is tried before work is kept away.
    Silent,
}

/// What one target can bear, as far as one router knows.
#[derive(Debug)]
pub(super) struct Health {
    pub(super) slots: u32,
    pub(super) limit: u32,
    pub(super) cause: Option<Cause>,
    /// The last limit that proved too high; growth is slow above it.
    threshold: u32,
    finished: u32,
    stepped: Time,
    halved: Time,
    /// No work before this time.
    held: Time,
    backoff: Duration,
    unanswered: u32,
    /// The limit before a connection broke, until a report shows whether the target was restarted.
    broken: Option<(Time, u32)>,
    answered: Option<Time>,
    report: Option<(Time, Report)>,
    /// What it said of its load along with its last answer.
    told: Option<TargetLoad>,
    start: Baseline,
    pace: Baseline,
    slow: u32,
}

impl Health {
    pub(super) fn new(now: Time, slots: u32) -> Self {
        Self {
            slots,
            limit: 1,
            cause: Some(Cause::New),
            threshold: u32::MAX,
            finished: 0,
            stepped: now,
            halved: Time::default(),
            held: Time::default(),
            backoff: Duration::ZERO,
            unanswered: 0,
            broken: None,
            answered: None,
            report: None,
            told: None,
            start: Baseline::default(),
            pace: Baseline::default(),
            slow: 0,
        }
    }

    /// Returns how many requests the target ran by what it said last.
    pub(super) fn running(&self) -> u32 {
        match (self.told, self.report) {
            (Some(load), _) => load.running,
            (None, Some((_, report))) => report.running,
            (None, None) => 0,
        }
    }

    /// Says whether the target is not held back.
    pub(super) fn is_free(&self, now: Time) -> bool {
        now >= self.held
    }

    /// Takes in a sign, and says why the target is cold now if it was not before.
    pub(super) fn on_signal(&mut self, now: Time, cfg: &Config, sign: Signal) -> Option<Cause> {
        match sign {
            Signal::Started { after } => self.on_started(now, cfg, after),
            Signal::Flowing => {
                self.on_answer(now);
                self.grow(now, cfg, 1);
            }
            Signal::Finished { took, tokens } => return self.on_finished(now, cfg, took, tokens),
            Signal::Declined => {
                self.on_answer(now);
                self.halve(now, cfg);
                self.hold(now, cfg);
            }
            Signal::Late | Signal::Failed => self.halve(now, cfg),
            Signal::Broken => self.on_broken(now),
            Signal::Unanswered => {
                self.hold(now, cfg);
                return self.on_unanswered(now);
            }
            Signal::Silent => {
                if self.unanswered > 0 {
                    self.hold(now, cfg);
                }
                return self.on_unanswered(now);
            }
        }
        None
    }

    /// Takes in a report, and says why the target is cold now if it was not before.
    pub(super) fn on_report(&mut self, now: Time, cfg: &Config, report: Report) -> Option<Cause> {
        let before = self.report.replace((now, report));
        self.unanswered = 0;
        match before {
            Some((at, old)) if restarted((at, old), (now, report)) => {
                return self.cool(now, Cause::Restarted);
            }
            None if self.cause == Some(Cause::New) => self.credit(report),
            _ => {}
        }
        self.settle_broken(now);
        self.grow_by_others(now, cfg, report);
        None
    }

    /// Takes in a load that came along with an answer.
    pub(super) const fn on_load(&mut self, load: TargetLoad) {
        self.told = Some(load);
    }

    /// Makes the target cold if nothing has been heard of it for too long.
    pub(super) fn on_silence(&mut self, now: Time, cfg: &Config) -> Option<Cause> {
        let (reported, _) = self.report?;
        let heard = self.answered.map_or(reported, |at| at.max(reported));
        let cold = self.cause == Some(Cause::Silent) && self.limit == 1;
        if cold || now.since(heard) < cfg.silence {
            return None;
        }
        self.cool(now, Cause::Silent)
    }

    /// Starts with half of what the former owner granted, or with what the target runs anyway.
    pub(super) fn take_over(&mut self, now: Time, told: Option<u32>) {
        self.threshold = told.map_or(u32::MAX, |told| told.max(2));
        self.limit = (told.unwrap_or(1) / 2).clamp(1, self.slots);
        self.stepped = now;
        self.finished = 0;
        if let Some((_, report)) = self.report {
            self.credit(report);
        }
    }

    /// Makes the target cold.
    pub(super) fn cool(&mut self, now: Time, cause: Cause) -> Option<Cause> {
        self.limit = 1;
        self.cause = Some(cause);
        self.threshold = u32::MAX;
        self.finished = 0;
        self.stepped = now;
        self.broken = None;
        self.slow = 0;
        Some(cause)
    }

    /// Counts answers that finished and takes a step if they are enough for one.
    pub(super) fn grow(&mut self, now: Time, cfg: &Config, finished: u32) {
        self.finished = self.finished.saturating_add(finished);
        let due = now.since(self.stepped) >= cfg.step;
        if !due || self.finished < self.limit || self.limit >= self.slots || self.broken.is_some() {
            return;
        }
        let step = if self.limit < self.threshold {
            self.limit
        } else {
            (self.slots / GROWTH_PARTS).max(1)
        };
        self.limit = (self.limit + step).min(self.slots);
        self.finished = 0;
        self.stepped = now;
        if self.limit == self.slots {
            self.cause = None;
        }
    }

    /// Halves the limit, once for all that goes wrong at about the same time.
    pub(super) fn halve(&mut self, now: Time, cfg: &Config) {
        if now.since(self.halved) < cfg.halving {
            return;
        }
        self.halved = now;
        self.stepped = now;
        self.finished = 0;
        self.threshold = (self.limit / 2).max(2);
        self.limit = (self.limit / 2).max(1);
    }

    /// Allows one request at a time until a report shows whether the target was restarted.
    pub(super) fn on_broken(&mut self, now: Time) {
        let before = self.broken.map_or(self.limit, |(_, before)| before);
        self.broken = Some((now, before));
        self.limit = 1;
        self.finished = 0;
        self.stepped = now;
    }

    fn on_answer(&mut self, now: Time) {
        self.answered = Some(now);
        self.unanswered = 0;
    }

    fn on_started(&mut self, now: Time, cfg: &Config, after: Duration) {
        self.on_answer(now);
        self.held = Time::default();
        self.backoff = Duration::ZERO;
        if self.start.is_slow(after) && after >= SLOW_START_MIN {
            self.halve(now, cfg);
        }
    }

    fn on_finished(
        &mut self,
        now: Time,
        cfg: &Config,
        took: Duration,
        tokens: u64,
    ) -> Option<Cause> {
        self.on_answer(now);
        let pace = took / u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        if !self.pace.is_slow(pace) {
            self.slow = 0;
            self.grow(now, cfg, 1);
            return None;
        }
        self.slow += 1;
        if self.slow < SLOW_RUN {
            return None;
        }
        self.cool(now, Cause::Slow)
    }

    fn on_unanswered(&mut self, now: Time) -> Option<Cause> {
        self.unanswered += 1;
        if self.unanswered < UNANSWERED_RUN || self.cause == Some(Cause::Silent) {
            return None;
        }
        self.cool(now, Cause::Silent)
    }

    /// Keeps work away for a while that doubles until the target answers.
    fn hold(&mut self, now: Time, cfg: &Config) {
        if !self.is_free(now) {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(cfg.hold, cfg.hold_max);
        self.held = now + self.backoff;
    }

    /// A target that has been up for long can bear what it runs already.
    fn credit(&mut self, report: Report) {
        if report.uptime >= SETTLED && report.waiting == 0 {
            self.limit = self.limit.max(report.running.min(self.slots));
        }
    }

    /// Grows with the work of routers out of sight. Without it the owner on one side of a partition would
    /// find its whole limit used by the other side, and would never see a request finish.
    fn grow_by_others(&mut self, now: Time, cfg: &Config, report: Report) {
        let settled = report.uptime >= SETTLED && report.waiting == 0;
        if settled && report.running >= self.limit {
            self.finished = self.finished.max(self.limit);
            self.grow(now, cfg, 0);
        }
    }

    /// Returns to half of the former limit once a report after a broken connection shows that the
    /// target was up all the time.
    fn settle_broken(&mut self, now: Time) {
        let Some((at, before)) = self.broken else {
            return;
        };
        if now.since(at) < SLOW_START_MIN {
            return;
        }
        self.broken = None;
        self.threshold = (before / 2).max(2);
        self.limit = (before / 2).clamp(1, self.slots);
        self.finished = 0;
        self.stepped = now;
    }
}

/// What is usual for a target.
#[derive(Debug, Default)]
struct Baseline {
    micros: u64,
    samples: u32,
}

impl Baseline {
    /// Takes in a sample and says whether it is far above what was usual before.
    fn is_slow(&mut self, sample: Duration) -> bool {
        let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        let slow = self.samples >= BASELINE_SAMPLES
            && sample > self.micros.max(1).saturating_mul(SLOW_FACTOR);
        if self.samples == 0 {
            self.micros = sample;
        } else {
            self.micros = self.micros - self.micros / BASELINE_PARTS + sample / BASELINE_PARTS;
        }
        self.samples = self.samples.saturating_add(1);
        slow
    }
}

/// Says whether a target was restarted between two reports.
fn restarted((before, old): (Time, Report), (now, new): (Time, Report)) -> bool {
    let went_back = new.uptime < old.uptime;
    let expected = old.uptime + now.since(before);
    went_back || new.uptime + REPORT_LAG < expected
}
