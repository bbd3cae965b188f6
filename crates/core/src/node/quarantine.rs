//! Quarantine: the path of requests that may crash targets through the node.

use crate::attempt::Ending;
use crate::input::{AttemptEvent, FailureKind, Report, TargetState};
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::prelude::*;
use crate::quarantine::message::QuarantinePart;
use crate::quarantine::{Break, Fleet, SuspectStatus, Task};
use crate::queue::Waiting;

impl Node {
    /// Records a suspect if the end of an attempt looks like a crash of the target, and ends the
    /// suspect's trial.
    pub(super) fn record_suspect(&mut self, ended: &Attempt, ending: Ending) {
        let alone = self.quarantine.is_alone(ended.request);
        if looks_like_crash(ending)
            && let Some(active) = self.requests.get(&ended.request)
        {
            let task = self.quarantine.on_break(Break {
                target: ended.target,
                fingerprint: active.req.fingerprint,
                began: ended.sent,
                at: self.cx.now,
                alone,
                record: self.cold_targets.last_record(ended.target),
            });
            self.cx.count(Counter::Suspected);
            self.carry_out(task.into_iter().collect());
        }
        self.release_suspect(ended.request);
    }

    /// Records that a request ran to its end, which clears its fingerprint.
    pub(super) fn clear_suspect(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let fingerprint = active.req.fingerprint;
        let task = self.quarantine.on_finished(self.cx.now, fingerprint);
        self.carry_out(task.into_iter().collect());
    }

    /// Removes a request from the lane of suspects, or ends its trial.
    pub(super) fn release_suspect(&mut self, request: RequestId) {
        let fleet = Fleet {
            now: self.cx.now,
            members: &self.members,
            catalogue: &self.catalogue,
            targets: &self.targets,
        };
        let tasks = self.quarantine.remove(fleet, request);
        self.carry_out(tasks);
    }

    /// Holds a request that is about to be dispatched if it is a suspect, or refuses it if it is
    /// quarantined or a part of its prompt is barred. Returns `true` if it did either.
    pub(super) fn hold_if_suspect(&mut self, request: RequestId) -> bool {
        if self.refuse_if_quarantined(request) || self.refuse_if_barred(request) {
            return true;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return false;
        };
        let standing = self.quarantine.status(self.cx.now, active.req.fingerprint);
        if standing != SuspectStatus::Suspect {
            return false;
        }
        active.stage = Stage::Waiting;
        let prefer = active.retry_state.dispatch_constraints().prefer;
        self.quarantine
            .enqueue(&active.req, active.deadline, prefer);
        true
    }

    /// Refuses a request that is in no queue if it is quarantined or barred. Returns `true` if it
    /// did.
    pub(super) fn refuse_if_quarantined(&mut self, request: RequestId) -> bool {
        let Some(active) = self.requests.get(&request) else {
            return false;
        };
        let standing = self.quarantine.status(self.cx.now, active.req.fingerprint);
        let (reason, retry_after) = match standing {
            SuspectStatus::Clear | SuspectStatus::Suspect => return false,
            SuspectStatus::Quarantined => (Reason::Quarantined, None),
            SuspectStatus::Barred(left) => (Reason::ContentBarred, Some(left)),
        };
        let refusal = Refusal {
            verdict: active.retry_state.verdict(),
            reason,
            retry_after,
        };
        self.refuse(request, refusal);
        true
    }

    /// Processes an event of an attempt that shows that data arrived from its target.
    pub(super) fn note_data(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let Some(state) = self.attempts.get(&attempt).filter(|_| shows_data(event)) else {
            return;
        };
        let (target, sent) = (state.target, state.sent);
        let tasks = self.quarantine.on_data(self.cx.now, target, sent);
        self.carry_out(tasks);
    }

    /// Processes a record that a target wrote of itself, if it names the target's run.
    pub(super) fn on_record_after_break(&mut self, state: &TargetState) {
        if let Some(record) = state.run_record() {
            let tasks = self.quarantine.on_record(self.cx.now, state.target, record);
            self.carry_out(tasks);
        }
    }

    pub(super) fn on_report_after_break(&mut self, target: TargetId, report: Report) {
        let load = report.running.saturating_add(report.waiting);
        let now = self.cx.now;
        let tasks = self.quarantine.on_report(now, target, load, report.uptime);
        self.carry_out(tasks);
    }

    pub(super) fn on_quarantine_part(&mut self, from: RouterId, part: QuarantinePart) {
        let now = self.cx.now;
        let task = self.quarantine.on_part(now, from, part);
        self.carry_out(task.into_iter().collect());
    }

    /// Sends the known entries of the quarantine to a router that this one has just met.
    pub(super) fn send_quarantine(&mut self, to: RouterId) {
        if let Some(part) = self.quarantine.entries() {
            self.cx.send(to, Part::Quarantine(part), Urgency::Now);
        }
        if let Some(part) = self.poison.barred_rows(self.cx.now) {
            self.cx.send(to, Part::Poison(part), Urgency::Now);
        }
    }

    /// Advances the trials of suspects.
    pub(super) fn advance_suspects(&mut self) {
        let fleet = Fleet {
            now: self.cx.now,
            members: &self.members,
            catalogue: &self.catalogue,
            targets: &self.targets,
        };
        let tasks = self.quarantine.on_time(self.cx.now, fleet);
        self.carry_out(tasks);
    }

    fn carry_out(&mut self, tasks: Vec<Task>) {
        for task in tasks {
            match task {
                Task::Broadcast(part) => {
                    let now = self.cx.now;
                    let live: Vec<RouterId> = self.members.live(now).collect();
                    self.send_quarantine_parts(live, &part);
                }
                Task::SendToPartners(part) => {
                    let partners: Vec<RouterId> = self.members.partners().collect();
                    self.send_quarantine_parts(partners, &part);
                }
                Task::Send(to, part) => self.send_quarantine_parts(vec![to], &part),
                Task::Dispatch(request, target) => self.dispatch_alone(request, target),
                Task::Requeue(request) => {
                    self.release_suspect(request);
                    self.retry(request);
                }
                Task::RefuseQuarantined(request) => {
                    self.refuse_if_quarantined(request);
                }
                Task::RefuseExpired(request) => self.abandon(request, Reason::DeadlinePassed),
            }
        }
    }

    fn send_quarantine_parts(&mut self, routers: Vec<RouterId>, part: &QuarantinePart) {
        let me = self.cx.me;
        for to in routers.into_iter().filter(|&to| to != me) {
            self.cx
                .send(to, Part::Quarantine(part.clone()), Urgency::Now);
        }
    }

    /// Dispatches a suspect to the target that is reserved for its trial.
    fn dispatch_alone(&mut self, request: RequestId, target: TargetId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline: active.deadline,
        };
        let (pool, class) = (active.req.pool, active.class);
        let basis = self.granted_basis(&waiting);
        self.dispatch(pool, class, waiting, target, basis);
    }
}

/// Says whether an event shows that data arrived from the target.
const fn shows_data(event: AttemptEvent) -> bool {
    match event {
        AttemptEvent::Started
        | AttemptEvent::Progress { .. }
        | AttemptEvent::Finished { .. }
        | AttemptEvent::Declined => true,
        AttemptEvent::Withheld => false,
        AttemptEvent::Failed(failure) => {
            matches!(failure.kind, FailureKind::Error | FailureKind::Crossed)
        }
    }
}

/// Says whether an attempt ended in the way that it does when the target's process ends.
pub(super) const fn looks_like_crash(ending: Ending) -> bool {
    match ending {
        Ending::Declined | Ending::Withheld => false,
        Ending::Failed(failure) => {
            failure.sent && matches!(failure.kind, FailureKind::Broken | FailureKind::Truncated)
        }
    }
}
