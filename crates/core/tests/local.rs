//! Routers that choose targets for themselves, with a catalogue from a store, in virtual time and without a network.
//!
//! Targets read prompts one after the other at a fixed pace and finish a request when it is read. Routers hear each
//! other after a millisecond.

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::catalogue::Scope;
use bulrushtrestle_core::catalogue::derived_id;
use bulrushtrestle_core::catalogue::entry::{
    Bounds, DataCentre, DataCentreState, Entry, Kind, Limits, Organisation, Pool, PoolShare, Route,
    RouteRepeat, Service, Target,
};
use bulrushtrestle_core::input::{
    AttemptEvent, Input, StoreChange, StoreEvent, TargetState, Vm, VmRole,
};
use bulrushtrestle_core::message::{Frame, Part};
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;

const STEP: Duration = Duration::from_millis(1);
/// Prompt tokens that a target reads in a step.
const PACE: u64 = 80;
const OBJECTIVE: Duration = Duration::from_millis(800);

fn id(kind: Kind, name: &str) -> u32 {
    u32::try_from(derived_id(kind, name).0).expect("identities are short")
}

fn organisation(name: &str) -> Entry {
    Entry::Organisation(Organisation {
        name: name.to_owned(),
        owner: String::new(),
        class: Class::Interactive,
        weight: 1,
        limits: Limits {
            waiting: 10_000,
            running: 10_000,
            wait_ms: 3_600_000,
        },
        tokens_sha256: Vec::new(),
    })
}

fn target(name: &str) -> Entry {
    Entry::Target(Target {
        name: name.to_owned(),
        vm: id(Kind::Target, name),
        address: "127.0.0.1:9000".to_owned(),
        data_centre: "a".to_owned(),
        pool: "m".to_owned(),
        version: "v1".to_owned(),
        slots: 128,
        checks_fence: false,
    })
}

fn data_centre(state: DataCentreState) -> StoreChange {
    let entry = DataCentre {
        name: "a".to_owned(),
        region: "r".to_owned(),
        state,
    };
    let revision = match state {
        DataCentreState::In => 2,
        DataCentreState::Out => 1,
    };
    StoreChange {
        revision: Offset(revision),
        scope: Scope::One(Kind::DataCentre, "a".to_owned()),
        entries: vec![Entry::DataCentre(entry)],
    }
}

fn configuration(cold_starts_per_s: u32) -> StoreChange {
    let pool = Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds {
            cold_starts_per_s,
            ..Bounds::default()
        },
    };
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        pools: vec![PoolShare {
            pool: "m".to_owned(),
            weight: 1,
        }],
        repeat: RouteRepeat::Once,
        streams: true,
        timeout_ms: 15_000,
        objective_ms: 800,
        attempts_max: 1,
        anonymous: false,
    };
    StoreChange {
        revision: Offset(3),
        scope: Scope::All(vec![Kind::Organisation, Kind::Pool, Kind::Route]),
        entries: vec![
            organisation("one"),
            organisation("many"),
            Entry::Pool(pool),
            Entry::Route(route),
        ],
    }
}

fn target_change(name: &str, revision: u64, present: bool) -> StoreChange {
    StoreChange {
        revision: Offset(revision),
        scope: Scope::One(Kind::Target, name.to_owned()),
        entries: present.then(|| target(name)).into_iter().collect(),
    }
}

/// A request at a target: who sent it, and the tokens that are still to be read.
type Job = (usize, AttemptId, u64);

struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    /// Frames on their way: when, to whom, from whom.
    frames: Vec<(Time, usize, RouterId, Vec<u8>)>,
    targets: BTreeMap<TargetId, Vec<Job>>,
    dispatched: Vec<(Time, usize, TargetId, RequestId)>,
    refused: BTreeMap<(usize, RequestId), Refusal>,
    next: u64,
}

impl Fleet {
    fn new(routers: usize, targets: u32, cold_starts_per_s: u32) -> Self {
        Self::of(&vec![1_000; routers], targets, cold_starts_per_s)
    }

    /// Returns a fleet of routers with these capacities, in thousandths of a processor core.
    fn of(capacities: &[u32], targets: u32, cold_starts_per_s: u32) -> Self {
        let now = Time::from_millis(1_800_000_000_000);
        let routers = u32::try_from(capacities.len()).expect("few routers");
        let nodes = (1..=routers).zip(capacities).map(|(me, &capacity)| {
            let mut cfg = Config::new(RouterId(me), Incarnation(1));
            cfg.membership.capacity = capacity;
            cfg.log.source = CatalogueSource::Store;
            cfg.slots.policy = Policy::Local;
            cfg.data_centre = "a".to_owned();
            cfg.caller_address = format!("127.0.0.1:{me}");
            Node::new(cfg, now, u64::from(me))
        });
        let mut fleet = Self {
            now,
            nodes: nodes.collect(),
            frames: Vec::new(),
            targets: BTreeMap::new(),
            dispatched: Vec::new(),
            refused: BTreeMap::new(),
            next: 0,
        };
        let vms: Vec<Vm> = (1..=routers).map(router).collect();
        for at in 0..fleet.nodes.len() {
            fleet.input(at, Input::Vms(vms.clone()));
            let mut changes = vec![
                data_centre(DataCentreState::In),
                configuration(cold_starts_per_s),
            ];
            for target in 1..=targets {
                changes.push(target_change(
                    &format!("t{target}"),
                    u64::from(target),
                    true,
                ));
            }
            fleet.input(at, Input::Store(StoreEvent::Changed(changes)));
        }
        fleet.run(Duration::from_secs(2));
        fleet
    }

    fn input(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Dispatch(dispatch) => {
                    let sent = (self.now, at, dispatch.target, dispatch.request);
                    self.dispatched.push(sent);
                    let jobs = self.targets.entry(dispatch.target).or_default();
                    jobs.push((at, dispatch.attempt, 12_000));
                }
                Output::Refuse(request, refusal) => {
                    self.refused.insert((at, request), refusal);
                }
                Output::Peer { to, bytes } => {
                    let from = RouterId(u32::try_from(at + 1).expect("few routers"));
                    let to = to.0 as usize - 1;
                    self.frames.push((self.now + STEP, to, from, bytes));
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let (due, rest) = std::mem::take(&mut self.frames)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.frames = rest;
        let due: Vec<(Time, usize, RouterId, Vec<u8>)> = due;
        for (_, to, from, bytes) in due {
            self.input(to, Input::Peer { from, bytes });
        }
        let mut done = Vec::new();
        for jobs in self.targets.values_mut() {
            if let Some(first) = jobs.first_mut() {
                first.2 = first.2.saturating_sub(PACE);
                if first.2 == 0 {
                    done.push(jobs.remove(0));
                }
            }
        }
        for (at, attempt, _) in done {
            self.input(at, Input::Attempt(attempt, AttemptEvent::Started));
            self.input(
                at,
                Input::Attempt(attempt, AttemptEvent::Finished { tokens: 1 }),
            );
        }
        if self.now.as_millis().is_multiple_of(10) {
            let asked = self.now;
            for at in 0..self.nodes.len() {
                let current = StoreEvent::Current {
                    known: Offset(9),
                    asked,
                };
                self.input(at, Input::Store(current));
            }
        }
    }

    /// Hands a request with a prompt of 12000 tokens of its own to a router.
    fn submit(&mut self, at: usize, organisation: &str) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let own = PromptPart {
            content: Fingerprint(self.next),
            tokens: 12_000,
        };
        let req = Request {
            id: request,
            organisation: OrganisationId(id(Kind::Organisation, organisation)),
            pool: PoolId(id(Kind::Pool, "m")),
            class: None,
            repeat: Repeat::Unkeyed,
            deadline: Some(self.now + Duration::from_secs(15)),
            prompt_tokens: 12_000,
            hint_tokens: None,
            fingerprint: Fingerprint(self.next),
            prefix: None,
            terms: Terms {
                parts: vec![own],
                attempts_max: Some(1),
                objective: Some(OBJECTIVE),
                output_tokens: 10,
                body_bytes: 10_000,
            },
        };
        self.input(at, Input::Request(req));
        request
    }
}

fn router(id: u32) -> Vm {
    Vm {
        id,
        role: VmRole::Router,
        address: format!("127.0.0.1:{}", 7_000 + id),
        data_centre: "a".to_owned(),
        leaving: false,
    }
}

/// The pattern: two organisations ask for far more than there is, one behind a single router, the other behind all.
#[test]
fn an_organisation_behind_one_router_gets_as_much_as_one_behind_all() {
    let mut fleet = Fleet::new(4, 4, 0);
    let mut of = BTreeMap::new();
    // The one behind a single router has used the idle fleet before.
    for millis in 0..9_000_u64 {
        if millis.is_multiple_of(10) {
            of.insert(fleet.submit(0, "one"), "one");
        }
        if millis >= 3_000 && millis.is_multiple_of(10) {
            let at = usize::try_from(millis / 10 % 4).expect("small");
            of.insert(fleet.submit(at, "many"), "many");
        }
        fleet.step();
    }
    let since = fleet.now - Duration::from_secs(6);
    let got = |name| {
        let dispatched = fleet.dispatched.iter();
        let counted = dispatched.filter(|(at, _, _, request)| *at > since && of[request] == name);
        counted.count()
    };
    let (one, many) = (got("one"), got("many"));
    // The users' bound: no organisation gets less than half of what another gets in six seconds.
    assert!(one * 2 >= many && many * 2 >= one, "one {one}, many {many}");
    // And nothing idles meanwhile: four targets read 320 requests of 150 ms in twelve seconds.
    assert!(one + many >= 140, "one {one}, many {many}");
}

/// Guards against a fleet that serves an organisation without limit because its router is not told who waits elsewhere.
///
/// The pattern: a large fleet sends callers to its two strong routers, but those of one organisation use another one.
/// Two organisations ask for far more than there is.
#[test]
fn an_organisation_behind_a_router_that_is_not_named_gets_no_more_than_others() {
    struct Case {
        name: &'static str,
        /// The capacity of all routers but the first two.
        others: u32,
        /// The routers of the organisations.
        one: &'static [usize],
        many: &'static [usize],
    }
    let cases = [
        Case {
            name: "all routers are alike",
            others: 500,
            one: &[20],
            many: &[0, 1],
        },
        Case {
            name: "behind one that is not named",
            others: 60,
            one: &[20],
            many: &[0, 1],
        },
        Case {
            name: "behind two that are not named",
            others: 60,
            one: &[20, 25],
            many: &[0, 1],
        },
        Case {
            name: "nobody uses those that are named",
            others: 60,
            one: &[20],
            many: &[25],
        },
    ];
    for case in cases {
        let mut capacities = vec![case.others; 30];
        capacities[..2].fill(500);
        let mut fleet = Fleet::of(&capacities, 4, 0);
        let mut of = BTreeMap::new();
        for millis in 0..9_000_usize {
            if millis.is_multiple_of(10) {
                let turn = millis / 10;
                of.insert(fleet.submit(case.one[turn % case.one.len()], "one"), "one");
                if millis >= 3_000 {
                    let at = case.many[turn % case.many.len()];
                    of.insert(fleet.submit(at, "many"), "many");
                }
            }
            fleet.step();
        }
        let since = fleet.now - Duration::from_secs(6);
        let got = |name| {
            let counted = fleet.dispatched.iter();
            let counted = counted.filter(|(at, .., req)| *at > since && of[req] == name);
            counted.count()
        };
        let (one, many) = (got("one"), got("many"));
        let name = case.name;
        // The users' bound: no organisation gets less than half of what another gets in six seconds.
        assert!(
            one * 2 >= many && many * 2 >= one,
            "{name}: one {one}, many {many}"
        );
        // Nothing idles meanwhile: four targets read 160 requests of 150 ms in six seconds.
        assert!(one + many >= 140, "{name}: one {one}, many {many}");
    }
}

/// Guards against capacity that idles because the organisation whose turn it is waits behind a router that cannot send.
///
/// The pattern: a router has not read the targets' records for long and has requests that wait.
#[test]
fn a_router_that_cannot_send_claims_no_turn() {
    for (is_read, claims) in [(true, true), (false, false)] {
        let mut fleet = Fleet::new(2, 1, 0);
        let asked = fleet.now;
        fleet.input(0, Input::Store(StoreEvent::TargetsRead { asked }));
        fleet.run(Duration::from_millis(2_100));
        if is_read {
            let asked = fleet.now;
            fleet.input(0, Input::Store(StoreEvent::TargetsRead { asked }));
        }
        for _ in 0..8 {
            fleet.submit(0, "one");
        }
        let mut claimed = false;
        for _ in 0..200 {
            fleet.step();
            let own = fleet
                .frames
                .iter()
                .filter(|(.., from, _)| *from == RouterId(1));
            let frames = own.map(|(.., bytes)| Frame::decode(bytes).expect("a frame"));
            let parts = frames.flat_map(|frame| frame.parts);
            claimed |= parts.into_iter().any(|part| match part {
                Part::Load(load) => !load.floors.is_empty(),
                _ => false,
            });
        }
        assert_eq!(claimed, claims, "read in time: {is_read}");
    }
}

/// The pattern: more is asked for than can be served, for longer than callers wait.
#[test]
fn what_cannot_be_served_is_refused_soon_and_says_when_to_come_back() {
    let mut fleet = Fleet::new(1, 1, 0);
    let mut arrived = BTreeMap::new();
    for millis in 0..4_000_u64 {
        if millis.is_multiple_of(20) {
            let request = fleet.submit(0, "one");
            arrived.insert(request, fleet.now);
        }
        fleet.step();
        for (&(_, request), refusal) in &fleet.refused {
            if let Some(at) = arrived.remove(&request) {
                let waited = fleet.now.since(at);
                assert!(waited <= OBJECTIVE, "{request} waited {waited:?}");
                assert_eq!(refusal.verdict, Verdict::NotRun);
                assert!(
                    refusal
                        .retry_after
                        .is_some_and(|wait| wait > Duration::ZERO)
                );
            }
        }
    }
    assert!(fleet.refused.len() > 100, "{}", fleet.refused.len());
}

/// The pattern: all routers have work for a target that has just started.
#[test]
fn a_target_learnt_cold_gets_no_more_starts_than_it_bears() {
    let mut fleet = Fleet::new(4, 1, 14);
    let cold = TargetState {
        target: TargetId(id(Kind::Target, "t1")),
        leaving: false,
        cold_for: Duration::from_secs(3),
        started_ms: Some(1),
        sequence: 1,
    };
    for at in 0..4 {
        fleet.input(at, Input::Store(StoreEvent::Targets(vec![cold])));
    }
    for millis in 0..3_000_usize {
        if millis.is_multiple_of(5) {
            fleet.submit(millis / 5 % 4, "many");
        }
        // Prompts are read at once, so that only the bound holds requests back.
        for jobs in fleet.targets.values_mut() {
            jobs.iter_mut().for_each(|job| job.2 = job.2.min(PACE));
        }
        fleet.step();
    }
    let times: Vec<Time> = fleet.dispatched.iter().map(|(at, ..)| *at).collect();
    assert!(times.len() > 20, "{}", times.len());
    for (first, &at) in times.iter().enumerate() {
        let window = times[first..]
            .iter()
            .filter(|t| t.since(at) < Duration::from_secs(1));
        assert!(window.count() <= 14, "more than 14 starts from {at} on");
    }
}

/// The pattern: the store is away, entries of targets lapse, and some targets are back after it, some are not.
#[test]
fn a_target_that_lapsed_while_the_store_was_away_is_used_until_it_is_surely_gone() {
    let mut fleet = Fleet::new(1, 2, 0);
    fleet.input(0, Input::Store(StoreEvent::Failed));
    let gone = vec![
        target_change("t1", 11, false),
        target_change("t2", 12, false),
    ];
    fleet.input(0, Input::Store(StoreEvent::Changed(gone)));
    fleet.run(Duration::from_millis(1_000));
    let back = vec![target_change("t2", 13, true)];
    fleet.input(0, Input::Store(StoreEvent::Changed(back)));
    fleet.run(Duration::from_millis(500));
    let known = |fleet: &Fleet, name| {
        let target = TargetId(id(Kind::Target, name));
        fleet.nodes[0].catalogue().target(target).is_some()
    };
    assert!(known(&fleet, "t1") && known(&fleet, "t2"));
    fleet.run(Duration::from_millis(600));
    assert!(!known(&fleet, "t1") && known(&fleet, "t2"));
    // With the store at hand a removal holds at once.
    fleet.run(Duration::from_secs(4));
    let gone = vec![target_change("t2", 14, false)];
    fleet.input(0, Input::Store(StoreEvent::Changed(gone)));
    assert!(!known(&fleet, "t2"));
}

/// The pattern: all connections of a target stand still, but none breaks.
#[test]
fn a_target_on_which_all_streams_stand_still_gets_no_more() {
    let mut fleet = Fleet::new(1, 1, 0);
    let first = [fleet.submit(0, "one"), fleet.submit(0, "many")];
    for jobs in fleet.targets.values_mut() {
        jobs.iter_mut().for_each(|job| job.2 = u64::MAX);
    }
    let started: Vec<AttemptId> = fleet.targets.values().flatten().map(|job| job.1).collect();
    for attempt in started {
        fleet.input(0, Input::Attempt(attempt, AttemptEvent::Started));
    }
    fleet.run(Duration::from_millis(300));
    let sent = fleet.dispatched.len();
    fleet.run(Duration::from_millis(1_200));
    fleet.submit(0, "one");
    assert_eq!(
        fleet.dispatched.len(),
        sent,
        "of {} requests",
        first.len() + 1
    );
}

/// Guards against requests that reach a target after its router has learnt that it leaves, because time passed between the
/// decision and the sending.
///
/// The pattern: a weak router with more work than its threads bear.
#[test]
fn a_request_that_was_not_sent_in_time_goes_where_it_may_go_by_then() {
    let mut fleet = Fleet::new(1, 2, 0);
    let request = fleet.submit(0, "one");
    let &(_, _, first, _) = fleet.dispatched.last().expect("a target is idle");
    let names = ["t1", "t2"];
    let vms = names.map(|name| Vm {
        id: id(Kind::Target, name),
        role: VmRole::Target,
        address: "127.0.0.1:9000".to_owned(),
        data_centre: "a".to_owned(),
        leaving: first == TargetId(id(Kind::Target, name)),
    });
    fleet.input(0, Input::Vms(vms.to_vec()));
    let (_, attempt, _) = fleet
        .targets
        .get_mut(&first)
        .expect("it has the request")
        .remove(0);
    fleet.input(0, Input::Attempt(attempt, AttemptEvent::Withheld));
    let &(_, _, second, again) = fleet.dispatched.last().expect("the other is idle");
    assert_eq!(again, request);
    assert_ne!(second, first, "sent to the target that leaves");
    assert!(fleet.refused.is_empty());
}

/// Guards against requests that are sent to a target by a view of the targets from before it said that it leaves.
///
/// The pattern: a router is so busy that it does not get to read the targets' records.
#[test]
fn a_router_with_an_old_view_of_the_targets_sends_nothing_until_it_has_read_them() {
    struct Case {
        name: &'static str,
        /// What happens after the targets were read and two and a half seconds passed.
        event: Option<StoreEvent>,
        sent: bool,
    }
    let cases = [
        Case {
            name: "nothing",
            event: None,
            sent: false,
        },
        Case {
            name: "they are read again",
            event: Some(StoreEvent::TargetsRead {
                asked: Time::from_millis(1_800_000_004_400),
            }),
            sent: true,
        },
        Case {
            name: "the store is away",
            event: Some(StoreEvent::TargetsFailed),
            sent: true,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(1, 2, 0);
        let asked = fleet.now;
        fleet.input(0, Input::Store(StoreEvent::TargetsRead { asked }));
        fleet.run(Duration::from_millis(1_900));
        fleet.submit(0, "one");
        assert_eq!(fleet.dispatched.len(), 1, "{}: in time", case.name);
        fleet.run(Duration::from_millis(600));
        fleet.submit(0, "one");
        assert_eq!(fleet.dispatched.len(), 1, "{}: too old", case.name);
        if let Some(event) = case.event {
            fleet.input(0, Input::Store(event));
        }
        let sent = fleet.dispatched.len() == 2;
        assert_eq!(sent, case.sent, "{}", case.name);
        // What cannot be sent is refused in time, and has not run.
        fleet.run(OBJECTIVE);
        let refused = fleet
            .refused
            .values()
            .all(|it| it.verdict == Verdict::NotRun);
        assert_eq!(
            (fleet.refused.len(), refused),
            (usize::from(!sent), true),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_data_centre_that_is_out_gets_nothing_from_that_moment() {
    let mut fleet = Fleet::new(1, 2, 0);
    let mut out = data_centre(DataCentreState::Out);
    out.revision = Offset(20);
    fleet.input(0, Input::Store(StoreEvent::Changed(vec![out])));
    fleet.submit(0, "one");
    fleet.run(Duration::from_millis(100));
    assert!(fleet.dispatched.is_empty());
}

#[test]
fn a_router_without_a_configuration_is_not_ready() {
    let mut cfg = Config::new(RouterId(1), Incarnation(1));
    cfg.log.source = CatalogueSource::Store;
    let now = Time::from_millis(1_800_000_000_000);
    let mut node = Node::new(cfg, now, 1);
    let current = StoreEvent::Current {
        known: Offset(0),
        asked: now,
    };
    node.handle(now, Input::Store(current.clone()), &mut Vec::new());
    assert!(!node.is_ready());
    let changes = vec![configuration(0)];
    node.handle(
        now,
        Input::Store(StoreEvent::Changed(changes)),
        &mut Vec::new(),
    );
    node.handle(now, Input::Store(current), &mut Vec::new());
    assert!(node.is_ready());
    assert!(node.resolve("h", "/x/y").is_some());
    assert!(node.resolve("other", "/x/y").is_none());
}
