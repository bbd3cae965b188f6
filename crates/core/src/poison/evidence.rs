//! What is known of one suspected part.

use crate::poison::Config;
use crate::poison::message::{BarRow, PartKey, Row};
use crate::prelude::*;

/// The most crashes that are remembered of a part, the newest ones.
const CRASHES_MAX: usize = 32;
/// The difference of two times by which a merged time counts as news. Ages grow by the transit time
/// of a message with each hop.
const NEWS_MIN: Duration = Duration::from_millis(200);

/// A crash of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The target.
    pub target: TargetId,
    /// When its connections broke.
    pub at: Time,
}

impl Crash {
    /// Returns whether two crashes are the same one, seen by different routers.
    pub fn is_same(self, other: Self, within: Duration) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.target == other.target && apart < within
    }
}

/// The bar of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bar {
    /// Identifies the bar, so that a router recognizes one that it hears of again. Of two bars that
    /// routers set at about the same time, all keep the one with the higher identity.
    pub id: u64,
    /// When the first crash of the run occurred for which the part is barred. An answer after that
    /// voids the bar.
    pub since: Time,
    /// Until when no request with the part is sent. A trial is due after that.
    pub until: Time,
    /// How many trials of the part have failed.
    pub failed_trials: u8,
}

/// What a router knows of a part that may crash targets.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The crashes of targets that had yet to answer a request with the part, by time.
    crashes: Vec<Crash>,
    /// When a target was last known to answer a request with the part.
    sound_at: Option<Time>,
    bar: Option<Bar>,
    /// Whether this router sent one of the requests.
    pub is_own: bool,
    /// When the evidence last changed.
    pub changed: Time,
}

impl Evidence {
    /// Adds a crash. Returns whether it was not known.
    ///
    /// `within` is the time within which breaks of a target are the same crash.
    pub fn add_crash(&mut self, crash: Crash, within: Duration) -> bool {
        let is_known = |known: &Crash| known.is_same(crash, within);
        if self.crashes.iter().any(is_known) {
            return false;
        }
        let at = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.remove(0);
        }
        true
    }

    /// Records that a target answered a request with the part. Returns whether peers have to know:
    /// if it is the first such answer known, or if it clears the part of a crash.
    pub fn clear(&mut self, at: Time) -> bool {
        let is_first = self.sound_at.is_none();
        if self.sound_at.is_some_and(|known| at < known + NEWS_MIN) {
            return false;
        }
        let is_cleared = |crash: &Crash| crash.at <= at;
        let clears = self.run(|_| false).any(|crash| is_cleared(&crash));
        self.sound_at = Some(at);
        is_first || clears
    }

    /// Returns the bar of the part, unless an answer has voided it.
    pub fn bar(&self) -> Option<Bar> {
        self.bar
            .filter(|bar| self.sound_at.is_none_or(|sound| sound < bar.since))
    }

    /// Bars the part, unless an answer has voided this bar or another one precedes it. Returns
    /// whether the bar changed.
    pub fn set_bar(&mut self, bar: Bar) -> bool {
        let is_void = self.sound_at.is_some_and(|sound| sound >= bar.since);
        let rank = |bar: Bar| (bar.failed_trials, bar.id);
        let is_news = !is_void && self.bar().is_none_or(|known| rank(bar) > rank(known));
        if is_news {
            self.bar = Some(bar);
        }
        is_news
    }

    /// Returns when a target was last known to answer a request with the part.
    pub const fn sound_at(&self) -> Option<Time> {
        self.sound_at
    }

    /// Returns all remembered crashes.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the crashes since the last answer, without those that have another explanation.
    pub fn run(&self, is_explained: impl Fn(Crash) -> bool) -> impl Iterator<Item = Crash> {
        let sound_at = self.sound_at;
        let is_after = move |crash: &Crash| sound_at.is_none_or(|sound| crash.at > sound);
        let run = self.crashes.iter().copied().filter(is_after);
        run.filter(move |crash| !is_explained(*crash))
    }

    /// Returns the message row of the part.
    pub fn row(&self, now: Time, key: PartKey) -> Row {
        let age = |at: Time| millis(now.since(at));
        let crashes = self.crashes.iter();
        Row {
            key,
            crashes: crashes.map(|crash| (crash.target, age(crash.at))).collect(),
            sound_age_ms: self.sound_at.map(age),
            bar: self.bar().map(|bar| BarRow {
                id: bar.id,
                since_age_ms: age(bar.since),
                left_ms: millis(bar.until.since(now)),
                failed_trials: bar.failed_trials,
            }),
        }
    }

    /// Merges a row received from a peer. Returns whether it holds anything new.
    pub fn merge(&mut self, now: Time, row: &Row, cfg: &Config) -> bool {
        let before = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        let mut is_news = false;
        for &(target, age_ms) in row.crashes.iter().take(CRASHES_MAX) {
            let at = before(age_ms);
            is_news |= self.add_crash(Crash { target, at }, cfg.same_report);
        }
        if let Some(age_ms) = row.sound_age_ms {
            is_news |= self.clear(before(age_ms));
        }
        if let Some(bar) = row.bar {
            let left = Duration::from_millis(u64::from(bar.left_ms)).min(cfg.bar_max);
            is_news |= self.set_bar(Bar {
                id: bar.id,
                since: before(bar.since_age_ms),
                until: now + left,
                failed_trials: bar.failed_trials,
            });
        }
        is_news
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
