//! An HTTP client with JSON bodies, for the platform's services and the control endpoints of
//! targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest body of an answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The timeout for making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for which an idle connection is kept. Common servers keep idle connections for longer,
/// so that a request is rarely sent on a connection that the server is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client with a small pool of connections.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    authorization: Option<HeaderValue>,
}

/// The status, the headers and the complete body of an answer.
pub(super) type Answer = (StatusCode, HeaderMap, Bytes);

/// The reason why a request got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HttpError {
    /// No connection could be made, so the request was not sent.
    NotSent,
    /// The request may have been sent, but no complete answer arrived.
    Unanswered,
    /// The answer has this status, which is not a success.
    Status(StatusCode),
    /// The request could not be encoded, or the answer could not be decoded.
    Malformed,
}

impl Http {
    /// Returns a client that sends `token`, if given, as a bearer token with each request.
    pub(crate) fn new(token: Option<&str>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(2)
            .build(connector);
        let authorization = token.and_then(|token| {
            let mut value = HeaderValue::try_from(format!("Bearer {token}")).ok()?;
            value.set_sensitive(true);
            Some(value)
        });
        Self {
            client,
            authorization,
        }
    }

    /// Sends a GET request and decodes the answer's JSON body.
    pub(super) async fn get<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let body = self
            .send(Method::GET, at, path, Bytes::new(), timeout)
            .await?;
        serde_json::from_slice(&body).map_err(|_| HttpError::Malformed)
    }

    /// Sends a HEAD request.
    pub(super) async fn head(
        &self,
        at: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(), HttpError> {
        self.send(Method::HEAD, at, path, Bytes::new(), timeout)
            .await
            .map(drop)
    }

    /// Sends a POST request with a JSON body and returns the body of the answer.
    pub(super) async fn post(
        &self,
        at: SocketAddr,
        path: &str,
        content: &impl Serialize,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let body = serde_json::to_vec(content).map_err(|_| HttpError::Malformed)?;
        self.send(Method::POST, at, path, body.into(), timeout)
            .await
    }

    /// Sends a request and returns the complete body. An answer without a success status is an
    /// error.
    async fn send(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let (status, _, body) = self.call(method, at, path, body, timeout).await?;
        match status.is_success() {
            true => Ok(body),
            false => Err(HttpError::Status(status)),
        }
    }

    /// Sends a request and returns the status, the headers and the complete body of the answer,
    /// whatever the status.
    pub(super) async fn call(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, HttpError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(authorization) = &self.authorization {
            req = req.header(AUTHORIZATION, authorization);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|_| HttpError::Malformed)?;
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::Unanswered),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Answer, HttpError> {
        let answer = self.client.request(req).await.map_err(|error| {
            if error.is_connect() {
                HttpError::NotSent
            } else {
                HttpError::Unanswered
            }
        })?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|_| HttpError::Unanswered)?;
        Ok((head.status, head.headers, body.to_bytes()))
    }
}
