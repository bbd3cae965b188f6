//! Carrying out what the node asks for.

use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind, Input};
use bulrushtrestle_core::key::{Fence, RequestId, TargetId};
use bulrushtrestle_core::output::{Dispatch, Order, Output};
use bulrushtrestle_core::verdict::Refusal;

use crate::control::message::Decision;
use crate::control::run::Control;
use crate::platform::HttpTarget;

impl Control {
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dispatch(dispatch) => self.dispatch(dispatch),
            Output::Abort(attempt) => {
                if let Some(request) = self.attempts.remove(&attempt) {
                    self.decide(request, Decision::Abort(attempt));
                }
            }
            Output::Refuse(request, refusal) => self.refuse(request, refusal),
            Output::Peer { to, bytes } => self.peers.send(to, bytes),
            Output::Append { id, bytes } => self.log.append(id, bytes),
            Output::Read { from } => self.log.read(from),
            Output::Order {
                target,
                order,
                fence,
            } => self.order(target, order, fence),
            Output::Wake(at) => {
                self.wakes.insert(at);
            }
            Output::Count(counter) => self.metrics.count(counter),
            Output::Notice(notice) => self.journal.notice(&notice),
            Output::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let target = self.node.catalogue().target(dispatch.target);
        let address = target.and_then(|target| target.entry.address.parse().ok());
        let Some(address) = address else {
            let failed = AttemptEvent::Failed(Failure {
                kind: FailureKind::Connect,
                sent: false,
                tokens: dispatch.resume_from,
            });
            self.follow_ups
                .push_back(Input::Attempt(dispatch.attempt, failed));
            return;
        };
        self.attempts.insert(dispatch.attempt, dispatch.request);
        let decision = Decision::Dispatch {
            attempt: dispatch.attempt,
            address,
        };
        if !self.decide(dispatch.request, decision) {
            self.attempts.remove(&dispatch.attempt);
            self.follow_ups
                .push_back(Input::Cancelled(dispatch.request));
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.decide(request, Decision::Refuse(refusal));
        self.decisions.remove(&request);
    }

    /// Tells the traffic threads, and returns whether anybody there still serves the request.
    fn decide(&self, request: RequestId, decision: Decision) -> bool {
        self.decisions
            .get(&request)
            .is_some_and(|decisions| decisions.send(decision).is_ok())
    }

    fn order(&mut self, id: TargetId, order: Order, fence: Fence) {
        let found = self.node.catalogue().target(id).and_then(|target| {
            let address = target.entry.address.parse().ok()?;
            Some((address, target.entry.checks_fence))
        });
        let Some((address, checks_fence)) = found else {
            self.orders.unknown(id);
            return;
        };
        let target = HttpTarget {
            http: self.http.clone(),
            address,
        };
        self.orders.give(id, target, order, fence, checks_fence);
    }
}
