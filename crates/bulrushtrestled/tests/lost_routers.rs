//! The records of routers in the store: those of lost routers are cleared, and whoever runs writes its own again.

#[path = "support/address.rs"]
mod address;
#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/hosting.rs"]
mod hosting;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use self::hosted::{Daemon, HOST, wait_until};
use self::hosting::Store;

const TOPIC: &str = "keyed.routers";
/// The time after which a lost router is asked whether it runs (20 s), and the time to answer (10 s), with what detection,
/// reads and writes add at most: 3 s, 5 s each for two reads, and one more read.
const CLEARED_WITHIN: Duration = Duration::from_secs(50);

/// Returns a store with a configuration, and daemons that use it.
async fn start(daemons: usize) -> (Arc<Store>, Vec<Daemon>) {
    let (store, address) = Store::start().await;
    store.configure(json!({
        "version": 1,
        "routes": [{
            "name": "again", "host": HOST, "path_prefix": "/again/", "kind": "idempotent", "timeout_ms": 2_000,
            "target_latency_ms": 1_000, "service": "s1", "max_attempts": 2, "anonymous": false
        }],
        "services": [{"name": "s1", "max_conns": 100}],
        "limits": {"max_body_bytes": 1024},
        "tenants": [{"name": "t1", "api_keys": ["k1"]}]
    }));
    let daemons: Vec<Daemon> = (0..daemons).map(|_| Daemon::start(address)).collect();
    wait_until("all have announced themselves", async || {
        daemons
            .iter()
            .all(|daemon| record(&store, daemon).is_some())
    })
    .await;
    (store, daemons)
}

/// Returns the key of the record of a daemon: its address for peers, one port above that for callers.
fn key(daemon: &Daemon) -> String {
    let at = daemon.callers;
    SocketAddr::new(at.ip(), at.port() + 1).to_string()
}

fn record(store: &Store, daemon: &Daemon) -> Option<Value> {
    let text = store.value(TOPIC, &key(daemon))?;
    serde_json::from_str(&text).ok()
}

/// Guards against routers that stay listed for good once they are lost, and against clearing the record of one that is only
/// silent: a process that is stopped for some seconds answers when it goes on.
#[tokio::test]
async fn the_record_of_a_killed_router_is_cleared() {
    let (store, mut daemons) = start(4).await;
    // Time to find each other.
    sleep(Duration::from_secs(6)).await;
    let killed = daemons.pop().expect("four daemons");
    let killed_key = key(&killed);
    drop(killed);
    let silent = &daemons[0];
    silent.signal("STOP");
    sleep(Duration::from_secs(12)).await;
    silent.signal("CONT");
    let is_listed = || store.keys(TOPIC).contains(&killed_key);
    let mut waited = Duration::from_secs(12);
    assert!(is_listed(), "not cleared at once");
    while is_listed() && waited < CLEARED_WITHIN {
        sleep(Duration::from_millis(500)).await;
        waited += Duration::from_millis(500);
    }
    assert!(!is_listed(), "still listed after {waited:?}");
    for daemon in &daemons {
        assert!(record(&store, daemon).is_some(), "{} runs", key(daemon));
        assert!(daemon.is_ready().await);
    }
}

/// Guards against a router that runs and is cleared from the list, because its peers do not hear it.
#[tokio::test]
async fn a_router_that_runs_writes_its_record_again() {
    struct Case {
        name: &'static str,
        value: Option<Value>,
    }
    let cases = [
        Case {
            name: "asked whether it runs",
            value: Some(json!({"data_centre": "dc-a", "is_questioned": true})),
        },
        Case {
            name: "removed",
            value: None,
        },
    ];
    let (store, daemons) = start(1).await;
    let daemon = &daemons[0];
    let own = Some(json!({"data_centre": "dc-a"}));
    for Case { name, value } in cases {
        for _ in 0..2 {
            store.put(TOPIC, &key(daemon), value.clone());
            wait_until(name, async || record(&store, daemon) == own).await;
        }
    }
    let written = store.count(TOPIC, &key(daemon));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        store.count(TOPIC, &key(daemon)),
        written,
        "and not once more"
    );
}
