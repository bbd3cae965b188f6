//! One attempt: sends a request to a target and checks the head of the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::input::{AttemptEvent, FailureKind};
use bulrushtrestle_core::key::AttemptId;
use bytes::Bytes;
use http::header::{
    ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::metrics::Edge;
use crate::traffic::Traffic;
use crate::traffic::drive::Call;
use crate::traffic::reply::SendError;

/// The header that names the attempt in a request, and that the target repeats in its answer.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// The header with which a target declares that it did not start the request.
const NOT_STARTED: HeaderName = HeaderName::from_static("x-not-started");

const PREFIX: HeaderName = HeaderName::from_static("x-prefix");
const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHENTICATE: HeaderName = HeaderName::from_static("proxy-authenticate");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");

/// Headers that concern one connection or the router itself, and are not forwarded.
const NOT_FORWARDED: [HeaderName; 18] = [
    ACCEPT_ENCODING,
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    ATTEMPT_ID,
    NOT_STARTED,
    PREFIX,
    RESUME_FROM,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
];

/// One dispatch of a request to a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt<'a> {
    pub(super) traffic: &'a Traffic,
    pub(super) call: &'a Call,
    pub(super) id: AttemptId,
    pub(super) address: SocketAddr,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ended {
    /// The complete answer was sent to the caller.
    Complete,
    /// The target declared that it did not start the request.
    Declined,
    /// The attempt failed.
    Failed {
        /// The observed kind of failure.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the target.
        sent: bool,
    },
    /// The answer could not be delivered to the caller.
    Undeliverable(SendError),
}

impl Ended {
    /// Returns a failure of a request that may have been sent to the target.
    pub(super) const fn failed(kind: FailureKind) -> Self {
        Self::Failed { kind, sent: true }
    }
}

impl From<SendError> for Ended {
    fn from(error: SendError) -> Self {
        Self::Undeliverable(error)
    }
}

impl Attempt<'_> {
    /// Sends the request and returns the answer, after checking that its head belongs to this
    /// attempt and that the target started the request.
    pub(super) async fn send(&self, resume_from: u64) -> Result<Response<Incoming>, Ended> {
        let req = self.request(resume_from)?;
        let client = self
            .traffic
            .pools
            .client(self.address, self.call.fresh_connection);
        let answer = timeout(self.first_timeout(), client.request(req)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            // Only an error before the connection is established proves that nothing was sent.
            Ok(Err(error)) if error.is_connect() => {
                return Err(Ended::Failed {
                    kind: FailureKind::Connect,
                    sent: false,
                });
            }
            Ok(Err(_)) => return Err(Ended::failed(FailureKind::Broken)),
            Err(_) => return Err(Ended::failed(FailureKind::Silent)),
        };
        self.check(answer.status(), answer.headers())?;
        self.traffic.control.attempt(self.id, AttemptEvent::Started);
        Ok(answer)
    }

    /// Returns the next chunk of an answer's body, or `None` at its end. Fails if no chunk arrives
    /// within `limit`.
    pub(super) async fn next_chunk(
        &self,
        body: &mut Incoming,
        limit: Duration,
    ) -> Result<Option<Bytes>, Ended> {
        loop {
            match timeout(limit, body.frame()).await {
                Err(_) => return Err(Ended::failed(FailureKind::Silent)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(Ended::failed(FailureKind::Broken)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the timeout from sending the request to the head of the answer.
    pub(super) fn first_timeout(&self) -> Duration {
        self.traffic.settings.targets.first_timeout
    }

    /// Returns the timeout between two chunks of an answer.
    pub(super) fn gap_timeout(&self) -> Duration {
        self.traffic.settings.targets.gap_timeout
    }

    fn check(&self, status: StatusCode, headers: &HeaderMap) -> Result<(), Ended> {
        if headers.get(ATTEMPT_ID) != Some(&self.header()) {
            return Err(Ended::failed(FailureKind::Crossed));
        }
        let not_started = headers
            .get(NOT_STARTED)
            .is_some_and(|value| value.as_bytes() == b"true");
        if status == StatusCode::SERVICE_UNAVAILABLE && not_started {
            return Err(Ended::Declined);
        }
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(Ended::failed(FailureKind::Error));
        }
        Ok(())
    }

    fn request(&self, resume_from: u64) -> Result<Request<Full<Bytes>>, Ended> {
        let uri = format!("http://{}{}", self.address, self.call.path);
        // A path that is not a valid URI cannot be sent to any target.
        let unsent = Ended::Failed {
            kind: FailureKind::Connect,
            sent: false,
        };
        let mut req = Request::builder()
            .method(self.call.method.clone())
            .uri(uri)
            .body(Full::new(self.call.body.clone()))
            .map_err(|_| unsent)?;
        let headers = req.headers_mut();
        headers.extend(forwarded_headers(&self.call.headers));
        headers.insert(ATTEMPT_ID, self.header());
        if let Some(prefix) = self.call.prefix {
            let value = HeaderValue::try_from(format!("{:016x}", prefix.0)).map_err(|_| unsent)?;
            headers.insert(PREFIX, value);
        }
        if resume_from > 0 {
            headers.insert(RESUME_FROM, HeaderValue::from(resume_from));
        }
        Ok(req)
    }

    /// Returns the identity of this attempt, unique in the fleet, as a header value.
    fn header(&self) -> HeaderValue {
        HeaderValue::try_from(self.traffic.names.name(self.id))
            .expect("numbers and dashes are a valid header")
    }
}

/// Returns the headers to forward, for requests and for answers.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the metric that counts a kind of failure.
pub(super) const fn failure_metric(kind: FailureKind) -> Edge {
    match kind {
        FailureKind::Connect => Edge::TargetConnectFailed,
        FailureKind::Broken => Edge::TargetBroken,
        FailureKind::Truncated => Edge::TargetTruncated,
        FailureKind::Silent => Edge::TargetSilent,
        FailureKind::Error => Edge::TargetError,
        FailureKind::Crossed => Edge::TargetCrossed,
        FailureKind::Unresumable => Edge::TargetUnresumable,
    }
}
