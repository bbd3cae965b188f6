//! Sending a request to a target and passing the answer on.
//!
//! Answers that do not stream are held back until they are whole, up to a limit, so that one that breaks off leaves
//! no trace. Streams are passed on event by event; of an event that breaks off nothing is passed on, so that a
//! stream can be resumed behind the last whole one.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bulrushtrestle_core::input::{AttemptEvent, FailureKind, TargetLoad};
use bulrushtrestle_core::key::AttemptId;
use bulrushtrestle_platform::answer::{self, Outcome};
use bulrushtrestle_platform::request::{self, Addition};
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::control::Passage;
use crate::traffic::hosted::connections::Sender;
use crate::traffic::hosted::{Call, Hosted};
use crate::traffic::reply::Reply;
use crate::traffic::sse::Splitter;

/// The largest failure of a target that is held for the caller.
const FAILURE_BYTES_MAX: usize = 64 * 1024;

/// One dispatch of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sent<'a> {
    pub(super) attempt: AttemptId,
    pub(super) address: SocketAddr,
    /// The name of the target, which answers only to it.
    pub(super) target: &'a str,
    /// The last event that the caller has.
    pub(super) resume_from: u64,
    pub(super) passage: &'a Passage,
}

/// A target's answer that says that it failed the request.
#[derive(Debug)]
pub(super) struct Failed {
    head: response::Parts,
    body: Bytes,
}

impl Failed {
    /// Returns the status that the target answered with.
    pub(super) fn status(&self) -> u16 {
        self.head.status.as_u16()
    }
}

/// How a dispatch ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The whole answer reached the caller.
    Whole {
        /// The last event of a stream.
        tokens: u64,
    },
    /// The target said that it did not run the request.
    Declined,
    /// Nothing was sent, because the target must get nothing more by now, or the caller has given up.
    Withheld,
    /// It failed.
    Failed {
        /// What was seen.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the target.
        sent: bool,
        /// What the target answered, if the caller may have it.
        answer: Option<Box<Failed>>,
    },
    /// The caller takes nothing more.
    Lost,
}

impl Ended {
    const fn failed(kind: FailureKind) -> Self {
        Self::Failed {
            kind,
            sent: true,
            answer: None,
        }
    }

    const fn not_sent() -> Self {
        Self::Failed {
            kind: FailureKind::Connect,
            sent: false,
            answer: None,
        }
    }
}

/// What a caller has of an answer, over all dispatches.
#[derive(Debug)]
pub(super) struct Relay {
    reply: Option<Reply>,
    begun: bool,
    /// The last event that the caller has.
    delivered: u64,
    started: Instant,
    first: Option<Duration>,
    /// After how long the last dispatch had a connection to its target.
    sent: Option<Duration>,
    target: String,
    /// The attempt of which the node knows that its answer has begun.
    announced: Option<AttemptId>,
}

impl Relay {
    pub(super) fn new(reply: Reply) -> Self {
        Self {
            reply: Some(reply),
            begun: false,
            delivered: 0,
            started: Instant::now(),
            first: None,
            sent: None,
            target: "-".to_owned(),
            announced: None,
        }
    }

    /// Returns the last event that the caller has.
    pub(super) const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns after how long the caller got the first of the answer.
    pub(super) const fn first_after(&self) -> Option<Duration> {
        self.first
    }

    /// Returns after how long the last dispatch had a connection to its target.
    pub(super) const fn sent_after(&self) -> Option<Duration> {
        self.sent
    }

    /// Returns the target that was asked last.
    pub(super) fn last_target(&self) -> &str {
        &self.target
    }

    /// Sends the request and passes the answer on.
    pub(super) async fn run(&mut self, hosted: &Hosted, call: &Call, sent: &Sent<'_>) -> Ended {
        sent.target.clone_into(&mut self.target);
        match self.attempt(hosted, call, sent).await {
            Ok(()) => Ended::Whole {
                tokens: self.delivered,
            },
            Err(ended) => ended,
        }
    }

    /// Gives the caller an answer of the router's own, or cuts off what has begun.
    pub(super) async fn refuse(&mut self, response: Response) {
        let Some(mut reply) = self.take_unbegun().await else {
            return;
        };
        let (head, body) = response.into_parts();
        let body = whole(body).await;
        reply.begin(head);
        // A caller that has left needs no answer.
        let _ = reply.send(body).await;
    }

    /// Gives the caller the failure that a target answered, or cuts off what has begun.
    pub(super) async fn answer_failed(&mut self, failed: Box<Failed>) {
        let Some(mut reply) = self.take_unbegun().await else {
            return;
        };
        reply.begin(with_length(failed.head, failed.body.len()));
        // A caller that has left needs no answer.
        let _ = reply.send(failed.body).await;
    }

    /// Takes the way to the caller for a final answer, or cuts off what has begun.
    async fn take_unbegun(&mut self) -> Option<Reply> {
        let reply = self.reply.take()?;
        if self.begun {
            reply.cut().await;
            return None;
        }
        Some(reply)
    }

    async fn attempt(
        &mut self,
        hosted: &Hosted,
        call: &Call,
        sent: &Sent<'_>,
    ) -> Result<(), Ended> {
        let runs_once = !sent.passage.repeatable && !sent.passage.streams;
        let mut sender = hosted
            .connections
            .get(sent.address, runs_once)
            .await
            .map_err(|_| Ended::not_sent())?;
        self.sent = Some(self.started.elapsed());
        if !is_due(hosted, sent) {
            hosted.connections.put(sent.address, sender, None);
            return Err(Ended::Withheld);
        }
        let req = build(hosted, call, sent)?;
        let answer = sender.send_request(req).await.map_err(|error| {
            match error.is_canceled() {
                // It was never written to the connection.
                true => Ended::not_sent(),
                false => Ended::failed(FailureKind::Broken),
            }
        })?;
        let (head, mut body) = answer.into_parts();
        let said = answer::decode(head.status, &head.headers, &call.said.attempt);
        if let Some(load) = said.load {
            let (running, waiting) = (load.running, load.waiting);
            let load = TargetLoad { running, waiting };
            hosted.traffic.control.load(sent.attempt, load);
        }
        match said.outcome {
            Outcome::NotRun | Outcome::OtherTarget => return Err(Ended::Declined),
            Outcome::Foreign => return Err(Ended::failed(FailureKind::Crossed)),
            Outcome::Unclear => return Err(Ended::failed(FailureKind::Error)),
            Outcome::Ran => {}
        }
        let keep = |sender: Sender| {
            if !said.closes {
                hosted
                    .connections
                    .put(sent.address, sender, said.keeps_idle);
            }
        };
        if head.status.is_server_error() {
            let body = gather(&mut body, FAILURE_BYTES_MAX).await?;
            keep(sender);
            let head = for_caller(&head);
            return Err(Ended::Failed {
                kind: FailureKind::Error,
                sent: true,
                answer: Some(Box::new(Failed { head, body })),
            });
        }
        if sent.passage.streams && head.status.is_success() {
            self.stream(hosted, sent, &head, body).await?;
        } else {
            self.pass(hosted, sent, &head, body).await?;
        }
        keep(sender);
        Ok(())
    }

    /// Passes an answer on that does not stream.
    async fn pass(
        &mut self,
        hosted: &Hosted,
        sent: &Sent<'_>,
        head: &response::Parts,
        mut body: Incoming,
    ) -> Result<(), Ended> {
        let hold_max = hosted.traffic.settings.targets.hold_bytes_max;
        let mut held = BytesMut::new();
        let length = content_length(head);
        while let Some(piece) = next_piece(&mut body).await? {
            held.extend_from_slice(&piece);
            if self.begun || held.len() > hold_max {
                self.begin(hosted, sent, for_caller_of_length(head, length.clone()));
                self.send(held.split().freeze()).await?;
            }
        }
        if !self.begun {
            let head = with_length(for_caller(head), held.len());
            self.begin(hosted, sent, head);
        }
        if !held.is_empty() {
            self.send(held.freeze()).await?;
        }
        Ok(())
    }

    /// Passes a stream on, event by event.
    async fn stream(
        &mut self,
        hosted: &Hosted,
        sent: &Sent<'_>,
        head: &response::Parts,
        mut body: Incoming,
    ) -> Result<(), Ended> {
        let mut splitter = Splitter::default();
        while let Some(piece) = next_piece(&mut body).await? {
            splitter
                .push(&piece)
                .map_err(|_| Ended::failed(FailureKind::Error))?;
            let mut batch = BytesMut::new();
            while let Some(event) = splitter.next() {
                if event.id.is_some_and(|id| id <= self.delivered) {
                    // It came before the stream was resumed.
                    continue;
                }
                self.delivered = event.id.unwrap_or(self.delivered);
                batch.extend_from_slice(&event.raw);
            }
            if !batch.is_empty() {
                self.begin(hosted, sent, for_caller(head));
                self.send(batch.freeze()).await?;
                hosted.traffic.progress.note(sent.attempt, self.delivered);
            }
        }
        if splitter.has_rest() {
            return Err(Ended::failed(FailureKind::Truncated));
        }
        // A stream without any event is an answer too.
        self.begin(hosted, sent, for_caller(head));
        Ok(())
    }

    fn begin(&mut self, hosted: &Hosted, sent: &Sent<'_>, head: response::Parts) {
        if self.first.is_none() {
            self.first = Some(self.started.elapsed());
        }
        if !self.begun {
            self.begun = true;
            if let Some(reply) = &mut self.reply {
                reply.begin(head);
            }
        }
        if self.announced != Some(sent.attempt) {
            self.announced = Some(sent.attempt);
            hosted
                .traffic
                .control
                .attempt(sent.attempt, AttemptEvent::Started);
        }
    }

    async fn send(&self, piece: Bytes) -> Result<(), Ended> {
        match &self.reply {
            Some(reply) => reply.send(piece).await.map_err(|_| Ended::Lost),
            None => Err(Ended::Lost),
        }
    }
}

/// Says whether a request is still to be sent where it was decided to send it. Since the decision its target may have been
/// learnt to leave, and its caller may have given up.
fn is_due(hosted: &Hosted, sent: &Sent<'_>) -> bool {
    let now = hosted.traffic.clock.now();
    let has_passed = sent
        .passage
        .deadline
        .is_some_and(|deadline| deadline <= now);
    !has_passed && !hosted.traffic.control.is_withdrawn(sent.target)
}

/// Returns the request as the target is sent it.
fn build(hosted: &Hosted, call: &Call, sent: &Sent<'_>) -> Result<Request<Full<Bytes>>, Ended> {
    let now = hosted.traffic.clock.now();
    let passage = sent.passage;
    let deadline = passage.deadline.unwrap_or(passage.until).min(passage.until);
    let add = Addition {
        target: sent.target,
        organisation: passage.organisation.as_deref(),
        left: Some(deadline.since(now)),
        resume_after: (sent.resume_from > 0).then_some(sent.resume_from),
    };
    let headers = request::forwarded(&call.headers, &call.host, add);
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(&call.path_and_query)
        .body(Full::new(call.body.clone()))
        .map_err(|_| Ended::not_sent())?;
    // What cannot be written as a header never reaches a target.
    *req.headers_mut() = headers.map_err(|_| Ended::not_sent())?;
    Ok(req)
}

async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, Ended> {
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

async fn gather(body: &mut Incoming, max: usize) -> Result<Bytes, Ended> {
    let mut bytes = BytesMut::new();
    while let Some(piece) = next_piece(body).await? {
        bytes.extend_from_slice(&piece);
        if bytes.len() > max {
            return Err(Ended::failed(FailureKind::Error));
        }
    }
    Ok(bytes.freeze())
}

/// Returns the body of an answer that was made here.
async fn whole(body: Body) -> Bytes {
    match timeout(Duration::from_secs(1), body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        // Bodies that are made here are whole from the start.
        Ok(Err(_)) | Err(_) => Bytes::new(),
    }
}

fn for_caller(head: &response::Parts) -> response::Parts {
    let mut own = http::Response::new(()).into_parts().0;
    own.status = head.status;
    own.headers = answer::forwarded(&head.headers);
    own
}

fn content_length(head: &response::Parts) -> Option<HeaderValue> {
    head.headers.get(CONTENT_LENGTH).cloned()
}

fn for_caller_of_length(head: &response::Parts, length: Option<HeaderValue>) -> response::Parts {
    let mut own = for_caller(head);
    if let Some(length) = length {
        own.headers.insert(CONTENT_LENGTH, length);
    }
    own
}

fn with_length(mut head: response::Parts, length: usize) -> response::Parts {
    head.headers
        .insert(CONTENT_LENGTH, HeaderValue::from(length));
    head
}
