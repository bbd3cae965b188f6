//! When a listener takes connections.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::listener::{Gate, Limits, Protocols, serve};
use crate::metrics::Metrics;

/// The time for what should happen soon, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(20);

/// Sends a request over a connection that stays open, and says whether it is answered.
async fn asks(stream: &mut TcpStream) -> bool {
    let asked = stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    let mut answer = [0; 1024];
    let read = timeout(PATIENCE, stream.read(&mut answer)).await;
    asked.is_ok() && matches!(read, Ok(Ok(count)) if answer[..count].starts_with(b"HTTP/1.1 200"))
}

async fn until_connected(address: SocketAddr, expected: bool) {
    let reached = async {
        while TcpStream::connect(address).await.is_ok() != expected {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = timeout(PATIENCE, reached).await;
    assert!(reached.is_ok(), "connections taken: {expected}");
}

/// Guards against a router whose processor goes into refusing connections that it cannot serve.
#[tokio::test]
async fn a_closed_listener_refuses_connections_and_serves_those_that_are_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let (close, closed) = watch::channel(false);
    let (drain, draining) = watch::channel(false);
    let limits = Limits {
        connections_max: 8,
        per_address_max: 8,
        header_bytes_max: 8_192,
        header_timeout: PATIENCE,
        over_limit_response: Bytes::new(),
        protocols: Protocols::Both,
    };
    let router = Router::new().route("/", get(|| async { "here" }));
    let gate = Gate { closed, draining };
    let busy = Metrics::new().busy.clone();
    let served = tokio::spawn(serve(listener, router, limits, |_| {}, gate, busy));
    let mut open = TcpStream::connect(address).await.expect("it listens");
    assert!(asks(&mut open).await, "before it is closed");
    for _ in 0..3 {
        close.send_replace(true);
        until_connected(address, false).await;
        assert!(asks(&mut open).await, "an open connection while closed");
        close.send_replace(false);
        until_connected(address, true).await;
    }
    let mut again = TcpStream::connect(address).await.expect("it listens");
    assert!(asks(&mut again).await, "after it was closed");
    // A process that stops while it is closed does not open it again.
    close.send_replace(true);
    until_connected(address, false).await;
    drain.send_replace(true);
    let ended = timeout(PATIENCE, served).await;
    assert!(ended.is_ok(), "it ends");
}

/// Guards against connections that stay open for ever, and for nothing, at a listener that does not look at their first bytes.
#[tokio::test]
async fn a_listener_for_http_1_lets_go_of_callers_that_send_no_head_or_speak_http_2() {
    for (name, sent) in [
        ("nothing", &b""[..]),
        ("part of a head", b"GET / HTTP/1.1\r\nhost:"),
        ("http/2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (_drain, draining) = watch::channel(false);
        let limits = Limits {
            connections_max: 8,
            per_address_max: 8,
            header_bytes_max: 8_192,
            header_timeout: Duration::from_millis(50),
            over_limit_response: Bytes::new(),
            protocols: Protocols::Http1,
        };
        let router = Router::new().route("/", get(|| async { "here" }));
        tokio::spawn(serve(
            listener,
            router,
            limits,
            |_| {},
            Gate::open(draining),
            Metrics::new().busy.clone(),
        ));
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        assert!(asks(&mut stream).await, "{name}: a request");
        stream.write_all(sent).await.expect("it is open");
        let mut rest = Vec::new();
        let ended = timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "{name}: it ends");
        assert!(!rest.starts_with(b"HTTP/1.1 200"), "{name}: {rest:?}");
    }
}
