//! The way of an answer to its caller.

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

/// Pieces of an answer that wait for the caller to read them.
const PIECES: usize = 4;

/// The answer was cut off; the caller sees a broken body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer is not whole")]
pub(super) struct Cut;

/// Why an answer does not get through to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lost {
    /// The caller has left.
    Left,
    /// The caller left the answer unread for too long.
    Unread,
}

/// The near end: what the task that serves a request writes to.
#[derive(Debug)]
pub(super) struct Reply {
    head: Option<oneshot::Sender<Response<()>>>,
    body: mpsc::Sender<Result<Bytes, Cut>>,
    unread: Duration,
}

/// The far end: what the caller's connection reads from. Dropping it shows that the caller left.
#[derive(Debug)]
pub(super) struct Answer {
    head: oneshot::Receiver<Response<()>>,
    body: mpsc::Receiver<Result<Bytes, Cut>>,
}

impl Reply {
    /// Returns both ends.
    pub(super) fn new(unread: Duration) -> (Self, Answer) {
        let (head, head_receiver) = oneshot::channel();
        let (body, body_receiver) = mpsc::channel(PIECES);
        let reply = Self {
            head: Some(head),
            body,
            unread,
        };
        let answer = Answer {
            head: head_receiver,
            body: body_receiver,
        };
        (reply, answer)
    }

    /// Says whether the head of the answer has gone out.
    pub(super) const fn is_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends the head of the answer, unless it has gone out already.
    pub(super) fn begin(&mut self, head: response::Parts) {
        if let Some(sender) = self.head.take() {
            // A caller that has left shows when a piece is sent.
            drop(sender.send(Response::from_parts(head, ())));
        }
    }

    /// Sends a piece of the body.
    pub(super) async fn send(&self, piece: Bytes) -> Result<(), Lost> {
        match timeout(self.unread, self.body.send(Ok(piece))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Lost::Left),
            Err(_) => Err(Lost::Unread),
        }
    }

    /// Returns a way to wait until the caller has left.
    pub(super) fn watch(&self) -> Watch {
        Watch(self.body.clone())
    }

    /// Gives the final answer to a request that is given up on.
    ///
    /// If a stream has begun, its last event carries the refusal and the end mark is missing; any
    /// other answer that has begun is cut off.
    pub(super) async fn refuse(mut self, refusal: &Refusal, is_stream: bool) {
        if !self.is_begun() {
            let (head, _) = refusal::response(refusal).into_parts();
            self.begin(head);
            let _ = self.send(refusal::document(refusal)).await;
        } else if is_stream {
            let document = refusal::document(refusal);
            let event = [b"event: error\ndata: ".as_slice(), &document, b"\n\n"].concat();
            let _ = self.send(event.into()).await;
        } else {
            self.cut().await;
        }
    }

    /// Cuts the answer off, so that the caller cannot take it for whole.
    pub(super) async fn cut(self) {
        drop(timeout(self.unread, self.body.send(Err(Cut))).await);
    }
}

/// Waits until the caller has left.
#[derive(Debug)]
pub(super) struct Watch(mpsc::Sender<Result<Bytes, Cut>>);

impl Watch {
    pub(super) async fn left(&self) {
        self.0.closed().await;
    }
}

impl Answer {
    /// Waits for the head and returns the answer, whose body follows as it arrives.
    pub(super) async fn response(self) -> Response {
        let Ok(head) = self.head.await else {
            // The task that served the request has panicked.
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return response;
        };
        let pieces = stream::unfold(self.body, |mut body| async move {
            body.recv().await.map(|piece| (piece, body))
        });
        head.map(|()| Body::from_stream(pieces))
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
