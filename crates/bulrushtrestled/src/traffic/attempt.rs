//! One attempt: sending a request to a target, and the checks on the head of its answer.

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
use crate::traffic::reply::Lost;

/// The header by which an answer shows which attempt it belongs to.
const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");

/// The header by which a target says that it did not start a request.
const NOT_STARTED: HeaderName = HeaderName::from_static("x-not-started");

const PREFIX: HeaderName = HeaderName::from_static("x-prefix");
const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHENTICATE: HeaderName = HeaderName::from_static("proxy-authenticate");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");

/// Headers that concern one connection or the router itself, and are not passed on.
const OWN_HEADERS: [HeaderName; 18] = [
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
    ATTEMPT,
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
    /// The whole answer reached the caller.
    Whole,
    /// The target said that it did not start the request.
    Declined,
    /// It failed.
    Failed {
        /// What was seen.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the target.
        sent: bool,
    },
    /// The caller takes nothing more.
    Lost(Lost),
}

impl Ended {
    /// Returns a failure of a request that was handed to a connection.
    pub(super) const fn failed(kind: FailureKind) -> Self {
        Self::Failed { kind, sent: true }
    }
}

impl From<Lost> for Ended {
    fn from(lost: Lost) -> Self {
        Self::Lost(lost)
    }
}

impl Attempt<'_> {
    /// Sends the request and returns the answer once its head shows that it belongs to this attempt
    /// and that the target has started.
    pub(super) async fn send(&self, resume_from: u64) -> Result<Response<Incoming>, Ended> {
        let req = self.request(resume_from)?;
        let client = self.traffic.pools.client(self.address, self.call.fresh);
        let answer = timeout(self.first_timeout(), client.request(req)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            // Only before it has a connection can the client tell that nothing was sent.
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

    /// Returns the next piece of an answer, or nothing at its end.
    pub(super) async fn piece(
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

    /// The time from the request to the first sign of an answer.
    pub(super) fn first_timeout(&self) -> Duration {
        self.traffic.settings.targets.first_timeout
    }

    /// The time between two pieces of an answer.
    pub(super) fn gap_timeout(&self) -> Duration {
        self.traffic.settings.targets.gap_timeout
    }

    fn check(&self, status: StatusCode, headers: &HeaderMap) -> Result<(), Ended> {
        if headers.get(ATTEMPT) != Some(&self.header()) {
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
        // A path that the client cannot express never reaches a target.
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
        headers.extend(passed_on(&self.call.headers));
        headers.insert(ATTEMPT, self.header());
        if let Some(prefix) = self.call.prefix {
            let value = HeaderValue::try_from(format!("{:016x}", prefix.0)).map_err(|_| unsent)?;
            headers.insert(PREFIX, value);
        }
        if resume_from > 0 {
            headers.insert(RESUME_FROM, HeaderValue::from(resume_from));
        }
        Ok(req)
    }

    /// Returns what makes this attempt distinct from every other of the fleet.
    fn header(&self) -> HeaderValue {
        HeaderValue::try_from(self.traffic.names.name(self.id))
            .expect("numbers and dashes are a valid header")
    }
}

/// Returns the headers that are passed on in either direction.
pub(super) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in OWN_HEADERS {
        passed.remove(name);
    }
    passed
}

/// Returns which counter a failure has.
pub(super) const fn edge(kind: FailureKind) -> Edge {
    match kind {
        FailureKind::Connect => Edge::TargetConnectFailed,
        FailureKind::Broken => Edge::TargetBroken,
        FailureKind::Truncated => Edge::TargetTruncated,
        FailureKind::Silent => Edge::TargetSilent,
        FailureKind::Error => Edge::TargetError,
        FailureKind::Crossed => Edge::TargetCrossed,
    }
}
