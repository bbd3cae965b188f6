//! Tests of the limit on requests to cold targets.

use super::{Allowance, ColdTargets};
use crate::input::TargetState;
use crate::prelude::*;

const TARGET: TargetId = TargetId(5);
const NOW: Time = Time::from_millis(1_000_000);

fn state(cold_ms: u64, run: u64, sequence: u64) -> TargetState {
    TargetState {
        target: TARGET,
        leaving: false,
        cold_for: Duration::from_millis(cold_ms),
        started_ms: Some(run),
        sequence,
    }
}

fn allowance(per_second: u32, routers: u32) -> Allowance {
    Allowance {
        per_second,
        routers: (1..=routers).map(RouterId).collect(),
        is_former_run_recent: false,
    }
}

/// Returns how many requests a router sends in the first second if it sends as many as it is
/// allowed to.
fn sent_in_a_second(cold_targets: &mut ColdTargets, allowance: &Allowance, me: RouterId) -> u32 {
    let mut sent = 0;
    for milli in 0..1_000 {
        let now = NOW + Duration::from_millis(milli);
        if cold_targets.allows(now, TARGET, allowance, me) {
            cold_targets.on_dispatch(now, TARGET);
            sent += 1;
        }
    }
    sent
}

struct Case {
    name: &'static str,
    per_second: u32,
    routers: u32,
}

#[test]
fn the_fleet_together_sends_a_cold_target_what_it_bears() {
    let cases = [
        Case {
            name: "even parts",
            per_second: 14,
            routers: 7,
        },
        Case {
            name: "parts with a rest",
            per_second: 14,
            routers: 8,
        },
        Case {
            name: "a single router",
            per_second: 14,
            routers: 1,
        },
        Case {
            name: "more routers than requests",
            per_second: 14,
            routers: 77,
        },
    ];
    for case in cases {
        let allowance = allowance(case.per_second, case.routers);
        let total: u32 = (1..=case.routers)
            .map(|router| {
                let mut cold_targets = ColdTargets::default();
                cold_targets.on_state(NOW, &state(3_000, 1, 1));
                sent_in_a_second(&mut cold_targets, &allowance, RouterId(router))
            })
            .sum();
        assert_eq!(total, case.per_second, "{}", case.name);
    }
}

#[test]
fn a_target_is_cold_as_long_as_it_says_and_a_little_longer() {
    let mut cold_targets = ColdTargets::default();
    assert!(!cold_targets.is_cold(NOW, TARGET));
    cold_targets.on_state(NOW, &state(3_000, 1, 1));
    assert!(cold_targets.is_cold(NOW + Duration::from_millis(3_400), TARGET));
    assert!(!cold_targets.is_cold(NOW + Duration::from_millis(3_600), TARGET));
}

#[test]
fn a_target_whose_connections_broke_is_cold_until_it_writes_of_the_same_run_later() {
    let mut cold_targets = ColdTargets::default();
    cold_targets.on_state(NOW, &state(0, 1, 1));
    cold_targets.suspect_restart(NOW, TARGET);
    let early = NOW + Duration::from_millis(1_200);
    cold_targets.on_state(early, &state(0, 1, 2));
    assert!(
        cold_targets.is_cold(early, TARGET),
        "this may be from before"
    );
    let late = NOW + Duration::from_millis(2_400);
    cold_targets.on_state(late, &state(0, 1, 3));
    assert!(!cold_targets.is_cold(late, TARGET));
}

#[test]
fn a_new_run_is_told_by_its_start_or_its_count() {
    let cases = [
        ("the same run", state(0, 1, 6), false),
        ("another start", state(0, 2, 6), true),
        ("a count that fell", state(0, 1, 2), true),
    ];
    for (name, next, restarted) in cases {
        let mut cold_targets = ColdTargets::default();
        assert!(
            !cold_targets.on_state(NOW, &state(0, 1, 5)),
            "the first state"
        );
        assert_eq!(cold_targets.on_state(NOW, &next), restarted, "{name}");
    }
}

#[test]
fn a_pool_without_a_bound_has_none() {
    let mut cold_targets = ColdTargets::default();
    cold_targets.suspect_restart(NOW, TARGET);
    assert_eq!(
        sent_in_a_second(&mut cold_targets, &allowance(0, 8), RouterId(1)),
        1_000
    );
}
