//! What the cases with rollouts share: the operator's order, the platform's view of its status, and what
//! the platform does then.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::server::Server;
use crate::setup::{self, Record, ZONES, sleep_s};
use crate::store::Store;

pub const STATUS: (&str, &str) = ("keyed.status", "rollout/booking");

/// Starts the servers of a version, one in each zone.
pub fn start_servers(
    store: &Arc<Store>,
    prefix: &str,
    version: &'static str,
    fails: u32,
) -> Vec<Arc<Server>> {
    let start = |zone: &&'static str| {
        Server::start(
            store,
            setup::entry(&format!("{prefix}-{zone}"), zone, version),
            fails,
        )
    };
    ZONES.iter().map(start).collect()
}

/// Orders a rollout to `v2`.
pub fn order(store: &Store, out: &mut Record, duration_s: u32) -> Instant {
    let order = format!(r#"{{"service":"booking","target":"v2","duration_s":{duration_s}}}"#);
    let offset = store.put("keyed.op", "rollout/booking", Some(&order));
    out.line(format!(
        "the operator writes op/rollout/booking {order}; the store accepts it at offset {offset}"
    ));
    Instant::now()
}

/// Returns the state that the system has written, or `none`.
pub fn state(store: &Store) -> String {
    let status = store.value(STATUS.0, STATUS.1).unwrap_or_default();
    let state = status
        .split(r#""state":""#)
        .nth(1)
        .and_then(|it| it.split('"').next());
    state.unwrap_or("none").to_owned()
}

/// Waits until the state is one of `wanted`, and records each change. Returns the last state.
pub fn wait_for(store: &Store, out: &mut Record, wanted: &[&str], most: Duration) -> String {
    let until = Instant::now() + most;
    let mut last = String::new();
    loop {
        let now = state(store);
        if now != last {
            let value = store
                .value(STATUS.0, STATUS.1)
                .unwrap_or_else(|| "-".to_owned());
            out.line(format!("status/rollout/booking: {value}"));
            last = now;
        }
        if wanted.contains(&last.as_str()) || Instant::now() >= until {
            return last;
        }
        sleep_s(0.05);
    }
}
