//! Answers of which a part has reached the caller, and what ends them.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;
#[path = "support/scripted.rs"]
mod scripted;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use self::hosted::{Arrived, Daemon, HOST, receive, send, wait_until};
use self::hosting::Store;
use self::scripted::{Received, Step, chunk, start_target};

/// From this size on, an answer without events is forwarded before it is complete.
const HOLD_BYTES_MAX: usize = 1_000;

fn configuration() -> Value {
    let route = |name: &str, kind: &str, is_resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 8_000, "target_latency_ms": 1_000, "service": "s1", "max_attempts": 3,
            "resumable": is_resumable
        })
    };
    json!({
        "version": 1,
        "routes": [route("list", "idempotent", false), route("stream", "streaming", true)],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    })
}

/// A daemon with one target.
struct Fixture {
    daemon: Daemon,
}

impl Fixture {
    /// Starts a daemon and a target, which answers as `script` says, and waits until requests reach the target. Those
    /// of this wait have the path `/list/ready`.
    async fn start(
        tune: impl FnOnce(&mut Value),
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let target = start_target(move |received| match received.attempt() {
            "ready" => whole(received, "ready"),
            _ => script(received),
        });
        let target = target.await;
        let (store, store_address) = Store::start().await;
        store.configure(configuration());
        store.add_target("i-1", server(target));
        let daemon = Daemon::start_with(store_address, |settings| {
            settings["targets"] = json!({"hold_bytes_max": HOLD_BYTES_MAX});
            tune(settings);
        });
        let fixture = Self { daemon };
        wait_until("the target answers", async || {
            let headers = headers("ready");
            let at = fixture.daemon.callers;
            let answer = send(at, Method::POST, "/list/ready", &headers, "body").await;
            answer.is_some_and(|answer| answer.status() == 200)
        })
        .await;
        fixture
    }

    /// Sends a request whose attempt has this id, and reads the body of the answer after a pause.
    async fn call(&self, path: &str, attempt: &str, pause: Duration) -> Arrived {
        let (at, headers) = (self.daemon.callers, headers(attempt));
        let arrived = receive(at, Method::POST, path, &headers, "body", pause).await;
        arrived.expect("an answer")
    }

    /// Returns how often an event at an edge of the daemon occurred.
    async fn edge_events(&self, event: &str) -> f64 {
        let at = self.daemon.operators;
        let metrics = send(at, Method::GET, "/metrics", &[], "").await;
        let metrics = metrics.expect("an answer");
        let text = String::from_utf8_lossy(metrics.body()).into_owned();
        let name = format!("bulrushtrestle_edge_events_total{{event=\"{event}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&name));
        value.map_or(0.0, |value| value.parse().expect("a number"))
    }
}

fn headers(attempt: &str) -> [(&str, &str); 3] {
    [
        ("attempt-id", attempt),
        ("authorization", "Bearer k1"),
        ("deadline-ms", "8000"),
    ]
}

fn server(address: SocketAddr) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "sequence": 1
    })
}

/// Returns an answer with a length.
fn whole(received: &Received, body: &str) -> Vec<Step> {
    let fields = format!("content-length: {}\r\n", body.len());
    let head = received.head("200 OK", &fields);
    vec![Step::Send([head.as_str(), body].concat().into_bytes())]
}

/// Guards against an answer without events that breaks off after a part of it was forwarded, and is then completed with the
/// body of a second attempt.
#[tokio::test]
async fn an_answer_without_events_is_not_continued_with_another() {
    struct Case {
        name: &'static str,
        /// Returns the lines of the head that say how the body of this length ends.
        fields: fn(usize) -> String,
        /// Encodes a part of the body.
        encode: fn(&str) -> String,
        /// How the connection breaks off.
        end: Step,
    }
    let cases = [
        Case {
            name: "with a length",
            fields: |length| format!("content-length: {length}\r\n"),
            encode: str::to_owned,
            end: Step::Wait(Duration::ZERO),
        },
        Case {
            name: "in chunks",
            fields: |_| "transfer-encoding: chunked\r\n".to_owned(),
            encode: chunk,
            end: Step::Wait(Duration::ZERO),
        },
        Case {
            name: "without a length",
            fields: |_| String::new(),
            encode: str::to_owned,
            end: Step::Reset,
        },
    ];
    let body: String = (0..200).map(|line| format!("line {line:04}\n")).collect();
    let part = body[..2 * HOLD_BYTES_MAX - 500].to_owned();
    for Case {
        name,
        fields,
        encode,
        end,
    } in cases
    {
        let (sent_whole, sent_part) = (body.clone(), part.clone());
        let has_broken = AtomicBool::new(false);
        let script = move |received: &Received| {
            let is_first = !has_broken.load(Ordering::Relaxed);
            if received.attempt() == "broken" && is_first {
                has_broken.store(true, Ordering::Relaxed);
                let head = received.head("200 OK", &fields(sent_whole.len()));
                let sent = [head, encode(&sent_part)].concat().into_bytes();
                return vec![
                    Step::Send(sent),
                    Step::Wait(Duration::from_millis(100)),
                    end.clone(),
                ];
            }
            let mut steps = vec![Step::Wait(Duration::from_millis(500))];
            steps.extend(whole(received, &sent_whole));
            steps
        };
        let fixture = Fixture::start(|_| {}, script).await;
        let call = |attempt| fixture.call("/list/x", attempt, Duration::ZERO);
        let (sound, broken) = tokio::join!(call("sound"), call("broken"));
        assert!(sound.is_complete, "{name}");
        assert_eq!(sound.answer.body(), body.as_bytes(), "{name}");
        let text = String::from_utf8_lossy(broken.answer.body()).into_owned();
        assert!(!broken.is_complete, "{name}: complete: {text}");
        assert!(part.starts_with(&text), "{name}: {text}");
        let broken_off = fixture.edge_events("target_unresumable").await;
        assert_eq!(broken_off, 1.0, "{name}");
    }
}

/// Guards against an answer that is abandoned because its caller does not read it, and whose beginning reaches the caller as
/// a complete answer when it reads on.
#[tokio::test]
async fn an_answer_that_was_left_unread_ends_as_broken_off() {
    struct Case {
        name: &'static str,
        path: &'static str,
        fields: &'static str,
        encode: fn(&str) -> String,
    }
    let cases = [
        Case {
            name: "in chunks",
            path: "/list/x",
            fields: "transfer-encoding: chunked\r\n",
            encode: chunk,
        },
        Case {
            name: "without a length",
            path: "/list/x",
            fields: "",
            encode: str::to_owned,
        },
        Case {
            name: "a stream",
            path: "/stream/x",
            fields: "content-type: text/event-stream\r\n",
            encode: str::to_owned,
        },
    ];
    /// More than the connections and the router buffer.
    const EVENTS: usize = 400;
    for case in cases {
        let (fields, encode) = (case.fields, case.encode);
        let script = move |received: &Received| {
            let head = received.head("200 OK", fields).into_bytes();
            let text = "x".repeat(64 * 1024);
            let event = |id| Step::Send(encode(&format!("id: {id}\ndata: {text}\n\n")).into());
            std::iter::once(Step::Send(head))
                .chain((1..=EVENTS).map(event))
                .chain([Step::Send(match fields.contains("chunked") {
                    true => b"0\r\n\r\n".to_vec(),
                    false => Vec::new(),
                })])
                .collect()
        };
        let tune = |settings: &mut Value| settings["callers"]["unread_timeout_ms"] = json!(300);
        let fixture = Fixture::start(tune, script).await;
        let arrived = fixture.call(case.path, "a1", Duration::from_secs(2)).await;
        let read = arrived.answer.body().len();
        assert!(read < EVENTS * 64 * 1024, "{}: {read} bytes", case.name);
        assert!(!arrived.is_complete, "{}: {read} bytes", case.name);
        let unread = fixture.edge_events("caller_unread").await;
        assert_eq!(unread, 1.0, "{}", case.name);
    }
}

/// Returns events with these ids, in chunks, without the end of the body.
fn events(ids: impl IntoIterator<Item = u64>) -> String {
    let event = |id| chunk(&format!("id: {id}\ndata: piece {id}\n\n"));
    ids.into_iter().map(event).collect()
}

/// The head lines of a stream in chunks.
const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Guards against an answer to a resumed request that is appended to the stream, or ends it as complete, although it is an
/// error, has another format or has no event.
#[tokio::test]
async fn a_resumed_stream_is_continued_only_by_a_success_with_events() {
    struct Case {
        name: &'static str,
        status: &'static str,
        fields: &'static str,
        body: &'static str,
        /// Whether the stream is continued.
        is_whole: bool,
    }
    const REST: &str = "id: 4\ndata: piece 4\n\n";
    let case = |name, status, fields, body, is_whole| Case {
        name,
        status,
        fields,
        body,
        is_whole,
    };
    let stream = "content-type: text/event-stream\r\n";
    let text = "content-type: text/plain\r\n";
    let cases = [
        case("continued", "200 OK", stream, REST, true),
        case(
            "continued, with a parameter",
            "200 OK",
            "content-type: Text/Event-Stream; charset=utf-8\r\n",
            REST,
            true,
        ),
        case("no such run", "404 Not Found", text, "no such run", false),
        case("a bad request", "400 Bad Request", stream, REST, false),
        case(
            "an error",
            "500 Internal Server Error",
            text,
            "it failed",
            false,
        ),
        case("no content", "204 No Content", stream, "", false),
        case(
            "sent elsewhere",
            "307 Temporary Redirect",
            "location: /y\r\n",
            "see /y",
            false,
        ),
        case("another type", "200 OK", text, REST, false),
        case(
            "encoded",
            "200 OK",
            "content-type: text/event-stream\r\ncontent-encoding: gzip\r\n",
            REST,
            false,
        ),
        case("no event", "200 OK", stream, "", false),
        case("a comment", "200 OK", stream, ": nothing\n\n", false),
    ];
    for case in cases {
        let (status, fields, rest) = (case.status, case.fields, case.body);
        let script = move |received: &Received| {
            let sent = match received.last_event_id() {
                // An id that falls ends an attempt without the looks of a crash.
                None => received.head("200 OK", STREAM) + &events([1, 2, 3, 1]),
                Some(from) => {
                    assert_eq!(from, 3, "{status}");
                    let length = format!("{fields}content-length: {}\r\n", rest.len());
                    received.head(status, &length) + rest
                }
            };
            vec![Step::Send(sent.into_bytes())]
        };
        let fixture = Fixture::start(|_| {}, script).await;
        let arrived = fixture.call("/stream/x", "a1", Duration::ZERO).await;
        let body = String::from_utf8_lossy(arrived.answer.body()).into_owned();
        let pieces: Vec<usize> = (1..=4)
            .map(|id| body.matches(&format!("piece {id}\n")).count())
            .collect();
        assert_eq!(arrived.is_complete, case.is_whole, "{}: {body}", case.name);
        let due = usize::from(case.is_whole);
        assert_eq!(pieces, [1, 1, 1, due], "{}: {body}", case.name);
        assert!(
            !body.contains("no such run") && !body.contains("see /y"),
            "{}",
            case.name
        );
    }
}

/// Guards against a stream that is joined from two runs of a request, because the second attempt does not resume it but
/// starts again, leaves events out or has other events.
#[tokio::test]
async fn a_stream_is_never_joined_from_two_runs() {
    struct Case {
        name: &'static str,
        /// The events of a resumed request.
        second: &'static str,
        is_whole: bool,
    }
    let case = |name, second, is_whole| Case {
        name,
        second,
        is_whole,
    };
    let cases = [
        case("goes on", "4 5", true),
        case("starts again", "1 2 3 4 5", false),
        case("repeats the last event", "3 4 5", false),
        case("leaves an event out", "5", false),
        case("begins without an id", "- 4 5", false),
        case("has no id", "- -", false),
    ];
    for case in cases {
        let second = case.second;
        let script = move |received: &Received| {
            let mut sent = received.head("200 OK", STREAM);
            match received.last_event_id() {
                None => sent.push_str(&events([1, 2, 3, 1])),
                Some(_) => {
                    for event in second.split_whitespace() {
                        sent.push_str(&match event {
                            "-" => chunk("data: without an id\n\n"),
                            id => chunk(&format!("id: {id}\ndata: second run, piece {id}\n\n")),
                        });
                    }
                    sent.push_str("0\r\n\r\n");
                }
            }
            vec![Step::Send(sent.into_bytes())]
        };
        let fixture = Fixture::start(|_| {}, script).await;
        let arrived = fixture.call("/stream/x", "a1", Duration::ZERO).await;
        let body = String::from_utf8_lossy(arrived.answer.body()).into_owned();
        assert_eq!(arrived.is_complete, case.is_whole, "{}: {body}", case.name);
        let first = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";
        let rest = "id: 4\ndata: second run, piece 4\n\nid: 5\ndata: second run, piece 5\n\n";
        let expected = match case.is_whole {
            true => [first, rest].concat(),
            false => first.to_owned(),
        };
        assert_eq!(body, expected, "{}", case.name);
    }
}

/// Guards against a stream of which only an event with the id 0 has arrived, and that is joined with a new run of the request
/// because the second target was not told the event.
#[tokio::test]
async fn a_stream_is_resumed_after_an_event_with_the_id_0() {
    let has_broken = AtomicBool::new(false);
    let script = move |received: &Received| {
        let mut steps = Vec::new();
        let mut sent = received.head("200 OK", STREAM);
        let is_first = received.attempt() == "broken" && !has_broken.load(Ordering::Relaxed);
        match received.last_event_id() {
            None if is_first => {
                has_broken.store(true, Ordering::Relaxed);
                sent.push_str(&events([0]));
            }
            None => {
                steps.push(Step::Wait(Duration::from_millis(500)));
                sent.push_str(&chunk("id: 0\ndata: another run\n\n"));
                sent.push_str(&chunk("id: 1\ndata: another run\n\n"));
                sent.push_str("0\r\n\r\n");
            }
            Some(from) => sent.push_str(&(events(from + 1..=2) + "0\r\n\r\n")),
        }
        steps.push(Step::Send(sent.into_bytes()));
        steps
    };
    let fixture = Fixture::start(|_| {}, script).await;
    let call = |attempt| fixture.call("/stream/x", attempt, Duration::ZERO);
    // The router learns with which id the streams of the route begin.
    assert!(call("first").await.is_complete);
    let (_, broken) = tokio::join!(call("sound"), call("broken"));
    let body = String::from_utf8_lossy(broken.answer.body()).into_owned();
    let pieces = "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    assert_eq!(body, pieces);
    assert!(broken.is_complete);
}

/// Guards against an answer that ends as complete at a length that its body does not have.
#[tokio::test]
async fn an_answer_has_the_length_of_its_body() {
    struct Case {
        name: &'static str,
        method: Method,
        status: &'static str,
        fields: &'static str,
        is_chunked: bool,
        bytes: usize,
        /// The length that the caller is told, if it is told one.
        length: Option<&'static str>,
    }
    const LONG: usize = 4 * HOLD_BYTES_MAX;
    let case = |name, fields, is_chunked, bytes, length| Case {
        name,
        method: Method::POST,
        status: "200 OK",
        fields,
        is_chunked,
        bytes,
        length,
    };
    let cases = [
        case(
            "long",
            "content-length: 4000\r\n",
            false,
            LONG,
            Some("4000"),
        ),
        case("without a length", "", false, LONG, None),
        case("short, without a length", "", false, 10, Some("10")),
        case(
            "chunks beside a length",
            "content-length: 2500\r\ntransfer-encoding: chunked\r\n",
            true,
            LONG,
            None,
        ),
        case(
            "short chunks beside a length",
            "content-length: 5\r\ntransfer-encoding: chunked\r\n",
            true,
            10,
            Some("10"),
        ),
        Case {
            method: Method::HEAD,
            ..case(
                "of a head",
                "content-length: 4000\r\n",
                false,
                0,
                Some("4000"),
            )
        },
        Case {
            status: "304 Not Modified",
            ..case(
                "not modified",
                "content-length: 4000\r\n",
                false,
                0,
                Some("4000"),
            )
        },
        Case {
            status: "204 No Content",
            ..case("no content", "", false, 0, None)
        },
    ];
    for case in cases {
        let text = "x".repeat(case.bytes);
        let body = match case.is_chunked {
            true => chunk(&text) + "0\r\n\r\n",
            false => text.clone(),
        };
        let (status, fields) = (case.status, case.fields);
        let script = move |received: &Received| {
            let head = received.head(status, fields);
            vec![Step::Send([head.as_str(), &body].concat().into_bytes())]
        };
        let fixture = Fixture::start(|_| {}, script).await;
        let (at, headers) = (fixture.daemon.callers, headers("a1"));
        let pause = Duration::ZERO;
        let arrived = receive(at, case.method, "/list/x", &headers, "body", pause).await;
        let arrived = arrived.expect("an answer");
        assert!(arrived.is_complete, "{}", case.name);
        assert_eq!(arrived.answer.body().len(), case.bytes, "{}", case.name);
        let length = arrived.answer.headers().get("content-length");
        let length = length.and_then(|length| length.to_str().ok());
        assert_eq!(length, case.length, "{}", case.name);
    }
}

/// Guards against a caller whose connection changes its protocol in the middle, because a target says so.
#[tokio::test]
async fn a_switch_of_protocols_does_not_reach_the_caller() {
    let script = |received: &Received| {
        let head = received.head("101 Switching Protocols", "upgrade: other\r\n");
        vec![Step::Send(head.into_bytes())]
    };
    let fixture = Fixture::start(|_| {}, script).await;
    for path in ["/list/x", "/stream/x"] {
        let arrived = fixture.call(path, "a1", Duration::ZERO).await;
        assert_eq!(arrived.answer.status(), 502, "{path}");
    }
}
