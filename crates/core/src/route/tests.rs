//! Tests of the choice among candidates, of the knowledge of caches, and of the split between
//! pools.

use super::{Candidate, Distance, Prefixes, Splits, choose};
use std::collections::BTreeMap;

use crate::catalogue::entry::{PoolShare, Route, RouteRepeat};
use crate::input::CacheEvent;
use crate::key::{Fingerprint, TargetId};

struct Case {
    name: &'static str,
    /// Used and permitted slots, and the distance, of the targets 1, 2, and so on.
    candidates: &'static [(u32, u32, Distance)],
    holders: &'static [u32],
    chosen: Option<u32>,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing free",
        candidates: &[(8, 8, Distance::Near), (0, 0, Distance::Near)],
        holders: &[1, 2],
        chosen: None,
    },
    Case {
        name: "the least relative load, not the most free slots",
        candidates: &[(8, 64, Distance::Near), (0, 1, Distance::Near)],
        holders: &[],
        chosen: Some(2),
    },
    Case {
        name: "a prefix outweighs a little load",
        candidates: &[(1, 8, Distance::Near), (3, 8, Distance::Near)],
        holders: &[2],
        chosen: Some(2),
    },
    Case {
        name: "a prefix does not outweigh much load",
        candidates: &[(1, 8, Distance::Near), (6, 8, Distance::Near)],
        holders: &[2],
        chosen: Some(1),
    },
    Case {
        name: "a prefix never passes a limit",
        candidates: &[(7, 8, Distance::Far), (8, 8, Distance::Near)],
        holders: &[2],
        chosen: Some(1),
    },
    Case {
        name: "the near one of two alike",
        candidates: &[(2, 8, Distance::Region), (2, 8, Distance::Near)],
        holders: &[],
        chosen: Some(2),
    },
    Case {
        name: "another region only when this one is much fuller",
        candidates: &[(2, 8, Distance::Near), (1, 8, Distance::Far)],
        holders: &[],
        chosen: Some(1),
    },
    Case {
        name: "another region when this one is much fuller",
        candidates: &[(7, 8, Distance::Near), (1, 8, Distance::Far)],
        holders: &[],
        chosen: Some(2),
    },
];

#[test]
fn the_least_loaded_target_is_chosen_with_a_bonus_for_prefix_and_distance() {
    for case in CASES {
        let candidates = (1..).zip(case.candidates);
        let candidates = candidates.map(|(id, &(used, part, distance))| Candidate {
            target: TargetId(id),
            used,
            part,
            distance,
        });
        let holders: Vec<TargetId> = case.holders.iter().map(|&id| TargetId(id)).collect();
        let chosen = choose(candidates, &holders, 0).map(|target| target.0);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

struct CacheCase {
    name: &'static str,
    events: &'static [CacheEvent],
    held: bool,
}

const PREFIX: Fingerprint = Fingerprint(1);

#[test]
fn knowledge_of_caches_follows_events_and_is_dropped_at_a_gap() {
    let cases = [
        CacheCase {
            name: "stored",
            events: &[CacheEvent::Stored(PREFIX)],
            held: true,
        },
        CacheCase {
            name: "stored twice, evicted once",
            events: &[
                CacheEvent::Stored(PREFIX),
                CacheEvent::Stored(PREFIX),
                CacheEvent::Evicted(PREFIX),
            ],
            held: false,
        },
        CacheCase {
            name: "a gap",
            events: &[CacheEvent::Stored(PREFIX), CacheEvent::Gap],
            held: false,
        },
        CacheCase {
            name: "evicted without having been stored, then stored",
            events: &[CacheEvent::Evicted(PREFIX), CacheEvent::Stored(PREFIX)],
            held: true,
        },
    ];
    for case in cases {
        let mut prefixes = Prefixes::new();
        prefixes.on_events(TargetId(1), case.events);
        let held = !prefixes.holders(Some(PREFIX)).is_empty();
        assert_eq!(held, case.held, "{}", case.name);
    }
}

#[test]
fn memory_is_bounded_whatever_targets_publish() {
    let mut prefixes = Prefixes::new();
    for target in 0..400 {
        for prefix in 0..300 {
            prefixes.store(TargetId(target), Fingerprint(prefix));
        }
    }
    assert!(prefixes.len() <= 32_768, "{}", prefixes.len());
    for target in 0..400 {
        prefixes.forget(TargetId(target));
    }
    assert!(prefixes.is_empty());
}

#[test]
fn a_split_is_exact_after_any_number_of_requests() {
    let share = |pool: &str, weight| PoolShare {
        pool: pool.to_owned(),
        weight,
    };
    let route = |pools| Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        pools,
        repeat: RouteRepeat::Allowed,
        streams: false,
        timeout_ms: 1,
        objective_ms: 1,
        gap_aim_ms: 0,
        attempts_max: 1,
        anonymous: false,
    };
    let cases = [
        vec![share("a", 90), share("b", 10)],
        vec![share("a", 1), share("b", 1), share("c", 5)],
        vec![share("a", 3), share("b", 0)],
    ];
    for pools in cases {
        let route = route(pools.clone());
        let all: u32 = pools.iter().map(|part| part.weight).sum();
        let mut splits = Splits::default();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for requests in 1..=200_u32 {
            let pool = splits.next(&route).expect("some pool has weight");
            *counts.entry(pool.to_owned()).or_default() += 1;
            for part in &pools {
                let got = counts.get(&part.pool).copied().unwrap_or(0) * all;
                let due = requests * part.weight;
                assert!(got.abs_diff(due) <= all, "{}: {got} of {due}", part.pool);
            }
        }
    }
    let none = route(vec![share("a", 0)]);
    assert_eq!(Splits::default().next(&none), None);
}
