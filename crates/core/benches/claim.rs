//! Processor time of one decision on an idempotency key.

use bulrushtrestle_core::key::{Incarnation, OrganisationId, RouterId};
use bulrushtrestle_core::once::message::{Step, StepKind};
use bulrushtrestle_core::once::{Claims, Key};
use criterion::{Criterion, criterion_group, criterion_main};
use uuid::Uuid;

const ORG: OrganisationId = OrganisationId(1);
/// The number of keys held before the measurement.
const HELD: u64 = 200_000;

/// Returns a distinct key and the step that claims it.
fn step(number: u64) -> (Key, Step) {
    let high = (1_800_000_000_000 + number) << 16 | 0x7000;
    let uuid = Uuid::from_u64_pair(high, 1 << 63 | number);
    let key = Key::new(ORG, uuid).expect("the UUID has version 7");
    let step = Step {
        kind: StepKind::Claim,
        organisation: ORG,
        key: uuid,
        number,
    };
    (key, step)
}

/// Measures the decision on a claim of a new key while `HELD` keys are held, the number that a router keeps.
fn claim(c: &mut Criterion) {
    let run = (RouterId(1), Incarnation(1));
    let mut claims = Claims::new(HELD as usize);
    let mut next = 0;
    let mut decide = || {
        let (key, step) = step(next);
        next += 1;
        claims.apply(run, key, &step)
    };
    for _ in 0..HELD {
        decide();
    }
    c.bench_function("claim_of_a_new_key_among_200000", |b| b.iter(&mut decide));
}

criterion_group!(benches, claim);
criterion_main!(benches);
