//! Tests of the choice of a target, by the pattern of load that each answers.

use super::message::{ClaimRow, LoadPart, LoadRow};
use super::{Balance, Candidate, CandidateLoad, Config, Load, RequestProfile, Workload};
use crate::prelude::*;
use crate::route::Distance;

const NOW: Time = Time::from_millis(100_000);
const SLOTS: u32 = 128;
const POOL: PoolId = PoolId(1);

/// What waits of an organisation at a peer, each request with a prompt of a thousand tokens.
fn claim(organisation: u32, level: u64, requests: u32) -> ClaimRow {
    ClaimRow {
        pool: POOL,
        organisation: OrganisationId(organisation),
        level,
        requests,
        tokens: 1_000 * requests,
    }
}

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

fn wanted(parts: &[PromptPart], patient: bool) -> RequestProfile<'_> {
    RequestProfile {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: 100,
        body_bytes: 10_000,
        patient,
    }
}

fn places(balance: &Balance, count: u32) -> Vec<CandidateLoad> {
    let place = |id| CandidateLoad {
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            prefers_light: false,
        },
        load: balance.load(NOW, TargetId(id)),
    };
    (1..=count).map(place).collect()
}

fn choose(balance: &Balance, wanted: RequestProfile<'_>, count: u32) -> Option<TargetId> {
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
    let ahead = balance.cfg().max_unread_tokens();
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
    let view = |shift: u32| -> Vec<CandidateLoad> {
        let place = |id: u32| CandidateLoad {
            candidate: Candidate {
                target: TargetId(id),
                slots: SLOTS,
                distance: Distance::Near,
                prefers_light: id <= QUIET,
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
    let half = Config::default().prefix_ttl / 2;
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
    let ahead = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
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
    let full = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
    let told = LoadPart {
        is_full: true,
        rows: vec![LoadRow {
            target: TargetId(1),
            unread: full,
            requests: 9,
        }],
        claims: vec![claim(2, 1_000, 1)],
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
    let level = 1_000 + balance.cfg().lead.0 + 1;
    let lowest = |balance: &mut Balance, now| {
        let own = Workload {
            requests: 1,
            tokens: 1,
        };
        balance.compute_turn(now, (POOL, OrganisationId(1)), level, own, 1);
        let due = balance.turn(POOL, OrganisationId(1));
        due.map(|due| due.lowest)
    };
    // What waits at the peer takes all that there is room for.
    assert_eq!(lowest(&mut balance, NOW), None);
    let later = NOW + balance.cfg().stale_after;
    assert_eq!(balance.load(later, TargetId(1)), Load::default());
    assert_eq!(lowest(&mut balance, later), Some(None));
}

#[test]
fn quiet_targets_take_long_prompts_only_while_nearly_idle() {
    let balance = Balance::new(Config::default());
    let busy = Load {
        unread: 10,
        requests: 20,
    };
    let place = |id, prefers_light, load| CandidateLoad {
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            prefers_light,
        },
        load,
    };
    let quiet = [place(1, true, busy)];
    let parts = long(1);
    assert_eq!(
        balance.choose(NOW, wanted(&parts, false), quiet.iter()),
        None
    );
    let light = RequestProfile {
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
        claims: Vec<ClaimRow>,
        after: Duration,
        /// Whether another router learns of router 2 from the named one.
        told: bool,
    }
    let waits = claim(2, 1, 1);
    let cases = [
        Case {
            name: "only the platform's questions",
            requests: 3,
            claims: Vec::new(),
            after: Duration::ZERO,
            told: false,
        },
        Case {
            name: "requests at a target",
            requests: 4,
            claims: Vec::new(),
            after: Duration::ZERO,
            told: true,
        },
        Case {
            name: "requests that wait",
            requests: 0,
            claims: vec![waits],
            after: Duration::ZERO,
            told: true,
        },
        Case {
            name: "silent by now",
            requests: 4,
            claims: Vec::new(),
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
        let part = busy.report(NOW, case.claims, is_named);
        hub.on_part(NOW, RouterId(2), &part.expect("the first report is due"));
        let later = NOW + case.after;
        let part = hub.report(later, Vec::new(), is_named);
        other.on_part(later, NAMED, &part.expect("the first report is due"));
        let known = other.busy_routers(later).contains(&RouterId(2));
        assert_eq!(known, case.told, "{}", case.name);
        // What was only passed on is not passed on again, or it would never be forgotten.
        let part = other.report(later, Vec::new(), is_named);
        let passed_on = part.and_then(|part| part.busy);
        assert_eq!(passed_on, Some(Vec::new()), "{}", case.name);
    }
}

/// The pattern: organisations that had less, as much or more wait at peers, where slots or reading are what binds.
#[test]
fn an_organisation_may_use_its_part_of_what_those_that_had_less_leave() {
    struct Case {
        name: &'static str,
        claims: Vec<ClaimRow>,
        own: u64,
        /// How many requests may go until the next report, and until the third from then.
        goes: [u64; 2],
    }
    /// How many requests the targets take.
    const ROOM: u64 = 10;
    const LEVEL: u64 = 1_000_000_000;
    // With nobody else, all that waits may go.
    const ALL: u64 = 50;
    let cases = [
        Case {
            name: "nobody else waits",
            claims: Vec::new(),
            own: 8,
            goes: [ALL, ALL],
        },
        Case {
            name: "others had more",
            claims: vec![claim(2, 2 * LEVEL, 50)],
            own: 8,
            goes: [ALL, ALL],
        },
        Case {
            name: "it waits at a peer, too, and somebody else",
            claims: vec![claim(1, 0, 8), claim(2, LEVEL, 8)],
            own: 4,
            goes: [2, 6],
        },
        Case {
            name: "it waits at a peer itself",
            claims: vec![claim(1, 0, 50)],
            own: 8,
            goes: [ALL, ALL],
        },
        Case {
            name: "somebody who had less wants little",
            claims: vec![claim(2, 0, 3)],
            own: 8,
            goes: [7, 21],
        },
        Case {
            name: "two who had less want all",
            claims: vec![claim(2, 0, 6), claim(3, 10, 6)],
            own: 8,
            goes: [0, 0],
        },
        Case {
            name: "somebody who had as much wants three times as much",
            claims: vec![claim(2, LEVEL, 24)],
            own: 8,
            goes: [2, 7],
        },
        Case {
            name: "a share is less than a request",
            claims: vec![claim(2, LEVEL, 24)],
            own: 1,
            goes: [0, 1],
        },
        Case {
            name: "somebody who had less has larger requests",
            claims: vec![ClaimRow {
                tokens: 6_000,
                ..claim(2, 0, 2)
            }],
            own: 8,
            goes: [4, 12],
        },
    ];
    for case in cases {
        let mut balance = Balance::new(Config::default());
        let told = LoadPart {
            is_full: true,
            claims: case.claims,
            ..LoadPart::default()
        };
        balance.on_part(NOW, RouterId(2), &told);
        let organisation = OrganisationId(1);
        let own = Workload {
            requests: case.own,
            tokens: 1_000 * case.own,
        };
        let mut gone = 0;
        for (report, goes) in [(1, Some(case.goes[0])), (2, None), (3, Some(case.goes[1]))] {
            balance.invalidate_turns();
            balance.compute_turn(NOW, (POOL, organisation), LEVEL, own, ROOM);
            while gone < ALL && balance.turn(POOL, organisation).is_some() {
                balance.spend_turn(POOL, organisation);
                gone += 1;
            }
            let goes = goes.unwrap_or(gone);
            assert_eq!(gone, goes, "{}, report {report}", case.name);
        }
    }
}

/// The pattern: slots, or reading, are what binds.
#[test]
fn targets_take_as_many_requests_as_they_have_slots_and_read_soon() {
    struct Case {
        name: &'static str,
        load: Load,
        tokens: u64,
        takes: u64,
    }
    let load = |unread, requests| Load { unread, requests };
    let ahead = Config::default().max_unread_tokens();
    let cases = [
        Case {
            name: "calls of plain services have no prompt",
            load: load(0, 28),
            tokens: 0,
            takes: 100,
        },
        Case {
            name: "all slots are taken",
            load: load(0, SLOTS),
            tokens: 1,
            takes: 0,
        },
        Case {
            name: "few slots are left",
            load: load(0, SLOTS - 2),
            tokens: ahead / 10,
            takes: 2,
        },
        Case {
            name: "it reads for a while",
            load: load(ahead / 2, 10),
            tokens: ahead / 10,
            takes: 5,
        },
        Case {
            name: "what is left is less than a request",
            load: load(ahead - 1_000, 10),
            tokens: 1_001,
            takes: 0,
        },
        Case {
            name: "it is idle, and the request is huge",
            load: load(0, 0),
            tokens: 3 * ahead,
            takes: 1,
        },
    ];
    for case in cases {
        let balance = Balance::new(Config::default());
        let mut places = places(&balance, 1);
        places[0].load = case.load;
        let takes = balance.free_capacity(&places, case.tokens, false);
        assert_eq!(takes, case.takes, "{}", case.name);
    }
}
