//! The duties over real processes: the calls that reach the platform's control endpoint, and the change
//! of the holder.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bulrushtrestle_standin::endpoint::{self, Call, Faults};
use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use self::hosted::{Daemon, HOST, wait_until};
use self::hosting::{Store, Target};

/// `lease_ms` of the test. The term is twice as long.
const LEASE: Duration = Duration::from_secs(1);
/// The time from the end of a term until another router claims, at most.
const MARGIN: Duration = Duration::from_secs(1);
/// The pace of the test's own schedule on a busy machine.
const SLACK: Duration = Duration::from_secs(2);

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "again", "host": HOST, "path_prefix": "/again/", "kind": "idempotent",
            "timeout_ms": 2000, "target_latency_ms": 1000, "service": "s1", "max_attempts": 2,
            "anonymous": false
        }],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    })
}

/// Guards against calls that the endpoint does not understand, two holders at a time, and a dead holder
/// whom nobody follows, where the whole path over sockets is used.
#[tokio::test]
async fn one_router_reports_usage_and_another_follows_it() {
    let (store, store_address) = Store::start().await;
    let (target, target_address) = Target::start("i-1").await;
    let (endpoint, calls) = endpoint::spawn(Faults::default()).await.expect("it starts");
    store.put("keyed.op", "config", Some(configuration()));
    let server = json!({
        "service": "s1", "address": target_address, "zone": "dc-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "sequence": 1
    });
    store.put("keyed.servers", "i-1", Some(server));
    let start = |name: &str| {
        Daemon::start_with(store_address, |settings| {
            let hosting = &mut settings["hosting"];
            hosting["duty_endpoint"] = json!(endpoint.address());
            hosting["duty_node"] = json!(name);
            hosting["duties"] = json!(["usage_report", "an_unknown_one"]);
            hosting["duty_lease_ms"] = json!(LEASE.as_millis());
            hosting["usage_window_s"] = json!(1);
        })
    };
    let mut daemons = vec![("n1", start("n1")), ("n2", start("n2"))];
    for (_, daemon) in &daemons {
        wait_until("ready", async || daemon.is_ready().await).await;
        wait_until("the target is known", async || {
            daemon.call(Method::POST, "/again/x").await.status() == 200
        })
        .await;
    }
    let reports = |from: usize| -> Vec<Call> { calls.all().split_off(from) };
    // Windows in which no request began may be reported before.
    let counted = |call: &Call| {
        let body: Value = serde_json::from_slice(&call.body).expect("JSON");
        body["counts"]["t1"].as_u64().unwrap_or(0)
    };
    wait_until("a report with requests", async || {
        daemons[0].1.call(Method::POST, "/again/x").await;
        reports(0).iter().any(|call| counted(call) > 0)
    })
    .await;
    let first = reports(0).remove(0);
    assert_eq!(first.path, "/usage");
    sleep(Duration::from_secs(3)).await;
    let windows: BTreeMap<Bytes, u64> = reports(0)
        .iter()
        .map(|call| (call.body.clone(), counted(call)))
        .collect();
    let (sum, ran) = (
        windows.values().sum::<u64>(),
        target.requests().len() as u64,
    );
    assert!(sum <= ran, "{sum} reported of {ran}");

    let holder = daemons.iter().position(|(name, _)| *name == first.holder);
    let (killed, mut daemon) = daemons.remove(holder.expect("a name that was given"));
    daemon.child.kill().expect("it runs");
    let ended = Instant::now();
    let before = calls.all().len();
    let (_, other) = &daemons[0];
    wait_until("a report of the other router", async || {
        other.call(Method::POST, "/again/x").await;
        !reports(before).is_empty()
    })
    .await;
    // A call in flight at the kill may have arrived just after it.
    wait_until("another holder", async || {
        other.call(Method::POST, "/again/x").await;
        reports(before).iter().any(|call| call.holder != killed)
    })
    .await;
    let next = reports(before)
        .into_iter()
        .find(|call| call.holder != killed);
    let next = next.expect("waited for");
    let window_and_close = Duration::from_secs(1 + 4);
    let took = next.at - ended;
    assert!(
        took < LEASE * 2 + MARGIN + window_and_close + SLACK,
        "{took:?}"
    );
    assert!(
        next.fence > first.fence,
        "{} after {}",
        next.fence,
        first.fence
    );
    sleep(Duration::from_secs(2)).await;
    let mut highest = 0;
    for call in calls.all() {
        assert_eq!(call.status, 200, "{call:?}");
        assert!(call.fence >= highest, "{call:?}");
        highest = call.fence;
    }
    // Repeats of a window are byte for byte the same.
    let mut windows = BTreeMap::new();
    for call in calls.all() {
        let body: Value = serde_json::from_slice(&call.body).expect("JSON");
        let window = body["window"].as_u64().expect("a number");
        let first = windows.entry(window).or_insert_with(|| call.body.clone());
        assert_eq!(*first, call.body, "window {window}");
    }
}
