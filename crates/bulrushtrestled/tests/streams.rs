//! Streams of targets that spoil a byte or break off, as callers of the daemon receive them.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;
#[path = "support/scripted.rs"]
mod scripted;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Response};
use serde_json::{Value, json};
use tokio::time::sleep;

use self::Arrival::{Broken, Whole, WholeOrBroken};
use self::hosted::{Daemon, HOST, send, wait_until};
use self::hosting::Store;
use self::scripted::{Received, Step, chunk, start_target};

/// The pieces of a stream.
const PIECES: u64 = 6;

/// What a target sends.
#[derive(Debug, Clone, Copy)]
struct Script {
    /// The ids of the pieces, as sent.
    ids: &'static str,
    /// After how many pieces the connection breaks off; beyond [`PIECES`] it does not.
    breaks_after: u64,
    /// After which piece the connection breaks off if the stream was resumed before it.
    resumed_breaks_after: u64,
    /// Whether a part of the next piece is sent before the connection breaks off.
    inside_piece: bool,
}

impl Script {
    /// A sound stream.
    const SOUND: Self = Self {
        ids: "1 2 3 4 5 6",
        breaks_after: u64::MAX,
        resumed_breaks_after: u64::MAX,
        inside_piece: false,
    };
}

/// The ids of the requests that reached a target.
type Reached = Arc<Mutex<BTreeSet<String>>>;

/// How a stream reaches its caller. It is never complete unless each piece comes once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    Whole,
    Broken,
    WholeOrBroken,
}

/// The time between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// The path of the requests for which targets send sound streams.
const SOUND_PATH: &str = "/sound";
/// The offered streams, one of which in [`BROKEN_EVERY`] breaks off, those that follow and are all sound, and the time between
/// two.
const OFFERED: usize = 600;
const FOLLOWING: usize = 100;
const BROKEN_EVERY: usize = 6;
const OFFER_PAUSE: Duration = Duration::from_millis(10);
/// How many of the streams that are to break off have to reach a target; an overloaded router refuses requests unread.
const RUN_MIN: usize = 50;
/// How many of 100 streams that break off and may be resumed have to reach the caller whole.
const WHOLE_MIN: usize = 95;
/// The longest time until the caller of a stream that breaks off and is not resumed is told so.
const TOLD_WITHIN: Duration = Duration::from_secs(1);

/// Returns what a caller recognises a piece by.
fn piece(number: u64) -> String {
    format!("data: piece {number} of {PIECES}\n\n")
}

fn configuration(is_resumable: bool) -> Value {
    configuration_with(is_resumable, 3)
}

fn configuration_with(is_resumable: bool, max_attempts: u32) -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "stream", "host": HOST, "path_prefix": "/", "kind": "streaming", "timeout_ms": 5_000,
            "target_latency_ms": 1_000, "service": "s1", "max_attempts": max_attempts, "resumable": is_resumable
        }],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    })
}

fn server(address: SocketAddr) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "sequence": 1
    })
}

/// Returns the answer of a target. A request that is resumed receives the pieces that are due, and any other one those of the
/// script. A request for [`SOUND_PATH`] receives a sound stream.
fn answer(received: &Received, script: Script) -> Vec<Step> {
    let fields = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let mut steps = vec![Step::Send(received.head("200 OK", fields).into_bytes())];
    let from = received.last_event_id().unwrap_or(0);
    let script = match received.path().contains(SOUND_PATH) {
        true => Script::SOUND,
        false => script,
    };
    let ids: Vec<&str> = script.ids.split_whitespace().collect();
    let breaks_after = match from {
        0 => script.breaks_after,
        from if from < script.resumed_breaks_after => script.resumed_breaks_after,
        _ => u64::MAX,
    };
    for number in from + 1..=PIECES {
        if number > breaks_after {
            if script.inside_piece {
                let mut sent = chunk(&format!("id: {number}\n{}", piece(number)));
                sent.truncate(sent.len() / 2);
                steps.push(Step::Send(sent.into_bytes()));
            }
            return steps;
        }
        let own = number.to_string();
        let id = match from {
            0 => ids[usize::try_from(number - 1).expect("small")],
            _ => own.as_str(),
        };
        let sent = chunk(&format!("id: {id}\n{}", piece(number)));
        steps.extend([Step::Send(sent.into_bytes()), Step::Wait(PIECE_PAUSE)]);
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

/// Guards against a stream of which pieces are missing or come twice and that ends as complete, because the router goes by an
/// id that a target has spoilt.
#[tokio::test]
async fn a_stream_with_a_spoilt_id_is_whole_or_ends_as_broken_off() {
    struct Case {
        name: &'static str,
        script: Script,
        /// How a stream that may be resumed reaches the caller.
        resumable: Arrival,
        /// How any other stream reaches the caller.
        other: Arrival,
    }
    let case = |name, ids, resumable, other| Case {
        name,
        script: Script {
            ids,
            ..Script::SOUND
        },
        resumable,
        other,
    };
    let cases = [
        case("sound", "1 2 3 4 5 6", Whole, Whole),
        case("an id jumps", "1 2 93 4 5 6", Whole, Broken),
        case("an id falls", "1 2 3 1 5 6", Whole, Broken),
        case("the last id falls", "1 2 3 4 5 2", Whole, Broken),
        case("the last id jumps", "1 2 3 4 5 96", Whole, Whole),
        case("the first id jumps", "9 2 3 4 5 6", Broken, Broken),
        case("an id is no number", "1 2 x 4 5 6", Whole, Whole),
        Case {
            name: "an id jumps and the stream breaks off",
            script: Script {
                ids: "1 2 93 4 5 6",
                breaks_after: 3,
                ..Script::SOUND
            },
            // Whether a request whose answer broke off is sent again depends on more than its events.
            resumable: WholeOrBroken,
            other: Broken,
        },
        Case {
            name: "an id is no number and the stream breaks off",
            script: Script {
                ids: "1 2 x 4 5 6",
                breaks_after: 3,
                ..Script::SOUND
            },
            resumable: Broken,
            other: Broken,
        },
    ];
    for case in cases {
        for is_resumable in [true, false] {
            let name = format!("{}, resumable: {is_resumable}", case.name);
            let (store, store_address) = Store::start().await;
            store.configure(configuration(is_resumable));
            let script = case.script;
            let target = start_target(move |received| answer(received, script)).await;
            store.add_target("i-1", server(target));
            let daemon = Daemon::start(store_address);
            wait_until("ready", async || daemon.is_ready().await).await;
            let mut number = 0;
            wait_until(&name, async || {
                number += 1;
                let id = format!("a-{number}");
                let headers = [("attempt-id", id.as_str()), ("authorization", "Bearer k1")];
                let answer = send(daemon.callers, Method::POST, "/x", &headers, "body").await;
                let expected = match is_resumable {
                    true => case.resumable,
                    false => case.other,
                };
                let Some(answer) = answer else {
                    assert_ne!(expected, Whole, "{name}: broken off");
                    return true;
                };
                if answer.status() != 200 {
                    // The router has not read the records of the store, or nothing was passed on.
                    return answer.status() == 502 && expected != Whole;
                }
                let body = String::from_utf8_lossy(answer.body()).into_owned();
                let pieces: Vec<usize> = (1..=PIECES)
                    .map(|number| body.matches(&piece(number)).count())
                    .collect();
                assert_eq!(pieces, [1; PIECES as usize], "{name}: {body}");
                assert_ne!(expected, Broken, "{name}: whole");
                true
            })
            .await;
        }
    }
}

/// Streams that break off, and the route and settings under which they are offered among sound ones.
struct Offer {
    name: &'static str,
    script: Script,
    is_resumable: bool,
    max_attempts: u32,
    /// The retries of the fleet beyond a part of the requests.
    retry_burst: u32,
}

impl Offer {
    const fn new(name: &'static str, script: Script) -> Self {
        Self {
            name,
            script,
            is_resumable: true,
            max_attempts: 3,
            retry_burst: 500,
        }
    }
}

/// What callers received of the streams that break off.
#[derive(Debug, Default)]
struct Arrivals {
    whole: usize,
    broken: usize,
    /// The longest time from a request to its end.
    longest: Duration,
    /// The metrics of the router afterwards.
    metrics: String,
}

/// Sends a request, and returns the answer and how long it took.
async fn call(
    callers: SocketAddr,
    path: String,
    id: String,
) -> (Option<Response<Bytes>>, Duration) {
    let headers = [("attempt-id", id.as_str()), ("authorization", "Bearer k1")];
    let began = Instant::now();
    let answer = send(callers, Method::POST, &path, &headers, "body").await;
    (answer, began.elapsed())
}

/// Offers streams at three targets, and returns what callers received of those that break off.
async fn offer(case: &Offer) -> Arrivals {
    let (store, store_address) = Store::start().await;
    store.configure(configuration_with(case.is_resumable, case.max_attempts));
    let reached = Reached::default();
    for name in ["i-1", "i-2", "i-3"] {
        let (script, reached) = (case.script, Arc::clone(&reached));
        let target = start_target(move |received| {
            let mut reached = reached.lock().expect("no panic");
            reached.insert(received.attempt().to_owned());
            answer(received, script)
        });
        store.add_target(name, server(target.await));
    }
    let retry_burst = case.retry_burst;
    let daemon = Daemon::start_with(store_address, |settings| {
        settings["hosting"]["retry_burst"] = json!(retry_burst);
        settings["hosting"]["retry_ratio"] = json!(0.0);
    });
    wait_until("served", async || {
        let (answer, _) = call(daemon.callers, SOUND_PATH.to_owned(), "first".to_owned()).await;
        answer.is_some_and(|answer| answer.status() == 200)
    })
    .await;
    let mut running = Vec::new();
    for number in 0..OFFERED + FOLLOWING {
        let is_broken = number < OFFERED && number % BROKEN_EVERY == 0;
        let path = match is_broken {
            true => format!("/broken/{number}"),
            false => format!("{SOUND_PATH}/{number}"),
        };
        let offered = tokio::spawn(call(daemon.callers, path, format!("a-{number}")));
        running.push((is_broken, offered));
        sleep(OFFER_PAUSE).await;
    }
    let mut received = Arrivals::default();
    for (number, (is_broken, offered)) in running.into_iter().enumerate() {
        let (answer, took) = offered.await.expect("the caller does not panic");
        let name = case.name;
        let id = format!("a-{number}");
        if !reached.lock().expect("no panic").contains(&id) {
            assert!(
                answer.is_none_or(|answer| answer.status() == 503),
                "{name}: {id}"
            );
            continue;
        }
        let answer = answer.filter(|answer| answer.status() == 200);
        if let Some(answer) = &answer {
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            let places: Vec<Vec<usize>> = (1..=PIECES)
                .map(|number| {
                    body.match_indices(&piece(number))
                        .map(|(at, _)| at)
                        .collect()
                })
                .collect();
            assert!(
                places.iter().all(|places| places.len() == 1),
                "{name}: {body}"
            );
            assert!(places.is_sorted(), "{name}: {body}");
        }
        if is_broken {
            received.longest = received.longest.max(took);
            match answer {
                Some(_) => received.whole += 1,
                None => received.broken += 1,
            }
        } else {
            assert!(answer.is_some(), "{name}: {id} is sound");
        }
    }
    let run = received.whole + received.broken;
    assert!(run >= RUN_MIN, "{}: {run} reached a target", case.name);
    let metrics = send(daemon.operators, Method::GET, "/metrics", &[], "").await;
    let metrics = metrics.expect("metrics are open");
    received.metrics = String::from_utf8_lossy(metrics.body()).into_owned();
    received
}

/// Guards against streams that may be resumed and are held until their deadline instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_break_off_and_may_be_resumed_reach_the_caller_whole() {
    let breaks_after = |breaks_after| Script {
        breaks_after,
        ..Script::SOUND
    };
    let cases = [
        Offer::new("after the first piece", breaks_after(1)),
        Offer::new("after a piece", breaks_after(4)),
        Offer::new(
            "within a piece",
            Script {
                inside_piece: true,
                ..breaks_after(3)
            },
        ),
        Offer::new(
            "at two targets one after the other",
            Script {
                resumed_breaks_after: 4,
                ..breaks_after(2)
            },
        ),
    ];
    for case in cases {
        let received = offer(&case).await;
        let (name, all) = (case.name, received.whole + received.broken);
        println!(
            "{name}: {} of {all} whole, longest {:?}",
            received.whole, received.longest
        );
        assert!(100 * received.whole >= WHOLE_MIN * all, "{name}");
        let count = |end: &str| {
            let start = format!("bulrushtrestle_resume_pause_seconds_{end}");
            let mut lines = received.metrics.lines();
            let value = lines.find_map(|line| line.strip_prefix(&start));
            value.map_or(0, |value| value.trim().parse().expect("a number"))
        };
        let resumed = count("count{outcome=\"resumed\"}");
        let within = |bound: &str| count(&format!("bucket{{outcome=\"resumed\",le=\"{bound}\"}}"));
        assert!(100 * resumed >= WHOLE_MIN * all, "{name}: {resumed}");
        assert!(2 * within("0.1") >= resumed, "{name}: the median");
        assert!(
            100 * within("0.8") >= 99 * resumed,
            "{name}: the 99th percentile"
        );
    }
}

/// Guards against callers who wait for the rest of a stream that is known not to come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_streams_that_are_not_resumed_are_told_at_once() {
    let script = Script {
        breaks_after: 2,
        ..Script::SOUND
    };
    let cases = [
        Offer {
            is_resumable: false,
            ..Offer::new("the route does not allow it", script)
        },
        Offer {
            retry_burst: 0,
            ..Offer::new("no retries are left", script)
        },
        Offer {
            max_attempts: 2,
            ..Offer::new(
                "it broke off at as many targets as the route allows",
                Script {
                    resumed_breaks_after: 4,
                    ..script
                },
            )
        },
    ];
    for case in cases {
        let received = offer(&case).await;
        let (name, all) = (case.name, received.whole + received.broken);
        println!("{name}: longest {:?}", received.longest);
        assert_eq!((received.whole, received.broken), (0, all), "{name}");
        assert!(
            received.longest < TOLD_WITHIN,
            "{name}: {:?}",
            received.longest
        );
    }
}

/// Guards against a stream that lacks pieces because its target has spoilt the first id, broke off before the second, and the
/// stream was resumed after the wrong id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_resumed_after_its_first_piece_only_if_streams_begin_with_that_id() {
    struct Case {
        name: &'static str,
        ids: &'static str,
        /// Whether the router has passed on a sound stream before.
        has_sound: bool,
        arrival: Arrival,
    }
    let cases = [
        Case {
            name: "sound",
            ids: "1 2 3 4 5 6",
            has_sound: true,
            arrival: Whole,
        },
        Case {
            name: "the id is the next one's",
            ids: "2 2 3 4 5 6",
            has_sound: true,
            arrival: Broken,
        },
        Case {
            name: "the id jumps",
            ids: "81 2 3 4 5 6",
            has_sound: true,
            arrival: Broken,
        },
        Case {
            name: "nothing is known of the route",
            ids: "1 2 3 4 5 6",
            has_sound: false,
            arrival: Broken,
        },
    ];
    for Case {
        name,
        ids,
        has_sound,
        arrival,
    } in cases
    {
        let (store, store_address) = Store::start().await;
        store.configure(configuration(true));
        let script = Script {
            ids,
            breaks_after: 1,
            ..Script::SOUND
        };
        let target = start_target(move |received| answer(received, script)).await;
        store.add_target("i-1", server(target));
        let daemon = Daemon::start(store_address);
        wait_until("ready", async || daemon.is_ready().await).await;
        if has_sound {
            wait_until("a sound stream", async || {
                let path = SOUND_PATH.to_owned();
                let (answer, _) = call(daemon.callers, path, "sound".to_owned()).await;
                answer.is_some_and(|answer| answer.status() == 200)
            })
            .await;
        }
        let mut number = 0;
        wait_until(name, async || {
            number += 1;
            let id = format!("a-{number}");
            let (answer, _) = call(daemon.callers, "/x".to_owned(), id).await;
            let Some(answer) = answer else {
                assert_eq!(arrival, Broken, "{name}");
                return true;
            };
            if answer.status() != 200 {
                // The router has not read the records of the store.
                return false;
            }
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            let sound: String = (1..=PIECES)
                .map(|number| format!("id: {number}\n{}", piece(number)))
                .collect();
            assert_eq!(body, sound, "{name}");
            assert_eq!(arrival, Whole, "{name}");
            true
        })
        .await;
    }
}
