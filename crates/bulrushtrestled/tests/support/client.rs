//! A caller.

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

use super::PATIENCE;

/// A caller that opens a connection for each request.
#[derive(Debug, Clone)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

/// An answer that arrived whole, or as far as it came.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
}

impl Client {
    pub fn new() -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self(client)
    }

    /// Returns a caller that sends all requests over one connection of HTTP/2.
    pub fn http_2() -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        Self(client)
    }

    /// Sends a request and reads its answer to the end.
    pub async fn whole(&self, req: Request<Full<Bytes>>) -> Answer {
        timeout(PATIENCE, self.try_whole(req))
            .await
            .expect("the answer comes in time")
            .unwrap_or(Answer {
                status: StatusCode::IM_A_TEAPOT,
                headers: HeaderMap::new(),
                body: Vec::new(),
                is_whole: false,
            })
    }

    /// Sends a request and returns its answer while the body is still arriving.
    pub async fn open(&self, req: Request<Full<Bytes>>) -> http::Response<Incoming> {
        timeout(PATIENCE, self.0.request(req))
            .await
            .expect("the head comes in time")
            .expect("the connection works")
    }

    /// Sends a request and reads its answer to the end; nothing if there is no answer at all.
    pub async fn try_whole(&self, req: Request<Full<Bytes>>) -> Option<Answer> {
        let (head, mut incoming) = self.0.request(req).await.ok()?.into_parts();
        let mut body = Vec::new();
        let is_whole = loop {
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
            is_whole,
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

    /// Says whether the stream has its end mark.
    pub fn has_end_mark(&self) -> bool {
        self.text().ends_with("data: [DONE]\n\n")
    }
}

/// Returns a request.
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
        .expect("the request is well formed")
}
