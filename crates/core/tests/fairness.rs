//! Tests of fairness, work conservation and waiting times of a fleet in virtual time.

mod fixture;

use bulrushtrestle_core::catalogue::entry::Entry;
use bulrushtrestle_core::catalogue::entry::{Limits, Organisation};
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;

use self::fixture::{Bound, Load, Setup, Tokens, setup_with, sources_at};

const ROUTERS: u32 = 8;
const TARGETS: u32 = 20;
/// The slots of all targets.
const SLOTS: u32 = TARGETS * 8;
/// The largest allowed 95th percentile of the waits of interactive requests. It follows from the users' bound on the time to
/// the first token.
const WAIT_P95_MAX: Duration = Duration::from_millis(610);
/// The least share of the usable slots that is busy while requests wait.
const UTILISATION_MIN: f64 = 0.95;

/// An event while the gap in service is measured.
#[derive(Clone, Copy)]
enum Event {
    Nothing,
    /// A router is restarted with empty state.
    Restart,
    /// Three routers are cut off and reconnected before the gap is measured.
    Rejoin,
    /// The first organisation alternates between sending and not sending every five seconds.
    OnOff,
    /// Half of the messages between routers are delivered twice.
    Duplicates,
}

struct Case {
    name: &'static str,
    organisations: u32,
    /// The weight of an organisation, by its index.
    weight: fn(usize) -> u32,
    /// Whether an organisation (its index) sends requests to a router.
    at: fn(usize, u32) -> bool,
    /// The tokens of an organisation's requests, by its index.
    tokens: fn(usize) -> Tokens,
    /// The number of tokens that each request states in advance.
    hint: Option<u32>,
    event: Event,
}

const fn unit_weight(_: usize) -> u32 {
    1
}

const fn everywhere(_: usize, _: u32) -> bool {
    true
}

/// Places the first eight organisations on one router each and the others on all routers.
const fn uneven(organisation: usize, router: u32) -> bool {
    organisation >= 8 || router as usize == organisation % 8 + 1
}

const fn typical_tokens(_: usize) -> Tokens {
    Tokens::Between(50, 350)
}

const BASE: Case = Case {
    name: "even spread",
    organisations: 16,
    weight: unit_weight,
    at: everywhere,
    tokens: typical_tokens,
    hint: None,
    event: Event::Nothing,
};

fn cases() -> Vec<Case> {
    vec![
        BASE,
        Case {
            name: "one router beside all",
            at: uneven,
            ..BASE
        },
        Case {
            name: "one organisation on one router beside one on all",
            organisations: 2,
            at: |organisation, router| organisation == 1 || router == 1,
            ..BASE
        },
        Case {
            name: "costs of one organisation ten times as high",
            at: uneven,
            tokens: |organisation| match organisation {
                3 => Tokens::Between(1_000, 2_000),
                _ => Tokens::Between(50, 200),
            },
            ..BASE
        },
        Case {
            name: "hints wrong ten times",
            at: uneven,
            hint: Some(20),
            ..BASE
        },
        Case {
            name: "unequal weights",
            at: uneven,
            weight: |organisation| 1 + organisation as u32 % 4,
            ..BASE
        },
        Case {
            name: "a router restarts empty",
            at: uneven,
            event: Event::Restart,
            ..BASE
        },
        Case {
            name: "a partition and its end",
            at: uneven,
            event: Event::Rejoin,
            ..BASE
        },
        Case {
            name: "one is idle and back again and again",
            event: Event::OnOff,
            ..BASE
        },
        Case {
            name: "messages arrive twice",
            at: uneven,
            event: Event::Duplicates,
            ..BASE
        },
    ]
}

/// Starts a fleet with the organisations and sources of a case.
fn start(case: &Case, policy: Policy) -> Load {
    let mut setup = setup_with(ROUTERS, TARGETS, case.organisations, 1, |cfg| {
        cfg.slots.policy = policy;
    });
    for index in 0..case.organisations as usize {
        set_weight(&mut setup, index, (case.weight)(index));
    }
    setup.fleet.run(Duration::from_secs(1));
    let mut sources = sources_at(&setup, ROUTERS, 40, Tokens::Fixed(1), case.at);
    for source in &mut sources {
        let of = |id: &OrganisationId| *id == source.organisation;
        let index = setup.organisations.iter().position(of).unwrap_or(0);
        source.tokens = (case.tokens)(index);
        source.hint = case.hint;
        if case.organisations == 2 {
            source.open = 150;
        }
    }
    let organisations = setup.organisations.clone();
    let mut load = Load::new(setup, sources);
    for (index, organisation) in organisations.into_iter().enumerate() {
        load.weights.insert(organisation, (case.weight)(index));
    }
    load
}

/// Replaces an organisation's entry by one with another weight. The identity of the organisation is the offset at which it
/// was created.
fn set_weight(setup: &mut Setup, index: usize, weight: u32) {
    let entry = Entry::Organisation(Organisation {
        name: format!("o{index}"),
        owner: "somebody".to_owned(),
        class: Class::Interactive,
        weight,
        limits: Limits::default(),
        tokens_sha256: Vec::new(),
    });
    let created = Offset(u64::from(setup.organisations[index].0));
    setup.fleet.publish(entry, Some(created));
}

/// Runs a case and returns the tokens that the bound has to allow in addition.
fn run_case(case: &Case, load: &mut Load) -> f64 {
    let group: Vec<RouterId> = (6..=8).map(RouterId).collect();
    load.run(Duration::from_secs(20));
    match case.event {
        Event::Nothing => {}
        Event::Duplicates => load.fleet().duplicate = 0.5,
        Event::Restart | Event::OnOff => {}
        Event::Rejoin => {
            load.fleet().partition(&group);
            load.run(Duration::from_secs(30));
            load.fleet().partition(&[]);
            load.run(Duration::from_secs(5));
        }
    }
    load.start_measuring();
    for round in 0..10 {
        if matches!(case.event, Event::OnOff) {
            let first = load.setup.organisations[0];
            let mut sources = load.sources.iter_mut();
            sources
                .by_ref()
                .filter(|source| source.organisation == first)
                .for_each(|source| source.active = round % 2 == 0);
        }
        if matches!(case.event, Event::Restart) && round == 4 {
            load.fleet().kill(RouterId(3));
            load.drop_requests_at(RouterId(3));
            load.fleet().restart(RouterId(3));
        }
        load.run(Duration::from_secs(5));
    }
    match case.event {
        Event::Rejoin => load.setup.fleet.hosts[&RouterId(1)].cfg.share.catch_up.0 as f64 / 1e3,
        _ => 0.0,
    }
}

/// Returns the bound on the gap between two organisations of the least weight.
fn bound(case: &Case) -> f64 {
    let weights: Vec<u32> = (0..case.organisations as usize).map(case.weight).collect();
    let max_cost = (0..case.organisations as usize).map(|index| match (case.tokens)(index) {
        Tokens::Fixed(tokens) | Tokens::Between(_, tokens) => tokens,
    });
    let sum = weights.iter().sum();
    let bound = Bound::new(SLOTS, sum, ROUTERS, max_cost.max().unwrap_or(0));
    let least = weights.iter().copied().min().unwrap_or(1);
    bound.tokens(least, least)
}

#[test]
fn the_gap_stays_within_the_bound() {
    let cases = cases();
    let half = cases.len() / 2;
    std::thread::scope(|scope| {
        scope.spawn(|| check_gap(&cases[..half]));
        scope.spawn(|| check_gap(&cases[half..]));
    });
}

fn check_gap(cases: &[Case]) {
    for case in cases {
        let mut load = start(case, Policy::Leased);
        let extra = run_case(case, &mut load);
        let bound = bound(case) + extra;
        let (max_gap, pair) = load.max_gap;
        println!("{}: {max_gap:.0} of {bound:.0}", case.name);
        assert!(
            max_gap <= bound,
            "{}: {max_gap} over {bound}, {pair:?}",
            case.name
        );
        let busy = load.utilisation();
        println!("{}: {:.4} busy", case.name, busy);
        assert!(
            busy >= UTILISATION_MIN,
            "{}: {busy} of the slots are busy",
            case.name
        );
        assert_eq!(load.fleet().overload(), 0, "{}", case.name);
    }
}

#[test]
fn an_organisation_that_comes_back_banks_nothing() {
    let case = Case {
        event: Event::OnOff,
        ..BASE
    };
    let mut load = start(&case, Policy::Leased);
    run_case(&case, &mut load);
    let organisations = load.setup.organisations.clone();
    let others = organisations[1..].iter().map(|&id| load.service(id));
    let most = others.fold(0.0, f64::max);
    assert!(load.service(organisations[0]) <= most);
}

/// Checks that the bound detects an unfair policy. With a fixed split, an organisation on one router
/// shares that router's part of the slots, however many others do, so the gap grows without limit.
#[test]
fn a_fixed_split_passes_the_bound() {
    let case = Case {
        name: "fixed split",
        at: uneven,
        ..BASE
    };
    let mut load = start(&case, Policy::FixedSplit);
    run_case(&case, &mut load);
    load.run(Duration::from_secs(120));
    let (max_gap, _) = load.max_gap;
    assert!(max_gap > bound(&case), "{max_gap}");
}

/// The number of open requests at each flooded router, and the test for flooded routers.
type Flood = (usize, fn(u32) -> bool);

/// The load of the other organisations while one organisation sends one short request at a time.
struct WaitCase {
    name: &'static str,
    class: Class,
    /// The tokens of the other organisations' requests.
    tokens: Tokens,
    /// The flood from one of the other organisations, if there is one.
    flood: Option<Flood>,
}

#[test]
fn a_short_request_does_not_wait_for_others() {
    let typical_tokens = Tokens::Between(50, 350);
    let cases = [
        WaitCase {
            name: "a small one beside fifteen large ones",
            class: Class::Interactive,
            tokens: typical_tokens,
            flood: None,
        },
        WaitCase {
            name: "a question behind long drafts",
            class: Class::Batch,
            tokens: Tokens::Between(1_000, 2_000),
            flood: None,
        },
        WaitCase {
            name: "a flood at one router",
            class: Class::Interactive,
            tokens: typical_tokens,
            flood: Some((300, |router| router == 1)),
        },
        WaitCase {
            name: "a flood at all routers",
            class: Class::Interactive,
            tokens: typical_tokens,
            flood: Some((220, |_| true)),
        },
    ];
    for case in cases {
        let setup = setup_with(ROUTERS, TARGETS, 16, 1, |_| {});
        let (small, floods) = (setup.organisations[0], setup.organisations[1]);
        let mut sources = sources_at(&setup, ROUTERS, 30, case.tokens, |index, router| {
            index > 0 || router == 1
        });
        for source in &mut sources {
            source.class = Some(case.class);
            if source.organisation == small {
                source.open = 1;
                source.class = Some(Class::Interactive);
                source.tokens = Tokens::Between(10, 30);
            }
            if let Some((open, at)) = case.flood
                && source.organisation == floods
            {
                source.open = if at(source.router.0) { open } else { 0 };
            }
        }
        let mut load = Load::new(setup, sources);
        load.run(Duration::from_secs(15));
        load.start_measuring();
        load.run(Duration::from_secs(30));
        let wait = load.wait(small, 0.95);
        let count = load.waits[&small].len();
        println!("{}: {wait:?} of {WAIT_P95_MAX:?}, {count} waits", case.name);
        assert!(wait <= WAIT_P95_MAX, "{}: {wait:?}", case.name);
        assert!(count >= 15, "{}: {count} requests", case.name);
        assert_eq!(load.fleet().overload(), 0, "{}", case.name);
        let large = load.setup.organisations[2..].to_vec();
        let services = large.iter().map(|&id| load.service(id));
        let most = services.fold(0.0, f64::max);
        let (Tokens::Fixed(max_cost) | Tokens::Between(_, max_cost)) = case.tokens;
        let allowed = Bound::new(SLOTS, 16, ROUTERS, max_cost).tokens(1, 1);
        assert!(
            load.service(floods) <= most + allowed,
            "{}: the flood gains",
            case.name
        );
    }
}
