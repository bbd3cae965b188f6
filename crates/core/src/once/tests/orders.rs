//! Random sequences of the events that affect claims.

use core::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed, TestRunner};

use super::*;

/// An event at three routers and their log. Routers are given by index.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// A request arrives at a router. The second number selects its key, counted back from the
    /// newest.
    Submit(usize, usize),
    /// A router issues a key.
    Issue(usize),
    /// A caller whose clock is ahead by this many milliseconds generates a key.
    Draw(u64),
    /// A router appends the steps that are due.
    Flush(usize),
    /// The oldest append of a router takes effect if the first flag is set. If it does not, the
    /// second flag says whether the router learns that it certainly had no effect.
    Answer(usize, bool, bool),
    /// The outcome of the oldest append of a router is unknown to it, and the append takes effect
    /// later.
    Delay(usize),
    /// The oldest delayed append takes effect.
    Land,
    /// A record is appended a second time, because its append was sent again. The number counts
    /// back from the newest record.
    Repeat(usize),
    /// A router reads this many records.
    Read(usize, usize),
    /// A router appends, receives the answer and reads the log to its tail, as in the absence of
    /// faults.
    Advance(usize),
    /// A request that may run is dispatched.
    Dispatch(usize),
    /// A request that may run is cancelled, and its key is released.
    Cancel(usize),
    /// The deadlines of all requests with pending claims pass.
    Expire(usize),
    /// A router restarts with a new incarnation.
    Restart(usize),
    /// The log drops this many of its oldest records.
    AgeOut(usize),
    /// This many milliseconds pass.
    Elapse(u64),
}

/// The claims of three routers, and their log.
struct Simulation {
    now: Time,
    routers: Vec<Router>,
    log: Vec<(Time, Vec<u8>)>,
    /// The first offset that the log still retains.
    first: usize,
    /// Delayed appends, which take effect later.
    late: VecDeque<Vec<u8>>,
    keys: Vec<Uuid>,
    next_request: u64,
    requests: BTreeMap<RequestId, Uuid>,
    /// How often the request of each key ran.
    runs: BTreeMap<Uuid, u32>,
    /// The number of refused requests.
    lost: u32,
}

struct Router {
    cx: Context,
    once: Once,
    applied: usize,
    may_run: VecDeque<RequestId>,
    unanswered: VecDeque<(AppendId, Vec<u8>)>,
}

impl Router {
    fn new(router: u32, incarnation: u64, now: Time) -> Self {
        let mut cx = context(router, incarnation);
        cx.now = now;
        let cfg = Config {
            keys_max: 4,
            window: Duration::ZERO,
            margin: Duration::from_millis(20),
            ahead_max: Duration::from_millis(10),
            ..Config::default()
        };
        let once = Once::new(&mut cx, cfg);
        Self {
            cx,
            once,
            applied: 0,
            may_run: VecDeque::new(),
            unanswered: VecDeque::new(),
        }
    }
}

impl Simulation {
    fn new() -> Self {
        let caller = |number| key(START.as_millis(), number).uuid();
        Self {
            now: START,
            routers: (1..=3).map(|id| Router::new(id, 1, START)).collect(),
            log: Vec::new(),
            first: 0,
            late: VecDeque::new(),
            keys: (0..3).map(caller).collect(),
            next_request: 0,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            lost: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        for router in &mut self.routers {
            router.cx.now = now;
        }
        match event {
            Event::Submit(at, number) => self.submit(at, number),
            Event::Issue(at) => {
                let key = self.routers[at].once.issue(now, ORG);
                self.keys.push(key);
            }
            Event::Draw(ahead) => {
                let number = self.keys.len() as u64;
                self.keys.push(key(now.as_millis() + ahead, number).uuid());
            }
            Event::Flush(at) => {
                let Router {
                    cx,
                    once,
                    unanswered,
                    ..
                } = &mut self.routers[at];
                once.flush(cx);
                unanswered.extend(appends(cx));
            }
            Event::Answer(at, effect, known) => self.answer(at, effect, known),
            Event::Delay(at) => {
                if let Some((id, bytes)) = self.routers[at].unanswered.pop_front() {
                    self.late.push_back(bytes);
                    self.routers[at]
                        .once
                        .on_append(now, log_status(now), id, false);
                }
            }
            Event::Land => {
                let late = self.late.pop_front();
                self.log.extend(late.map(|bytes| (now, bytes)));
            }
            Event::Repeat(back) => {
                let record = self.log.iter().nth_back(back).cloned();
                self.log.extend(record.map(|(_, bytes)| (now, bytes)));
            }
            Event::Read(at, count) => self.read(at, count),
            Event::Advance(at) => {
                self.apply(Event::Flush(at));
                self.apply(Event::Answer(at, true, true));
                self.apply(Event::Read(at, usize::MAX));
            }
            Event::Dispatch(at) => {
                let router = &mut self.routers[at];
                if let Some(request) = router.may_run.pop_front() {
                    router.once.finish(request);
                    *self.runs.entry(self.requests[&request]).or_default() += 1;
                }
            }
            Event::Cancel(at) => {
                let router = &mut self.routers[at];
                if let Some(request) = router.may_run.pop_front() {
                    router.once.release(&mut router.cx, request);
                }
            }
            Event::Expire(at) => {
                let router = &mut self.routers[at];
                for request in router.once.expired(Time::MAX) {
                    router.once.release(&mut router.cx, request);
                }
            }
            Event::Restart(at) => {
                let Router { cx, .. } = &self.routers[at];
                self.routers[at] = Router::new(cx.me.0, cx.incarnation.0 + 1, now);
            }
            Event::AgeOut(count) => self.first = (self.first + count).min(self.log.len()),
            Event::Elapse(millis) => self.now = now + Duration::from_millis(millis),
        }
    }

    fn submit(&mut self, at: usize, number: usize) {
        let key = self.keys[self.keys.len() - 1 - number];
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, key);
        let now = self.now;
        let router = &mut self.routers[at];
        let req = request(id, key);
        let admission = router
            .once
            .admit(&mut router.cx, log_status(now), &req, key, Time::MAX);
        match admission {
            Ok(Admission::Run) => router.may_run.push_back(id),
            Ok(Admission::Claiming) => {}
            Err(_) => self.lost += 1,
        }
    }

    fn answer(&mut self, at: usize, effect: bool, known: bool) {
        let now = self.now;
        let Some((id, bytes)) = self.routers[at].unanswered.pop_front() else {
            return;
        };
        if effect {
            self.log.push((now, bytes));
        }
        let settled = self.routers[at]
            .once
            .on_append(now, log_status(now), id, known && !effect);
        self.settle(at, settled);
    }

    fn read(&mut self, at: usize, count: usize) {
        let router = &mut self.routers[at];
        let from = router.applied.max(self.first);
        let to = from.saturating_add(count).min(self.log.len());
        let next = self.log[from..to].first().map(|(at, _)| *at);
        let (first, applied) = (Offset(self.first as u64), Offset(router.applied as u64));
        router.once.on_read(self.now, first, applied, next);
        router.applied = from;
        for offset in from..to {
            let (age, bytes) = self.log[offset].clone();
            let Ok(Record::Claims(batch)) = Record::decode(&bytes) else {
                panic!("only claims are appended");
            };
            let router = &mut self.routers[at];
            router.applied = offset + 1;
            router.once.on_age(Offset(offset as u64), age);
            let settled = router.once.on_record(&mut router.cx, &batch);
            self.settle(at, settled);
        }
    }

    fn settle(&mut self, at: usize, settled: Vec<Settled>) {
        for one in settled {
            match one {
                Settled::Won(request) => self.routers[at].may_run.push_back(request),
                Settled::Lost(..) => self.lost += 1,
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    let router = || 0..3_usize;
    prop_oneof![
        6 => (router(), 0..3_usize).prop_map(|(at, key)| Event::Submit(at, key)),
        1 => router().prop_map(Event::Issue),
        1 => (0..10_u64).prop_map(Event::Draw),
        4 => router().prop_map(Event::Flush),
        4 => (router(), any::<bool>(), any::<bool>())
            .prop_map(|(at, effect, known)| Event::Answer(at, effect, known)),
        2 => router().prop_map(Event::Delay),
        2 => Just(Event::Land),
        2 => (0..3_usize).prop_map(Event::Repeat),
        4 => (router(), 1..4_usize).prop_map(|(at, count)| Event::Read(at, count)),
        6 => router().prop_map(Event::Advance),
        6 => router().prop_map(Event::Dispatch),
        2 => router().prop_map(Event::Cancel),
        1 => router().prop_map(Event::Expire),
        1 => router().prop_map(Event::Restart),
        1 => (1..3_usize).prop_map(Event::AgeOut),
        3 => (0..8_u64).prop_map(Event::Elapse),
    ]
}

#[test]
fn no_order_of_events_runs_a_key_twice() {
    let cfg = ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let (ran, lost) = (Cell::new(0), Cell::new(0));
    let result = TestRunner::new(cfg).run(&prop::collection::vec(event(), 50..150), |events| {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
            let most = simulation.runs.values().max().copied().unwrap_or(0);
            prop_assert!(most <= 1, "{:?}", simulation.runs);
        }
        ran.set(ran.get() + simulation.runs.len());
        lost.set(lost.get() + simulation.lost);
        Ok(())
    });
    assert_eq!(result, Ok(()));
    assert!(ran.get() > 1_000, "{} keys ran", ran.get());
    assert!(lost.get() > 1_000, "{} requests lost", lost.get());
}
