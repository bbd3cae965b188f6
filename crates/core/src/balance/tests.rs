//! Tests of the load balancer. Each test guards against a failure under one pattern of load.

mod relayed;
mod shares;
mod speed;

use super::message::{ClaimRow, Coverage, Figures, FleetPart, LoadPart, LoadRow};
use super::{
    Balance, Candidate, CandidateLoad, Choice, Config, Load, ReadSpeed, RequestProfile, Size,
    Workload,
};
use crate::limit::Permits;
use crate::prelude::*;
use crate::route::Distance;

const NOW: Time = Time::from_millis(100_000);
const SLOTS: u32 = 128;
const POOL: PoolId = PoolId(1);

/// Returns a peer's claim for an organisation. Each request has a prompt of 1000 tokens.
fn claim(organisation: u32, level: u64, requests: u32) -> ClaimRow {
    ClaimRow {
        pool: POOL,
        organisation: OrganisationId(organisation),
        level,
        requests,
        tokens: 1_000 * requests,
        asked: 0,
        sent: 0,
        unserved: 0,
    }
}

/// Returns the full report of a router with these figures.
fn report_of(figures: Figures) -> LoadPart {
    LoadPart {
        routers: 1,
        figures: Figures {
            is_full: true,
            ..figures
        },
        ..LoadPart::default()
    }
}

fn part(content: u64, tokens: u32) -> PromptPart {
    PromptPart {
        content: Fingerprint(content),
        tokens,
    }
}

/// Returns the parts of a prompt of 11000 tokens, of which other requests may share the first 5000.
fn long_prompt(unshared: u64) -> Vec<PromptPart> {
    vec![part(1, 500), part(2, 4_500), part(unshared, 6_000)]
}

fn profile(parts: &[PromptPart], may_wait: bool) -> RequestProfile<'_> {
    RequestProfile {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output_tokens: 100,
        body_bytes: 10_000,
        may_wait,
        is_short: false,
        size: Size::default(),
        due_tokens: u64::MAX,
    }
}

fn candidates(balance: &Balance, count: u32) -> Vec<CandidateLoad> {
    let candidate = |id| CandidateLoad {
        permits: None,
        speed: ReadSpeed::default(),
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            prefers_light: false,
        },
        load: balance.load(NOW, TargetId(id)),
    };
    (1..=count).map(candidate).collect()
}

fn choose(balance: &Balance, profile: RequestProfile<'_>, count: u32) -> Option<TargetId> {
    let candidates = candidates(balance, count);
    let choice = balance.choose(NOW, profile, candidates.iter());
    choice.map(|choice| choice.target)
}

#[test]
fn a_prompt_goes_where_its_parts_are_until_that_target_is_far_busier() {
    let mut balance = Balance::new(Config::default());
    let first = choose(&balance, profile(&long_prompt(10), false), 4).expect("all are idle");
    balance.on_dispatch(NOW, first, 11_000, &long_prompt(10));
    balance.on_read(first, 11_000);
    for own in 11..20 {
        let next = choose(&balance, profile(&long_prompt(own), false), 4);
        assert_eq!(next, Some(first), "request {own}");
    }
    let unread = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
    balance.on_dispatch(NOW, first, unread, &[]);
    let other = choose(&balance, profile(&long_prompt(20), false), 4);
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
        let chosen = choose(&one, profile(&parts, true), 18);
        assert_eq!(chosen, choose(&two, profile(&others, true), 18));
    }
}

#[test]
fn routers_with_different_loads_agree_on_a_holder_for_heavy_requests() {
    const LIGHT_TARGETS: u32 = 3;
    let view = |shift: u32| -> Vec<CandidateLoad> {
        let candidate = |id: u32| CandidateLoad {
            permits: None,
            speed: ReadSpeed::default(),
            candidate: Candidate {
                target: TargetId(id),
                slots: SLOTS,
                distance: Distance::Near,
                prefers_light: id <= LIGHT_TARGETS,
            },
            load: Load {
                unread: 10 + u64::from(id * shift % 7) * 100,
                requests: 20 + id * shift % 5,
            },
        };
        (1..=18).map(candidate).collect()
    };
    let balance = Balance::new(Config::default());
    for shared in 0..50 {
        let parts = [part(shared, 4_000), part(1_000 + shared, 100)];
        let choose = |shift| {
            let candidates = view(shift);
            let choice = balance.choose(NOW, profile(&parts, true), candidates.iter());
            choice.map(|choice| choice.target)
        };
        let chosen = choose(3);
        assert_eq!(chosen, choose(5), "part {shared}");
        assert!(
            chosen.is_some_and(|target| target.0 > LIGHT_TARGETS),
            "{chosen:?}"
        );
    }
}

#[test]
fn a_part_that_a_peer_sent_elsewhere_is_not_read_a_third_time() {
    let (mut one, mut two) = (
        Balance::new(Config::default()),
        Balance::new(Config::default()),
    );
    let presumed = choose(&two, profile(&long_prompt(10), false), 4).expect("all are idle");
    let other = (1..=4).map(TargetId).find(|&id| id != presumed);
    let other = other.expect("there are four");
    one.on_dispatch(NOW, other, 11_000, &long_prompt(11));
    one.on_read(other, 11_000);
    let report = one
        .report(NOW, Vec::new(), Coverage::Router)
        .expect("the load changed");
    two.on_part(NOW, RouterId(1), &report);
    let candidates = candidates(&two, 4);
    let choice = two.choose(NOW, profile(&long_prompt(12), false), candidates.iter());
    let choice = choice.expect("all have free capacity");
    assert_eq!((choice.target, choice.unread), (other, 6_000));
}

#[test]
fn long_prefixes_are_reported_once_in_half_their_time_to_live() {
    struct Case {
        name: &'static str,
        tokens: u32,
        after: Duration,
        reported: usize,
    }
    let half = Config::default().prefix_ttl / 2;
    let cases = [
        Case {
            name: "short",
            tokens: 200,
            after: Duration::ZERO,
            reported: 0,
        },
        Case {
            name: "long",
            tokens: 4_000,
            after: Duration::ZERO,
            reported: 1,
        },
        Case {
            name: "long, sent again soon",
            tokens: 4_000,
            after: half,
            reported: 1,
        },
        Case {
            name: "long, sent again late",
            tokens: 4_000,
            after: half + Duration::from_millis(1),
            reported: 2,
        },
    ];
    for case in cases {
        let mut balance = Balance::new(Config::default());
        let parts = [part(1, case.tokens), part(2, 100)];
        balance.on_dispatch(NOW, TargetId(1), 0, &parts);
        balance.on_dispatch(NOW + case.after, TargetId(1), 0, &parts);
        let report = balance
            .report(NOW, Vec::new(), Coverage::Router)
            .expect("a target has work");
        assert_eq!(report.figures.held.len(), case.reported, "{}", case.name);
    }
}

#[test]
fn a_request_that_may_wait_waits_for_its_holder_while_others_have_something_to_read() {
    let mut balance = Balance::new(Config::default());
    let holder = choose(&balance, profile(&long_prompt(10), true), 3).expect("all are idle");
    let unread_max = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
    for target in 1..=3 {
        let unread = if TargetId(target) == holder {
            unread_max
        } else {
            100
        };
        balance.on_dispatch(NOW, TargetId(target), unread, &[]);
    }
    assert_eq!(choose(&balance, profile(&long_prompt(11), true), 3), None);
    let due = choose(&balance, profile(&long_prompt(11), false), 3);
    assert!(due.is_some_and(|target| target != holder), "{due:?}");
}

#[test]
fn a_request_of_any_size_fits_a_target_that_has_nothing_to_read() {
    let mut balance = Balance::new(Config::default());
    let huge = [part(1, 60_000)];
    assert_eq!(
        choose(&balance, profile(&huge, false), 1),
        Some(TargetId(1))
    );
    balance.on_dispatch(NOW, TargetId(1), 1, &[]);
    assert_eq!(choose(&balance, profile(&huge, false), 1), None);
}

#[test]
fn loads_and_claims_of_peers_count_until_their_report_is_stale() {
    let mut balance = Balance::new(Config::default());
    let full = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
    let report = report_of(Figures {
        rows: vec![LoadRow {
            target: TargetId(1),
            unread: full,
            requests: 9,
        }],
        claims: vec![claim(2, 1_000, 1)],
        ..Figures::default()
    });
    balance.on_part(NOW, RouterId(2), &report);
    let load = Load {
        unread: u64::from(full),
        requests: 9,
    };
    assert_eq!(balance.load(NOW, TargetId(1)), load);
    assert_eq!(choose(&balance, profile(&long_prompt(1), false), 1), None);
    let level = 1_000 + balance.cfg().lead.0 + 1;
    let lowest = |balance: &mut Balance, now| {
        let own = Workload {
            requests: 1,
            tokens: 1,
        };
        balance.compute_turn(now, (POOL, OrganisationId(1)), level, own, 1);
        let permit = balance.turn(POOL, OrganisationId(1));
        permit.map(|permit| permit.lowest)
    };
    // The requests that wait at the peer take all free capacity.
    assert_eq!(lowest(&mut balance, NOW), None);
    let later = NOW + balance.cfg().stale_after;
    assert_eq!(balance.load(later, TargetId(1)), Load::default());
    assert_eq!(lowest(&mut balance, later), Some(None));
}

#[test]
fn targets_for_light_requests_take_long_prompts_only_while_nearly_idle() {
    let balance = Balance::new(Config::default());
    let busy = Load {
        unread: 10,
        requests: 20,
    };
    let candidate = |id, prefers_light, load| CandidateLoad {
        permits: None,
        speed: ReadSpeed::default(),
        candidate: Candidate {
            target: TargetId(id),
            slots: SLOTS,
            distance: Distance::Near,
            prefers_light,
        },
        load,
    };
    let light_target = [candidate(1, true, busy)];
    let parts = long_prompt(1);
    assert_eq!(
        balance.choose(NOW, profile(&parts, false), light_target.iter()),
        None
    );
    let light = RequestProfile {
        prompt_tokens: 800,
        output_tokens: 300,
        ..profile(&parts, false)
    };
    let both = [
        candidate(1, true, busy),
        candidate(2, false, Load::default()),
    ];
    let choice = balance.choose(NOW, light, both.iter());
    assert_eq!(choice.map(|choice| choice.target), Some(TargetId(1)));
    let idle = [candidate(1, true, Load::default())];
    let choice = balance.choose(NOW, profile(&parts, false), idle.iter());
    assert!(choice.is_some_and(|choice| choice.is_idle));
}

#[test]
fn a_restart_forgets_what_a_target_held() {
    let mut balance = Balance::new(Config::default());
    balance.on_dispatch(NOW, TargetId(1), 11_000, &long_prompt(1));
    balance.on_read(TargetId(1), 11_000);
    let unread = |balance: &Balance| {
        let candidates = candidates(balance, 1);
        let choice = balance.choose(NOW, profile(&long_prompt(2), false), candidates.iter());
        choice.map(|choice| choice.unread)
    };
    assert_eq!(unread(&balance), Some(6_000));
    balance.on_restart(TargetId(1));
    assert_eq!(unread(&balance), Some(11_000));
}

#[test]
fn reports_are_made_after_changes_and_periodically() {
    let mut balance = Balance::new(Config::default());
    balance.on_dispatch(NOW, TargetId(1), 5, &[]);
    let report = balance
        .report(NOW, Vec::new(), Coverage::Router)
        .expect("the load changed");
    assert_eq!(report.figures.rows.len(), 1);
    assert_eq!(balance.report(NOW, Vec::new(), Coverage::Router), None);
    let later = NOW + balance.cfg().stale_after;
    assert!(
        balance
            .report(later, Vec::new(), Coverage::Router)
            .is_some()
    );
    balance.on_end(TargetId(1));
    let report = balance
        .report(later, Vec::new(), Coverage::Router)
        .expect("the load changed");
    let none = LoadRow {
        target: TargetId(1),
        unread: 0,
        requests: 0,
    };
    assert_eq!(report.figures.rows, [none]);
}

#[test]
fn a_peer_that_receives_the_changes_has_the_same_loads() {
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
        if let Some(part) = one.report(now, Vec::new(), Coverage::Router) {
            two.on_part(now, RouterId(1), &part);
        }
        for target in (1..=5).map(TargetId) {
            let (reported, actual) = (two.load(now, target), one.load(now, target));
            assert_eq!(reported, actual, "step {step}, target {target}");
        }
        now = now + every;
    }
    let later = now + two.cfg().stale_after;
    assert_eq!(
        two.report(later, Vec::new(), Coverage::Router)
            .map(|part| part.figures.rows),
        Some(Vec::new())
    );
    let loads = (1..=5).map(|id| two.load(later, TargetId(id)));
    assert!(loads.into_iter().all(|load| load == Load::default()));
}

/// Pattern: organisations that received less, as much or more service wait at peers, while slots or
/// reading limit the capacity.
#[test]
fn an_organisation_may_use_its_part_of_what_those_that_had_less_leave() {
    struct Case {
        name: &'static str,
        claims: Vec<ClaimRow>,
        own: u64,
        /// The total number of dispatched requests after the first period between reports and after
        /// the third.
        dispatched: [u64; 2],
    }
    /// The number of requests that the targets take.
    const CAPACITY: u64 = 10;
    const LEVEL: u64 = 1_000_000_000;
    // If no other organisation waits, all waiting requests may be dispatched.
    const ALL: u64 = 50;
    let cases = [
        Case {
            name: "no other organisation waits",
            claims: Vec::new(),
            own: 8,
            dispatched: [ALL, ALL],
        },
        Case {
            name: "others received more service",
            claims: vec![claim(2, 2 * LEVEL, 50)],
            own: 8,
            dispatched: [ALL, ALL],
        },
        Case {
            name: "the organisation and another one wait at a peer",
            claims: vec![claim(1, 0, 8), claim(2, LEVEL, 8)],
            own: 4,
            dispatched: [2, 6],
        },
        Case {
            name: "only the organisation itself waits at a peer",
            claims: vec![claim(1, 0, 50)],
            own: 8,
            dispatched: [ALL, ALL],
        },
        Case {
            name: "one with less service has few requests",
            claims: vec![claim(2, 0, 3)],
            own: 8,
            dispatched: [7, 21],
        },
        Case {
            name: "two with less service claim all capacity",
            claims: vec![claim(2, 0, 6), claim(3, 10, 6)],
            own: 8,
            dispatched: [0, 0],
        },
        Case {
            name: "one with equal service has three times as many requests",
            claims: vec![claim(2, LEVEL, 24)],
            own: 8,
            dispatched: [2, 7],
        },
        Case {
            name: "the share is less than a request",
            claims: vec![claim(2, LEVEL, 24)],
            own: 1,
            dispatched: [0, 1],
        },
        Case {
            name: "one with less service has larger requests",
            claims: vec![ClaimRow {
                tokens: 6_000,
                ..claim(2, 0, 2)
            }],
            own: 8,
            dispatched: [4, 12],
        },
    ];
    for case in cases {
        let mut balance = Balance::new(Config::default());
        let report = report_of(Figures {
            claims: case.claims,
            ..Figures::default()
        });
        balance.on_part(NOW, RouterId(2), &report);
        let organisation = OrganisationId(1);
        let own = Workload {
            requests: case.own,
            tokens: 1_000 * case.own,
        };
        let mut dispatched = 0;
        let [after_first, after_third] = case.dispatched;
        for (report, expected) in [(1, Some(after_first)), (2, None), (3, Some(after_third))] {
            balance.invalidate_turns();
            balance.compute_turn(NOW, (POOL, organisation), LEVEL, own, CAPACITY);
            while dispatched < ALL && balance.turn(POOL, organisation).is_some() {
                balance.spend_turn(POOL, organisation);
                dispatched += 1;
            }
            let expected = expected.unwrap_or(dispatched);
            assert_eq!(dispatched, expected, "{}, report {report}", case.name);
        }
    }
}

/// Pattern: free slots, or the time to read prompts, limit the capacity.
#[test]
fn targets_take_as_many_requests_as_they_have_slots_and_read_soon() {
    struct Case {
        name: &'static str,
        load: Load,
        tokens: u64,
        takes: u64,
    }
    let load = |unread, requests| Load { unread, requests };
    let unread_max = Config::default().max_unread_tokens();
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
            tokens: unread_max / 10,
            takes: 2,
        },
        Case {
            name: "half of the unread limit is used",
            load: load(unread_max / 2, 10),
            tokens: unread_max / 10,
            takes: 5,
        },
        Case {
            name: "the remaining capacity is less than a request",
            load: load(unread_max - 1_000, 10),
            tokens: 1_001,
            takes: 0,
        },
        Case {
            name: "an idle target, and a huge request",
            load: load(0, 0),
            tokens: 3 * unread_max,
            takes: 1,
        },
    ];
    for case in cases {
        let balance = Balance::new(Config::default());
        let mut candidates = candidates(&balance, 1);
        candidates[0].load = case.load;
        let takes = balance.free_capacity(&candidates, case.tokens, false);
        assert_eq!(takes, case.takes, "{}", case.name);
    }
}

/// Guards against small requests that use up the permits of targets with limits, so that large ones crowd the targets without
/// one.
///
/// Load: a target with a limit and one without, both with prompts to read.
#[test]
fn limits_are_left_to_large_requests() {
    struct Case {
        name: &'static str,
        size: Size,
        /// Whether the permit at the limited target has been unused for a while.
        has_spare: bool,
        /// The load at the target without a limit.
        load: Load,
        chosen: Option<u32>,
    }
    const LIMITED: u32 = 1;
    const UNLIMITED: u32 = 2;
    let busy = Load {
        unread: 3_000,
        requests: 3,
    };
    let full = Load {
        unread: Config::default().max_unread_tokens(),
        requests: 30,
    };
    let cases = [
        Case {
            name: "a small one",
            size: Size::Small,
            has_spare: true,
            load: busy,
            chosen: Some(UNLIMITED),
        },
        Case {
            name: "a small one, others are full, the permit is new",
            size: Size::Small,
            has_spare: false,
            load: full,
            chosen: None,
        },
        Case {
            name: "a small one, others are full, the permit is spare",
            size: Size::Small,
            has_spare: true,
            load: full,
            chosen: Some(LIMITED),
        },
        Case {
            name: "a large one",
            size: Size::Large,
            has_spare: false,
            load: busy,
            chosen: Some(LIMITED),
        },
        Case {
            name: "a large one that may wait",
            size: Size::LargeAwaitingPermit,
            has_spare: false,
            load: busy,
            chosen: Some(LIMITED),
        },
    ];
    let parts = [part(7, 1_000)];
    for case in cases {
        let balance = Balance::new(Config::default());
        let candidate = |target, load, permits| CandidateLoad {
            candidate: Candidate {
                target: TargetId(target),
                slots: SLOTS,
                distance: Distance::Near,
                prefers_light: false,
            },
            load,
            permits,
            speed: ReadSpeed::default(),
        };
        let permits = Permits {
            count: 1,
            of_fleet: 8,
            has_spare: case.has_spare,
        };
        let places = [
            candidate(LIMITED, busy, Some(permits)),
            candidate(UNLIMITED, case.load, None),
        ];
        let wanted = RequestProfile {
            size: case.size,
            ..profile(&parts, false)
        };
        let choice = balance.choose(NOW, wanted, places.iter());
        let chosen = choice.map(|choice| choice.target.0);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
