//! Tests of request and stream parsing, the ends of answers, scheduling lag and withdrawn targets.

use std::time::{Duration, Instant};

use bulrushtrestle_core::request::{Class, Repeat};
use bulrushtrestle_core::verdict::Reason;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use http_body_util::BodyExt;
use serde_json::Value;

use crate::control::Withdrawn;
use crate::traffic::lag::Lag;
use crate::traffic::parse::{Chat, Options};
use crate::traffic::reply::{Reply, SendError, stream_head};
use crate::traffic::sse::{EVENT_BYTES_MAX, Splitter};

const KEY_V7: &str = "01934f3c-5b1a-7c3e-8a4d-2f6b9e0c1d2e";
const KEY_V4: &str = "01934f3c-5b1a-4c3e-8a4d-2f6b9e0c1d2e";

#[test]
fn optional_headers_are_taken_or_refused() {
    struct Case {
        header: (&'static str, &'static str),
        refused: Option<Reason>,
    }
    let good = |name, value| Case {
        header: (name, value),
        refused: None,
    };
    let bad = |name, value, reason| Case {
        header: (name, value),
        refused: Some(reason),
    };
    let cases = [
        good("idempotency-key", KEY_V7),
        bad("idempotency-key", KEY_V4, Reason::KeyInvalid),
        bad("idempotency-key", "order-7", Reason::KeyInvalid),
        bad("idempotency-key", "", Reason::KeyInvalid),
        good("x-cost-hint", "0"),
        good("x-cost-hint", "4294967295"),
        bad("x-cost-hint", "4294967296", Reason::Malformed),
        bad("x-cost-hint", "-1", Reason::Malformed),
        bad("x-cost-hint", "many", Reason::Malformed),
        good("x-deadline-ms", "1"),
        bad("x-deadline-ms", "0", Reason::Malformed),
        bad("x-deadline-ms", "86400001", Reason::Malformed),
        good("x-class", "batch"),
        bad("x-class", "Batch", Reason::Malformed),
        bad("x-class", "urgent", Reason::Malformed),
    ];
    for case in cases {
        let outcome = Options::read(&headers(&[case.header]));
        let reason = outcome.err().map(|refusal| refusal.reason);
        assert_eq!(reason, case.refused, "{:?}", case.header);
    }
    let options = Options::read(&headers(&[("x-class", "batch")])).expect("the class is known");
    assert_eq!(options.class, Some(Class::Batch));
}

#[test]
fn calls_that_may_not_be_repeated_are_known_by_method_and_key() {
    let key = uuid::Uuid::parse_str(KEY_V7).expect("the key is a UUID");
    let cases = [
        (Method::GET, None, Repeat::Allowed),
        (Method::HEAD, None, Repeat::Allowed),
        (Method::OPTIONS, None, Repeat::Allowed),
        (Method::POST, None, Repeat::Unkeyed),
        (Method::PUT, None, Repeat::Unkeyed),
        (Method::DELETE, None, Repeat::Unkeyed),
        (Method::GET, Some(KEY_V7), Repeat::Once(key)),
        (Method::POST, Some(KEY_V7), Repeat::Once(key)),
    ];
    for (method, key, expected) in cases {
        let headers: Vec<_> = key.iter().map(|&key| ("idempotency-key", key)).collect();
        let options = Options::read(&self::headers(&headers)).expect("the key is valid");
        assert_eq!(options.repeat_plain(&method), expected, "{method} {key:?}");
    }
}

#[test]
fn chat_bodies_are_read_or_refused() {
    let cases = [
        (
            r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#,
            true,
        ),
        (
            r#"{"model":"m","messages":[{"content":[{"type":"text","text":"hi"}]}]}"#,
            true,
        ),
        (r#"{"model":"m","messages":[]}"#, false),
        (r#"{"model":"","messages":[{"content":"hi"}]}"#, false),
        (r#"{"messages":[{"content":"hi"}]}"#, false),
        (
            r#"{"model":"m","stream":"yes","messages":[{"content":"hi"}]}"#,
            false,
        ),
        (r#"{"model":"m","messages":[{"content":"hi"}]"#, false),
        ("", false),
        ("null", false),
    ];
    for (body, good) in cases {
        let outcome = Chat::read(&Bytes::from_static(body.as_bytes()));
        assert_eq!(outcome.is_ok(), good, "{body}");
    }
}

#[test]
fn the_engine_is_always_asked_to_stream() {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"eight by"}],"top_p":0.5}"#;
    let chat = Chat::read(&Bytes::from_static(body.as_bytes())).expect("the body is valid");
    let sent: Value = serde_json::from_slice(&chat.body).expect("the new body is JSON");
    assert!(!chat.stream);
    assert_eq!(sent["stream"], Value::Bool(true));
    assert_eq!(sent["top_p"], serde_json::json!(0.5));
    assert_eq!(chat.prompt_tokens, 2);
}

#[test]
fn the_prefix_is_that_of_the_leading_part() {
    let chat = |text: &str| {
        let body = serde_json::json!({ "model": "m", "messages": [{ "content": text }] });
        Chat::read(&body.to_string().into())
            .expect("the body is valid")
            .prefix
    };
    let lead = "x".repeat(2_000);
    assert_eq!(chat(&format!("{lead}a")), chat(&format!("{lead}b")));
    assert_ne!(chat("a"), chat("b"));
}

#[test]
fn events_are_split_the_same_wherever_the_pieces_end() {
    let text = b": hello\n\nid: 1\ndata: {}\n\nid: 2\r\ndata: {}\r\n\r\ndata: [DONE]\n\n";
    for size in 1..=text.len() {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk).expect("the events are small");
            events.extend(std::iter::from_fn(|| splitter.next()));
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [None, Some(1), Some(2), None], "chunks of {size}");
        let ends: Vec<_> = events.iter().map(|event| event.is_end).collect();
        assert_eq!(ends, [false, false, false, true], "chunks of {size}");
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        assert_eq!(raw, text, "chunks of {size}");
    }
}

#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; EVENT_BYTES_MAX / 2];
    let refused = (0..8).any(|_| splitter.push(&chunk).is_err());
    assert!(refused);
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|&(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn lag_is_that_of_the_last_tick_or_of_an_overdue_tick() {
    struct Case {
        name: &'static str,
        /// When the timer task ran, in milliseconds since the start.
        ran: &'static [u64],
        now: u64,
        late: u64,
    }
    let cases = [
        Case {
            name: "in time",
            ran: &[0, 20, 40],
            now: 55,
            late: 0,
        },
        Case {
            name: "the last tick was late",
            ran: &[0, 20, 240],
            now: 250,
            late: 200,
        },
        Case {
            name: "the next tick is overdue",
            ran: &[0, 20],
            now: 340,
            late: 300,
        },
        Case {
            name: "in time again",
            ran: &[0, 20, 240, 260],
            now: 270,
            late: 0,
        },
    ];
    for case in cases {
        let lag = Lag::new();
        for &at in case.ran {
            lag.record(Duration::from_millis(at));
        }
        let late = lag.at(Duration::from_millis(case.now));
        assert_eq!(late, Duration::from_millis(case.late), "{}", case.name);
    }
}

#[test]
fn a_target_is_withdrawn_until_it_may_be_used_again() {
    let withdrawn = Withdrawn::default();
    assert!(!withdrawn.contains("i-1", Instant::now()));
    for (may_be_used, is_withdrawn) in [(false, true), (false, true), (true, false), (false, true)]
    {
        withdrawn.record("i-1", may_be_used);
        assert_eq!(withdrawn.contains("i-1", Instant::now()), is_withdrawn);
    }
    // The number of names is bounded, and the oldest name is dropped.
    for index in 0..1_024 {
        withdrawn.record(&format!("other-{index}"), false);
    }
    assert!(!withdrawn.contains("i-1", Instant::now()));
    assert!(withdrawn.contains("other-0", Instant::now()));
}

/// A pause ends by itself; of two, the longer one counts; a target that is leaving stays withdrawn.
#[test]
fn a_paused_target_is_withdrawn_for_the_time() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let withdrawn = Withdrawn::default();
    withdrawn.pause("i-1", now, Duration::from_millis(500));
    withdrawn.pause("i-1", at(100), Duration::from_millis(100));
    for (millis, is_withdrawn) in [(0, true), (499, true), (500, false)] {
        assert_eq!(
            withdrawn.contains("i-1", at(millis)),
            is_withdrawn,
            "{millis}"
        );
    }
    withdrawn.pause("i-2", now, Duration::MAX);
    assert!(withdrawn.contains("i-2", at(10_000)));
    withdrawn.resume("i-2");
    assert!(!withdrawn.contains("i-2", now));
    withdrawn.record("i-2", false);
    withdrawn.resume("i-2");
    assert!(withdrawn.contains("i-2", now));
}

/// What the task that serves a request does with its answer after the last chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Serving {
    Finishes,
    Drops,
    Panics,
}

/// Guards against an answer that reaches its caller as complete although the task that serves the request has abandoned it:
/// the caller did not read, the task panicked, or it returned early.
#[tokio::test]
async fn an_answer_is_complete_only_if_it_was_finished() {
    struct Case {
        name: &'static str,
        /// The chunks that are sent before the caller reads one.
        chunks: usize,
        /// How many of them are buffered.
        buffered: usize,
        serving: Serving,
    }
    const UNREAD_TIMEOUT: Duration = Duration::from_millis(20);
    let case = |name, chunks, buffered, serving| Case {
        name,
        chunks,
        buffered,
        serving,
    };
    let cases = [
        case("finished without a chunk", 0, 0, Serving::Finishes),
        case("finished", 1, 1, Serving::Finishes),
        case("finished, without room for more", 4, 4, Serving::Finishes),
        case("dropped without a chunk", 0, 0, Serving::Drops),
        case("dropped", 1, 1, Serving::Drops),
        case("dropped, without room for more", 4, 4, Serving::Drops),
        case("unread", 5, 4, Serving::Drops),
        case("panicked", 1, 1, Serving::Panics),
    ];
    for case in cases {
        let (mut reply, answer) = Reply::new(UNREAD_TIMEOUT);
        let serving = tokio::spawn(async move {
            let disconnect = reply.disconnect_watch();
            reply.begin(stream_head());
            let mut sent = Vec::new();
            for _ in 0..case.chunks {
                sent.push(reply.send(Bytes::from_static(b"x")).await);
            }
            let unread = sent.iter().filter(|sent| **sent == Err(SendError::Timeout));
            assert_eq!(unread.count(), case.chunks - case.buffered, "{}", case.name);
            match case.serving {
                Serving::Finishes => reply.finish(),
                Serving::Drops => {}
                Serving::Panics => panic!("the task that serves the request panics"),
            }
            drop(disconnect);
        });
        let panicked = serving.await.is_err();
        assert_eq!(panicked, case.serving == Serving::Panics, "{}", case.name);
        let mut body = answer.response().await.into_body();
        let mut read = 0;
        let is_complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(_)) => read += 1,
            }
        };
        assert_eq!(read, case.buffered, "{}", case.name);
        let is_finished = case.serving == Serving::Finishes;
        assert_eq!(is_complete, is_finished, "{}", case.name);
    }
}
