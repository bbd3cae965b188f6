//! Tests of when a listener accepts and closes connections.

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

/// The timeout for conditions that are met soon, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a request over a connection that stays open, and returns whether the answer has status
/// 200.
async fn is_served(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    let mut answer = [0; 1024];
    let read = timeout(TIMEOUT, stream.read(&mut answer)).await;
    sent.is_ok() && matches!(read, Ok(Ok(count)) if answer[..count].starts_with(b"HTTP/1.1 200"))
}

/// Waits until connecting succeeds or fails, as expected.
async fn wait_until_connectable(address: SocketAddr, expected: bool) {
    let reached = async {
        while TcpStream::connect(address).await.is_ok() != expected {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = timeout(TIMEOUT, reached).await;
    assert!(reached.is_ok(), "connections accepted: {expected}");
}

/// Guards against an overloaded router that spends its processor time on refusing connections.
#[tokio::test]
async fn a_closed_listener_refuses_connections_and_serves_those_that_are_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (close, closed) = watch::channel(false);
    let (drain, draining) = watch::channel(false);
    let limits = Limits {
        connections_max: 8,
        per_address_max: 8,
        header_bytes_max: 8_192,
        header_timeout: TIMEOUT,
        over_limit_response: Bytes::new(),
        protocols: Protocols::Both,
    };
    let router = Router::new().route("/", get(|| async { "here" }));
    let gate = Gate { closed, draining };
    let busy = Metrics::new().busy.clone();
    let served = tokio::spawn(serve(listener, router, limits, |_| {}, gate, busy));
    let mut open = TcpStream::connect(address)
        .await
        .expect("the listener is open");
    assert!(is_served(&mut open).await, "before the listener is closed");
    for _ in 0..3 {
        close.send_replace(true);
        wait_until_connectable(address, false).await;
        assert!(
            is_served(&mut open).await,
            "an open connection while closed"
        );
        close.send_replace(false);
        wait_until_connectable(address, true).await;
    }
    let mut again = TcpStream::connect(address)
        .await
        .expect("the listener is open");
    assert!(is_served(&mut again).await, "after the listener was closed");
    // A process that stops while the listener is closed does not reopen it.
    close.send_replace(true);
    wait_until_connectable(address, false).await;
    drain.send_replace(true);
    let ended = timeout(TIMEOUT, served).await;
    assert!(ended.is_ok(), "the listener ends");
}

/// Guards against connections that stay open forever without a request, at an HTTP/1 listener that
/// does not examine their first bytes.
#[tokio::test]
async fn a_listener_for_http_1_lets_go_of_callers_that_send_no_head_or_speak_http_2() {
    for (name, sent) in [
        ("nothing", &b""[..]),
        ("part of a head", b"GET / HTTP/1.1\r\nhost:"),
        ("http/2", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
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
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the listener is open");
        assert!(is_served(&mut stream).await, "{name}: a request");
        stream
            .write_all(sent)
            .await
            .expect("the connection is open");
        let mut rest = Vec::new();
        let ended = timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "{name}: the connection ends");
        assert!(!rest.starts_with(b"HTTP/1.1 200"), "{name}: {rest:?}");
    }
}
