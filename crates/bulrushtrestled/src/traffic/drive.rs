//! The handling of one request, from its hand-over to the control thread to its final answer.

use std::net::SocketAddr;
use std::sync::Arc;

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind};
use bulrushtrestle_core::key::{AttemptId, Fingerprint, RequestId};
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::sync::mpsc;

use crate::control::{Decision, Handle};
use crate::metrics::Edge;
use crate::traffic::Traffic;
use crate::traffic::admission::{BodyMemory, OpenRequest};
use crate::traffic::attempt::{self, Attempt, Ended};
use crate::traffic::chat::ChatAnswer;
use crate::traffic::plain;
use crate::traffic::reply::{Reply, SendError};

/// A request in the form in which it is sent to targets.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: RequestId,
    pub(super) service: Service,
    /// Whether the caller asked for a streamed answer.
    pub(super) stream: bool,
    pub(super) method: Method,
    /// The path at the target, with its query.
    pub(super) path: String,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) prefix: Option<Fingerprint>,
    /// Whether the request must be sent over a new connection, not a reused one.
    pub(super) fresh_connection: bool,
}

/// Reports a request as cancelled when dropped, unless its final answer is known.
pub(super) struct CancelOnDrop<'a> {
    control: &'a Handle,
    id: RequestId,
    armed: bool,
}

impl<'a> CancelOnDrop<'a> {
    pub(super) const fn new(control: &'a Handle, id: RequestId) -> Self {
        Self {
            control,
            id,
            armed: true,
        }
    }

    /// Records that the final answer is known, so that nothing is reported on drop.
    pub(super) const fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.control.cancelled(self.id);
        }
    }
}

/// Serves a request: waits for decisions, carries them out, and answers the caller.
pub(super) async fn drive(
    traffic: Arc<Traffic>,
    call: Call,
    decisions: mpsc::UnboundedReceiver<Decision>,
    reply: Reply,
    _held: (OpenRequest, BodyMemory),
) {
    let mut guard = CancelOnDrop::new(&traffic.control, call.id);
    let disconnect = reply.disconnect_watch();
    let mut driver = Driver {
        chat: ChatAnswer::new(call.stream),
        traffic: &traffic,
        call: &call,
        decisions,
        reply,
    };
    let end = tokio::select! {
        biased;
        () = disconnect.disconnected() => return,
        end = driver.run() => end,
    };
    // The outcome is final here; the rest of the answer is written as long as the caller reads it.
    match end {
        End::Answered => {
            guard.disarm();
            driver.reply.finish();
        }
        End::Refused(refusal) => {
            guard.disarm();
            drop(guard);
            let is_streaming = driver.chat.is_streaming();
            driver.reply.refuse(&refusal, is_streaming).await;
        }
        // The answer is aborted.
        End::Truncated | End::Undeliverable => {}
    }
}

/// How a request ended.
enum End {
    /// The complete answer has been written.
    Answered,
    /// The request was refused.
    Refused(Refusal),
    /// An answer that cannot be resumed failed after part of it had been written.
    Truncated,
    /// The caller disconnected or stopped reading.
    Undeliverable,
}

struct Driver<'a> {
    traffic: &'a Traffic,
    call: &'a Call,
    decisions: mpsc::UnboundedReceiver<Decision>,
    reply: Reply,
    chat: ChatAnswer,
}

impl Driver<'_> {
    async fn run(&mut self) -> End {
        let mut next = None;
        loop {
            let decision = match next.take() {
                Some(decision) => Some(decision),
                None => self.decisions.recv().await,
            };
            match decision {
                // The control thread has ended; the process is about to end.
                None => {
                    return End::Refused(Refusal::may_have_run(Reason::Stopping, None));
                }
                Some(Decision::Refuse(refusal)) => return End::Refused(refusal),
                Some(Decision::Abort(_)) => {}
                // Only requests of a hosting platform receive this decision.
                Some(Decision::Admitted(_)) => {}
                Some(Decision::Dispatch {
                    attempt, address, ..
                }) => match self.attempt(attempt, address).await {
                    Step::Next(decision) => next = decision,
                    Step::End(end) => return end,
                },
            }
        }
    }

    /// Runs one attempt until it ends or another decision interrupts it.
    async fn attempt(&mut self, id: AttemptId, address: SocketAddr) -> Step {
        let attempt = Attempt {
            traffic: self.traffic,
            call: self.call,
            id,
            address,
        };
        let answer = async {
            match self.call.service {
                Service::Model => self.chat.run_attempt(&attempt, &mut self.reply).await,
                Service::Plain => plain::run_attempt(&attempt, &mut self.reply).await,
            }
        };
        let ended = tokio::select! {
            biased;
            decision = next_interruption(&mut self.decisions, id) => {
                self.traffic.progress.remove(id);
                return Step::Next(decision);
            }
            ended = answer => ended,
        };
        self.traffic.progress.remove(id);
        self.report_end(&attempt, ended)
    }

    /// Reports to the node how an attempt ended, and returns how the request continues.
    fn report_end(&self, attempt: &Attempt<'_>, ended: Ended) -> Step {
        let control = &self.traffic.control;
        match ended {
            Ended::Complete => {
                let tokens = self.chat.delivered();
                control.attempt(attempt.id, AttemptEvent::Finished { tokens });
                Step::End(End::Answered)
            }
            Ended::Declined => {
                control.attempt(attempt.id, AttemptEvent::Declined);
                Step::Next(None)
            }
            Ended::Failed { kind, sent } => {
                self.traffic.metrics.edge(attempt::failure_metric(kind));
                if matches!(kind, FailureKind::Silent | FailureKind::Crossed) {
                    self.traffic.pools.discard_idle(attempt.address);
                }
                let failure = Failure {
                    kind,
                    sent,
                    tokens: self.chat.delivered(),
                };
                control.attempt(attempt.id, AttemptEvent::Failed(failure));
                match self.reply.has_begun() && !self.chat.is_streaming() {
                    true => Step::End(End::Truncated),
                    false => Step::Next(None),
                }
            }
            Ended::Undeliverable(error) => {
                if error == SendError::Timeout {
                    self.traffic.metrics.edge(Edge::CallerUnread);
                }
                Step::End(End::Undeliverable)
            }
        }
    }
}

/// Waits for a decision that interrupts the attempt `id`. Returns `None` if the control thread has
/// ended.
pub(super) async fn next_interruption(
    decisions: &mut mpsc::UnboundedReceiver<Decision>,
    id: AttemptId,
) -> Option<Decision> {
    loop {
        match decisions.recv().await {
            Some(Decision::Abort(other)) if other != id => {}
            Some(Decision::Admitted(_)) => {}
            decision => return decision,
        }
    }
}

/// How a request continues after an attempt.
enum Step {
    /// The request needs another decision, which is included if it has already arrived.
    Next(Option<Decision>),
    /// The request has ended.
    End(End),
}
