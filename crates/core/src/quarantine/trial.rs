//! A trial: running one suspect alone on a target.

use crate::prelude::*;

/// The trial of a suspect. A router has at most one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The request that is being tried.
    pub request: RequestId,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The pool of the request.
    pub pool: PoolId,
    /// The preferred target, which is used if it is available.
    pub prefer: Option<TargetId>,
    /// The phase of the trial.
    pub phase: Phase,
    /// When the coordinator's permit expires.
    pub permitted_until: Time,
    /// When the permit and the reservation are renewed next.
    pub renew_at: Time,
}

/// The phase of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The trial waits for a permit and for a target.
    Waiting,
    /// The target is reserved, and the requests that run there complete.
    Draining {
        /// The reserved target.
        target: TargetId,
        /// When the target was reserved.
        since: Time,
        /// Whether the target has reported since that it runs nothing.
        idle: bool,
    },
    /// The suspect is running.
    Running {
        /// The target at which the suspect is running.
        target: TargetId,
        /// Whether no other request is known to have run there at the same time.
        alone: bool,
    },
}

impl Trial {
    /// Returns a trial that has neither a permit nor a target.
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
            permitted_until: Time(0),
            renew_at: Time(0),
        }
    }

    /// Returns the target that is reserved for the trial.
    pub const fn target(&self) -> Option<TargetId> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Draining { target, .. } | Phase::Running { target, .. } => Some(target),
        }
    }

    /// Returns whether the suspect is running and no other request is known to have run
    /// concurrently at the target.
    pub const fn is_alone(&self) -> bool {
        matches!(self.phase, Phase::Running { alone: true, .. })
    }

    /// Processes the load that the target reported. Reports that may have been made before all
    /// routers knew of the reservation prove nothing, so they are ignored.
    pub fn on_report(&mut self, now: Time, lag: Duration, load: u32) {
        match &mut self.phase {
            Phase::Waiting => {}
            Phase::Draining { since, idle, .. } => {
                *idle = load == 0 && now >= *since + lag;
            }
            Phase::Running { alone, .. } => *alone &= load <= 1,
        }
    }

    /// Processes a reservation of the same target by another router.
    pub const fn on_rival_reservation(&mut self, rival_has_priority: bool) {
        match &mut self.phase {
            Phase::Waiting => {}
            Phase::Draining { .. } if rival_has_priority => self.phase = Phase::Waiting,
            Phase::Draining { .. } => {}
            Phase::Running { alone, .. } => *alone = false,
        }
    }
}
