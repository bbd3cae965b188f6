//! Answers of plain services, and other answers that do not stream.
//!
//! A small answer is held back until it is whole, so that one that breaks off leaves no trace and can
//! be fetched again if the call may be repeated. A larger one is passed on as it arrives and cut off
//! visibly if it breaks.

use bulrushtrestle_core::input::FailureKind;
use bytes::BytesMut;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, StatusCode, response};
use hyper::body::Incoming;

use crate::traffic::attempt::{Attempt, Ended, passed_on};
use crate::traffic::reply::Reply;

/// Makes an attempt.
pub(super) async fn take(attempt: &Attempt<'_>, reply: &mut Reply) -> Ended {
    let outcome = async {
        let answer = attempt.send(0).await?;
        let (head, body) = answer.into_parts();
        pass(attempt, head, body, reply).await
    };
    match outcome.await {
        Ok(()) => Ended::Whole,
        Err(ended) => ended,
    }
}

/// Passes an answer on to the caller.
pub(super) async fn pass(
    attempt: &Attempt<'_>,
    head: response::Parts,
    mut body: Incoming,
    reply: &mut Reply,
) -> Result<(), Ended> {
    if !shows_its_end(&attempt.call.method, &head) {
        return Err(Ended::failed(FailureKind::Truncated));
    }
    let limit = attempt.gap_timeout();
    let hold_max = attempt.traffic.settings.targets.hold_bytes_max;
    let mut held = BytesMut::new();
    while let Some(piece) = attempt.piece(&mut body, limit).await? {
        if reply.is_begun() || held.len() + piece.len() > hold_max {
            reply.begin(caller_head(&head));
            if !held.is_empty() {
                reply.send(held.split().freeze()).await?;
            }
        }
        // The last piece waits until the end is seen: a caller that has all bytes leaves, and must not
        // be taken for one that left early.
        held.extend_from_slice(&piece);
    }
    reply.begin(caller_head(&head));
    if !held.is_empty() {
        reply.send(held.freeze()).await?;
    }
    Ok(())
}

/// Says whether the end of an answer can be told from a connection that broke.
fn shows_its_end(method: &Method, head: &response::Parts) -> bool {
    let has_no_body = *method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let is_chunked = head
        .headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    has_no_body || is_chunked || head.headers.contains_key(CONTENT_LENGTH)
}

/// Returns the head for the caller, with the length if it is known.
fn caller_head(head: &response::Parts) -> response::Parts {
    let mut own = http::Response::new(()).into_parts().0;
    own.status = head.status;
    own.headers = passed_on(&head.headers);
    if let Some(length) = head.headers.get(CONTENT_LENGTH) {
        own.headers.insert(CONTENT_LENGTH, length.clone());
    }
    own
}
