//! The daemon as a process on a hosting platform. The platform's store and the targets are
//! stand-ins; callers use plain HTTP.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use self::hosted::{Daemon, HOST, WAIT_TIMEOUT, send, wait_until};
use self::hosting::{Behaviour, EndlessTarget, Store, Target};

/// Returns a configuration whose organisation `t1` accepts these API keys.
fn configuration(version: u32, timeout_ms: u32, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 1000, "service": "s1",
            "max_attempts": attempts, "anonymous": false
        })
    };
    json!({
        "version": version,
        "routes": [route("once", "non_idempotent", 1), route("again", "idempotent", 2)],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": keys}]
    })
}

/// Returns the store's record of a target.
fn server(address: SocketAddr, state: &str, sequence: u32) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": state, "cold_left_ms": 0, "sequence": sequence
    })
}

/// Starts a store with a configuration, a target and a daemon, and waits until the daemon
/// serves requests.
async fn start() -> (Arc<Store>, Arc<Target>, SocketAddr, Daemon) {
    let (store, store_address) = Store::start().await;
    let (target, address) = Target::start("i-1").await;
    store.put("keyed.op", "config", Some(configuration(1, 2_000, &["k1"])));
    store.put("keyed.servers", "i-1", Some(server(address, "ready", 1)));
    let daemon = Daemon::start(store_address);
    wait_until("ready", async || daemon.is_ready().await).await;
    wait_until("a target is known", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
    (store, target, address, daemon)
}

#[tokio::test]
async fn requests_are_passed_on_with_only_the_routers_headers_changed() {
    let (_store, target, _, daemon) = start().await;
    let before = target.requests().len();
    let answer = daemon.call(Method::POST, "/once/a?b=c").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["server-stamp"], "proof");
    assert_eq!(&answer.body()[..], b"the answer");
    let requests = target.requests().split_off(before);
    let head = requests.first().expect("the target ran the request");
    assert_eq!(head["tenant"], "t1");
    assert_eq!(head["expect-instance"], "i-1");
    assert_eq!(head["attempt-id"], "a1");
    assert!(!head.contains_key("authorization"));
    let left: u32 = head["deadline-ms"]
        .to_str()
        .expect("text")
        .parse()
        .expect("a number");
    assert!((1..=2_000).contains(&left), "{left}");
}

#[tokio::test]
async fn the_directory_lists_serving_routers() {
    let (store, _, _, daemon) = start().await;
    let path = "/bulrushtrestle/resolve?name=h.example&region=north&zone=dc-a";
    let answer = send(daemon.directory, Method::GET, path, &[], "").await;
    let answer: Value = serde_json::from_slice(answer.expect("an answer").body()).expect("JSON");
    assert_eq!(answer["addresses"], json!([daemon.callers]));
    // The store has two records: the router's own and the fleet's key.
    wait_until("announced", async || store.keys("keyed.routers").len() == 2).await;
    let metrics = send(daemon.operators, Method::GET, "/metrics", &[], "").await;
    let metrics = metrics.expect("an answer");
    let text = String::from_utf8_lossy(metrics.body());
    // `start` dispatched one request, to check that the target is known.
    for name in [
        "bulrushtrestle_request_seconds_bucket",
        "bulrushtrestle_dispatch_waited_seconds_bucket{turn=\"due\"",
        "bulrushtrestle_dispatch_targets_age_seconds_count 1",
        "bulrushtrestle_dispatch_peers_heard_count 1",
    ] {
        assert!(text.contains(name), "{name} in {text}");
    }
    let hidden = send(daemon.operators, Method::GET, "/status", &[], "").await;
    assert_eq!(hidden.expect("an answer").status(), 401);
}

struct Case {
    name: &'static str,
    behaviour: Behaviour,
    path: &'static str,
    status: u16,
    /// How many times the target ran the request.
    runs: usize,
}

#[tokio::test]
async fn the_outcome_of_a_request_is_reported_correctly() {
    let cases = [
        Case {
            name: "a full target does not run the request",
            behaviour: Behaviour::Full,
            path: "/once/x",
            status: 503,
            runs: 0,
        },
        Case {
            name: "a failure of the target is passed on and the call is not retried",
            behaviour: Behaviour::Failing,
            path: "/once/x",
            status: 500,
            runs: 1,
        },
        Case {
            name: "a call that may be retried is retried up to the limit of its route",
            behaviour: Behaviour::Failing,
            path: "/again/x",
            status: 500,
            runs: 2,
        },
        Case {
            name: "an answer to another attempt is dropped",
            behaviour: Behaviour::WrongAttempt,
            path: "/once/x",
            status: 502,
            runs: 1,
        },
        Case {
            name: "no answer by the route's timeout",
            behaviour: Behaviour::Unresponsive,
            path: "/once/x",
            status: 504,
            runs: 1,
        },
    ];
    for case in cases {
        let (_store, target, _, daemon) = start().await;
        let before = target.requests().len();
        target.set_behaviour(case.behaviour);
        let answer = daemon.call(Method::POST, case.path).await;
        assert_eq!(answer.status(), case.status, "{}", case.name);
        assert_eq!(target.requests().len() - before, case.runs, "{}", case.name);
    }
}

/// Guards against endless answers: they must neither keep a request open beyond its route's
/// timeout nor fill memory.
#[tokio::test]
async fn endless_answers_are_cut_off_by_the_timeout() {
    const FILLER: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: proof\r\n";
    struct Case {
        name: &'static str,
        first: &'static str,
        repeated: &'static str,
    }
    let chunked = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: proof\r\ntransfer-encoding: chunked\r\n\r\n";
    let failed = "HTTP/1.1 500 E\r\nattempt-id: a1\r\nserver-stamp: proof\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            name: "no answer at all",
            first: FILLER,
            repeated: FILLER,
        },
        Case {
            name: "one endless header line",
            first: HEAD,
            repeated: FILLER,
        },
        Case {
            name: "endless header lines",
            first: HEAD,
            repeated: "x-more: 0123456789abcdef0123456789abcdef\r\n",
        },
        Case {
            name: "the body of a success",
            first: chunked,
            repeated: "10\r\n0123456789abcdef\r\n",
        },
        Case {
            name: "the body of a failure",
            first: failed,
            repeated: "10\r\n0123456789abcdef\r\n",
        },
        Case {
            name: "an extension of a chunk",
            first: chunked,
            repeated: "1;x=0123456789abcdef",
        },
    ];
    let (store, _, _, daemon) = start().await;
    let mut sent = 0;
    for (index, case) in cases.into_iter().enumerate() {
        let (target, address) = EndlessTarget::start(case.first, case.repeated).await;
        store.put("keyed.servers", "i-1", None);
        let key = format!("i-{}", index + 2);
        store.put("keyed.servers", &key, Some(server(address, "ready", 1)));
        let began = Instant::now();
        wait_until(case.name, async || {
            // The body of a success is passed on as it arrives, so the caller
            // receives an incomplete answer.
            let headers = [("attempt-id", "a1"), ("authorization", "Bearer k1")];
            // The path differs each time: the router withholds content that was in
            // flight when a connection broke.
            sent += 1;
            let path = format!("/once/{sent}");
            let answer = send(daemon.callers, Method::POST, &path, &headers, "body");
            let answer = timeout(Duration::from_millis(2_500), answer).await;
            let answer =
                answer.unwrap_or_else(|_| panic!("{}: still open after the timeout", case.name));
            // Until the router has read the new record, the previous target answers.
            let has_received = target.counts().1 > 0;
            let is_complete = answer.is_some_and(|answer| answer.status() == 200);
            assert!(!(has_received && is_complete), "{}", case.name);
            has_received
        })
        .await;
        wait_until("the connection is closed", async || target.counts().0 == 0).await;
        store.put("keyed.servers", &key, None);
        assert!(began.elapsed() < WAIT_TIMEOUT, "{}", case.name);
    }
    assert!(daemon.is_ready().await);
    let resident = resident_mib(daemon.child.id());
    assert!(resident < 64, "{resident} MiB");
}

/// Returns the resident memory of a process in MiB.
fn resident_mib(process: u32) -> u64 {
    let status =
        fs::read_to_string(format!("/proc/{process}/status")).expect("the process is running");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok())
        .expect("a number")
        / 1_024
}

#[tokio::test]
async fn configuration_changes_take_effect_and_unknown_callers_are_refused() {
    let (store, _, address, daemon) = start().await;
    let nowhere = daemon.call(Method::POST, "/nowhere/x").await;
    assert_eq!(nowhere.status(), 404);
    let unknown = [("attempt-id", "a2"), ("authorization", "Bearer other")];
    let unknown = send(daemon.callers, Method::POST, "/again/x", &unknown, "").await;
    assert_eq!(unknown.expect("an answer").status(), 401);
    // A document that cannot be decoded changes nothing.
    store.put("keyed.op", "config", Some(json!({"version": 2})));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);
    store.put("keyed.op", "config", Some(configuration(3, 2_000, &["k2"])));
    wait_until("the key is no longer valid", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 401
    })
    .await;
    store.put("keyed.op", "config", Some(configuration(4, 2_000, &["k1"])));
    store.put("keyed.servers", "i-1", Some(server(address, "draining", 2)));
    wait_until("the target gets no requests", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 503
    })
    .await;
    store.put("keyed.op", "evacuate/dc-a", Some(json!({})));
    store.put("keyed.servers", "i-1", Some(server(address, "ready", 3)));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 503);
    store.put("keyed.op", "evacuate/dc-a", None);
    wait_until("the data centre serves again", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn a_router_keeps_serving_while_the_store_is_down_and_after_sighup() {
    let (store, _, _, daemon) = start().await;
    store.set_down(true);
    daemon.signal("HUP");
    // Longer than a router keeps serving without proof that its data is current, unless all
    // routers report the store as down.
    sleep(Duration::from_secs(4)).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);
    store.set_down(false);
    sleep(Duration::from_millis(500)).await;
    assert!(daemon.is_ready().await);
}

#[tokio::test]
async fn a_planned_stop_fails_readiness_first_and_then_exits() {
    let (_store, _, _, mut daemon) = start().await;
    daemon.signal("TERM");
    wait_until("not ready", async || !daemon.is_ready().await).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);
    wait_until(
        "exited",
        async || matches!(daemon.child.try_wait(), Ok(Some(status)) if status.success()),
    )
    .await;
}

/// Guards against a router that counts the time in which a caller sends its body as its own
/// backlog, and refuses the request.
#[tokio::test]
async fn a_slow_upload_is_not_counted_as_router_backlog() {
    let (_store, _, _, daemon) = start().await;
    let mut stream = TcpStream::connect(daemon.callers)
        .await
        .expect("the listener is open");
    let head = format!(
        "POST /again/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: a1\r\ndeadline-ms: 3000\r\n\
         authorization: Bearer k1\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbo"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the bytes are sent");
    sleep(Duration::from_millis(300)).await;
    stream.write_all(b"dy").await.expect("the bytes are sent");
    let mut answer = String::new();
    timeout(WAIT_TIMEOUT, stream.read_to_string(&mut answer))
        .await
        .expect("the answer arrives within the timeout")
        .expect("the answer can be read");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a router that goes on using a target that states in an answer that it is leaving,
/// while the store's record still shows it as ready.
#[tokio::test]
async fn a_target_that_states_that_it_is_leaving_gets_no_more_requests() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        path: &'static str,
        status: u16,
    }
    let cases = [
        Case {
            name: "in a success",
            behaviour: Behaviour::Leaving,
            path: "/once/x",
            status: 200,
        },
        Case {
            name: "in an error",
            behaviour: Behaviour::LeavingAndFailing,
            path: "/once/x",
            status: 500,
        },
    ];
    for case in cases {
        let (store, target, address, daemon) = start().await;
        target.set_behaviour(case.behaviour);
        let told = daemon.call(Method::POST, case.path).await;
        assert_eq!(told.status(), case.status, "{}", case.name);
        let arrived = target.arrived();
        target.set_behaviour(Behaviour::Good);
        // Records that say otherwise follow, and the store is down for a while.
        for sequence in 2..6 {
            store.put(
                "keyed.servers",
                "i-1",
                Some(server(address, "ready", sequence)),
            );
            store.set_down(sequence == 3);
            sleep(Duration::from_millis(300)).await;
            let refused = daemon.call(Method::POST, case.path).await;
            assert_eq!(refused.status(), 503, "{}", case.name);
        }
        assert_eq!(target.arrived(), arrived, "{}", case.name);
        let (other, address) = Target::start("i-2").await;
        store.put("keyed.servers", "i-2", Some(server(address, "ready", 1)));
        wait_until("another target serves", async || {
            daemon.call(Method::POST, case.path).await.status() == 200
        })
        .await;
        assert!(other.arrived() > 0, "{}", case.name);
        assert_eq!(target.arrived(), arrived, "{}", case.name);
    }
}

/// Guards against a router that sends requests to a target in the time for which it wants none.
#[tokio::test]
async fn a_target_that_pushes_back_is_left_alone_for_the_time_it_states() {
    let (_store, target, _, daemon) = start().await;
    target.set_behaviour(Behaviour::Pausing("1.5"));
    // The target states its time after this moment.
    let began = Instant::now();
    let refused = daemon.call(Method::POST, "/again/x").await;
    assert_eq!(refused.status(), 503);
    let wait = refused.headers()["retry-after"].to_str().expect("text");
    let wait: f64 = wait.parse().expect("seconds");
    assert!((1.0..=1.6).contains(&wait), "{wait}");
    let arrived = target.arrived();
    target.set_behaviour(Behaviour::Good);
    while began.elapsed() < Duration::from_millis(1_300) {
        assert_eq!(target.arrived(), arrived);
        let answer = daemon.call(Method::POST, "/again/x").await;
        // Towards the end, a request may wait until the target takes it.
        if began.elapsed() >= Duration::from_millis(1_450) {
            break;
        }
        assert_eq!(answer.status(), 503, "after {:?}", began.elapsed());
    }
    wait_until("the target serves again", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
    assert!(began.elapsed() >= Duration::from_millis(1_450));
}

/// When a target sends a second copy of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SecondCopy {
    /// Right after the first, while the connection idles.
    AtOnce,
    /// When the next request has been read on the connection, before its answer.
    BeforeNextAnswer,
    /// The same, without naming the request that it answers.
    BeforeNextAnswerUnnamed,
}

/// Serves one connection: each answer carries the attempt id of its request in its body, and the
/// first answer is sent twice. Returns how many requests arrived.
async fn answer_twice(mut stream: TcpStream, copy: SecondCopy) -> usize {
    let mut first: Option<(String, String)> = None;
    let mut received = Vec::new();
    let mut count = 0;
    loop {
        let mut bytes = [0; 4_096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return count,
            Ok(read) => received.extend_from_slice(&bytes[..read]),
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        if !text.ends_with("\r\n\r\nbody") {
            continue;
        }
        received.clear();
        count += 1;
        let id = text.split("attempt-id: ").nth(1).expect("it has an id");
        let id = id.split("\r\n").next().expect("the line ends");
        let length = id.len();
        let name = format!("attempt-id: {id}\r\n");
        let rest = format!("server-stamp: proof\r\ncontent-length: {length}\r\n\r\n{id}");
        let own = format!("HTTP/1.1 200 OK\r\n{name}{rest}");
        let unnamed = format!("HTTP/1.1 200 OK\r\n{rest}");
        let before = match (&first, copy) {
            (Some((named, _)), SecondCopy::BeforeNextAnswer) => named.as_str(),
            (Some((_, unnamed)), SecondCopy::BeforeNextAnswerUnnamed) => unnamed,
            _ => "",
        };
        let mut out = format!("{before}{own}");
        if first.is_none() && copy == SecondCopy::AtOnce {
            out.push_str(&own);
        }
        first.get_or_insert((own, unnamed));
        if stream.write_all(out.as_bytes()).await.is_err() {
            return count;
        }
    }
}

/// Guards against a caller that gets the answer of another: a target sends a second copy of an
/// answer, late, on a connection that is in use again.
#[tokio::test]
async fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    for copy in [
        SecondCopy::AtOnce,
        SecondCopy::BeforeNextAnswer,
        SecondCopy::BeforeNextAnswerUnnamed,
    ] {
        let (store, _, _, daemon) = start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_twice(stream, copy));
            }
        });
        store.put("keyed.servers", "i-1", None);
        store.put("keyed.servers", "i-2", Some(server(address, "ready", 1)));
        let (mut answered, mut number) = (0, 0);
        let began = Instant::now();
        while answered < 30 && began.elapsed() < WAIT_TIMEOUT {
            number += 1;
            let id = format!("a-{number}");
            let path = format!("/{}/{number}", ["once", "again"][number % 2]);
            let headers = [
                ("attempt-id", id.as_str()),
                ("deadline-ms", "3000"),
                ("authorization", "Bearer k1"),
            ];
            let answer = send(daemon.callers, Method::POST, &path, &headers, "body").await;
            let answer = answer.expect("an answer");
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            if answer.status() == 200 && body != "the answer" {
                assert_eq!(body, id, "{copy:?}");
                answered += 1;
            }
        }
        assert_eq!(answered, 30, "{copy:?}: after {number} requests");
    }
}

/// How a target delimits a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// Neither with a length nor in chunks: the stream ends with its connection.
    Connection,
    /// In chunks, of which the last one is sent.
    Chunks,
    /// With the length of the body that is sent.
    Length,
}

/// Serves one connection: answers a request with a body and closes the connection.
async fn answer_and_close(mut stream: TcpStream, framing: Framing, body: &'static str) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nbody") {
        let mut bytes = [0; 4_096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(read) => received.extend_from_slice(&bytes[..read]),
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let id = text.split("attempt-id: ").nth(1).expect("it has an id");
    let id = id.split("\r\n").next().expect("the line ends");
    let length = body.len();
    let (header, body) = match framing {
        Framing::Connection => (String::new(), body.to_owned()),
        Framing::Chunks => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ),
        Framing::Length => (format!("content-length: {length}\r\n"), body.to_owned()),
    };
    let head =
        format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-stamp: proof\r\n{header}\r\n");
    // The router may close the connection first.
    let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Guards against a stream that was broken off inside an event and reaches the caller as complete, because neither a
/// length nor chunks show where it ends.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_not_complete() {
    const WHOLE: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    struct Case {
        name: &'static str,
        framing: Framing,
        body: &'static str,
        is_complete: bool,
    }
    let case = |name, framing, body, is_complete| Case {
        name,
        framing,
        body,
        is_complete,
    };
    let cases = [
        case("whole", Framing::Connection, WHOLE, true),
        case("whole, in chunks", Framing::Chunks, WHOLE, true),
        case("in a line", Framing::Connection, &WHOLE[..25], false),
        case("in a line, in chunks", Framing::Chunks, &WHOLE[..25], false),
        case(
            "in a line, with a length",
            Framing::Length,
            &WHOLE[..25],
            false,
        ),
        case(
            "before the blank line",
            Framing::Connection,
            &WHOLE[..WHOLE.len() - 1],
            false,
        ),
        case(
            "in the first event",
            Framing::Connection,
            &WHOLE[..9],
            false,
        ),
    ];
    for case in cases {
        let (store, _, _, daemon) = start().await;
        let mut configuration = configuration(2, 2_000, &["k1"]);
        let route = json!({
            "name": "stream", "host": HOST, "path_prefix": "/stream/", "kind": "streaming",
            "timeout_ms": 2_000, "target_latency_ms": 1_000, "service": "s1", "max_attempts": 1
        });
        configuration["routes"]
            .as_array_mut()
            .expect("a list")
            .push(route);
        store.put("keyed.op", "config", Some(configuration));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_and_close(stream, case.framing, case.body));
            }
        });
        store.put("keyed.servers", "i-1", None);
        store.put("keyed.servers", "i-2", Some(server(address, "ready", 1)));
        let mut number = 0;
        wait_until(case.name, async || {
            number += 1;
            let id = format!("a-{number}");
            let headers = [("attempt-id", id.as_str()), ("authorization", "Bearer k1")];
            let path = format!("/stream/{number}");
            let answer = send(daemon.callers, Method::POST, &path, &headers, "body").await;
            let Some(answer) = answer else {
                assert!(!case.is_complete, "{}: broken off", case.name);
                return true;
            };
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            if answer.status() != 200 || body.contains("token") {
                // The router has not read the new records, or nothing was passed on.
                let is_broken = answer.status() == 502;
                return is_broken && !case.is_complete;
            }
            assert!(case.is_complete, "{}", case.name);
            assert_eq!(body, WHOLE, "{}", case.name);
            true
        })
        .await;
    }
}

/// The time within which a router has to apply a new configuration.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// The time after which a router that hears nothing of the operators' records stops to serve.
const STALE_AFTER: Duration = Duration::from_secs(3);

#[tokio::test]
async fn a_router_that_the_store_turns_away_learns_from_its_peer() {
    let (store, target, address, _served) = start().await;
    let (is_closed, second) = store.open_second().await;
    let daemon = Daemon::start(second);
    wait_until("ready", async || daemon.is_ready().await).await;
    wait_until("peers are connected", async || {
        connected_peers(&daemon, 1).await
    })
    .await;

    is_closed.store(true, Ordering::Relaxed);
    sleep(STALE_AFTER + Duration::from_secs(1)).await;
    assert!(daemon.is_ready().await, "it goes on serving");
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);

    let written = Instant::now();
    store.put("keyed.op", "config", Some(configuration(2, 2_000, &["k2"])));
    wait_until("the key is withdrawn", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 401
    })
    .await;
    assert!(
        written.elapsed() <= APPLIED_WITHIN,
        "{:?}",
        written.elapsed()
    );

    store.put("keyed.op", "config", Some(configuration(3, 2_000, &["k1"])));
    store.put("keyed.servers", "i-1", Some(server(address, "draining", 2)));
    sleep(APPLIED_WITHIN).await;
    let before = target.arrived();
    assert_eq!(daemon.call(Method::POST, "/once/x").await.status(), 503);
    assert_eq!(
        target.arrived(),
        before,
        "nothing reaches a target that leaves"
    );
}

/// Returns whether a daemon sends frames to so many peers.
async fn connected_peers(daemon: &Daemon, count: usize) -> bool {
    // A daemon that has just started does not listen yet.
    let Some(metrics) = send(daemon.operators, Method::GET, "/metrics", &[], "").await else {
        return false;
    };
    let line = format!("\nbulrushtrestle_connected_peers {count}\n");
    String::from_utf8_lossy(metrics.body()).contains(&line)
}

#[tokio::test]
async fn routers_that_start_together_agree_on_one_key() {
    let (store, address) = Store::start().await;
    let daemons: Vec<Daemon> = (0..4).map(|_| Daemon::start(address)).collect();
    for daemon in &daemons {
        wait_until("all peers accept the key", async || {
            connected_peers(daemon, 3).await
        })
        .await;
    }
    assert_eq!(
        store.count("keyed.routers", "fleet-key"),
        1,
        "one key was accepted"
    );
}

/// Publishes a configuration with organisations of these names, and sends a request with the key of each once the daemon has
/// applied it.
async fn request_as_each(
    (store, target, daemon): (&Store, &Target, &Daemon),
    version: u32,
    names: &[&str],
) {
    let call = async |key: &str| {
        let token = format!("Bearer {key}");
        let headers = [("attempt-id", "a1"), ("authorization", token.as_str())];
        send(daemon.callers, Method::POST, "/again/x", &headers, "body").await
    };
    let key = |at: usize| format!("key-{at}-of-{version}");
    let tenants = names.iter().enumerate();
    let tenants = tenants.map(|(at, name)| json!({"name": name, "api_keys": [key(at)]}));
    let mut configuration = configuration(version, 2_000, &[]);
    configuration["tenants"] = Value::Array(tenants.collect());
    store.configure(configuration);
    wait_until("the configuration is applied", async || {
        let answer = call(&key(0)).await;
        answer.is_some_and(|answer| answer.status() == 200)
    })
    .await;
    for (at, name) in names.iter().enumerate() {
        let answer = call(&key(at)).await.expect("an answer");
        assert_eq!(answer.status(), 200, "{name} of {names:?}");
        let head = target.requests().pop().expect("the target ran it");
        assert_eq!(head["tenant"].as_bytes(), name.as_bytes(), "{names:?}");
    }
}

/// Guards against requests that run under the name of another organisation, whose name has the same hash, once a
/// configuration has added it.
#[tokio::test]
async fn requests_run_under_the_name_of_the_organisation_that_holds_the_key() {
    // The names have the same identity of 31 bits.
    const FIRST: &str = "lender-13546";
    const SECOND: &str = "lender-15039";
    let (store, target, _, daemon) = start().await;
    let contents: [&[&str]; 5] = [
        &[FIRST],
        &[FIRST, SECOND],
        &[SECOND],
        &[SECOND, FIRST],
        &[FIRST],
    ];
    for (version, names) in (2..).zip(contents) {
        request_as_each((&store, &target, &daemon), version, names).await;
    }
}

/// Guards against organisations whose requests are refused because of their names: that of the callers without a key, and
/// those that are not ASCII.
#[tokio::test]
async fn organisations_of_any_name_are_served() {
    let (store, target, _, daemon) = start().await;
    let names = ["anonymous", "L\u{fc}tjenburg", "a b", "t-1.2"];
    request_as_each((&store, &target, &daemon), 2, &names).await;
}
