//! Calls to the platform and to routers, each with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum size of a response body, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The error of a call without a usable response, with the URL of the call.
#[derive(Debug, thiserror::Error)]
#[error("{url}: {kind}")]
pub(crate) struct Error {
    url: String,
    kind: ErrorKind,
}

#[derive(Debug, thiserror::Error)]
enum ErrorKind {
    #[error("no connection")]
    Connect,
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    #[error("the connection broke")]
    Broken,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("unexpected answer: {0}")]
    Decode(serde_json::Error),
}

impl Error {
    /// Returns whether the call is known to have had no effect.
    pub(crate) fn had_no_effect(&self) -> bool {
        match self.kind {
            ErrorKind::Connect => true,
            ErrorKind::Status(status) => {
                status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
            }
            ErrorKind::Timeout(_) | ErrorKind::Broken | ErrorKind::Decode(_) => false,
        }
    }

    /// Returns the HTTP status, if the call failed because of the status.
    pub(crate) const fn status(&self) -> Option<StatusCode> {
        match self.kind {
            ErrorKind::Status(status) => Some(status),
            _ => None,
        }
    }
}

/// The base URL of a service, such as `http://127.0.0.1:7000`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BaseUrl(String);

impl BaseUrl {
    /// Returns the base URL of the service at an address.
    pub(crate) fn from_address(address: SocketAddr) -> Self {
        Self(format!("http://{address}"))
    }
}

impl std::str::FromStr for BaseUrl {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let with_scheme = if text.contains("://") {
            text.to_owned()
        } else {
            format!("http://{text}")
        };
        let invalid = || format!("{text} is not an address such as http://127.0.0.1:7000");
        let uri: http::Uri = with_scheme.parse().map_err(|_| invalid())?;
        let is_base = uri.scheme_str() == Some("http")
            && uri.authority().is_some()
            && matches!(uri.path(), "" | "/")
            && uri.query().is_none();
        if !is_base {
            return Err(invalid());
        }
        Ok(Self(with_scheme.trim_end_matches('/').to_owned()))
    }
}

/// A client of one service.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    base: BaseUrl,
    token: Option<String>,
    timeout: Duration,
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Returns a client that sends the token, if any, and cancels each call after `timeout`.
    pub(crate) fn new(base: BaseUrl, token: Option<String>, timeout: Duration) -> Self {
        let inner = HyperClient::builder(TokioExecutor::new()).build_http();
        Self {
            base,
            token,
            timeout,
            inner,
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Fails unless the response has a success status and a body of the expected form.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new(), self.timeout)
            .await
    }

    /// Gets a JSON value from a service that may wait for up to `wait` before it answers. The wait is
    /// added to the timeout of the call.
    ///
    /// # Errors
    ///
    /// Fails unless the response has a success status and a body of the expected form.
    pub(crate) async fn get_waiting<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new(), self.timeout + wait)
            .await
    }

    /// Posts a JSON value and returns the response.
    ///
    /// # Errors
    ///
    /// Fails unless the response has a success status and a body of the expected form.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).expect("bodies have string keys only");
        self.call(Method::POST, path, body.into(), self.timeout)
            .await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, Error> {
        let url = format!("{}{path}", self.base.0);
        let fail = |kind| Error {
            url: url.clone(),
            kind,
        };
        let mut req = Request::builder()
            .method(method)
            .uri(&url)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req
            .body(Full::new(body))
            .map_err(|_| fail(ErrorKind::Connect))?;
        let answer = tokio::time::timeout(timeout, self.answer(req)).await;
        let (status, bytes) = answer
            .map_err(|_| fail(ErrorKind::Timeout(timeout)))?
            .map_err(fail)?;
        if !status.is_success() {
            return Err(fail(ErrorKind::Status(status)));
        }
        serde_json::from_slice(&bytes).map_err(|err| fail(ErrorKind::Decode(err)))
    }

    async fn answer(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), ErrorKind> {
        let res = self.inner.request(req).await.map_err(|err| {
            if err.is_connect() {
                ErrorKind::Connect
            } else {
                ErrorKind::Broken
            }
        })?;
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let bytes = body.map_err(|_| ErrorKind::Broken)?.to_bytes();
        Ok((parts.status, bytes))
    }
}
