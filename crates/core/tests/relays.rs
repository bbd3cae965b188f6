//! The loss of relays in a fleet under load, in virtual time and without a network: until others take their place, routers go
//! on by what they know and what targets answer.

mod hosting;

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushtrestle_core::prelude::*;

use self::hosting::{Fleet, OBJECTIVE};

const ROUTERS: usize = 60;
const DATA_CENTRES: usize = 5;
/// 256 targets and 295 routers in the users' largest fleet.
const TARGETS: u32 = 52;
const SLOTS: u32 = 12;
/// Targets begin 347 requests of a fleet's tests in a second; three quarters of that are offered.
const RATE: usize = 260;
/// The part of the requests whose first token has to be in time while figures are lost, and before.
const IN_TIME: f64 = 0.9;

/// A fleet that has had load for some seconds, and its relays.
fn loaded_fleet() -> (Fleet, Vec<usize>) {
    let capacities: Vec<u32> = (0..ROUTERS)
        .map(|at| if at % 20 == 0 { 500 } else { 120 })
        .collect();
    let mut fleet = Fleet::placed(&capacities, DATA_CENTRES, (TARGETS, SLOTS), 0);
    fleet.generation_time = Duration::from_millis(100);
    offer(&mut fleet, 4_000, &BTreeSet::new());
    let all = 0..fleet.nodes.len();
    let relays = all.filter(|&at| fleet.nodes[at].feed().is_source(fleet.now));
    let relays: Vec<usize> = relays.collect();
    (fleet, relays)
}

/// Offers requests to all routers in turn but `except`. Returns their number.
fn offer(fleet: &mut Fleet, millis: usize, except: &BTreeSet<usize>) -> usize {
    let (mut owed, mut at, mut sent) = (0, 0, 0);
    for _ in 0..millis {
        owed += RATE;
        while owed >= 1_000 {
            owed -= 1_000;
            at = (at + 7) % ROUTERS;
            if !except.contains(&at) {
                fleet.submit(at, ["one", "many", "small"][at % 3]);
                sent += 1;
            }
        }
        fleet.step();
    }
    sent
}

/// Returns the part of the requests offered in a time that targets began within the objective.
fn served_in_time(fleet: &mut Fleet, millis: usize, except: &BTreeSet<usize>) -> f64 {
    let from = fleet.dispatched.len();
    let offered = offer(fleet, millis, except);
    let dispatched = fleet.dispatched.len() - from;
    let (_, late) = prompts_at_targets(fleet);
    let in_time = dispatched.saturating_sub(late).min(offered);
    in_time as f64 / offered as f64
}

/// Returns how many prompts targets have to read, and how many of these they begin too late: a prompt takes 150 ms, so that
/// only so many may be at a target as fit into the objective.
fn prompts_at_targets(fleet: &Fleet) -> (usize, usize) {
    let fits = OBJECTIVE.as_millis() as usize / 150;
    let lengths = || fleet.targets.values().map(Vec::len);
    let late = lengths().map(|length| length.saturating_sub(fits));
    (lengths().sum(), late.sum())
}

/// Guards against routers that choose the same target by the same loads, all until the next report.
///
/// Load: three quarters of what the targets read, evenly spread over the routers.
#[test]
fn queues_at_targets_do_not_grow_with_the_number_of_routers_that_choose() {
    let (mut fleet, _) = loaded_fleet();
    let (mut prompts, mut late) = (0, 0);
    for _ in 0..60 {
        offer(&mut fleet, 50, &BTreeSet::new());
        let (more, too_late) = prompts_at_targets(&fleet);
        prompts += more;
        late += too_late;
    }
    let in_time = 1.0 - late as f64 / prompts as f64;
    assert!(
        in_time >= IN_TIME,
        "{prompts} prompts seen, {late} too late"
    );
}

#[test]
fn routers_go_on_when_relays_are_lost() {
    struct Case {
        name: &'static str,
        harm: fn(&mut Fleet, usize),
        /// Whether callers reach the harmed routers.
        is_called: bool,
    }
    let case = |name, harm, is_called| Case {
        name,
        harm,
        is_called,
    };
    let kill = |fleet: &mut Fleet, at| assert!(fleet.dead.insert(at));
    let mute = |fleet: &mut Fleet, at| assert!(fleet.mute.insert(at));
    let slow = |fleet: &mut Fleet, at| {
        fleet.delays.insert(at, Duration::from_millis(700));
    };
    let cases = [
        case("nothing", |_, _| {}, true),
        case("killed", kill, false),
        case("cut one way", mute, true),
        case("slow", slow, true),
    ];
    for Case {
        name,
        harm,
        is_called,
    } in cases
    {
        for part in [1, 2] {
            let (mut fleet, relays) = loaded_fleet();
            assert!(relays.len() >= DATA_CENTRES, "{relays:?}");
            // One of two relays, or all.
            let harmed: BTreeSet<usize> = relays.iter().copied().step_by(3 - part).collect();
            for &at in &harmed {
                harm(&mut fleet, at);
            }
            let except = if is_called { BTreeSet::new() } else { harmed };
            for second in 0..4 {
                let served = served_in_time(&mut fleet, 1_000, &except);
                assert!(
                    served >= IN_TIME,
                    "{name}, {part} of 2, second {second}: {served}"
                );
            }
        }
    }
}

#[test]
fn routers_go_on_when_relays_freeze_and_wake() {
    let (mut fleet, relays) = loaded_fleet();
    fleet.dead.extend(relays.iter().copied());
    let frozen: BTreeSet<usize> = relays.into_iter().collect();
    for second in 0..2 {
        let served = served_in_time(&mut fleet, 1_000, &frozen);
        assert!(served >= IN_TIME, "frozen, second {second}: {served}");
    }
    fleet.dead.clear();
    for second in 0..3 {
        let served = served_in_time(&mut fleet, 1_000, &BTreeSet::new());
        assert!(served >= IN_TIME, "awake, second {second}: {served}");
    }
}

/// One organisation's callers all use one weak router, which reports to a relay that is lost.
#[test]
fn an_organisation_on_one_weak_router_is_served_while_its_relay_is_lost() {
    let (mut fleet, relays) = loaded_fleet();
    fleet.dead.extend(relays.iter().copied());
    let except: BTreeSet<usize> = relays.iter().copied().collect();
    let weak = (0..ROUTERS)
        .find(|at| !except.contains(at))
        .expect("not all routers are relays");
    for second in 0..4 {
        let from = fleet.dispatched.len();
        let mut sent: Vec<RequestId> = Vec::new();
        for _ in 0..20 {
            sent.push(fleet.submit(weak, "small"));
            offer(&mut fleet, 50, &except);
        }
        let begun: BTreeSet<RequestId> = fleet.dispatched[from..].iter().map(|it| it.3).collect();
        let served = sent.iter().filter(|it| begun.contains(it)).count();
        assert!(
            served as f64 >= IN_TIME * sent.len() as f64,
            "second {second}: {served}"
        );
    }
}
