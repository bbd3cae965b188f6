//! Tests of the choice of addresses.

use super::{addresses_for, addresses_near, home_routers};
use crate::input::{Vm, VmRole};
use crate::membership::message::{Condition, Heartbeat, Row};
use crate::membership::{self, Members};
use crate::prelude::*;

fn fleet(conditions: &[Condition], leaving: &[u32]) -> (Members, Time) {
    let capacities = vec![1_000; conditions.len()];
    fleet_of(&capacities, conditions, leaving)
}

fn fleet_of(capacities: &[u32], conditions: &[Condition], leaving: &[u32]) -> (Members, Time) {
    let now = Time::from_millis(1_000);
    let cfg = membership::Config {
        capacity: capacities[0],
        ..membership::Config::default()
    };
    let mut members = Members::new(now, RouterId(0), Incarnation(1), "127.0.0.1:8000", cfg);
    members.set_condition(conditions[0]);
    let vm = |id: u32| Vm {
        id,
        role: VmRole::Router,
        address: String::new(),
        data_centre: String::new(),
        leaving: leaving.contains(&id),
    };
    let vms: Vec<Vm> = (0..conditions.len() as u32).map(vm).collect();
    members.on_vms(now, &vms);
    for (id, &condition) in (0..).zip(conditions).skip(1) {
        let row = Row {
            router: RouterId(id),
            incarnation: Incarnation(1),
            version: 1,
            condition,
            address: format!("127.0.0.1:{}", 8000 + id),
            capacity: capacities[id as usize],
        };
        let heartbeat = Heartbeat {
            echo: 0,
            applied: Offset(0),
            current_age_ms: 0,
            log_down: false,
            wants_rows: false,
            rows: vec![row],
        };
        members.on_frame(now, RouterId(id), Incarnation(1), 1);
        members.on_heartbeat(now, RouterId(id), heartbeat);
    }
    (members, now)
}

#[test]
fn callers_are_sent_only_to_routers_that_serve() {
    use Condition::{Ready, Stopping, Unready};
    struct Case {
        name: &'static str,
        conditions: &'static [Condition],
        leaving: &'static [u32],
        named: &'static [u32],
    }
    let cases = [
        Case {
            name: "all ready",
            conditions: &[Ready; 3],
            leaving: &[],
            named: &[0, 1, 2],
        },
        Case {
            name: "one stops",
            conditions: &[Ready, Stopping, Ready],
            leaving: &[],
            named: &[0, 2],
        },
        Case {
            name: "this router stops",
            conditions: &[Stopping, Ready, Ready],
            leaving: &[],
            named: &[1, 2],
        },
        Case {
            name: "a VM leaves",
            conditions: &[Ready; 3],
            leaving: &[2],
            named: &[0, 1],
        },
        Case {
            name: "no router is ready",
            conditions: &[Unready, Unready],
            leaving: &[],
            named: &[0, 1],
        },
    ];
    for Case {
        name,
        conditions,
        leaving,
        named,
    } in cases
    {
        let (members, now) = fleet(conditions, leaving);
        let mut addresses = addresses_for(&members, now, OrganisationId(7));
        addresses.sort();
        let expected: Vec<String> = named
            .iter()
            .map(|id| format!("127.0.0.1:{}", 8000 + id))
            .collect();
        assert_eq!(addresses, expected, "{name}");
    }
}

#[test]
fn homes_differ_between_organisations_and_move_little() {
    let cfg = super::Config::default();
    let (before, now) = fleet(&[Condition::Ready; 8], &[]);
    let mut conditions = [Condition::Ready; 8];
    conditions[5] = Condition::Stopping;
    let (after, _) = fleet(&conditions, &[]);
    for organisation in (0..50).map(OrganisationId) {
        let old = home_routers(&before, now, &cfg, organisation);
        let new = home_routers(&after, now, &cfg, organisation);
        let kept: Vec<RouterId> = old.iter().copied().filter(|id| id.0 != 5).collect();
        assert_eq!(new[..kept.len()], kept, "{organisation}");
    }
}

#[test]
fn callers_that_pick_any_address_are_sent_to_the_strongest_routers() {
    use Condition::{Down, Ready};
    struct Case {
        name: &'static str,
        capacities: &'static [u32],
        down: &'static [usize],
        named: usize,
    }
    let cases = [
        Case {
            name: "all alike",
            capacities: &[250; 7],
            down: &[],
            named: 7,
        },
        Case {
            name: "two strong ones among weak ones",
            capacities: &[500, 500, 120, 120, 120, 120, 120, 120],
            down: &[],
            named: 2,
        },
        Case {
            name: "one of the strong ones is down",
            capacities: &[500, 500, 120, 120, 120, 120, 120, 120],
            down: &[1],
            named: 7,
        },
        Case {
            name: "the strong ones have less than a fourth of the capacity",
            capacities: &[
                500, 500, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300,
            ],
            down: &[],
            named: 13,
        },
    ];
    for case in cases {
        let mut conditions = vec![Ready; case.capacities.len()];
        for &down in case.down {
            conditions[down] = Down;
        }
        let (members, now) = fleet_of(case.capacities, &conditions, &[]);
        let addresses = addresses_near(&members, now, None, "");
        assert_eq!(addresses.len(), case.named, "{}: {addresses:?}", case.name);
        let all_strong = (0..case.named.min(2)).filter(|id| !case.down.contains(id));
        for id in all_strong {
            let address = format!("127.0.0.1:{}", 8000 + id);
            assert!(addresses.contains(&address), "{}", case.name);
        }
    }
}
