//! End-to-end tests: daemons serve streams and calls from callers to targets.

mod support;

use std::collections::HashSet;

use http::StatusCode;
use serde_json::json;
use support::{Fleet, Plan, as_organisation, chat_body};

const TOKENS: u32 = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_daemons_serve_streams_and_calls() {
    let fleet = Fleet::start(Plan {
        routers: 3,
        ..Plan::default()
    })
    .await;
    for router in &fleet.routers {
        let answer = fleet.chat(router, &chat_body(TOKENS, true), &[]).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        assert_eq!(
            answer.token_numbers(),
            (1..=u64::from(TOKENS)).collect::<Vec<_>>()
        );
        assert!(answer.has_end_mark());

        let answer = fleet.chat(router, &chat_body(TOKENS, false), &[]).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let content = answer.json()["choices"][0]["message"]["content"].clone();
        let words = content
            .as_str()
            .map_or(0, |text| text.split_whitespace().count());
        assert_eq!(words, TOKENS as usize);

        let answer = fleet.call("GET", router, "/stock/7?size=2", &[], "").await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        assert_eq!(answer.json()["path"], json!("/stock/7?size=2"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_with_a_key_runs_once() {
    let fleet = Fleet::start(Plan::default()).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let answer = fleet
        .call(
            "POST",
            &fleet.routers[0],
            "/deposits",
            &headers,
            "{\"clock\":7}",
        )
        .await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert_eq!(answer.json()["body"], json!("{\"clock\":7}"));
    assert_eq!(fleet.runs().await.keys.get(&key), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_streams_share_one_http_2_connection() {
    const STREAMS: usize = 20;
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    let client = support::client::Client::http_2();
    let answers = (0..STREAMS).map(|_| {
        let body = chat_body(TOKENS, true).to_string();
        client.send(as_organisation(
            "POST",
            router,
            "/v1/chat/completions",
            &[],
            body,
        ))
    });
    for answer in futures::future::join_all(answers).await {
        assert!(answer.has_end_mark(), "{}", answer.text());
        assert_eq!(answer.token_numbers().len(), TOKENS as usize);
    }
    assert_eq!(
        fleet
            .metric(router, "bulrushtrestle_caller_connections")
            .await,
        1.0
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_router_returns_addresses() {
    let fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    })
    .await;
    let known: HashSet<String> = fleet
        .routers
        .iter()
        .map(|router| router.callers.to_string())
        .collect();
    for router in &fleet.routers {
        let get =
            support::client::request("GET", router.callers, "/v1/addresses", &[], String::new());
        let answer = fleet.client.send(get).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let answer = answer.json();
        assert!(answer["valid_for_ms"].as_u64().is_some_and(|ms| ms > 0));
        let addresses = answer["addresses"].as_array().expect("addresses is a list");
        assert!(!addresses.is_empty());
        assert!(
            addresses
                .iter()
                .all(|a| a.as_str().is_some_and(|a| known.contains(a)))
        );
    }
}
