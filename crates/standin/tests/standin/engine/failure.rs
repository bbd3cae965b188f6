//! Cold starts, crashes, bad versions, requests that are not started.

use std::time::{Duration, Instant};

use bulrushtrestle_standin::engine::{Config, Faults};
use bulrushtrestle_standin::target::{Bad, How};
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;

use super::{CHAT, chat, endless, spawn, tokens};
use crate::client::WATCH;

#[tokio::test]
async fn a_cold_engine_falls_over_under_more_than_it_bears() {
    struct Case {
        name: &'static str,
        cold_ms: u64,
        cold_slots: u32,
        crashes: u64,
    }
    let cases = [
        Case {
            name: "warm",
            cold_ms: 0,
            cold_slots: 1,
            crashes: 0,
        },
        Case {
            name: "cold, bears one",
            cold_ms: 3_600_000,
            cold_slots: 1,
            crashes: 1,
        },
        Case {
            name: "cold, bears two",
            cold_ms: 3_600_000,
            cold_slots: 2,
            crashes: 0,
        },
    ];
    for Case {
        name,
        cold_ms,
        cold_slots,
        crashes,
    } in cases
    {
        let cfg = Config {
            cold_ms,
            cold_slots,
            restart_ms: 50,
            ..Config::default()
        };
        let (_engine, client) = spawn(cfg).await;
        let mut first = endless(&client, "a1").await;
        let second = client.send(Method::POST, CHAT, &[], chat("x", 3)).await;
        assert_eq!(
            second.is_some_and(|answer| answer.whole),
            crashes == 0,
            "{name}"
        );
        client
            .until("/v1/stats", |stats| stats["crashes"] == crashes)
            .await;
        let alive = tokio::time::timeout(WATCH, async {
            while let Some(Ok(_)) = first.frame().await {}
        });
        assert_eq!(
            alive.await.is_err(),
            crashes == 0,
            "{name}: the first stream"
        );
    }
}

#[tokio::test]
async fn an_engine_turns_cold_again() {
    let cfg = Config {
        cold_ms: 200,
        cold_slots: 1,
        restart_ms: 50,
        ..Config::default()
    };
    let (_engine, client) = spawn(cfg).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let _first = endless(&client, "a1").await;
    let _second = endless(&client, "a2").await;
    assert_eq!(client.get("/v1/stats").await.json()["crashes"], 0);
    client.post("/v1/cool", "").await;
    client
        .until("/v1/stats", |stats| stats["crashes"] == 1)
        .await;
}

#[tokio::test]
async fn a_marked_request_crashes_the_engine_each_time() {
    let faults = Faults {
        crash_marker: Some("poison".to_owned()),
        ..Faults::default()
    };
    let cfg = Config {
        faults,
        restart_ms: 50,
        ..Config::default()
    };
    let (_engine, client) = spawn(cfg).await;
    let order = json!({ "fence": 3, "order": "load", "models": ["m"], "version": "v2" });
    client.post("/v1/orders", order).await;
    for crashes in 1..=2 {
        tokio::time::sleep(WATCH).await;
        let uptime = client.get("/v1/report").await.json()["uptime_ms"].as_u64();
        let mut bystander = endless(&client, "a1").await;
        let marked = client
            .send(Method::POST, CHAT, &[], chat("poison", 3))
            .await;
        assert!(marked.is_none_or(|answer| !answer.whole));
        while let Some(Ok(_)) = bystander.frame().await {}
        client
            .until("/v1/stats", |stats| stats["crashes"] == crashes)
            .await;
        let report = client.get("/v1/report").await.json();
        assert!(report["uptime_ms"].as_u64() < uptime, "{report}");
        assert_eq!(
            (&report["running"], &report["version"]),
            (&json!(0), &json!("v1"))
        );
    }
    let healthy = client.post(CHAT, chat("clocks", 2)).await;
    assert_eq!(tokens(&healthy), (vec![1, 2], true));
}

#[tokio::test]
async fn a_bad_version_shows_itself_as_told() {
    struct Case {
        name: &'static str,
        bad: Bad,
        status: u16,
        /// The status of a request beside one that runs.
        beside: u16,
    }
    let bad = |how| Bad {
        how,
        version: None,
        after_ms: 0,
        beside: 0,
        route: None,
    };
    let named = |text: &str| Some(text.to_owned());
    let cases = [
        Case {
            name: "at once",
            bad: bad(How::Error),
            status: 500,
            beside: 500,
        },
        Case {
            name: "later",
            bad: Bad {
                after_ms: 3_600_000,
                ..bad(How::Error)
            },
            status: 200,
            beside: 200,
        },
        Case {
            name: "under load",
            bad: Bad {
                beside: 1,
                ..bad(How::Error)
            },
            status: 200,
            beside: 500,
        },
        Case {
            name: "on this route",
            bad: Bad {
                route: named("m"),
                ..bad(How::Error)
            },
            status: 500,
            beside: 500,
        },
        Case {
            name: "on another route",
            bad: Bad {
                route: named("x"),
                ..bad(How::Error)
            },
            status: 200,
            beside: 200,
        },
        Case {
            name: "this version",
            bad: Bad {
                version: named("v1"),
                ..bad(How::Error)
            },
            status: 500,
            beside: 500,
        },
        Case {
            name: "another version",
            bad: Bad {
                version: named("v2"),
                ..bad(How::Error)
            },
            status: 200,
            beside: 200,
        },
        Case {
            name: "slow",
            bad: bad(How::Slow(3)),
            status: 200,
            beside: 200,
        },
    ];
    for Case {
        name,
        bad,
        status,
        beside,
    } in cases
    {
        let (engine, client) = spawn(Config::default()).await;
        let _running = endless(&client, "a1").await;
        engine.set_faults(Faults {
            bad: Some(bad.clone()),
            ..Faults::default()
        });
        let answer = client.post(CHAT, chat("x", 2)).await;
        assert_eq!(answer.status, beside, "{name}, beside another");
        let cfg = Config {
            faults: Faults {
                bad: Some(bad),
                ..Faults::default()
            },
            ..Config::default()
        };
        let (_engine, client) = spawn(cfg).await;
        assert_eq!(
            client.post(CHAT, chat("x", 2)).await.status,
            status,
            "{name}"
        );
    }
}

#[tokio::test]
async fn a_slow_version_takes_more_steps() {
    let (engine, client) = spawn(Config {
        token_ms: 10,
        ..Config::default()
    })
    .await;
    let bad = Bad {
        how: How::Slow(5),
        version: None,
        after_ms: 0,
        beside: 0,
        route: None,
    };
    engine.set_faults(Faults {
        bad: Some(bad),
        ..Faults::default()
    });
    let start = Instant::now();
    let answer = client.post(CHAT, chat("x", 6)).await;
    assert_eq!(tokens(&answer), ((1..=6).collect(), true));
    // Six tokens, one in each of five steps of 10 ms; the first may come after any step.
    assert!(
        start.elapsed() >= Duration::from_millis(250),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn requests_that_are_not_started_say_so() {
    struct Case {
        name: &'static str,
        faults: Faults,
        model: &'static str,
        not_started: bool,
    }
    let declines = Faults {
        declines: true,
        ..Faults::default()
    };
    let cases = [
        Case {
            name: "taken",
            faults: Faults::default(),
            model: "m",
            not_started: false,
        },
        Case {
            name: "declined",
            faults: declines,
            model: "m",
            not_started: true,
        },
        Case {
            name: "another model",
            faults: Faults::default(),
            model: "x",
            not_started: true,
        },
    ];
    for Case {
        name,
        faults,
        model,
        not_started,
    } in cases
    {
        let (_engine, client) = spawn(Config {
            faults,
            ..Config::default()
        })
        .await;
        let answer = client
            .post(CHAT, json!({ "model": model, "max_tokens": 1 }))
            .await;
        assert_eq!(answer.status, if not_started { 503 } else { 200 }, "{name}");
        assert_eq!(
            answer.header("x-not-started") == Some("true"),
            not_started,
            "{name}"
        );
    }
}
