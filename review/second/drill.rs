//! A rollout is ordered again after a drill in which the store came back from an older copy.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{self, Load};
use crate::fleet::Router;
use crate::rollout;
use crate::server::Server;
use crate::setup::{self, PATH, Record, sleep_s};
use crate::store::{Lost, Store};

const DURATION_S: u32 = 14;
/// The age of the copy, in seconds.
const COPY_S: f64 = 3.0;

pub fn run(folder: &Path, record: &Path, trouble: bool) -> u8 {
    let mut out = Record::begin();
    let (store, address) = Store::start();
    store.put("keyed.op", "config", Some(&setup::configuration()));
    let old = rollout::start_servers(&store, "old", "v1", 0);
    let Some(mut routers) = setup::start_routers(folder, 1, 3, address) else {
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
    let bad = rollout::start_servers(&store, "bad", "v2", 1_000);
    out.line("servers of v2 start; all their answers are failures");
    sleep_s(2.0);
    rollout::order(&store, &mut out, DURATION_S);
    let first = rollout::wait_for(
        &store,
        &mut out,
        &["completed", "rolled_back"],
        Duration::from_secs(20),
    );
    if first != "rolled_back" {
        out.line(format!("the bad version is {first}"));
        out.write(record);
        return 2;
    }
    sleep_s(3.0);
    bad.iter().for_each(|it| it.stop(&store));
    out.line("the servers of v2 have left");
    sleep_s(2.0);
    let copy = store.copy();
    sleep_s(COPY_S);
    if trouble {
        routers.iter_mut().for_each(Router::kill);
        out.line("all routers are killed at the same moment");
        let lost = store.restore(copy);
        out.line(format!(
            "drill: the store comes back from a copy {COPY_S} s old; {} records are lost",
            lost.len()
        ));
        sleep_s(0.5);
        write_again(&store, &lost);
        out.line("the operator and the servers have written theirs again");
        routers.iter_mut().for_each(Router::start);
        if !routers
            .iter()
            .all(|it| it.wait_ready(Duration::from_secs(20)))
        {
            out.line("a router is not ready");
            out.write(record);
            return 2;
        }
        out.line("the routers have started again");
    }
    sleep_s(8.0);
    let good = rollout::start_servers(&store, "good", "v2", 0);
    out.line("servers of v2 start; all their answers are good");
    sleep_s(2.0);
    rollout::order(&store, &mut out, DURATION_S);
    // The status of the order before is replaced, or the same state is written for this order.
    let before = store.value(rollout::STATUS.0, rollout::STATUS.1);
    let mut state = String::new();
    for _ in 0..(u64::from(DURATION_S) + 5) * 10 {
        sleep_s(0.1);
        let now = rollout::state(&store);
        if now != state {
            out.line(format!("state in the store: {now}"));
            state = now;
        }
        if state == "completed" {
            break;
        }
    }
    loads.iter().for_each(Load::stop);
    sleep_s(2.0);
    let after = store.value(rollout::STATUS.0, rollout::STATUS.1);
    out.line(format!(
        "status before the second order: {before:?}; now: {after:?}"
    ));
    let count = |servers: &[Arc<Server>]| servers.iter().map(|it| it.runs().len()).sum::<usize>();
    out.line(format!(
        "runs at v1: {}, at the bad v2: {}, at the good v2: {}",
        count(&old),
        count(&bad),
        count(&good)
    ));
    for (load, router) in loads.iter().zip(&routers) {
        out.line(format!(
            "answers of {}: {}",
            router.name,
            client::by_status(load.seen().iter())
        ));
    }
    let code = u8::from(state != "completed");
    out.line(format!("Duty: the version is good; 5 s after its time budget its state is {state}; exit code {code}"));
    out.list(&loads, &[old, bad, good].concat());
    out.write(record);
    code
}

fn write_again(store: &Store, lost: &[Lost]) {
    for Lost { topic, key, value } in lost {
        let value = value
            .as_ref()
            .map(|it| String::from_utf8_lossy(it).into_owned());
        store.put(topic, key, value.as_deref());
    }
}
