//! Tests of stated limits: the permits of one router, its part, and the order of statements.

use crate::input::StatedLimit;
use crate::limit::message::LimitRow;
use crate::limit::{Change, Demand, Limits, Meter, Part, RAISE_DELAY, Rate};
use crate::prelude::*;

const TARGET: TargetId = TargetId(5);
const NOW: Time = Time::from_millis(1_000_000);
const SEVEN: Rate = Rate::from_millis(7_000);
const THREE: Rate = Rate::from_millis(3_000);

/// A part of everything.
const ALL: Part = Part {
    own: 10,
    others: 0,
    heard: 1,
    routers: 1,
};

const fn at(millis: u64) -> Time {
    Time(NOW.0 + millis * 1_000)
}

fn limits() -> Limits {
    Limits::default()
}

fn known(limits: &Limits) -> Option<Rate> {
    limits.limit(TARGET).map(|(limit, _)| limit)
}

/// Guards against routers that together send more than a target takes, or much less, because of how
/// the limit is split.
#[test]
fn the_parts_of_all_routers_add_up_to_the_limit() {
    struct Case {
        name: &'static str,
        /// What recently arrived at each router.
        demand: &'static [u64],
        /// The routers that hear each other; the others hear nobody.
        connected: usize,
        /// The part of the first router in per cent of the limit, at least.
        first_percent: u64,
    }
    let cases = [
        Case {
            name: "equal demand",
            demand: &[10; 8],
            connected: 8,
            first_percent: 12,
        },
        Case {
            name: "all callers at one router",
            demand: &[300, 0, 0, 0, 0, 0, 0, 0],
            connected: 8,
            first_percent: 97,
        },
        Case {
            name: "no demand",
            demand: &[0; 8],
            connected: 8,
            first_percent: 12,
        },
        Case {
            name: "one router is cut off",
            demand: &[40, 40, 40, 40, 40, 40, 40, 40],
            connected: 7,
            first_percent: 12,
        },
        Case {
            name: "nobody hears anybody",
            demand: &[300, 0, 7, 40, 0, 0, 1, 90],
            connected: 1,
            first_percent: 12,
        },
    ];
    for case in cases {
        let connected: u64 = case.demand[..case.connected].iter().sum();
        let part = |(index, &own): (usize, &u64)| {
            let hears = index < case.connected;
            let part = Part {
                own,
                others: match hears {
                    true => connected - own,
                    false => 0,
                },
                heard: match hears {
                    true => case.connected as u64,
                    false => 1,
                },
                routers: case.demand.len() as u64,
            };
            part.of(SEVEN).as_millis()
        };
        let parts: Vec<u64> = case.demand.iter().enumerate().map(part).collect();
        let sum: u64 = parts.iter().sum();
        assert!(sum <= 7_000, "{}: {parts:?}", case.name);
        assert!(sum >= 6_900, "{}: {parts:?}", case.name);
        assert!(
            parts[0] >= 70 * case.first_percent,
            "{}: {parts:?}",
            case.name
        );
    }
}

/// Guards against a burst of the permits that accrued while a router had nothing to send, or stood
/// still.
#[test]
fn unused_permits_lapse() {
    struct Case {
        name: &'static str,
        rate: Rate,
        keeps_permit: bool,
        idle: Duration,
        permits: core::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "a second's worth",
            rate: SEVEN,
            keeps_permit: false,
            idle: Duration::from_secs(60),
            permits: 6..=7,
        },
        Case {
            name: "a small part has mostly none",
            rate: Rate::from_millis(16),
            keeps_permit: false,
            idle: Duration::from_secs(100),
            permits: 0..=0,
        },
        Case {
            name: "a small part in a small fleet keeps one",
            rate: Rate::from_millis(500),
            keeps_permit: true,
            idle: Duration::from_secs(100),
            permits: 1..=1,
        },
        Case {
            name: "a rate of zero",
            rate: Rate::default(),
            keeps_permit: true,
            idle: Duration::from_secs(100),
            permits: 0..=0,
        },
    ];
    for case in cases {
        for steps in [1, 1_000] {
            let mut meter = Meter::new(NOW, 1 << 63);
            meter.set_rate(NOW, case.rate, case.keeps_permit);
            for step in 1..=steps {
                meter.advance(NOW + case.idle * step / steps);
            }
            let name = format!("{}, {steps} steps", case.name);
            assert!(case.permits.contains(&meter.permits()), "{name}");
        }
    }
}

/// Guards against a router that sends more, or less, than its part while it always has work.
#[test]
fn a_router_with_work_sends_its_part() {
    for millis in [900, 5_300, 40_000] {
        let mut meter = Meter::new(NOW, 0);
        meter.set_rate(NOW, Rate::from_millis(millis), false);
        let mut sent = 0;
        for step in 1..=20_000 {
            meter.advance(at(step));
            for _ in 0..meter.permits() {
                meter.spend();
                sent += 1;
            }
        }
        assert_eq!(sent, millis * 20 / 1_000, "{millis}");
    }
}

/// Guards against a request without a permit, as a trial of a suspect is, that comes on top of the
/// limit.
#[test]
fn a_request_without_a_permit_uses_the_next_one() {
    let mut meter = Meter::new(NOW, 0);
    meter.set_rate(NOW, Rate::from_millis(2_000), false);
    meter.spend();
    meter.advance(at(900));
    assert_eq!(meter.permits(), 0);
    meter.advance(at(1_000));
    assert_eq!(meter.permits(), 1);
}

/// A statement in an answer: when it arrived and when its request was sent, in milliseconds.
type Answer = (u64, u64, StatedLimit);

/// Guards against a router that goes by an answer that is older than the last one, and against a
/// target that stays limited though it no longer says so.
#[test]
fn the_newest_statement_applies() {
    use StatedLimit::{Absent, PerSecond, Unreadable};
    struct Case {
        name: &'static str,
        answers: &'static [Answer],
        limit: Option<Rate>,
        last_change: Option<Change>,
    }
    let cases = [
        Case {
            name: "none",
            answers: &[(10, 0, Absent)],
            limit: None,
            last_change: None,
        },
        Case {
            name: "a limit",
            answers: &[(10, 0, PerSecond(SEVEN))],
            limit: Some(SEVEN),
            last_change: Some(Change::Set(SEVEN)),
        },
        Case {
            name: "the same again",
            answers: &[(10, 0, PerSecond(SEVEN)), (30, 20, PerSecond(SEVEN))],
            limit: Some(SEVEN),
            last_change: None,
        },
        Case {
            name: "no longer named",
            answers: &[(10, 0, PerSecond(SEVEN)), (30, 20, Absent)],
            limit: None,
            last_change: Some(Change::Lifted),
        },
        Case {
            name: "an answer from before the limit comes late",
            answers: &[(10, 0, PerSecond(SEVEN)), (30, 5, Absent)],
            limit: Some(SEVEN),
            last_change: None,
        },
        Case {
            name: "raised",
            answers: &[(10, 0, PerSecond(THREE)), (30, 20, PerSecond(SEVEN))],
            limit: Some(SEVEN),
            last_change: Some(Change::Set(SEVEN)),
        },
        Case {
            name: "an answer that names an older and higher limit comes late",
            answers: &[(10, 0, PerSecond(THREE)), (30, 5, PerSecond(SEVEN))],
            limit: Some(THREE),
            last_change: None,
        },
        Case {
            name: "lowered by an answer whose request was sent early",
            answers: &[(10, 0, PerSecond(SEVEN)), (30, 5, PerSecond(THREE))],
            limit: Some(THREE),
            last_change: Some(Change::Set(THREE)),
        },
        Case {
            name: "unreadable from the start",
            answers: &[(10, 0, Unreadable)],
            limit: None,
            last_change: Some(Change::Unreadable),
        },
        Case {
            name: "unreadable after a limit",
            answers: &[(10, 0, PerSecond(SEVEN)), (30, 20, Unreadable)],
            limit: Some(SEVEN),
            last_change: Some(Change::Unreadable),
        },
        Case {
            name: "unreadable again",
            answers: &[(10, 0, Unreadable), (30, 20, Unreadable)],
            limit: None,
            last_change: None,
        },
    ];
    for case in cases {
        let mut limits = limits();
        let mut change = None;
        for &(arrived, sent, stated) in case.answers {
            change = limits.on_statement(at(arrived), TARGET, at(sent), stated);
        }
        assert_eq!(known(&limits), case.limit, "{}", case.name);
        assert_eq!(change, case.last_change, "{}", case.name);
    }
}

/// Guards against a peer's report that lifts a limit which the target still states, and against a
/// router that never hears of a limit or of its end.
#[test]
fn peers_limit_at_once_and_lift_after_a_while() {
    struct Case {
        name: &'static str,
        /// What this router heard itself at 0 ms.
        own: Option<Rate>,
        /// What a peer reports at 100 ms.
        peer: Option<Rate>,
        /// Whether an answer repeats this router's own limit at 200 ms.
        repeats: bool,
        at_once: Option<Rate>,
        later: Option<Rate>,
    }
    let cases = [
        Case {
            name: "a limit that is news",
            own: None,
            peer: Some(SEVEN),
            repeats: false,
            at_once: Some(SEVEN),
            later: Some(SEVEN),
        },
        Case {
            name: "a lower one",
            own: Some(SEVEN),
            peer: Some(THREE),
            repeats: false,
            at_once: Some(THREE),
            later: Some(THREE),
        },
        Case {
            name: "a higher one",
            own: Some(THREE),
            peer: Some(SEVEN),
            repeats: false,
            at_once: Some(THREE),
            later: Some(SEVEN),
        },
        Case {
            name: "a higher one that the target contradicts",
            own: Some(THREE),
            peer: Some(SEVEN),
            repeats: true,
            at_once: Some(THREE),
            later: Some(THREE),
        },
        Case {
            name: "none any more",
            own: Some(SEVEN),
            peer: None,
            repeats: false,
            at_once: Some(SEVEN),
            later: None,
        },
        Case {
            name: "none any more, which the target contradicts",
            own: Some(SEVEN),
            peer: None,
            repeats: true,
            at_once: Some(SEVEN),
            later: Some(SEVEN),
        },
        Case {
            name: "none, of which this router never heard",
            own: None,
            peer: None,
            repeats: false,
            at_once: None,
            later: None,
        },
    ];
    for case in cases {
        let mut limits = limits();
        if let Some(own) = case.own {
            limits.on_statement(NOW, TARGET, NOW, StatedLimit::PerSecond(own));
        }
        let row = LimitRow {
            target: TARGET,
            limit: case.peer,
        };
        limits.on_peer_statement(at(100), row);
        limits.update(at(100), |_| ALL);
        assert_eq!(known(&limits), case.at_once, "{}", case.name);
        if let Some(own) = case.own.filter(|_| case.repeats) {
            limits.on_statement(at(200), TARGET, at(150), StatedLimit::PerSecond(own));
        }
        limits.update(at(100) + RAISE_DELAY, |_| ALL);
        assert_eq!(known(&limits), case.later, "{}", case.name);
    }
}

/// Guards against a limit that excludes a target for good, because no answer could lift it.
#[test]
fn a_target_that_takes_nothing_gets_a_request_now_and_then() {
    let mut limits = limits();
    limits.on_statement(NOW, TARGET, NOW, StatedLimit::PerSecond(Rate::default()));
    limits.update(NOW, |_| ALL);
    let mut sent = 0;
    for millis in 0..40_000 {
        limits.advance(at(millis));
        if limits.allows(TARGET) {
            limits.on_dispatch(TARGET);
            sent += 1;
        }
    }
    assert_eq!(sent, 10);
}

/// Guards against a new permit for each new part.
#[test]
fn a_part_that_changes_often_brings_no_permits() {
    let mut limits = limits();
    limits.on_statement(NOW, TARGET, NOW, StatedLimit::PerSecond(SEVEN));
    let mut sent = 0;
    for millis in 0..10_000 {
        let part = match millis % 2 {
            0 => ALL,
            _ => Part {
                others: 1_000,
                ..ALL
            },
        };
        limits.update(at(millis), |_| part);
        limits.advance(at(millis));
        if limits.allows(TARGET) {
            limits.on_dispatch(TARGET);
            sent += 1;
        }
    }
    assert!(
        (34..=37).contains(&sent),
        "{sent} in ten seconds at half of the limit"
    );
    assert!(limits.limit(TARGET).is_some_and(|(_, part)| part < SEVEN));
}

/// Guards against requests of a pool without limits that count as large, and wait for a permit that never comes.
#[test]
fn only_as_many_requests_as_there_are_permits_count_as_large() {
    const POOL: PoolId = PoolId(1);
    let mut demand = Demand::default();
    for number in 0..64 {
        demand.on_arrival(
            at(number * 10),
            POOL,
            100 * u32::try_from(number).expect("small"),
        );
    }
    let large = |demand: &Demand| {
        (0..64)
            .filter(|size| demand.is_large(POOL, 100 * size))
            .count()
    };
    assert_eq!(large(&demand), 0, "no limits");
    demand.divide_by_size(at(640), POOL, Rate::from_millis(16_000));
    assert_eq!(large(&demand), 16, "a quarter of what arrives");
    demand.divide_by_size(at(640), POOL, Rate::from_millis(900_000));
    assert_eq!(large(&demand), 64, "more than arrives");
    demand.forget_sizes();
    assert_eq!(large(&demand), 0, "no limits any more");
}

/// Guards against a limit that stays in force because one peer after the other reports its end.
#[test]
fn reports_of_several_peers_do_not_delay_the_end_of_a_limit() {
    let mut limits = limits();
    limits.on_statement(NOW, TARGET, NOW, StatedLimit::PerSecond(SEVEN));
    let row = LimitRow {
        target: TARGET,
        limit: None,
    };
    for millis in (100..=600).step_by(100) {
        limits.on_peer_statement(at(millis), row);
        limits.update(at(millis), |_| ALL);
    }
    assert_eq!(known(&limits), None);
}
