//! A caller of a stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use axum::body::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, Client as Inner};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// The time after which something that should happen counts as not happening.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// The time for which something that must not happen is watched.
pub(crate) const WATCH: Duration = Duration::from_millis(300);

/// A caller with connections of its own.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    address: SocketAddr,
    inner: Inner<HttpConnector, Full<Bytes>>,
}

/// An answer as far as it came.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether it ended in order.
    pub(crate) whole: bool,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            inner: Inner::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns the head of the answer.
    pub(crate) async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl ToString,
    ) -> Result<http::Response<Incoming>, legacy::Error> {
        let url = format!("http://{}{path}", self.address);
        let mut req = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let req = req.header("content-type", "application/json").body(body);
        self.inner
            .request(req.expect("the request is well formed"))
            .await
    }

    /// Sends a request and reads the answer; `None` if there is none in time.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl ToString,
    ) -> Option<Answer> {
        let exchange = async {
            let res = self.open(method, path, headers, body).await.ok()?;
            Some(read(res).await)
        };
        tokio::time::timeout(PATIENCE, exchange).await.ok()?
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        let answer = self.send(Method::GET, path, &[], "").await;
        answer.expect("the stand-in answers")
    }

    pub(crate) async fn post(&self, path: &str, body: impl ToString) -> Answer {
        let answer = self.send(Method::POST, path, &[], body).await;
        answer.expect("the stand-in answers")
    }

    /// Reads a path again and again until its JSON answer is as wanted.
    pub(crate) async fn until(&self, path: &str, wanted: impl Fn(&Value) -> bool) {
        let start = Instant::now();
        loop {
            let answer = self.send(Method::GET, path, &[], "").await;
            if answer.as_ref().is_some_and(|answer| wanted(&answer.json())) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "{path}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Reads an answer as far as it comes.
async fn read(res: http::Response<Incoming>) -> Answer {
    let (parts, mut body) = res.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => whole = false,
        }
    }
    Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(bytes).expect("answers are text"),
        whole,
    }
}
