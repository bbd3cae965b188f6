//! Tests of the evidence on parts of prompts that crash targets.

use super::message::{PartKey, PoisonPart, Row};
use super::*;
use crate::prelude::*;

const START: Time = Time::from_millis(1_000_000);
const POOL: PoolId = PoolId(1);
/// The number of targets of the pool.
const TARGETS: usize = 18;
const CRASHING: u64 = 0xbad;
const COMMON: u64 = 0xc0;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

const fn key(content: u64) -> PartKey {
    PartKey {
        pool: POOL,
        content: Fingerprint(content),
    }
}

/// Returns a request with these parts and a last one of its own.
fn req(id: u64, shared: &[u64]) -> Request {
    let part = |content| PromptPart {
        content: Fingerprint(content),
        tokens: 100,
    };
    let parts = shared.iter().copied().chain([1 << 40 | id]).map(part);
    Request {
        id: RequestId(id),
        organisation: OrganisationId(1),
        pool: POOL,
        class: None,
        repeat: Repeat::Unkeyed,
        deadline: None,
        prompt_tokens: 300,
        hint_tokens: None,
        fingerprint: Fingerprint(id),
        prefix: None,
        details: RequestDetails {
            parts: parts.collect(),
            ..RequestDetails::default()
        },
    }
}

fn router(id: u32) -> Poison {
    Poison::new(RouterId(id), Config::default())
}

/// Returns a router that has seen sound answers to requests that share nothing with others.
fn experienced_router(id: u32) -> Poison {
    let mut poison = router(id);
    for n in 0..200 {
        poison.on_sound(START, &req(10_000 + n, &[5_000 + n]));
    }
    poison
}

/// Lets a router do what is due at a time.
fn tick(poison: &mut Poison, now: Time) -> Vec<Change> {
    poison.on_time(now, |_| TARGETS)
}

fn is_barred(poison: &mut Poison, now: Time, shared: &[u64]) -> bool {
    poison.check(now, &req(1, shared)).is_some()
}

/// Breaks requests with these parts at so many targets, 300 ms apart from `from` on, while other requests are answered.
/// Returns the time at which the evidence counts.
fn crash(poison: &mut Poison, from: u64, targets: u32, shared: &[u64]) -> Time {
    let mut millis = from;
    for target in 1..=targets {
        let id = u64::from(target);
        poison.on_break(at(millis), TargetId(target), &req(id, shared));
        for n in 0..30 {
            poison.on_sound(at(millis), &req(10_000 + n, &[5_000 + n]));
        }
        tick(poison, at(millis + 150));
        millis += 300;
    }
    at(millis + 400)
}

/// What a message held, and how many beliefs of its receiver it changed.
#[derive(Default)]
struct Exchanged {
    rows: usize,
    changes: usize,
}

/// Sends what one router has to tell to another, as if it took `transit`.
fn exchange(from: &mut Poison, to: &mut Poison, now: Time, transit: Duration) -> Exchanged {
    match from.take_rows(now) {
        Some(PoisonPart::Rows(rows)) => Exchanged {
            changes: to.on_rows(now + transit, &rows).len(),
            rows: rows.len(),
        },
        _ => Exchanged::default(),
    }
}

/// Guards against parts that are blamed for crashes that chance explains, and parts that crash targets for good.
#[test]
fn a_part_is_barred_after_a_run_of_crashes_that_chance_does_not_explain() {
    struct Case {
        name: &'static str,
        crashes: u32,
        /// When an answer to a request with the part begins and goes on.
        sound_at: Option<u64>,
        /// How many requests with other parts break in the meantime, at other targets.
        others_broken: u64,
        is_barred: bool,
    }
    let case = |name, crashes, sound_at, others_broken, is_barred| Case {
        name,
        crashes,
        sound_at,
        others_broken,
        is_barred,
    };
    let cases = [
        case("two crashes", 2, None, 0, false),
        case("three crashes", 3, None, 0, true),
        case("an answer long before", 3, Some(0), 0, true),
        case("an answer in between", 3, Some(3_450), 0, false),
        case("targets crash by themselves", 3, None, 150, false),
        case("the same, and a long run", 9, None, 150, true),
    ];
    for case in cases {
        let mut poison = experienced_router(1);
        if let Some(millis) = case.sound_at {
            poison.on_sound(at(millis), &req(7, &[CRASHING]));
        }
        for n in 0..case.others_broken {
            poison.on_break(at(2_900), TargetId(99), &req(20_000 + n, &[30_000 + n]));
        }
        let done = crash(&mut poison, 3_000, case.crashes, &[CRASHING]);
        tick(&mut poison, done);
        let is_barred = is_barred(&mut poison, done, &[CRASHING]);
        assert_eq!(is_barred, case.is_barred, "{}", case.name);
        assert!(
            !self::is_barred(&mut poison, done, &[COMMON]),
            "{}",
            case.name
        );
    }
}

/// Guards against a sound part that is barred because it stands beside one that crashes targets.
#[test]
fn a_part_beside_a_crashing_one_is_not_barred() {
    struct Case {
        name: &'static str,
        shared: &'static [u64],
        /// Whether a target answered a request with the common part before.
        is_known: bool,
        barred: usize,
    }
    let cases = [
        Case {
            name: "the common part was answered before",
            shared: &[COMMON, CRASHING],
            is_known: true,
            barred: 1,
        },
        Case {
            name: "in another order",
            shared: &[CRASHING, COMMON],
            is_known: true,
            barred: 1,
        },
        Case {
            name: "neither was answered before: one of them explains the crashes",
            shared: &[COMMON, CRASHING],
            is_known: false,
            barred: 1,
        },
    ];
    for case in cases {
        let mut poison = experienced_router(1);
        if case.is_known {
            poison.on_sound(START, &req(7, &[COMMON]));
        }
        let done = crash(&mut poison, 3_000, 5, case.shared);
        tick(&mut poison, done);
        assert_eq!(poison.barred().count(), case.barred, "{}", case.name);
        if case.is_known {
            assert!(is_barred(&mut poison, done, &[CRASHING]), "{}", case.name);
            assert!(!is_barred(&mut poison, done, &[COMMON]), "{}", case.name);
        }
    }
}

/// Guards against parts that are blamed when a rack, a data centre or this router's network fails.
#[test]
fn targets_that_break_at_once_have_another_cause() {
    let mut poison = experienced_router(1);
    for wave in 0..4 {
        for target in 1..=6 {
            let broken = req(100 * wave + target, &[COMMON, 40 + target % 2]);
            let target = TargetId(u32::try_from(6 * wave + target).expect("small"));
            poison.on_break(at(2_000 * wave + 1_000), target, &broken);
        }
        tick(&mut poison, at(2_000 * wave + 1_200));
    }
    tick(&mut poison, at(9_000));
    assert_eq!(poison.barred().count(), 0);
}

/// Guards against routers that each know too little: three routers that see one crash each bar the part together, and an
/// answer that one of them sees clears it at all of them.
#[test]
fn evidence_of_all_routers_counts() {
    let mut routers: Vec<Poison> = (1..=3).map(experienced_router).collect();
    let share = |routers: &mut Vec<Poison>, now| {
        for from in 0..routers.len() {
            if let Some(PoisonPart::Rows(rows)) = routers[from].take_rows(now) {
                for to in (0..routers.len()).filter(|to| *to != from) {
                    routers[to].on_rows(now, &rows);
                }
            }
        }
    };
    for (number, poison) in (0..).zip(&mut routers) {
        let target = TargetId(number);
        let millis = 1_000 + 300 * u64::from(number);
        poison.on_break(at(millis), target, &req(1, &[CRASHING]));
    }
    for millis in (1_000..2_600).step_by(50) {
        for poison in &mut routers {
            tick(poison, at(millis));
        }
        share(&mut routers, at(millis));
    }
    for poison in &mut routers {
        assert!(is_barred(poison, at(2_600), &[CRASHING]));
    }
    let mut newcomer = router(4);
    if let Some(PoisonPart::Rows(rows)) = routers[0].barred_rows(at(2_600)) {
        newcomer.on_rows(at(2_600), &rows);
    }
    assert!(is_barred(&mut newcomer, at(2_600), &[CRASHING]));
    routers[2].on_sound(at(2_700), &req(2, &[CRASHING]));
    share(&mut routers, at(2_750));
    for poison in &mut routers {
        assert!(!is_barred(poison, at(2_750), &[CRASHING]));
    }
}

/// Guards against news that routers send each other for ever, because the age of a fact grows with the time in transit.
#[test]
fn routers_that_hear_late_settle_on_one_bar() {
    let transit = Duration::from_millis(700);
    let mut one = experienced_router(1);
    let mut other = experienced_router(2);
    crash(&mut one, 1_000, 4, &[CRASHING]);
    let done = crash(&mut other, 1_020, 4, &[CRASHING]);
    tick(&mut one, done);
    tick(&mut other, done);
    assert_eq!(one.barred().count() + other.barred().count(), 2);
    let mut now = done;
    let mut changes = 0;
    for _ in 0..4 {
        changes += exchange(&mut one, &mut other, now, transit).changes;
        changes += exchange(&mut other, &mut one, now, transit).changes;
        now = now + transit;
    }
    let rows = exchange(&mut one, &mut other, now, transit).rows;
    assert_eq!(rows + exchange(&mut other, &mut one, now, transit).rows, 0);
    assert_eq!(
        changes, 0,
        "another bar of a barred part is no news for operators"
    );
    let id = |poison: &Poison| poison.barred().map(|(_, bar, _)| bar.id).next();
    assert_eq!(id(&one), id(&other));
}

/// Guards against memory and messages that grow with ids that callers make up.
#[test]
fn made_up_parts_displace_no_evidence_and_take_bounded_memory() {
    let cfg = Config::default();
    let mut poison = experienced_router(1);
    for round in 0..5_u64 {
        let target = TargetId(u32::try_from(round).expect("small"));
        let made_up: Vec<u64> = (0..400).map(|n| (1 << 30) + round * 1_000 + n).collect();
        let shared: Vec<u64> = made_up.into_iter().chain([CRASHING]).collect();
        poison.on_break(at(1_000 + 300 * round), target, &req(round, &shared));
        tick(&mut poison, at(1_150 + 300 * round));
        poison.on_sound(at(1_200 + 300 * round), &req(50 + round, &shared[..400]));
    }
    for n in 0..20_000 {
        poison.on_sound(at(2_600), &req(n, &[1 << 20 | n]));
    }
    tick(&mut poison, at(3_200));
    assert!(is_barred(&mut poison, at(3_200), &[CRASHING]));
    assert_eq!(poison.barred().count(), 1);
    let (parts, sound) = poison.sizes();
    assert!(
        parts <= cfg.parts_max && sound <= cfg.sound_max,
        "{parts}, {sound}"
    );
    while let Some(PoisonPart::Rows(rows)) = poison.take_rows(at(3_200)) {
        assert!(rows.len() <= message::ROWS_MAX);
    }
}

/// Guards against a part that is barred for ever, and against one whose end of the bar costs as many targets as its beginning.
#[test]
fn one_request_at_a_time_tries_a_part_whose_bar_has_run_out() {
    let mut poison = experienced_router(1);
    let done = crash(&mut poison, 1_000, 4, &[CRASHING]);
    tick(&mut poison, done);
    let bar_for = Config::default().bar_for;
    let mut now = done + bar_for;
    let mut length = bar_for;
    for round in 0..3 {
        let mut blocked = |now, id| poison.check(now, &req(id, &[CRASHING]));
        let first = blocked(now, 1).expect("no permit yet");
        assert!(first.wants_permit, "round {round}");
        assert!(poison.grant(now, key(CRASHING)));
        assert!(!poison.grant(now, key(CRASHING)), "one permit at a time");
        poison.on_permit(now, key(CRASHING));
        let mut blocked = |now, id| poison.check(now, &req(id, &[CRASHING]));
        assert_eq!(blocked(now, 2), None, "the trial");
        assert!(blocked(now, 3).is_some(), "another request");
        assert_eq!(blocked(now, 2), None, "the trial, right before it is sent");
        poison.on_break(now, TargetId(17), &req(2, &[CRASHING]));
        assert!(is_barred(&mut poison, now, &[CRASHING]));
        poison.on_closed(RequestId(2));
        now = now + Duration::from_millis(150);
        tick(&mut poison, now);
        length *= 2;
        let (_, bar, _) = poison.barred().next().expect("still barred");
        assert_eq!(bar.until.since(now), length, "round {round}");
        now = bar.until;
    }
    poison.check(now, &req(1, &[CRASHING]));
    assert!(poison.grant(now, key(CRASHING)));
    poison.on_permit(now, key(CRASHING));
    assert_eq!(poison.check(now, &req(4, &[CRASHING])), None);
    let changes = poison.on_sound(now + Duration::from_millis(300), &req(4, &[CRASHING]));
    assert_eq!(changes, [Change::Cleared(key(CRASHING))]);
    assert!(!is_barred(&mut poison, now, &[CRASHING]));
}

/// Guards against a bar that operators cannot lift, and one that comes back from a peer that has not heard of it.
#[test]
fn a_bar_that_operators_lift_does_not_come_back() {
    let mut poison = experienced_router(1);
    let done = crash(&mut poison, 1_000, 4, &[CRASHING]);
    tick(&mut poison, done);
    let rows = match poison.barred_rows(done) {
        Some(PoisonPart::Rows(rows)) => rows,
        _ => Vec::<Row>::new(),
    };
    assert_eq!(rows.len(), 1);
    let later = done + Duration::from_secs(1);
    let changes = poison.lift(later, Fingerprint(CRASHING));
    assert_eq!(changes, [Change::Cleared(key(CRASHING))]);
    poison.on_rows(later, &rows);
    assert!(!is_barred(&mut poison, later, &[CRASHING]));
}
