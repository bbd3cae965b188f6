//! Parts of prompts that crash every target that begins to answer on them, in virtual time and without a network.
//!
//! No two requests are alike: a crashing part comes beside parts that sound requests share, in requests of the same
//! organisation, at any router. Targets are back after some seconds.

mod hosting;

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushtrestle_core::prelude::*;

use self::hosting::Fleet;

/// The first part of every prompt.
const COMMON: Fingerprint = Fingerprint(0xc0);
/// The second parts of sound prompts, which few requests share.
const SESSIONS: u64 = 40;
const CRASHING: [Fingerprint; 2] = [Fingerprint(0xbad), Fingerprint(0xbad2)];
/// How long routers may take to learn of a part after the fifth crash, and the requests with it that may be sent later.
const LEARN_TIME: Duration = Duration::from_secs(3);
const SENT_LATER_MAX: usize = 3;
/// The crashes from which `LEARN_TIME` counts.
const CRASHES: usize = 5;
/// The part of the sound requests that have to be dispatched once the part is known.
const SOUND_DISPATCHED_MIN: f64 = 0.95;

/// The offered load.
#[derive(Clone, Copy)]
struct Load {
    /// Requests per second of the fleet.
    rate: usize,
    /// How many of 1,000 requests have a crashing part.
    crashing_millis: u64,
    /// The number of crashing parts in use.
    crashing_parts: usize,
    /// Whether a request with a crashing part also names the session of sound requests.
    names_session: bool,
}

/// A request that was offered.
struct Offered {
    at: Time,
    request: RequestId,
    is_crashing: bool,
}

struct World {
    fleet: Fleet,
    load: Load,
    offered: Vec<Offered>,
    /// The routers to which nothing is offered.
    uncalled: BTreeSet<usize>,
    count: u64,
}

impl World {
    fn new(routers: usize, targets: u32, load: Load) -> Self {
        let mut fleet = Fleet::placed(&vec![250; routers], 3, (targets, 128), 0);
        fleet.generation_time = Duration::from_millis(150);
        fleet.crashing_parts.extend(CRASHING);
        let mut world = Self {
            fleet,
            load: Load {
                crashing_millis: 0,
                ..load
            },
            offered: Vec::new(),
            uncalled: BTreeSet::new(),
            count: 0,
        };
        world.run(2_000);
        world.load = load;
        world
    }

    /// Offers the load for a time, evenly spread over the routers.
    fn run(&mut self, millis: usize) {
        let mut owed = 0;
        for _ in 0..millis {
            owed += self.load.rate;
            while owed >= 1_000 {
                owed -= 1_000;
                self.offer();
            }
            self.fleet.step();
        }
    }

    fn offer(&mut self) {
        self.count += 1;
        let hash = self.count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let is_crashing = hash % 1_000 < self.load.crashing_millis;
        let routers = self.fleet.nodes.len();
        let at = usize::try_from(hash / 1_000).expect("fits") % routers;
        if self.uncalled.contains(&at) {
            return;
        }
        let session = Fingerprint(0x5e55 + self.count % SESSIONS);
        let crashing = CRASHING[self.count as usize % self.load.crashing_parts];
        let parts: &[Fingerprint] = match (is_crashing, self.load.names_session) {
            (false, _) => &[COMMON, session],
            (true, false) => &[COMMON, crashing],
            (true, true) => &[COMMON, crashing, session],
        };
        let organisation = ["one", "many", "small"][self.count as usize % 3];
        let request = self
            .fleet
            .submit_prompt(at, organisation, parts, Repeat::Unkeyed);
        self.offered.push(Offered {
            at: self.fleet.now,
            request,
            is_crashing,
        });
    }

    /// Returns when the fifth target crashed; the last if there were fewer.
    fn fifth_crash(&self) -> Time {
        let crashes = &self.fleet.crashes;
        let (at, _) = crashes[(CRASHES - 1).min(crashes.len() - 1)];
        at
    }

    /// Returns how many requests with a crashing part were sent to targets after a time.
    fn crashing_sent_after(&self, after: Time) -> usize {
        let crashing = self.offered.iter().filter(|offered| offered.is_crashing);
        let crashing: BTreeSet<RequestId> = crashing.map(|offered| offered.request).collect();
        let sent = self.fleet.dispatched.iter();
        sent.filter(|(at, _, _, request)| *at > after && crashing.contains(request))
            .count()
    }

    /// Returns the part of the sound requests offered after a time that were sent to a target.
    fn sound_dispatched_after(&self, after: Time) -> f64 {
        let dispatched = self.fleet.dispatched.iter();
        let dispatched: BTreeSet<RequestId> = dispatched.map(|(.., request)| *request).collect();
        let sound = self
            .offered
            .iter()
            .filter(|offered| !offered.is_crashing && offered.at > after);
        let (mut sent, mut all) = (0_u32, 0_u32);
        for offered in sound {
            all += 1;
            sent += u32::from(dispatched.contains(&offered.request));
        }
        f64::from(sent) / f64::from(all)
    }
}

/// Guards against a part of prompts that crashes one target after the other, because routers know requests only as a
/// whole, and of each crash only their own requests.
#[test]
fn few_requests_with_a_part_that_crashes_targets_are_sent_once_it_is_known() {
    struct Case {
        name: &'static str,
        routers: usize,
        targets: u32,
        load: Load,
    }
    let small = Load {
        rate: 300,
        crashing_millis: 15,
        crashing_parts: 1,
        names_session: false,
    };
    let cases = [
        Case {
            name: "one part, eight routers",
            routers: 8,
            targets: 18,
            load: small,
        },
        Case {
            name: "a rare part",
            routers: 8,
            targets: 18,
            load: Load {
                crashing_millis: 4,
                ..small
            },
        },
        Case {
            name: "two parts at once",
            routers: 8,
            targets: 18,
            load: Load {
                crashing_parts: 2,
                ..small
            },
        },
        Case {
            name: "a part that comes beside the parts of sound requests",
            routers: 8,
            targets: 18,
            load: Load {
                names_session: true,
                ..small
            },
        },
        Case {
            name: "a frequent part, sixty routers",
            routers: 60,
            targets: 90,
            load: Load {
                rate: 1_200,
                crashing_millis: 25,
                ..small
            },
        },
    ];
    for case in cases {
        let mut world = World::new(case.routers, case.targets, case.load);
        world.run(14_000);
        let learnt = world.fifth_crash() + LEARN_TIME;
        let later = world.crashing_sent_after(learnt);
        let sound = world.sound_dispatched_after(learnt);
        let crashes = world.fleet.crashes.len();
        println!(
            "{}: {crashes} crashes, {later} sent later, {sound:.3} of the sound ones sent",
            case.name
        );
        assert!(later <= SENT_LATER_MAX, "{}: {later} sent later", case.name);
        assert!(sound >= SOUND_DISPATCHED_MIN, "{}: {sound}", case.name);
    }
}

/// Guards against sound requests that are refused because targets crash by themselves.
#[test]
fn no_part_is_blamed_for_targets_that_crash_by_themselves() {
    struct Case {
        name: &'static str,
        /// The pause between two crashes, and how many targets crash at a time.
        every_ms: usize,
        at_once: u32,
    }
    let cases = [
        Case {
            name: "one after the other",
            every_ms: 250,
            at_once: 1,
        },
        Case {
            name: "a rack at a time",
            every_ms: 4_000,
            at_once: 6,
        },
        Case {
            name: "half of them again and again",
            every_ms: 3_200,
            at_once: 9,
        },
    ];
    let load = Load {
        rate: 300,
        crashing_millis: 0,
        crashing_parts: 1,
        names_session: false,
    };
    for case in cases {
        let mut world = World::new(8, 18, load);
        let mut next = 0;
        let targets: Vec<TargetId> = world.fleet.targets.keys().copied().collect();
        for _ in 0..12_000 / case.every_ms {
            for _ in 0..case.at_once {
                next = (next + 7) % targets.len();
                world.fleet.crash(targets[next], None);
            }
            world.run(case.every_ms);
        }
        let refused = world.fleet.refused.values();
        let blamed = refused
            .filter(|refusal| matches!(refusal.reason, Reason::Quarantined | Reason::PartBarred));
        assert_eq!(blamed.count(), 0, "{}", case.name);
    }
}
