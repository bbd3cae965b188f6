//! What targets stated in their answers: that they are leaving, or that they want no requests from
//! this router for a while.
//!
//! Such a statement binds this router until the target begins a new run. The store's record of the
//! target does not lift it, because the record may be older than the answer. A pause ends by itself;
//! after it, the target gets a few requests until it has begun to answer one, so that not all that
//! waited go to it at once.

use std::collections::BTreeMap;

use crate::input::{RequestedPause, TargetNotice};
use crate::prelude::*;

/// The pause that applies if the target stated one that cannot be read: about the shortest that
/// targets state.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause that applies, so that a wrong statement does not exclude a target for good. A
/// target that still wants no requests states it again.
const PAUSE_MAX: Duration = Duration::from_secs(600);
/// The most requests that are sent to a target in [`TRIAL_PERIOD`] after a pause, until it has begun
/// to answer one.
const TRIALS_MAX: u32 = 2;
/// The period over which trial requests are counted.
const TRIAL_PERIOD: Duration = Duration::from_millis(500);
/// The most targets whose statements are kept. Beyond it, the oldest statement is dropped.
const TARGETS_MAX: usize = 4_096;

/// The statements of targets that apply.
#[derive(Debug, Default)]
pub struct Notices {
    notices: BTreeMap<TargetId, Notice>,
    /// The run of each target that the store last named.
    runs: BTreeMap<TargetId, u64>,
}

/// What one target stated.
#[derive(Debug)]
struct Notice {
    /// When the target last stated something.
    at: Time,
    /// The run of the target, if the store has named one.
    run: Option<u64>,
    leaving: bool,
    pause: Option<Pause>,
}

#[derive(Debug)]
struct Pause {
    until: Time,
    /// When the target was last sent the first of several trial requests.
    trials_since: Time,
    trials: u32,
}

/// Whether a target takes requests, by what it stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The target stated nothing that applies.
    Open,
    /// The target wants no requests until this time.
    Paused(Time),
    /// The target is leaving.
    Leaving,
}

impl Notices {
    /// Records what a target stated. Returns whether that changes its standing.
    pub fn on_notice(&mut self, now: Time, target: TargetId, notice: TargetNotice) -> bool {
        if notice.is_empty() {
            return false;
        }
        let before = self.standing(now, target);
        let run = self.runs.get(&target).copied();
        let entry = self.notices.entry(target).or_insert(Notice {
            at: now,
            run,
            leaving: false,
            pause: None,
        });
        entry.at = now;
        entry.leaving |= notice.leaving;
        if let Some(pause) = notice.pause {
            let time = match pause {
                RequestedPause::For(time) => time.min(PAUSE_MAX),
                RequestedPause::Unreadable => UNREADABLE_PAUSE,
            };
            // Each statement applies for its own time, so a shorter one does not end a longer one.
            let running = entry.pause.as_ref().map_or(now, |pause| pause.until);
            entry.pause = Some(Pause {
                until: running.max(now + time),
                trials_since: now,
                trials: 0,
            });
        }
        self.drop_oldest();
        self.standing(now, target) != before
    }

    /// Records the run that the store names for a target. Returns whether statements of an earlier
    /// run were dropped.
    pub fn on_run(&mut self, target: TargetId, run: Option<u64>) -> bool {
        let Some(run) = run else {
            return false;
        };
        self.runs.insert(target, run);
        let Some(notice) = self.notices.get_mut(&target) else {
            return false;
        };
        // The first run that is named may be the one that made the statement.
        let is_same = *notice.run.get_or_insert(run) == run;
        if !is_same {
            self.notices.remove(&target);
        }
        !is_same
    }

    /// Records that a request is sent to a target.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId) {
        let pause = self
            .notices
            .get_mut(&target)
            .and_then(|it| it.pause.as_mut());
        let Some(pause) = pause else {
            return;
        };
        if now.since(pause.trials_since) >= TRIAL_PERIOD {
            pause.trials_since = now;
            pause.trials = 0;
        }
        pause.trials += 1;
    }

    /// Records that a target began to answer a request.
    pub fn on_started(&mut self, now: Time, target: TargetId) {
        let Some(notice) = self.notices.get_mut(&target) else {
            return;
        };
        if notice
            .pause
            .as_ref()
            .is_some_and(|pause| pause.until <= now)
        {
            notice.pause = None;
            if !notice.leaving {
                self.notices.remove(&target);
            }
        }
    }

    /// Drops the runs of targets that are unknown and have stated nothing.
    pub fn retain_known(&mut self, is_known: impl Fn(TargetId) -> bool) {
        let notices = &self.notices;
        self.runs
            .retain(|&target, _| is_known(target) || notices.contains_key(&target));
    }

    /// Returns whether a target takes requests, by what it stated.
    pub fn standing(&self, now: Time, target: TargetId) -> Standing {
        match self.notices.get(&target) {
            None => Standing::Open,
            Some(notice) if notice.leaving => Standing::Leaving,
            Some(notice) => match &notice.pause {
                Some(pause) if pause.until > now => Standing::Paused(pause.until),
                Some(_) | None => Standing::Open,
            },
        }
    }

    /// Returns whether a request may be sent to a target now.
    pub fn allows(&self, now: Time, target: TargetId) -> bool {
        let Some(notice) = self.notices.get(&target) else {
            return true;
        };
        let is_open = |pause: &Pause| {
            let is_new_period = now.since(pause.trials_since) >= TRIAL_PERIOD;
            pause.until <= now && (is_new_period || pause.trials < TRIALS_MAX)
        };
        !notice.leaving && notice.pause.as_ref().is_none_or(is_open)
    }

    /// Returns whether a target stated that it is leaving.
    pub fn is_leaving(&self, target: TargetId) -> bool {
        self.notices.get(&target).is_some_and(|it| it.leaving)
    }

    /// Returns the targets that stated that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = TargetId> {
        let leaving = self.notices.iter().filter(|(_, notice)| notice.leaving);
        leaving.map(|(&target, _)| target)
    }

    /// Returns whether no target has stated anything that applies.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    fn drop_oldest(&mut self) {
        if self.notices.len() <= TARGETS_MAX {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.at);
        if let Some((&target, _)) = oldest {
            self.notices.remove(&target);
        }
    }
}
