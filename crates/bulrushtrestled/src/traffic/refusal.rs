//! Refusals in the form in which callers receive them.

use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bulrushtrestle_core::verdict::{Reason, Refusal, Verdict};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;

pub(super) use crate::control::DEFAULT_RETRY_AFTER;

/// The body of a refusal, a problem document as in RFC 9457.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    verdict: Verdict,
    reason: Reason,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the problem document of a refusal, as JSON.
pub(super) fn document(refusal: &Refusal) -> Bytes {
    let reason = refusal.reason.as_str();
    let problem = Problem {
        r#type: format!("urn:bulrushtrestle:reason:{reason}"),
        title: &reason.replace('_', " "),
        status: refusal.reason.status(),
        verdict: refusal.verdict,
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after.map(millis),
    };
    let document = serde_json::to_vec(&problem).expect("a problem has only plain members");
    document.into()
}

/// Returns the complete response to a refused request.
pub(super) fn response(refusal: &Refusal) -> Response {
    let mut response = Response::new(Body::from(document(refusal)));
    *response.status_mut() = StatusCode::from_u16(refusal.reason.status())
        .expect("the status of every reason is a valid status");
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(after)));
    }
    response
}

/// Returns the complete HTTP/1.1 response to a refused connection, which is closed afterwards.
pub(super) fn raw_response(refusal: &Refusal) -> Bytes {
    let document = document(refusal);
    let status = StatusCode::from_u16(refusal.reason.status())
        .expect("the status of every reason is a valid status");
    let mut answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\n\
         connection: close\r\n",
        document.len(),
    );
    if let Some(after) = refusal.retry_after {
        answer.push_str(&format!("retry-after: {}\r\n", ceil_seconds(after)));
    }
    answer.push_str("\r\n");
    [answer.as_bytes(), &document].concat().into()
}

/// Returns a duration in milliseconds, rounded down.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in seconds, rounded up so that a caller never retries too early.
fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
