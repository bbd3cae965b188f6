//! Tests of the ledger.

use std::collections::BTreeMap;

use super::message::SharePart;
use super::{ChargeAccount, Config, Ledger, Recent};
use crate::prelude::*;

const ORGANISATION: OrganisationId = OrganisationId(7);

/// Ledgers that exchange reports once in a period.
struct Group {
    ledgers: BTreeMap<RouterId, (Incarnation, Ledger)>,
    full_replication_max: usize,
}

impl Group {
    fn new(routers: u32, full_replication_max: usize) -> Self {
        let mut group = Self {
            ledgers: BTreeMap::new(),
            full_replication_max,
        };
        for id in 1..=routers {
            group.start(RouterId(id), Incarnation(1));
        }
        group
    }

    fn start(&mut self, id: RouterId, incarnation: Incarnation) {
        let cfg = Config {
            full_replication_max: self.full_replication_max,
            ..Config::default()
        };
        let ledger = Ledger::new(id, incarnation, cfg);
        self.ledgers.insert(id, (incarnation, ledger));
    }

    fn charge(&mut self, id: u32, cost: u64) {
        let (_, ledger) = self.ledgers.get_mut(&RouterId(id)).expect("it runs");
        ledger.charge(ORGANISATION, Cost(cost));
    }

    /// Runs one period, in which every report is delivered `copies` times.
    fn period(&mut self, copies: usize) {
        let live: Vec<RouterId> = self.ledgers.keys().copied().collect();
        let mut parts: Vec<(RouterId, Incarnation, RouterId, SharePart)> = Vec::new();
        for (&from, (incarnation, ledger)) in &mut self.ledgers {
            ledger.on_live(live.clone());
            let due = ledger.report().into_iter();
            parts.extend(due.map(|(to, part)| (from, *incarnation, to, part)));
        }
        for (from, incarnation, to, part) in parts {
            for _ in 0..copies {
                let (_, ledger) = self.ledgers.get_mut(&to).expect("it is live");
                ledger.on_part(from, incarnation, part.clone());
            }
        }
    }

    fn totals(&self) -> Vec<u64> {
        let ledgers = self.ledgers.values();
        ledgers.map(|(_, l)| l.total(ORGANISATION).0).collect()
    }
}

struct Case {
    name: &'static str,
    routers: u32,
    full_replication_max: usize,
    copies: usize,
    restart: bool,
}

#[test]
fn service_counts_once_everywhere() {
    let base = Case {
        name: "every router is an aggregator",
        routers: 4,
        full_replication_max: 8,
        copies: 1,
        restart: false,
    };
    let cases = [
        Case {
            name: "two aggregators of twenty routers",
            routers: 20,
            ..base
        },
        Case {
            name: "reports arrive three times",
            copies: 3,
            ..base
        },
        Case {
            name: "a router restarts empty",
            restart: true,
            ..base
        },
        Case {
            name: "a router restarts empty, two aggregators of twenty routers",
            routers: 20,
            restart: true,
            ..base
        },
        base,
    ];
    for case in cases {
        let mut group = Group::new(case.routers, case.full_replication_max);
        (0..3).for_each(|_| group.period(case.copies));
        for id in 1..=case.routers {
            group.charge(id, 1_000);
        }
        (0..4).for_each(|_| group.period(case.copies));
        if case.restart {
            group.start(RouterId(2), Incarnation(2));
            group.charge(2, 500);
            (0..4).for_each(|_| group.period(case.copies));
        }
        let expected = u64::from(case.routers) * 1_000 + if case.restart { 500 } else { 0 };
        assert!(
            group.totals().iter().all(|&total| total == expected),
            "{}: {:?} in place of {expected}",
            case.name,
            group.totals()
        );
    }
}

#[test]
fn a_lift_by_two_routers_at_once_counts_once() {
    let mut group = Group::new(2, 8);
    (0..2).for_each(|_| group.period(1));
    for (_, ledger) in group.ledgers.values_mut() {
        ledger.lift(ORGANISATION, 1, 10_000);
    }
    (0..3).for_each(|_| group.period(1));
    for (_, ledger) in group.ledgers.values() {
        assert_eq!(ledger.virtual_time(ORGANISATION, 1), 10_000);
    }
}

#[test]
fn an_attempt_is_charged_the_minimum_and_then_what_it_uses_beyond() {
    struct Case {
        used: &'static [u64],
        /// The charges at the start and with each use.
        due: &'static [u64],
        unused: u64,
    }
    let cases = [
        Case {
            used: &[10, 20],
            due: &[100, 0, 0],
            unused: 70,
        },
        Case {
            used: &[60, 60, 50],
            due: &[100, 0, 20, 50],
            unused: 0,
        },
    ];
    for case in cases {
        let (mut account, first) = ChargeAccount::open(Cost::ZERO, Cost(100));
        let mut due = vec![first.0];
        due.extend(case.used.iter().map(|&cost| account.add(Cost(cost)).0));
        assert_eq!(due, case.due);
        assert_eq!(account.unused(), Cost(case.unused));
    }
}

#[test]
fn service_before_the_recent_window_does_not_count() {
    let mut recent = Recent::new(Duration::from_secs(4));
    let org = OrganisationId(1);
    let at = |second: u64| Time::from_millis(second * 1_000);
    // An organisation uses an idle fleet for ten seconds and then stops.
    for second in 0..=20 {
        let total = Cost(second.min(10) * 100);
        recent.sample(at(second), [(org, total)].into());
    }
    assert_eq!(recent.of(org, Cost(1_000)), Cost(0));
    assert_eq!(recent.of(org, Cost(1_050)), Cost(50));
    assert_eq!(recent.of(OrganisationId(2), Cost(7)), Cost(7), "it is new");
}
