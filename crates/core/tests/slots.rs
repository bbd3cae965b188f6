//! Tests of the limit of a target under faults, in a fleet in virtual time.

mod fixture;

use bulrushtrestle_core::prelude::*;

use self::fixture::{Fleet, Load, Tokens, setup_with, sources_at};

const ROUTERS: u32 = 8;
const TARGETS: u32 = 6;

struct Case {
    name: &'static str,
    tokens: Tokens,
    /// The start of the fault, five seconds into the load.
    begin: fn(&mut Fleet),
    /// The end of the fault, thirteen seconds into the load.
    end: fn(&mut Fleet),
    /// How long a router may grant slots and dispatch without a successful read of the log.
    stale_after: Duration,
    /// Routers that the fault kills, so that the requests there are lost.
    dead: &'static [u32],
    /// The least share of the slots that is busy in the ten seconds that start ten seconds after the fault's end.
    busy: f64,
}

fn ids(routers: &[u32]) -> Vec<RouterId> {
    routers.iter().copied().map(RouterId).collect()
}

fn cases() -> Vec<Case> {
    let short = Tokens::Between(20, 100);
    let long = Tokens::Between(500, 1_500);
    let base = Case {
        name: "nothing",
        tokens: short,
        begin: |_| {},
        end: |_| {},
        stale_after: Duration::from_secs(3),
        dead: &[],
        busy: 0.95,
    };
    vec![
        Case {
            name: "two owners of each target in a partition, short requests",
            begin: |fleet| fleet.partition(&ids(&[1, 2, 3])),
            end: |fleet| fleet.partition(&[]),
            ..base
        },
        Case {
            name: "two owners of each target in a partition, long requests",
            tokens: long,
            begin: |fleet| fleet.partition(&ids(&[1, 2, 3, 4])),
            end: |fleet| fleet.partition(&[]),
            busy: 0.0,
            ..base
        },
        Case {
            name: "one router is cut off",
            tokens: long,
            begin: |fleet| fleet.partition(&ids(&[4])),
            end: |fleet| fleet.partition(&[]),
            busy: 0.0,
            ..base
        },
        Case {
            name: "two routers are killed and restarted",
            begin: |fleet| ids(&[2, 5]).into_iter().for_each(|id| fleet.kill(id)),
            end: |fleet| ids(&[2, 5]).into_iter().for_each(|id| fleet.restart(id)),
            dead: &[2, 5],
            ..base
        },
        Case {
            name: "two routers are paused",
            tokens: long,
            begin: |fleet| {
                ids(&[3, 6])
                    .into_iter()
                    .for_each(|id| fleet.freeze(id, true))
            },
            end: |fleet| {
                ids(&[3, 6])
                    .into_iter()
                    .for_each(|id| fleet.freeze(id, false))
            },
            busy: 0.0,
            ..base
        },
        Case {
            name: "two routers are paused and do not notice by the log",
            begin: |fleet| {
                ids(&[3, 6])
                    .into_iter()
                    .for_each(|id| fleet.freeze(id, true))
            },
            end: |fleet| {
                ids(&[3, 6])
                    .into_iter()
                    .for_each(|id| fleet.freeze(id, false))
            },
            stale_after: Duration::from_secs(60),
            ..base
        },
        Case {
            name: "messages arrive twice and late",
            begin: |fleet| {
                fleet.duplicate = 0.5;
                fleet.delay = Duration::from_millis(80);
            },
            end: |fleet| {
                fleet.duplicate = 0.0;
                fleet.delay = Duration::from_micros(200);
            },
            ..base
        },
    ]
}

#[test]
fn the_fleet_never_passes_the_limit_of_a_target() {
    for case in cases() {
        for seed in 1..=3 {
            let setup = setup_with(ROUTERS, TARGETS, 4, seed, |cfg| {
                cfg.log.stale_after = case.stale_after;
            });
            let sources = sources_at(&setup, ROUTERS, 20, case.tokens, |_, _| true);
            let mut load = Load::new(setup, sources);
            load.run(Duration::from_secs(5));
            (case.begin)(load.fleet());
            for router in ids(case.dead) {
                load.drop_requests_at(router);
            }
            load.run(Duration::from_secs(8));
            (case.end)(load.fleet());
            load.run(Duration::from_secs(10));
            load.start_measuring();
            load.run(Duration::from_secs(10));
            let (over, busy) = (load.fleet().overload(), load.utilisation());
            println!("{}, seed {seed}: {over} over, {busy:.3} busy", case.name);
            assert_eq!(over, 0, "{}, seed {seed}", case.name);
            assert!(busy >= case.busy, "{}, seed {seed}: {busy}", case.name);
        }
    }
}

/// On an idle fleet, obtaining a slot takes at most one round trip.
#[test]
fn a_request_on_an_idle_fleet_starts_within_a_round_trip() {
    let setup = setup_with(ROUTERS, TARGETS, 4, 1, |_| {});
    let sources = sources_at(&setup, ROUTERS, 1, Tokens::Fixed(5), |index, router| {
        index as u32 + 1 == router
    });
    let mut load = Load::new(setup, sources);
    load.run(Duration::from_secs(2));
    let organisations = load.setup.organisations.clone();
    for organisation in organisations {
        let wait = load.wait(organisation, 1.0);
        assert!(wait < Duration::from_millis(2), "{organisation}: {wait:?}");
    }
}
