//! Version moves: which router decides, and what attempts show about the two versions.

use crate::input::{AttemptEvent, Failure, FailureKind};
use crate::lease::message::Lease;
use crate::membership;
use crate::node::attempt::{Attempt, Flow};
use crate::node::{CatalogueSource, Node};
use crate::output::Output;
use crate::prelude::*;
use crate::version::evidence::{Load, Measure, Route, Slice};
use crate::version::{Arm, Deciders};

/// The number of output tokens after which the pace of a stream is compared.
const PACE_TOKENS_MIN: u64 = 8;
/// How much longer each decider waits than the one ranked before it until it reports a move to
/// operators: the time of a few answers of the store.
const REPORT_STAGGER: Duration = Duration::from_millis(300);

/// What is compared between versions for one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionSample {
    pub(super) route: Route,
    /// The tokens that the target has to read before the answer starts.
    pub(super) tokens: u32,
    /// Whether the pace of the attempt has been compared.
    paced: bool,
    /// Whether the attempt was slow to start.
    slow: bool,
}

impl VersionSample {
    pub(super) const fn new(route: Route, tokens: u32) -> Self {
        Self {
            route,
            tokens,
            paced: false,
            slow: false,
        }
    }
}

impl Node {
    /// Updates the version moves from the catalogue, and takes the steps for which this router is
    /// responsible.
    pub(super) fn follow_moves(&mut self) {
        let now = self.cx.now;
        self.moves.follow(now, &self.catalogue);
        self.request_recorded_statuses();
        if !self.moves.is_due(now) {
            return;
        }
        if self.moves.is_empty() {
            return;
        }
        let pools = self.moves.pools();
        let open = self.moves.unfinished();
        let partners: Vec<RouterId> = self.members.partners().collect();
        // Without a log there are no leases: the preferred router decides, and facts only merge.
        let log_down = self.reader.down || self.cfg.log.source == CatalogueSource::Store;
        for pool in pools {
            let deciders = self.deciders(pool);
            let rank = deciders.iter().position(|&router| router == self.cx.me);
            if open.contains(&pool) {
                self.take_steps(pool, &deciders);
            }
            let is_best = rank == Some(0);
            self.moves
                .publish(&mut self.cx, pool, is_best, log_down, &partners);
            if let Some(rank) = rank {
                self.report_move_status(pool, rank);
            }
        }
    }

    /// Returns the routers that decide on the move of a pool, the most preferred first.
    fn deciders(&self, pool: PoolId) -> Vec<RouterId> {
        let count = self.moves.cfg().deciders;
        membership::best(decider_key(pool), self.members.live(self.cx.now), count)
    }

    /// Asks the embedding for the recorded statuses if this router decides on a move whose status it
    /// does not know. The other routers learn the status from those that decide.
    fn request_recorded_statuses(&mut self) {
        let pools = self.moves.pools_without_status(self.cx.now);
        let me = self.cx.me;
        if pools.iter().any(|&pool| self.deciders(pool).contains(&me)) {
            self.cx.out.push(Output::ReadMoveStatuses);
        }
    }

    /// Asks the embedding to record the status of a move whenever the status has changed. Deciders
    /// of lower preference wait, so that they find the status recorded unless the preferred ones
    /// cannot reach the store.
    fn report_move_status(&mut self, pool: PoolId, rank: usize) {
        let wait = REPORT_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        if self.cfg.log.source == CatalogueSource::Store
            && let Some(status) = self.moves.status_for_operators(self.cx.now, pool, wait)
        {
            self.cx.out.push(Output::MoveProgress(status));
        }
    }

    /// Returns the pool and the version of a target.
    pub(super) fn version_of(&self, target: TargetId) -> Option<(PoolId, &str)> {
        let view = self.catalogue.target(target)?;
        let (pool, _) = self.catalogue.pool_by_name(&view.entry.pool)?;
        Some((pool, view.entry.version.as_str()))
    }

    /// Returns the load of a target, as far as this router knows it.
    pub(super) fn load_of(&self, target: TargetId) -> Load {
        let own = self.slots.holder.running(target);
        self.targets.load(target, own)
    }

    /// Adds what an event of an attempt shows to the evidence that compares the two versions of a
    /// pool.
    pub(super) fn compare_versions(&mut self, id: AttemptId, event: AttemptEvent) {
        if self.moves.is_empty() {
            return;
        }
        let now = self.cx.now;
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (target, mut sample, flow) = (attempt.target, attempt.sample, attempt.flow);
        let Some((pool, version)) = self.version_of(target) else {
            return;
        };
        if self.moves.next_arm(pool) == Arm::Any {
            return;
        }
        let version = version.to_owned();
        // A report is old by the time of the dispatch; a later one is closer to the load that the
        // attempt met.
        sample.route.load = sample.route.load.max(self.load_of(target));
        if let Some((measure, time)) = measurement(now, attempt, event) {
            let route = sample.route;
            let slice = Slice::of(route, target);
            let took = (sample.tokens, time);
            let is_slow = self.moves.is_slow(pool, &version, route, measure, took);
            // The pace of a long stream is known only seconds after its start, so the start also
            // counts by itself.
            if let Some(slow) = is_slow.filter(|_| measure == Measure::Start) {
                self.moves.on_started(pool, &version, slice, slow);
            }
            let slow = is_slow.map(|slow| slow || sample.slow);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.sample.route = route;
                attempt.sample.paced |= measure == Measure::Pace;
                attempt.sample.slow = slow.unwrap_or(sample.slow);
            }
            if let Some(slow) = slow.filter(|_| measure == Measure::Pace) {
                self.moves.on_timed(pool, &version, slice, slow);
            }
        }
        let slice = Slice::of(sample.route, target);
        if event == AttemptEvent::Declined {
            self.moves.on_declined(pool, &version, slice);
        }
        if is_break(event) {
            self.moves.on_break(&mut self.cx, pool, target, &version);
        }
        // A late start has already been counted as a failure.
        if flow != Flow::Late
            && let Some(failed) = ended_in_failure(event)
        {
            self.moves
                .on_end(&mut self.cx, pool, &version, slice, failed);
        }
    }

    /// Counts an answer that did not start in time as a failure of its version.
    pub(super) fn compare_late_start(&mut self, target: TargetId, route: Route) {
        let Some((pool, version)) = self.version_of(target) else {
            return;
        };
        let version = version.to_owned();
        let slice = Slice::of(route, target);
        self.moves.on_end(&mut self.cx, pool, &version, slice, true);
    }

    fn take_steps(&mut self, pool: PoolId, deciders: &[RouterId]) {
        let now = self.cx.now;
        let lease = Lease::Move(pool);
        let log_down = self.reader.down || self.cfg.log.source == CatalogueSource::Store;
        if deciders.first() == Some(&self.cx.me) && !log_down {
            self.leases.claim_if_due(&mut self.cx, lease);
        }
        let usable = self.catalogue.targets_of(pool).any(|view| {
            let new = self.moves.arm_includes(pool, Arm::New, &view.entry.version);
            new && self.targets.usable(now, &view)
        });
        let deciders = Deciders {
            routers: deciders,
            fence: self.leases.held(now, lease),
            log_down,
            has_target: usable,
            targets_known: self.targets_read,
        };
        self.moves.step(&mut self.cx, pool, deciders);
    }
}

/// Returns the rendezvous key that selects the routers that decide on a pool's move.
fn decider_key(pool: PoolId) -> u64 {
    u64::MAX - 1 - u64::from(pool.0)
}

/// Returns the kind of time that an event of an attempt measures, and the time itself; `None` if
/// the event measures none.
fn measurement(now: Time, attempt: &Attempt, event: AttemptEvent) -> Option<(Measure, Duration)> {
    let tokens = match event {
        AttemptEvent::Started => return Some((Measure::Start, now.since(attempt.sent))),
        AttemptEvent::Progress { tokens } if tokens >= PACE_TOKENS_MIN => tokens,
        AttemptEvent::Finished { tokens } => tokens.max(1),
        _ => return None,
    };
    let (Flow::Started(at) | Flow::Flowing(at)) = attempt.flow else {
        return None;
    };
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    (!attempt.sample.paced).then(|| (Measure::Pace, now.since(at) / tokens))
}

/// Returns whether an attempt that ran at the target failed; `None` if it has not ended or did not
/// run there. A failure to connect and a silent connection show nothing about the version; broken
/// connections are counted by target.
const fn ended_in_failure(event: AttemptEvent) -> Option<bool> {
    match event {
        AttemptEvent::Finished { .. } => Some(false),
        AttemptEvent::Failed(failure) => match failure.kind {
            FailureKind::Connect | FailureKind::Silent | FailureKind::Broken => None,
            _ => Some(true),
        },
        AttemptEvent::Declined
        | AttemptEvent::Started
        | AttemptEvent::Progress { .. }
        | AttemptEvent::Withheld => None,
    }
}

const fn is_break(event: AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Failed(Failure {
            kind: FailureKind::Broken,
            ..
        })
    )
}
