//! An HTTP client that acts as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use super::WAIT_TIMEOUT;

/// An HTTP client. `new` opens a connection for each request; `http_2` uses one connection for all.
#[derive(Debug, Clone)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

/// An answer, with the part of its body that arrived.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its regular end.
    pub is_complete: bool,
}

impl Client {
    pub fn new() -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self(client)
    }

    /// Returns a client that sends all requests over one HTTP/2 connection.
    pub fn http_2() -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        Self(client)
    }

    /// Sends a request and reads its answer to the end.
    ///
    /// Without an answer, returns one with status 418 and `is_complete` false. Panics after
    /// `WAIT_TIMEOUT`.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Answer {
        timeout(WAIT_TIMEOUT, self.try_send(req))
            .await
            .expect("the answer arrives within the timeout")
            .unwrap_or(Answer {
                status: StatusCode::IM_A_TEAPOT,
                headers: HeaderMap::new(),
                body: Vec::new(),
                is_complete: false,
            })
    }

    /// Sends a request and returns its answer while the body is still arriving.
    pub async fn open(&self, req: Request<Full<Bytes>>) -> http::Response<Incoming> {
        timeout(WAIT_TIMEOUT, self.0.request(req))
            .await
            .expect("the head arrives within the timeout")
            .expect("the connection works")
    }

    /// Sends a request and reads its answer to the end. Returns `None` if no head arrives.
    pub async fn try_send(&self, req: Request<Full<Bytes>>) -> Option<Answer> {
        let (head, mut incoming) = self.0.request(req).await.ok()?.into_parts();
        let mut body = Vec::new();
        let is_complete = loop {
            match incoming.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    body.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                }
            }
        };
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
            is_complete,
        })
    }
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the numbers of the tokens in the order in which they arrived.
    pub fn token_numbers(&self) -> Vec<u64> {
        self.text()
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }

    /// Returns whether the stream ends with its end marker, `data: [DONE]`.
    pub fn has_end_mark(&self) -> bool {
        self.text().ends_with("data: [DONE]\n\n")
    }
}

/// Builds a request to `to`, with the content type JSON unless `headers` has another.
pub fn request(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    if !headers.iter().any(|(name, _)| *name == "content-type") {
        req = req.header("content-type", "application/json");
    }
    req.body(Full::new(Bytes::from(body)))
        .expect("the request is well-formed")
}
