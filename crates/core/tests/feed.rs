//! Fleets of routers that pass on the records of a store, in virtual time and without a network.
//!
//! A router that the node does not spare it reads a topic at intervals, and at once if there is a new record, as a read that
//! waits does. A frame takes 2 ms, a call of the store 4 ms.

#[path = "hosting/mod.rs"]
mod hosting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bulrushtrestle_core::feed::{Record, Topic};
use bulrushtrestle_core::input::{FeedEvent, Input, StoreEvent, Vm, VmRole};
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;

const STEP: Duration = Duration::from_millis(1);
const FRAME_TIME: Duration = Duration::from_millis(2);
const CALL_TIME: Duration = Duration::from_millis(4);
/// The largest fleet in which all routers exchange heartbeats, as the daemon configures it on a hosting platform.
const MESH_MAX: usize = 15;
const DATA_CENTRES: u32 = 5;
/// The time within which every router has to know of a target that leaves, and of a new configuration, on the users' small
/// fleets; on large ones it is longer.
const KNOWN_WITHIN: Duration = Duration::from_millis(2_000);
/// The pause before a failed read is repeated.
const RETRY: Duration = Duration::from_millis(250);

/// An answer of the store to a router's read.
struct Answer {
    reader: usize,
    topic: Topic,
    records: Vec<Record>,
    end: Offset,
    asked: Time,
}

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    /// Frames by the time of arrival: receiver, sender, bytes.
    frames: BTreeMap<Time, Vec<(usize, RouterId, Vec<u8>)>>,
    /// Answers of the store by the time of arrival.
    answers: BTreeMap<Time, Vec<Answer>>,
    wakes: BTreeSet<(Time, usize)>,
    /// The records of each topic, in order, with the time of their writing.
    log: [Vec<(Time, Record)>; Topic::ALL.len()],
    /// When each router reads each topic next by itself.
    next_read: Vec<[Time; Topic::ALL.len()]>,
    /// Routers that the store turns away.
    turned_away: BTreeSet<usize>,
    /// Routers that do nothing.
    dead: BTreeSet<usize>,
    /// Routers whose frames are lost.
    mute: BTreeSet<usize>,
    /// How much later frames arrive at a router.
    delay: BTreeMap<usize, Duration>,
    calls: u64,
    /// The offsets that each router has applied, by topic, with the time.
    applied: Vec<BTreeMap<(usize, Offset), Time>>,
}

impl Fleet {
    fn new(routers: u32) -> Self {
        let now = Time::from_millis(1_800_000_000_000);
        let nodes = (1..=routers).map(|me| {
            let mut cfg = Config::new(RouterId(me), Incarnation(1));
            cfg.log.source = CatalogueSource::Store;
            cfg.slots.policy = Policy::Local;
            cfg.membership.mesh_max = MESH_MAX;
            cfg.data_centre = format!("dc-{}", me % DATA_CENTRES);
            cfg.caller_address = format!("127.0.0.1:{me}");
            Node::new(cfg, now, u64::from(me))
        });
        let mut fleet = Self {
            now,
            nodes: nodes.collect(),
            frames: BTreeMap::new(),
            answers: BTreeMap::new(),
            wakes: BTreeSet::new(),
            log: Default::default(),
            next_read: vec![[now; Topic::ALL.len()]; routers as usize],
            turned_away: BTreeSet::new(),
            dead: BTreeSet::new(),
            mute: BTreeSet::new(),
            delay: BTreeMap::new(),
            calls: 0,
            applied: vec![BTreeMap::new(); routers as usize],
        };
        let vms: Vec<Vm> = (1..=routers)
            .map(|id| Vm {
                id,
                role: VmRole::Router,
                address: format!("127.0.0.1:{}", 7_000 + id),
                data_centre: format!("dc-{}", id % DATA_CENTRES),
                leaving: false,
            })
            .collect();
        for topic in Topic::ALL {
            fleet.write(topic, "first", 1);
        }
        for at in 0..fleet.nodes.len() {
            fleet.input(at, Input::Vms(vms.clone()));
            // The routers are ready once they know a route.
            fleet.input(
                at,
                Input::Store(StoreEvent::Changed(vec![hosting::configuration(0)])),
            );
        }
        fleet.run(Duration::from_secs(4));
        fleet
    }

    fn write(&mut self, topic: Topic, key: &str, says: u64) -> Offset {
        let log = &mut self.log[topic.index()];
        let offset = Offset(log.len() as u64);
        let record = Record {
            key: key.to_owned(),
            offset,
            value: Some(vec![1; 200]),
            digest: says,
        };
        log.push((self.now, record));
        offset
    }

    fn input(&mut self, at: usize, input: Input) {
        if self.dead.contains(&at) {
            return;
        }
        let mut out = Vec::new();
        self.nodes[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Peer { to, bytes } => {
                    let to = to.0 as usize - 1;
                    if !self.mute.contains(&at) {
                        let extra = self.delay.get(&to).copied().unwrap_or_default();
                        let due = self.now + FRAME_TIME + extra;
                        let from = RouterId(u32::try_from(at + 1).expect("few routers"));
                        self.frames.entry(due).or_default().push((to, from, bytes));
                    }
                }
                Output::Wake(wake) => drop(self.wakes.insert((wake, at))),
                Output::Records { topic, records, .. } => {
                    for record in records {
                        let key = (topic.index(), record.offset);
                        self.applied[at].entry(key).or_insert(self.now);
                    }
                }
                Output::Complete {
                    topic,
                    known,
                    as_of,
                    ..
                } => self.complete(at, topic, known, as_of),
                _ => {}
            }
        }
    }

    /// Passes the news on as the daemon does, and checks that it is true.
    fn complete(&mut self, at: usize, topic: Topic, known: Offset, as_of: Time) {
        let log = &self.log[topic.index()];
        let missing = log
            .iter()
            .find(|(written, it)| *written < as_of && it.offset >= known);
        assert_eq!(
            missing, None,
            "router {at} takes {topic:?} as complete below {known}"
        );
        let event = match topic {
            Topic::Operators => StoreEvent::Current {
                known,
                asked: as_of,
            },
            Topic::Targets => StoreEvent::TargetsRead { asked: as_of },
            Topic::Routers => return,
        };
        self.input(at, Input::Store(event));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (to, from, bytes) in self.frames.remove(&now).unwrap_or_default() {
            self.input(to, Input::Peer { from, bytes });
        }
        for answer in self.answers.remove(&now).unwrap_or_default() {
            let topic = answer.topic;
            let records = FeedEvent::Records {
                topic,
                records: answer.records,
                all_below: None,
            };
            self.input(answer.reader, Input::Feed(records));
            let complete = FeedEvent::Complete {
                topic,
                known: answer.end,
                asked: answer.asked,
            };
            self.input(answer.reader, Input::Feed(complete));
        }
        while let Some(&(wake, at)) = self.wakes.first()
            && wake <= now
        {
            self.wakes.retain(|&(wake, of)| of != at || wake > now);
            self.input(at, Input::Timer);
        }
        for at in 0..self.nodes.len() {
            for topic in Topic::ALL {
                self.read_if_due(at, topic);
            }
        }
    }

    fn read_if_due(&mut self, at: usize, topic: Topic) {
        let now = self.now;
        let feed = self.nodes[at].feed();
        let is_fed = feed.fed_until(topic).is_some_and(|until| until > now);
        if self.dead.contains(&at) || is_fed {
            return;
        }
        let known = feed.known(topic);
        let log = &self.log[topic.index()];
        let has_new = topic != Topic::Targets && log.len() as u64 > known.0;
        let next = &mut self.next_read[at][topic.index()];
        if now < *next && !(has_new && *next > now + RETRY) {
            return;
        }
        let pause = match topic {
            Topic::Operators => 1_000,
            Topic::Targets if feed.is_source(now) => 400,
            Topic::Targets => 800,
            Topic::Routers => 5_000,
        };
        self.calls += 1;
        if self.turned_away.contains(&at) {
            *next = now + RETRY;
            self.input(at, Input::Feed(FeedEvent::Failed(topic)));
            return;
        }
        *next = now + Duration::from_millis(pause);
        let records = log.iter().skip(known.0 as usize);
        let records = records.map(|(_, record)| record.clone()).collect();
        let answer = Answer {
            reader: at,
            topic,
            records,
            end: Offset(log.len() as u64),
            asked: now,
        };
        self.answers
            .entry(now + CALL_TIME)
            .or_default()
            .push(answer);
    }

    /// Returns how many calls of the store the fleet makes in a second, while targets write.
    fn calls_per_s(&mut self) -> u64 {
        let before = self.calls;
        for _ in 0..50 {
            self.write(Topic::Targets, "first", 1);
            self.run(Duration::from_millis(100));
        }
        (self.calls - before) / 5
    }

    /// Returns the routers that others rely on.
    fn sources(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&at| self.nodes[at].feed().is_source(self.now))
            .collect()
    }

    /// Writes a record, and asserts that all running routers but `except` learn it in time.
    fn assert_known(&mut self, topic: Topic, except: &BTreeSet<usize>, case: &str) {
        let written = self.now;
        let offset = self.write(topic, "second", written.as_millis());
        self.run(KNOWN_WITHIN);
        for (at, applied) in self.applied.iter().enumerate() {
            if self.dead.contains(&at) || except.contains(&at) {
                continue;
            }
            let when = applied.get(&(topic.index(), offset));
            let took = when.map(|when| when.since(written));
            assert!(
                took.is_some(),
                "{case}: router {at} does not know the record of {topic:?}"
            );
        }
    }
}

#[test]
fn calls_of_the_store_do_not_grow_with_the_fleet() {
    let calls: Vec<u64> = [30, 120]
        .into_iter()
        .map(|routers| Fleet::new(routers).calls_per_s())
        .collect();
    // Two relays in each of five data centres, at either size: 2.5, 1 and 0.2 calls a second of each.
    assert!(calls[0] <= 40, "{calls:?}");
    assert!(calls[1] as f64 <= 1.2 * calls[0] as f64, "{calls:?}");
}

#[test]
fn all_routers_know_a_record_in_time_whatever_happens_to_those_that_read_it() {
    struct Case {
        name: &'static str,
        harm: fn(&mut Fleet, usize),
        /// Which part of the sources is harmed.
        of_ten: usize,
        /// Whether the harmed ones have to know it too.
        harmed_know: bool,
    }
    let case = |name, harm, of_ten, harmed_know| Case {
        name,
        harm,
        of_ten,
        harmed_know,
    };
    let kill = |fleet: &mut Fleet, at| assert!(fleet.dead.insert(at));
    let mute = |fleet: &mut Fleet, at| assert!(fleet.mute.insert(at));
    let turn_away = |fleet: &mut Fleet, at| assert!(fleet.turned_away.insert(at));
    let delay = |fleet: &mut Fleet, at| {
        fleet.delay.insert(at, Duration::from_millis(700));
    };
    let cases = [
        case("none", |_, _| {}, 10, true),
        case("some killed", kill, 5, false),
        case("all killed", kill, 10, false),
        case("all cut one way", mute, 10, true),
        case("some turned away", turn_away, 5, true),
        case("all turned away", turn_away, 10, false),
        case("frames late", delay, 10, true),
    ];
    for Case {
        name,
        harm,
        of_ten,
        harmed_know,
    } in cases
    {
        for topic in Topic::ALL {
            let mut fleet = Fleet::new(40);
            let sources = fleet.sources();
            assert!(sources.len() >= 5, "{name}: {sources:?}");
            let harmed: BTreeSet<usize> = sources
                .iter()
                .copied()
                .take(sources.len() * of_ten / 10)
                .collect();
            for &at in &harmed {
                harm(&mut fleet, at);
            }
            let except = if harmed_know { BTreeSet::new() } else { harmed };
            fleet.assert_known(topic, &except, name);
        }
    }
}

#[test]
fn a_router_that_the_store_turns_away_learns_from_peers() {
    for routers in [7, 40] {
        let mut fleet = Fleet::new(routers);
        // More than half, as was seen.
        for at in 0..fleet.nodes.len() * 4 / 7 {
            fleet.turned_away.insert(at);
        }
        fleet.run(Duration::from_secs(1));
        for _ in 0..3 {
            for topic in [Topic::Operators, Topic::Targets] {
                fleet.assert_known(topic, &BTreeSet::new(), "turned away");
            }
        }
        let all = fleet.nodes.iter().enumerate();
        let unready: Vec<usize> = all
            .filter(|(_, it)| !it.is_ready())
            .map(|(at, _)| at)
            .collect();
        assert_eq!(unready, Vec::<usize>::new(), "they go on serving");
    }
}

#[test]
fn a_source_that_wakes_from_a_freeze_misleads_nobody() {
    let mut fleet = Fleet::new(40);
    let frozen: Vec<usize> = fleet.sources();
    fleet.dead.extend(frozen.iter().copied());
    fleet.assert_known(Topic::Targets, &BTreeSet::new(), "frozen");
    // What was sent to them meanwhile is lost; every answer that they give is checked by the fixture.
    fleet.dead.clear();
    fleet.run(Duration::from_secs(2));
    fleet.assert_known(Topic::Targets, &BTreeSet::new(), "awake");
}
