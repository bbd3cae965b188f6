//! A target that starts cold while the fleet runs: no more arrives in any second than it bears, whichever routers are
//! called, cut off, restarted or frozen; routers with demand use what it bears; afterwards its load grows step by step.

mod hosting;

use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::Kind;
use bulrushtrestle_core::input::{Input, StoreEvent, TargetState};
use bulrushtrestle_core::prelude::*;

use self::hosting::{Fleet, id};

/// What a cold target takes, in requests per second of all routers.
const COLD_PER_S: u32 = 8;
/// The most requests that may arrive at a cold target in any second: one and a half times what it takes, and five.
const ARRIVALS_MAX: usize = 17;
/// When the target begins its second run, in milliseconds.
const STARTS_AT_MS: u64 = 7_000;
/// How long it is cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// How long the load lasts, in milliseconds.
const LASTS_MS: u64 = 17_000;

/// A change of the fleet, at so many milliseconds after the target has started.
type Event = (u64, fn(&mut Fleet));

struct Case {
    name: &'static str,
    routers: usize,
    /// How many routers are called.
    called: usize,
    /// From when on all routers are called, in milliseconds after the target has started.
    all_from: u64,
    events: &'static [Event],
    /// The least number of requests that the target gets while it is cold.
    cold_min: usize,
    /// The most requests in the first second after the cold phase.
    first_max: usize,
}

const CASE: Case = Case {
    name: "",
    routers: 8,
    called: 8,
    all_from: u64::MAX,
    events: &[],
    cold_min: 0,
    first_max: usize::MAX,
};

fn target(number: u32) -> TargetId {
    TargetId(id(Kind::Target, &format!("t{number}")))
}

fn learn(fleet: &mut Fleet, at: usize, state: TargetState) {
    fleet.input(at, Input::Store(StoreEvent::Targets(vec![state])));
}

fn state(number: u32, run: u64, cold_ms: u64) -> TargetState {
    TargetState {
        target: target(number),
        leaving: false,
        cold_for: Duration::from_millis(cold_ms),
        started_ms: Some(run),
        sequence: 1,
    }
}

/// Restarts routers one second after the start of the target; they read its state at once.
fn restart(fleet: &mut Fleet, routers: std::ops::Range<usize>) {
    fleet.restart(routers.clone());
    for at in routers {
        learn(fleet, at, state(1, 2, COLD_MS - 1_000));
    }
}

/// Offers more than one warm target bears while the other one starts. Returns when the requests arrived at that one, in
/// milliseconds after its start.
fn play(case: &Case) -> Vec<u64> {
    let data_centres = if case.routers <= 16 { 1 } else { 5 };
    let capacities = vec![500; case.routers];
    let mut fleet = Fleet::placed(&capacities, data_centres, (2, 128), COLD_PER_S);
    let began = fleet.now;
    let mut turn = 0;
    for ms in 0..LASTS_MS {
        if ms == 0 {
            for at in 0..case.routers {
                learn(&mut fleet, at, state(1, 1, 0));
                learn(&mut fleet, at, state(2, 1, 0));
            }
        }
        if ms == STARTS_AT_MS {
            for at in 0..case.routers {
                learn(&mut fleet, at, state(1, 2, COLD_MS));
            }
        }
        for (at, event) in case.events {
            if ms == STARTS_AT_MS + at {
                event(&mut fleet);
            }
        }
        if ms % 2 == 0 {
            let is_late = ms >= case.all_from.saturating_add(STARTS_AT_MS);
            let called = if is_late { case.routers } else { case.called };
            let at = turn % called;
            turn += 1;
            if !fleet.dead.contains(&at) {
                fleet.submit_prompt(at, ["one", "many", "small"][turn % 3], &[], Repeat::Unkeyed);
            }
        }
        fleet.step();
    }
    let since = began + Duration::from_millis(STARTS_AT_MS);
    let sent = fleet.dispatched.iter();
    let sent = sent.filter(|(at, _, to, _)| *to == target(1) && *at > since);
    sent.map(|(at, ..)| u64::try_from(at.since(since).as_millis()).expect("short"))
        .collect()
}

fn check(cases: impl IntoIterator<Item = Case>) {
    for case in cases {
        let sent = play(&case);
        let count = |from: u64, until: u64| {
            let inside = sent.iter().filter(|&&at| at >= from && at < until);
            inside.count()
        };
        let starts = sent.iter().filter(|&&at| at + 1_000 <= COLD_MS);
        let most = starts.map(|&at| count(at, at + 1_000)).max();
        let cold = count(0, COLD_MS);
        let seconds: Vec<usize> = (3..10)
            .map(|s| count(s * 1_000 + 500, s * 1_000 + 1_500))
            .collect();
        println!(
            "{}: {most:?} in a second, {cold} while cold, then {seconds:?}",
            case.name
        );
        assert!(
            most <= Some(ARRIVALS_MAX),
            "{}: {most:?} in a second",
            case.name
        );
        assert!(cold >= case.cold_min, "{}: {cold} while cold", case.name);
        assert!(seconds[0] <= case.first_max, "{}: {seconds:?}", case.name);
    }
}

/// Guards against a cold target that idles because the routers with a share have no requests, and against a burst of all
/// routers when it is warm.
#[test]
fn a_target_that_starts_is_used_and_its_load_grows() {
    check([
        Case {
            name: "all routers are called",
            cold_min: 16,
            first_max: 120,
            ..CASE
        },
        Case {
            name: "one of eight routers is called",
            called: 1,
            cold_min: 14,
            first_max: 120,
            ..CASE
        },
        Case {
            name: "three of 77 routers are called",
            routers: 77,
            called: 3,
            cold_min: 14,
            first_max: 120,
            ..CASE
        },
        Case {
            name: "all of 77 routers are called",
            routers: 77,
            called: 77,
            cold_min: 12,
            first_max: 120,
            ..CASE
        },
    ]);
}

/// Guards against shares that two routers use at the same time: one that was lent by a router that is cut off, restarted,
/// frozen or late.
#[test]
fn a_cold_target_gets_no_more_than_it_bears_whatever_happens_to_routers() {
    check([
        Case {
            name: "a router is cut off from the start",
            events: &[(0, |fleet| fleet.cut(0))],
            ..CASE
        },
        Case {
            name: "the router that borrows is cut off",
            called: 1,
            events: &[(700, |fleet| fleet.cut(0))],
            ..CASE
        },
        Case {
            name: "routers that lent are cut off and then called",
            called: 4,
            all_from: 750,
            events: &[(700, |fleet| (4..8).for_each(|at| fleet.cut(at)))],
            ..CASE
        },
        Case {
            name: "loans of all other routers are lost",
            called: 1,
            events: &[(0, |fleet| fleet.mute.extend(1..8))],
            ..CASE
        },
        Case {
            name: "messages come 900 ms late",
            called: 2,
            events: &[(0, |fleet| {
                let late = (0..8).map(|at| (at, Duration::from_millis(900)));
                fleet.delays.extend(late);
            })],
            ..CASE
        },
        Case {
            name: "all routers restart",
            events: &[(1_000, |fleet| restart(fleet, 0..8))],
            ..CASE
        },
        Case {
            name: "the routers that lent restart and are called",
            called: 1,
            all_from: 1_050,
            events: &[(1_000, |fleet| restart(fleet, 1..8))],
            ..CASE
        },
        Case {
            name: "all are called after one",
            called: 1,
            all_from: 1_000,
            ..CASE
        },
        Case {
            name: "the router that borrows is killed",
            called: 1,
            events: &[(1_000, |fleet| {
                fleet.dead.insert(0);
            })],
            ..CASE
        },
        Case {
            name: "the router that borrows stands still and goes on",
            called: 1,
            events: &[
                (700, |fleet| fleet.freeze(0)),
                (1_900, |fleet| fleet.wake(0)),
            ],
            ..CASE
        },
        Case {
            name: "some of 77 routers are cut off",
            routers: 77,
            called: 77,
            events: &[(800, |fleet| (0..30).for_each(|at| fleet.cut(at)))],
            ..CASE
        },
    ]);
}
