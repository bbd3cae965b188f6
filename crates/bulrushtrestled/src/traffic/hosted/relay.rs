//! Sends a request to a target and forwards the answer.
//!
//! Answers that do not stream are buffered until they are complete, up to a limit, so that nothing
//! of an answer that breaks off reaches the caller. Beyond the limit they are forwarded as they
//! arrive, and no other attempt can continue them. Streams are forwarded event by event. An
//! incomplete event is never forwarded, so that a stream can be resumed after the last complete
//! event. [`Sequence`] checks their order. Nothing of an answer to a resumed request is forwarded
//! unless it is a success with the stream's format, and it completes the stream only with an event.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bulrushtrestle_core::input::{AnswerHead, AttemptEvent, FailureKind, StatedLimit, TargetLoad};
use bulrushtrestle_core::key::AttemptId;
use bulrushtrestle_platform::answer::{self, AnswerInfo, Outcome};
use bulrushtrestle_platform::request::{self, AddedHeaders};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderValue, Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::control::ForwardingPlan;
use crate::metrics::Edge;
use crate::traffic::hosted::connections::Sender;
use crate::traffic::hosted::sequence::{OutOfOrder, Sequence};
use crate::traffic::hosted::{Call, Hosted};
use crate::traffic::plain::has_body;
use crate::traffic::reply::{Reply, SendError};
use crate::traffic::sse::Splitter;

/// The largest body of a failed request that is kept for the caller.
const FAILURE_BYTES_MAX: usize = 64 * 1024;
/// The first number that is not the status of an answer. The client refuses those below 100.
const STATUS_END: u16 = 600;

/// One dispatch of a request to a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Dispatch<'a> {
    pub(super) attempt: AttemptId,
    pub(super) address: SocketAddr,
    /// The name of the target, sent along so that any other target refuses the request.
    pub(super) target: &'a str,
    /// How the request is sent to targets.
    pub(super) plan: &'a ForwardingPlan,
}

/// An answer with which a target reported that the request failed.
#[derive(Debug)]
pub(super) struct TargetFailure {
    head: response::Parts,
    body: Bytes,
}

impl TargetFailure {
    /// Returns the HTTP status of the answer.
    pub(super) fn status(&self) -> u16 {
        self.head.status.as_u16()
    }
}

/// How a dispatch ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The complete answer was sent to the caller.
    Complete {
        /// The id of the last event of a stream.
        tokens: u64,
    },
    /// The target declared that it did not run the request.
    Declined,
    /// Nothing was sent, because the target must not receive requests any more or the caller's
    /// deadline has passed.
    Withheld,
    /// The dispatch failed.
    Failed {
        /// The observed kind of failure.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the target.
        sent: bool,
        /// The failure that the target answered, if the answer may be sent to the caller.
        answer: Option<Box<TargetFailure>>,
    },
    /// The answer could not be delivered to the caller.
    Undeliverable(SendError),
}

impl Ended {
    /// Returns a failure of a request that may have been sent to the target.
    const fn failed(kind: FailureKind) -> Self {
        Self::Failed {
            kind,
            sent: true,
            answer: None,
        }
    }

    /// Returns a failure before any byte of the request was sent.
    const fn not_sent() -> Self {
        Self::Failed {
            kind: FailureKind::Connect,
            sent: false,
            answer: None,
        }
    }
}

/// What the caller has received of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forwarded {
    /// Nothing, so that any attempt may answer the request.
    Nothing,
    /// The head and perhaps events of a stream, which another attempt may resume.
    Stream,
    /// The head and perhaps a part of a body without positions, which no other attempt can continue.
    Body,
}

/// How the events of a stream are encoded, which is the same in each answer that continues it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Format {
    /// The media type without its parameters, in lower case.
    media_type: String,
    content_encoding: Option<HeaderValue>,
}

impl Format {
    fn of(head: &response::Parts) -> Self {
        let media_type = head.headers.get(CONTENT_TYPE);
        let media_type = media_type.and_then(|value| value.to_str().ok());
        let media_type = media_type.and_then(|value| value.split(';').next());
        Self {
            media_type: media_type.unwrap_or_default().trim().to_ascii_lowercase(),
            content_encoding: head.headers.get(CONTENT_ENCODING).cloned(),
        }
    }
}

/// The state of an answer to a caller, across all dispatches of the request.
#[derive(Debug)]
pub(super) struct Relay {
    /// The channel to the caller, until the final answer is sent.
    reply: Option<Reply>,
    forwarded: Forwarded,
    /// The format of the stream that has begun.
    format: Format,
    /// The events of a stream that were sent to the caller.
    sequence: Sequence,
    /// When the request was handed over to the control thread.
    started: Instant,
    /// The time from `started` to the first part of an answer.
    first_byte_after: Option<Duration>,
    /// The time from `started` until the last dispatch had a connection to its target.
    connected_after: Option<Duration>,
    /// The target of the last dispatch, or `-`.
    target: String,
    /// The attempt whose start was last reported to the node, and when its answer began.
    reported: Option<(AttemptId, Instant)>,
}

impl Relay {
    /// Returns the state of an answer that has not begun. `asked_after` is the id after which the caller
    /// asked a stream to go on.
    pub(super) fn new(reply: Reply, asked_after: Option<u64>) -> Self {
        Self {
            reply: Some(reply),
            forwarded: Forwarded::Nothing,
            format: Format::default(),
            sequence: Sequence::asked_after(asked_after),
            started: Instant::now(),
            first_byte_after: None,
            connected_after: None,
            target: "-".to_owned(),
            reported: None,
        }
    }

    /// Returns the id of the last event that was sent to the caller, or 0.
    pub(super) fn delivered(&self) -> u64 {
        self.sequence.delivered()
    }

    /// Returns the time from the hand-over of the request to the first part of an answer.
    pub(super) const fn first_byte_after(&self) -> Option<Duration> {
        self.first_byte_after
    }

    /// Returns the time from the hand-over of the request until the last dispatch had a connection
    /// to its target.
    pub(super) const fn connected_after(&self) -> Option<Duration> {
        self.connected_after
    }

    /// Returns the target of the last dispatch, or `-` if there was none.
    pub(super) fn last_target(&self) -> &str {
        &self.target
    }

    /// Returns when the answer of an attempt began; `None` if none of it was forwarded.
    pub(super) fn began(&self, attempt: AttemptId) -> Option<Instant> {
        let (_, at) = self.reported.filter(|(reported, _)| *reported == attempt)?;
        Some(at)
    }

    /// Returns for how long the answer of an attempt has been flowing, as a log field; `-` if none
    /// of it was forwarded.
    pub(super) fn flowing_ms(&self, attempt: AttemptId) -> String {
        self.began(attempt)
            .map_or_else(|| "-".to_owned(), |at| at.elapsed().as_millis().to_string())
    }

    /// Sends the request to a target and forwards the answer to the caller.
    pub(super) async fn run(
        &mut self,
        hosted: &Hosted,
        call: &Call,
        dispatch: &Dispatch<'_>,
    ) -> Ended {
        dispatch.target.clone_into(&mut self.target);
        match self.attempt(hosted, call, dispatch).await {
            Ok(()) => {
                self.finish();
                Ended::Complete {
                    tokens: self.delivered(),
                }
            }
            Err(ended) => self.unless_resumable(hosted, call, dispatch, ended),
        }
    }

    /// Sends a response of the router itself, or aborts an answer that has begun.
    pub(super) async fn send_response(&mut self, response: Response) {
        if let Some(reply) = self.take_reply_or_abort() {
            let (head, body) = response.into_parts();
            reply.send_whole(head, collect(body).await).await;
        }
    }

    /// Sends the failure that a target answered, or aborts an answer that has begun.
    pub(super) async fn send_failure(&mut self, failure: Box<TargetFailure>) {
        if let Some(reply) = self.take_reply_or_abort() {
            let head = with_length(failure.head, failure.body.len());
            reply.send_whole(head, failure.body).await;
        }
    }

    /// Returns the channel to the caller for a final answer. If an answer has begun, aborts it and
    /// returns `None`.
    fn take_reply_or_abort(&mut self) -> Option<Reply> {
        let reply = self.reply.take()?;
        (self.forwarded == Forwarded::Nothing).then_some(reply)
    }

    /// Ends the answer to the caller as complete.
    fn finish(&mut self) {
        if let Some(reply) = self.reply.take() {
            reply.finish();
        }
    }

    /// Dispatches the request, checks the head of the answer and forwards the answer.
    async fn attempt(
        &mut self,
        hosted: &Hosted,
        call: &Call,
        dispatch: &Dispatch<'_>,
    ) -> Result<(), Ended> {
        let runs_once = !dispatch.plan.repeatable && !dispatch.plan.streams;
        let mut sender = hosted
            .connections
            .get(dispatch.address, runs_once)
            .await
            .map_err(|_| Ended::not_sent())?;
        self.connected_after = Some(self.started.elapsed());
        if !may_send(hosted, dispatch) {
            hosted.connections.put(dispatch.address, sender, None);
            return Err(Ended::Withheld);
        }
        let resume_after = self.sequence.resume_after();
        let req = build_request(hosted, call, dispatch, resume_after)?;
        let answer = sender.send_request(req).await.map_err(|error| {
            match error.is_canceled() {
                // The request was never written to the connection.
                true => Ended::not_sent(),
                false => Ended::failed(FailureKind::Broken),
            }
        })?;
        let (head, mut body) = answer.into_parts();
        if head.status.as_u16() >= STATUS_END {
            return Err(Ended::failed(FailureKind::Error));
        }
        let info = answer::decode(head.status, &head.headers, &call.info.attempt);
        if !info.notice.is_empty() {
            hosted.traffic.control.notice(dispatch.target, info.notice);
        }
        report_head(hosted, dispatch, &info);
        match info.outcome {
            Outcome::NotRun | Outcome::OtherTarget => return Err(Ended::Declined),
            Outcome::OtherRequest => return Err(Ended::failed(FailureKind::Crossed)),
            Outcome::Unclear => return Err(Ended::failed(FailureKind::Error)),
            Outcome::Ran => {}
        }
        if head.status.is_informational() {
            // Headers that ask for another protocol are not forwarded, so none was asked for.
            return Err(Ended::failed(FailureKind::Error));
        }
        let keep = |sender: Sender| {
            if !info.closes {
                hosted
                    .connections
                    .put(dispatch.address, sender, info.keep_alive);
            }
        };
        if head.status.is_server_error() {
            let body = read_limited(&mut body, FAILURE_BYTES_MAX).await?;
            check_end(&head, &sender)?;
            keep(sender);
            let head = for_caller(&head);
            return Err(Ended::Failed {
                kind: FailureKind::Error,
                sent: true,
                answer: Some(Box::new(TargetFailure { head, body })),
            });
        }
        if self.forwarded == Forwarded::Stream && !self.is_continued_by(&head) {
            return Err(report_not_resumed(hosted, call, dispatch, &head));
        }
        if dispatch.plan.streams && head.status.is_success() {
            self.forward_stream(hosted, call, (dispatch, &sender), &head, body)
                .await?;
        } else {
            self.forward_buffered(hosted, call, (dispatch, &sender), &head, body)
                .await?;
        }
        keep(sender);
        Ok(())
    }

    /// Forwards an answer that does not stream. A small answer is buffered until it is complete.
    async fn forward_buffered(
        &mut self,
        hosted: &Hosted,
        call: &Call,
        (dispatch, sender): (&Dispatch<'_>, &Sender),
        head: &response::Parts,
        mut body: Incoming,
    ) -> Result<(), Ended> {
        let hold_max = hosted.traffic.settings.targets.hold_bytes_max;
        let mut held = BytesMut::new();
        let length = content_length(head);
        while let Some(chunk) = next_chunk(&mut body).await? {
            held.extend_from_slice(&chunk);
            if self.forwarded != Forwarded::Nothing || held.len() > hold_max {
                let head = for_caller_of_length(head, length.clone());
                self.begin(hosted, dispatch, head, Forwarded::Body);
                self.send(held.split().freeze()).await?;
            }
        }
        check_end(head, sender)?;
        if self.forwarded == Forwarded::Nothing {
            let length = match has_body(&call.method, head.status) {
                true => Some(HeaderValue::from(held.len())),
                // The length that the body would have.
                false => length,
            };
            let head = for_caller_of_length(head, length);
            self.begin(hosted, dispatch, head, Forwarded::Body);
        }
        if !held.is_empty() {
            self.send(held.freeze()).await?;
        }
        Ok(())
    }

    /// Forwards a stream, event by event.
    async fn forward_stream(
        &mut self,
        hosted: &Hosted,
        call: &Call,
        (dispatch, sender): (&Dispatch<'_>, &Sender),
        head: &response::Parts,
        mut body: Incoming,
    ) -> Result<(), Ended> {
        let mut splitter = Splitter::default();
        self.sequence.begin_attempt();
        while let Some(chunk) = next_chunk(&mut body).await? {
            splitter
                .push(&chunk)
                .map_err(|_| Ended::failed(FailureKind::Error))?;
            let mut batch = BytesMut::new();
            let mut order = Ok(());
            while order.is_ok()
                && let Some(event) = splitter.next()
            {
                order = self.sequence.push(event, &mut batch);
            }
            self.send_events(hosted, dispatch, head, batch).await?;
            if let Err(error) = order {
                return Err(report_disorder(hosted, call, dispatch, error));
            }
        }
        check_end(head, sender)?;
        if splitter.has_partial_event() {
            return Err(Ended::failed(FailureKind::Truncated));
        }
        let mut batch = BytesMut::new();
        self.sequence.finish(&mut batch);
        self.send_events(hosted, dispatch, head, batch).await?;
        if !self.sequence.has_continued() {
            // Without an end mark, nothing shows that the caller has the last event.
            return Err(report_not_resumed(hosted, call, dispatch, head));
        }
        if let Some(first) = self.sequence.confirmed_first()
            && call.info.resume_after.is_none()
        {
            hosted.first_ids.record(&dispatch.plan.route, first);
        }
        // A stream without events is a complete answer too.
        self.begin_stream(hosted, dispatch, head);
        Ok(())
    }

    /// Sends events of a stream to the caller, if there are any.
    async fn send_events(
        &mut self,
        hosted: &Hosted,
        dispatch: &Dispatch<'_>,
        head: &response::Parts,
        batch: BytesMut,
    ) -> Result<(), Ended> {
        if batch.is_empty() {
            return Ok(());
        }
        self.begin_stream(hosted, dispatch, head);
        self.send(batch.freeze()).await?;
        let delivered = self.delivered();
        hosted.traffic.progress.record(dispatch.attempt, delivered);
        Ok(())
    }

    /// Returns whether an answer with this head may continue the stream that has begun.
    fn is_continued_by(&self, head: &response::Parts) -> bool {
        head.status.is_success() && Format::of(head) == self.format
    }

    /// Begins a stream, unless it has begun.
    fn begin_stream(&mut self, hosted: &Hosted, dispatch: &Dispatch<'_>, head: &response::Parts) {
        if self.forwarded == Forwarded::Nothing {
            self.format = Format::of(head);
        }
        self.begin(hosted, dispatch, for_caller(head), Forwarded::Stream);
    }

    /// Returns how a dispatch ended. A failure becomes final if no other attempt can continue what the
    /// caller has received.
    fn unless_resumable(
        &self,
        hosted: &Hosted,
        call: &Call,
        dispatch: &Dispatch<'_>,
        ended: Ended,
    ) -> Ended {
        let is_resumable = match self.forwarded {
            Forwarded::Nothing => true,
            Forwarded::Stream => {
                let is_usual = |first| {
                    let begins = call.info.resume_after.is_none();
                    begins && hosted.first_ids.is_usual(&dispatch.plan.route, first)
                };
                let first = self.sequence.unconfirmed_first();
                self.sequence.is_resumable() && first.is_none_or(is_usual)
            }
            Forwarded::Body => false,
        };
        match ended {
            Ended::Failed { sent: true, .. } if !is_resumable => {
                Ended::failed(FailureKind::Unresumable)
            }
            ended => ended,
        }
    }

    /// Sends the head to the caller, unless one was sent, and reports the start of the attempt to
    /// the node, unless it was reported.
    fn begin(
        &mut self,
        hosted: &Hosted,
        dispatch: &Dispatch<'_>,
        head: response::Parts,
        forwarded: Forwarded,
    ) {
        if self.first_byte_after.is_none() {
            self.first_byte_after = Some(self.started.elapsed());
        }
        if self.forwarded == Forwarded::Nothing {
            self.forwarded = forwarded;
            if let Some(reply) = &mut self.reply {
                reply.begin(head);
            }
        }
        if self.began(dispatch.attempt).is_none() {
            self.reported = Some((dispatch.attempt, Instant::now()));
            hosted
                .traffic
                .control
                .attempt(dispatch.attempt, AttemptEvent::Started);
        }
    }

    async fn send(&self, chunk: Bytes) -> Result<(), Ended> {
        match &self.reply {
            Some(reply) => reply.send(chunk).await.map_err(Ended::Undeliverable),
            None => Err(Ended::Undeliverable(SendError::Disconnected)),
        }
    }
}

/// Logs and counts an event that is out of order, and returns how the dispatch ended.
fn report_disorder(
    hosted: &Hosted,
    call: &Call,
    dispatch: &Dispatch<'_>,
    error: OutOfOrder,
) -> Ended {
    let OutOfOrder {
        id,
        after,
        is_resumable,
    } = error;
    let (attempt, target) = (&call.info.attempt, dispatch.target);
    let id = id.map_or_else(|| "-".to_owned(), |id| id.to_string());
    log::info!(target: "disordered", "attempt={attempt} target={target} id={id} after={after} resumable={is_resumable}");
    hosted.traffic.metrics.edge(Edge::EventOutOfOrder);
    Ended::failed(match is_resumable {
        true => FailureKind::Error,
        false => FailureKind::Unresumable,
    })
}

/// Reports to the node what the head of an answer says about the target.
fn report_head(hosted: &Hosted, dispatch: &Dispatch<'_>, info: &AnswerInfo) {
    let limit = match (info.outcome, info.limit) {
        (Outcome::OtherTarget, _) => return,
        // The answer may be older than the request, so the target may state a limit by now.
        (Outcome::OtherRequest, StatedLimit::Absent) => return,
        (_, limit) => limit,
    };
    let load = info.load.map(|load| TargetLoad {
        running: load.running,
        waiting: load.waiting,
    });
    let head = AnswerHead { load, limit };
    hosted.traffic.control.head(dispatch.attempt, head);
}

/// Logs and counts an answer that does not continue the stream for which the request was sent again,
/// and returns how the dispatch ended.
fn report_not_resumed(
    hosted: &Hosted,
    call: &Call,
    dispatch: &Dispatch<'_>,
    head: &response::Parts,
) -> Ended {
    let (attempt, target) = (&call.info.attempt, dispatch.target);
    let (status, media_type) = (head.status.as_u16(), Format::of(head).media_type);
    log::info!(target: "not_resumed", "attempt={attempt} target={target} status={status} media_type={media_type:?}");
    hosted.traffic.metrics.edge(Edge::TargetNotResumed);
    Ended::failed(FailureKind::Error)
}

/// Returns whether a request may still be sent to the target of its dispatch. Since the decision,
/// the target may have been withdrawn and the caller's deadline may have passed.
fn may_send(hosted: &Hosted, dispatch: &Dispatch<'_>) -> bool {
    let now = hosted.traffic.clock.now();
    let has_passed = dispatch
        .plan
        .deadline
        .is_some_and(|deadline| deadline <= now);
    !has_passed && !hosted.traffic.control.is_withdrawn(dispatch.target)
}

/// Returns the request to send to the target. `resume_after` is the last event that the caller has
/// received of a stream.
fn build_request(
    hosted: &Hosted,
    call: &Call,
    dispatch: &Dispatch<'_>,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, Ended> {
    let now = hosted.traffic.clock.now();
    let plan = dispatch.plan;
    let deadline = plan.deadline.unwrap_or(plan.until).min(plan.until);
    let add = AddedHeaders {
        target: dispatch.target,
        organisation: plan.organisation.as_deref(),
        left: Some(deadline.since(now)),
        resume_after,
    };
    let headers = request::forwarded(&call.headers, &call.host, add);
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(&call.path_and_query)
        .body(Full::new(call.body.clone()))
        .map_err(|_| Ended::not_sent())?;
    // A name that is not a valid header value cannot be sent to any target.
    *req.headers_mut() = headers.map_err(|_| Ended::not_sent())?;
    Ok(req)
}

/// Returns the next chunk of a body, or `None` at its end.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, Ended> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Ended::failed(FailureKind::Truncated)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Checks that an answer of which no more arrives is complete. If it has neither a length nor chunks, it
/// ends with its connection, which shows nothing if the target closed it before it had the request.
fn check_end(head: &response::Parts, sender: &Sender) -> Result<(), Ended> {
    let is_delimited =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    match is_delimited || sender.has_sent_all() {
        true => Ok(()),
        false => Err(Ended::failed(FailureKind::Truncated)),
    }
}

/// Reads a body of at most `max` bytes.
async fn read_limited(body: &mut Incoming, max: usize) -> Result<Bytes, Ended> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = next_chunk(body).await? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > max {
            return Err(Ended::failed(FailureKind::Error));
        }
    }
    Ok(bytes.freeze())
}

/// Returns the complete body of a response that the router itself built.
async fn collect(body: Body) -> Bytes {
    match timeout(Duration::from_secs(1), body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        // The router builds its own bodies in memory, so reading them neither fails nor waits.
        Ok(Err(_)) | Err(_) => Bytes::new(),
    }
}

/// Returns the head to send to the caller, without a content length.
fn for_caller(head: &response::Parts) -> response::Parts {
    let mut forwarded = http::Response::new(()).into_parts().0;
    forwarded.status = head.status;
    forwarded.headers = answer::forwarded(&head.headers);
    forwarded
}

fn content_length(head: &response::Parts) -> Option<HeaderValue> {
    head.headers.get(CONTENT_LENGTH).cloned()
}

/// Returns the head to send to the caller, with a content length if one is given.
fn for_caller_of_length(head: &response::Parts, length: Option<HeaderValue>) -> response::Parts {
    let mut forwarded = for_caller(head);
    if let Some(length) = length {
        forwarded.headers.insert(CONTENT_LENGTH, length);
    }
    forwarded
}

fn with_length(mut head: response::Parts, length: usize) -> response::Parts {
    head.headers
        .insert(CONTENT_LENGTH, HeaderValue::from(length));
    head
}
