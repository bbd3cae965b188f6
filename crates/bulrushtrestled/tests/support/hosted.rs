//! A daemon on a hosting platform, as a child process, and a plain HTTP client for its listeners.

#![allow(dead_code, reason = "each program uses a part of this module")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::address::free_address;

/// How long a test waits for a condition or an answer before it fails; long enough for a busy
/// machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The host name of all routes.
pub(crate) const HOST: &str = "h.example";

/// A running daemon. Dropping it kills it.
pub(crate) struct Daemon {
    pub(crate) child: Child,
    pub(crate) settings: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The daemon may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings));
    }
}

impl Daemon {
    /// Starts a daemon that uses the store at this address.
    pub(crate) fn start(store: SocketAddr) -> Self {
        Self::start_with(store, |_| {})
    }

    /// Starts a daemon whose settings are first changed by `tune`.
    pub(crate) fn start_with(store: SocketAddr, tune: impl FnOnce(&mut Value)) -> Self {
        let own = free_address();
        let at = |index| SocketAddr::new(own.ip(), own.port() + index);
        let [callers, peers, operators, ready, directory] = [0, 1, 2, 3, 4].map(at);
        let mut settings = json!({
            "router_ip": callers.ip().to_string(),
            "data_centre": "dc-a",
            "traffic_threads": 1,
            "stop_timeout_ms": 4000,
            "callers": {"listen": callers, "addresses_valid_ms": 500},
            "peers": {"listen": peers},
            "operators": {"listen": operators, "metrics_open": true, "tokens_sha256": []},
            "hosting": {
                "store": store, "ready": ready, "directory": directory,
                "regions": {"dc-a": "north"}, "retry_ratio": 0.2, "retry_burst": 50
            }
        });
        tune(&mut settings);
        let path = std::env::temp_dir().join(format!("hosted-{}.json", uuid::Uuid::now_v7()));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_bulrushtrestled"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self {
            child,
            settings: path,
            callers,
            ready,
            directory,
            operators,
        }
    }

    /// Sends the signal with this name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Returns whether the readiness endpoint answers with status 200.
    pub(crate) async fn is_ready(&self) -> bool {
        let path = "/bulrushtrestle/readyz";
        let answer = send(self.ready, Method::GET, path, &[], "").await;
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a request to `path` with the API key `k1` of the organisation `t1`.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Response<Bytes> {
        let headers = [
            ("attempt-id", "a1"),
            ("deadline-ms", "3000"),
            ("authorization", "Bearer k1"),
            ("tenant", "somebody"),
        ];
        send(self.callers, method, path, &headers, "body")
            .await
            .expect("an answer")
    }
}

/// An answer as far as it arrived.
#[derive(Debug)]
pub(crate) struct Arrived {
    pub(crate) answer: Response<Bytes>,
    /// Whether the answer ended as complete.
    pub(crate) is_complete: bool,
}

/// Sends a request on a new connection. Returns `None` on an error or after `WAIT_TIMEOUT`.
pub(crate) async fn send(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Option<Response<Bytes>> {
    let arrived = receive(at, method, path, headers, body, Duration::ZERO).await?;
    arrived.is_complete.then_some(arrived.answer)
}

/// Sends a request on a new connection, and reads the body of the answer after a pause. Returns
/// `None` if no head arrives or after `WAIT_TIMEOUT`.
pub(crate) async fn receive(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
    pause: Duration,
) -> Option<Arrived> {
    let exchange = async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .ok()?;
        let (head, mut body) = sender.send_request(req).await.ok()?.into_parts();
        sleep(pause).await;
        let mut bytes = BytesMut::new();
        let is_complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend(frame.into_data()),
            }
        };
        Some(Arrived {
            answer: Response::from_parts(head, bytes.freeze()),
            is_complete,
        })
    };
    timeout(WAIT_TIMEOUT, exchange).await.ok()?
}

/// Waits until `condition` returns true; panics with `what` after `WAIT_TIMEOUT`.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !condition().await {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "condition not met in time: {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}
