//! Tests of claims in races, pauses and outages.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::message::{Lease, LeaseClaim};
use super::{Config, Leases};
use crate::output::Output;
use crate::prelude::*;
use crate::record::Record;

/// Routers that share one log.
struct Group {
    routers: Vec<(Context, Leases)>,
    log: Vec<LeaseClaim>,
    read: Vec<usize>,
}

enum Step {
    /// A router claims the lease if that is due, and its append reaches the log.
    Claim(usize),
    /// A router reads all that is on the log.
    Read(usize),
    /// Time passes for all routers, in milliseconds.
    Advance(u64),
    /// Checks that exactly this router, or none, holds the lease.
    Held(Option<usize>),
}

impl Group {
    fn new(routers: u32) -> Self {
        let router = |id| {
            let rng = ChaCha8Rng::seed_from_u64(u64::from(id));
            let cx = Context::new(RouterId(id), Incarnation(1), rng);
            (cx, Leases::new(Config::default()))
        };
        Self {
            routers: (0..routers).map(router).collect(),
            log: Vec::new(),
            read: vec![0; routers as usize],
        }
    }

    fn claim(&mut self, index: usize) {
        let (cx, leases) = &mut self.routers[index];
        leases.claim_if_due(cx, Lease::Refresh);
        for output in cx.out.drain(..) {
            if let Output::Append { bytes, .. } = output
                && let Ok(Record::Lease(claim)) = Record::decode(&bytes)
            {
                self.log.push(claim);
            }
        }
    }

    fn read(&mut self, index: usize) {
        let (cx, leases) = &mut self.routers[index];
        for (offset, claim) in self.log.iter().enumerate().skip(self.read[index]) {
            leases.on_record(cx, Offset(offset as u64), Offset(0), claim);
        }
        self.read[index] = self.log.len();
    }

    fn holders(&self) -> Vec<usize> {
        let held = |(cx, leases): &(Context, Leases)| leases.held(cx.now, Lease::Refresh).is_some();
        (0..self.routers.len())
            .filter(|&index| held(&self.routers[index]))
            .collect()
    }
}

#[test]
fn a_lease_has_at_most_one_holder() {
    use Step::{Advance, Claim, Held, Read};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    let cases = [
        Case {
            name: "the first of two racing claims wins",
            steps: &[Claim(0), Claim(1), Read(0), Read(1), Held(Some(0))],
        },
        Case {
            name: "a claim is held only once it is read back",
            steps: &[Claim(0), Held(None), Read(0), Held(Some(0))],
        },
        Case {
            name: "a paused holder stops before another may start",
            steps: &[
                Claim(0),
                Read(0),
                Read(1),
                Advance(9_100),
                Held(None),
                Claim(1),
                Read(1),
                Held(None),
            ],
        },
        Case {
            name: "another takes over after the term",
            steps: &[
                Claim(0),
                Read(0),
                Read(1),
                Advance(11_100),
                Claim(1),
                Read(1),
                Read(0),
                Held(Some(1)),
            ],
        },
        Case {
            name: "a holder extends in time",
            steps: &[
                Claim(0),
                Read(0),
                Advance(5_000),
                Claim(0),
                Read(0),
                Advance(5_000),
                Held(Some(0)),
            ],
        },
        Case {
            name: "a claim that was read late holds for the rest of its term only",
            steps: &[Claim(0), Advance(9_500), Read(0), Held(None)],
        },
        Case {
            name: "the paused holder's late extension loses to the new holder",
            steps: &[
                Claim(0),
                Read(0),
                Read(1),
                Advance(11_100),
                Claim(1),
                Read(1),
                Claim(0),
                Read(0),
                Read(1),
                Held(Some(1)),
            ],
        },
    ];
    for Case { name, steps } in cases {
        let mut group = Group::new(2);
        for step in steps {
            match *step {
                Claim(index) => group.claim(index),
                Read(index) => group.read(index),
                Advance(millis) => {
                    for (cx, _) in &mut group.routers {
                        cx.now = cx.now + Duration::from_millis(millis);
                    }
                }
                Held(holder) => {
                    assert_eq!(
                        group.holders(),
                        holder.into_iter().collect::<Vec<_>>(),
                        "{name}"
                    );
                }
            }
            assert!(group.holders().len() <= 1, "{name}");
        }
    }
}
