//! Answers of targets that are incomplete or invalid, on a hosting platform. The targets are scripted byte by byte.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use self::hosted::{Arrived, Daemon, HOST, receive, wait_until};
use self::hosting::Store;

/// The size of an upload that does not fit into the buffers of a loopback connection.
const UPLOAD_BYTES: usize = 12 * 1024 * 1024;
/// A pause after which the peer has received what was sent before.
const RECEIVED_AFTER: Duration = Duration::from_millis(100);
/// The body of an answer, of which a part may arrive.
const BODY: &str = "id: 1\ndata: one\n\n";

fn configuration() -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 5_000, "target_latency_ms": 1_000, "service": "s1",
            "max_attempts": attempts, "anonymous": true
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("once", "non_idempotent", 1), route("again", "idempotent", 2), route("stream", "streaming", 1)
        ],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 2 * UPLOAD_BYTES},
        "tenants": []
    })
}

fn server(address: SocketAddr) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "sequence": 1
    })
}

/// What a target does with each connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Script {
    /// Answers without a length as soon as the head has arrived, and resets the connection.
    EarlyReset,
    /// The same, but ends its side of the connection properly before the reset.
    EarlyEndThenReset,
    /// Answers with a length as soon as the head has arrived, and reads the upload afterwards.
    EarlyWithLength,
    /// Reads the upload, answers without a length and closes the connection.
    AfterUpload,
    /// Reads the request and answers with this text as the status.
    Status(&'static str),
}

async fn serve(mut stream: TcpStream, script: Script) {
    let mut received = Vec::new();
    let mut bytes = vec![0; 64 * 1_024];
    let head_end = loop {
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(read) => received.extend_from_slice(&bytes[..read]),
        }
        let end = received.windows(4).position(|it| it == b"\r\n\r\n");
        if let Some(end) = end {
            break end;
        }
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let value = |name: &str| {
        let line = head.split("\r\n").find_map(|line| line.strip_prefix(name));
        line.unwrap_or_default().to_owned()
    };
    let length: usize = value("content-length: ").parse().unwrap_or(0);
    let status = match script {
        Script::Status(status) => status,
        _ => "200",
    };
    let framing = match script {
        Script::EarlyWithLength | Script::Status(_) => {
            format!("content-length: {}\r\n", BODY.len())
        }
        _ => String::new(),
    };
    let id = value("attempt-id: ");
    let answer = format!(
        "HTTP/1.1 {status} X\r\nattempt-id: {id}\r\nserver-stamp: proof\r\nconnection: close\r\n{framing}\r\n{BODY}"
    );
    let mut unread = length.saturating_sub(received.len() - head_end - 4);
    if matches!(script, Script::AfterUpload | Script::Status(_)) {
        unread = read_on(&mut stream, unread).await;
    }
    // The router may close the connection first.
    drop(stream.write_all(answer.as_bytes()).await);
    match script {
        // Closing a connection with unread data resets it.
        Script::EarlyReset => sleep(RECEIVED_AFTER).await,
        Script::EarlyEndThenReset => {
            drop(stream.shutdown().await);
            sleep(RECEIVED_AFTER).await;
        }
        Script::EarlyWithLength | Script::Status(_) => {
            read_on(&mut stream, unread).await;
            sleep(RECEIVED_AFTER).await;
        }
        Script::AfterUpload => drop(stream.shutdown().await),
    }
}

/// Reads so many bytes, or fewer if the connection ends. Returns how many are missing.
async fn read_on(stream: &mut TcpStream, count: usize) -> usize {
    let mut bytes = vec![0; 64 * 1_024];
    let mut left = count;
    while left > 0 {
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return left,
            Ok(read) => left = left.saturating_sub(read),
        }
    }
    0
}

/// Starts a daemon with a target that follows a script, and waits until requests reach the target.
async fn start(script: Script) -> Daemon {
    let (store, store_address) = Store::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, script));
        }
    });
    store.configure(configuration());
    store.add_target("i-1", server(address));
    let daemon = Daemon::start_with(store_address, |settings| {
        settings["callers"]["body_bytes_max"] = json!(2 * UPLOAD_BYTES);
        settings["callers"]["body_memory_bytes_max"] = json!(8 * UPLOAD_BYTES);
    });
    wait_until("ready", async || daemon.is_ready().await).await;
    wait_until("the target is known", async || {
        let arrived = request(&daemon, "/again/x", "body").await;
        arrived.is_none_or(|arrived| arrived.answer.status() != 503)
    })
    .await;
    daemon
}

async fn request(daemon: &Daemon, path: &str, body: &'static str) -> Option<Arrived> {
    let headers = [("attempt-id", "a1"), ("deadline-ms", "5000")];
    receive(
        daemon.callers,
        Method::POST,
        path,
        &headers,
        body,
        Duration::ZERO,
    )
    .await
}

/// Returns the answer to a request that reached the target. A busy router refuses a request before it has
/// read it, of which the caller may see no more than a reset.
async fn answered(daemon: &Daemon, path: &str, body: &'static str) -> Arrived {
    let mut reached = None;
    wait_until("the request reaches the target", async || {
        let arrived = request(daemon, path, body).await;
        reached =
            arrived.filter(|it| !matches!(it.answer.status().as_u16(), 408 | 413 | 429 | 503));
        reached.is_some()
    })
    .await;
    reached.expect("it was awaited")
}

/// Guards against an answer that was cut off by a reset while the request was still being sent, and that
/// reaches the caller as complete because neither a length nor chunks show where it ends.
#[tokio::test]
async fn an_early_answer_of_a_reset_connection_is_not_complete() {
    struct Case {
        script: Script,
        is_complete: bool,
    }
    let cases = [
        Case {
            script: Script::EarlyReset,
            is_complete: false,
        },
        Case {
            script: Script::EarlyEndThenReset,
            is_complete: false,
        },
        Case {
            script: Script::EarlyWithLength,
            is_complete: true,
        },
        Case {
            script: Script::AfterUpload,
            is_complete: true,
        },
    ];
    let upload: &'static str = Box::leak("x".repeat(UPLOAD_BYTES).into_boxed_str());
    for Case {
        script,
        is_complete,
    } in cases
    {
        let daemon = start(script).await;
        for path in ["/once/x", "/again/x", "/stream/x"] {
            let arrived = answered(&daemon, path, upload).await;
            let got = (arrived.is_complete, arrived.answer.status());
            let answered = Some(arrived).filter(|it| it.is_complete && it.answer.status() == 200);
            let body = answered.map(|it| String::from_utf8_lossy(it.answer.body()).into_owned());
            let expected = is_complete.then(|| BODY.to_owned());
            assert_eq!(body, expected, "{script:?} {path}: {got:?}");
        }
    }
}

/// Guards against passing on an answer whose status is none, which callers cannot interpret.
#[tokio::test]
async fn an_answer_with_an_invalid_status_is_broken() {
    struct Case {
        status: &'static str,
        /// The status that the caller gets.
        answered: u16,
    }
    let case = |status, answered| Case { status, answered };
    let cases = [
        case("000", 502),
        case("099", 502),
        case("600", 502),
        case("999", 502),
        case("20", 502),
        case("2000", 502),
        case("2x0", 502),
        case("404", 404),
        case("599", 599),
    ];
    for Case {
        status,
        answered: expected,
    } in cases
    {
        let daemon = start(Script::Status(status)).await;
        for path in ["/once/x", "/again/x", "/stream/x"] {
            let arrived = answered(&daemon, path, "body").await;
            let got = arrived.answer.status().as_u16();
            assert_eq!(got, expected, "{status} {path}");
            let body = arrived.answer.body();
            let is_passed_on = &body[..] == BODY.as_bytes();
            assert_eq!(is_passed_on, expected != 502, "{status} {path}");
        }
    }
}
