//! Answers that callers receive when targets break off, stop sending, answer the wrong request
//! or crash.

mod support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::routing::get;
use bulrushtrestle_standin::{engine, plain};
use http::StatusCode;
use serde_json::json;
use support::client::Answer;
use support::{Fleet, Plan, as_organisation, chat_body, eventually, publish};
use tokio::net::TcpListener;

const TOKENS: u32 = 30;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_ends_early_resumes_where_it_ended() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    let cases = [
        (
            "truncated at once",
            engine::StreamEnd::Truncated,
            0,
            "target_truncated",
        ),
        (
            "truncated",
            engine::StreamEnd::Truncated,
            10,
            "target_truncated",
        ),
        ("broken", engine::StreamEnd::Broken, 10, "target_broken"),
        ("silent", engine::StreamEnd::Silent, 10, "target_silent"),
    ];
    for (name, how, after_tokens, event) in cases {
        for stream in [true, false] {
            let before = fleet.edge_events(router, event).await;
            fleet.engine.set_faults(engine::Faults {
                stream: Some(engine::StreamFault {
                    how,
                    after_tokens,
                    times: 1,
                }),
                ..engine::Faults::default()
            });
            let answer = fleet.chat(router, &chat_body(TOKENS, stream), &[]).await;
            assert_complete(&answer, stream, TOKENS, name);
            assert_eq!(
                fleet.edge_events(router, event).await,
                before + 1.0,
                "{name}"
            );
        }
    }
}

/// Guards against an answer that is continued with an engine's rejection or with the tokens of another run, because the engine
/// does not resume it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_is_continued_only_by_an_engine_that_resumes_it() {
    struct Case {
        name: &'static str,
        rejected_resumes: u32,
        restarted_resumes: u32,
    }
    let cases = [
        Case {
            name: "rejected",
            rejected_resumes: 1,
            restarted_resumes: 0,
        },
        Case {
            name: "restarted",
            rejected_resumes: 0,
            restarted_resumes: 1,
        },
    ];
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    for case in cases {
        for stream in [true, false] {
            let before = fleet.edge_events(router, "target_not_resumed").await;
            fleet.engine.set_faults(engine::Faults {
                stream: Some(engine::StreamFault {
                    how: engine::StreamEnd::Truncated,
                    after_tokens: 10,
                    times: 1,
                }),
                rejected_resumes: case.rejected_resumes,
                restarted_resumes: case.restarted_resumes,
                ..engine::Faults::default()
            });
            let answer = fleet.chat(router, &chat_body(TOKENS, stream), &[]).await;
            let name = format!("{}, stream: {stream}", case.name);
            assert_complete(&answer, stream, TOKENS, &name);
            let text = answer.text();
            let is_joined = text.contains("no such answer") || text.contains("another-");
            assert!(!is_joined, "{name}: {text}");
            let not_resumed = fleet.edge_events(router, "target_not_resumed").await;
            assert_eq!(not_resumed, before + 1.0, "{name}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_must_not_be_retried_ends_with_an_incomplete_error() {
    const DELIVERED: u64 = 10;
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    fleet.engine.set_faults(engine::Faults {
        stream: Some(engine::StreamFault {
            how: engine::StreamEnd::Truncated,
            after_tokens: DELIVERED,
            times: 1,
        }),
        ..engine::Faults::default()
    });
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let answer = fleet.chat(router, &chat_body(TOKENS, true), &headers).await;
    assert!(!answer.has_end_mark());
    assert_eq!(answer.token_numbers(), (1..=DELIVERED).collect::<Vec<_>>());
    let text = answer.text();
    assert!(text.contains("event: error\ndata: "), "{text}");
    assert!(text.contains("\"reason\":\"answer_incomplete\""), "{text}");
    assert!(text.contains("\"verdict\":\"may_have_run\""), "{text}");
    assert_eq!(fleet.refusals(router, "answer_incomplete").await, 1.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_another_request_is_dropped_and_counted() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    for stream in [true, false] {
        let before = fleet.edge_events(router, "target_crossed").await;
        fleet.engine.set_faults(engine::Faults {
            crossed_answers: 1,
            ..engine::Faults::default()
        });
        let answer = fleet.chat(router, &chat_body(TOKENS, stream), &[]).await;
        assert_complete(&answer, stream, TOKENS, "crossed");
        assert_eq!(
            fleet.edge_events(router, "target_crossed").await,
            before + 1.0
        );
    }
    fleet.plain.set_faults(plain::Faults {
        crossed_answers: 1,
        ..plain::Faults::default()
    });
    let answer = fleet.call("POST", router, "/deposits", &[], "{}").await;
    assert_ne!(answer.status, StatusCode::OK);
    assert_eq!(answer.json()["verdict"], "may_have_run");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unresponsive_connections_are_dropped_and_new_ones_work() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    let body = chat_body(TOKENS, true);
    let answers = tokio::join!(
        fleet.chat(router, &body, &[]),
        fleet.chat(router, &body, &[]),
        fleet.chat(router, &body, &[]),
    );
    assert!(answers.0.has_end_mark() && answers.1.has_end_mark() && answers.2.has_end_mark());
    // The router keeps the connections of these answers open; from here on, nothing answers on them.
    fleet.engine.silence();
    fleet.plain.silence();
    let first = fleet.chat(router, &chat_body(3, true), &[]).await;
    assert_complete(&first, true, 3, "after an unresponsive connection");
    let second = fleet.chat(router, &chat_body(3, true), &[]).await;
    assert!(
        second.has_end_mark(),
        "on a new connection: {}",
        second.text()
    );
    let call = fleet.call("POST", router, "/deposits", &[], "{}").await;
    assert_eq!(
        call.status,
        StatusCode::OK,
        "a call that must not be retried never uses a kept-alive connection"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_the_target() {
    let fleet = Fleet::start(Plan {
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let body = chat_body(1_000, true).to_string();
    let post = as_organisation("POST", router, "/v1/chat/completions", &[], body);
    let answer = fleet.client.open(post).await;
    eventually("the engine runs the request", async || {
        running(&fleet).await == 1
    })
    .await;
    drop(answer);
    eventually("the engine is free", async || running(&fleet).await == 0).await;
    eventually("no request is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 0.0
    })
    .await;
    assert_eq!(fleet.refusals(router, "caller_left").await, 1.0);
    assert_eq!(fleet.status(router).await["requests"], 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_nothing_is_disconnected() {
    let fleet = Fleet::start(Plan {
        tune: Box::new(|_, settings| settings["callers"]["unread_timeout_ms"] = json!(500)),
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let endless = start_endless_service().await;
    let log = fleet.log.address();
    publish(&fleet.client, log, support::service("flood", endless, 8)).await;
    eventually("the new pool is known", async || {
        fleet.status(router).await["applied"].as_u64() >= Some(8)
    })
    .await;
    let get = as_organisation("GET", router, "/v1/services/flood/", &[], String::new());
    let unread = fleet.client.open(get).await;
    assert_eq!(unread.status(), StatusCode::OK);
    eventually("the caller is disconnected", async || {
        fleet.edge_events(router, "caller_unread").await == 1.0
    })
    .await;
    eventually("no request is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 0.0
    })
    .await;
    drop(unread);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_crashes_gives_no_false_answer() {
    let fleet = Fleet::start(Plan {
        engine: engine::Config {
            token_ms: 20,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let chat = tokio::spawn({
        let client = fleet.client.clone();
        let body = chat_body(TOKENS, true).to_string();
        let post = as_organisation("POST", router, "/v1/chat/completions", &[], body);
        async move { client.send(post).await }
    });
    eventually("the engine runs the request", async || {
        running(&fleet).await == 1
    })
    .await;
    fleet.engine.crash(Duration::from_millis(300));
    let answer = chat.await.expect("the caller does not panic");
    assert_complete_or_failed(&answer, "crash");
    eventually("the engine serves again", async || {
        fleet
            .chat(router, &chat_body(3, true), &[])
            .await
            .has_end_mark()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_an_unreachable_target_is_refused_as_not_run() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    fleet.plain.crash(Duration::from_secs(60));
    let answer = fleet
        .call(
            "POST",
            router,
            "/deposits",
            &[("x-deadline-ms", "2000")],
            "{}",
        )
        .await;
    assert!(answer.status.is_server_error(), "{}", answer.text());
    assert_eq!(answer.json()["verdict"], "not_run", "{}", answer.text());
}

/// Starts a plain service whose answers never end.
async fn start_endless_service() -> SocketAddr {
    let report = async || Json(json!({ "running": 0, "waiting": 0, "uptime_ms": 60_000 }));
    let answer = async |headers: http::HeaderMap| {
        let chunks = futures::stream::repeat_with(|| Ok::<_, Infallible>(vec![b'x'; 64 * 1024]));
        let attempt = headers["x-attempt-id"].clone();
        ([("x-attempt-id", attempt)], Body::from_stream(chunks))
    };
    let app = axum::Router::new()
        .route("/v1/report", get(report))
        .fallback(answer);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

/// Returns the number of requests that the engine is running.
async fn running(fleet: &Fleet) -> u64 {
    let get = support::client::request(
        "GET",
        fleet.engine.address(),
        "/v1/report",
        &[],
        String::new(),
    );
    let report = fleet.client.send(get).await.json();
    report["running"].as_u64().unwrap_or(u64::MAX)
}

/// Asserts that an answer is complete, with each token once and in order.
fn assert_complete(answer: &Answer, stream: bool, tokens: u32, name: &str) {
    let text = answer.text();
    assert_eq!(answer.status, StatusCode::OK, "{name}: {text}");
    assert!(answer.is_complete, "{name}: {text}");
    if stream {
        assert!(answer.has_end_mark(), "{name}: {text}");
        let expected: Vec<u64> = (1..=u64::from(tokens)).collect();
        assert_eq!(answer.token_numbers(), expected, "{name}");
        return;
    }
    let content = answer.json()["choices"][0]["message"]["content"].clone();
    let numbers: Vec<u32> = content
        .as_str()
        .unwrap_or_default()
        .split_whitespace()
        .filter_map(|word| word.rsplit_once('-')?.1.parse().ok())
        .collect();
    assert_eq!(numbers, (1..=tokens).collect::<Vec<_>>(), "{name}: {text}");
}

/// Asserts that a streamed answer is complete or ends with the verdict `may_have_run`, with its
/// tokens in order.
fn assert_complete_or_failed(answer: &Answer, name: &str) {
    let text = answer.text();
    if answer.status == StatusCode::OK && answer.has_end_mark() {
        assert_complete(answer, true, TOKENS, name);
        return;
    }
    assert!(
        text.contains("\"verdict\":\"may_have_run\""),
        "{name}: {text}"
    );
    let numbers = answer.token_numbers();
    let expected: Vec<u64> = (1..).take(numbers.len()).collect();
    assert_eq!(numbers, expected, "{name}");
}
