//! The daemon on a hosting platform whose store is restored from an older copy.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use self::hosted::{Daemon, HOST, send, wait_until};
use self::hosting::{Store, Target};

/// The time within which a router has to apply a new configuration.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// The time after which operators and targets write their records again. It is not that of a held-back
/// read (1.5 s): a record at its very end leaves a router alone without news for the 3 s after which it
/// stops to serve, restored or not.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_200);
/// The time after a restore when keys that were not written again have been removed: the settling
/// of the era, and the longest time between two reads.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// The time after the start within which routers know each other and a recorded rollout.
const KNOWN_AFTER: Duration = Duration::from_secs(4);
/// A copy from before everything was written.
const EMPTY: Duration = Duration::from_secs(3_600);

/// Returns a configuration in which organisation `t1` has this API key.
fn configuration(version: u32, key: &str) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "again", "host": HOST, "path_prefix": "/again/", "kind": "idempotent", "timeout_ms": 2_000,
            "target_latency_ms": 1_000, "service": "s1", "max_attempts": 2, "anonymous": false
        }],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": [key]}]
    })
}

fn server(address: SocketAddr, version: &str, sequence: u32) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": version, "slots": 8,
        "state": "ready", "cold_left_ms": 0, "born": 1_000, "sequence": sequence
    })
}

/// Returns the status of a request with this API key.
async fn status(daemon: &Daemon, key: &str) -> StatusCode {
    let token = format!("Bearer {key}");
    let headers = [
        ("attempt-id", "a1"),
        ("deadline-ms", "3000"),
        ("authorization", token.as_str()),
    ];
    let answer = send(daemon.callers, Method::POST, "/again/x", &headers, "body");
    answer.await.expect("an answer").status()
}

async fn is_served(daemon: &Daemon, key: &str) -> bool {
    status(daemon, key).await == 200
}

/// Asserts that requests with this key are served from now on within the time for a configuration.
async fn assert_applied(daemon: &Daemon, key: &str, case: &str) {
    let written = Instant::now();
    wait_until(case, async || is_served(daemon, key).await).await;
    let took = written.elapsed();
    assert!(took <= APPLIED_WITHIN, "{case}: {took:?}");
}

/// Starts a store with several versions of a configuration, of which the last has the key `k3`, and a
/// daemon that serves requests at a target.
async fn start() -> (Arc<Store>, Arc<Target>, SocketAddr, Daemon) {
    let (store, store_address) = Store::start().await;
    let (target, address) = Target::start("i-1").await;
    for version in 1..=3 {
        store.configure(configuration(version, &format!("k{version}")));
    }
    store.add_target("i-1", server(address, "v1", 1));
    let daemon = Daemon::start(store_address);
    wait_until("ready", async || daemon.is_ready().await).await;
    wait_until("a target is known", async || is_served(&daemon, "k3").await).await;
    (store, target, store_address, daemon)
}

/// Guards against taking each record after a restore for an old one, because its offset was given out
/// before, so that operators' changes have no effect until the router restarts.
#[tokio::test]
async fn a_record_that_is_written_after_a_restore_is_applied() {
    let (store, _target, _, daemon) = start().await;
    let lost = store.restore(EMPTY);
    sleep(WRITTEN_AGAIN_AFTER).await;
    // The newest of the lost records only, so that offsets stay below those of the former era.
    store.write_again(&lost[2..]);
    store.configure(configuration(4, "k4"));
    assert_applied(&daemon, "k4", "after the first restore").await;
    assert!(daemon.is_ready().await);
    // Twice in a row, without a read between the restores.
    let lost = store.restore(EMPTY);
    store.restore(EMPTY);
    store.write_again(&lost[1..]);
    store.configure(configuration(5, "k5"));
    assert_applied(&daemon, "k5", "after the third restore").await;
}

/// Guards against a router that nobody finds after a restore, because its record is gone, and against a
/// second key of the fleet, by which routers that start later would find none of those that run.
#[tokio::test]
async fn what_a_router_wrote_is_written_again_after_a_restore() {
    let (store, _target, store_address, daemon) = start().await;
    let second = Daemon::start(store_address);
    wait_until("the second is ready", async || second.is_ready().await).await;
    let known = async || {
        let key = store.value("keyed.routers", "fleet-key");
        (store.keys("keyed.routers"), key)
    };
    wait_until("both are known", async || known().await.0.len() == 3).await;
    let before = known().await;
    for _ in 0..2 {
        let lost = store.restore(EMPTY);
        sleep(WRITTEN_AGAIN_AFTER).await;
        store.write_again(&lost);
        wait_until("all is written again", async || known().await == before).await;
    }
    assert_eq!(store.count("keyed.routers", "fleet-key"), 1, "written once");
    let own = before.0.iter().filter(|key| *key != "fleet-key");
    for key in own {
        assert_eq!(
            store.count("keyed.routers", key),
            1,
            "{key} is written once"
        );
    }
    let third = Daemon::start(store_address);
    wait_until("the third is served", async || {
        third.is_ready().await && is_served(&third, "k3").await
    })
    .await;
    assert!(is_served(&daemon, "k3").await);
    assert_eq!(known().await.1, before.1, "the key is the former one");
}

/// Guards against going back to a configuration that operators had replaced, because the older copy
/// shows it at a later offset.
#[tokio::test]
async fn an_older_configuration_of_a_restored_copy_is_not_applied() {
    let (store, _target, _, daemon) = start().await;
    sleep(Duration::from_millis(50)).await;
    let copied = Instant::now();
    store.configure(configuration(4, "k4"));
    wait_until("version 4", async || is_served(&daemon, "k4").await).await;
    let lost = store.restore(copied.elapsed());
    assert_eq!(lost.len(), 1, "only version 4 is lost");
    let restored = Instant::now();
    while restored.elapsed() < SETTLED_AFTER {
        assert_eq!(status(&daemon, "k4").await, 200);
        assert_eq!(status(&daemon, "k3").await, 401);
        sleep(Duration::from_millis(100)).await;
        if restored.elapsed() > WRITTEN_AGAIN_AFTER && store.count("keyed.op", "config") == 3 {
            store.write_again(&lost);
        }
    }
    store.configure(configuration(5, "k5"));
    assert_applied(&daemon, "k5", "the next version").await;
}

/// Guards against dropping targets that a copy does not show yet, and against taking the record that
/// such a target writes again for a repetition of one from before its removal.
#[tokio::test]
async fn a_target_that_is_written_again_is_used() {
    let (store, _target, _, daemon) = start().await;
    let lost = store.restore(EMPTY);
    let (targets, configurations): (Vec<_>, Vec<_>) =
        lost.into_iter().partition(|lost| lost.key == "i-1");
    store.write_again(&configurations);
    let restored = Instant::now();
    while restored.elapsed() < WRITTEN_AGAIN_AFTER {
        assert_eq!(status(&daemon, "k3").await, 200, "{:?}", restored.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    // The removal takes effect, because the target is late.
    wait_until("the target is removed", async || {
        status(&daemon, "k3").await == 503
    })
    .await;
    store.write_again(&targets);
    assert_applied(&daemon, "k3", "the same record again").await;
}

/// Guards against applying what was read before a restore after it: an answer that was on its way
/// would hide the records that have its offsets now.
#[tokio::test]
async fn an_answer_from_before_a_restore_has_no_effect_after_it() {
    let (store, _target, _, daemon) = start().await;
    sleep(Duration::from_millis(50)).await;
    let copied = Instant::now();
    store.set_delay(Duration::from_millis(400));
    store.configure(configuration(4, "k4"));
    sleep(Duration::from_millis(100)).await;
    store.restore(copied.elapsed());
    store.configure(configuration(5, "k5"));
    sleep(Duration::from_millis(200)).await;
    store.set_delay(Duration::ZERO);
    assert_applied(&daemon, "k5", "the record at the same offset").await;
    sleep(SETTLED_AFTER).await;
    assert!(is_served(&daemon, "k5").await);
}

/// Guards against a router that the store turns away through restores and that takes what its peer
/// passes on for older records, or writes what it has missed.
#[tokio::test]
async fn a_router_that_is_cut_off_learns_of_restores_from_its_peer() {
    let (store, _target, _, _served) = start().await;
    let (is_closed, second) = store.open_second().await;
    let daemon = Daemon::start(second);
    wait_until("ready", async || daemon.is_ready().await).await;
    sleep(KNOWN_AFTER).await;
    is_closed.store(true, Ordering::Relaxed);
    let fleet_key = store.value("keyed.routers", "fleet-key");
    for version in 4..=5 {
        let lost = store.restore(EMPTY);
        sleep(WRITTEN_AGAIN_AFTER / 2).await;
        // One configuration and the target: fewer records than before.
        store.write_again(&lost[lost.len() - 2..]);
        let key = format!("k{version}");
        store.configure(configuration(version, &key));
        assert_applied(&daemon, &key, "while it is cut off").await;
    }
    sleep(SETTLED_AFTER).await;
    assert!(daemon.is_ready().await, "it goes on serving");
    assert!(is_served(&daemon, "k5").await);
    is_closed.store(false, Ordering::Relaxed);
    wait_until("both records are back", async || {
        store.keys("keyed.routers").len() == 3
    })
    .await;
    store.configure(configuration(6, "k6"));
    assert_applied(&daemon, "k6", "once it reads again").await;
    assert_eq!(store.value("keyed.routers", "fleet-key"), fleet_key);
    assert_eq!(store.count("keyed.routers", "fleet-key"), 1);
}

/// Guards against starting a rollout anew that was final before a restore, because its order has
/// another offset afterwards, and against losing the status that operators wait for.
#[tokio::test]
async fn a_final_rollout_stays_final_through_a_restore() {
    struct Case {
        name: &'static str,
        /// The versions ordered before and after the copy was made.
        copied: &'static [&'static str],
        lost: &'static [&'static str],
        /// The state that is recorded for the last order.
        state: &'static str,
        serves: &'static str,
    }
    let cases = [
        Case {
            name: "not in the copy",
            copied: &[],
            lost: &["v2"],
            state: "completed",
            serves: "v2",
        },
        Case {
            name: "rolled back",
            copied: &[],
            lost: &["v2"],
            state: "rolled_back",
            serves: "v1",
        },
        Case {
            name: "in the copy",
            copied: &["v2"],
            lost: &[],
            state: "completed",
            serves: "v2",
        },
        Case {
            name: "ordered twice, the first is in the copy",
            copied: &["v2"],
            lost: &["v2"],
            state: "completed",
            serves: "v2",
        },
        Case {
            name: "another order is in the copy",
            copied: &["v1"],
            lost: &["v2"],
            state: "completed",
            serves: "v2",
        },
    ];
    for case in cases {
        let name = case.name;
        let (store, store_address) = Store::start().await;
        store.configure(configuration(1, "k1"));
        let (old, old_address) = Target::start("i-old").await;
        let (new, new_address) = Target::start("i-new").await;
        store.add_target("i-old", server(old_address, "v1", 1));
        store.add_target("i-new", server(new_address, "v2", 1));
        let order = |version: &str| {
            let order = json!({"service": "s1", "target": version, "duration_s": 60});
            store.put("keyed.op", "rollout/s1", Some(order));
        };
        case.copied.iter().for_each(|version| order(version));
        sleep(Duration::from_millis(50)).await;
        let copied = Instant::now();
        case.lost.iter().for_each(|version| order(version));
        let offset = case.copied.len() + case.lost.len();
        let recorded = json!({"state": case.state, "target": "v2", "order": offset});
        store.put("keyed.status", "rollout/s1", Some(recorded));
        let daemon = Daemon::start(store_address);
        wait_until("ready", async || daemon.is_ready().await).await;
        sleep(KNOWN_AFTER).await;

        let lost = store.restore(copied.elapsed());
        assert_eq!(store.value("keyed.status", "rollout/s1"), None, "{name}");
        sleep(WRITTEN_AGAIN_AFTER).await;
        // The order has another offset than before.
        store.put("keyed.op", "other", Some(json!({})));
        store.write_again(&lost);
        let before = (old.arrived(), new.arrived());
        let restored = Instant::now();
        while restored.elapsed() < SETTLED_AFTER {
            assert_eq!(status(&daemon, "k1").await, 200, "{name}");
            sleep(Duration::from_millis(50)).await;
            if let Some(value) = store.value("keyed.status", "rollout/s1") {
                assert!(
                    value.contains(&format!("\"{}\"", case.state)),
                    "{name}: {value}"
                );
            }
        }
        let (old, new) = (old.arrived() - before.0, new.arrived() - before.1);
        let others = if case.serves == "v1" { new } else { old };
        assert_eq!(others, 0, "{name}: {old} to v1, {new} to v2");
        let value = store.value("keyed.status", "rollout/s1");
        assert!(value.is_some(), "{name}: the status is written again");
    }
}
