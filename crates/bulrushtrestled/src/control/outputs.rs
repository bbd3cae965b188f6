//! Executes the outputs of the node.

use std::net::SocketAddr;

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind, Input, LogEvent, OrderEvent};
use bulrushtrestle_core::key::{AttemptId, Fence, RequestId, TargetId};
use bulrushtrestle_core::output::{Dispatch, Order, Output};
use bulrushtrestle_core::verdict::Refusal;

use crate::control::hosting::Delivery;
use crate::control::message::Decision;
use crate::control::run::{Attempt, Control};
use crate::platform::{HttpTarget, Target};

impl Control {
    /// Executes an output.
    pub(super) fn execute(&mut self, output: Output) {
        match output {
            Output::Dispatch(dispatch) => self.dispatch(dispatch),
            Output::Abort(attempt) => self.abort(attempt),
            Output::Refuse(request, refusal) => self.refuse(request, refusal),
            Output::Peer { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, bytes);
                }
            }
            Output::Append { id, bytes } => match &self.log {
                Some(log) => log.append(id, bytes),
                None => self
                    .follow_ups
                    .push_back(Input::Log(LogEvent::AppendFailed(id))),
            },
            Output::Read { from } => {
                if let Some(log) = &self.log {
                    log.read(from);
                }
            }
            Output::MoveProgress(progress) => self.record_move_progress(progress),
            Output::ReadMoveStatuses => self.read_move_statuses(),
            Output::Records {
                topic,
                records,
                from,
            } => self.deliver(Delivery::Records(topic, records, from)),
            Output::Complete {
                topic,
                known,
                as_of,
                from: _,
            } => self.deliver(Delivery::Complete(topic, known, as_of)),
            Output::Restored { topic, records } => {
                self.deliver(Delivery::Restored(topic, records));
            }
            Output::StoreEra(era) => self.on_new_era(era),
            Output::Order {
                target,
                order,
                fence,
            } => self.order(target, order, fence),
            Output::Wake(at) => {
                self.wake_times.insert(at);
            }
            Output::Count(counter) => self.metrics.count(counter),
            Output::Notice(notice) => self.event_log.notice(&notice),
            Output::DutyRead { from, wait } => self.read_duties(from, wait),
            Output::DutyRecord { key, value, at } => self.append_duty_record(key, value, at),
            Output::DutyCall(call) => self.call_endpoint(call),
            Output::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let Some((address, service, name)) = self.address(dispatch.target) else {
            let failed = AttemptEvent::Failed(Failure {
                kind: FailureKind::Connect,
                sent: false,
                tokens: dispatch.resume_from,
            });
            self.follow_ups
                .push_back(Input::Attempt(dispatch.attempt, failed));
            return;
        };
        let attempt = Attempt {
            request: dispatch.request,
            address,
            service,
            has_failed: false,
        };
        self.attempts.insert(dispatch.attempt, attempt);
        self.metrics.dispatched(&dispatch.basis);
        let decision = Decision::Dispatch {
            attempt: dispatch.attempt,
            address,
            target: name,
            basis: dispatch.basis,
        };
        if !self.send_decision(dispatch.request, decision) {
            // The task that served the request has ended meanwhile.
            self.attempts.remove(&dispatch.attempt);
            self.decisions.remove(&dispatch.request);
            self.follow_ups
                .push_back(Input::Cancelled(dispatch.request));
        }
    }

    /// Returns the address, the kind of service and the name of a target.
    fn address(&self, id: TargetId) -> Option<(SocketAddr, Service, String)> {
        let catalogue = self.node.catalogue();
        let target = catalogue.target(id)?;
        let (_, pool) = catalogue.pool_by_name(&target.entry.pool)?;
        let address = target.entry.address.parse().ok()?;
        Some((address, pool.service, target.entry.name.clone()))
    }

    /// Stops an attempt. Closing its connection cancels it at the target. An attempt that has failed may
    /// still run although its connection is broken, so it is cancelled by name.
    fn abort(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.send_decision(attempt.request, Decision::Abort(id));
        // A plain service would treat the path for cancelling as an ordinary request, and the targets of
        // a hosting platform cancel an attempt only when its connection closes.
        let by_name = attempt.service == Service::Model && self.log.is_some();
        if !attempt.has_failed || !by_name {
            return;
        }
        let target = HttpTarget {
            http: self.http.clone(),
            address: attempt.address,
        };
        let name = self.names.name(id);
        // The result is ignored: the attempt at a target that does not answer is abandoned anyway.
        tokio::task::spawn_local(async move { target.cancel(&name).await });
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.send_decision(request, Decision::Refuse(refusal));
        self.decisions.remove(&request);
    }

    /// Sends a decision to the traffic threads, and returns whether a task there still serves the
    /// request.
    pub(super) fn send_decision(&self, request: RequestId, decision: Decision) -> bool {
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
            let unknown = Input::Ordered(id, OrderEvent::Unknown);
            self.follow_ups.push_back(unknown);
            return;
        };
        let target = HttpTarget {
            http: self.http.clone(),
            address,
        };
        match &mut self.orders {
            Some(orders) => orders.send(id, target, order, fence, checks_fence),
            // Routers send no orders to a hosting platform's targets.
            None => self
                .follow_ups
                .push_back(Input::Ordered(id, OrderEvent::Unknown)),
        }
    }
}
