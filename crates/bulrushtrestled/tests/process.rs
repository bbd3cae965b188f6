//! The process as a whole: its command line, power cuts, signals and peers.

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
fn the_command_line_checks_settings_and_names_what_is_wrong() {
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
    for (name, settings, code, says) in cases {
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
        assert!(error.contains(says), "{name}: {error}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_killed_leaves_the_service_to_the_others() {
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
    eventually("the others see it gone", async || {
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
    eventually("the others see it gone", async || {
        live(&fleet, &fleet.routers[1]).await == 2 && live(&fleet, &fleet.routers[2]).await == 2
    })
    .await;
    for router in &fleet.routers[1..] {
        let answer = fleet.chat(router, &chat_body(TOKENS, true), &[]).await;
        assert!(answer.has_end_mark(), "{}", answer.text());
    }
    // Longer than a call to a peer may take: the connection is dropped, the others go on.
    eventually("the call is given up", async || {
        fleet.edge(&fleet.routers[1], "peer_call_failed").await >= 1.0
    })
    .await;
    hanging.signal("CONT");
    fleet.wait_ready().await;
    let answer = fleet.chat(hanging, &chat_body(TOKENS, true), &[]).await;
    assert!(answer.has_end_mark(), "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_finishes_what_is_open() {
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
        async move { client.whole(post).await }
    });
    eventually("it is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 1.0
    })
    .await;
    router.signal("TERM");
    eventually("it is stopping", async || {
        fleet.status(router).await["stopping"] == json!(true)
    })
    .await;
    assert_eq!(
        fleet.operators(router, "/readyz").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    // A second signal does not shorten it.
    router.signal("INT");
    router.signal("TERM");
    // Callers may still come with an address that they were told before.
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
        async move { client.whole(post).await }
    });
    eventually("it is open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await == 1.0
    })
    .await;
    let asked = Instant::now();
    router.signal("TERM");
    let answer = open.await.expect("the caller does not panic");
    assert!(!answer.has_end_mark());
    assert!(
        answer.text().contains("\"reason\":\"stopping\""),
        "it is told why"
    );
    let status = tokio::task::block_in_place(|| fleet.routers[0].wait());
    assert!(status.success(), "{status}");
    assert!(asked.elapsed() < Duration::from_secs(15));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_with_another_key_is_refused_and_counted() {
    let fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    })
    .await;
    let mut strange = settings(3, fleet.log.address(), fleet.vms.address());
    strange["peers"]["fleet_key"] = json!("08".repeat(32));
    let strange = Daemon::start(3, &strange);
    let name = "bulrushtrestle_peers_refused_total{reason=\"wrong_proof\"}";
    for router in &fleet.routers {
        eventually("the stranger is refused", async || {
            fleet.metric(router, name).await >= 1.0
        })
        .await;
        assert_eq!(live(&fleet, router).await, 2);
    }
    assert_eq!(live(&fleet, &strange).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn strangers_at_the_peers_door_are_bounded() {
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
    eventually("those over the limit are turned away", async || {
        fleet.edge(router, "peer_connection_refused").await >= 3.0 * STRANGERS_MAX as f64
    })
    .await;
    let name = "bulrushtrestle_peers_refused_total{reason=\"too_slow\"}";
    eventually("the others are let go in time", async || {
        fleet.metric(router, name).await >= STRANGERS_MAX as f64
    })
    .await;
    assert_eq!(live(&fleet, router).await, 2);
}

async fn live(fleet: &Fleet, router: &Daemon) -> usize {
    match &fleet.status(router).await["live"] {
        Value::Array(live) => live.len(),
        _ => 0,
    }
}
