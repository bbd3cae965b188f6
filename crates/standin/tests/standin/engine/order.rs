//! Orders and cache events.

use bulrushtrestle_standin::engine::{Config, Faults};
use http::Method;
use serde_json::{Value, json};

use super::{CHAT, chat, spawn};

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
