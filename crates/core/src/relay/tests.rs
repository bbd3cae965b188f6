//! Tests of the choice of relays.

use super::{AVOIDED_FOR, PLAN_PERIOD, RELAY_TIMEOUT, Relays, Role};
use crate::input::{Vm, VmRole};
use crate::membership::message::{Condition, Heartbeat, Row};
use crate::membership::{self, Members};
use crate::prelude::*;

const START: Time = Time::from_millis(1_000);
const ME: RouterId = RouterId(0);

/// A fleet as router 0 knows it: routers by id, in data centres of `size` routers each.
fn fleet(size: u32, capacities: &[u32]) -> Members {
    let cfg = membership::Config {
        capacity: capacities[0],
        ..membership::Config::default()
    };
    let mut members = Members::new(START, ME, Incarnation(1), "127.0.0.1:8000", cfg);
    members.set_condition(Condition::Ready);
    let routers = u32::try_from(capacities.len()).expect("few routers");
    let vms: Vec<Vm> = (0..routers)
        .map(|id| Vm {
            id,
            role: VmRole::Router,
            address: String::new(),
            data_centre: data_centre(id / size),
            leaving: false,
        })
        .collect();
    members.on_vms(START, &vms);
    for (id, &capacity) in (0..).zip(capacities).skip(1) {
        set_condition(&mut members, id, capacity, Condition::Ready, 1);
    }
    members
}

fn data_centre(number: u32) -> String {
    format!("dc-{number}")
}

fn set_condition(
    members: &mut Members,
    id: u32,
    capacity: u32,
    condition: Condition,
    version: u32,
) {
    let row = Row {
        router: RouterId(id),
        incarnation: Incarnation(1),
        version,
        condition,
        address: format!("127.0.0.1:{}", 8000 + id),
        capacity,
    };
    let heartbeat = Heartbeat {
        echo: 0,
        applied: Offset(0),
        current_age_ms: 0,
        log_down: false,
        wants_rows: false,
        rows: vec![row],
    };
    members.on_frame(START, RouterId(id), Incarnation(1), u64::from(version));
    members.on_heartbeat(START, RouterId(id), heartbeat);
}

fn role(relays: &mut Relays, now: Time, members: &Members) -> Role {
    relays.role(now, members, (ME, "dc-0"), false)
}

/// The number of routers with which a router exchanges reports stays bounded however large the
/// fleet is.
#[test]
fn a_router_reports_to_one_other_and_a_relay_to_a_bounded_number() {
    struct Case {
        name: &'static str,
        routers: usize,
        /// The capacity of router 0; the others have 120.
        own: u32,
        expected: fn(&Role) -> bool,
    }
    let cases = [
        Case {
            name: "a small fleet has no relays",
            routers: 10,
            own: 500,
            expected: |role| *role == Role::Direct,
        },
        Case {
            name: "a weak router",
            routers: 30,
            own: 60,
            expected: |role| matches!(role, Role::Member(Some(_))),
        },
        Case {
            name: "the strongest of three data centres with two relays each",
            routers: 30,
            own: 500,
            expected: |role| matches!(role, Role::Relay(others) if others.len() == 5),
        },
        Case {
            name: "the strongest of 430 routers, with five relays in each of three data centres",
            routers: 430,
            own: 500,
            expected: |role| matches!(role, Role::Relay(others) if others.len() == 14),
        },
    ];
    for case in cases {
        let mut capacities = vec![120; case.routers];
        capacities[0] = case.own;
        let size = u32::try_from(case.routers.div_ceil(3)).expect("few routers");
        let members = fleet(size, &capacities);
        let role = role(&mut Relays::default(), START, &members);
        assert!((case.expected)(&role), "{}: {role:?}", case.name);
    }
}

/// What becomes of a router when its relay is lost in different ways.
#[test]
fn a_router_whose_relay_is_lost_reports_to_another() {
    struct Case {
        name: &'static str,
        /// The condition of the relay that the membership shows.
        condition: Condition,
        /// The time that passes without figures from the relay.
        silent_for: Duration,
        is_replaced: bool,
    }
    let cases = [
        Case {
            name: "it sends nothing for a while",
            condition: Condition::Ready,
            silent_for: RELAY_TIMEOUT,
            is_replaced: true,
        },
        Case {
            name: "it is late but within the time",
            condition: Condition::Ready,
            silent_for: RELAY_TIMEOUT - Duration::from_millis(1),
            is_replaced: false,
        },
        Case {
            name: "it stops as planned",
            condition: Condition::Stopping,
            silent_for: PLAN_PERIOD,
            is_replaced: true,
        },
        Case {
            name: "it is not ready",
            condition: Condition::Unready,
            silent_for: PLAN_PERIOD,
            is_replaced: true,
        },
    ];
    for case in cases {
        let mut capacities = vec![120; 30];
        capacities[0] = 60;
        let mut members = fleet(10, &capacities);
        let mut relays = Relays::default();
        let Role::Member(Some(first)) = role(&mut relays, START, &members) else {
            panic!("{}: no relay", case.name);
        };
        assert!(first.0 < 10, "the relay is in the own data centre");
        assert!(relays.on_figures(START, first));
        if case.condition != Condition::Ready {
            set_condition(&mut members, first.0, 120, case.condition, 2);
        }
        let now = START + case.silent_for;
        let Role::Member(Some(second)) = role(&mut relays, now, &members) else {
            panic!("{}: no relay", case.name);
        };
        assert_eq!(second != first, case.is_replaced, "{}", case.name);
        // Figures that the former relay still sends do not count.
        assert_eq!(
            relays.on_figures(now, first),
            !case.is_replaced,
            "{}",
            case.name
        );
        assert!(relays.on_figures(now, second), "{}", case.name);
    }
}

/// When all relays of the own data centre are silent, one of another data centre is used, and the
/// own ones are tried again later.
#[test]
fn relays_of_other_data_centres_stand_in() {
    let mut capacities = vec![120; 30];
    capacities[0] = 60;
    let members = fleet(10, &capacities);
    let mut relays = Relays::default();
    let mut used = Vec::new();
    let mut now = START;
    while now < START + RELAY_TIMEOUT * 3 {
        if let Role::Member(Some(relay)) = role(&mut relays, now, &members)
            && used.last() != Some(&relay)
        {
            used.push(relay);
        }
        now = now + Duration::from_millis(100);
    }
    let near: Vec<bool> = used.iter().map(|relay| relay.0 < 10).collect();
    assert_eq!(near, [true, true, false], "{used:?}");
    let Role::Member(Some(last)) = role(&mut relays, now, &members) else {
        panic!("no relay");
    };
    relays.on_figures(now, last);
    // A relay that answers is kept.
    for _ in 0..40 {
        now = now + Duration::from_millis(100);
        let kept = role(&mut relays, now, &members);
        assert_eq!(kept, Role::Member(Some(last)));
        relays.on_figures(now, last);
    }
    assert!(now > START + AVOIDED_FOR);
}

/// A router serves those that report to it, also if it does not consider itself a relay.
#[test]
fn a_router_serves_whoever_reports_to_it() {
    let mut capacities = vec![120; 30];
    capacities[0] = 60;
    let members = fleet(10, &capacities);
    let mut relays = Relays::default();
    let role = relays.role(START, &members, (ME, "dc-0"), true);
    assert!(matches!(role, Role::Relay(others) if others.len() == 6));
}
