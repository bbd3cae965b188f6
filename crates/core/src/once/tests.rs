//! Tests of claims: tables of single decisions, and random orders of everything that can happen.

use core::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::issue::Origin;
use super::message::{Step, StepKind};
use super::*;
use crate::output::Output;
use crate::prelude::*;
use crate::record::Record;

const START: Time = Time::from_millis(1_800_000_000_000);
const ORG: OrganisationId = OrganisationId(1);

fn key(millis: u64, number: u64) -> Key {
    let high = millis << 16 | 0x7000;
    Key::new(ORG, Uuid::from_u64_pair(high, 1 << 63 | number)).expect("it is of version 7")
}

fn step(kind: StepKind, key: Key, number: u64) -> Step {
    Step {
        kind,
        organisation: ORG,
        key: key.uuid(),
        number,
    }
}

/// Returns the surroundings of a run of a router.
fn context(router: u32, incarnation: u64) -> Context {
    let rng = ChaCha8Rng::seed_from_u64(7);
    let mut cx = Context::new(RouterId(router), Incarnation(incarnation), rng);
    cx.now = START;
    cx
}

#[test]
fn the_order_of_the_log_decides_who_holds_a_key() {
    use Fold::{Held, Lost, Released};
    use StepKind::{Claim, Release};
    const A: (RouterId, Incarnation) = (RouterId(1), Incarnation(1));
    const AGAIN: (RouterId, Incarnation) = (RouterId(1), Incarnation(2));
    const B: (RouterId, Incarnation) = (RouterId(2), Incarnation(1));
    struct Case {
        name: &'static str,
        steps: &'static [((RouterId, Incarnation), StepKind, u64, Fold)],
        held: usize,
    }
    let cases = [
        Case {
            name: "the first claim holds, the second is lost for good",
            steps: &[
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
                (A, Release, 0, Released),
            ],
            held: 0,
        },
        Case {
            name: "a claim after the release holds",
            steps: &[
                (A, Claim, 0, Held),
                (A, Release, 0, Released),
                (B, Claim, 0, Held),
            ],
            held: 1,
        },
        Case {
            name: "a record that stands in the log twice changes nothing",
            steps: &[
                (A, Claim, 0, Held),
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "a late release does not undo a later claim of the same run",
            steps: &[
                (A, Claim, 0, Held),
                (A, Release, 0, Released),
                (A, Claim, 1, Held),
                (A, Release, 0, Released),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "only the holder releases, and a restarted router is not the holder",
            steps: &[
                (A, Claim, 0, Held),
                (B, Release, 0, Released),
                (AGAIN, Release, 0, Released),
                (AGAIN, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "a release before its claim undoes nothing",
            steps: &[
                (A, Release, 0, Released),
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
    ];
    for case in cases {
        let mut claims = Claims::new(10);
        let key = key(START.as_millis(), 1);
        for &(run, kind, number, fold) in case.steps {
            let step = step(kind, key, number);
            assert_eq!(claims.apply(run, key, &step), fold, "{}", case.name);
        }
        assert_eq!(claims.len(), case.held, "{}", case.name);
    }
}

#[test]
fn what_is_forgotten_is_refused() {
    let run = (RouterId(1), Incarnation(1));
    let mut claims = Claims::new(3);
    for millis in 1..=4 {
        let key = key(millis, 0);
        let step = step(StepKind::Claim, key, millis);
        assert_eq!(claims.apply(run, key, &step), Fold::Held);
    }
    assert_eq!(claims.len(), 3);
    let oldest = key(1, 0);
    assert!(claims.is_too_old(&oldest));
    let again = step(StepKind::Claim, oldest, 9);
    assert_eq!(claims.apply(run, oldest, &again), Fold::TooOld);
    claims.forget_until(Time::from_millis(9));
    claims.forget_until(Time::from_millis(2));
    assert!(claims.is_empty());
    assert!(
        claims.is_too_old(&key(9, 0)),
        "the horizon never moves back"
    );
}

#[test]
fn a_key_is_refused_once_a_claim_of_it_may_have_aged_out() {
    struct Case {
        name: &'static str,
        /// The records that were applied, with their ages in seconds after the start.
        applied: &'static [(u64, u64)],
        /// What the log still keeps.
        first: u64,
        /// The age of the first record that is read next.
        next: Option<u64>,
        /// The time of the newest key that is refused, before the margin.
        horizon: Option<u64>,
    }
    let cases = [
        Case {
            name: "everything is kept",
            applied: &[(0, 0), (1, 100)],
            first: 0,
            next: Some(200),
            horizon: None,
        },
        Case {
            name: "records that were applied have aged out",
            applied: &[(0, 0), (1, 100), (2, 200)],
            first: 1,
            next: None,
            horizon: Some(100),
        },
        Case {
            name: "everything that was applied has aged out, and nothing was missed",
            applied: &[(0, 0), (1, 100)],
            first: 2,
            next: None,
            horizon: Some(100),
        },
        Case {
            name: "records have aged out unread",
            applied: &[(0, 0), (1, 100)],
            first: 5,
            next: Some(300),
            horizon: Some(300),
        },
        Case {
            name: "a router that has just started reads what is left",
            applied: &[],
            first: 5,
            next: Some(300),
            horizon: Some(300),
        },
        Case {
            name: "a router that has just started finds nothing left",
            applied: &[],
            first: 5,
            next: None,
            horizon: Some(1_000),
        },
    ];
    for case in cases {
        let at = |seconds| START + Duration::from_secs(seconds);
        let mut cx = context(1, 1);
        let cfg = Config::default();
        let mut once = Once::new(&mut cx, cfg.clone());
        for &(offset, age) in case.applied {
            once.on_age(Offset(offset), at(age));
        }
        let applied = Offset(case.applied.len() as u64);
        once.on_read(at(1_000), Offset(case.first), applied, case.next.map(at));
        let horizon = case.horizon.map_or(Time(0), |age| at(age) + cfg.margin);
        let newest_refused = key(horizon.as_millis(), 0);
        let oldest_taken = key(horizon.as_millis() + 1, 0);
        assert!(once.is_too_old(&newest_refused), "{}", case.name);
        assert!(!once.is_too_old(&oldest_taken), "{}", case.name);
    }
}

#[test]
fn an_issued_key_is_known_to_its_issuer_alone() {
    let valid = Duration::from_secs(600);
    let mut here = Issuer::new(&mut context(1, 1), valid);
    let mut other = Issuer::new(&mut context(2, 1), valid);
    let restarted = Issuer::new(&mut context(1, 2), valid);
    let mut keys: Vec<Uuid> = (0..40_000).map(|_| here.issue(START, ORG)).collect();
    let first = Key::new(ORG, keys[0]).expect("it is of version 7");
    assert_eq!(first.time(), START);
    assert_eq!(here.origin(&first), Origin::Here);
    assert_eq!(other.origin(&first), Origin::Elsewhere);
    assert_eq!(restarted.origin(&first), Origin::Elsewhere);
    let stolen = Key::new(OrganisationId(2), keys[0]).expect("it is of version 7");
    assert_eq!(here.origin(&stolen), Origin::Elsewhere);
    let forged = Uuid::from_u64_pair(keys[0].as_u64_pair().0, keys[0].as_u64_pair().1 ^ 1);
    let forged = Key::new(ORG, forged).expect("it is of version 7");
    assert_eq!(here.origin(&forged), Origin::Elsewhere);
    assert_eq!(here.origin(&key(START.as_millis(), 1)), Origin::Caller);
    assert_eq!(
        other.take(START, first),
        Ok(()),
        "the check is up to origin"
    );
    assert_eq!(here.take(START, first), Ok(()));
    assert_eq!(here.take(START, first), Err(Reason::Duplicate));
    let late = START + valid;
    assert_eq!(here.take(late, first), Err(Reason::KeyTooOld));
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), 40_000, "no key is issued twice");
}

#[test]
fn claims_of_one_window_share_an_append() {
    let mut cx = context(1, 1);
    let mut once = Once::new(&mut cx, Config::default());
    let sight = Sight {
        down: false,
        current: Some(START),
    };
    for id in 0..1_500 {
        let req = request(RequestId(id), key(START.as_millis(), id).uuid());
        let admission = once.admit(&mut cx, sight, &req, uuid_of(&req), Time::MAX);
        assert_eq!(admission, Ok(Admission::Claiming));
        once.flush(&mut cx);
    }
    assert_eq!(once.pending(ORG), 1_500);
    assert_eq!(appends(&mut cx).len(), 0, "the window is open");
    cx.now = cx.now + Config::default().window;
    once.flush(&mut cx);
    let sent = appends(&mut cx);
    assert_eq!(sent.len(), 1, "one append is under way at a time");
    assert!(sent[0].1.len() <= crate::record::RECORD_BYTES_MAX);
    once.flush(&mut cx);
    assert_eq!(appends(&mut cx).len(), 0);
    once.on_append(cx.now, sight, sent[0].0, false);
    once.flush(&mut cx);
    assert_eq!(appends(&mut cx).len(), 1, "the rest follows the answer");
}

/// What can happen to three routers and their log.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// A request with the key that was drawn so many keys ago arrives.
    Submit(usize, usize),
    Issue(usize),
    /// A caller whose clock is ahead by so many milliseconds draws a key.
    Draw(u64),
    /// A router appends what is due.
    Flush(usize),
    /// The oldest append of a router takes effect or not, and the router hears of it or not.
    Answer(usize, bool, bool),
    /// The oldest append of a router is given up as unknown, and takes effect later.
    Delay(usize),
    Land,
    /// A record takes effect a second time, because its append was sent again.
    Repeat(usize),
    Read(usize, usize),
    /// A router appends, hears the answer and reads everything, as when nothing fails.
    Advance(usize),
    /// A request that may run is dispatched.
    Dispatch(usize),
    /// A request that may run is given up, and its key let go of.
    GiveUp(usize),
    /// The deadlines of requests without a claim pass.
    Expire(usize),
    Restart(usize),
    /// The log forgets records.
    AgeOut(usize),
    Pass(u64),
}

/// Three routers as far as claims go, and a log.
struct World {
    now: Time,
    routers: Vec<Router>,
    log: Vec<(Time, Vec<u8>)>,
    first: usize,
    late: VecDeque<Vec<u8>>,
    keys: Vec<Uuid>,
    next_request: u64,
    requests: BTreeMap<RequestId, Uuid>,
    runs: BTreeMap<Uuid, u32>,
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

impl World {
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
                    self.routers[at].once.on_append(now, sight(now), id, false);
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
            Event::GiveUp(at) => {
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
            Event::Pass(millis) => self.now = now + Duration::from_millis(millis),
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
            .admit(&mut router.cx, sight(now), &req, key, Time::MAX);
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
            .on_append(now, sight(now), id, known && !effect);
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
        2 => router().prop_map(Event::GiveUp),
        1 => router().prop_map(Event::Expire),
        1 => router().prop_map(Event::Restart),
        1 => (1..3_usize).prop_map(Event::AgeOut),
        3 => (0..8_u64).prop_map(Event::Pass),
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
        let mut world = World::new();
        for event in events {
            world.apply(event);
            let most = world.runs.values().max().copied().unwrap_or(0);
            prop_assert!(most <= 1, "{:?}", world.runs);
        }
        ran.set(ran.get() + world.runs.len());
        lost.set(lost.get() + world.lost);
        Ok(())
    });
    assert_eq!(result, Ok(()));
    assert!(ran.get() > 1_000, "{} keys ran", ran.get());
    assert!(lost.get() > 1_000, "{} requests lost", lost.get());
}

fn request(id: RequestId, uuid: Uuid) -> Request {
    Request {
        id,
        organisation: ORG,
        pool: PoolId(1),
        class: None,
        repeat: Repeat::Once(uuid),
        deadline: None,
        prompt_tokens: 0,
        hint_tokens: None,
        fingerprint: Fingerprint(0),
        prefix: None,
    }
}

fn uuid_of(req: &Request) -> Uuid {
    match req.repeat {
        Repeat::Once(uuid) => uuid,
        Repeat::Allowed | Repeat::Unkeyed => Uuid::nil(),
    }
}

const fn sight(now: Time) -> Sight {
    Sight {
        down: false,
        current: Some(now),
    }
}

/// Removes and returns the appends that were asked for.
fn appends(cx: &mut Context) -> Vec<(AppendId, Vec<u8>)> {
    let appends = cx.out.drain(..).filter_map(|output| match output {
        Output::Append { id, bytes } => Some((id, bytes)),
        _ => None,
    });
    appends.collect()
}
