//! Tests of the choice among candidates.

use super::{Candidate, Distance, Prefixes, choose};
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
