//! Targets of different speeds, with and without a pause objective.

use super::*;

/// The work of targets at 1.2 and 0.55 times the usual speed.
const FAST_WORK: u32 = 83;
const SLOW_WORK: u32 = 182;
/// The unread tokens that a target of usual speed may have: half of 600 ms at 48 tokens a ms.
const UNREAD_MAX: u64 = 14_400;

fn at_speed(id: u32, work: u32, unread: u64, is_bound: bool) -> CandidateLoad {
    let unread_max = UNREAD_MAX * 100 / u64::from(work);
    CandidateLoad {
        candidate: Candidate {
            target: TargetId(id),
            slots: 24,
            distance: Distance::Near,
            prefers_light: false,
        },
        load: Load {
            unread,
            requests: u32::from(unread > 0),
        },
        permits: None,
        speed: ReadSpeed {
            work,
            unread_max: is_bound.then_some(unread_max),
        },
    }
}

/// Guards against prompts that make streams on slow targets late while faster ones could read them,
/// and against large prompts that no target takes.
#[test]
fn slow_targets_take_what_they_read_in_time() {
    const FAST: u32 = 1;
    const SLOW: u32 = 2;
    struct Case {
        name: &'static str,
        prompt: u32,
        /// Unread tokens at the fast and at the slow target.
        unread: (u64, u64),
        due_tokens: u64,
        chosen: Option<u32>,
    }
    let cases = [
        Case {
            name: "a long prompt, both idle",
            prompt: 12_000,
            unread: (0, 0),
            due_tokens: u64::MAX,
            chosen: Some(FAST),
        },
        Case {
            name: "a short prompt, the fast one reads a long one",
            prompt: 500,
            unread: (12_000, 0),
            due_tokens: u64::MAX,
            chosen: Some(SLOW),
        },
        Case {
            name: "a prompt that only the fast one reads in time beside another",
            prompt: 8_000,
            unread: (9_000, 0),
            due_tokens: u64::MAX,
            chosen: Some(FAST),
        },
        Case {
            name: "a prompt too long for both, the fast one reads",
            prompt: 12_000,
            unread: (9_000, 0),
            due_tokens: u64::MAX,
            chosen: Some(SLOW),
        },
        Case {
            name: "a huge prompt, both idle",
            prompt: 100_000,
            unread: (0, 0),
            due_tokens: u64::MAX,
            chosen: Some(FAST),
        },
        Case {
            name: "both read as much as streams there bear",
            prompt: 3_000,
            unread: (16_000, 6_000),
            due_tokens: u64::MAX,
            chosen: None,
        },
        Case {
            name: "an answer that would begin late behind what the fast one reads",
            prompt: 8_000,
            unread: (9_000, 6_000),
            due_tokens: 10_000,
            chosen: None,
        },
    ];
    for case in cases {
        let balance = Balance::new(Config::default());
        let parts = [part(7, case.prompt)];
        let wanted = RequestProfile {
            due_tokens: case.due_tokens,
            ..profile(&parts, false)
        };
        let places = [
            at_speed(FAST, FAST_WORK, case.unread.0, true),
            at_speed(SLOW, SLOW_WORK, case.unread.1, true),
        ];
        let choice = balance.choose(NOW, wanted, places.iter());
        let chosen = choice.map(|choice| choice.target.0);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Guards against calls of plain services that queue at slow targets.
#[test]
fn calls_go_where_requests_by_work_are_least() {
    struct Case {
        name: &'static str,
        /// Requests and work of two targets.
        targets: [(u32, u32); 2],
        chosen: Option<u32>,
    }
    let cases = [
        Case {
            name: "both idle",
            targets: [(0, 182), (0, 83)],
            chosen: Some(2),
        },
        Case {
            name: "as many at both",
            targets: [(3, 182), (3, 83)],
            chosen: Some(2),
        },
        Case {
            name: "more at the fast one, which is done first",
            targets: [(3, 182), (6, 83)],
            chosen: Some(2),
        },
        Case {
            name: "many more at the fast one",
            targets: [(1, 182), (6, 83)],
            chosen: Some(1),
        },
        Case {
            name: "usual speed",
            targets: [(3, 100), (2, 100)],
            chosen: Some(2),
        },
    ];
    for case in cases {
        let balance = Balance::new(Config::default());
        let places: Vec<CandidateLoad> = case
            .targets
            .iter()
            .zip(1..)
            .map(|(&(requests, work), id)| {
                let mut place = at_speed(id, work, 0, false);
                place.load.requests = requests;
                place
            })
            .collect();
        let choice = balance.choose(NOW, profile(&[], false), places.iter());
        let chosen = choice.map(|choice| choice.target.0);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Guards against all routers choosing the same target until the next report, because one has a
/// request fewer than the others.
#[test]
fn routers_with_the_same_figures_choose_different_targets() {
    const ROUTERS: u32 = 120;
    const TARGETS: u32 = 40;
    struct Case {
        name: &'static str,
        /// The prompt, or 0 for calls of a plain service.
        prompt: u32,
        /// The most requests at one target, four times an even share.
        most: usize,
    }
    let cases = [
        Case {
            name: "prompts",
            prompt: 6_000,
            most: 12,
        },
        Case {
            name: "calls",
            prompt: 0,
            most: 12,
        },
    ];
    for case in cases {
        let balance = Balance::new(Config::default());
        let places: Vec<CandidateLoad> = (1..=TARGETS)
            .map(|id| {
                let mut place = at_speed(id, FAST_WORK, 0, true);
                place.load.requests = match case.prompt {
                    0 => 2,
                    _ => 2 + id % 5,
                };
                place
            })
            .collect();
        let mut chosen = [0; TARGETS as usize + 1];
        for router in 0..ROUTERS {
            let parts = [part(u64::from(router), case.prompt)];
            let choice = balance.choose(NOW, profile(&parts, false), places.iter());
            chosen[choice.expect("all are idle").target.0 as usize] += 1;
        }
        let most = chosen.into_iter().max().unwrap_or_default();
        assert!(most <= case.most, "{}: {most} at one target", case.name);
    }
}
