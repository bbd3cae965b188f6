//! Answers: whole, broken, cancelled, and what runs meanwhile.

use bulrushtrestle_standin::engine::{Config, Faults, StreamEnd, StreamFault};
use bulrushtrestle_standin::target::OTHER_ATTEMPT;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};

use super::{CHAT, chat, endless, spawn, tokens};
use crate::client::{Answer, WATCH};

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
    let marked = client.post(CHAT, chat("[echo=mine]", 1)).await;
    assert_eq!(content(&marked), "mine-1 ");
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
