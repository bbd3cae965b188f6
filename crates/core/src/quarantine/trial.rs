//! The trial of one suspect, alone on a target.

use crate::prelude::*;

/// The one trial of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The request that is tried.
    pub request: RequestId,
    /// What it contains.
    pub fingerprint: Fingerprint,
    /// The pool that it is for.
    pub pool: PoolId,
    /// The target that is taken if it can be.
    pub prefer: Option<TargetId>,
    /// How far the trial is.
    pub phase: Phase,
    /// Until when the coordinator's permit holds.
    pub permitted: Time,
    /// When permit and reservation are renewed.
    pub renew: Time,
}

/// How far a trial is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a permit and for a target.
    Waiting,
    /// Everybody keeps off the target, and what runs there comes to its end.
    Draining {
        /// The target.
        target: TargetId,
        /// Since when everybody keeps off.
        since: Time,
        /// Whether the target said since that it runs nothing.
        idle: bool,
    },
    /// The request runs.
    Running {
        /// The target.
        target: TargetId,
        /// Whether nothing else was seen to run there.
        alone: bool,
    },
}

impl Trial {
    /// Returns a trial that has no target yet.
    pub const fn new(
        request: RequestId,
        fingerprint: Fingerprint,
        pool: PoolId,
        prefer: Option<TargetId>,
    ) -> Self {
        Self {
            request,
            fingerprint,
            pool,
            prefer,
            phase: Phase::Waiting,
            permitted: Time(0),
            renew: Time(0),
        }
    }

    /// Returns the target that is kept for the trial.
    pub const fn target(&self) -> Option<TargetId> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Draining { target, .. } | Phase::Running { target, .. } => Some(target),
        }
    }

    /// Says whether the request runs, and nothing else was seen to run beside it.
    pub const fn is_alone(&self) -> bool {
        matches!(self.phase, Phase::Running { alone: true, .. })
    }

    /// Takes in what the target says of its load. Reports made before everybody knew of the trial
    /// prove nothing, so the first of them are passed over.
    pub fn on_report(&mut self, now: Time, lag: Duration, load: u32) {
        match &mut self.phase {
            Phase::Waiting => {}
            Phase::Draining { since, idle, .. } => {
                *idle = load == 0 && now >= *since + lag;
            }
            Phase::Running { alone, .. } => *alone &= load <= 1,
        }
    }

    /// Takes in that another router keeps the same target.
    pub const fn on_rival(&mut self, rival_goes_first: bool) {
        match &mut self.phase {
            Phase::Waiting => {}
            Phase::Draining { .. } if rival_goes_first => self.phase = Phase::Waiting,
            Phase::Draining { .. } => {}
            Phase::Running { alone, .. } => *alone = false,
        }
    }
}
