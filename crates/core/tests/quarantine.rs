//! Tests of requests that crash targets, concurrently with innocent requests.

mod fixture;

use bulrushtrestle_core::input::FailureKind;
use bulrushtrestle_core::prelude::*;
use uuid::Uuid;

use self::fixture::{FailurePoint, Fault, Fleet, Job, Setup, request, setup_with};

const ROUTERS: u32 = 3;
const TARGETS: u32 = 5;
/// The content of the request that crashes every target that runs it.
const POISON: Fingerprint = Fingerprint(0xbad);
const BAD: Job = Job {
    tokens: 400,
    token_time: Duration::from_millis(10),
    crashes: true,
};
const GOOD: Job = Job {
    crashes: false,
    ..BAD
};

struct World {
    fleet: Fleet,
    pool: PoolId,
    organisation: OrganisationId,
    targets: Vec<TargetId>,
    next: u64,
}

impl World {
    fn new() -> Self {
        let Setup {
            fleet,
            pool,
            organisations,
            targets,
        } = setup_with(ROUTERS, TARGETS, 1, 1, |cfg| {
            // In this fleet nothing stops dispatches to targets that are down, so many attempts are allowed.
            cfg.attempt.attempts_max = 20;
            cfg.attempt.retry_burst = 1_000;
        });
        Self {
            fleet,
            pool,
            organisation: organisations[0],
            targets,
            next: 0,
        }
    }

    /// Submits a request with content of its own.
    fn good(&mut self, router: u32, repeat: Repeat) -> RequestId {
        let fingerprint = Fingerprint(1_000_000 + self.next);
        self.submit(router, repeat, fingerprint, GOOD)
    }

    /// Submits the request that crashes targets, under a new key.
    fn bad(&mut self, router: u32) -> RequestId {
        let high = self.fleet.now.as_millis() << 16 | 0x7000;
        let key = Uuid::from_u64_pair(high, 1 << 63 | self.next);
        self.submit(router, Repeat::Once(key), POISON, BAD)
    }

    fn submit(&mut self, router: u32, repeat: Repeat, content: Fingerprint, job: Job) -> RequestId {
        let mut req = request(self.next, self.organisation, self.pool);
        self.next += 1;
        req.repeat = repeat;
        req.fingerprint = content;
        let id = req.id;
        self.fleet.submit(RouterId(router), req, job);
        id
    }

    fn run(&mut self, millis: u64) {
        self.fleet.run(Duration::from_millis(millis));
    }

    /// Returns how many requests were running at each crash.
    fn crashes(&self) -> Vec<usize> {
        let engines = self.fleet.engines.values();
        engines.flat_map(|e| e.crashes.iter().copied()).collect()
    }

    fn dispatches(&self, request: RequestId) -> usize {
        let all = self.fleet.dispatches.iter();
        all.filter(|(_, _, dispatch)| dispatch.request == request)
            .count()
    }

    /// Returns the refusal of a request; `None` if the request was answered completely.
    fn refusal(&self, request: RequestId) -> Option<Refusal> {
        let answer = self.fleet.answers.iter().find(|a| a.request == request);
        let answer = answer.unwrap_or_else(|| panic!("{request} was not answered"));
        answer.refusal
    }
}

#[test]
fn a_request_that_crashes_targets_crashes_two_however_often_it_is_sent() {
    struct Case {
        name: &'static str,
        first: Repeat,
        /// Whether targets that crash stay down.
        stays_down: bool,
    }
    let cases = [
        Case {
            name: "first sent as repeatable",
            first: Repeat::Allowed,
            stays_down: false,
        },
        Case {
            name: "first sent as not repeatable",
            first: Repeat::Unkeyed,
            stays_down: false,
        },
        Case {
            name: "targets that crash stay down",
            first: Repeat::Unkeyed,
            stays_down: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        for engine in world.fleet.engines.values_mut() {
            engine.stays_down = case.stays_down;
        }
        let mut innocent = Vec::new();
        for round in 0..20 {
            for router in 1..=ROUTERS {
                innocent.push(world.good(router, Repeat::Allowed));
                innocent.push(world.good(router, Repeat::Allowed));
            }
            if round == 4 {
                world.submit(1, case.first, POISON, BAD);
            }
            if round == 16 {
                assert_eq!(
                    world.crashes().len(),
                    2,
                    "the suspect is not starved, {}",
                    case.name
                );
            }
            if round > 4 {
                // The caller sends the request again under new keys, to all routers at the same time.
                for router in 1..=ROUTERS {
                    world.bad(router);
                    world.bad(router);
                }
            }
            world.run(1_000);
        }
        world.run(30_000);
        let mut crashes = world.crashes();
        crashes.sort_unstable();
        assert_eq!(crashes.len(), 2, "{}", case.name);
        assert_eq!(crashes[0], 1, "the second ran alone, {}", case.name);
        assert!(crashes[1] > 1, "the first ran in company, {}", case.name);
        for request in innocent {
            assert_eq!(world.refusal(request), None, "{request}, {}", case.name);
        }
        let quarantined = Counter::Refused(Reason::Quarantined);
        let resent = u64::from(15 * 2 * ROUTERS);
        assert!(world.fleet.counters[&quarantined] >= resent - 1);
        let last = world.bad(2);
        world.run(1_000);
        let expected = Refusal::not_run(Reason::Quarantined, None);
        assert_eq!(world.refusal(last), Some(expected), "{}", case.name);
    }
}

#[test]
fn nobody_tries_a_suspect_again_before_it_is_known_what_became_of_the_target() {
    let mut world = World::new();
    for engine in world.fleet.engines.values_mut() {
        engine.stays_down = true;
    }
    world.submit(1, Repeat::Unkeyed, POISON, BAD);
    world.run(6_000);
    let resent: Vec<RequestId> = (0..2 * ROUTERS)
        .map(|n| world.bad(1 + n % ROUTERS))
        .collect();
    world.run(15_000);
    assert_eq!(world.crashes(), [1, 1]);
    let refusals = resent.iter().map(|&request| world.refusal(request));
    let (ran, quarantined): (Vec<_>, Vec<_>) = refusals
        .partition(|refusal| refusal.is_some_and(|refusal| refusal.verdict == Verdict::MayHaveRun));
    assert_eq!(ran.len(), 1);
    let expected = Refusal::not_run(Reason::Quarantined, None);
    assert!(quarantined.iter().all(|refusal| *refusal == Some(expected)));
}

#[test]
fn an_innocent_request_that_may_not_be_repeated_can_be_sent_again() {
    let mut world = World::new();
    let content = Fingerprint(7);
    let first = world.submit(1, Repeat::Unkeyed, content, GOOD);
    world.run(300);
    let target = world.fleet.dispatches[0].2.target;
    world.fleet.crash(target);
    world.run(100);
    let expected = Refusal::may_have_run(Reason::TargetFailed, None);
    assert_eq!(world.refusal(first), Some(expected));
    let again = world.submit(2, Repeat::Unkeyed, content, GOOD);
    world.run(1);
    assert_eq!(world.dispatches(again), 0, "the request waits to run alone");
    world.run(10_000);
    assert_eq!(world.refusal(again), None);
    for router in 1..=ROUTERS {
        let again = world.submit(router, Repeat::Unkeyed, content, GOOD);
        world.run(1);
        assert_eq!(
            world.dispatches(again),
            1,
            "the content is cleared at router {router}"
        );
    }
}

#[test]
fn a_broken_connection_alone_condemns_nobody() {
    let mut world = World::new();
    for _ in 0..4 {
        let fault = Fault::Fail(FailureKind::Broken, FailurePoint::Tokens(3));
        world.fleet.faults.push_back(fault);
        let request = world.submit(1, Repeat::Allowed, Fingerprint(7), GOOD);
        world.run(7_000);
        assert_eq!(world.dispatches(request), 2);
        assert_eq!(world.refusal(request), None);
    }
}

#[test]
fn when_many_targets_crash_together_no_request_is_suspected() {
    let mut world = World::new();
    let requests: Vec<RequestId> = (0..15)
        .map(|n| world.good(1 + n % ROUTERS, Repeat::Allowed))
        .collect();
    world.run(500);
    for target in world.targets.clone() {
        world.fleet.crash(target);
    }
    // If each router ran the requests alone, one after the other, they would take five times as long.
    world.run(15_000);
    for request in requests {
        assert_eq!(world.refusal(request), None);
    }
}

#[test]
fn routers_that_were_cut_off_or_restarted_hear_of_the_quarantine() {
    struct Case {
        name: &'static str,
        /// Whether router 3 is cut off during the quarantine, and not restarted after it.
        cut: bool,
        /// The time allowed until the router knows the quarantine, in milliseconds.
        within: u64,
    }
    let cases = [
        Case {
            name: "restarted with empty state",
            cut: false,
            within: 5_000,
        },
        Case {
            name: "cut off from the others while it happened",
            cut: true,
            within: 35_000,
        },
    ];
    for case in cases {
        let mut world = World::new();
        if case.cut {
            world.fleet.partition(&[RouterId(3)]);
            world.run(3_000);
        }
        world.submit(1, Repeat::Allowed, POISON, BAD);
        world.run(20_000);
        if case.cut {
            world.fleet.partition(&[]);
        } else {
            world.fleet.kill(RouterId(3));
            world.fleet.restart(RouterId(3));
        }
        world.run(case.within);
        assert_eq!(world.crashes().len(), 2, "{}", case.name);
        let again = world.bad(3);
        world.run(1_000);
        let expected = Refusal::not_run(Reason::Quarantined, None);
        assert_eq!(world.refusal(again), Some(expected), "{}", case.name);
    }
}
