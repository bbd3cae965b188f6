//! Processor time of the decisions made for each request or message.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::BTreeMap;

use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::share::message::{OwnRow, SharePart};
use bulrushtrestle_core::share::{self, Ledger};
use bulrushtrestle_core::slots::message::{Ask, Demand, Holding};
use bulrushtrestle_core::slots::{self, Owner};
use criterion::{Criterion, criterion_group, criterion_main};

use self::fixture::{request, setup};

/// Measures a request that arrives, is queued or dispatched, and whose caller then disconnects.
fn admission(c: &mut Criterion) {
    let mut setup = setup(1, 20, 16, 1);
    let now = setup.fleet.now;
    let (pool, organisation) = (setup.pool, setup.organisations[0]);
    let node = &mut setup
        .fleet
        .hosts
        .get_mut(&RouterId(1))
        .expect("the router is running")
        .node;
    let mut out = Vec::new();
    let mut next = 0;
    c.bench_function("admit a request and let its caller leave", |b| {
        b.iter(|| {
            next += 1;
            let req = request(next, organisation, pool);
            node.handle(now, Input::Request(req), &mut out);
            node.handle(now, Input::Cancelled(RequestId(next)), &mut out);
            out.clear();
        });
    });
}

/// Measures a holder that asks for a slot and returns it, while seven other holders wait.
fn grant(c: &mut Criterion) {
    let pool = PoolId(1);
    let me = Incarnation(1);
    let start = Time::from_millis(100_000);
    let mut owner = Owner::new(slots::Config::default(), Duration::ZERO);
    owner.on_visibility(start, 8, 8);
    let owned: BTreeMap<TargetId, PoolId> = (0..12).map(|id| (TargetId(id), pool)).collect();
    owner.on_owned(start, &owned);
    for second in 10..20 {
        let at = start + Duration::from_secs(second);
        (0..12).for_each(|id| owner.on_report(at, TargetId(id), 0));
    }
    let now = start + Duration::from_secs(60);
    let mut sequence = 0;
    c.bench_function("take an ask and grant a slot, 12 targets, 8 holders", |b| {
        b.iter(|| {
            sequence += 1;
            let holder = (RouterId(2 + sequence % 8), Incarnation(1));
            let holding = |id| Holding {
                target: TargetId(id),
                seen: u32::MAX,
                held: 0,
                low: 0,
            };
            let ask = Ask {
                sequence,
                owner: me,
                demands: vec![Demand {
                    pool,
                    want: 1,
                    urgent: 0,
                    lowest: u64::from(sequence),
                    step: 100,
                    system: 0,
                }],
                holdings: (0..12).map(holding).collect(),
            };
            owner.on_ask(now, holder, ask, me);
            owner.grant_free(now, |_| 8);
            owner.take_answers(now, |_| 8)
        });
    });
}

/// Measures the merge of a peer's rows for sixteen organisations.
fn merge(c: &mut Criterion) {
    let mut ledger = Ledger::new(RouterId(1), Incarnation(1), share::Config::default());
    let mut received = 0;
    c.bench_function("merge sixteen rows of a peer", |b| {
        b.iter(|| {
            received += 1;
            let own = (0..16).map(|id| OwnRow {
                organisation: OrganisationId(id),
                received,
                lift: 0,
            });
            let part = SharePart {
                own: own.collect(),
                ..SharePart::default()
            };
            ledger.on_part(RouterId(2), Incarnation(1), part);
        });
    });
}

criterion_group!(benches, admission, grant, merge);
criterion_main!(benches);
