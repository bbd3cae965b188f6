//! Tests of the lease: several routers, a topic that can be restored, and an endpoint that records what
//! arrives, without a network.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Config, Duties, DutyCall, DutyEvent, DutyOrder, DutyResult, HOLDER, Standing};
use crate::feed::Record;
use crate::output::Output;
use crate::prelude::*;

/// The time of a step, and of each way of a message, in milliseconds.
const STEP_MS: u64 = 10;
/// After this time a call of the store has failed, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 800;
const LEASE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Act {
    Kill(usize),
    /// Kills a router and starts a new run of it.
    Restart(usize),
    Freeze(usize),
    Wake(usize),
    CutFromStore(usize),
    JoinStore(usize),
    CutFromEndpoint(usize),
    /// The answer to the router's next append is lost.
    LoseAnswer(usize),
    /// The router's next append has no answer and is executed after this time, in milliseconds.
    DelayAppend(usize, u64),
    StoreDown,
    StoreUp,
    /// The store is restored from a copy without its last records.
    Restore(usize),
    /// The endpoint has seen a number that is higher by this.
    RaiseFence(u64),
    Suspend(usize),
}

enum Event {
    Topic(DutyEvent),
    Answer(u64, DutyResult),
    Start(DutyCall),
}

struct Router {
    cx: Context,
    duties: Duties,
    is_up: bool,
    is_frozen: bool,
    has_store: bool,
    has_endpoint: bool,
    loses_answer: bool,
    append_delay: Option<u64>,
    /// What reaches the router, and when.
    events: Vec<(u64, Event)>,
    /// A read that waits for a record: from where, and until when.
    poll: Option<(Offset, u64)>,
}

/// A call that reached the endpoint.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    router: usize,
    fence: Fence,
    is_accepted: bool,
}

struct Fleet {
    now: u64,
    routers: Vec<Router>,
    era: u64,
    topic: Vec<(String, Vec<u8>)>,
    is_store_up: bool,
    /// Appends that are executed later: when, by whom, the record and its offset.
    late: Vec<(u64, String, Vec<u8>, Option<Offset>)>,
    checks_fence: bool,
    highest: Fence,
    arrivals: Vec<Arrival>,
}

fn router(index: usize, incarnation: u64) -> Router {
    let id = RouterId(u32::try_from(index).expect("few"));
    let rng = ChaCha8Rng::seed_from_u64(incarnation);
    Router {
        cx: Context::new(id, Incarnation(incarnation), rng),
        duties: Duties::new(Config::default()),
        is_up: true,
        is_frozen: false,
        has_store: true,
        has_endpoint: true,
        loses_answer: false,
        append_delay: None,
        events: Vec::new(),
        poll: None,
    }
}

impl Fleet {
    fn new(routers: usize, checks_fence: bool) -> Self {
        Self {
            now: 1_000_000,
            routers: (0..routers).map(|index| router(index, 1)).collect(),
            era: 0,
            topic: Vec::new(),
            is_store_up: true,
            late: Vec::new(),
            checks_fence,
            highest: Fence(0),
            arrivals: Vec::new(),
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Kill(at) => self.routers[at].is_up = false,
            Act::Restart(at) => self.routers[at] = router(at, self.now),
            Act::Freeze(at) => self.routers[at].is_frozen = true,
            Act::Wake(at) => self.routers[at].is_frozen = false,
            Act::CutFromStore(at) => self.routers[at].has_store = false,
            Act::JoinStore(at) => self.routers[at].has_store = true,
            Act::CutFromEndpoint(at) => self.routers[at].has_endpoint = false,
            Act::LoseAnswer(at) => self.routers[at].loses_answer = true,
            Act::DelayAppend(at, ms) => self.routers[at].append_delay = Some(ms),
            Act::StoreDown => self.is_store_up = false,
            Act::StoreUp => self.is_store_up = true,
            Act::Restore(lost) => {
                let kept = self.topic.len().saturating_sub(lost);
                self.topic.truncate(kept);
                self.era += 1;
            }
            Act::RaiseFence(by) => self.highest.0 += by,
            Act::Suspend(at) => {
                let event = Event::Topic(DutyEvent::Suspended);
                self.routers[at].events.push((self.now, event));
            }
        }
    }

    fn end(&self) -> Offset {
        Offset(self.topic.len() as u64)
    }

    fn append(&mut self, key: String, value: Vec<u8>, at: Option<Offset>) -> DutyEvent {
        let era = self.era;
        match at == Some(self.end()) {
            true => {
                self.topic.push((key, value));
                DutyEvent::Appended { era }
            }
            false => DutyEvent::OffsetMismatch { era },
        }
    }

    /// Returns what a read from an offset, or of the newest records, answers.
    fn read(&self, from: Option<Offset>) -> DutyEvent {
        let from = from.filter(|from| *from <= self.end());
        let skipped = usize::try_from(from.unwrap_or_default().0).expect("small");
        let all = self.topic.iter().enumerate().skip(skipped);
        let records = all.map(|(offset, (key, value))| Record {
            key: key.clone(),
            offset: Offset(offset as u64),
            value: Some(value.clone()),
            digest: 0,
        });
        let mut records: Vec<Record> = records.collect();
        if from.is_none() {
            // Only the newest record of each key.
            let newest = |key: &str| self.topic.iter().rposition(|(it, _)| it == key);
            records.retain(|record| newest(&record.key) == Some(record.offset.0 as usize));
        }
        DutyEvent::Read {
            era: self.era,
            all: from.is_none(),
            records,
            end: self.end(),
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let due = |it: &mut (u64, _, _, _)| it.0 <= now;
        for (_, key, value, at) in self.late.extract_if(.., due).collect::<Vec<_>>() {
            if self.is_store_up {
                self.append(key, value, at);
            }
        }
        for index in 0..self.routers.len() {
            self.answer_poll(index);
            let router = &self.routers[index];
            if router.is_up && !router.is_frozen {
                self.run_router(index);
            }
        }
    }

    /// Answers a waiting read if there is a record, the time is over, or the offset is unknown.
    fn answer_poll(&mut self, index: usize) {
        let Some((from, until)) = self.routers[index].poll else {
            return;
        };
        let reaches = self.is_store_up && self.routers[index].has_store;
        let event = match reaches {
            true if from != self.end() || self.now >= until => self.read(Some(from)),
            false if self.now >= until + STORE_TIMEOUT_MS => DutyEvent::ReadFailed,
            _ => return,
        };
        let router = &mut self.routers[index];
        router.poll = None;
        router
            .events
            .push((self.now + STEP_MS, Event::Topic(event)));
    }

    fn run_router(&mut self, index: usize) {
        let now = self.now;
        let due = |it: &mut (u64, Event)| it.0 <= now;
        let events: Vec<_> = self.routers[index].events.extract_if(.., due).collect();
        self.routers[index].cx.now = Time::from_millis(now);
        for (_, event) in events {
            let router = &mut self.routers[index];
            match event {
                Event::Topic(event) => drop(router.duties.on_event(&mut router.cx, event)),
                Event::Answer(id, result) => {
                    drop(router.duties.on_answer(&mut router.cx, id, result));
                }
                Event::Start(call) => self.call(index, &call),
            }
        }
        let router = &mut self.routers[index];
        let time = router.cx.now;
        let holder = router.duties.holder(time);
        let before = (0..index).filter(|&other| holder != Some(RouterId(other as u32)));
        let rank = u32::try_from(before.count()).expect("few");
        router
            .duties
            .advance(&mut router.cx, Standing::Candidate(rank));
        if router.duties.held(time).is_some() {
            router.duties.send(DutyOrder::Scale {
                pool: PoolId(1),
                data_centre: "a".to_owned(),
                desired: 1,
            });
            router.duties.start_calls(&mut router.cx);
        }
        for output in core::mem::take(&mut router.cx.out) {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        let (now, later) = (self.now, self.now + STEP_MS);
        let reaches = self.is_store_up && self.routers[index].has_store;
        let failed = now + STORE_TIMEOUT_MS;
        match output {
            Output::DutyRead {
                from: Some(from),
                wait,
            } => {
                let wait = u64::try_from(wait.as_millis()).expect("short");
                self.routers[index].poll = Some((from, now + wait));
            }
            Output::DutyRead { from: None, .. } => {
                let event = match reaches {
                    true => (later, Event::Topic(self.read(None))),
                    false => (failed, Event::Topic(DutyEvent::ReadFailed)),
                };
                self.routers[index].events.push(event);
            }
            Output::DutyRecord { key, value, at } => {
                let lost = (failed, Event::Topic(DutyEvent::AppendUnknown));
                let delay = self.routers[index].append_delay.take();
                let event = match (reaches, delay) {
                    (false, _) => lost,
                    (true, Some(delay)) => {
                        self.late.push((now + delay, key, value, at));
                        lost
                    }
                    (true, None) => {
                        let event = self.append(key, value, at);
                        match core::mem::take(&mut self.routers[index].loses_answer) {
                            true => lost,
                            // A waiting read may show the record before.
                            false => (now + 4 * STEP_MS, Event::Topic(event)),
                        }
                    }
                };
                self.routers[index].events.push(event);
            }
            // A router may freeze between the decision and the start of the call.
            Output::DutyCall(call) => {
                self.routers[index].events.push((later, Event::Start(call)));
            }
            _ => {}
        }
    }

    /// Makes a call like the daemon: the clock is read right before.
    fn call(&mut self, index: usize, call: &DutyCall) {
        let now = self.now;
        let is_late = Time::from_millis(now) >= call.start_before;
        let timeout = u64::try_from(Config::default().call_timeout.as_millis()).expect("short");
        let event = match (is_late, self.routers[index].has_endpoint) {
            (true, _) => (now, Event::Answer(call.id, DutyResult::Unknown)),
            (false, false) => (now + timeout, Event::Answer(call.id, DutyResult::Unknown)),
            (false, true) => {
                let is_accepted = !self.checks_fence || call.fence >= self.highest;
                self.arrivals.push(Arrival {
                    at: now,
                    router: index,
                    fence: call.fence,
                    is_accepted,
                });
                self.highest = self.highest.max(call.fence);
                let result = match is_accepted {
                    true => DutyResult::Accepted,
                    false => DutyResult::Fenced,
                };
                (now + STEP_MS, Event::Answer(call.id, result))
            }
        };
        self.routers[index].events.push(event);
    }

    fn run(&mut self, until: u64, acts: &[(u64, Act)]) {
        let start = self.now;
        for &(at, act) in acts {
            while self.now < start + at {
                self.step();
            }
            self.act(act);
        }
        while self.now < start + until {
            self.step();
        }
    }

    /// Checks what must hold whatever fails.
    fn check(&self, name: &str) {
        let mut users = std::collections::BTreeMap::new();
        let mut highest = Fence(0);
        let mut terms: Vec<(usize, u64, u64)> = Vec::new();
        for arrival in &self.arrivals {
            let user = *users.entry(arrival.fence).or_insert(arrival.router);
            assert_eq!(user, arrival.router, "{name}: two routers used a number");
            assert!(arrival.fence >= highest, "{name}: a lower number came late");
            highest = highest.max(arrival.fence);
            match terms.last_mut() {
                Some((router, _, last)) if *router == arrival.router => *last = arrival.at,
                _ => terms.push((arrival.router, arrival.at, arrival.at)),
            }
        }
        for three in terms.windows(3) {
            let apart = Duration::from_millis(three[2].1 - three[0].2);
            assert!(
                three[0].0 != three[2].0 || apart >= LEASE,
                "{name}: A, B, A"
            );
        }
    }

    /// Returns the routers whose calls arrived, in order and without repeats.
    fn holders(&self) -> Vec<usize> {
        let mut holders: Vec<usize> = self.arrivals.iter().map(|it| it.router).collect();
        holders.dedup();
        holders
    }

    /// Returns the longest time without an accepted call, in milliseconds.
    fn longest_gap(&self) -> u64 {
        let accepted = self.arrivals.iter().filter(|it| it.is_accepted);
        let mut times: Vec<u64> = accepted.map(|it| it.at).collect();
        times.push(self.now);
        let gaps = times.windows(2).map(|two| two[1] - two[0]);
        gaps.max().unwrap_or(0)
    }
}

struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    acts: &'static [(u64, Act)],
    /// The routers whose calls arrive within 60 s.
    holders: &'static [usize],
    /// The longest time without an accepted call that is allowed, in milliseconds.
    gap_max: u64,
}

const CASES: [Case; 21] = [
    Case {
        name: "nothing fails",
        acts: &[],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "the holder is killed",
        acts: &[(20_000, Act::Kill(0))],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the holder and the next candidate are killed",
        acts: &[(20_000, Act::Kill(0)), (20_000, Act::Kill(1))],
        holders: &[0, 2],
        gap_max: 7_000,
    },
    Case {
        name: "the holder is restarted and does not take its former term for its own",
        acts: &[(20_000, Act::Restart(0))],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the whole fleet is restarted",
        acts: &[
            (20_000, Act::Restart(0)),
            (20_000, Act::Restart(1)),
            (20_000, Act::Restart(2)),
        ],
        holders: &[0],
        gap_max: 7_500,
    },
    Case {
        name: "the holder is frozen and woken after another has begun",
        acts: &[(20_000, Act::Freeze(0)), (30_000, Act::Wake(0))],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the holder is frozen and woken between its term and the margin's end",
        acts: &[(20_000, Act::Freeze(0)), (25_900, Act::Wake(0))],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the holder is cut off from the store alone",
        acts: &[(20_000, Act::CutFromStore(0)), (40_000, Act::JoinStore(0))],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the holder is cut off from the endpoint alone, for two terms and until others claim",
        acts: &[(20_000, Act::CutFromEndpoint(0))],
        holders: &[0, 1],
        gap_max: 19_800,
    },
    Case {
        name: "the store is gone for longer than a term",
        acts: &[(20_000, Act::StoreDown), (32_000, Act::StoreUp)],
        holders: &[0],
        gap_max: 10_000,
    },
    Case {
        name: "the era is raised while the holder runs; others wait, it goes on",
        acts: &[(20_000, Act::Restore(3))],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "two restores in a row forget all claims",
        acts: &[(20_000, Act::Restore(99)), (20_500, Act::Restore(99))],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "the store forgets all claims and the holder is killed at once",
        acts: &[(20_000, Act::Restore(99)), (20_000, Act::Kill(0))],
        holders: &[0, 1],
        gap_max: 8_000,
    },
    Case {
        name: "the store forgets all claims; a new router waits for the holder that still acts",
        acts: &[
            (20_000, Act::CutFromStore(0)),
            (20_000, Act::Restore(99)),
            (20_000, Act::Restart(1)),
            (20_000, Act::Kill(2)),
        ],
        holders: &[0, 1],
        gap_max: 7_000,
    },
    Case {
        name: "the answer of the first claim is lost",
        acts: &[(0, Act::LoseAnswer(0))],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "the answer of a renewal is lost",
        acts: &[(20_000, Act::LoseAnswer(0))],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "a claim is executed after another's claim",
        acts: &[(0, Act::DelayAppend(0, 1_500))],
        holders: &[1],
        gap_max: 100,
    },
    Case {
        name: "a renewal is executed after its answer was given up",
        acts: &[(20_000, Act::DelayAppend(0, 1_500))],
        holders: &[0],
        gap_max: 100,
    },
    Case {
        name: "a renewal is executed after the holder was killed",
        acts: &[(20_000, Act::DelayAppend(0, 4_000)), (21_000, Act::Kill(0))],
        holders: &[0, 1],
        gap_max: 11_000,
    },
    Case {
        name: "the VM of the holder was suspended",
        acts: &[(20_000, Act::Suspend(0))],
        holders: &[0],
        gap_max: 7_000,
    },
    Case {
        name: "the endpoint knows a higher number",
        acts: &[(20_000, Act::RaiseFence(2))],
        holders: &[0],
        gap_max: 8_000,
    },
];

/// Guards against two holders at a time, a number used twice, and a lease that nobody takes over, by the
/// failure that each case names.
#[test]
fn the_lease_has_one_holder_whatever_fails() {
    for case in CASES {
        let mut fleet = Fleet::new(3, case.name.contains("higher number"));
        fleet.run(60_000, case.acts);
        fleet.check(case.name);
        assert_eq!(fleet.holders(), case.holders, "{}", case.name);
        let gap = fleet.longest_gap();
        assert!(
            gap <= case.gap_max,
            "{}: {gap} ms without a call",
            case.name
        );
    }
}

/// Guards against a combination of failures that no case names: numbers must never be shared or come late
/// although the endpoint checks none.
#[test]
fn random_failures_never_give_two_holders() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(3, false);
        for _ in 0..60 {
            let at = rng.random_range(0..3);
            let act = match rng.random_range(0..16) {
                0 => Act::Restart(at),
                1 | 2 => Act::Freeze(at),
                3 | 4 => Act::Wake(at),
                5 => Act::CutFromStore(at),
                6 | 7 => Act::JoinStore(at),
                8 => Act::LoseAnswer(at),
                9 => Act::DelayAppend(at, rng.random_range(100..12_000)),
                10 => Act::StoreDown,
                11 | 12 => Act::StoreUp,
                13 => Act::Restore(rng.random_range(0..8)),
                14 => Act::Suspend(at),
                _ => Act::LoseAnswer(at),
            };
            fleet.act(act);
            let pause = rng.random_range(0..4_000);
            fleet.run(pause, &[]);
        }
        fleet.check(&format!("seed {seed}"));
        assert!(
            !fleet.arrivals.is_empty(),
            "seed {seed}: nobody was the holder"
        );
    }
}

/// Guards against a claim by a number that another router may use: a record that cannot be read leaves
/// the lease alone.
#[test]
fn an_unreadable_record_of_the_lease_is_left_alone() {
    let mut fleet = Fleet::new(2, false);
    fleet.topic.push((HOLDER.to_owned(), b"{}".to_vec()));
    fleet.run(20_000, &[]);
    assert!(fleet.arrivals.is_empty());
    assert_eq!(fleet.topic.len(), 1);
}
