//! The model engine.

use std::time::Duration;

use bulrushtrestle_standin::Handle;
use bulrushtrestle_standin::engine::{self, Config, Faults, StreamEnd, StreamFault};
use bulrushtrestle_standin::target::{Bad, How, OTHER_ATTEMPT};
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::client::{Answer, Client, WATCH};

const CHAT: &str = "/v1/chat/completions";

/// More tokens than any test waits for.
const ENDLESS: u64 = 1_000_000;

async fn spawn(cfg: Config) -> (Handle<Faults>, Client) {
    let engine = engine::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(engine.address());
    (engine, client)
}

fn chat(prompt: &str, tokens: u64) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": tokens }).to_string()
}

/// Starts a stream that does not end by itself and waits for its first token.
async fn endless(client: &Client, attempt: &str) -> Incoming {
    let body = chat(&format!("[tokens={ENDLESS}]"), ENDLESS);
    let res = client
        .open(Method::POST, CHAT, &[("x-attempt-id", attempt)], body)
        .await;
    let mut body = res.expect("the engine answers").into_body();
    let frame = body.frame().await.expect("there is a first token");
    frame.expect("the first token arrives");
    body
}

/// Returns the numbers of the tokens of an answer, and whether it has its end mark.
fn tokens(answer: &Answer) -> (Vec<u64>, bool) {
    let numbers = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let numbers = numbers.map(|number| number.parse().expect("ids are numbers"));
    (numbers.collect(), answer.body.ends_with("data: [DONE]\n\n"))
}

#[tokio::test]
async fn streams_are_whole_but_for_the_fault() {
    struct Case {
        name: &'static str,
        faults: Faults,
        headers: &'static [(&'static str, &'static str)],
        tokens: &'static [u64],
        end_mark: bool,
        whole: bool,
        attempt: &'static str,
    }
    let stream = |how, after_tokens| Faults {
        stream: Some(StreamFault {
            how,
            after_tokens,
            times: 1,
        }),
        ..Faults::default()
    };
    let cases = [
        Case {
            name: "nothing goes wrong",
            faults: Faults::default(),
            headers: &[("x-attempt-id", "a1")],
            tokens: &[1, 2, 3, 4],
            end_mark: true,
            whole: true,
            attempt: "a1",
        },
        Case {
            name: "resumed",
            faults: Faults::default(),
            headers: &[("x-attempt-id", "a1"), ("x-resume-from", "2")],
            tokens: &[3, 4],
            end_mark: true,
            whole: true,
            attempt: "a1",
        },
        Case {
            name: "resumed after the last token",
            faults: Faults::default(),
            headers: &[("x-attempt-id", "a1"), ("x-resume-from", "4")],
            tokens: &[],
            end_mark: true,
            whole: true,
            attempt: "a1",
        },
        Case {
            name: "truncated",
            faults: stream(StreamEnd::Truncated, 2),
            headers: &[("x-attempt-id", "a1")],
            tokens: &[1, 2],
            end_mark: false,
            whole: true,
            attempt: "a1",
        },
        Case {
            name: "truncated before the end mark",
            faults: stream(StreamEnd::Truncated, 4),
            headers: &[("x-attempt-id", "a1")],
            tokens: &[1, 2, 3, 4],
            end_mark: false,
            whole: true,
            attempt: "a1",
        },
        Case {
            name: "broken",
            faults: stream(StreamEnd::Broken, 2),
            headers: &[("x-attempt-id", "a1")],
            tokens: &[1, 2],
            end_mark: false,
            whole: false,
            attempt: "a1",
        },
        Case {
            name: "crossed",
            faults: Faults {
                crossed_answers: 1,
                ..Faults::default()
            },
            headers: &[("x-attempt-id", "a1")],
            tokens: &[1, 2, 3, 4],
            end_mark: true,
            whole: true,
            attempt: OTHER_ATTEMPT,
        },
    ];
    for Case {
        name,
        faults,
        headers,
        tokens: expected,
        end_mark,
        whole,
        attempt,
    } in cases
    {
        let (_engine, client) = spawn(Config {
            faults,
            ..Config::default()
        })
        .await;
        let answer = client
            .send(Method::POST, CHAT, headers, chat("clocks", 4))
            .await;
        let answer = answer.unwrap_or_else(|| panic!("{name}: no answer"));
        assert_eq!(tokens(&answer), (expected.to_vec(), end_mark), "{name}");
        assert_eq!(answer.whole, whole, "{name}");
        assert_eq!(answer.header("x-attempt-id"), Some(attempt), "{name}");
        // The fault happens once.
        let again = client
            .send(Method::POST, CHAT, &[], chat("clocks", 4))
            .await;
        let again = again.unwrap_or_else(|| panic!("{name}: no answer"));
        assert_eq!(tokens(&again), (vec![1, 2, 3, 4], true), "{name}");
    }
}

#[tokio::test]
async fn an_answer_shows_whose_it_is() {
    let (_engine, client) = spawn(Config::default()).await;
    let content = |answer: &Answer| {
        let line = answer
            .body
            .lines()
            .find_map(|line| line.strip_prefix("data: "));
        let chunk: Value = serde_json::from_str(line.expect("there is data")).expect("it is JSON");
        chunk["choices"][0]["delta"]["content"].clone()
    };
    let one = client.post(CHAT, chat("clocks", 1)).await;
    let same = client.post(CHAT, chat("clocks", 1)).await;
    let other = client.post(CHAT, chat("umbrellas", 1)).await;
    assert_eq!(content(&one), content(&same));
    assert_ne!(content(&one), content(&other));
    let whole = client
        .post(CHAT, json!({ "model": "m", "max_tokens": 3 }))
        .await
        .json();
    assert_eq!(whole["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn a_silent_stream_stays_open() {
    let stream = StreamFault {
        how: StreamEnd::Silent,
        after_tokens: 1,
        times: 1,
    };
    let faults = Faults {
        stream: Some(stream),
        ..Faults::default()
    };
    let (_engine, client) = spawn(Config {
        faults,
        ..Config::default()
    })
    .await;
    let mut body = endless(&client, "a1").await;
    assert!(tokio::time::timeout(WATCH, body.frame()).await.is_err());
}

#[tokio::test]
async fn requests_beyond_the_slots_wait_and_all_finish() {
    let (_engine, client) = spawn(Config {
        slots: 2,
        ..Config::default()
    })
    .await;
    let calls: Vec<_> = (0..5)
        .map(|n| {
            let client = client.clone();
            tokio::spawn(async move { client.post(CHAT, chat(&format!("{n}"), 10)).await })
        })
        .collect();
    for call in calls {
        let answer = call.await.expect("the call does not panic");
        assert_eq!(tokens(&answer), ((1..=10).collect(), true));
    }
    let stats = client.get("/v1/stats").await.json();
    assert_eq!(stats["running_max"], 2, "{stats}");
    assert_eq!(
        (&stats["finished"], &stats["tokens"]),
        (&json!(5), &json!(50)),
        "{stats}"
    );
}

#[tokio::test]
async fn closing_or_cancelling_frees_the_slot() {
    let (_engine, client) = spawn(Config::default()).await;
    let closed = endless(&client, "a1").await;
    let mut cancelled = endless(&client, "a2").await;
    client
        .until("/v1/report", |report| report["running"] == 2)
        .await;
    drop(closed);
    client
        .until("/v1/report", |report| report["running"] == 1)
        .await;
    let answer = client.post("/v1/cancel", json!({ "attempt": "a1" })).await;
    assert_eq!(answer.json(), json!({ "cancelled": false }));
    let answer = client.post("/v1/cancel", json!({ "attempt": "a2" })).await;
    assert_eq!(answer.json(), json!({ "cancelled": true }));
    let mut rest = Vec::new();
    while let Some(frame) = cancelled.frame().await {
        rest.extend(
            frame
                .expect("the stream ends in order")
                .into_data()
                .unwrap_or_default(),
        );
    }
    assert!(!String::from_utf8_lossy(&rest).contains("[DONE]"));
    assert_eq!(client.get("/v1/report").await.json()["running"], 0);
}

#[tokio::test]
async fn reports_lag() {
    let (engine, client) = spawn(Config::default()).await;
    let _stream = endless(&client, "a1").await;
    assert_eq!(client.get("/v1/report").await.json()["running"], 1);
    engine.set_faults(Faults {
        report_lag_ms: 60_000,
        ..Faults::default()
    });
    assert_eq!(client.get("/v1/report").await.json()["running"], 0);
}

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
    let start = std::time::Instant::now();
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

#[tokio::test]
async fn orders_with_an_old_fence_are_refused_or_not() {
    struct Case {
        name: &'static str,
        checks_fence: bool,
        fences: [u64; 2],
        status: u16,
        version: &'static str,
        fence: u64,
    }
    let case = |name, checks_fence, fences, status, version, fence| Case {
        name,
        checks_fence,
        fences,
        status,
        version,
        fence,
    };
    let cases = [
        case("higher", true, [5, 6], 200, "b", 6),
        case("repeated", true, [5, 5], 200, "b", 5),
        case("old, refused", true, [5, 4], 409, "a", 5),
        case("old, taken", false, [5, 4], 200, "b", 5),
    ];
    for Case {
        name,
        checks_fence,
        fences,
        status,
        version,
        fence,
    } in cases
    {
        let (_engine, client) = spawn(Config {
            checks_fence,
            ..Config::default()
        })
        .await;
        let load = |fence, version| json!({ "fence": fence, "order": "load", "models": ["m"], "version": version });
        client.post("/v1/orders", load(fences[0], "a")).await;
        let answer = client.post("/v1/orders", load(fences[1], "b")).await;
        assert_eq!(answer.status, status, "{name}");
        let orders = client.get("/v1/orders").await.json();
        let expected =
            json!({ "fence": fence, "models": ["m"], "version": version, "role": "any" });
        assert_eq!(orders, expected, "{name}");
    }
}

#[tokio::test]
async fn an_order_takes_effect_though_its_answer_is_lost() {
    let faults = Faults {
        lost_order_answers: 1,
        ..Faults::default()
    };
    let (_engine, client) = spawn(Config {
        faults,
        ..Config::default()
    })
    .await;
    let order = json!({ "fence": 1, "order": "role", "role": "decode" });
    assert!(
        client
            .send(Method::POST, "/v1/orders", &[], order)
            .await
            .is_none()
    );
    assert_eq!(client.get("/v1/orders").await.json()["role"], "decode");
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    struct Case {
        name: &'static str,
        faults: Faults,
        from: u64,
        events: Value,
        next: u64,
    }
    let stored = |seq: u64, prefix: &str| json!({ "seq": seq, "stored": prefix });
    let evicted = json!({ "seq": 3, "evicted": "aa" });
    let cases = [
        Case {
            name: "all",
            faults: Faults::default(),
            from: 0,
            events: json!([stored(1, "aa"), stored(2, "bb"), evicted, stored(4, "cc")]),
            next: 5,
        },
        Case {
            name: "from a number on",
            faults: Faults::default(),
            from: 4,
            events: json!([stored(4, "cc")]),
            next: 5,
        },
        Case {
            name: "with gaps",
            faults: Faults {
                cache_gap_every: 2,
                ..Faults::default()
            },
            from: 0,
            events: json!([stored(1, "aa"), evicted]),
            next: 5,
        },
        Case {
            name: "late",
            faults: Faults {
                cache_lag_ms: 3_600_000,
                ..Faults::default()
            },
            from: 0,
            events: json!([]),
            next: 0,
        },
    ];
    let (engine, client) = spawn(Config {
        cache_prefixes: 2,
        ..Config::default()
    })
    .await;
    for prefix in ["aa", "bb", "bb", "cc"] {
        let headers = [("x-prefix", prefix)];
        client
            .send(Method::POST, CHAT, &headers, chat("x", 1))
            .await
            .expect("it answers");
    }
    assert_eq!(client.get("/v1/stats").await.json()["cache_hits"], 1);
    for Case {
        name,
        faults,
        from,
        events,
        next,
    } in cases
    {
        engine.set_faults(faults);
        let answer = client
            .get(&format!("/v1/cache-events?from={from}"))
            .await
            .json();
        assert_eq!(answer, json!({ "next": next, "events": events }), "{name}");
    }
}
