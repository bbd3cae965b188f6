//! Rollouts that were final before the daemon started, as the platform's store records them.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use self::hosted::{Daemon, HOST, wait_until};
use self::hosting::{Store, Target};

/// The offset of the order in the operators' topic, where the configuration comes first.
const ORDER: u64 = 1;
/// The requests of a case.
const REQUESTS: usize = 40;
/// The time after its start within which a daemon has to know what is recorded.
const KNOWN_AFTER: Duration = Duration::from_secs(4);

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "again", "host": HOST, "path_prefix": "/again/", "kind": "idempotent", "timeout_ms": 2_000,
            "target_latency_ms": 1_000, "service": "s1", "max_attempts": 1, "anonymous": false
        }],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    })
}

fn server(address: SocketAddr, version: &str) -> Value {
    json!({
        "service": "s1", "address": address, "zone": "dc-a", "version": version, "slots": 8,
        "state": "ready", "cold_left_ms": 0, "sequence": 1
    })
}

/// Guards against a daemon that takes the order of a completed rollout for a new one after its start, so that it sends requests
/// to the old version, whose targets stop, and reports the rollout as running again; and against one that takes the status of
/// an earlier order for that of the order in force.
#[tokio::test]
async fn a_daemon_goes_by_the_recorded_status_of_the_order_in_force() {
    struct Case {
        name: &'static str,
        recorded: Option<Value>,
        /// Whether the targets of the old version are still listed.
        has_old: bool,
        /// The version that gets the requests.
        serves: &'static str,
        /// The state that the status shows in the end.
        state: &'static str,
    }
    let status =
        |state: &str, order: u64| Some(json!({"state": state, "target": "v2", "order": order}));
    let cases = [
        Case {
            name: "completed",
            recorded: status("completed", ORDER),
            has_old: true,
            serves: "v2",
            state: "completed",
        },
        Case {
            name: "completed, old targets gone",
            recorded: status("completed", ORDER),
            has_old: false,
            serves: "v2",
            state: "completed",
        },
        Case {
            name: "completed, as earlier releases record it",
            recorded: Some(json!({"state": "completed", "target": "v2"})),
            has_old: true,
            serves: "v2",
            state: "completed",
        },
        Case {
            name: "rolled back",
            recorded: status("rolled_back", ORDER),
            has_old: true,
            serves: "v1",
            state: "rolled_back",
        },
        Case {
            name: "an earlier order was completed",
            recorded: status("completed", 0),
            has_old: true,
            serves: "v1",
            state: "running",
        },
        Case {
            name: "nothing recorded, no old targets",
            recorded: None,
            has_old: false,
            serves: "v2",
            state: "running",
        },
    ];
    for case in cases {
        let name = case.name;
        let (store, store_address) = Store::start().await;
        store.configure(configuration());
        let order = json!({"service": "s1", "target": "v2", "duration_s": 60});
        store.put("keyed.op", "rollout/s1", Some(order));
        if let Some(recorded) = case.recorded {
            store.put("keyed.status", "rollout/s1", Some(recorded));
        }
        let (old, old_address) = Target::start("i-old").await;
        let (new, new_address) = Target::start("i-new").await;
        if case.has_old {
            store.add_target("i-old", server(old_address, "v1"));
        }
        store.add_target("i-new", server(new_address, "v2"));
        let daemon = Daemon::start(store_address);
        wait_until("ready", async || daemon.is_ready().await).await;
        sleep(KNOWN_AFTER).await;
        let before = (old.arrived(), new.arrived());
        for _ in 0..REQUESTS {
            let answer = daemon.call(Method::POST, "/again/x").await;
            assert_eq!(answer.status(), 200, "{name}");
        }
        let (old, new) = (old.arrived() - before.0, new.arrived() - before.1);
        let others = if case.serves == "v1" { new } else { old };
        // A move that has just begun may send one request in a hundred to the new version.
        let others_max = usize::from(case.state == "running");
        assert!(others <= others_max, "{name}: {old} to v1, {new} to v2");
        wait_until(name, async || {
            let value = store.value("keyed.status", "rollout/s1");
            value.is_some_and(|value| value.contains(&format!("\"{}\"", case.state)))
        })
        .await;
    }
}
