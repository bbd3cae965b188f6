//! A daemon on a hosting platform, as a process, and plain HTTP to talk to it.

#![allow(dead_code, reason = "each program uses another part of the support")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::address::free_address;

/// The time for what should happen soon, on a busy machine too.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
pub(crate) const HOST: &str = "h.example";

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
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings));
    }
}

impl Daemon {
    pub(crate) fn start(store: SocketAddr) -> Self {
        Self::start_with(store, |_| {})
    }

    /// Starts a daemon whose settings are changed by `tune` before.
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

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let path = "/bulrushtrestle/readyz";
        let answer = send(self.ready, Method::GET, path, &[], "").await;
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a request to the route that is given, with the token of the organisation `t1`.
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

pub(crate) async fn send(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Option<Response<Bytes>> {
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
        let (head, body) = sender.send_request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(head, body))
    };
    timeout(PATIENCE, exchange).await.ok()?
}

pub(crate) async fn until(what: &str, mut is_so: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !is_so().await {
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
