//! The pace of targets that have started or recovered: when it starts, what the answers show, and this
//! router's part of it.

use crate::input::{AttemptEvent, FailureKind};
use crate::limit::Part;
use crate::node::Node;
use crate::node::attempt::{Flow, shows_start};
use crate::pace::{Change, Surroundings};
use crate::prelude::*;
use crate::slots::Policy;

/// How long after its start a router paces no target: all of them are new to it.
const STARTUP: Duration = Duration::from_secs(5);

impl Node {
    /// Starts to pace a target that has started or recovered.
    pub(super) fn start_pace(&mut self, target: TargetId) {
        let is_local = self.slots.cfg.policy == Policy::Local;
        if !is_local || self.cx.now.since(self.started) < STARTUP {
            return;
        }
        let Some(pool) = self.pool_of_target(target) else {
            return;
        };
        if !self.pace.is_paced(target) {
            self.rank_for_limits();
        }
        let cold_per_s = self.allowance(pool).per_second;
        let change = self.pace.on_start(self.cx.now, (pool, target), cold_per_s);
        self.report_pace(target, change);
    }

    /// Updates the pace of an attempt's target by an event of the attempt.
    pub(super) fn update_pace_by(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if self.slots.cfg.policy != Policy::Local {
            return;
        }
        let Some(attempt) = self.attempts.get(&attempt) else {
            return;
        };
        let (now, target, sent) = (self.cx.now, attempt.target, attempt.sent);
        let (pool, tokens) = (attempt.runs_as.0, attempt.sample.tokens);
        let is_first = matches!(attempt.flow, Flow::Pending | Flow::Late) && shows_start(event);
        if is_first {
            let took = now.since(sent);
            let usual = self.usual_starts.time(pool, tokens);
            if !self.pace.is_paced(target) {
                self.usual_starts.on_answer(pool, tokens, took);
            }
            let change = self.pace.on_answer(now, target, (sent, took), usual);
            self.report_pace(target, change);
        }
        match event {
            AttemptEvent::Started | AttemptEvent::Progress { .. } => {}
            AttemptEvent::Finished { .. } | AttemptEvent::Withheld => {}
            AttemptEvent::Failed(failure) if !failure.sent || is_silence(failure.kind) => {
                self.start_pace_after_silence(pool, target, failure.kind);
                self.slow_down(target);
            }
            AttemptEvent::Declined | AttemptEvent::Failed(_) => self.slow_down(target),
        }
    }

    /// Paces a target that does not answer. One broken or silent connection does not show that a
    /// target is at fault, and so counts only where targets may be cold afterwards.
    fn start_pace_after_silence(&mut self, pool: PoolId, target: TargetId, kind: FailureKind) {
        let is_refused = kind == FailureKind::Connect;
        let is_counted = is_refused || self.allowance(pool).per_second > 0;
        if is_counted && !self.pace.is_paced(target) {
            self.start_pace(target);
        }
    }

    fn slow_down(&mut self, target: TargetId) {
        let change = self.pace.on_refused(self.cx.now, target);
        self.report_pace(target, change);
    }

    /// Recomputes this router's part of each pace, and ends rounds that are over.
    pub(super) fn update_pace(&mut self) {
        let now = self.cx.now;
        let catalogue = &self.catalogue;
        self.pace
            .retain_known(|target| catalogue.target(target).is_some());
        self.usual_starts
            .retain_known(|pool| catalogue.pool(pool).is_some());
        let paced: Vec<(TargetId, PoolId)> = self.pace.targets().collect();
        for (target, pool) in paced {
            let surroundings = Surroundings {
                is_cold: self.has_cold_limit(pool, target),
                part: self.part_by_demand(pool),
                running: self.balance.load(now, target).requests,
            };
            let change = self.pace.update(now, target, surroundings);
            self.report_pace(target, change);
        }
    }

    /// Returns this router's part of a rate at a target of a pool.
    fn part_by_demand(&self, pool: PoolId) -> Part {
        let now = self.cx.now;
        let routers = self.sharing_peers().count() as u64 + 1;
        let heard = self.balance.reporting_peers(now) as u64 + 1;
        let (others, own) = self.balance.demand(now, pool);
        Part {
            own,
            others,
            heard: heard.min(routers),
            routers,
        }
    }

    fn has_cold_limit(&self, pool: PoolId, target: TargetId) -> bool {
        self.cold_targets.is_cold(self.cx.now, target) && self.allowance(pool).per_second > 0
    }

    pub(super) fn pool_of_target(&self, target: TargetId) -> Option<PoolId> {
        let view = self.catalogue.target(target)?;
        let (pool, _) = self.catalogue.pool_by_name(&view.entry.pool)?;
        Some(pool)
    }

    fn report_pace(&mut self, target: TargetId, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        let names = self.target_names(core::iter::once(target));
        let name = names.first().map_or("a former target", String::as_str);
        let (counter, subject) = match change {
            Change::Started(rate) => {
                let subject = format!("{name} is paced from {rate} requests/s of all routers");
                (Counter::TargetPaced, subject)
            }
            Change::Halved(rate) => {
                let subject = format!("the pace of {name} was halved to {rate} requests/s");
                (Counter::TargetPaceHalved, subject)
            }
            Change::Ended => {
                let subject = format!("{name} is no longer paced");
                (Counter::TargetPaceEnded, subject)
            }
        };
        self.cx.count(counter);
        self.cx.notice(NoticeKind::Target, subject);
    }
}

/// Says whether a failure shows that the target may not be there any more.
const fn is_silence(kind: FailureKind) -> bool {
    matches!(
        kind,
        FailureKind::Connect | FailureKind::Silent | FailureKind::Broken
    )
}
