//! The health of one target, and its limit of concurrent requests.

use crate::input::{Report, TargetLoad};
use crate::prelude::*;
use crate::target::Config;

/// Number of samples from which a baseline is used.
const BASELINE_SAMPLES: u32 = 8;
/// The reciprocal of a new sample's weight in a baseline.
const BASELINE_PARTS: u64 = 16;
/// The ratio to the baseline above which a sample is slow.
const SLOW_FACTOR: u64 = 3;
/// The shortest time to the start of an answer that may be slow, and the shortest time after a
/// broken connection from which a report shows whether the target was restarted.
const SLOW_START_MIN: Duration = Duration::from_secs(1);
/// The number of consecutive slow answers that makes a target cold.
const SLOW_RUN: u32 = 3;
/// The number of consecutive unanswered requests that makes a target cold.
const UNANSWERED_RUN: u32 = 2;
/// How much the start times of a target computed from two reports may differ because of delays of
/// the reports.
const REPORT_LAG: Duration = Duration::from_secs(5);
/// The uptime from which the limit of a target may be raised to the number of requests that it
/// runs.
const SETTLED_UPTIME: Duration = Duration::from_secs(10);
/// The slots per step of growth above the last limit that proved too high.
const GROWTH_DIVISOR: u32 = 32;

/// Why a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The target is new to this router.
    New,
    /// The target's data centre was out of service.
    Returned,
    /// The target was restarted.
    Restarted,
    /// The target did not answer.
    Silent,
    /// The target suddenly became slow.
    Slow,
}

impl Cause {
    /// Returns the name of the cause in logs and statuses. The name is stable.
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

/// An observation about the health of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// An answer started.
    Started {
        /// The time since the dispatch.
        after: Duration,
    },
    /// An answer did not start in time.
    Late,
    /// A stream has been in progress for long enough to count as a finished answer.
    Flowing,
    /// An answer finished.
    Finished {
        /// The time since the answer started.
        took: Duration,
        /// The number of tokens in the answer.
        tokens: u64,
    },
    /// The target declined a request.
    Declined,
    /// The target failed a request.
    Failed,
    /// A connection broke during an answer.
    Broken,
    /// The target did not answer: no connection could be established, or all its streams stalled.
    Unanswered,
    /// A connection became unresponsive. A single unresponsive connection does not show that the
    /// target is at fault, so a new connection is attempted before requests are withheld from the
    /// target.
    Silent,
}

/// The health and the limit of one target, as known to one router.
#[derive(Debug)]
pub(super) struct Health {
    pub(super) slots: u32,
    pub(super) limit: u32,
    /// Why the target was last cold, until its limit has reached the slots.
    pub(super) cause: Option<Cause>,
    /// The value above which the limit grows slowly: half of the last limit that proved too high,
    /// or the limit that the former owner granted.
    threshold: u32,
    /// The number of answers that have finished since `changed_at`.
    finished: u32,
    /// When the limit last grew by a step or was reduced.
    changed_at: Time,
    halved_at: Time,
    /// The end of the back-off, until which the target receives no requests.
    held_until: Time,
    backoff: Duration,
    /// The number of consecutive unanswered requests.
    unanswered: u32,
    /// When a connection broke, and the limit before, until a report shows whether the target was
    /// restarted.
    broken: Option<(Time, u32)>,
    /// When the target last answered.
    answered_at: Option<Time>,
    report: Option<(Time, Report)>,
    /// The load that the target reported with its last answer.
    answer_load: Option<TargetLoad>,
    /// The usual time to the start of an answer.
    start: Baseline,
    /// The usual time per token.
    pace: Baseline,
    /// The number of consecutive slow answers.
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
            changed_at: now,
            halved_at: Time::default(),
            held_until: Time::default(),
            backoff: Duration::ZERO,
            unanswered: 0,
            broken: None,
            answered_at: None,
            report: None,
            answer_load: None,
            start: Baseline::default(),
            pace: Baseline::default(),
            slow: 0,
        }
    }

    /// Returns the number of requests that the target runs, according to the load in its last
    /// answer or else its last report.
    pub(super) fn running(&self) -> u32 {
        match (self.answer_load, self.report) {
            (Some(load), _) => load.running,
            (None, Some((_, report))) => report.running,
            (None, None) => 0,
        }
    }

    /// Returns whether the target is not in back-off.
    pub(super) fn is_available(&self, now: Time) -> bool {
        now >= self.held_until
    }

    /// Processes a signal. Returns the cause if the signal makes the target cold.
    pub(super) fn on_signal(&mut self, now: Time, cfg: &Config, signal: Signal) -> Option<Cause> {
        match signal {
            Signal::Started { after } => self.on_started(now, cfg, after),
            Signal::Flowing => {
                self.on_answer(now);
                self.grow(now, cfg, 1);
            }
            Signal::Finished { took, tokens } => return self.on_finished(now, cfg, took, tokens),
            Signal::Declined => {
                self.on_answer(now);
                self.halve(now, cfg);
                self.back_off(now, cfg);
            }
            Signal::Late | Signal::Failed => self.halve(now, cfg),
            Signal::Broken => self.on_broken(now),
            Signal::Unanswered => {
                self.back_off(now, cfg);
                return self.on_unanswered(now);
            }
            Signal::Silent => {
                if self.unanswered > 0 {
                    self.back_off(now, cfg);
                }
                return self.on_unanswered(now);
            }
        }
        None
    }

    /// Processes a report. Returns the cause if the report makes the target cold.
    pub(super) fn on_report(&mut self, now: Time, cfg: &Config, report: Report) -> Option<Cause> {
        let before = self.report.replace((now, report));
        self.unanswered = 0;
        match before {
            Some((at, old)) if restarted((at, old), (now, report)) => {
                return self.cool(now, Cause::Restarted);
            }
            None if self.cause == Some(Cause::New) => self.raise_to_running(report),
            _ => {}
        }
        self.resolve_broken(now);
        self.grow_by_reported_load(now, cfg, report);
        None
    }

    /// Records the load that the target reported with an answer.
    pub(super) const fn on_load(&mut self, load: TargetLoad) {
        self.answer_load = Some(load);
    }

    /// Makes the target cold if it has reported before, but has sent neither a report nor an answer
    /// within the report timeout.
    pub(super) fn on_timeout(&mut self, now: Time, cfg: &Config) -> Option<Cause> {
        let (reported_at, _) = self.report?;
        let last_contact = self
            .answered_at
            .map_or(reported_at, |at| at.max(reported_at));
        let is_cold = self.cause == Some(Cause::Silent) && self.limit == 1;
        if is_cold || now.since(last_contact) < cfg.report_timeout {
            return None;
        }
        self.cool(now, Cause::Silent)
    }

    /// Takes over the limit from the former owner. Starts with half of the limit that the former
    /// owner sent, or with the number of requests that the target already runs if that is more.
    pub(super) fn take_over(&mut self, now: Time, former_limit: Option<u32>) {
        self.threshold = former_limit.map_or(u32::MAX, |limit| limit.max(2));
        self.limit = (former_limit.unwrap_or(1) / 2).clamp(1, self.slots);
        self.changed_at = now;
        self.finished = 0;
        if let Some((_, report)) = self.report {
            self.raise_to_running(report);
        }
    }

    /// Makes the target cold, and returns the cause.
    pub(super) fn cool(&mut self, now: Time, cause: Cause) -> Option<Cause> {
        self.limit = 1;
        self.cause = Some(cause);
        self.threshold = u32::MAX;
        self.finished = 0;
        self.changed_at = now;
        self.broken = None;
        self.slow = 0;
        Some(cause)
    }

    /// Counts finished answers. Increases the limit once as many answers have finished as the limit
    /// allows requests, and the shortest time between two increases has passed.
    pub(super) fn grow(&mut self, now: Time, cfg: &Config, finished: u32) {
        self.finished = self.finished.saturating_add(finished);
        let due = now.since(self.changed_at) >= cfg.step;
        if !due || self.finished < self.limit || self.limit >= self.slots || self.broken.is_some() {
            return;
        }
        let step = if self.limit < self.threshold {
            self.limit
        } else {
            (self.slots / GROWTH_DIVISOR).max(1)
        };
        self.limit = (self.limit + step).min(self.slots);
        self.finished = 0;
        self.changed_at = now;
        if self.limit == self.slots {
            self.cause = None;
        }
    }

    /// Halves the limit, once for all failures at about the same time.
    pub(super) fn halve(&mut self, now: Time, cfg: &Config) {
        if now.since(self.halved_at) < cfg.halving {
            return;
        }
        self.halved_at = now;
        self.changed_at = now;
        self.finished = 0;
        self.threshold = (self.limit / 2).max(2);
        self.limit = (self.limit / 2).max(1);
    }

    /// Reduces the limit to one request until a report shows whether the target was restarted.
    pub(super) fn on_broken(&mut self, now: Time) {
        let before = self.broken.map_or(self.limit, |(_, before)| before);
        self.broken = Some((now, before));
        self.limit = 1;
        self.finished = 0;
        self.changed_at = now;
    }

    fn on_answer(&mut self, now: Time) {
        self.answered_at = Some(now);
        self.unanswered = 0;
    }

    fn on_started(&mut self, now: Time, cfg: &Config, after: Duration) {
        self.on_answer(now);
        self.held_until = Time::default();
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

    /// Starts a back-off during which the target receives no requests. The back-off doubles until
    /// the target answers.
    fn back_off(&mut self, now: Time, cfg: &Config) {
        if !self.is_available(now) {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(cfg.hold, cfg.hold_max);
        self.held_until = now + self.backoff;
    }

    /// Raises the limit to the number of requests that the target already runs, if it has been up
    /// for long enough and has none waiting.
    fn raise_to_running(&mut self, report: Report) {
        if report.uptime >= SETTLED_UPTIME && report.waiting == 0 {
            self.limit = self.limit.max(report.running.min(self.slots));
        }
    }

    /// Increases the limit because of requests of routers that this router cannot reach. Otherwise,
    /// in a partition, the requests of the other side could use up the limit of the owner on this
    /// side, which would then never observe a finished request.
    fn grow_by_reported_load(&mut self, now: Time, cfg: &Config, report: Report) {
        let is_settled = report.uptime >= SETTLED_UPTIME && report.waiting == 0;
        if is_settled && report.running >= self.limit {
            self.finished = self.finished.max(self.limit);
            self.grow(now, cfg, 0);
        }
    }

    /// Restores half of the former limit when a report after a broken connection shows that the
    /// target was not restarted.
    fn resolve_broken(&mut self, now: Time) {
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
        self.changed_at = now;
    }
}

/// The moving average of a target's times.
#[derive(Debug, Default)]
struct Baseline {
    micros: u64,
    samples: u32,
}

impl Baseline {
    /// Adds a sample, and returns whether it is far above the previous average.
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

/// Returns whether a target was restarted between two reports.
fn restarted((before, old): (Time, Report), (now, new): (Time, Report)) -> bool {
    let has_decreased = new.uptime < old.uptime;
    let expected = old.uptime + now.since(before);
    has_decreased || new.uptime + REPORT_LAG < expected
}
