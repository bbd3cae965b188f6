//! Tests of the choice of a target, by the pattern of load that each answers.

use super::message::{FloorRow, LoadPart, LoadRow};
use super::{Balance, Candidate, Config, Load, Place, Wanted};
use crate::prelude::*;
use crate::route::Distance;

const NOW: Time = Time::from_millis(100_000);
const SLOTS: u32 = 128;

fn part(content: u64, tokens: u32) -> PromptPart {
    PromptPart {
        content: Fingerprint(content),
        tokens,
    }
}

/// A long prompt of which another request may share 5000 tokens.
fn long(own: u64) -> Vec<PromptPart> {
    vec![part(1, 500), part(2, 4_500), part(own, 6_000)]
}

fn wanted(parts: &[PromptPart], patient: bool) -> Wanted<'_> {
    Wanted {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: 100,
        body_bytes: 10_000,
        patient,
    }
}

fn places(balance: &Balance, count: u32) -> Vec<Place> {
    let place = |id| Place {
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            is_quiet: false,
        },
        load: balance.load(NOW, TargetId(id)),
    };
    (1..=count).map(place).collect()
}

fn choose(balance: &Balance, wanted: Wanted<'_>, count: u32) -> Option<TargetId> {
    let places = places(balance, count);
    let choice = balance.choose(NOW, wanted, places.iter());
    choice.map(|choice| choice.target)
}

#[test]
fn a_prompt_goes_where_its_parts_are_until_that_target_is_far_busier() {
    let mut balance = Balance::new(Config::default());
    let first = choose(&balance, wanted(&long(10), false), 4).expect("all are idle");
    balance.on_dispatch(NOW, first, 11_000, &long(10));
    balance.on_read(first, 11_000);
    for own in 11..20 {
        let next = choose(&balance, wanted(&long(own), false), 4);
        assert_eq!(next, Some(first), "request {own}");
    }
    let ahead = balance.cfg().ahead_tokens();
    balance.on_dispatch(NOW, first, u32::try_from(ahead).expect("small"), &[]);
    let other = choose(&balance, wanted(&long(20), false), 4);
    assert!(other.is_some_and(|target| target != first), "{other:?}");
}

#[test]
fn routers_agree_without_a_message_on_who_holds_a_part() {
    let (one, two) = (
        Balance::new(Config::default()),
        Balance::new(Config::default()),
    );
    for shared in 0..50 {
        let parts = [part(shared, 4_000), part(1_000 + shared, 100)];
        let others = [part(shared, 4_000), part(2_000 + shared, 100)];
        let chosen = choose(&one, wanted(&parts, true), 18);
        assert_eq!(chosen, choose(&two, wanted(&others, true), 18));
    }
}

#[test]
fn routers_with_different_views_agree_on_a_holder_of_the_requests_kind() {
    const QUIET: u32 = 3;
    let view = |shift: u32| -> Vec<Place> {
        let place = |id: u32| Place {
            candidate: Candidate {
                target: TargetId(id),
                slots: SLOTS,
                distance: Distance::Near,
                is_quiet: id <= QUIET,
            },
            load: Load {
                unread: 10 + u64::from(id * shift % 7) * 100,
                requests: 20 + id * shift % 5,
            },
        };
        (1..=18).map(place).collect()
    };
    let balance = Balance::new(Config::default());
    for shared in 0..50 {
        let parts = [part(shared, 4_000), part(1_000 + shared, 100)];
        let choose = |shift| {
            let places = view(shift);
            let choice = balance.choose(NOW, wanted(&parts, true), places.iter());
            choice.map(|choice| choice.target)
        };
        let chosen = choose(3);
        assert_eq!(chosen, choose(5), "part {shared}");
        assert!(chosen.is_some_and(|target| target.0 > QUIET), "{chosen:?}");
    }
}

#[test]
fn a_part_that_a_peer_sent_elsewhere_is_not_read_a_third_time() {
    let (mut one, mut two) = (
        Balance::new(Config::default()),
        Balance::new(Config::default()),
    );
    let presumed = choose(&two, wanted(&long(10), false), 4).expect("all are idle");
    let other = (1..=4).map(TargetId).find(|&id| id != presumed);
    let other = other.expect("there are four");
    one.on_dispatch(NOW, other, 11_000, &long(11));
    one.on_read(other, 11_000);
    let told = one
        .report(NOW, Vec::new(), |_| false)
        .expect("there is news");
    two.on_part(NOW, RouterId(1), &told);
    let places = places(&two, 4);
    let choice = two.choose(NOW, wanted(&long(12), false), places.iter());
    let choice = choice.expect("all have room");
    assert_eq!((choice.target, choice.unread), (other, 6_000));
}

#[test]
fn peers_are_told_of_long_parts_once_in_a_while() {
    struct Case {
        name: &'static str,
        tokens: u32,
        after: Duration,
        told: usize,
    }
    let half = Config::default().keep / 2;
    let cases = [
        Case {
            name: "short",
            tokens: 200,
            after: Duration::ZERO,
            told: 0,
        },
        Case {
            name: "long",
            tokens: 4_000,
            after: Duration::ZERO,
            told: 1,
        },
        Case {
            name: "long, sent again soon",
            tokens: 4_000,
            after: half,
            told: 1,
        },
        Case {
            name: "long, sent again late",
            tokens: 4_000,
            after: half + Duration::from_millis(1),
            told: 2,
        },
    ];
    for case in cases {
        let mut balance = Balance::new(Config::default());
        let parts = [part(1, case.tokens), part(2, 100)];
        balance.on_dispatch(NOW, TargetId(1), 0, &parts);
        balance.on_dispatch(NOW + case.after, TargetId(1), 0, &parts);
        let told = balance
            .report(NOW, Vec::new(), |_| false)
            .expect("a target has work");
        assert_eq!(told.held.len(), case.told, "{}", case.name);
    }
}

#[test]
fn a_patient_request_waits_for_its_holder_while_others_have_something_to_read() {
    let mut balance = Balance::new(Config::default());
    let holder = choose(&balance, wanted(&long(10), true), 3).expect("all are idle");
    let ahead = u32::try_from(balance.cfg().ahead_tokens()).expect("small");
    for target in 1..=3 {
        let unread = if TargetId(target) == holder {
            ahead
        } else {
            100
        };
        balance.on_dispatch(NOW, TargetId(target), unread, &[]);
    }
    assert_eq!(choose(&balance, wanted(&long(11), true), 3), None);
    let due = choose(&balance, wanted(&long(11), false), 3);
    assert!(due.is_some_and(|target| target != holder), "{due:?}");
}

#[test]
fn a_request_of_any_size_fits_a_target_that_has_nothing_to_read() {
    let mut balance = Balance::new(Config::default());
    let huge = [part(1, 60_000)];
    assert_eq!(choose(&balance, wanted(&huge, false), 1), Some(TargetId(1)));
    balance.on_dispatch(NOW, TargetId(1), 1, &[]);
    assert_eq!(choose(&balance, wanted(&huge, false), 1), None);
}

#[test]
fn what_peers_have_counts_until_they_fall_silent() {
    let mut balance = Balance::new(Config::default());
    let full = u32::try_from(balance.cfg().ahead_tokens()).expect("small");
    let told = LoadPart {
        is_full: true,
        rows: vec![LoadRow {
            target: TargetId(1),
            unread: full,
            requests: 9,
        }],
        floors: vec![FloorRow {
            pool: PoolId(1),
            lowest: 1_000,
        }],
        held: Vec::new(),
        busy: None,
    };
    balance.on_part(NOW, RouterId(2), &told);
    let load = Load {
        unread: u64::from(full),
        requests: 9,
    };
    assert_eq!(balance.load(NOW, TargetId(1)), load);
    assert_eq!(choose(&balance, wanted(&long(1), false), 1), None);
    let lead = balance.cfg().lead.0;
    assert_eq!(balance.turn_limit(NOW, PoolId(1)), 1_000 + lead);
    let later = NOW + balance.cfg().stale_after;
    assert_eq!(balance.load(later, TargetId(1)), Load::default());
    assert_eq!(balance.turn_limit(later, PoolId(1)), u64::MAX);
}

#[test]
fn quiet_targets_take_long_prompts_only_while_nearly_idle() {
    let balance = Balance::new(Config::default());
    let busy = Load {
        unread: 10,
        requests: 20,
    };
    let place = |id, is_quiet, load| Place {
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            is_quiet,
        },
        load,
    };
    let quiet = [place(1, true, busy)];
    let parts = long(1);
    assert_eq!(
        balance.choose(NOW, wanted(&parts, false), quiet.iter()),
        None
    );
    let light = Wanted {
        prompt_tokens: 800,
        output_tokens: 300,
        ..wanted(&parts, false)
    };
    let both = [place(1, true, busy), place(2, false, Load::default())];
    let choice = balance.choose(NOW, light, both.iter());
    assert_eq!(choice.map(|choice| choice.target), Some(TargetId(1)));
    let idle = [place(1, true, Load::default())];
    let choice = balance.choose(NOW, wanted(&parts, false), idle.iter());
    assert!(choice.is_some_and(|choice| choice.is_idle));
}

#[test]
fn a_restart_forgets_what_a_target_held() {
    let mut balance = Balance::new(Config::default());
    balance.on_dispatch(NOW, TargetId(1), 11_000, &long(1));
    balance.on_read(TargetId(1), 11_000);
    let unread = |balance: &Balance| {
        let places = places(balance, 1);
        let choice = balance.choose(NOW, wanted(&long(2), false), places.iter());
        choice.map(|choice| choice.unread)
    };
    assert_eq!(unread(&balance), Some(6_000));
    balance.on_restart(TargetId(1));
    assert_eq!(unread(&balance), Some(11_000));
}

#[test]
fn peers_are_told_when_something_changed_or_now_and_then() {
    let mut balance = Balance::new(Config::default());
    balance.on_dispatch(NOW, TargetId(1), 5, &[]);
    let told = balance
        .report(NOW, Vec::new(), |_| false)
        .expect("it changed");
    assert_eq!(told.rows.len(), 1);
    assert_eq!(balance.report(NOW, Vec::new(), |_| false), None);
    let later = NOW + balance.cfg().stale_after;
    assert!(balance.report(later, Vec::new(), |_| false).is_some());
    balance.on_end(TargetId(1));
    let left = balance
        .report(later, Vec::new(), |_| false)
        .expect("it changed");
    let none = LoadRow {
        target: TargetId(1),
        unread: 0,
        requests: 0,
    };
    assert_eq!(left.rows, [none]);
}

#[test]
fn a_peer_that_hears_the_changes_knows_the_loads() {
    let (mut one, mut two) = (
        Balance::new(Config::default()),
        Balance::new(Config::default()),
    );
    let every = one.cfg().report_every;
    let mut now = NOW;
    let mut running: Vec<TargetId> = Vec::new();
    for step in 0..100_u32 {
        let target = TargetId(1 + step * 7 % 5);
        one.on_dispatch(now, target, step, &[]);
        running.push(target);
        if step % 3 != 0 {
            one.on_read(target, step);
        }
        if step % 4 != 0 {
            one.on_end(running.remove(0));
        }
        if let Some(part) = one.report(now, Vec::new(), |_| false) {
            two.on_part(now, RouterId(1), &part);
        }
        for target in (1..=5).map(TargetId) {
            let (told, is) = (two.load(now, target), one.load(now, target));
            assert_eq!(told, is, "step {step}, target {target}");
        }
        now = now + every;
    }
    let later = now + two.cfg().stale_after;
    assert_eq!(
        two.report(later, Vec::new(), |_| false)
            .map(|part| part.rows),
        Some(Vec::new())
    );
    let loads = (1..=5).map(|id| two.load(later, TargetId(id)));
    assert!(loads.into_iter().all(|load| load == Load::default()));
}

/// The pattern: in a large fleet few routers have work, and callers are sent to some of the routers only.
#[test]
fn routers_with_work_are_made_known_to_one_another() {
    const NAMED: RouterId = RouterId(1);
    struct Case {
        name: &'static str,
        /// Requests that router 2 has at a target.
        requests: u32,
        /// What waits at router 2.
        floors: Vec<FloorRow>,
        after: Duration,
        /// Whether another router learns of router 2 from the named one.
        told: bool,
    }
    let waits = FloorRow {
        pool: PoolId(1),
        lowest: 1,
    };
    let cases = [
        Case {
            name: "only the platform's questions",
            requests: 3,
            floors: Vec::new(),
            after: Duration::ZERO,
            told: false,
        },
        Case {
            name: "requests at a target",
            requests: 4,
            floors: Vec::new(),
            after: Duration::ZERO,
            told: true,
        },
        Case {
            name: "requests that wait",
            requests: 0,
            floors: vec![waits],
            after: Duration::ZERO,
            told: true,
        },
        Case {
            name: "silent by now",
            requests: 4,
            floors: Vec::new(),
            after: Config::default().stale_after,
            told: false,
        },
    ];
    for case in cases {
        let new = || Balance::new(Config::default());
        let (mut hub, mut busy, mut other) = (new(), new(), new());
        let is_named = |router| router == NAMED;
        for _ in 0..case.requests {
            busy.on_dispatch(NOW, TargetId(1), 10, &[]);
        }
        let part = busy.report(NOW, case.floors, is_named);
        hub.on_part(NOW, RouterId(2), &part.expect("the first report is due"));
        let later = NOW + case.after;
        let part = hub.report(later, Vec::new(), is_named);
        other.on_part(later, NAMED, &part.expect("the first report is due"));
        let known = other.busy(later).contains(&RouterId(2));
        assert_eq!(known, case.told, "{}", case.name);
        // What was only passed on is not passed on again, or it would never be forgotten.
        let part = other.report(later, Vec::new(), is_named);
        let passed_on = part.and_then(|part| part.busy);
        assert_eq!(passed_on, Some(Vec::new()), "{}", case.name);
    }
}
