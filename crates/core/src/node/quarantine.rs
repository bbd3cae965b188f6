//! Requests that crash targets on their way through the node.

use crate::attempt::Ending;
use crate::input::{FailureKind, Report};
use crate::node::Node;
use crate::node::attempt::Attempt;
use crate::node::request::Stage;
use crate::prelude::*;
use crate::quarantine::message::QuarantinePart;
use crate::quarantine::{Break, Fleet, SuspectStatus, Task};
use crate::queue::Waiting;

impl Node {
    /// Notes a suspect if the end of its attempt looks like a crash of the target, and ends its trial.
    pub(super) fn suspect(&mut self, ended: &Attempt, ending: Ending) {
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
            });
            self.cx.count(Counter::Suspected);
            self.carry_out(task.into_iter().collect());
        }
        self.let_go_of_suspect(ended.request);
    }

    /// Notes that a request ran to its end.
    pub(super) fn clear_suspect(&mut self, request: RequestId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let fingerprint = active.req.fingerprint;
        let task = self.quarantine.on_finished(self.cx.now, fingerprint);
        self.carry_out(task.into_iter().collect());
    }

    /// Takes a request out of the lane of suspects, or ends its trial.
    pub(super) fn let_go_of_suspect(&mut self, request: RequestId) {
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
    /// quarantined, and says whether it did.
    pub(super) fn holds_suspect(&mut self, request: RequestId) -> bool {
        if self.refuses_quarantined(request) {
            return true;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return false;
        };
        let standing = self.quarantine.status(self.cx.now, active.req.fingerprint);
        if standing == SuspectStatus::Clear {
            return false;
        }
        active.stage = Stage::Waiting;
        let prefer = active.life.dispatch_constraints().prefer;
        self.quarantine
            .enqueue(&active.req, active.deadline, prefer);
        true
    }

    /// Refuses a request that waits in no queue if it is quarantined, and says whether it did.
    pub(super) fn refuses_quarantined(&mut self, request: RequestId) -> bool {
        let Some(active) = self.requests.get(&request) else {
            return false;
        };
        let standing = self.quarantine.status(self.cx.now, active.req.fingerprint);
        if standing != SuspectStatus::Quarantined {
            return false;
        }
        let refusal = Refusal {
            verdict: active.life.verdict(),
            reason: Reason::Quarantined,
            retry_after: None,
        };
        self.refuse(request, refusal);
        true
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

    /// Tells a router that was just met what is known.
    pub(super) fn send_quarantine(&mut self, to: RouterId) {
        if let Some(part) = self.quarantine.entries() {
            self.cx.send(to, Part::Quarantine(part), Urgency::Now);
        }
    }

    /// Goes on with the trial of suspects.
    pub(super) fn try_suspects(&mut self) {
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
                    self.tell(live, &part);
                }
                Task::SendToPartners(part) => {
                    let partners: Vec<RouterId> = self.members.partners().collect();
                    self.tell(partners, &part);
                }
                Task::Send(to, part) => self.tell(vec![to], &part),
                Task::Dispatch(request, target) => self.try_alone(request, target),
                Task::Requeue(request) => {
                    self.let_go_of_suspect(request);
                    self.retry(request);
                }
                Task::RefuseQuarantined(request) => {
                    self.refuses_quarantined(request);
                }
                Task::RefuseExpired(request) => self.give_up(request, Reason::DeadlinePassed),
            }
        }
    }

    fn tell(&mut self, routers: Vec<RouterId>, part: &QuarantinePart) {
        let me = self.cx.me;
        for to in routers.into_iter().filter(|&to| to != me) {
            self.cx
                .send(to, Part::Quarantine(part.clone()), Urgency::Now);
        }
    }

    /// Dispatches a suspect to the target that is kept for it.
    fn try_alone(&mut self, request: RequestId, target: TargetId) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline: active.deadline,
        };
        let (pool, class) = (active.req.pool, active.class);
        let basis = self.granted(&waiting);
        self.dispatch(pool, class, waiting, target, basis);
    }
}

/// Says whether an attempt ended as it does when the target's process ends.
const fn looks_like_crash(ending: Ending) -> bool {
    match ending {
        Ending::Declined | Ending::Withheld => false,
        Ending::Failed(failure) => {
            failure.sent && matches!(failure.kind, FailureKind::Broken | FailureKind::Truncated)
        }
    }
}
