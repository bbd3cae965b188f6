//! What all stand-ins share: silence, crashes, faults over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_standin::vms::{self, Config, Faults};
use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client::{Client, PATIENCE, WATCH};

/// A connection that is used again and again.
struct Raw(TcpStream);

impl Raw {
    async fn open(address: SocketAddr) -> Self {
        Self(
            TcpStream::connect(address)
                .await
                .expect("the stand-in listens"),
        )
    }

    /// Sends a request and waits for any byte of the answer; `None` if nothing came in time.
    async fn ask(&mut self, wait: Duration) -> Option<usize> {
        let req = b"GET /v1/vms HTTP/1.1\r\nhost: x\r\n\r\n";
        self.0.write_all(req).await.expect("the connection is open");
        let mut buf = [0; 4096];
        match timeout(wait, self.0.read(&mut buf)).await {
            Ok(read) => Some(read.expect("the connection is open")),
            Err(_) => None,
        }
    }
}

#[tokio::test]
async fn open_connections_fall_silent_and_new_ones_work() {
    let vms = vms::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    let mut before = Raw::open(vms.address()).await;
    assert!(before.ask(PATIENCE).await.is_some_and(|n| n > 0));
    let asked = Client::new(vms.address());
    let answer = asked.send(Method::POST, "/v1/silence", &[], "").await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(204),
        "the one who asks hears the answer"
    );
    assert_eq!(before.ask(WATCH).await, None);
    let mut after = Raw::open(vms.address()).await;
    assert!(after.ask(PATIENCE).await.is_some_and(|n| n > 0));
    assert_eq!(
        before.ask(WATCH).await,
        None,
        "a silent connection stays silent"
    );
}

#[tokio::test]
async fn a_crash_closes_everything_and_the_address_comes_back() {
    let vms = vms::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    let mut before = Raw::open(vms.address()).await;
    assert!(before.ask(PATIENCE).await.is_some());
    vms.crash(Duration::from_secs(1));
    let mut buf = [0; 16];
    let closed = timeout(PATIENCE, before.0.read(&mut buf)).await;
    let closed = closed.expect("the connection is closed in time");
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    let refused = TcpStream::connect(vms.address()).await;
    assert!(refused.is_err(), "it listens while it is down");
    Client::new(vms.address())
        .until("/v1/vms", |list| list["vms"].is_array())
        .await;
}

#[tokio::test]
async fn faults_are_read_and_replaced_over_http() {
    struct Case {
        name: &'static str,
        body: serde_json::Value,
        status: u16,
        lag_ms: u64,
    }
    let cases = [
        Case {
            name: "one fault",
            body: json!({ "lag_ms": 70 }),
            status: 200,
            lag_ms: 70,
        },
        Case {
            name: "a typing error",
            body: json!({ "lag": 5 }),
            status: 422,
            lag_ms: 70,
        },
        Case {
            name: "none",
            body: json!({}),
            status: 200,
            lag_ms: 0,
        },
    ];
    let vms = vms::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    let client = Client::new(vms.address());
    for Case {
        name,
        body,
        status,
        lag_ms,
    } in cases
    {
        let answer = client.send(Method::PUT, "/v1/faults", &[], body).await;
        assert_eq!(answer.map(|answer| answer.status), Some(status), "{name}");
        assert_eq!(
            client.get("/v1/faults").await.json()["lag_ms"],
            lag_ms,
            "{name}"
        );
        assert_eq!(
            vms.faults(),
            Faults {
                lag_ms,
                ..Faults::default()
            },
            "{name}"
        );
    }
}
