//! The memory of a router on the users' smallest VM, filled with requests that no target answers.
//!
//! Guards against a router that ends because its VM has no more memory, which cuts every request that it accepted. Callers
//! open more connections than the router takes, with small, middle and large bodies, and keep them. What is left of the VM's
//! memory has to suffice for control in a large fleet.

#[path = "../tests/support/address.rs"]
mod address;
#[path = "../tests/support/hosted.rs"]
mod hosted;
#[path = "../tests/support/hosting.rs"]
mod hosting;
#[path = "../../core/benches/report/mod.rs"]
mod report;

use std::fs;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use self::hosted::{Daemon, HOST, wait_until};
use self::hosting::{Behaviour, Store, Target};
use self::report::{Bound, Report};

/// The memory of the users' smallest VM, and its descriptors.
const MEMORY_MB: u64 = 88;
const DESCRIPTORS: u64 = 4_100;
/// What is kept for the program and control in a large fleet.
const CONTROL_MB: f64 = 36.0;
/// More connections than the router takes.
const CALLERS: usize = 1_000;
/// The sizes of bodies: that of a call of a plain service, of a short prompt and of a long one.
const BODIES: [usize; 3] = [1_000, 12_000, 48_000];
const TARGETS: usize = 4;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(measure())
}

async fn measure() -> ExitCode {
    let mut report = Report::new("filled");
    for body in BODIES {
        let (rest, peak, arrived) = fill(body).await;
        report.figure(
            &format!("bodies of {body} bytes: requests at targets"),
            arrived,
            "",
        );
        report.bounded(
            &format!("bodies of {body} bytes: memory at rest"),
            rest,
            "MB",
            Bound::AtMost(CONTROL_MB),
            "what is kept for control",
        );
        report.bounded(
            &format!("bodies of {body} bytes: memory for requests"),
            peak - rest,
            "MB",
            Bound::AtMost(MEMORY_MB as f64 - CONTROL_MB),
            "the VM's memory but for control",
        );
    }
    report.finish()
}

/// Fills a router with requests. Returns its memory in megabytes before and at most, and the number of requests at targets.
async fn fill(body: usize) -> (f64, f64, f64) {
    let (store, address) = Store::start().await;
    let daemon = Daemon::start_with(address, |settings| {
        settings["memory_mb"] = json!(MEMORY_MB);
        settings["descriptors_max"] = json!(DESCRIPTORS);
    });
    let mut targets: Vec<Arc<Target>> = Vec::new();
    for number in 0..TARGETS {
        let name = format!("i-{number}");
        let (target, address) = Target::start(&name).await;
        let record = json!({
            "service": "s1", "address": address, "zone": "dc-a", "version": "v1",
            "slots": 1_000, "state": "ready", "cold_left_ms": 0, "sequence": 1
        });
        store.add_target(&name, record);
        targets.push(target);
    }
    store.configure(configuration());
    wait_until("a target serves", async || {
        daemon.is_ready().await && daemon.call(Method::POST, "/again/x").await.status() == 200
    })
    .await;
    let rest = peak_mb(&daemon);
    for target in &targets {
        target.set_behaviour(Behaviour::Unresponsive);
    }
    let mut held = Vec::new();
    for number in 1..=CALLERS {
        let stream = timeout(Duration::from_secs(2), begin(&daemon, body)).await;
        held.extend(stream.ok().flatten());
        if number % 100 == 0 {
            sleep(Duration::from_millis(200)).await;
        }
    }
    let arrived: usize = targets.iter().map(|target| target.arrived()).sum();
    (rest, peak_mb(&daemon), arrived as f64)
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "again", "host": HOST, "path_prefix": "/again/", "kind": "idempotent",
            "timeout_ms": 60_000, "target_latency_ms": 30_000, "service": "s1",
            "max_attempts": 1, "anonymous": false
        }],
        "services": [{"name": "s1", "max_conns": 4_000}],
        "limits": {"max_body_bytes": 1_000_000},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    })
}

/// Returns the most memory that a process ever used, in megabytes.
fn peak_mb(daemon: &Daemon) -> f64 {
    let path = format!("/proc/{}/status", daemon.child.id());
    let status = fs::read_to_string(path).expect("the daemon runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: f64 = kb.and_then(|kb| kb.parse().ok()).expect("a number of kB");
    kb * 1_024.0 / 1e6
}

/// Sends a request that no target answers, and returns its connection.
async fn begin(daemon: &Daemon, body: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(daemon.callers).await.ok()?;
    let head = format!(
        "POST /again/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: a1\r\ndeadline-ms: 60000\r\n\
         authorization: Bearer k1\r\ncontent-length: {body}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&vec![b'x'; body]).await.ok()?;
    Some(stream)
}
