//! Refusals of requests: each has a reason and a verdict, is counted, and does not affect other
//! callers.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::{log, plain};
use http::StatusCode;
use serde_json::{Value, json};
use support::client::request;
use support::{Fleet, Plan, TOKEN, WAIT_TIMEOUT, assert_refused, chat_body, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request that is refused before it is queued.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    token: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    reason: &'static str,
    status: u16,
}

fn good() -> Case {
    Case {
        name: "",
        method: "POST",
        path: "/v1/chat/completions",
        token: TOKEN,
        headers: &[],
        body: chat_body(1, true).to_string(),
        reason: "malformed",
        status: 400,
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "invalid JSON",
            body: "{".to_owned(),
            ..good()
        },
        Case {
            name: "no model",
            body: json!({ "messages": [] }).to_string(),
            ..good()
        },
        Case {
            name: "unknown path",
            path: "/v2/chat",
            ..good()
        },
        Case {
            name: "wrong method",
            method: "GET",
            ..good()
        },
        Case {
            name: "wrong class",
            headers: &[("x-class", "urgent")],
            ..good()
        },
        Case {
            name: "wrong hint",
            headers: &[("x-cost-hint", "many")],
            ..good()
        },
        Case {
            name: "wrong deadline",
            headers: &[("x-deadline-ms", "0")],
            ..good()
        },
        Case {
            name: "wrong token",
            token: "nobody",
            reason: "unauthorised",
            status: 401,
            ..good()
        },
        Case {
            name: "no token",
            token: "",
            reason: "unauthorised",
            status: 401,
            ..good()
        },
        Case {
            name: "unknown model",
            body: chat_body(1, true).to_string().replace("\"m\"", "\"n\""),
            reason: "unknown_pool",
            status: 404,
            ..good()
        },
        Case {
            name: "a chat request to a plain service",
            body: chat_body(1, true)
                .to_string()
                .replace("\"m\"", "\"booking\""),
            reason: "unknown_pool",
            status: 404,
            ..good()
        },
        Case {
            name: "a model called as a service",
            path: "/v1/services/m/x",
            reason: "unknown_pool",
            status: 404,
            ..good()
        },
        Case {
            name: "body too large",
            body: " ".repeat(65_537),
            reason: "too_large",
            status: 413,
            ..good()
        },
        Case {
            name: "key of another version",
            headers: &[("idempotency-key", "01934f3c-5b1a-4c3e-8a4d-2f6b9e0c1d2e")],
            reason: "key_invalid",
            status: 400,
            ..good()
        },
        Case {
            name: "key that is not a UUID",
            headers: &[("idempotency-key", "order-7")],
            reason: "key_invalid",
            status: 400,
            ..good()
        },
    ]
}

/// Sets a small body limit and short timeouts for callers.
fn strict_caller_limits(_: u32, settings: &mut Value) {
    settings["callers"]["body_bytes_max"] = json!(65_536);
    settings["callers"]["body_timeout_ms"] = json!(300);
    settings["callers"]["header_timeout_ms"] = json!(300);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_are_refused_with_reason_and_verdict() {
    let fleet = Fleet::start(Plan {
        tune: Box::new(strict_caller_limits),
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    for case in cases() {
        let before = fleet.refusals(router, case.reason).await;
        let token = format!("Bearer {}", case.token);
        let mut headers = case.headers.to_vec();
        if !case.token.is_empty() {
            headers.push(("authorization", &token));
        }
        let req = request(case.method, router.callers, case.path, &headers, case.body);
        let answer = fleet.client.send(req).await;
        assert_refused(&answer, case.status, case.reason, case.name);
        let after = fleet.refusals(router, case.reason).await;
        assert_eq!(after, before + 1.0, "{}", case.name);
    }
    let answer = fleet.chat(router, &chat_body(3, true), &[]).await;
    assert!(
        answer.has_end_mark(),
        "other callers are served: {}",
        answer.text()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_malformed_callers_are_disconnected() {
    let fleet = Fleet::start(Plan {
        tune: Box::new(strict_caller_limits),
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {TOKEN}\r\n"
    );
    let cases = [
        (
            "a body that does not arrive",
            format!("{head}content-length: 10\r\n\r\n{{"),
            "408",
            "caller_too_slow",
        ),
        (
            "a chunk that does not arrive",
            format!("{head}transfer-encoding: chunked\r\n\r\n5\r\n{{"),
            "408",
            "caller_too_slow",
        ),
        (
            "a chunked body too large",
            format!(
                "{head}transfer-encoding: chunked\r\n\r\n20000\r\n{}",
                " ".repeat(0x2_0000)
            ),
            "413",
            "too_large",
        ),
    ];
    for (name, sent, status, reason) in cases {
        let before = fleet.refusals(router, reason).await;
        let answer = send_raw(router.callers, sent.as_bytes()).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{name}: {answer}"
        );
        assert!(
            answer.contains(&format!("\"reason\":\"{reason}\"")),
            "{name}: {answer}"
        );
        assert_eq!(fleet.refusals(router, reason).await, before + 1.0, "{name}");
    }
    let large = format!("{head}x-large: {}\r\n\r\n", "x".repeat(100_000));
    let cases = [
        (
            "a head that does not end",
            head.clone(),
            "caller_head_timeout",
        ),
        (
            "a connection that sends one byte",
            "P".to_owned(),
            "caller_head_timeout",
        ),
        ("a head too large", large, "caller_head_too_large"),
        (
            "not HTTP",
            "hello\r\n\r\n".to_owned(),
            "caller_head_malformed",
        ),
    ];
    for (name, sent, event) in cases {
        let before = fleet.edge_events(router, event).await;
        let answer = send_raw(router.callers, sent.as_bytes()).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{name}: {answer}");
        eventually(name, async || {
            fleet.edge_events(router, event).await == before + 1.0
        })
        .await;
    }
    let answer = fleet.chat(router, &chat_body(3, true), &[]).await;
    assert!(
        answer.has_end_mark(),
        "other callers are served: {}",
        answer.text()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_has_not_caught_up_refuses_as_not_current() {
    let mut fleet = Fleet::start(Plan::default()).await;
    fleet.log.set_faults(log::Faults {
        outage: Outage::Unavailable,
        ..log::Faults::default()
    });
    fleet.routers[0].kill();
    fleet.routers[0].restart();
    let router = &fleet.routers[0];
    eventually("the router answers operators", async || {
        !fleet.status(router).await.is_null()
    })
    .await;
    assert_eq!(
        fleet.operator_get(router, "/readyz").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(
        fleet.operator_get(router, "/healthz").await.status,
        StatusCode::OK
    );
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert_refused(&answer, 503, "not_current", "before the catalogue is read");
    fleet.log.set_faults(log::Faults::default());
    fleet.wait_ready().await;
    assert_eq!(
        fleet.operator_get(router, "/readyz").await.status,
        StatusCode::OK
    );
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert!(answer.has_end_mark(), "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_have_run_is_never_reported_as_not_run() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    let good = plain::Faults::default;
    let cases = [
        (
            "the answer is lost",
            "target_failed",
            plain::Faults {
                lost_answers: 1,
                ..good()
            },
        ),
        (
            "the answer does not arrive",
            "target_silent",
            plain::Faults {
                silent_answers: 1,
                ..good()
            },
        ),
        (
            "the answer belongs to another request",
            "target_failed",
            plain::Faults {
                crossed_answers: 1,
                ..good()
            },
        ),
    ];
    for (name, reason, faults) in cases {
        let before = fleet.runs().await.unkeyed;
        let refused = fleet.refusals(router, reason).await;
        fleet.plain.set_faults(faults);
        let answer = fleet.call("POST", router, "/deposits", &[], "{}").await;
        assert!(answer.status.is_server_error(), "{name}: {}", answer.text());
        assert_eq!(answer.json()["verdict"], "may_have_run", "{name}");
        assert_eq!(answer.json()["reason"], reason, "{name}");
        assert_eq!(
            fleet.refusals(router, reason).await,
            refused + 1.0,
            "{name}"
        );
        assert_eq!(
            fleet.runs().await.unkeyed,
            before + 1,
            "{name}: it ran once"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_declined_by_its_only_target_is_refused_as_not_run() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    fleet.plain.set_faults(plain::Faults {
        declines: true,
        ..plain::Faults::default()
    });
    let answer = fleet.call("POST", router, "/deposits", &[], "{}").await;
    assert_refused(&answer, 503, "no_target", "the target declines");
    assert_eq!(fleet.refusals(router, "no_target").await, 1.0);
    let name = "bulrushtrestle_events_total{event=\"retry_refused_by_target\"}";
    assert!(fleet.metric(router, name).await >= 1.0);
    assert_eq!(fleet.runs().await.total, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_need_their_token() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    for path in ["/metrics", "/healthz", "/readyz", "/status", "/other"] {
        for headers in [
            &[][..],
            &[("authorization", "Bearer nobody")],
            &[("authorization", "x")],
        ] {
            let get = request("GET", router.operators, path, headers, String::new());
            let answer = fleet.client.send(get).await;
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{path}");
            assert!(answer.body.is_empty(), "{path}");
        }
    }
    assert_eq!(fleet.edge_events(router, "operator_refused").await, 15.0);
}

/// Sends bytes and returns all bytes received until the connection is closed.
async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("the listener is open");
    // The router may close the connection during the write.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    let reading = async {
        while let Ok(n @ 1..) = stream.read(&mut buf).await {
            answer.extend_from_slice(&buf[..n]);
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT.max(Duration::from_secs(1)), reading)
        .await
        .expect("the connection is closed in time");
    String::from_utf8_lossy(&answer).into_owned()
}
