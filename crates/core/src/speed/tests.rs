use crate::prelude::*;
use crate::speed::{Basis, ReadRate, Reading, Speeds, WORK_USUAL};

const NOW: Time = Time::from_millis(1_000_000);
const TARGET: TargetId = TargetId(7);
const POOL: PoolId = PoolId(1);

fn work(speeds: &Speeds, now: Time) -> u32 {
    speeds.work_each(now, Basis::Answers)(TARGET)
}

/// Guards against a momentary figure that counts for longer than the machine is slowed, and against
/// one that is not used at all.
#[test]
fn a_stated_figure_wears_off() {
    struct Case {
        name: &'static str,
        /// Stated figures, each with the time before `NOW` in milliseconds, oldest first.
        stated: &'static [(u64, u16)],
        expected: core::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "nothing stated",
            stated: &[],
            expected: 100..=100,
        },
        Case {
            name: "slow machine",
            stated: &[(2_000, 182)],
            expected: 180..=180,
        },
        Case {
            name: "fast machine",
            stated: &[(2_000, 83)],
            expected: 80..=80,
        },
        Case {
            name: "as usual but for rounding",
            stated: &[(0, 103)],
            expected: 100..=100,
        },
        Case {
            name: "slowed by neighbours now",
            stated: &[(3_000, 83), (0, 208)],
            expected: 210..=210,
        },
        Case {
            name: "slowed by neighbours two seconds ago",
            stated: &[(3_000, 83), (2_000, 208)],
            expected: 80..=90,
        },
        Case {
            name: "first seen while slowed",
            stated: &[(9_000, 208), (6_000, 83), (3_000, 83), (2_000, 83)],
            expected: 80..=100,
        },
        Case {
            name: "seen long ago",
            stated: &[(30_000, 182)],
            expected: 100..=100,
        },
        Case {
            name: "a huge figure is clamped",
            stated: &[(0, 60_000)],
            expected: 1_000..=1_000,
        },
        Case {
            name: "a tiny figure is clamped",
            stated: &[(0, 10)],
            expected: 50..=50,
        },
    ];
    for case in cases {
        let mut speeds = Speeds::default();
        for &(before, work) in case.stated {
            speeds.on_stated(NOW - Duration::from_millis(before), TARGET, work);
        }
        let found = work(&speeds, NOW);
        assert!(case.expected.contains(&found), "{}: {found}", case.name);
    }
}

/// Guards against a single late answer that moves the choice, and against targets whose answers are
/// always late that count as usual.
#[test]
fn answers_show_the_speed_of_a_target() {
    struct Case {
        name: &'static str,
        /// The times of the target's answers to 6000 tokens, in milliseconds.
        took: &'static [u64],
        stated: Option<u16>,
        expected: core::ops::RangeInclusive<u32>,
    }
    // At 48 tokens a millisecond 6000 tokens take 125 ms, and the overhead 20 ms.
    let cases = [
        Case {
            name: "one late answer",
            took: &[145, 145, 145, 1_000, 145, 145, 145, 145],
            stated: None,
            expected: 100..=130,
        },
        Case {
            name: "always slow",
            took: &[247; 12],
            stated: None,
            expected: 150..=200,
        },
        Case {
            name: "too few answers",
            took: &[247; 3],
            stated: None,
            expected: 100..=100,
        },
        Case {
            name: "usual, and states that it is ten times as fast",
            took: &[145; 12],
            stated: Some(10),
            expected: 50..=60,
        },
        Case {
            name: "usual, and states that it is ten times as slow",
            took: &[145; 12],
            stated: Some(1_000),
            expected: 350..=450,
        },
    ];
    for case in cases {
        let mut speeds = Speeds::default();
        let read = |speeds: &mut Speeds, target, took| {
            let reading = Reading {
                tokens: 6_000,
                is_alone: true,
                took: Duration::from_millis(took),
            };
            speeds.on_read(NOW, (POOL, target), 80, reading);
        };
        for other in 100..200 {
            read(&mut speeds, TargetId(other), 145);
        }
        let rate = speeds.rate(POOL, 80).per_ms();
        assert!((4_500..=5_100).contains(&rate), "{}: {rate}", case.name);
        for &took in case.took {
            read(&mut speeds, TARGET, took);
        }
        if let Some(work) = case.stated {
            speeds.on_stated(NOW, TARGET, work);
        }
        let found = work(&speeds, NOW);
        assert!(case.expected.contains(&found), "{}: {found}", case.name);
        let later = work(&speeds, NOW + Duration::from_secs(30));
        assert_eq!(later, WORK_USUAL, "{}", case.name);
    }
}

/// Guards against rows for peers that tell them nothing: a fleet of 77 routers sees 1500 answers a
/// second.
#[test]
fn only_changes_by_a_tenth_are_reported() {
    let mut speeds = Speeds::default();
    let cases = [
        (182, true),
        (185, false),
        (170, false),
        (455, true),
        (455, false),
        (182, true),
    ];
    for (at, (work, expected)) in cases.into_iter().enumerate() {
        let row = speeds.on_stated(NOW, TARGET, work);
        assert_eq!(row.is_some(), expected, "statement {at} of {work}");
    }
}

/// Guards against a rate far from any engine's that follows from late answers of a weak router.
#[test]
fn the_usual_rate_stays_within_limits() {
    for (name, observed, expected) in [
        ("late answers", 1, 2_000),
        ("answers before their time", u32::MAX, 16_000),
    ] {
        let mut rate = ReadRate::new(80);
        (0..1_000).for_each(|_| rate.observe(observed));
        assert_eq!(rate.per_ms(), expected, "{name}");
    }
}
