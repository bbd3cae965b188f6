//! The channel that carries an answer from the task serving a request to the caller's connection.
//!
//! # Invariant
//!
//! A body ends as complete only after [`Reply::finish`]. If the writing end is dropped in any other
//! way, the connection to the caller ends with an incomplete body. Neither end needs room in the
//! channel, so that the answer to a caller that reads nothing is aborted as well.

use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bulrushtrestle_core::verdict::Refusal;
use bytes::Bytes;
use futures::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode, response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::traffic::refusal;

/// The most chunks of an answer that are buffered until the caller reads them.
const BUFFERED_CHUNKS_MAX: usize = 4;

/// The answer was aborted before its end. The connection to the caller ends with an incomplete
/// body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("answer aborted before its end")]
pub(super) struct Aborted;

/// Why a chunk of an answer could not be delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendError {
    /// The caller has disconnected.
    Disconnected,
    /// The caller did not read the answer within the timeout.
    Timeout,
}

/// The writing end, used by the task that serves a request. Dropping it aborts the answer.
#[derive(Debug)]
pub(super) struct Reply {
    head: Option<oneshot::Sender<Response<()>>>,
    body: mpsc::Sender<Bytes>,
    end: oneshot::Sender<Complete>,
    unread_timeout: Duration,
}

/// The body of an answer is complete.
#[derive(Debug)]
struct Complete;

/// The reading end, used by the caller's connection. Dropping it signals that the caller
/// disconnected.
#[derive(Debug)]
pub(super) struct Answer {
    head: oneshot::Receiver<Response<()>>,
    body: mpsc::Receiver<Bytes>,
    end: oneshot::Receiver<Complete>,
}

impl Reply {
    /// Returns both ends of a channel. A chunk that the caller does not read within
    /// `unread_timeout` fails to send.
    pub(super) fn new(unread_timeout: Duration) -> (Self, Answer) {
        let (head, head_receiver) = oneshot::channel();
        let (body, body_receiver) = mpsc::channel(BUFFERED_CHUNKS_MAX);
        let (end, end_receiver) = oneshot::channel();
        let reply = Self {
            head: Some(head),
            body,
            end,
            unread_timeout,
        };
        let answer = Answer {
            head: head_receiver,
            body: body_receiver,
            end: end_receiver,
        };
        (reply, answer)
    }

    /// Returns whether the head of the answer has been sent.
    pub(super) const fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends the head of the answer, unless it has already been sent.
    pub(super) fn begin(&mut self, head: response::Parts) {
        if let Some(sender) = self.head.take() {
            // If the caller has disconnected, sending the first chunk fails.
            drop(sender.send(Response::from_parts(head, ())));
        }
    }

    /// Sends a chunk of the body.
    pub(super) async fn send(&self, chunk: Bytes) -> Result<(), SendError> {
        match timeout(self.unread_timeout, self.body.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SendError::Disconnected),
            Err(_) => Err(SendError::Timeout),
        }
    }

    /// Returns a watch that completes when the caller disconnects.
    pub(super) fn disconnect_watch(&self) -> DisconnectWatch {
        DisconnectWatch(self.body.clone())
    }

    /// Sends a refusal as the final answer.
    ///
    /// If a stream has begun, its last event carries the refusal and the end mark is missing. Any
    /// other answer that has begun is aborted.
    pub(super) async fn refuse(self, refusal: &Refusal, is_stream: bool) {
        let document = refusal::document(refusal);
        if !self.has_begun() {
            let (head, _) = refusal::response(refusal).into_parts();
            self.send_whole(head, document).await;
        } else if is_stream {
            let event = [b"event: error\ndata: ".as_slice(), &document, b"\n\n"].concat();
            if self.send(event.into()).await.is_ok() {
                self.finish();
            }
        }
    }

    /// Sends an answer whose body is one chunk. A caller that has disconnected needs no answer.
    pub(super) async fn send_whole(mut self, head: response::Parts, body: Bytes) {
        self.begin(head);
        if self.send(body).await.is_ok() {
            self.finish();
        }
    }

    /// Ends the body as complete, after the chunks that were sent.
    pub(super) fn finish(self) {
        // If the caller has disconnected, nobody waits for the end.
        drop(self.end.send(Complete));
    }
}

/// Detects when the caller disconnects.
#[derive(Debug)]
pub(super) struct DisconnectWatch(mpsc::Sender<Bytes>);

impl DisconnectWatch {
    /// Waits until the caller disconnects.
    pub(super) async fn disconnected(&self) {
        self.0.closed().await;
    }
}

impl Answer {
    /// Waits for the head and returns a response whose body streams the chunks as they arrive.
    pub(super) async fn response(self) -> Response {
        let Ok(head) = self.head.await else {
            // The task that serves the request ended without an answer, for example by a panic.
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return response;
        };
        let chunks = stream::unfold(Some((self.body, self.end)), async |ends| {
            let (mut body, end) = ends?;
            if let Some(chunk) = body.recv().await {
                return Some((Ok(chunk), Some((body, end))));
            }
            // All writers are gone, so the end is known.
            end.await.is_err().then_some((Err(Aborted), None))
        });
        head.map(|()| Body::from_stream(chunks))
    }
}

/// Returns the head of a streamed answer.
pub(super) fn stream_head() -> response::Parts {
    let mut response = Response::new(());
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream; charset=utf-8"),
    );
    response.into_parts().0
}
