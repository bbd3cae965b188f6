//! The store is down while a rollout ends.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::client::{self, Load};
use crate::rollout;
use crate::setup::{self, PATH, Record, sleep_s};
use crate::store::Store;

const DURATION_S: u32 = 12;
/// When the store goes down and comes back, in seconds after the order.
const DOWN_AT_S: f64 = 8.0;
const UP_AT_S: f64 = 24.0;
/// How long after the store's return the status is waited for: six times `stretch_max_ms`.
const WAIT: Duration = Duration::from_secs(30);

pub fn run(folder: &Path, record: &Path, trouble: bool) -> u8 {
    let mut out = Record::begin();
    let (store, address) = Store::start();
    store.put("keyed.op", "config", Some(&setup::configuration()));
    let old_servers = rollout::start_servers(&store, "old", "v1", 0);
    let Some(routers) = setup::start_routers(folder, 1, 3, address) else {
        out.line("a router is not ready");
        out.write(record);
        return 2;
    };
    out.line("three routers are ready");
    let loads: Vec<_> = routers
        .iter()
        .map(|it| Load::start(it.callers, PATH, 60.0))
        .collect();
    sleep_s(4.0);
    let new_servers = rollout::start_servers(&store, "new", "v2", 0);
    sleep_s(2.0);
    let ordered = rollout::order(&store, &mut out, DURATION_S);
    let before = rollout::wait_for(
        &store,
        &mut out,
        &["completed", "rolled_back"],
        Duration::from_secs_f64(DOWN_AT_S),
    );
    if before != "running" {
        out.line(format!("the rollout is {before} before the outage"));
        out.write(record);
        return 2;
    }
    if trouble {
        store.set_down(true);
        out.line("the store is down: it turns every call away with 503");
    }
    let up_at = ordered + Duration::from_secs_f64(UP_AT_S);
    let mut last = String::new();
    while Instant::now() < up_at {
        let now = rollout::state(&store);
        if now != last {
            out.line(format!("state in the store: {now}"));
            last = now;
        }
        sleep_s(0.05);
    }
    if trouble {
        store.set_down(false);
        out.line("the store is back");
    }
    let state = rollout::wait_for(&store, &mut out, &["completed", "rolled_back"], WAIT);
    loads.iter().for_each(Load::stop);
    sleep_s(2.0);
    let count = |servers: &[std::sync::Arc<crate::server::Server>]| -> (usize, usize) {
        let all: Vec<_> = servers.iter().flat_map(|it| it.runs()).collect();
        let late = all.iter().filter(|it| it.at > up_at).count();
        (all.len(), late)
    };
    let ((old, old_late), (new, new_late)) = (count(&old_servers), count(&new_servers));
    out.line(format!("runs at v1: {old}, {old_late} of them after the outage; at v2: {new}, {new_late} of them after it"));
    for (load, router) in loads.iter().zip(&routers) {
        out.line(format!(
            "answers of {}: {}",
            router.name,
            client::by_status(load.seen().iter())
        ));
    }
    let code = u8::from(state != "completed");
    out.line(format!(
        "Duty: the version is good and takes all requests; {} s after the store's return the state is {state}; exit code {code}",
        WAIT.as_secs()
    ));
    out.list(&loads, &[old_servers, new_servers].concat());
    out.write(record);
    code
}
