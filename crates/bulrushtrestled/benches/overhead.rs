//! Overhead of the daemon: added latency, processor time, memory and the lag of its control thread.
//!
//! Everything runs on loopback in one run, so that both sides of a comparison use the same machine. The
//! figures are in `docs/MEASUREMENTS.md`. Bounds come from the stated size, not from earlier figures.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::entry::Limits;
use bulrushtrestle_standin::{engine, plain};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use support::daemon::Daemon;
use support::{Fleet, Plan, TOKEN, as_organisation, chat_body, client, eventually};

/// The number of pairs of requests, one direct and one routed, whose latency is compared.
const PAIRS: usize = 5_000;
/// The duration of each load phase.
const LOAD_FOR: Duration = Duration::from_secs(5);
/// Concurrent callers in the throughput phase; each sends its next request when it is answered.
const CALLERS: usize = 64;
/// Concurrent callers in the flood phase; each sends its next request when it is answered.
const FLOOD_CALLERS: usize = 512;
/// The number of streams that are open at the same time.
const STREAMS: usize = 1_000;
/// The limit of the daemon's resident memory at rest, in bytes.
const MEMORY_BYTES_MAX: f64 = 64.0 * 1024.0 * 1024.0;
/// The limit of the 99th percentile of timer lag in the control thread, in seconds: the time between
/// two tokens.
const LAG_SECONDS_MAX: f64 = 0.038;
/// The kernel's unit of processor time in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A client that keeps connections alive.
type KeepAliveClient = Client<HttpConnector, Full<Bytes>>;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(measure());
}

async fn measure() {
    let fleet = Fleet::start(Plan {
        slots: 4_096,
        limits: Limits {
            waiting: 10_000,
            running: 10_000,
            wait_ms: 60_000,
        },
        engine: engine::Config {
            slots: 4_096,
            token_ms: 50,
            ..engine::Config::default()
        },
        plain: plain::Config {
            slots: 4_096,
            call_ms: 0,
            ..plain::Config::default()
        },
        ..Plan::default()
    })
    .await;
    let router = &fleet.routers[0];
    let at_rest = memory(&fleet, router).await;
    println!("memory at rest: {:.1} MiB", mebibytes(at_rest));
    compare_latency(&fleet, router).await;
    // The limit of a new target grows as it answers; this load raises it before the measurement.
    load(router, FLOOD_CALLERS, LOAD_FOR).await;
    print_limits(&fleet, router).await;
    throughput(router).await;
    print_limits(&fleet, router).await;
    flood(&fleet, router).await;
    print_limits(&fleet, router).await;
    open_streams(&fleet, router).await;
    assert!(
        at_rest <= MEMORY_BYTES_MAX,
        "memory at rest is over the bound"
    );
}

/// Prints the current request limit of each target, since it bounds every rate.
async fn print_limits(fleet: &Fleet, router: &Daemon) {
    let status = fleet.status(router).await;
    for target in status["targets"].as_array().into_iter().flatten() {
        let (name, limit) = (&target["name"], &target["limit"]);
        println!("  limit of {name}: {limit} ({})", target["condition"]);
    }
}

/// Compares the latency of calls through the router with that of direct calls to the service,
/// alternating between the two.
async fn compare_latency(fleet: &Fleet, router: &Daemon) {
    let client = keep_alive_client();
    let mut direct = histogram();
    let mut routed = histogram();
    for _ in 0..PAIRS {
        direct += timed(&client, direct_call(fleet.plain.address())).await;
        routed += timed(&client, routed_call(router)).await;
    }
    for (name, times) in [("direct", &direct), ("routed", &routed)] {
        let at = |quantile| times.value_at_quantile(quantile);
        println!("{name}: p50 {} us, p99 {} us", at(0.5), at(0.99));
    }
    let added = |q| {
        routed
            .value_at_quantile(q)
            .saturating_sub(direct.value_at_quantile(q))
    };
    println!("added: p50 {} us, p99 {} us", added(0.5), added(0.99));
}

/// Measures how many calls the daemon serves per second of processor time.
async fn throughput(router: &Daemon) {
    let before = processor_seconds(router);
    let calls = load(router, CALLERS, LOAD_FOR).await;
    let spent = processor_seconds(router) - before;
    let calls = calls as f64;
    println!(
        "load of {CALLERS} callers: {:.0} calls/s, {:.2} cores, {:.0} calls/s per core",
        calls / LOAD_FOR.as_secs_f64(),
        spent / LOAD_FOR.as_secs_f64(),
        calls / spent,
    );
}

/// Measures the timer lag of the control thread while callers flood the router.
async fn flood(fleet: &Fleet, router: &Daemon) {
    let before = lag(fleet, router).await;
    let calls = load(router, FLOOD_CALLERS, LOAD_FOR).await;
    let after = lag(fleet, router).await;
    let lags: Vec<(f64, f64)> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after.0, after.1 - before.1))
        .collect();
    let p50 = quantile(&lags, 0.5);
    let p99 = quantile(&lags, 0.99);
    println!(
        "flood of {FLOOD_CALLERS} callers: {:.0} calls/s, timer lag p50 below {p50} s, p99 below {p99} s",
        calls as f64 / LOAD_FOR.as_secs_f64(),
    );
    assert!(
        p99 <= LAG_SECONDS_MAX,
        "the lag of timers is over the bound"
    );
}

/// Measures memory and processor time while `STREAMS` streams are open.
async fn open_streams(fleet: &Fleet, router: &Daemon) {
    let before = memory(fleet, router).await;
    let client = keep_alive_client();
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let client = client.clone();
            let body = chat_body(100_000, true).to_string();
            let post = as_organisation("POST", router, "/v1/chat/completions", &[], body);
            tokio::spawn(async move {
                let answer = client.request(post).await.expect("the router answers");
                let mut body = answer.into_body();
                while let Some(Ok(_)) = body.frame().await {}
            })
        })
        .collect();
    eventually("all streams are open", async || {
        fleet.metric(router, "bulrushtrestle_open_requests").await >= STREAMS as f64
    })
    .await;
    tokio::time::sleep(LOAD_FOR).await;
    let running = fleet.status(router).await;
    let cpu = processor_seconds(router);
    tokio::time::sleep(LOAD_FOR).await;
    let cores = (processor_seconds(router) - cpu) / LOAD_FOR.as_secs_f64();
    let with_streams = memory(fleet, router).await;
    println!(
        "{STREAMS} open streams: {:.1} MiB ({:.1} MiB before), {cores:.2} cores, {} requests held",
        mebibytes(with_streams),
        mebibytes(before),
        running["requests"],
    );
    let engine = client::request(
        "GET",
        fleet.engine.address(),
        "/v1/report",
        &[],
        String::new(),
    );
    let report = fleet.client.send(engine).await.json();
    println!("of these at the engine: {}", report["running"]);
    streams.iter().for_each(|stream| stream.abort());
}

/// Keeps `callers` callers busy for `duration` and returns the number of successful calls.
async fn load(router: &Daemon, callers: usize, duration: Duration) -> u64 {
    let client = keep_alive_client();
    let done = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..callers)
        .map(|_| {
            let (client, req) = (client.clone(), routed_call(router));
            let (done, calls) = (Arc::clone(&done), Arc::clone(&calls));
            tokio::spawn(async move {
                while !done.load(Ordering::Relaxed) {
                    let answer = client
                        .request(req.clone())
                        .await
                        .expect("the router answers");
                    let is_success = answer.status().is_success();
                    answer
                        .into_body()
                        .collect()
                        .await
                        .expect("the answer is complete");
                    calls.fetch_add(u64::from(is_success), Ordering::Relaxed);
                }
            })
        })
        .collect();
    tokio::time::sleep(duration).await;
    done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no caller fails");
    }
    calls.load(Ordering::Relaxed)
}

/// Sends a request and returns the time to the end of its answer in microseconds.
async fn timed(client: &KeepAliveClient, req: Request<Full<Bytes>>) -> u64 {
    let start = Instant::now();
    let answer = client.request(req).await.expect("there is an answer");
    assert!(answer.status().is_success());
    answer
        .into_body()
        .collect()
        .await
        .expect("the answer is complete");
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn direct_call(service: SocketAddr) -> Request<Full<Bytes>> {
    client::request(
        "GET",
        service,
        "/stock/7",
        &[("x-attempt-id", "direct")],
        String::new(),
    )
}

fn routed_call(router: &Daemon) -> Request<Full<Bytes>> {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    client::request(
        "GET",
        router.callers,
        "/v1/services/booking/stock/7",
        &headers,
        String::new(),
    )
}

fn keep_alive_client() -> KeepAliveClient {
    Client::builder(TokioExecutor::new()).build_http()
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Returns the daemon's resident memory in bytes.
async fn memory(fleet: &Fleet, router: &Daemon) -> f64 {
    fleet.metric(router, "bulrushtrestle_resident_bytes").await
}

fn mebibytes(bytes: f64) -> f64 {
    bytes / 1024.0 / 1024.0
}

/// Returns the processor time that a daemon has used, in seconds.
fn processor_seconds(router: &Daemon) -> f64 {
    const USER_FIELD: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{}/stat", router.pid())).expect("it is running");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in brackets");
    let ticks = fields.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: f64 = ticks.map(|n| n.parse::<f64>().expect("a number")).sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the buckets of the timer lag histogram: upper bound in seconds and cumulative count.
async fn lag(fleet: &Fleet, router: &Daemon) -> Vec<(f64, f64)> {
    const NAME: &str = "bulrushtrestle_control_timer_lag_seconds_bucket{le=\"";
    let text = fleet.operator_get(router, "/metrics").await.text();
    text.lines()
        .filter_map(|line| {
            let (bound, count) = line.strip_prefix(NAME)?.split_once("\"} ")?;
            let bound = bound.parse().unwrap_or(f64::INFINITY);
            Some((bound, count.parse().ok()?))
        })
        .collect()
}

/// Returns the upper bound of the first bucket that covers the fraction `part` of the observations.
fn quantile(buckets: &[(f64, f64)], part: f64) -> f64 {
    let all = buckets.last().map_or(0.0, |bucket| bucket.1);
    buckets
        .iter()
        .find(|bucket| bucket.1 >= part * all)
        .map_or(f64::INFINITY, |bucket| bucket.0)
}
