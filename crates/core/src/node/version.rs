//! Version moves: who decides, and what attempts show of both versions.

use crate::input::{AttemptEvent, Failure, FailureKind};
use crate::lease::message::Lease;
use crate::membership;
use crate::node::attempt::{Attempt, Flow};
use crate::node::{CatalogueSource, Node};
use crate::output::Output;
use crate::prelude::*;
use crate::version::evidence::{Load, Measure, Route, Slice};
use crate::version::{Arm, Deciders};

/// Tokens after which the pace of a stream is compared.
const PACE_TOKENS: u64 = 8;
/// How much longer a decider waits than the one before it, before it tells operators: a few answers of the store.
const TELL_AFTER: Duration = Duration::from_millis(300);

/// What is compared of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub(super) route: Route,
    /// The tokens that the target has to read before it starts.
    pub(super) tokens: u32,
    /// Whether its pace has been compared.
    paced: bool,
    /// Whether it was slow to start.
    slow: bool,
}

impl Trial {
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
    /// Follows the catalogue's moves and takes the steps that are due to this router.
    pub(super) fn follow_moves(&mut self) {
        let now = self.cx.now;
        self.moves.follow(&self.catalogue);
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
            let count = self.moves.cfg().deciders;
            let deciders = membership::best(move_key(pool), self.members.live(now), count);
            let rank = deciders.iter().position(|&router| router == self.cx.me);
            if open.contains(&pool) {
                self.take_steps(pool, &deciders);
            }
            let is_best = rank == Some(0);
            self.moves
                .publish(&mut self.cx, pool, is_best, log_down, &partners);
            if let Some(rank) = rank {
                self.tell_operators(pool, rank);
            }
        }
    }

    /// Asks the embedding to record how a move stands, whenever that changed. A decider of a higher rank waits, so
    /// that the others find it recorded unless the better ones cannot reach the store.
    fn tell_operators(&mut self, pool: PoolId, rank: usize) {
        let wait = TELL_AFTER * u32::try_from(rank).unwrap_or(u32::MAX);
        if self.cfg.log.source == CatalogueSource::Store
            && let Some(stand) = self.moves.status_for_operators(self.cx.now, pool, wait)
        {
            self.cx.out.push(Output::MoveProgress(stand));
        }
    }

    /// Returns the version of a target.
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

    /// Compares what an event shows of an attempt with the other version.
    pub(super) fn compare(&mut self, id: AttemptId, event: AttemptEvent) {
        if self.moves.is_empty() {
            return;
        }
        let now = self.cx.now;
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (target, mut trial, flow) = (attempt.target, attempt.trial, attempt.flow);
        let Some((pool, version)) = self.version_of(target) else {
            return;
        };
        if self.moves.next_arm(pool) == Arm::Any {
            return;
        }
        let version = version.to_owned();
        // Reports are old at the dispatch; a later one tells more of what the attempt met.
        trial.route.load = trial.route.load.max(self.load_of(target));
        if let Some((measure, time)) = measured(now, attempt, event) {
            let route = trial.route;
            let slice = Slice::of(route, target);
            let took = (trial.tokens, time);
            let is_slow = self.moves.is_slow(pool, &version, route, measure, took);
            // The pace of a long stream is known seconds after its start, so the start counts by itself too.
            if let Some(slow) = is_slow.filter(|_| measure == Measure::Start) {
                self.moves.on_started(pool, &version, slice, slow);
            }
            let slow = is_slow.map(|slow| slow || trial.slow);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.trial.route = route;
                attempt.trial.paced |= measure == Measure::Pace;
                attempt.trial.slow = slow.unwrap_or(trial.slow);
            }
            if let Some(slow) = slow.filter(|_| measure == Measure::Pace) {
                self.moves.on_timed(pool, &version, slice, slow);
            }
        }
        let slice = Slice::of(trial.route, target);
        if event == AttemptEvent::Declined {
            self.moves.on_declined(pool, &version, slice);
        }
        if is_break(event) {
            self.moves.on_break(&mut self.cx, pool, target, &version);
        }
        // A late start was counted as a failure already.
        if flow != Flow::Late
            && let Some(failed) = ended(event)
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
            self.leases.want(&mut self.cx, lease);
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
        };
        self.moves.step(&mut self.cx, pool, deciders);
    }
}

/// Returns the rendezvous key of the router that decides on a pool's move.
fn move_key(pool: PoolId) -> u64 {
    u64::MAX - 1 - u64::from(pool.0)
}

/// Returns the time that an event lets one compare.
fn measured(now: Time, attempt: &Attempt, event: AttemptEvent) -> Option<(Measure, Duration)> {
    let tokens = match event {
        AttemptEvent::Started => return Some((Measure::Start, now.since(attempt.sent))),
        AttemptEvent::Progress { tokens } if tokens >= PACE_TOKENS => tokens,
        AttemptEvent::Finished { tokens } => tokens.max(1),
        _ => return None,
    };
    let (Flow::Started(at) | Flow::Flowing(at)) = attempt.flow else {
        return None;
    };
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    (!attempt.trial.paced).then(|| (Measure::Pace, now.since(at) / tokens))
}

/// Says whether the attempt ran at the target and ended, and ill. That no connection could be made or that one
/// went silent says nothing of the version; broken ones are counted by target.
const fn ended(event: AttemptEvent) -> Option<bool> {
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
