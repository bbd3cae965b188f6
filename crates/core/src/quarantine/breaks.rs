//! Connections that broke, until it is known whether their target had crashed.

use crate::prelude::*;
use crate::quarantine::Config;

/// The most breaks that are followed at a time.
const BREAKS_MAX: usize = 1_000;

/// A connection that broke while a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Break {
    /// Where the request ran.
    pub target: TargetId,
    /// What ran.
    pub fingerprint: Fingerprint,
    /// When it was dispatched.
    pub began: Time,
    /// When the connection broke.
    pub at: Time,
    /// Whether it ran alone.
    pub alone: bool,
}

/// What became known about a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The target crashed.
    Crashed(Break),
    /// The target went on; the connection alone broke.
    WentOn(Break),
}

/// The breaks of which it is not known yet whether the target crashed.
#[derive(Debug)]
pub struct Breaks {
    cfg: Config,
    open: Vec<Break>,
}

impl Breaks {
    /// Returns a state without breaks.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            open: Vec::new(),
        }
    }

    /// Follows a break. The oldest ones are dropped if there are too many.
    pub fn push(&mut self, new: Break) {
        if self.open.len() >= BREAKS_MAX {
            self.open.remove(0);
        }
        self.open.push(new);
    }

    /// Takes in the uptime that a target reported.
    ///
    /// A report that may have been made before the break proves nothing by a long uptime. A restart
    /// between the dispatch and the report is a crash.
    pub fn on_report(&mut self, now: Time, target: TargetId, uptime: Duration) -> Vec<Finding> {
        let up_since = now - uptime;
        let lag = self.cfg.report_lag;
        self.find(|open| {
            if open.target != target {
                None
            } else if up_since > open.began {
                Some(Finding::Crashed(*open))
            } else if now >= open.at + lag {
                Some(Finding::WentOn(*open))
            } else {
                None
            }
        })
    }

    /// Takes a target for crashed that has not reported for too long after a break.
    pub fn on_silence(&mut self, now: Time) -> Vec<Finding> {
        let silence = self.cfg.silence;
        self.find(|open| (now >= open.at + silence).then_some(Finding::Crashed(*open)))
    }

    /// Says whether it is not known yet if a request crashed the target on which it was alone.
    pub fn is_open_alone(&self, fingerprint: Fingerprint) -> bool {
        self.open
            .iter()
            .any(|open| open.alone && open.fingerprint == fingerprint)
    }

    fn find(&mut self, judge: impl Fn(&Break) -> Option<Finding>) -> Vec<Finding> {
        let found = self.open.iter().filter_map(&judge).collect();
        self.open.retain(|open| judge(open).is_none());
        found
    }
}
