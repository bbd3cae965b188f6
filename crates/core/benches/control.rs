//! What control costs and how fast it is: propagation of edits, recovery, traffic by fleet size.
//!
//! All in virtual time over the real decisions, so the figures are the same on every run.

#[path = "../tests/fixture/mod.rs"]
mod fixture;
mod report;

use std::process::ExitCode;

use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Kind, Pool, Service};
use bulrushtrestle_core::prelude::*;

use self::fixture::{Fleet, Setup, setup};
use self::report::{Bound, Report};

/// The users' limit of control traffic for one router, in bytes per second.
const CONTROL_BYTES: f64 = 3_000.0;
/// The users' limit for an edit to be in force everywhere, in seconds.
const IN_FORCE: f64 = 8.0;
/// The users' "few seconds" within which a fleet notices that a router has died.
const NOTICED: f64 = 5.0;
/// Within this time a router that was replaced serves again, in seconds; the same "few seconds".
const RECOVERED: f64 = 5.0;
/// The resolution of the times that are measured.
const STEP: Duration = Duration::from_millis(10);

fn main() -> ExitCode {
    let mut report = Report::new("control");
    for routers in [8, 32, 128, 430] {
        at_rest(&mut report, routers);
    }
    for routers in [8, 128, 430] {
        edit(&mut report, routers, 3);
    }
    edit(&mut report, 8, 22_000);
    recovery(&mut report, 22_000);
    report.finish()
}

/// Measures heartbeats and rows of a fleet without requests.
fn at_rest(report: &mut Report, routers: u32) {
    let Setup { mut fleet, .. } = setup(routers, 3, 3, 1);
    fleet.run(Duration::from_secs(20));
    let (messages, bytes) = (fleet.messages, fleet.bytes);
    let time = Duration::from_secs(20);
    fleet.run(time);
    let per = |count: u64| count as f64 / time.as_secs_f64() / f64::from(routers);
    report.bounded(
        &format!("control bytes at rest, {routers} routers"),
        per(fleet.bytes - bytes),
        "B/s",
        Bound::AtMost(CONTROL_BYTES),
        "letter 1: 3 KB/s",
    );
    let messages = per(fleet.messages - messages);
    report.figure(
        &format!("control messages at rest, {routers} routers"),
        messages,
        "1/s",
    );
    fleet.kill(RouterId(3));
    let seen = |fleet: &Fleet| {
        let others = fleet.hosts.iter().filter(|(_, host)| host.up);
        others
            .filter(|(_, host)| host.node.status(fleet.now).live.contains(&RouterId(3)))
            .count()
    };
    let noticed = until(&mut fleet, |fleet| seen(fleet) == 0);
    report.bounded(
        &format!("death of a router known to all, {routers} routers"),
        noticed,
        "s",
        Bound::AtMost(NOTICED),
        "brief: a few seconds",
    );
}

/// Measures the time from an edit on the log to the last router that applies it.
fn edit(report: &mut Report, routers: u32, organisations: u32) {
    let Setup { mut fleet, .. } = setup(routers, 3, organisations, 2);
    fleet.run(Duration::from_secs(10));
    let entry = Pool {
        name: "new".to_owned(),
        service: Service::Plain,
        bounds: Bounds::default(),
        autoscale: None,
    };
    fleet.publish(Entry::Pool(entry), None);
    let time = until(&mut fleet, |fleet| {
        let applied = |node: &bulrushtrestle_core::node::Node| {
            node.catalogue().stored(Kind::Pool, "new").is_some()
        };
        fleet.hosts.values().all(|host| applied(&host.node))
    });
    report.bounded(
        &format!("edit in force at the last of {routers} routers, {organisations} organisations"),
        time,
        "s",
        Bound::AtMost(IN_FORCE),
        "letter 1: 8 s",
    );
}

/// Measures how long a replaced router takes to serve, with the log and from its peers.
fn recovery(report: &mut Report, organisations: u32) {
    for down in [false, true] {
        let Setup { mut fleet, .. } = setup(8, 3, organisations, 3);
        fleet.run(Duration::from_secs(10));
        fleet.log.down = down;
        fleet.run(Duration::from_secs(5));
        fleet.kill(RouterId(1));
        fleet.restart(RouterId(1));
        let bytes = fleet.bytes;
        let time = until(&mut fleet, |fleet| {
            fleet.hosts[&RouterId(1)].node.is_ready()
        });
        let source = if down {
            "from peers, log down"
        } else {
            "from the log"
        };
        report.bounded(
            &format!("empty router serves, {organisations} organisations, {source}"),
            time,
            "s",
            Bound::AtMost(RECOVERED),
            "brief: a few seconds",
        );
        let moved = (fleet.bytes - bytes) as f64 / 1e6;
        report.figure(
            &format!("  bytes between routers meanwhile, {source}"),
            moved,
            "MB",
        );
    }
}

/// Runs the fleet until `done`, and returns how long it took in seconds, at most a minute.
fn until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> f64 {
    let start = fleet.now;
    while !done(fleet) && fleet.now.since(start) < Duration::from_secs(60) {
        fleet.run(STEP);
    }
    fleet.now.since(start).as_secs_f64()
}
