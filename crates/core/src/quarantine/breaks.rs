//! Broken connections for which it is not known yet whether the target crashed.

use crate::input::RunRecord;
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
    /// The target's last record when the connection broke, if it named its run.
    pub record: Option<RunRecord>,
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

    /// Processes data of an answer that arrived from a target, and returns the broken connections
    /// whose cause is known now. `sent` is when the answer's request was dispatched.
    ///
    /// A crash breaks all connections to a target at once. A connection that carries data after the
    /// break shows that the target stayed up if it is older than the break, or if a target that
    /// crashed could not be back yet.
    pub fn on_data(&mut self, now: Time, target: TargetId, sent: Time) -> Vec<Finding> {
        let Config {
            answer_lag,
            downtime_min,
            ..
        } = self.cfg;
        self.take_determined(|broken| {
            let is_after = now >= broken.at + answer_lag;
            let is_same_run = sent < broken.at || now < broken.at + downtime_min;
            (broken.target == target && is_after && is_same_run)
                .then_some(Finding::StayedUp(*broken))
        })
    }

    /// Processes a record that a target wrote, and returns the broken connections whose cause is
    /// known now. A record only proves that the target stayed up if it was certainly written after
    /// the connection broke.
    pub fn on_record(&mut self, now: Time, target: TargetId, record: RunRecord) -> Vec<Finding> {
        let Config {
            downtime_min,
            record_lag,
            ..
        } = self.cfg;
        self.take_determined(|broken| {
            let before = broken.record.filter(|_| broken.target == target)?;
            if record.started_ms != before.started_ms {
                (now >= broken.at + downtime_min).then_some(Finding::Crashed(*broken))
            } else {
                let is_after = now >= broken.at + record_lag && record.sequence > before.sequence;
                is_after.then_some(Finding::StayedUp(*broken))
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
        let findings: Vec<Finding> = self.undetermined.iter().filter_map(&determine).collect();
        if findings.is_empty() {
            return findings;
        }
        self.undetermined
            .retain(|broken| determine(broken).is_none());
        findings
    }
}
