//! The daemon as a process on a hosting platform: its store and a target are stand-ins, callers are plain HTTP.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use self::hosted::{Daemon, HOST, PATIENCE, send, until};
use self::hosting::{Endless, Mood, Store, Target};

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

fn server(address: SocketAddr, state: &str, sequence: u32) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": state, "cold_left_ms": 0, "sequence": sequence
    })
}

/// A store with a configuration and a target, and a daemon that is ready.
async fn start() -> (Arc<Store>, Arc<Target>, SocketAddr, Daemon) {
    let (store, store_address) = Store::start().await;
    let (target, address) = Target::start("i-1").await;
    store.put("keyed.op", "config", Some(configuration(1, 2_000, &["k1"])));
    store.put("keyed.servers", "i-1", Some(server(address, "ready", 1)));
    let daemon = Daemon::start(store_address);
    until("ready", async || daemon.is_ready().await).await;
    until("a target is known", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
    (store, target, address, daemon)
}

#[tokio::test]
async fn requests_pass_unchanged_but_for_what_the_router_sets() {
    let (_store, target, _, daemon) = start().await;
    let before = target.seen().len();
    let answer = daemon.call(Method::POST, "/once/a?b=c").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["server-stamp"], "proof");
    assert_eq!(&answer.body()[..], b"the answer");
    let seen = target.seen().split_off(before);
    let head = seen.first().expect("it ran");
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
async fn the_directory_names_routers_that_serve() {
    let (store, _, _, daemon) = start().await;
    let path = "/bulrushtrestle/resolve?name=h.example&region=north&zone=dc-a";
    let answer = send(daemon.directory, Method::GET, path, &[], "").await;
    let answer: Value = serde_json::from_slice(answer.expect("an answer").body()).expect("JSON");
    assert_eq!(answer["addresses"], json!([daemon.callers]));
    // The router and the fleet's key stand in the store.
    until("announced", async || store.keys("keyed.routers").len() == 2).await;
    let metrics = send(daemon.operators, Method::GET, "/metrics", &[], "").await;
    let metrics = metrics.expect("an answer");
    let text = String::from_utf8_lossy(metrics.body());
    // One request was dispatched to learn that the target is known.
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
    mood: Mood,
    path: &'static str,
    status: u16,
    /// How often a target ran the request.
    runs: usize,
}

#[tokio::test]
async fn what_becomes_of_a_request_is_told_truly() {
    let cases = [
        Case {
            name: "a target that is full ran nothing",
            mood: Mood::Full,
            path: "/once/x",
            status: 503,
            runs: 0,
        },
        Case {
            name: "a failure of the target is passed on and the call not repeated",
            mood: Mood::Failing,
            path: "/once/x",
            status: 500,
            runs: 1,
        },
        Case {
            name: "a call that may be repeated is, as often as its route allows",
            mood: Mood::Failing,
            path: "/again/x",
            status: 500,
            runs: 2,
        },
        Case {
            name: "an answer to somebody else is nobody's",
            mood: Mood::Confused,
            path: "/once/x",
            status: 502,
            runs: 1,
        },
        Case {
            name: "no answer by the route's timeout",
            mood: Mood::Dark,
            path: "/once/x",
            status: 504,
            runs: 1,
        },
    ];
    for case in cases {
        let (_store, target, _, daemon) = start().await;
        let before = target.seen().len();
        target.set(case.mood);
        let answer = daemon.call(Method::POST, case.path).await;
        assert_eq!(answer.status(), case.status, "{}", case.name);
        assert_eq!(target.seen().len() - before, case.runs, "{}", case.name);
    }
}

/// Guards against answers without end: they must neither hold a request beyond its route's timeout nor fill memory.
#[tokio::test]
async fn bytes_without_end_are_cut_off_in_time() {
    const FILLER: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: proof\r\n";
    struct Case {
        name: &'static str,
        once: &'static str,
        again: &'static str,
    }
    let chunked = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nserver-stamp: proof\r\ntransfer-encoding: chunked\r\n\r\n";
    let failed = "HTTP/1.1 500 E\r\nattempt-id: a1\r\nserver-stamp: proof\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            name: "no answer at all",
            once: FILLER,
            again: FILLER,
        },
        Case {
            name: "one header line",
            once: HEAD,
            again: FILLER,
        },
        Case {
            name: "header lines",
            once: HEAD,
            again: "x-more: 0123456789abcdef0123456789abcdef\r\n",
        },
        Case {
            name: "the body of a success",
            once: chunked,
            again: "10\r\n0123456789abcdef\r\n",
        },
        Case {
            name: "the body of a failure",
            once: failed,
            again: "10\r\n0123456789abcdef\r\n",
        },
        Case {
            name: "an extension of a chunk",
            once: chunked,
            again: "1;x=0123456789abcdef",
        },
    ];
    let (store, _, _, daemon) = start().await;
    let mut asked = 0;
    for (index, case) in cases.into_iter().enumerate() {
        let (target, address) = Endless::start(case.once, case.again).await;
        store.put("keyed.servers", "i-1", None);
        let key = format!("i-{}", index + 2);
        store.put("keyed.servers", &key, Some(server(address, "ready", 1)));
        let began = Instant::now();
        until(case.name, async || {
            // The body of a success is passed on, so it breaks off before the caller has the whole of it.
            let headers = [("attempt-id", "a1"), ("authorization", "Bearer k1")];
            // Content that was met at a broken connection before would be kept from targets.
            asked += 1;
            let path = format!("/once/{asked}");
            let asked = send(daemon.callers, Method::POST, &path, &headers, "body");
            let answer = timeout(Duration::from_millis(2_500), asked).await;
            let answer =
                answer.unwrap_or_else(|_| panic!("{}: held beyond the timeout", case.name));
            // Until the record is read, the target before answers.
            let is_asked = target.figures().1 > 0;
            let is_whole = answer.is_some_and(|answer| answer.status() == 200);
            assert!(!(is_asked && is_whole), "{}", case.name);
            is_asked
        })
        .await;
        until("the connection is closed", async || target.figures().0 == 0).await;
        store.put("keyed.servers", &key, None);
        assert!(began.elapsed() < PATIENCE, "{}", case.name);
    }
    assert!(daemon.is_ready().await);
    let resident = resident_mib(daemon.child.id());
    assert!(resident < 64, "{resident} MiB");
}

/// Returns the resident memory of a process.
fn resident_mib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok())
        .expect("a number")
        / 1_024
}

#[tokio::test]
async fn changes_of_the_configuration_hold_soon_and_strangers_are_refused() {
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
    until("the key is gone", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 401
    })
    .await;
    store.put("keyed.op", "config", Some(configuration(4, 2_000, &["k1"])));
    store.put("keyed.servers", "i-1", Some(server(address, "draining", 2)));
    until("the target gets nothing", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 503
    })
    .await;
    store.put("keyed.op", "evacuate/dc-a", Some(json!({})));
    store.put("keyed.servers", "i-1", Some(server(address, "ready", 3)));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 503);
    store.put("keyed.op", "evacuate/dc-a", None);
    until("the data centre serves again", async || {
        daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn a_router_serves_on_while_the_store_is_away_and_after_a_hangup() {
    let (store, _, _, daemon) = start().await;
    store.set_down(true);
    daemon.signal("HUP");
    // Longer than a router goes on without a sign that it is current, unless all see the store as down.
    sleep(Duration::from_secs(4)).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);
    store.set_down(false);
    sleep(Duration::from_millis(500)).await;
    assert!(daemon.is_ready().await);
}

#[tokio::test]
async fn a_planned_stop_leaves_the_directory_first_and_then_ends() {
    let (_store, _, _, mut daemon) = start().await;
    daemon.signal("TERM");
    until("not ready", async || !daemon.is_ready().await).await;
    assert_eq!(daemon.call(Method::POST, "/again/x").await.status(), 200);
    until(
        "ended",
        async || matches!(daemon.child.try_wait(), Ok(Some(status)) if status.success()),
    )
    .await;
}

/// Guards against a router that counts the time in which a caller sends its body as its own backlog, and refuses it.
#[tokio::test]
async fn a_caller_that_sends_slowly_is_not_refused_as_if_the_router_were_behind() {
    let (_store, _, _, daemon) = start().await;
    let mut stream = TcpStream::connect(daemon.callers)
        .await
        .expect("it is there");
    let head = format!(
        "POST /again/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: a1\r\ndeadline-ms: 3000\r\n\
         authorization: Bearer k1\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    sleep(Duration::from_millis(300)).await;
    stream.write_all(b"dy").await.expect("it is sent");
    let mut answer = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut answer))
        .await
        .expect("it answers in time")
        .expect("it answers");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
