//! Limits enforced on callers: per organisation, per queue, per router and on connections.

mod support;

use bulrushtrestle_core::catalogue::entry::Limits;
use bulrushtrestle_standin::engine;
use http::StatusCode;
use serde_json::json;
use support::{Fleet, Plan, as_organisation, assert_refused, chat_body, chat_request, eventually};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_of_an_organisation_are_enforced() {
    let fleet = Fleet::start(Plan {
        slots: 1,
        limits: Limits {
            waiting: 1,
            running: 1,
            wait_ms: 60_000,
        },
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let long = chat_body(1_000, true);
    // The first runs, the second waits.
    let running = fleet.client.open(chat_request(router, &long)).await;
    let waiting = tokio::spawn({
        let client = fleet.client.clone();
        let req = chat_request(router, &chat_body(1, true));
        async move { client.send(req).await }
    });
    eventually("both requests are admitted", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 2.0
    })
    .await;
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert_refused(&answer, 429, "too_many_open", "a third request");
    assert!(!waiting.is_finished());
    // The first caller disconnects, and the second request gets its slot.
    drop(running);
    let answer = waiting.await.expect("the caller does not panic");
    assert!(answer.has_end_mark(), "{}", answer.text());
    assert_eq!(fleet.refusals(router, "caller_left").await, 1.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_queue_refuses_at_once() {
    let fleet = Fleet::start(Plan {
        slots: 1,
        limits: Limits {
            waiting: 1,
            running: 10,
            wait_ms: 60_000,
        },
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let _running = fleet
        .client
        .open(chat_request(router, &chat_body(1_000, true)))
        .await;
    let _waiting = tokio::spawn({
        let client = fleet.client.clone();
        let req = chat_request(router, &chat_body(1, true));
        async move { client.send(req).await }
    });
    eventually("both requests are admitted", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 2.0
    })
    .await;
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert_refused(&answer, 429, "queue_full", "a third request");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_that_passes_in_the_queue_is_a_refusal_not_run() {
    let fleet = Fleet::start(Plan {
        slots: 1,
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let _running = fleet
        .client
        .open(chat_request(router, &chat_body(1_000, true)))
        .await;
    let answer = fleet
        .chat(router, &chat_body(1, true), &[("x-deadline-ms", "200")])
        .await;
    assert_refused(&answer, 504, "deadline_passed", "a short deadline");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_router_refuses_requests_but_still_returns_addresses() {
    let fleet = Fleet::start(Plan {
        tune: Box::new(|_, settings| settings["callers"]["requests_max"] = json!(1)),
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let running = fleet
        .client
        .open(chat_request(router, &chat_body(1_000, true)))
        .await;
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert_refused(&answer, 503, "overloaded", "a second request");
    let get = as_organisation("GET", router, "/v1/addresses", &[], String::new());
    assert_eq!(fleet.client.send(get).await.status, StatusCode::OK);
    drop(running);
    eventually("the next caller is served", async || {
        let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
        answer.has_end_mark()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_refused() {
    for key in ["connections_max", "connections_per_address_max"] {
        connections_are_limited(key).await;
    }
}

async fn connections_are_limited(key: &'static str) {
    const CONNECTIONS_MAX: usize = 4;
    let fleet = Fleet::start(Plan {
        tune: Box::new(move |_, settings| settings["callers"][key] = json!(CONNECTIONS_MAX)),
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        idle.push(
            TcpStream::connect(router.callers)
                .await
                .expect("the connection is accepted"),
        );
    }
    eventually("the connections are counted", async || {
        fleet
            .metric(router, "bulrushtrestle_caller_connections")
            .await
            == CONNECTIONS_MAX as f64
    })
    .await;
    let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
    assert_refused(&answer, 503, "overloaded", "a connection over the limit");
    assert_eq!(
        fleet.edge_events(router, "caller_connection_refused").await,
        1.0
    );
    drop(idle);
    eventually("the next caller is served", async || {
        let answer = fleet.chat(router, &chat_body(1, true), &[]).await;
        answer.has_end_mark()
    })
    .await;
}
