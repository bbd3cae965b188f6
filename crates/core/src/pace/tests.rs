//! Tests of the pace of one target at one router.

use super::{Change, Pace, Surroundings, Usual};
use crate::limit::{Part, Rate};
use crate::prelude::*;

const POOL: PoolId = PoolId(1);
const TARGET: TargetId = TargetId(5);
const START: Time = Time::from_millis(1_000_000);
const USUAL: Duration = Duration::from_millis(100);
const UPDATE_MS: u64 = 100;

/// How a target behaves towards the requests of one router that sends all that it may.
struct Case {
    name: &'static str,
    /// How long the target is cold, in milliseconds.
    cold_ms: u64,
    /// What its pool allows a cold target.
    cold_per_s: u32,
    /// The time to the start of an answer after so many milliseconds; `None` if the target refuses.
    answers: fn(u64) -> Option<u64>,
    /// The requests per second of this router and of the others.
    demand: (u64, u64),
    /// The requests that the others have at the target.
    running: u32,
    /// The least and the most requests in the second after each of these times, in milliseconds.
    expected: &'static [(u64, u32, u32)],
    /// Whether the target is still paced after eight seconds.
    is_paced: bool,
}

/// Sends a target all that its pace allows for eight seconds, at most 200 requests per second, and
/// returns when.
fn play(case: &Case) -> (Vec<u64>, bool) {
    let mut pace = Pace::default();
    pace.on_start(START, (POOL, TARGET), case.cold_per_s);
    let mut sent = Vec::new();
    let mut under_way: Vec<(u64, Option<u64>)> = Vec::new();
    for ms in 0..8_000 {
        let now = START + Duration::from_millis(ms);
        if ms % UPDATE_MS == 0 {
            let routers = if case.demand.1 > 0 { 77 } else { 1 };
            let part = Part {
                own: case.demand.0,
                others: case.demand.1,
                heard: routers,
                routers,
            };
            let surroundings = Surroundings {
                is_cold: ms < case.cold_ms,
                part,
                running: case.running,
            };
            pace.update(now, TARGET, surroundings);
        }
        pace.advance(now);
        if ms % 5 == 0 && pace.allows(TARGET) {
            pace.on_dispatch(TARGET);
            sent.push(ms);
            under_way.push((ms, (case.answers)(ms)));
        }
        under_way.retain(|&(at, answer)| {
            if ms < at + answer.unwrap_or(1) {
                return true;
            }
            let times = (
                START + Duration::from_millis(at),
                Duration::from_millis(ms - at),
            );
            match answer {
                Some(_) => pace.on_answer(now, TARGET, times, Some(USUAL)),
                None => pace.on_refused(now, TARGET),
            };
            false
        });
    }
    (sent, pace.is_paced(TARGET))
}

/// Guards against a target that is overloaded after its start, or left idle, by one router with all
/// the demand, and by one of many.
#[test]
fn a_target_gets_what_its_answers_show_that_it_bears() {
    let quick = |_| Some(90);
    let case = |name| Case {
        name,
        cold_ms: 0,
        cold_per_s: 8,
        answers: quick,
        demand: (200, 0),
        running: 0,
        expected: &[],
        is_paced: false,
    };
    let cases = [
        Case {
            // 8 a second, then doubled about four times a second.
            expected: &[(0, 8, 120), (3_000, 190, 200)],
            ..case("quick answers")
        },
        Case {
            cold_ms: 3_000,
            expected: &[(0, 190, 200), (3_000, 8, 120), (7_000, 190, 200)],
            ..case("no bound but that on cold targets while the target is cold")
        },
        Case {
            cold_per_s: 0,
            expected: &[(0, 8, 120), (3_000, 190, 200)],
            ..case("no stated allowance")
        },
        Case {
            answers: |_| Some(800),
            expected: &[(2_000, 0, 4), (7_000, 0, 4)],
            is_paced: true,
            ..case("slow after recovery")
        },
        Case {
            answers: |_| None,
            expected: &[(1_000, 0, 3), (7_000, 0, 3)],
            is_paced: true,
            ..case("refuses")
        },
        Case {
            cold_ms: 3_000,
            answers: |_| None,
            expected: &[(2_000, 0, 3), (7_000, 0, 3)],
            is_paced: true,
            ..case("refuses while it is cold")
        },
        Case {
            answers: |ms| (ms < 400).then_some(90),
            expected: &[(7_000, 0, 3)],
            is_paced: true,
            ..case("vanishes with its work")
        },
        Case {
            answers: |ms| (ms > 4_000).then_some(90),
            expected: &[(2_500, 0, 3), (7_000, 20, 200)],
            ..case("refuses for a while")
        },
        Case {
            demand: (10, 760),
            running: 4,
            expected: &[(0, 0, 1), (6_000, 10, 200)],
            ..case("one of many routers, by the load that others report")
        },
        Case {
            demand: (10, 760),
            expected: &[(0, 0, 1), (6_000, 10, 200)],
            ..case("one of many routers, where answers are so short that no report shows one")
        },
        Case {
            demand: (10, 760),
            answers: |_| None,
            expected: &[(0, 0, 1), (2_000, 0, 2), (6_000, 0, 1)],
            is_paced: true,
            ..case("one of many routers, at a target that refuses")
        },
        Case {
            demand: (10, 760),
            running: 4_000_000,
            expected: &[(0, 0, 1), (2_000, 0, 8)],
            ..case("one of many routers, while requests pile up")
        },
    ];
    for case in cases {
        let (sent, is_paced) = play(&case);
        for &(from, least, most) in case.expected {
            let count = sent.iter().filter(|&&at| at >= from && at < from + 1_000);
            let count = u32::try_from(count.count()).expect("few");
            let range = least..=most;
            assert!(
                range.contains(&count),
                "{}: {count} from {from} ms",
                case.name
            );
        }
        if case.running < 1_000 {
            assert_eq!(is_paced, case.is_paced, "{}", case.name);
        }
    }
}

/// Guards against failures of one moment that count several times, and against a pace that a restart
/// raises.
#[test]
fn trouble_halves_once_and_a_restart_raises_nothing() {
    let mut pace = Pace::default();
    let started = pace.on_start(START, (POOL, TARGET), 8);
    assert_eq!(started, Some(Change::Started(Rate::from_millis(8_000))));
    let halved = pace.on_refused(START, TARGET);
    assert_eq!(halved, Some(Change::Halved(Rate::from_millis(4_000))));
    assert_eq!(pace.on_refused(START, TARGET), None);
    assert_eq!(pace.on_start(START, (POOL, TARGET), 8), None);
    assert_eq!(pace.pace(TARGET), Some(Rate::from_millis(4_000)));
}

/// Guards against long prompts that count as slow, and against a judgement from too few answers.
#[test]
fn the_usual_time_follows_the_prompt_and_needs_some_answers() {
    let mut usual = Usual::default();
    for _ in 0..7 {
        usual.on_answer(POOL, 500, Duration::from_millis(20));
    }
    assert_eq!(usual.time(POOL, 500), None);
    usual.on_answer(POOL, 500, Duration::from_millis(20));
    let time = |tokens| usual.time(POOL, tokens).map(|time| time.as_millis());
    assert!((Some(19)..=Some(20)).contains(&time(500)));
    assert!((Some(109)..=Some(110)).contains(&time(5_000)));
}
