//! Processor time of choosing a target among the number of targets that the design is sized for.

use std::hint::black_box;

use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::route::{Candidate, Distance, choose};
use criterion::{Criterion, criterion_group, criterion_main};

/// The number of targets in the fleet, placed in one pool here.
const TARGETS: u32 = 5_200;

fn choose_among_all(c: &mut Criterion) {
    let distances = [Distance::Near, Distance::Region, Distance::Far];
    let candidates: Vec<Candidate> = (0..TARGETS)
        .map(|id| Candidate {
            target: TargetId(id),
            used: id * 7 % 64,
            part: 64,
            distance: distances[id as usize % 3],
        })
        .collect();
    let holders: Vec<TargetId> = (0..8).map(|id| TargetId(id * 600)).collect();
    c.bench_function("choose among 5200 targets", |bencher| {
        bencher.iter(|| choose(black_box(candidates.iter().copied()), &holders, 7));
    });
}

criterion_group!(benches, choose_among_all);
criterion_main!(benches);
