//! Limits that targets name in their answers, in requests a second from the entire fleet: no target gets more, whichever
//! routers are called, restarted, cut off or frozen, and targets get what they take.

mod hosting;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::Kind;
use bulrushtrestle_core::input::{Input, StoreEvent, TargetState};
use bulrushtrestle_core::prelude::*;

use self::hosting::{Fleet, id};

/// The window in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after a target first named its limit the users begin to count.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// How long after the first answer that names another limit routers may still go by the one before.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// The part of its limit that a target gets at least while more is asked.
const USED: f64 = 0.75;
/// The time after an answer that names another limit, or none, within which the target is used accordingly.
const USED_WITHIN: Duration = Duration::from_secs(2);
/// When targets begin to name limits, in milliseconds after the load begins.
const NAMED_AT_MS: u64 = 1_000;

/// Which routers are called.
#[derive(Debug, Clone, Copy)]
enum Demand {
    /// All, in turn.
    Even,
    /// The first.
    One,
    /// The first, and from so many milliseconds on the last.
    Moving(u64),
    /// One after the other, each for so many milliseconds.
    InTurn(u64),
}

/// A change of the fleet or of its targets, at so many milliseconds after the load begins.
type Event = (u64, fn(&mut Fleet));

struct Case<'a> {
    name: &'static str,
    routers: usize,
    /// The targets `t1`, `t2` and so on, and how many of them name limits.
    targets: (u32, u32),
    /// The limit of a target, in thousandths of a request a second.
    millis: u64,
    demand: Demand,
    /// The requests in a second.
    per_s: u64,
    /// The time between bursts of requests, in milliseconds.
    burst_ms: u64,
    /// The prompt of each request.
    prompt: Prompt,
    /// Whether requests may run again when a target fails.
    repeat: Repeat,
    events: &'a [Event],
    /// How long the load lasts, in milliseconds.
    lasts: u64,
}

/// The size of a prompt.
#[derive(Debug, Clone, Copy)]
enum Prompt {
    /// A target reads it in 2 ms.
    Short,
    /// A target reads it in 150 ms.
    Long,
}

/// Most targets of a pool name limits, and a small fleet is asked for five times what these take.
const CASE: Case<'_> = Case {
    name: "",
    routers: 8,
    targets: (18, 13),
    millis: 7_000,
    demand: Demand::Even,
    per_s: 600,
    burst_ms: 1,
    prompt: Prompt::Short,
    repeat: Repeat::Unkeyed,
    events: &[],
    lasts: 13_000,
};

fn target(number: u32) -> TargetId {
    TargetId(id(Kind::Target, &format!("t{number}")))
}

/// Lets the first targets name a limit from now on.
fn name_limits(fleet: &mut Fleet, targets: u32, millis: u64) {
    let named = (1..=targets).map(|number| (target(number), millis));
    fleet.limits.extend(named);
}

/// Offers the load of a case to a fleet, with its events.
fn play(case: &Case<'_>) -> Fleet {
    let data_centres = match case.routers {
        0..=16 => 1,
        _ => 5,
    };
    let capacities = vec![500; case.routers];
    let mut fleet = Fleet::placed(&capacities, data_centres, (case.targets.0, 128), 0);
    let mut turn = 0;
    for ms in 0..case.lasts {
        if ms == NAMED_AT_MS {
            name_limits(&mut fleet, case.targets.1, case.millis);
        }
        for (_, event) in case.events.iter().filter(|(at, _)| *at == ms) {
            event(&mut fleet);
        }
        let asked = |ms| ms / case.burst_ms * case.burst_ms * case.per_s / 1_000;
        let due = asked(ms + 1) - asked(ms);
        for _ in 0..due {
            submit(&mut fleet, case, ms, turn);
            turn += 1;
        }
        fleet.step();
    }
    fleet
}

/// Submits a request to the router whose turn it is, or to the next one that lives.
fn submit(fleet: &mut Fleet, case: &Case<'_>, ms: u64, turn: usize) {
    let routers = fleet.nodes.len();
    let first = match case.demand {
        Demand::Even => turn,
        Demand::Moving(at_ms) if ms >= at_ms => routers - 1,
        Demand::One | Demand::Moving(_) => 0,
        Demand::InTurn(each_ms) => (ms / each_ms) as usize,
    };
    let mut ranked = (first..first + routers).map(|at| at % routers);
    let Some(at) = ranked.find(|at| !fleet.dead.contains(at)) else {
        return;
    };
    let organisation = ["one", "many", "small"][turn % 3];
    match case.prompt {
        Prompt::Short => fleet.submit_prompt(at, organisation, &[], case.repeat),
        Prompt::Long => fleet.submit(at, organisation),
    };
}

/// The requests that a target got in a window.
#[derive(Debug)]
#[expect(dead_code, reason = "shown if a test fails")]
struct Excess {
    case: &'static str,
    target: TargetId,
    /// When the window begins, after the target first named a limit.
    after: Duration,
    got: usize,
    allowed: f64,
}

/// Returns the windows with the largest excess, one for each target that got more than it takes.
fn excesses(case: &'static str, fleet: &Fleet) -> Vec<Excess> {
    let mut targets: Vec<TargetId> = fleet.heads.iter().map(|head| head.target).collect();
    targets.sort_unstable();
    targets.dedup();
    let worst = targets.into_iter().filter_map(|target| {
        let spans = spans(fleet, target).into_iter();
        let over = spans.flat_map(|span| excesses_in(case, fleet, target, span));
        over.max_by(|one, other| {
            let by = |it: &Excess| it.got as f64 - it.allowed;
            by(one).total_cmp(&by(other))
        })
    });
    worst.collect()
}

/// Returns the windows in a span of time in which a target gets more than it takes.
fn excesses_in(
    case: &'static str,
    fleet: &Fleet,
    target: TargetId,
    (named, until): (Time, Time),
) -> Vec<Excess> {
    let sent = fleet
        .dispatched
        .iter()
        .filter(|(_, _, to, _)| *to == target);
    let sent: Vec<Time> = sent.map(|(at, ..)| *at).collect();
    let starts = sent
        .iter()
        .filter(|&&at| at >= named + SETTLED_AFTER && at + WINDOW <= until);
    let heard = heard(fleet, target);
    let windows = starts.map(|&from| {
        let inside = sent.iter().filter(|&&at| at >= from && at < from + WINDOW);
        Excess {
            case,
            target,
            after: from.since(named),
            got: inside.count(),
            allowed: allowed(&heard, from),
        }
    });
    windows.filter(|it| it.got as f64 > it.allowed).collect()
}

/// Returns the spans of time in which a target names a limit, each from the first answer that names it. A target that
/// crashes has named none afterwards.
fn spans(fleet: &Fleet, target: TargetId) -> Vec<(Time, Time)> {
    let lifted = fleet.limit_changes.iter();
    let lifted = lifted.filter(|(_, limits)| !limits.contains_key(&target));
    let crashed = fleet.crashes.iter().filter(|(_, it)| *it == target);
    let mut ends: Vec<Time> = lifted.map(|(at, _)| *at).collect();
    ends.extend(crashed.map(|(at, _)| *at));
    ends.push(fleet.now);
    ends.sort_unstable();
    let mut spans = Vec::new();
    let mut since = Time::default();
    for end in ends {
        let mut heads = fleet.heads.iter().filter(|head| head.target == target);
        let named = heads.find(|head| {
            let is_meant = limit_at(fleet, target, head.arrives).is_some();
            head.limit.is_some() && is_meant && head.arrives >= since
        });
        if let Some(named) = named.filter(|head| head.arrives < end) {
            spans.push((named.arrives, end));
        }
        since = end;
    }
    spans
}

/// Returns the limit that a target names at a time.
fn limit_at(fleet: &Fleet, target: TargetId, at: Time) -> Option<u64> {
    let mut changes = fleet.limit_changes.iter().rev();
    let (_, limits) = changes.find(|(since, _)| *since <= at)?;
    limits.get(&target).copied()
}

/// Returns the limits of a target that routers have heard of, each from the first answer that names it. What an answer
/// names that was made before does not count.
fn heard(fleet: &Fleet, target: TargetId) -> Vec<(Time, u64)> {
    let heads = fleet.heads.iter().filter(|head| head.target == target);
    let current = heads.filter(|head| head.limit == limit_at(fleet, target, head.arrives));
    let named = current.filter_map(|head| Some((head.arrives, head.limit?)));
    let mut heard: Vec<(Time, u64)> = named.collect();
    heard.dedup_by_key(|(_, millis)| *millis);
    heard
}

/// Returns how many requests a target may get in the window that begins at a time, by the limits that routers have heard
/// of: one and a half times what it takes, and five. After a change, the higher limit counts for [`HEARD_WITHIN`].
fn allowed(heard: &[(Time, u64)], from: Time) -> f64 {
    let millis = u64::try_from(WINDOW.as_millis()).expect("short");
    let takes = (0..millis).map(|ms| {
        let at = from + Duration::from_millis(ms);
        let mut past = heard.iter().rev().filter(|(since, _)| *since <= at);
        let before = past
            .clone()
            .find(|(since, _)| at.since(*since) >= HEARD_WITHIN);
        let since = before.map_or(Time::default(), |(since, _)| *since);
        let recent = past.by_ref().filter(|(at, _)| *at >= since);
        recent.map(|(_, millis)| *millis).max().unwrap_or_default()
    });
    1.5 * takes.sum::<u64>() as f64 / 1e6 + 5.0
}

/// Returns how many requests a target got from a time on, for so long.
fn got(fleet: &Fleet, target: TargetId, from: Time, time: Duration) -> usize {
    let sent = fleet.dispatched.iter();
    sent.filter(|(at, _, to, _)| *to == target && *at >= from && *at < from + time)
        .count()
}

/// Plays cases and fails if a target gets more than it takes in one of them.
fn assert_limits_hold(cases: impl IntoIterator<Item = Case<'static>>) {
    let mut over = Vec::new();
    for case in cases {
        let fleet = play(&case);
        let named = fleet.heads.iter().filter(|head| head.limit.is_some());
        assert!(named.count() > 0, "{}: no limit was named", case.name);
        over.extend(excesses(case.name, &fleet));
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// Guards against a target that gets a multiple of the limit which it names, because each router counts its own requests.
#[test]
fn a_target_gets_no_more_than_its_limit_whichever_routers_are_called() {
    let cases = [
        Case {
            name: "8 routers alike",
            ..CASE
        },
        Case {
            name: "one of 8 routers",
            demand: Demand::One,
            ..CASE
        },
        Case {
            name: "callers of 8 routers move",
            demand: Demand::Moving(7_000),
            ..CASE
        },
        Case {
            name: "15 routers alike, the most without relays",
            routers: 15,
            ..CASE
        },
        Case {
            name: "40 routers alike",
            routers: 40,
            ..CASE
        },
        Case {
            name: "one of 40 routers",
            routers: 40,
            demand: Demand::One,
            ..CASE
        },
        Case {
            name: "callers of 40 routers move",
            routers: 40,
            demand: Demand::Moving(7_000),
            ..CASE
        },
        Case {
            name: "120 routers alike",
            routers: 120,
            ..CASE
        },
        Case {
            name: "callers of 120 routers move",
            routers: 120,
            demand: Demand::Moving(7_000),
            ..CASE
        },
    ];
    assert_limits_hold(cases);
}

/// Guards against routers that save up what they did not use and send it together.
#[test]
fn limits_hold_when_requests_come_in_bursts() {
    let cases = [
        Case {
            name: "all routers at once",
            burst_ms: 2_000,
            ..CASE
        },
        Case {
            name: "all routers at once, seldom",
            burst_ms: 4_500,
            lasts: 20_000,
            ..CASE
        },
        Case {
            name: "one router after the other, at once",
            burst_ms: 500,
            demand: Demand::InTurn(500),
            ..CASE
        },
        Case {
            name: "one router after the other, for a while",
            demand: Demand::InTurn(700),
            ..CASE
        },
        Case {
            name: "one of 40 routers after the other",
            routers: 40,
            demand: Demand::InTurn(200),
            ..CASE
        },
        Case {
            name: "few targets, one router after the other",
            targets: (2, 2),
            burst_ms: 250,
            demand: Demand::InTurn(250),
            ..CASE
        },
    ];
    assert_limits_hold(cases);
}

/// A request that runs again at another target counts there as well.
#[test]
fn limits_hold_for_requests_that_are_sent_again() {
    fn fail_often(fleet: &mut Fleet) {
        fleet.runs_max = 3;
        let failing = (1..=18).map(|number| (target(number), 4));
        fleet.failures_per_ten.extend(failing);
    }
    let cases = [Demand::Even, Demand::One].map(|demand| Case {
        name: "four of ten fail",
        demand,
        repeat: Repeat::Allowed,
        events: &[(0, fail_often)],
        ..CASE
    });
    assert_limits_hold(cases);
}

#[test]
fn limits_of_every_size_hold() {
    let limits = [
        ("0", 0),
        ("0.5", 500),
        ("1", 1_000),
        ("5.3", 5_300),
        ("7", 7_000),
        ("40", 40_000),
    ];
    let cases = limits.into_iter().flat_map(|(name, millis)| {
        [Demand::Even, Demand::One, Demand::Moving(7_000)].map(|demand| Case {
            name,
            targets: (4, 4),
            millis,
            demand,
            ..CASE
        })
    });
    assert_limits_hold(cases);
}

/// Guards against routers that go on by a limit which the target has lowered.
#[test]
fn a_limit_that_changes_holds() {
    const BOTH_WAYS: Case<'_> = Case {
        targets: (4, 4),
        lasts: 16_000,
        ..CASE
    };
    let cases = [
        Case {
            name: "lowered from 40 to 5",
            millis: 40_000,
            events: &[(6_000, |fleet| name_limits(fleet, 4, 5_000))],
            ..BOTH_WAYS
        },
        Case {
            name: "lowered from 7 to 1",
            events: &[(6_000, |fleet| name_limits(fleet, 4, 1_000))],
            ..BOTH_WAYS
        },
        Case {
            name: "lowered from 7 to 1, one router is called",
            demand: Demand::One,
            events: &[(6_000, |fleet| name_limits(fleet, 4, 1_000))],
            ..BOTH_WAYS
        },
        Case {
            name: "lowered from 7 to 1 as callers move",
            demand: Demand::Moving(6_000),
            events: &[(6_000, |fleet| name_limits(fleet, 4, 1_000))],
            ..BOTH_WAYS
        },
        Case {
            name: "lowered from 7 to 0",
            events: &[(6_000, |fleet| name_limits(fleet, 4, 0))],
            ..BOTH_WAYS
        },
        Case {
            name: "raised from 1 to 7",
            millis: 1_000,
            events: &[(6_000, |fleet| name_limits(fleet, 4, 7_000))],
            ..BOTH_WAYS
        },
        Case {
            name: "raised and lowered",
            millis: 1_000,
            events: &[
                (5_000, |fleet| name_limits(fleet, 4, 40_000)),
                (8_000, |fleet| name_limits(fleet, 4, 2_000)),
            ],
            ..BOTH_WAYS
        },
        Case {
            name: "lifted and named again",
            events: &[
                (5_000, |fleet| fleet.limits.clear()),
                (7_000, |fleet| name_limits(fleet, 4, 3_000)),
            ],
            ..BOTH_WAYS
        },
        Case {
            name: "lowered in 40 routers",
            routers: 40,
            targets: (18, 13),
            events: &[(6_000, |fleet| name_limits(fleet, 13, 1_000))],
            ..BOTH_WAYS
        },
    ];
    assert_limits_hold(cases);
}

/// Guards against routers that believe an answer which was on its way since before the target lowered its limit.
#[test]
fn an_answer_that_comes_late_does_not_bring_an_older_limit_back() {
    let cases = [
        Case {
            name: "one router hears late",
            targets: (4, 4),
            millis: 40_000,
            events: &[
                (3_000, |fleet| {
                    fleet.head_delays.insert(3, Duration::from_millis(1_500));
                }),
                (6_000, |fleet| name_limits(fleet, 4, 5_000)),
            ],
            lasts: 14_000,
            ..CASE
        },
        Case {
            name: "one router hears nothing until the others have heard the new limit",
            targets: (4, 4),
            millis: 40_000,
            events: &[
                (5_900, |fleet| {
                    fleet.head_delays.insert(3, Duration::from_millis(2_500));
                }),
                (6_000, |fleet| {
                    name_limits(fleet, 4, 5_000);
                    fleet.head_delays.clear();
                }),
            ],
            lasts: 14_000,
            ..CASE
        },
    ];
    assert_limits_hold(cases);
}

/// Guards against a fleet whose routers exceed a limit together while some of them do not hear one another.
#[test]
fn limits_hold_whatever_happens_to_routers() {
    let cases = [
        Case {
            name: "a router restarts",
            events: &[(6_000, |fleet| fleet.restart([0]))],
            ..CASE
        },
        Case {
            name: "the only router that is called restarts twice",
            demand: Demand::One,
            events: &[
                (6_000, |fleet| fleet.restart([0])),
                (7_500, |fleet| fleet.restart([0])),
            ],
            ..CASE
        },
        Case {
            name: "all routers restart",
            events: &[(6_000, |fleet| fleet.restart(0..8))],
            ..CASE
        },
        Case {
            name: "a router is killed for good",
            events: &[(6_000, |fleet| {
                fleet.dead.insert(0);
            })],
            ..CASE
        },
        Case {
            name: "the only router that is called is killed for good",
            demand: Demand::One,
            events: &[(6_000, |fleet| {
                fleet.dead.insert(0);
            })],
            ..CASE
        },
        Case {
            name: "a router is cut off",
            events: &[(6_000, |fleet| fleet.cut(0))],
            ..CASE
        },
        Case {
            name: "the only router that is called is cut off for a while",
            demand: Demand::One,
            events: &[
                (6_000, |fleet| fleet.cut(0)),
                (10_000, |fleet| fleet.severed.clear()),
            ],
            lasts: 15_000,
            ..CASE
        },
        Case {
            name: "callers move to a router that is cut off",
            demand: Demand::Moving(6_500),
            events: &[(6_000, |fleet| fleet.cut(7))],
            ..CASE
        },
        Case {
            name: "others do not hear a router",
            events: &[(6_000, |fleet| {
                fleet.mute.insert(0);
            })],
            ..CASE
        },
        Case {
            name: "the fleet falls in two halves",
            events: &[
                (6_000, |fleet| {
                    for (one, other) in (0..4).flat_map(|one| (4..8).map(move |it| (one, it))) {
                        fleet.severed.extend([(one, other), (other, one)]);
                    }
                }),
                (11_000, |fleet| fleet.severed.clear()),
            ],
            lasts: 16_000,
            ..CASE
        },
        Case {
            name: "no router hears another",
            events: &[(6_000, |fleet| fleet.mute.extend(0..8))],
            ..CASE
        },
        Case {
            name: "no router hears another from before the limit is named",
            events: &[(500, |fleet| fleet.mute.extend(0..8))],
            ..CASE
        },
        Case {
            name: "a router freezes and wakes",
            events: &[
                (6_000, |fleet| fleet.freeze(0)),
                (9_000, |fleet| fleet.wake(0)),
            ],
            lasts: 15_000,
            ..CASE
        },
        Case {
            name: "the only router that is called freezes and wakes",
            demand: Demand::One,
            events: &[
                (6_000, |fleet| fleet.freeze(0)),
                (9_000, |fleet| fleet.wake(0)),
            ],
            lasts: 15_000,
            ..CASE
        },
        Case {
            name: "a router joins",
            events: &[(6_000, |fleet| fleet.join(500))],
            ..CASE
        },
        Case {
            name: "callers move to a router that has just joined",
            demand: Demand::Moving(6_100),
            events: &[(6_000, |fleet| fleet.join(500))],
            ..CASE
        },
        Case {
            name: "the store is away",
            events: &[(6_000, |fleet| fleet.store_blocked.extend(0..8))],
            ..CASE
        },
        Case {
            name: "frames of 40 routers are slow",
            routers: 40,
            events: &[(6_000, |fleet| {
                let slow = (0..40).map(|at| (at, Duration::from_millis(300)));
                fleet.delays.extend(slow);
            })],
            ..CASE
        },
        Case {
            name: "the relays of 40 routers are killed",
            routers: 40,
            events: &[(6_000, kill_relays)],
            ..CASE
        },
        Case {
            name: "the relays of 40 routers are cut off",
            routers: 40,
            events: &[(6_000, |fleet| {
                for at in relays(fleet) {
                    fleet.cut(at);
                }
            })],
            ..CASE
        },
        Case {
            name: "the relays of 40 routers freeze and wake",
            routers: 40,
            events: &[
                (6_000, |fleet| {
                    for at in relays(fleet) {
                        fleet.freeze(at);
                    }
                }),
                (8_000, |fleet| {
                    for at in 0..40 {
                        fleet.wake(at);
                    }
                }),
            ],
            lasts: 14_000,
            ..CASE
        },
    ];
    assert_limits_hold(cases);
}

fn relays(fleet: &Fleet) -> Vec<usize> {
    let all = 0..fleet.nodes.len();
    all.filter(|&at| fleet.nodes[at].feed().is_source(fleet.now))
        .collect()
}

fn kill_relays(fleet: &mut Fleet) {
    fleet.dead.extend(relays(fleet));
}

/// A target that crashes names the same limit in its next run.
#[test]
fn a_limit_holds_when_the_target_restarts() {
    fn crash(fleet: &mut Fleet) {
        fleet.crash(target(1), None);
    }
    fn publish(fleet: &mut Fleet) {
        let state = TargetState {
            target: target(1),
            leaving: false,
            cold_for: Duration::ZERO,
            started_ms: Some(fleet.now.as_millis()),
            sequence: 1,
        };
        for at in 0..fleet.nodes.len() {
            fleet.input(at, Input::Store(StoreEvent::Targets(vec![state])));
        }
    }
    const TWO: Case<'_> = Case {
        targets: (2, 2),
        lasts: 18_000,
        ..CASE
    };
    let cases = [
        Case {
            name: "without a word to the store",
            events: &[(6_000, crash)],
            ..TWO
        },
        Case {
            name: "it publishes the new run",
            events: &[(500, publish), (6_000, crash), (9_200, publish)],
            ..TWO
        },
        Case {
            name: "one router is called",
            demand: Demand::One,
            events: &[(500, publish), (6_000, crash), (9_200, publish)],
            ..TWO
        },
    ];
    assert_limits_hold(cases);
}

/// Guards against limits that waste what targets take.
///
/// Load: all targets of a pool name limits, and twice their sum is asked for.
#[test]
fn targets_get_most_of_what_they_take_while_more_is_asked() {
    const ALL: Case<'_> = Case {
        targets: (13, 13),
        per_s: 182,
        lasts: 14_000,
        ..CASE
    };
    let cases = [
        Case {
            name: "8 routers alike",
            ..ALL
        },
        Case {
            name: "one of 8 routers",
            demand: Demand::One,
            ..ALL
        },
        Case {
            name: "40 routers alike",
            routers: 40,
            ..ALL
        },
        Case {
            name: "one of 40 routers",
            routers: 40,
            demand: Demand::One,
            ..ALL
        },
    ];
    let time = Duration::from_secs(8);
    let mut unused = Vec::new();
    for case in cases {
        let fleet = play(&case);
        for number in 1..=case.targets.1 {
            let got = got(&fleet, target(number), fleet.now - time, time);
            let takes = case.millis as f64 / 1e3 * time.as_secs_f64();
            if (got as f64) < USED * takes {
                unused.push((case.name, target(number), got, takes));
            }
        }
    }
    assert!(unused.is_empty(), "{unused:#?}");
}

/// Guards against a target that stays limited although its answers name a higher limit, or none any more.
///
/// Load: more than the targets can read, each of them 13 requests in two seconds.
#[test]
fn a_target_is_used_again_when_it_no_longer_names_its_limit() {
    struct Change {
        name: &'static str,
        from_millis: u64,
        event: fn(&mut Fleet),
        /// The requests that the target can take in two seconds afterwards.
        takes: f64,
        demand: Demand,
    }
    let lifted = |name, from_millis, demand| Change {
        name,
        from_millis,
        event: |fleet| fleet.limits.clear(),
        takes: 2_000.0 / 150.0,
        demand,
    };
    let changes = [
        lifted("from 3", 3_000, Demand::Even),
        lifted("from 1", 1_000, Demand::Even),
        lifted("from 1, one router is called", 1_000, Demand::One),
        lifted("from 1, callers move", 1_000, Demand::Moving(8_000)),
        lifted("from 0.5", 500, Demand::Even),
        lifted("from 0", 0, Demand::Even),
        Change {
            name: "raised from 1 to 5",
            from_millis: 1_000,
            event: |fleet| name_limits(fleet, 2, 5_000),
            takes: 10.0,
            demand: Demand::Even,
        },
        Change {
            name: "a new run names none",
            from_millis: 1_000,
            event: |fleet| {
                fleet.limits.clear();
                fleet.crash(target(1), None);
                fleet.crash(target(2), None);
            },
            takes: 2_000.0 / 150.0,
            demand: Demand::Even,
        },
    ];
    let mut unused = Vec::new();
    for change in changes {
        let events: [Event; 1] = [(8_000, change.event)];
        let case = Case {
            name: change.name,
            targets: (4, 2),
            millis: change.from_millis,
            demand: change.demand,
            per_s: 60,
            prompt: Prompt::Long,
            lasts: 20_000,
            events: &events,
            ..CASE
        };
        let fleet = play(&case);
        for number in 1..=2 {
            let target = target(number);
            let is_other = |limit: Option<u64>| limit != Some(change.from_millis);
            let (changed, _) = fleet.limit_changes[2];
            let mut heads = fleet.heads.iter().filter(|head| head.target == target);
            let heard = heads.find(|head| head.arrives > changed && is_other(head.limit));
            let Some(heard) = heard else {
                unused.push((change.name, number, 0));
                continue;
            };
            let got = got(&fleet, target, heard.arrives + USED_WITHIN, USED_WITHIN);
            if (got as f64) < USED * change.takes {
                unused.push((change.name, number, got));
            }
        }
    }
    assert!(unused.is_empty(), "{unused:#?}");
}

/// Guards against callers that wait for a target which takes no more, and against callers that are told to return before one
/// does.
///
/// Load: one organisation asks for twenty requests a second of targets that take one in a second or two.
#[test]
fn requests_beyond_the_limits_are_refused_at_once_with_the_time_to_return() {
    /// Within which whoever cannot be served is told so.
    const AT_ONCE: Duration = Duration::from_millis(50);
    struct Pool {
        name: &'static str,
        routers: usize,
        targets: u32,
        millis: u64,
    }
    let pools = [
        Pool {
            name: "one router, 1 a second",
            routers: 1,
            targets: 1,
            millis: 1_000,
        },
        Pool {
            name: "one router, 0.5 a second",
            routers: 1,
            targets: 1,
            millis: 500,
        },
        Pool {
            name: "one router, two targets",
            routers: 1,
            targets: 2,
            millis: 500,
        },
        Pool {
            name: "8 routers",
            routers: 8,
            targets: 2,
            millis: 500,
        },
        Pool {
            name: "40 routers",
            routers: 40,
            targets: 2,
            millis: 500,
        },
        Pool {
            name: "nothing at all",
            routers: 1,
            targets: 2,
            millis: 0,
        },
    ];
    let mut wrong = Vec::new();
    for pool in pools {
        let Pool {
            name,
            routers,
            targets,
            millis,
        } = pool;
        let mut fleet = Fleet::new(routers, targets, 0);
        name_limits(&mut fleet, targets, millis);
        let mut waiting: BTreeMap<(usize, RequestId), Time> = BTreeMap::new();
        let mut refused = Vec::new();
        for ms in 0..20_000_usize {
            if ms.is_multiple_of(50) {
                let at = ms / 50 % routers;
                let request = fleet.submit_prompt(at, "one", &[], Repeat::Unkeyed);
                waiting.insert((at, request), fleet.now);
            }
            fleet.step();
            let new = waiting.extract_if(.., |key, _| fleet.refused.contains_key(key));
            let now = fleet.now;
            refused.extend(new.map(|(key, since)| (key, since, now)));
        }
        let settled = fleet.heads[0].arrives + SETTLED_AFTER;
        refused.retain(|(_, since, _)| *since >= settled);
        assert!(refused.len() > 100, "{name}: {} refused", refused.len());
        for (key, since, at) in refused {
            let Refusal {
                verdict,
                retry_after,
                ..
            } = fleet.refused[&key];
            let mut sent = fleet.dispatched.iter().map(|(sent, ..)| *sent);
            let next = sent.find(|&sent| sent > at);
            let wait = retry_after.unwrap_or_default();
            // A target that takes nothing is asked now and then all the same.
            let is_early = millis > 0 && next.is_some_and(|next| at + wait + AT_ONCE < next);
            let is_told = verdict == Verdict::NotRun && !wait.is_zero();
            if at.since(since) > AT_ONCE || is_early || !is_told {
                let next = next.map(|next| next.since(at));
                wrong.push((name, key, at.since(since), retry_after, next));
            }
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of them: {:#?}",
        wrong.len(),
        wrong.first()
    );
}

/// A target that takes nothing is asked again at some time, since only its answers can say that it takes requests.
#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let case = Case {
        targets: (2, 2),
        millis: 0,
        lasts: 16_000,
        ..CASE
    };
    let fleet = play(&case);
    assert!(excesses("0", &fleet).is_empty());
    let time = Duration::from_secs(10);
    for number in 1..=2 {
        let got = got(&fleet, target(number), fleet.now - time, time);
        assert!(got > 0, "{}", target(number));
    }
}

/// Load: two organisations ask for far more than the fleet serves, one at a single router, the other at all. Some targets
/// name limits far below what they read.
#[test]
fn targets_without_a_limit_take_the_rest_and_the_order_between_organisations_holds() {
    let (mut unused, mut over) = (Vec::new(), Vec::new());
    for (limited, unlimited) in [(4, 4), (13, 5)] {
        let mut fleet = Fleet::new(8, limited + unlimited, 0);
        name_limits(&mut fleet, limited, 1_000);
        let mut sender = BTreeMap::new();
        for ms in 0..12_000_usize {
            if ms.is_multiple_of(10) {
                sender.insert(fleet.submit(0, "one"), "one");
                sender.insert(fleet.submit(ms / 10 % 8, "many"), "many");
            }
            fleet.step();
        }
        let time = Duration::from_secs(6);
        let since = fleet.now - time;
        let sent_by = |name| {
            let sent = fleet.dispatched.iter();
            sent.filter(|(at, _, _, request)| *at >= since && sender[request] == name)
                .count()
        };
        let (one, many) = (sent_by("one"), sent_by("many"));
        // The users' bound: no organisation gets less than half of what another gets in six seconds.
        assert!(
            one * 2 >= many && many * 2 >= one,
            "one {one}, many {many}, {limited} targets with limits"
        );
        let got_by = |targets: RangeInclusive<u32>| {
            let got = targets.map(|number| got(&fleet, target(number), since, time));
            got.sum::<usize>() as f64
        };
        // At most an eighth of the capacity idles: a target reads 40 prompts of 150 ms in six seconds.
        let rest = got_by(limited + 1..=limited + unlimited);
        let least = 40.0 * f64::from(unlimited) * 7.0 / 8.0;
        if rest < least {
            unused.push((limited, "without a limit", rest, least));
        }
        let least = USED * f64::from(limited) * time.as_secs_f64();
        let taken = got_by(1..=limited);
        if taken < least {
            unused.push((limited, "with a limit", taken, least));
        }
        over.extend(excesses("some name none", &fleet));
    }
    assert!(
        unused.is_empty() && over.is_empty(),
        "{unused:#?} {over:#?}"
    );
}
