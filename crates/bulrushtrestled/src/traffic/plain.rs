//! Answers of plain services, and other answers that do not stream.
//!
//! A small answer is buffered until it is complete. If the answer fails before, the caller has
//! received nothing, and the call can be retried if it may be repeated. A larger answer is
//! forwarded as it arrives. If such an answer fails, it is aborted in a way that the caller can
//! detect.

use bulrushtrestle_core::input::FailureKind;
use bytes::BytesMut;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, StatusCode, response};
use hyper::body::Incoming;

use crate::traffic::attempt::{Attempt, Ended, forwarded_headers};
use crate::traffic::reply::Reply;

/// Runs an attempt and forwards the answer to the caller.
pub(super) async fn run_attempt(attempt: &Attempt<'_>, reply: &mut Reply) -> Ended {
    let outcome = async {
        let answer = attempt.send(0).await?;
        let (head, body) = answer.into_parts();
        forward(attempt, head, body, reply).await
    };
    match outcome.await {
        Ok(()) => Ended::Complete,
        Err(ended) => ended,
    }
}

/// Forwards an answer to the caller, and buffers a small one until it is complete.
pub(super) async fn forward(
    attempt: &Attempt<'_>,
    head: response::Parts,
    mut body: Incoming,
    reply: &mut Reply,
) -> Result<(), Ended> {
    if !has_detectable_end(&attempt.call.method, &head) {
        return Err(Ended::failed(FailureKind::Truncated));
    }
    let limit = attempt.gap_timeout();
    let hold_max = attempt.traffic.settings.targets.hold_bytes_max;
    let mut held = BytesMut::new();
    while let Some(chunk) = attempt.next_chunk(&mut body, limit).await? {
        if reply.has_begun() || held.len() + chunk.len() > hold_max {
            reply.begin(caller_head(&head));
            if !held.is_empty() {
                reply.send(held.split().freeze()).await?;
            }
        }
        // The last chunk is held back until the end of the answer is received. A caller that has
        // all bytes disconnects, which must not be mistaken for a disconnect before the end.
        held.extend_from_slice(&chunk);
    }
    reply.begin(caller_head(&head));
    if !held.is_empty() {
        reply.send(held.freeze()).await?;
    }
    Ok(())
}

/// Returns whether the end of an answer can be distinguished from a broken connection.
fn has_detectable_end(method: &Method, head: &response::Parts) -> bool {
    let is_chunked = head
        .headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    !has_body(method, head.status) || is_chunked || head.headers.contains_key(CONTENT_LENGTH)
}

/// Returns whether an answer has a body, which may be empty.
pub(super) fn has_body(method: &Method, status: StatusCode) -> bool {
    *method != Method::HEAD && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns the head to send to the caller, with the content length if the target sent one.
fn caller_head(head: &response::Parts) -> response::Parts {
    let mut forwarded = http::Response::new(()).into_parts().0;
    forwarded.status = head.status;
    forwarded.headers = forwarded_headers(&head.headers);
    if let Some(length) = head.headers.get(CONTENT_LENGTH) {
        forwarded.headers.insert(CONTENT_LENGTH, length.clone());
    }
    forwarded
}
