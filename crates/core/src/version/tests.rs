//! Tests of stages, shares, facts and evidence.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::evidence::{Counts, Evidence, Load, Measure, Route, Slice, Tallies, Tally, Verdict};
use super::message::{Fact, Fault, MoveStep, Rollback};
use super::schedule::{Due, due, share};
use super::{Arm, Config, Moves};
use crate::catalogue::Catalogue;
use crate::catalogue::entry::{Bounds, Entry, Move, Pool, Service};
use crate::catalogue::message::Edit;
use crate::prelude::*;

const ROUTE: Route = Route {
    class: Class::Interactive,
    objective_ms: 0,
    load: Load::Low,
};

const SLICE: Slice = Slice::of(ROUTE, TargetId(0));

/// Returns the fault of the new version, if the verdict is bad.
fn fault(tallies: &Tallies) -> Option<Fault> {
    match tallies.verdict() {
        Verdict::Bad(_, fault) => Some(fault),
        Verdict::Doubtful | Verdict::Undecided | Verdict::Good => None,
    }
}

#[test]
fn stages_are_worked_back_from_the_finishing_time() {
    struct Case {
        name: &'static str,
        start: u64,
        finish_at: u64,
        now: u64,
        due: Due,
    }
    let case = |name, start, finish_at, now, due| Case {
        name,
        start,
        finish_at,
        now,
        due,
    };
    let cases = [
        case("the start", 0, 1_000, 0, Due::Stage(0)),
        case("just before a step", 0, 1_000, 199, Due::Stage(0)),
        case("a step", 0, 1_000, 200, Due::Stage(1)),
        case("the last stage", 0, 1_000, 949, Due::Stage(5)),
        case("before the finishing time", 0, 1_000, 950, Due::Finish),
        case("long after", 0, 1_000, 9_000, Due::Finish),
        case("a finishing time in the past", 500, 100, 500, Due::Stage(0)),
        case("the same, later", 500, 100, 510, Due::Finish),
    ];
    for case in cases {
        let time = |secs: u64| Time::from_millis(secs * 1_000);
        let found = due(time(case.now), time(case.start), time(case.finish_at));
        assert_eq!(found, case.due, "{}", case.name);
    }
}

fn moves(me: u32) -> (Moves, Context, PoolId) {
    let mut catalogue = Catalogue::new();
    let pool = Entry::Pool(Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds::default(),
        autoscale: None,
    });
    let entry = Entry::Move(Move {
        pool: "m".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        finish_at: Time::from_millis(1_000),
    });
    catalogue.apply(Offset(0), &Edit::put(Uuid::from_u128(1), None, pool));
    catalogue.apply(Offset(1), &Edit::put(Uuid::from_u128(2), None, entry));
    let mut moves = Moves::new(RouterId(me), Config::default());
    moves.follow(Time(0), &catalogue);
    let cx = Context::new(RouterId(me), Incarnation(1), ChaCha8Rng::seed_from_u64(1));
    (moves, cx, PoolId(0))
}

fn step(fact: Fact) -> MoveStep {
    MoveStep {
        pool: PoolId(0),
        revision: Offset(1),
        fact,
    }
}

/// Dispatches requests to the arm whose turn it is, and returns how many went to the new version.
fn dispatch(moves: &mut Moves, pool: PoolId, requests: u32) -> u32 {
    let mut new = 0;
    for _ in 0..requests {
        let arm = moves.next_arm(pool);
        let version = if arm == Arm::New { "v2" } else { "v1" };
        new += u32::from(arm == Arm::New);
        moves.on_dispatch(pool, version, SLICE);
    }
    new
}

#[test]
fn the_share_is_exact_after_any_number_of_requests() {
    for stage in 0..6 {
        for requests in [1, 7, 99, 1_000, 12_345] {
            let (mut moves, mut cx, pool) = moves(stage + 1);
            let fact = Fact {
                stage: Some(u8::try_from(stage).expect("a small number")),
                ..Fact::default()
            };
            moves.on_record(&mut cx, &step(fact));
            let new = f64::from(dispatch(&mut moves, pool, requests));
            let due = f64::from(requests * share(u8::try_from(stage).expect("small"))) / 1_000.0;
            assert!((new - due).abs() <= 1.0, "{stage}: {new} of {requests}");
        }
    }
}

#[test]
fn a_small_share_is_exact_over_many_routers_with_few_requests_each() {
    let new: u32 = (1..=430)
        .map(|me| {
            let (mut moves, mut cx, pool) = moves(me);
            let stage = Some(0);
            let fact = Fact {
                stage,
                ..Fact::default()
            };
            moves.on_record(&mut cx, &step(fact));
            dispatch(&mut moves, pool, 10)
        })
        .sum();
    assert!((22..=64).contains(&new), "{new} of 4300, 43 are due");
}

#[test]
fn facts_decide_which_version_serves() {
    let rollback = Rollback {
        at: Time(1),
        by: RouterId(1),
        fault: Fault::Fails,
        route: ROUTE,
    };
    struct Case {
        name: &'static str,
        facts: Vec<Fact>,
        new: u32,
    }
    let finished = Fact {
        finished: true,
        ..Fact::default()
    };
    let rolled_back = Fact {
        taken_back: Some(rollback),
        ..Fact::default()
    };
    let staged = Fact {
        stage: Some(4),
        ..Fact::default()
    };
    let cases = [
        Case {
            name: "nothing is known",
            facts: vec![],
            new: 0,
        },
        Case {
            name: "finished",
            facts: vec![staged.clone(), finished.clone()],
            new: 100,
        },
        Case {
            name: "rolled back, and an older stage arrives late",
            facts: vec![rolled_back.clone(), staged],
            new: 0,
        },
        Case {
            name: "rolled back by one router and finished by another",
            facts: vec![finished, rolled_back],
            new: 0,
        },
    ];
    for case in cases {
        let (mut moves, mut cx, pool) = moves(1);
        for fact in case.facts {
            moves.on_record(&mut cx, &step(fact));
        }
        assert_eq!(dispatch(&mut moves, pool, 100), case.new, "{}", case.name);
    }
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let rollback = prop::option::of((0_u64..3, 0_u32..3));
    let start = prop::option::of(0_u64..3);
    (
        0_u64..3,
        start,
        prop::option::of(0_u8..6),
        any::<bool>(),
        rollback,
    )
        .prop_map(|(fence, start, stage, finished, rollback)| Fact {
            fence: Fence(fence),
            start: start.map(Time),
            stage,
            finished,
            taken_back: rollback.map(|(at, by)| Rollback {
                at: Time(at),
                by: RouterId(by),
                fault: Fault::Slow,
                route: ROUTE,
            }),
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn facts_merge_in_any_order_and_any_number_of_times(
        facts in prop::collection::vec(any_fact(), 1..6),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut straight = Fact::default();
        for fact in &facts {
            straight.merge(fact);
        }
        let mut mixed = Fact::default();
        for index in order {
            mixed.merge(index.get(&facts));
        }
        for fact in facts.iter().rev() {
            mixed.merge(fact);
        }
        prop_assert_eq!(straight, mixed);
    }
}

#[test]
fn a_version_is_bad_if_it_is_surely_worse_than_the_old_one() {
    struct Case {
        name: &'static str,
        /// The numbers of ended, failed and slow requests of the old version.
        old: (u32, u32, u32),
        /// The numbers of ended, failed and slow requests of the new version.
        new: (u32, u32, u32),
        fault: Option<Fault>,
    }
    let case = |name, old, new, fault| Case {
        name,
        old,
        new,
        fault,
    };
    let fails = Some(Fault::Fails);
    let slow = Some(Fault::Slow);
    let cases = [
        case("nothing", (0, 0, 0), (0, 0, 0), None),
        case("all well", (900, 0, 50), (100, 0, 5), None),
        case(
            "three failures, which may be chance",
            (300, 0, 0),
            (3, 3, 0),
            None,
        ),
        case("four failures of four", (300, 0, 0), (4, 4, 0), fails),
        case(
            "a failure in fifty is allowed",
            (5_000, 0, 0),
            (5_000, 90, 0),
            None,
        ),
        case(
            "as noisy as the old one",
            (900, 90, 90),
            (100, 12, 12),
            None,
        ),
        case(
            "bad, with a noisy old one",
            (900, 90, 90),
            (30, 24, 0),
            fails,
        ),
        case(
            "few failures in many requests",
            (900, 0, 0),
            (500, 40, 0),
            fails,
        ),
        case("slow", (900, 0, 50), (20, 0, 19), slow),
        case("slow half of the time", (900, 0, 50), (40, 0, 20), slow),
        // The requests at a share of 80 in 1000 before the fiftieth bad answer, the limit of the
        // users.
        case(
            "slow three times in ten",
            (2_400, 0, 110),
            (80, 0, 24),
            slow,
        ),
        case(
            "slow a tenth of the time",
            (2_400, 0, 110),
            (400, 0, 40),
            None,
        ),
        case("the old one is unknown", (0, 0, 0), (20, 20, 20), None),
    ];
    for case in cases {
        let counts = |(ended, failed, slow)| Counts {
            ended,
            failed,
            timed: ended,
            slow,
            ..Counts::default()
        };
        let tally = Tally {
            old: counts(case.old),
            new: counts(case.new),
        };
        let mut tallies = Tallies::default();
        tallies.add(Time::default(), SLICE, tally, true);
        assert_eq!(fault(&tallies), case.fault, "{}", case.name);
    }
}

/// Guards against a new version with slow starts that is only detected when its long streams end.
#[test]
fn slow_starts_count_before_the_streams_end() {
    let starts = |started, late| Counts {
        started,
        late,
        ..Counts::default()
    };
    for (late, fault) in [(0, None), (8, None), (24, Some(Fault::Slow))] {
        let tally = Tally {
            old: starts(2_400, 110),
            new: starts(80, late),
        };
        let mut tallies = Tallies::default();
        tallies.add(Time::default(), SLICE, tally, true);
        assert_eq!(super::tests::fault(&tallies), fault, "{late} of 80");
    }
}

#[test]
fn a_version_that_was_good_for_long_shows_itself_within_a_few_failures() {
    let good = Counts {
        ended: 5_000,
        timed: 5_000,
        ..Counts::default()
    };
    let failure = Counts {
        ended: 1,
        failed: 1,
        ..Counts::default()
    };
    let mut tallies = Tallies::default();
    let mut now = Time::default();
    for (new, seconds) in [(good, 20), (failure, 20)] {
        for _ in 0..seconds {
            now = now + Duration::from_secs(1);
            let old = good;
            tallies.add(now, SLICE, Tally { old, new }, true);
        }
    }
    assert_eq!(fault(&tallies), Some(Fault::Fails));
}

#[test]
fn a_healthy_version_beside_a_noisy_one_is_not_taken_back_in_many_moves() {
    let mut rng = StdRng::seed_from_u64(5);
    for round in 0..300 {
        let noise = f64::from(round % 4) * 0.08;
        let mut tallies = Tallies::default();
        for second in 0..300 {
            let mut counts = |ended: u32| Counts {
                ended,
                failed: (0..ended).filter(|_| rng.random_bool(noise)).count() as u32,
                timed: ended,
                slow: (0..ended).filter(|_| rng.random_bool(0.1)).count() as u32,
                started: ended,
                late: (0..ended).filter(|_| rng.random_bool(0.1)).count() as u32,
                ..Counts::default()
            };
            let tally = Tally {
                old: counts(10),
                new: counts(1 + second / 100),
            };
            let now = Time::from_millis(u64::from(second) * 1_000);
            tallies.add(now, SLICE, tally, true);
            assert_eq!(fault(&tallies), None, "round {round}, second {second}");
        }
    }
}

#[test]
fn times_are_compared_at_the_same_load_or_a_higher_one() {
    struct Case {
        name: &'static str,
        /// The load at which the old version's times of 100 ms were measured.
        old_load: Load,
        /// The load at which the new version's time was measured.
        load: Load,
        millis: u64,
        slow: Option<bool>,
    }
    let case = |name, old_load, load, millis, slow| Case {
        name,
        old_load,
        load,
        millis,
        slow,
    };
    let cases = [
        case("as usual", Load::Low, Load::Low, 110, Some(false)),
        case("slow", Load::Low, Load::Low, 200, Some(true)),
        case(
            "the old version is known at a higher load only",
            Load::High,
            Load::Low,
            200,
            Some(true),
        ),
        case(
            "the old version is known at a lower load only",
            Load::Low,
            Load::High,
            200,
            None,
        ),
    ];
    for case in cases {
        let mut evidence = Evidence::default();
        let route = |load| Route { load, ..ROUTE };
        let millis = Duration::from_millis;
        for _ in 0..20 {
            evidence.is_slow(route(case.old_load), false, Measure::Pace, (1, millis(100)));
        }
        let time = millis(case.millis);
        let slow = evidence.is_slow(route(case.load), true, Measure::Pace, (1, time));
        assert_eq!(slow, case.slow, "{}", case.name);
    }
}

/// Guards against a version that is several times slower on small requests, which goes unnoticed if
/// they are compared with large requests that usually take longer still.
#[test]
fn a_small_request_that_is_slow_shows_beside_large_ones() {
    let of = |objective_ms| Route {
        objective_ms,
        ..ROUTE
    };
    let (large, small) = (of(800), of(400));
    let mut evidence = Evidence::default();
    for step in 0..40 {
        for (route, millis) in [(large, 1_000), (small, 100)] {
            let time = Duration::from_millis(millis + step);
            evidence.is_slow(route, false, Measure::Start, (1, time));
        }
    }
    let mut is_slow = |route, millis| {
        let time = Duration::from_millis(millis);
        evidence.is_slow(route, true, Measure::Start, (1, time))
    };
    assert_eq!(is_slow(small, 400), Some(true));
    assert_eq!(is_slow(small, 140), Some(false));
    assert_eq!(is_slow(large, 1_040), Some(false));
}

/// Guards against a bad version that is not detected because the old version also fails some
/// requests.
#[test]
fn a_version_shows_itself_bad_soon_beside_an_old_one_that_is_not_clean() {
    struct Case {
        /// The fraction of requests that the old version fails.
        old: f64,
        /// The fraction of requests that the new version fails.
        new: f64,
        /// The number of bad answers within which the new version must be found bad, as the users
        /// require.
        within: u32,
    }
    let case = |old, new| Case {
        old,
        new,
        within: 50,
    };
    for case in [
        case(0.0, 0.4),
        case(0.09, 0.4),
        case(0.1, 0.5),
        case(0.22, 0.5),
    ] {
        let mut rng = StdRng::seed_from_u64(11);
        let mut found = Vec::new();
        for _ in 0..50 {
            let mut tallies = Tallies::default();
            let mut draw = |ended: u32, failing: f64| Counts {
                sent: ended,
                ended,
                failed: (0..ended).filter(|_| rng.random_bool(failing)).count() as u32,
                ..Counts::default()
            };
            let old = draw(1_000, case.old);
            let mut now = Time::default();
            let tally = Tally {
                old,
                ..Tally::default()
            };
            tallies.add(now, SLICE, tally, true);
            while fault(&tallies).is_none() && tallies.harm() < 1_000 {
                now = now + Duration::from_millis(250);
                let (old, new) = (draw(12, case.old), draw(1, case.new));
                tallies.add(now, SLICE, Tally { old, new }, true);
            }
            found.push(tallies.harm());
        }
        found.sort_unstable();
        let nine_in_ten = found[44];
        assert!(
            nine_in_ten <= case.within,
            "old {} new {}: known after {nine_in_ten} bad answers",
            case.old,
            case.new
        );
    }
}

/// Guards against faults of single targets that make a bad version look good, or a good version
/// look bad.
#[test]
fn targets_that_are_at_fault_by_themselves_say_nothing_of_their_version() {
    struct Case {
        name: &'static str,
        /// The numbers of requests and failures at each target of the old version.
        old: &'static [(u32, u32)],
        /// The numbers of requests and failures at each target of the new version.
        new: &'static [(u32, u32)],
        verdict: fn(Verdict) -> bool,
    }
    let bad = |verdict| matches!(verdict, Verdict::Bad(_, Fault::Fails));
    let good = |verdict| verdict == Verdict::Good;
    let cases = [
        Case {
            name: "two of three old targets",
            old: &[(300, 0), (300, 120), (300, 120)],
            new: &[(10, 4), (10, 4), (10, 4)],
            verdict: bad,
        },
        Case {
            name: "one of three on either side",
            old: &[(300, 0), (300, 120), (300, 0)],
            new: &[(20, 0), (20, 8), (20, 0)],
            verdict: good,
        },
        Case {
            name: "two of three new targets: the version's fault",
            old: &[(300, 0), (300, 0), (300, 0)],
            new: &[(20, 0), (20, 8), (20, 8)],
            verdict: bad,
        },
        Case {
            name: "none, and few requests",
            old: &[(300, 0), (300, 0), (300, 0)],
            new: &[(2, 0), (2, 0), (2, 0)],
            verdict: |verdict| verdict == Verdict::Undecided,
        },
    ];
    for case in cases {
        let mut tallies = Tallies::default();
        let counts = |&(ended, failed): &(u32, u32)| Counts {
            sent: ended,
            ended,
            failed,
            ..Counts::default()
        };
        for (target, (old, new)) in case.old.iter().zip(case.new).enumerate() {
            let at = |number: usize| Slice::of(ROUTE, TargetId(number as u32));
            let old = Tally {
                old: counts(old),
                ..Tally::default()
            };
            let new = Tally {
                new: counts(new),
                ..Tally::default()
            };
            tallies.add(Time::default(), at(target), old, true);
            tallies.add(Time::default(), at(target + 8), new, true);
        }
        let verdict = tallies.verdict();
        assert!((case.verdict)(verdict), "{}: {verdict:?}", case.name);
    }
}
