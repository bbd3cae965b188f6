//! HTTP with JSON bodies, for the platform and the control side of targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest answer that is read.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// For how long a connection is kept idle: shorter than common servers keep theirs, so that a request
/// rarely meets a connection that is just being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A client with a small pool of connections.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    authorization: Option<HeaderValue>,
}

/// Why there is no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HttpError {
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// Something was sent, and no whole answer came.
    Unanswered,
    /// The answer has this status.
    Status(StatusCode),
    /// The answer is not what was asked for.
    Malformed,
}

impl Http {
    /// Returns a client that sends `token`, if there is one.
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

    /// Gets a JSON value.
    pub(super) async fn get<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let body = self
            .send(Method::GET, at, path, Bytes::new(), limit)
            .await?;
        serde_json::from_slice(&body).map_err(|_| HttpError::Malformed)
    }

    /// Sends a request for the head of an answer alone.
    pub(super) async fn head(
        &self,
        at: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<(), HttpError> {
        self.send(Method::HEAD, at, path, Bytes::new(), limit)
            .await
            .map(drop)
    }

    /// Posts a JSON value and returns the body of the answer.
    pub(super) async fn post(
        &self,
        at: SocketAddr,
        path: &str,
        content: &impl Serialize,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let body = serde_json::to_vec(content).map_err(|_| HttpError::Malformed)?;
        self.send(Method::POST, at, path, body.into(), limit).await
    }

    /// Sends a request and returns the whole body of a successful answer.
    async fn send(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, HttpError> {
        let (status, body) = self.call(method, at, path, body, limit).await?;
        match status.is_success() {
            true => Ok(body),
            false => Err(HttpError::Status(status)),
        }
    }

    /// Sends a request and returns status and body of the whole answer.
    pub(super) async fn call(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
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
        match tokio::time::timeout(limit, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::Unanswered),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), HttpError> {
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
        Ok((head.status, body.to_bytes()))
    }
}
