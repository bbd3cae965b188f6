//! The daemon as a process: command line, abrupt termination, signals and peers.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use bulrushtrestle_standin::engine;
use http::StatusCode;
use serde_json::{Value, json};
use support::daemon::Daemon;
use support::{Fleet, Plan, as_organisation, chat_body, eventually, free_address, settings};
use tokio::net::TcpStream;

const TOKENS: u32 = 60;

#[test]
fn the_command_line_checks_settings_and_names_the_bad_key() {
    let good = settings(1, free_address(), free_address());
    let mut bad = good.clone();
    bad["callers"]["connections_max"] = json!(0);
    let cases = [
        ("good", &good, Some(0), ""),
        (
            "bad",
            &bad,
            Some(2),
            "key callers.connections_max: 0; it has to be a whole number from 1",
        ),
    ];
    for (name, settings, code, expected) in cases {
        let path = std::env::temp_dir().join(format!("check-{}.json", uuid::Uuid::now_v7()));
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let output = Command::new(env!("CARGO_BIN_EXE_bulrushtrestled"))
            .arg("--check")
            .arg("--settings")
            .arg(&path)
            .output()
            .expect("the daemon runs");
        std::fs::remove_file(&path).expect("the settings are there");
        assert_eq!(output.status.code(), code, "{name}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(expected), "{name}: {error}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_other_daemons_serve_after_one_is_killed() {
    let mut fleet = Fleet::start(Plan {
        routers: 3,
        ..Plan::default()
    })
    .await;
    fleet.routers[0].kill();
    for router in &fleet.routers[1..] {
        let answer = fleet.chat(router, &chat_body(TOKENS, true), &[]).await;
        assert!(answer.has_end_mark(), "{}", answer.text());
    }
    eventually("the others no longer consider it live", async || {
        live(&fleet, &fleet.routers[1]).await == 2 && live(&fleet, &fleet.routers[2]).await == 2
    })
    .await;
    for router in &fleet.routers[1..] {
        let answer = fleet.chat(router, &chat_body(TOKENS, true), &[]).await;
        assert!(answer.has_end_mark(), "{}", answer.text());
    }
    fleet.routers[0].restart();
    fleet.wait_ready().await;
    let answer = fleet
        .chat(&fleet.routers[0], &chat_body(TOKENS, true), &[])
        .await;
    assert!(
        answer.has_end_mark(),
        "with an empty memory: {}",
        answer.text()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_hangs_delays_nobody() {
    let fleet = Fleet::start(Plan {
        routers: 3,
        ..Plan::default()
    })
    .await;
    let hanging = &fleet.routers[0];
    hanging.signal("STOP");
    eventually("the others no longer consider it live", async || {
        live(&fleet, &fleet.routers[1]).await == 2 && live(&fleet, &fleet.routers[2]).await == 2
    })
    .await;
    for router in &fleet.routers[1..] {
        let answer = fleet.chat(router, &chat_body(TOKENS, true), &[]).await;
        assert!(answer.has_end_mark(), "{}", answer.text());
    }
    // The daemon hangs for longer than the timeout of a call to a peer: the others drop the
    // connection and keep serving.
    eventually("the call times out", async || {
        fleet
            .edge_events(&fleet.routers[1], "peer_call_failed")
            .await
            >= 1.0
    })
    .await;
    hanging.signal("CONT");
    fleet.wait_ready().await;
    let answer = fleet.chat(hanging, &chat_body(TOKENS, true), &[]).await;
    assert!(answer.has_end_mark(), "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_finishes_open_requests() {
    let mut fleet = Fleet::start(Plan {
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let open = tokio::spawn({
        let client = fleet.client.clone();
        let body = chat_body(TOKENS, true).to_string();
        let post = as_organisation("POST", router, "/v1/chat/completions", &[], body);
        async move { client.send(post).await }
    });
    eventually("the request is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 1.0
    })
    .await;
    router.signal("TERM");
    eventually("the router is stopping", async || {
        fleet.status(router).await["stopping"] == json!(true)
    })
    .await;
    assert_eq!(
        fleet.operator_get(router, "/readyz").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    // Further signals do not shorten the stop.
    router.signal("INT");
    router.signal("TERM");
    // Callers may still use an address that they received before the stop.
    let late = fleet.chat(router, &chat_body(3, true), &[]).await;
    assert!(late.has_end_mark(), "{}", late.text());
    let answer = open.await.expect("the caller does not panic");
    assert!(answer.has_end_mark(), "{}", answer.text());
    assert_eq!(answer.token_numbers().len(), TOKENS as usize);
    let status = tokio::task::block_in_place(|| fleet.routers[0].wait());
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_ends_by_its_deadline() {
    let mut fleet = Fleet::start(Plan {
        tune: Box::new(|_, settings| settings["stop_timeout_ms"] = json!(2_000)),
        engine: engine::Config {
            token_ms: 50,
            ..engine::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let open = tokio::spawn({
        let client = fleet.client.clone();
        let body = chat_body(100_000, true).to_string();
        let post = as_organisation("POST", router, "/v1/chat/completions", &[], body);
        async move { client.send(post).await }
    });
    eventually("the request is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 1.0
    })
    .await;
    let signalled = Instant::now();
    router.signal("TERM");
    let answer = open.await.expect("the caller does not panic");
    assert!(!answer.has_end_mark());
    assert!(
        answer.text().contains("\"reason\":\"stopping\""),
        "the error names the reason"
    );
    let status = tokio::task::block_in_place(|| fleet.routers[0].wait());
    assert!(status.success(), "{status}");
    assert!(signalled.elapsed() < Duration::from_secs(15));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_with_another_key_is_refused_and_counted() {
    let fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    })
    .await;
    let mut stranger = settings(3, fleet.log.address(), fleet.vms.address());
    stranger["peers"]["fleet_key"] = json!("08".repeat(32));
    let stranger = Daemon::start(3, &stranger);
    let name = "bulrushtrestle_peers_refused_total{reason=\"wrong_proof\"}";
    for router in &fleet.routers {
        eventually("the peer with the other key is refused", async || {
            fleet.metric(router, name).await >= 1.0
        })
        .await;
        assert_eq!(live(&fleet, router).await, 2);
    }
    assert_eq!(live(&fleet, &stranger).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unauthenticated_peer_connections_are_limited() {
    const STRANGERS_MAX: usize = 4;
    let fleet = Fleet::start(Plan {
        routers: 2,
        tune: Box::new(|_, settings| {
            settings["peers"]["strangers_max"] = json!(STRANGERS_MAX);
            settings["peers"]["connect_timeout_ms"] = json!(1_000);
        }),
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let mut idle = Vec::new();
    for _ in 0..4 * STRANGERS_MAX {
        idle.push(
            TcpStream::connect(router.peers)
                .await
                .expect("the listener is open"),
        );
    }
    eventually("connections over the limit are refused", async || {
        fleet.edge_events(router, "peer_connection_refused").await >= 3.0 * STRANGERS_MAX as f64
    })
    .await;
    let name = "bulrushtrestle_peers_refused_total{reason=\"too_slow\"}";
    eventually("the remaining connections time out", async || {
        fleet.metric(router, name).await >= STRANGERS_MAX as f64
    })
    .await;
    assert_eq!(live(&fleet, router).await, 2);
}

/// Returns the number of routers that `router` considers live, including itself.
async fn live(fleet: &Fleet, router: &Daemon) -> usize {
    match &fleet.status(router).await["live"] {
        Value::Array(live) => live.len(),
        _ => 0,
    }
}
