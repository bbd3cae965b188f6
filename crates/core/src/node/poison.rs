//! Poison: the path of evidence on parts of prompts through the node, and of the requests that have
//! barred parts.

use std::collections::BTreeSet;

use crate::attempt::Ending;
use crate::input::AttemptEvent;
use crate::membership::owner as rendezvous_owner;
use crate::node::Node;
use crate::node::attempt::Flow;
use crate::node::quarantine::looks_like_crash;
use crate::node::request::Stage;
use crate::output::Output;
use crate::poison::message::{PartKey, PoisonPart};
use crate::poison::{BarredPart, Change, shared_parts};
use crate::prelude::*;
use crate::slots::Policy;

impl Node {
    /// Records what an event of an attempt shows about the parts of its prompt.
    pub(super) fn judge_parts(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let now = self.cx.now;
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if state.is_sound {
            return;
        }
        let Some(active) = self.requests.get(&state.request) else {
            return;
        };
        let (risk, sound_after) = (self.poison.cfg().risk, self.poison.cfg().sound_after);
        let flowed = match state.flow {
            Flow::Pending | Flow::Late => None,
            Flow::Started(at) | Flow::Flowing(at) => Some(now.since(at)),
        };
        match event {
            AttemptEvent::Finished { tokens: 1.. } => state.is_sound = true,
            AttemptEvent::Progress { .. } => {
                state.is_sound = flowed.is_some_and(|flowed| flowed >= sound_after);
            }
            AttemptEvent::Failed(failure)
                if looks_like_crash(Ending::Failed(failure))
                    && flowed.is_none_or(|flowed| flowed <= risk) =>
            {
                self.cx.count(Counter::PartsSuspected);
                self.poison.on_break(now, state.target, &active.req);
            }
            AttemptEvent::Started
            | AttemptEvent::Finished { .. }
            | AttemptEvent::Declined
            | AttemptEvent::Withheld
            | AttemptEvent::Failed(_) => {}
        }
        if state.is_sound {
            let changes = self.poison.on_sound(now, &active.req);
            self.apply_part_changes(changes);
        }
    }

    /// Refuses a request that is in no queue if a part of its prompt is barred. Returns `true` if
    /// it did.
    pub(super) fn refuse_if_barred(&mut self, request: RequestId) -> bool {
        let now = self.cx.now;
        let Some(active) = self.requests.get(&request) else {
            return false;
        };
        let Some(barred) = self.poison.check(now, &active.req) else {
            return false;
        };
        let refusal = Refusal {
            verdict: active.retry_state.verdict(),
            reason: Reason::PartBarred,
            retry_after: Some(barred.left),
        };
        self.refuse(request, refusal);
        self.request_trial(barred);
        true
    }

    pub(super) fn on_poison_part(&mut self, from: RouterId, part: PoisonPart) {
        let now = self.cx.now;
        match part {
            PoisonPart::Rows(rows) => {
                let changes = self.poison.on_rows(now, &rows);
                self.apply_part_changes(changes);
            }
            PoisonPart::Ask(key) => {
                if self.poison.grant(now, key) {
                    let permit = Part::Poison(PoisonPart::Permit(key));
                    self.cx.send(from, permit, Urgency::Now);
                }
            }
            PoisonPart::Permit(key) => self.accept_permit(key),
        }
    }

    /// Allows a part again that is barred, because an operator says so.
    pub(super) fn lift_bar(&mut self, content: Fingerprint) {
        let changes = self.poison.lift(self.cx.now, content);
        self.apply_part_changes(changes);
    }

    /// Bars the parts for which the evidence suffices, and sends peers what changed.
    pub(super) fn advance_poison(&mut self) {
        let now = self.cx.now;
        let catalogue = &self.catalogue;
        let changes = self
            .poison
            .on_time(now, |pool| catalogue.targets_of(pool).count());
        self.apply_part_changes(changes);
        let Some(part) = self.poison.take_rows(now) else {
            return;
        };
        for to in self.evidence_readers() {
            self.cx.send(to, Part::Poison(part.clone()), Urgency::Now);
        }
    }

    /// Returns the routers to which evidence on parts is sent. Those that learn something new pass
    /// it on, so that it reaches the whole fleet on the paths of load reports.
    fn evidence_readers(&self) -> BTreeSet<RouterId> {
        let now = self.cx.now;
        let mut readers: BTreeSet<RouterId> = self.members.partners().collect();
        if self.slots.cfg.policy == Policy::Local {
            readers.extend(&self.load_readers);
            readers.extend(self.balance.members(now).map(|member| member.router));
            readers.extend(self.relays.sources(self.cx.me, &self.cfg.data_centre));
        }
        readers.remove(&self.cx.me);
        readers
    }

    fn request_trial(&mut self, barred: BarredPart) {
        if !barred.wants_permit {
            return;
        }
        let now = self.cx.now;
        let key = barred.key;
        let coordinator = rendezvous_owner(key.content.0, self.members.live(now));
        match coordinator {
            Some(coordinator) if coordinator != self.cx.me => {
                let ask = Part::Poison(PoisonPart::Ask(key));
                self.cx.send(coordinator, ask, Urgency::Now);
            }
            _ => {
                if self.poison.grant(now, key) {
                    self.accept_permit(key);
                }
            }
        }
    }

    /// Lets the next request with a part through as a trial.
    fn accept_permit(&mut self, key: PartKey) {
        self.poison.on_permit(self.cx.now, key);
        self.cx.count(Counter::PartTried);
    }

    /// Reports what this router newly believes of parts, and ends the requests with a part that is
    /// barred now.
    fn apply_part_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Barred {
                    key,
                    bar,
                    targets,
                    explained_run,
                } => {
                    let pool = self.pool_name(key.pool);
                    let content = key.content.0;
                    let targets = self.target_names(targets.into_iter());
                    let by = explained_run.map_or_else(
                        || "by=peer_or_trial".to_owned(),
                        |run| format!("by=run chance_explains={run}"),
                    );
                    let subject = format!(
                        "part={content:x} pool={pool} barred=true {by} crashed={} since_ms={} left_ms={} failed_trials={}",
                        targets.join(","),
                        self.cx.now.since(bar.since).as_millis(),
                        bar.until.since(self.cx.now).as_millis(),
                        bar.failed_trials,
                    );
                    self.cx.notice(NoticeKind::Quarantine, subject);
                    self.cx.count(Counter::PartBarred);
                    self.end_requests_with(key, bar.until.since(self.cx.now));
                }
                Change::Cleared(key) => {
                    let pool = self.pool_name(key.pool);
                    let subject = format!("part={:x} pool={pool} barred=false", key.content.0);
                    self.cx.notice(NoticeKind::Quarantine, subject);
                    self.cx.count(Counter::PartCleared);
                }
            }
        }
    }

    /// Returns the names of the targets that are still listed.
    pub(super) fn target_names(&self, targets: impl Iterator<Item = TargetId>) -> Vec<String> {
        targets
            .filter_map(|target| self.catalogue.target(target))
            .map(|view| view.entry.name.clone())
            .collect()
    }

    pub(super) fn pool_name(&self, pool: PoolId) -> String {
        let pool = self.catalogue.pool(pool);
        pool.map_or_else(|| "-".to_owned(), |pool| pool.name.clone())
    }

    /// Refuses the requests with a barred part that wait or whose answer has not begun. Targets drop
    /// a request that is aborted, so that it crashes none.
    fn end_requests_with(&mut self, key: PartKey, left: Duration) {
        let has_part = |req: &Request| shared_parts(req).any(|part| part == key);
        let ended: Vec<(RequestId, Stage)> = self
            .requests
            .iter()
            .filter(|(_, active)| has_part(&active.req))
            .map(|(&id, active)| (id, active.stage))
            .collect();
        for (request, stage) in ended {
            if let Stage::Running(attempt) = stage {
                let flow = self.attempts.get(&attempt).map(|attempt| attempt.flow);
                if !matches!(flow, Some(Flow::Pending | Flow::Late)) {
                    continue;
                }
                self.end_attempt(attempt);
                self.cx.out.push(Output::Abort(attempt));
            }
            self.abandon_for(request, Reason::PartBarred, Some(left));
        }
    }
}
