//! One request from its arrival to its final answer.

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
use crate::traffic::admission::{BodyMemory, Open};
use crate::traffic::attempt::{self, Attempt, Ended};
use crate::traffic::chat::ChatAnswer;
use crate::traffic::plain;
use crate::traffic::reply::{Lost, Reply};

/// A request as targets will see it.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: RequestId,
    pub(super) service: Service,
    /// Whether the caller wants a stream.
    pub(super) stream: bool,
    pub(super) method: Method,
    /// The path at the target, with its query.
    pub(super) path: String,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) prefix: Option<Fingerprint>,
    /// Whether it has to be sent over a fresh connection.
    pub(super) fresh: bool,
}

/// Reports a request as cancelled unless its final answer is known.
pub(super) struct Guard<'a> {
    control: &'a Handle,
    id: RequestId,
    armed: bool,
}

impl<'a> Guard<'a> {
    pub(super) const fn new(control: &'a Handle, id: RequestId) -> Self {
        Self {
            control,
            id,
            armed: true,
        }
    }

    /// Notes that the final answer is known.
    pub(super) const fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for Guard<'_> {
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
    _held: (Open, BodyMemory),
) {
    let mut guard = Guard::new(&traffic.control, call.id);
    let watch = reply.watch();
    let mut driver = Driver {
        chat: ChatAnswer::new(call.stream),
        traffic: &traffic,
        call: &call,
        decisions,
        reply,
    };
    let end = tokio::select! {
        biased;
        () = watch.left() => return,
        end = driver.run() => end,
    };
    // What has been decided is final; only what is still to be written depends on the caller.
    match end {
        End::Answered => guard.disarm(),
        End::Refused(refusal) => {
            guard.disarm();
            drop(guard);
            let is_streaming = driver.chat.is_streaming();
            driver.reply.refuse(&refusal, is_streaming).await;
        }
        End::Cut => driver.reply.cut().await,
        End::Gone => {}
    }
}

/// How a request ended.
enum End {
    /// The whole answer has been written.
    Answered,
    /// The node gave it up.
    Refused(Refusal),
    /// Part of an answer that cannot be resumed has been written.
    Cut,
    /// The caller takes nothing more.
    Gone,
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
                // The control thread has ended; the process follows.
                None => {
                    return End::Refused(Refusal::may_have_run(Reason::Stopping, None));
                }
                Some(Decision::Refuse(refusal)) => return End::Refused(refusal),
                Some(Decision::Abort(_)) => {}
                // Only calls of a hosting platform are told how they go on.
                Some(Decision::Taken(_)) => {}
                Some(Decision::Dispatch {
                    attempt, address, ..
                }) => match self.attempt(attempt, address).await {
                    Step::Next(decision) => next = decision,
                    Step::End(end) => return end,
                },
            }
        }
    }

    /// Makes one attempt, unless another decision arrives before it has ended.
    async fn attempt(&mut self, id: AttemptId, address: SocketAddr) -> Step {
        let attempt = Attempt {
            traffic: self.traffic,
            call: self.call,
            id,
            address,
        };
        let answer = async {
            match self.call.service {
                Service::Model => self.chat.take(&attempt, &mut self.reply).await,
                Service::Plain => plain::take(&attempt, &mut self.reply).await,
            }
        };
        let ended = tokio::select! {
            biased;
            decision = interruption(&mut self.decisions, id) => {
                self.traffic.progress.forget(id);
                return Step::Next(decision);
            }
            ended = answer => ended,
        };
        self.traffic.progress.forget(id);
        self.settle(&attempt, ended)
    }

    /// Tells the node how an attempt ended.
    fn settle(&self, attempt: &Attempt<'_>, ended: Ended) -> Step {
        let control = &self.traffic.control;
        match ended {
            Ended::Whole => {
                let tokens = self.chat.delivered();
                control.attempt(attempt.id, AttemptEvent::Finished { tokens });
                Step::End(End::Answered)
            }
            Ended::Declined => {
                control.attempt(attempt.id, AttemptEvent::Declined);
                Step::Next(None)
            }
            Ended::Failed { kind, sent } => {
                self.traffic.metrics.edge(attempt::edge(kind));
                if matches!(kind, FailureKind::Silent | FailureKind::Crossed) {
                    self.traffic.pools.forget(attempt.address);
                }
                let failure = Failure {
                    kind,
                    sent,
                    tokens: self.chat.delivered(),
                };
                control.attempt(attempt.id, AttemptEvent::Failed(failure));
                match self.reply.is_begun() && !self.chat.is_streaming() {
                    true => Step::End(End::Cut),
                    false => Step::Next(None),
                }
            }
            Ended::Lost(lost) => {
                if lost == Lost::Unread {
                    self.traffic.metrics.edge(Edge::CallerUnread);
                }
                Step::End(End::Gone)
            }
        }
    }
}

/// Waits for a decision that ends an attempt.
pub(super) async fn interruption(
    decisions: &mut mpsc::UnboundedReceiver<Decision>,
    id: AttemptId,
) -> Option<Decision> {
    loop {
        match decisions.recv().await {
            Some(Decision::Abort(other)) if other != id => {}
            Some(Decision::Taken(_)) => {}
            decision => return decision,
        }
    }
}

/// What follows an attempt.
enum Step {
    /// The next decision, if it has arrived already.
    Next(Option<Decision>),
    /// Nothing follows.
    End(End),
}
