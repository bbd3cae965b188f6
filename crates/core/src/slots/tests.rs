//! Tests of grants between an owner and two holders, with lost, repeated and late messages.

use std::collections::BTreeMap;

use super::message::{Demand, Grants};
use super::{Config, Holder, Owner};
use crate::prelude::*;

const POOL: PoolId = PoolId(1);
const TARGET: TargetId = TargetId(2);
const OWNER: (RouterId, Incarnation) = (RouterId(1), Incarnation(1));
const LIMIT: u32 = 4;

struct Pair {
    now: Time,
    owner: Owner,
    holders: Vec<Holder>,
}

impl Pair {
    /// Returns an owner that may grant the slots of one target, and two holders.
    fn new() -> Self {
        let now = Time::from_millis(100_000);
        let mut owner = Owner::new(Config::default(), Duration::ZERO);
        owner.on_visibility(now, 3, 3);
        owner.on_owned(now, &BTreeMap::from([(TARGET, POOL)]));
        let now = now + Duration::from_secs(6);
        for late in [0, 1, 2, 3] {
            owner.on_report(now + Duration::from_secs(late), TARGET, 0);
        }
        let holders = (0..2).map(|_| Holder::new(Incarnation(1), Config::default()));
        Self {
            now: now + Duration::from_secs(4),
            owner,
            holders: holders.collect(),
        }
    }

    fn ask(&mut self, holder: usize, want: u32, lowest: u64) {
        let demand = Demand {
            pool: POOL,
            want,
            urgent: 0,
            lowest,
            step: 1,
            system: 0,
        };
        self.holders[holder].set_demand(OWNER.0, demand);
        let ask = self.holders[holder].ask(self.now, OWNER.0);
        let from = (RouterId(10 + holder as u32), Incarnation(1));
        self.owner.on_ask(self.now, from, ask, OWNER.1);
        self.owner.grant_free(self.now, |_| LIMIT);
    }

    fn answers(&mut self) -> Vec<(usize, Grants)> {
        let answers = self.owner.take_answers(self.now, |_| LIMIT).into_iter();
        answers
            .map(|(to, grants, _)| (to.0 as usize - 10, grants))
            .collect()
    }

    fn deliver(&mut self, (holder, grants): &(usize, Grants)) {
        let of = |_| Some((POOL, OWNER.0));
        self.holders[*holder].on_grants(self.now, OWNER, grants, of);
    }

    fn idle(&self, holder: usize) -> u32 {
        self.holders[holder].idle(self.now, TARGET)
    }
}

#[test]
fn grants_that_are_lost_or_repeated_add_up_to_the_limit() {
    // How many times the first answer to each holder is delivered.
    for arrivals in [[0, 1], [1, 0], [1, 1], [2, 1], [3, 3]] {
        let mut pair = Pair::new();
        pair.ask(0, 3, 5);
        pair.ask(1, 3, 7);
        for answer in pair.answers() {
            (0..arrivals[answer.0]).for_each(|_| pair.deliver(&answer));
        }
        for _ in 0..3 {
            pair.now = pair.now + Duration::from_millis(500);
            pair.ask(0, 3, 5);
            pair.ask(1, 3, 7);
            for answer in pair.answers() {
                pair.deliver(&answer);
            }
            assert!(pair.idle(0) + pair.idle(1) <= LIMIT, "{arrivals:?}");
        }
        assert_eq!(pair.idle(0) + pair.idle(1), LIMIT, "{arrivals:?}");
    }
}

#[test]
fn a_grant_lapses_and_is_not_renewed_after_that() {
    let mut pair = Pair::new();
    pair.ask(0, 3, 5);
    let answers = pair.answers();
    answers.iter().for_each(|answer| pair.deliver(answer));
    assert_eq!(pair.idle(0), 3);
    pair.now = pair.now + Config::default().term;
    assert_eq!(pair.idle(0), 0, "the term is over");
    let mut late = answers[0].1.clone();
    pair.holders[0].ask(pair.now, OWNER.0);
    late.ask += 1;
    late.levels.clear();
    pair.deliver(&(0, late));
    assert_eq!(pair.idle(0), 0, "a renewal is no grant");
}
