//! The plain service.

use bulrushtrestle_standin::plain::{self, Config, Faults};
use bulrushtrestle_standin::target::{Bad, How, OTHER_ATTEMPT};
use http::Method;
use serde_json::json;

use crate::client::{Client, WATCH};

const HEADERS: &[(&str, &str)] = &[("x-attempt-id", "a7"), ("idempotency-key", "k")];

fn bad(how: How, route: Option<&str>) -> Option<Bad> {
    let route = route.map(ToOwned::to_owned);
    Some(Bad {
        how,
        version: None,
        after_ms: 0,
        beside: 0,
        route,
    })
}

#[tokio::test]
async fn calls_run_and_are_answered_as_the_fault_says() {
    struct Case {
        name: &'static str,
        faults: Faults,
        /// The status and the attempt of the answer, if there is one.
        answer: Option<(u16, &'static str)>,
        runs: u64,
    }
    let cases = [
        Case {
            name: "nothing goes wrong",
            faults: Faults::default(),
            answer: Some((200, "a7")),
            runs: 1,
        },
        Case {
            name: "declined",
            faults: Faults {
                declines: true,
                ..Faults::default()
            },
            answer: Some((503, "a7")),
            runs: 0,
        },
        Case {
            name: "the answer is lost after the effect",
            faults: Faults {
                lost_answers: 1,
                ..Faults::default()
            },
            answer: None,
            runs: 1,
        },
        Case {
            name: "the answer is crossed",
            faults: Faults {
                crossed_answers: 1,
                ..Faults::default()
            },
            answer: Some((200, OTHER_ATTEMPT)),
            runs: 1,
        },
        Case {
            name: "it crashes before the effect",
            faults: Faults {
                crash_marker: Some("clock".to_owned()),
                ..Faults::default()
            },
            answer: None,
            runs: 0,
        },
        Case {
            name: "another body does not crash it",
            faults: Faults {
                crash_marker: Some("umbrella".to_owned()),
                ..Faults::default()
            },
            answer: Some((200, "a7")),
            runs: 1,
        },
        Case {
            name: "a bad version",
            faults: Faults {
                bad: bad(How::Error, None),
                ..Faults::default()
            },
            answer: Some((500, "a7")),
            runs: 0,
        },
        Case {
            name: "a version that is bad on another route",
            faults: Faults {
                bad: bad(How::Error, Some("/stock")),
                ..Faults::default()
            },
            answer: Some((200, "a7")),
            runs: 1,
        },
    ];
    for Case {
        name,
        faults,
        answer: expected,
        runs,
    } in cases
    {
        let cfg = Config {
            faults,
            restart_ms: 50,
            ..Config::default()
        };
        let plain = plain::spawn(cfg).await.expect("loopback has free ports");
        let client = Client::new(plain.address());
        let answer = client
            .send(Method::PUT, "/loans/3?x=1", HEADERS, "clock 3")
            .await;
        let seen = answer
            .as_ref()
            .map(|answer| (answer.status, answer.header("x-attempt-id")));
        assert_eq!(
            seen,
            expected.map(|(status, id)| (status, Some(id))),
            "{name}"
        );
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            let whole =
                json!({ "method": "PUT", "path": "/loans/3?x=1", "body": "clock 3", "run": 1 });
            assert_eq!(answer.json(), whole, "{name}");
        }
        // Runs are counted across a crash.
        client
            .until("/v1/runs", |counts| counts["total"] == runs)
            .await;
        let counts = client.get("/v1/runs").await.json();
        assert_eq!(counts["keys"]["k"].as_u64().unwrap_or(0), runs, "{name}");
    }
}

#[tokio::test]
async fn an_answer_can_stay_away_while_the_connection_is_open() {
    let faults = Faults {
        silent_answers: 1,
        ..Faults::default()
    };
    let cfg = Config {
        faults,
        ..Config::default()
    };
    let plain = plain::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(plain.address());
    let call = tokio::time::timeout(WATCH, client.post("/loans", "x")).await;
    assert!(call.is_err(), "{call:?}");
    let runs = client.get("/v1/runs").await.json();
    assert_eq!(runs, json!({ "total": 1, "unkeyed": 1, "keys": {} }));
}

#[tokio::test]
async fn calls_beyond_the_slots_wait_and_show_in_the_report() {
    let cfg = Config {
        slots: 1,
        call_ms: 3_600_000,
        ..Config::default()
    };
    let plain = plain::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(plain.address());
    let call = |client: Client| tokio::spawn(async move { client.post("/loans", "x").await });
    let calls = [
        call(client.clone()),
        call(client.clone()),
        call(client.clone()),
    ];
    client
        .until("/v1/report", |report| {
            report["running"] == 1 && report["waiting"] == 2
        })
        .await;
    plain.set_faults(Faults {
        report_lag_ms: 60_000,
        ..Faults::default()
    });
    let report = client.get("/v1/report").await.json();
    assert_eq!(
        (&report["running"], &report["waiting"]),
        (&json!(0), &json!(0))
    );
    plain.set_faults(Faults::default());
    for call in calls {
        call.abort();
    }
    client
        .until("/v1/report", |report| {
            report["running"] == 0 && report["waiting"] == 0
        })
        .await;
}
