//! The traffic threads' end of the channels to the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bulrushtrestle_core::input::{AnswerHead, AttemptEvent, RequestedPause, TargetNotice};
use bulrushtrestle_core::key::{AttemptId, Fingerprint, Offset, OrganisationId, RequestId};
use bulrushtrestle_core::verdict::Refusal;
use bulrushtrestle_platform::operator::CallerLimits;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::backlog::Backlog;
use crate::control::message::{
    Addresses, Arrival, Decision, HostedCall, Identity, LocalEvent, NewRequest, Query,
};
use crate::control::withdrawn::Withdrawn;

/// The control thread accepts no more requests at present, or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the control thread accepts no more requests at present")]
pub(crate) struct NotAccepting;

/// The traffic threads' end of the channels to the control thread.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    queries: mpsc::Sender<Query>,
    arrivals: mpsc::Sender<NewRequest>,
    backlog: Backlog,
    local_events: mpsc::UnboundedSender<LocalEvent>,
    limits: watch::Receiver<Option<CallerLimits>>,
    withdrawn: Withdrawn,
    next_request: Arc<AtomicU64>,
}

impl Handle {
    pub(super) fn new(
        (queries, arrivals): (mpsc::Sender<Query>, mpsc::Sender<NewRequest>),
        local_events: mpsc::UnboundedSender<LocalEvent>,
        backlog: Backlog,
        limits: watch::Receiver<Option<CallerLimits>>,
        withdrawn: Withdrawn,
    ) -> Self {
        Self {
            queries,
            arrivals,
            backlog,
            local_events,
            limits,
            withdrawn,
            next_request: Arc::default(),
        }
    }

    /// Returns the limits that operators of a hosting platform set for callers, once known.
    pub(crate) fn limits(&self) -> Option<CallerLimits> {
        *self.limits.borrow()
    }

    /// Returns whether no more requests may be sent to a target.
    pub(crate) fn is_withdrawn(&self, target: &str) -> bool {
        self.withdrawn.contains(target, Instant::now())
    }

    /// Returns a new identity for a request.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Queries which organisation a token belongs to. `sum` is the SHA-256 digest of the token.
    pub(crate) async fn identity(
        &self,
        sum: [u8; 32],
    ) -> Result<Result<Identity, Refusal>, NotAccepting> {
        self.query(|reply| Query::Identity { sum, reply }).await
    }

    /// Queries which addresses a caller should use.
    pub(crate) async fn addresses(
        &self,
        organisation: Option<OrganisationId>,
    ) -> Result<Addresses, NotAccepting> {
        self.query(|reply| Query::Addresses {
            organisation,
            reply,
        })
        .await
    }

    /// Queries the status for operators, as JSON.
    pub(crate) async fn status(&self) -> Result<String, NotAccepting> {
        self.query(|reply| Query::Status { reply }).await
    }

    /// Queries a page of the catalogue, as JSON. The answer is `None` if the router's catalogue is
    /// incomplete.
    pub(crate) async fn catalogue(
        &self,
        after: Option<Offset>,
    ) -> Result<Option<String>, NotAccepting> {
        self.query(|reply| Query::Catalogue { after, reply }).await
    }

    /// Queries whether the router accepts requests.
    pub(crate) async fn is_ready(&self) -> Result<bool, NotAccepting> {
        self.query(|reply| Query::Ready { reply }).await
    }

    /// Hands over a request. The returned channel closes after the final decision about it.
    pub(crate) fn request(
        &self,
        arrival: Arrival,
    ) -> Result<mpsc::UnboundedReceiver<Decision>, NotAccepting> {
        self.hand_over(|decisions| NewRequest::Request(arrival, decisions))
    }

    /// Hands over a request of a hosting platform. The returned channel closes after the final decision
    /// about it.
    pub(crate) fn call(
        &self,
        call: HostedCall,
    ) -> Result<mpsc::UnboundedReceiver<Decision>, NotAccepting> {
        self.hand_over(|decisions| NewRequest::Call(call, decisions))
    }

    /// Returns whether the control thread is so far behind that it accepts no requests.
    pub(crate) fn is_behind(&self) -> bool {
        self.backlog.is_behind(Instant::now())
    }

    /// Returns the shortest wait of a request for the control thread since the previous call. See
    /// [`Backlog::take_delay`].
    pub(crate) fn take_delay(&self) -> Duration {
        self.backlog.take_delay(Instant::now())
    }

    /// Queries which routers callers near a data centre should use.
    pub(crate) async fn routers_near(
        &self,
        data_centre: Option<String>,
    ) -> Result<Vec<String>, NotAccepting> {
        self.query(|reply| Query::RoutersNear { data_centre, reply })
            .await
    }

    /// Reports that the time limit of a request has passed.
    pub(crate) fn timed_out(&self, request: RequestId) {
        self.send(LocalEvent::TimedOut(request));
    }

    /// Reports the head of an attempt's answer.
    pub(crate) fn head(&self, attempt: AttemptId, head: AnswerHead) {
        self.send(LocalEvent::Head(attempt, head));
    }

    /// Reports what a target stated with an answer about further requests. It applies at once: no
    /// traffic thread sends the target a request that the control thread decided on before.
    pub(crate) fn notice(&self, target: &str, notice: TargetNotice) {
        if notice.leaving {
            self.withdrawn.record(target, false);
        }
        if let Some(RequestedPause::For(time)) = notice.pause {
            self.withdrawn.pause(target, Instant::now(), time);
        }
        self.send(LocalEvent::Notice(target.to_owned(), notice));
    }

    /// Reports that the caller of a request has left.
    pub(crate) fn cancelled(&self, request: RequestId) {
        self.send(LocalEvent::Cancelled(request));
    }

    /// Reports an event of an attempt.
    pub(crate) fn attempt(&self, attempt: AttemptId, event: AttemptEvent) {
        self.send(LocalEvent::Attempt(attempt, event));
    }

    /// Reports the tokens that attempts have answered so far.
    pub(crate) fn progress(&self, tokens: Vec<(AttemptId, u64)>) {
        self.send(LocalEvent::Progress(tokens));
    }

    /// Allows a part of prompts again that is barred because it crashed targets.
    pub(crate) fn lift_bar(&self, content: Fingerprint) {
        self.send(LocalEvent::LiftBar(content));
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&self) {
        self.send(LocalEvent::Stop);
    }

    fn hand_over(
        &self,
        new_request: impl FnOnce(mpsc::UnboundedSender<Decision>) -> NewRequest,
    ) -> Result<mpsc::UnboundedReceiver<Decision>, NotAccepting> {
        if self.is_behind() {
            return Err(NotAccepting);
        }
        let (decisions, receiver) = mpsc::unbounded_channel();
        // The request is recorded first, because the control thread may receive it before `try_send`
        // returns.
        self.backlog.enter(Instant::now());
        match self.arrivals.try_send(new_request(decisions)) {
            Ok(()) => Ok(receiver),
            Err(_) => {
                self.backlog.undo_enter();
                Err(NotAccepting)
            }
        }
    }

    async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> Query,
    ) -> Result<T, NotAccepting> {
        let (reply, answer) = oneshot::channel();
        self.queries
            .try_send(query(reply))
            .map_err(|_| NotAccepting)?;
        answer.await.map_err(|_| NotAccepting)
    }

    fn send(&self, event: LocalEvent) {
        // The control thread ends last, so nothing is lost if the send fails.
        drop(self.local_events.send(event));
    }
}
