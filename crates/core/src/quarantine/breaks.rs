//! Broken connections for which it is not known yet whether the target crashed.

use crate::prelude::*;
use crate::quarantine::Config;

/// Maximum number of broken connections with an undetermined cause.
const BREAKS_MAX: usize = 1_000;

/// A connection that broke while a request was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Break {
    /// The target at which the request was running.
    pub target: TargetId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When the request was dispatched.
    pub began: Time,
    /// When the connection broke.
    pub at: Time,
    /// Whether the request ran alone at the target.
    pub alone: bool,
}

/// The cause of a broken connection, once it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The target crashed.
    Crashed(Break),
    /// The target did not crash; only the connection broke.
    StayedUp(Break),
}

/// The broken connections for which it is not known yet whether the target crashed.
#[derive(Debug)]
pub struct Breaks {
    cfg: Config,
    undetermined: Vec<Break>,
}

impl Breaks {
    /// Returns a state without broken connections.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            undetermined: Vec::new(),
        }
    }

    /// Adds a broken connection. Drops the oldest one if there are too many.
    pub fn push(&mut self, new: Break) {
        if self.undetermined.len() >= BREAKS_MAX {
            self.undetermined.remove(0);
        }
        self.undetermined.push(new);
    }

    /// Processes the uptime that a target reported, and returns the broken connections whose cause
    /// is known now.
    ///
    /// A restart between the dispatch and the report is a crash. A long uptime only proves that the
    /// target stayed up if the report was certainly made after the connection broke.
    pub fn on_report(&mut self, now: Time, target: TargetId, uptime: Duration) -> Vec<Finding> {
        let up_since = now - uptime;
        let lag = self.cfg.report_lag;
        self.take_determined(|broken| {
            if broken.target != target {
                None
            } else if up_since > broken.began {
                Some(Finding::Crashed(*broken))
            } else if now >= broken.at + lag {
                Some(Finding::StayedUp(*broken))
            } else {
                None
            }
        })
    }

    /// Treats every target as crashed that has not reported within the report timeout after a
    /// connection broke, and returns these broken connections.
    pub fn on_timeout(&mut self, now: Time) -> Vec<Finding> {
        let timeout = self.cfg.report_timeout;
        self.take_determined(|broken| {
            (now >= broken.at + timeout).then_some(Finding::Crashed(*broken))
        })
    }

    /// Returns whether it is not known yet if a request with this fingerprint crashed a target on
    /// which it ran alone.
    pub fn is_undetermined_alone(&self, fingerprint: Fingerprint) -> bool {
        self.undetermined
            .iter()
            .any(|broken| broken.alone && broken.fingerprint == fingerprint)
    }

    /// Removes the broken connections for which `determine` returns a finding, and returns the
    /// findings.
    fn take_determined(&mut self, determine: impl Fn(&Break) -> Option<Finding>) -> Vec<Finding> {
        let findings = self.undetermined.iter().filter_map(&determine).collect();
        self.undetermined
            .retain(|broken| determine(broken).is_none());
        findings
    }
}
