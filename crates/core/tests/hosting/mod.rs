//! Routers that choose targets for themselves, with a catalogue from a store, in virtual time and without a network.
//!
//! Targets read prompts one after the other at a fixed pace and finish a request when it is read. Routers hear each
//! other after a millisecond.

#![allow(
    dead_code,
    reason = "each test program uses another part of the fixture"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::Scope;
use bulrushtrestle_core::catalogue::derived_id;
use bulrushtrestle_core::catalogue::entry::{
    Bounds, DataCentre, DataCentreState, Entry, Kind, Limits, Move, Organisation, Pool, PoolShare,
    Route, RouteRepeat, Service, Target,
};
use bulrushtrestle_core::input::{
    AttemptEvent, Failure, FailureKind, Input, StoreChange, StoreEvent, Vm, VmRole,
};
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;
use bulrushtrestle_core::version::Exposure;

pub(crate) const STEP: Duration = Duration::from_millis(1);
/// The largest fleet in which every router hears every other, as the daemon sets it on a hosting platform.
const MESH_MAX: usize = 15;
/// The slots of a target, unless a test says otherwise.
const SLOTS: u32 = 128;
/// The largest share of a new version before it has shown itself good, and how long before its time a move ends, as the
/// daemon sets them on a hosting platform.
const SHARE_MAX: u32 = 80;
const MARGIN: Duration = Duration::from_millis(1_500);
/// Prompt tokens that a target reads in a step.
pub(crate) const PACE: u64 = 80;
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(800);

pub(crate) fn id(kind: Kind, name: &str) -> u32 {
    u32::try_from(derived_id(kind, name).0).expect("identities are short")
}

pub(crate) fn organisation(name: &str) -> Entry {
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

pub(crate) fn target(name: &str, slots: u32) -> Entry {
    Entry::Target(Target {
        name: name.to_owned(),
        vm: id(Kind::Target, name),
        address: "127.0.0.1:9000".to_owned(),
        data_centre: "a".to_owned(),
        pool: "m".to_owned(),
        version: "v1".to_owned(),
        slots,
        checks_fence: false,
    })
}

pub(crate) fn data_centre(state: DataCentreState) -> StoreChange {
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

pub(crate) fn configuration(cold_starts_per_s: u32) -> StoreChange {
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
            organisation("small"),
            Entry::Pool(pool),
            Entry::Route(route),
        ],
    }
}

pub(crate) fn target_change(name: &str, revision: u64, present: bool) -> StoreChange {
    target_of(name, revision, present, SLOTS)
}

fn target_of(name: &str, revision: u64, present: bool, slots: u32) -> StoreChange {
    StoreChange {
        revision: Offset(revision),
        scope: Scope::One(Kind::Target, name.to_owned()),
        entries: present.then(|| target(name, slots)).into_iter().collect(),
    }
}

/// Returns the targets `first` to `last` of another version.
pub(crate) fn other_version(first: u32, last: u32) -> Vec<StoreChange> {
    let change = |number: u32| {
        let name = format!("n{number}");
        let mut change = target_change(&name, u64::from(number), true);
        for entry in &mut change.entries {
            if let Entry::Target(target) = entry {
                target.version = "v2".to_owned();
            }
        }
        change
    };
    (first..=last).map(change).collect()
}

/// Returns the order to move all traffic to the other version until then.
pub(crate) fn move_order(finish_at: Time) -> StoreChange {
    let entry = Move {
        pool: "m".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        finish_at,
    };
    StoreChange {
        revision: Offset(5),
        scope: Scope::One(Kind::Move, "m".to_owned()),
        entries: vec![Entry::Move(entry)],
    }
}

/// A request at a target: who sent it, and the tokens that are still to be read.
pub(crate) type Job = (usize, AttemptId, u64);

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    /// Frames on their way: when, to whom, from whom.
    pub(crate) frames: Vec<(Time, usize, RouterId, Vec<u8>)>,
    pub(crate) targets: BTreeMap<TargetId, Vec<Job>>,
    pub(crate) dispatched: Vec<(Time, usize, TargetId, RequestId)>,
    pub(crate) refused: BTreeMap<(usize, RequestId), Refusal>,
    /// Of ten requests, how many fail at a target that has them.
    pub(crate) of_ten: BTreeMap<TargetId, u64>,
    /// When requests failed, and where.
    pub(crate) failed: Vec<(Time, TargetId)>,
    /// Routers that the store turns away.
    pub(crate) blind: BTreeSet<usize>,
    /// What the store holds that they have not read.
    unread: Vec<(usize, StoreChange)>,
    /// When routers asked to be woken.
    wakes: BTreeSet<(Time, usize)>,
    /// How long a target generates for a request after it has read its prompt.
    pub(crate) generation_time: Duration,
    /// What is generated for: until when, whose it is.
    generating: Vec<(Time, usize, AttemptId)>,
    /// The processor time that one router spent on each kind of event, if it is measured.
    pub(crate) measured: Option<Measured>,
    next: u64,
}

/// The processor time of one router.
pub(crate) struct Measured {
    /// The router's place.
    pub(crate) at: usize,
    /// How many events of each kind there were, and how long they took.
    pub(crate) spent: BTreeMap<&'static str, (u32, Duration)>,
}

impl Measured {
    fn note(&mut self, kind: &'static str, took: Duration) {
        let (count, sum) = self.spent.entry(kind).or_default();
        *count += 1;
        *sum += took;
    }
}

const fn kind_of(input: &Input) -> &'static str {
    match input {
        Input::Request(_) => "request",
        Input::Attempt(..) => "attempt",
        Input::Peer { .. } => "peer",
        Input::Store(_) => "store",
        Input::Timer => "timer",
        _ => "other",
    }
}

impl Fleet {
    pub(crate) fn new(routers: usize, targets: u32, cold_starts_per_s: u32) -> Self {
        Self::with_capacities(&vec![1_000; routers], targets, cold_starts_per_s)
    }

    /// Returns a fleet of routers with these capacities, in thousandths of a processor core.
    pub(crate) fn with_capacities(
        capacities: &[u32],
        targets: u32,
        cold_starts_per_s: u32,
    ) -> Self {
        Self::with_slots(capacities, (targets, SLOTS), cold_starts_per_s)
    }

    /// Returns a fleet whose targets have so many slots each.
    pub(crate) fn with_slots(
        capacities: &[u32],
        (targets, slots): (u32, u32),
        cold_starts_per_s: u32,
    ) -> Self {
        let now = Time::from_millis(1_800_000_000_000);
        let routers = u32::try_from(capacities.len()).expect("few routers");
        let nodes = (1..=routers).zip(capacities).map(|(me, &capacity)| {
            let mut cfg = Config::new(RouterId(me), Incarnation(1));
            cfg.membership.capacity = capacity;
            cfg.log.source = CatalogueSource::Store;
            cfg.slots.policy = Policy::Local;
            cfg.membership.mesh_max = MESH_MAX;
            cfg.share.full_replication_max = MESH_MAX + 1;
            cfg.version.share_max = SHARE_MAX;
            cfg.version.margin = MARGIN;
            cfg.version.exposure = Exposure {
                share: 100,
                slack: 50,
            };
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
            of_ten: BTreeMap::new(),
            failed: Vec::new(),
            blind: BTreeSet::new(),
            unread: Vec::new(),
            wakes: BTreeSet::new(),
            generation_time: Duration::ZERO,
            generating: Vec::new(),
            measured: None,
            next: 0,
        };
        let vms: Vec<Vm> = (1..=routers).map(router).collect();
        for at in 0..fleet.nodes.len() {
            fleet.input(at, Input::Vms(vms.clone()));
            let mut changes = vec![
                data_centre(DataCentreState::In),
                configuration(cold_starts_per_s),
            ];
            changes
                .extend((1..=targets).map(|target| {
                    target_of(&format!("t{target}"), u64::from(target), true, slots)
                }));
            fleet.input(at, Input::Store(StoreEvent::Changed(changes)));
        }
        fleet.run(Duration::from_secs(2));
        fleet
    }

    pub(crate) fn input(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        let kind = kind_of(&input);
        let began = Instant::now();
        self.nodes[at].handle(self.now, input, &mut out);
        if let Some(measured) = self.measured.as_mut().filter(|it| it.at == at) {
            measured.note(kind, began.elapsed());
        }
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
                Output::Wake(wake) => {
                    self.wakes.insert((wake, at));
                }
                _ => {}
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
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
        for (&target, jobs) in &mut self.targets {
            if let Some(first) = jobs.first_mut() {
                first.2 = first.2.saturating_sub(PACE);
                if first.2 == 0 {
                    done.push((target, jobs.remove(0)));
                }
            }
        }
        for (target, (at, attempt, _)) in done {
            let drawn = (attempt.0 * 16 + at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            if drawn % 10 < self.of_ten.get(&target).copied().unwrap_or(0) {
                self.failed.push((self.now, target));
                let failure = Failure {
                    kind: FailureKind::Error,
                    sent: true,
                    tokens: 0,
                };
                self.input(at, Input::Attempt(attempt, AttemptEvent::Failed(failure)));
                continue;
            }
            self.input(at, Input::Attempt(attempt, AttemptEvent::Started));
            self.generating
                .push((self.now + self.generation_time, at, attempt));
        }
        let (done, rest) = std::mem::take(&mut self.generating)
            .into_iter()
            .partition(|(until, ..)| *until <= self.now);
        self.generating = rest;
        let done: Vec<(Time, usize, AttemptId)> = done;
        for (_, at, attempt) in done {
            let finished = AttemptEvent::Finished { tokens: 1 };
            self.input(at, Input::Attempt(attempt, finished));
        }
        while let Some(&(wake, at)) = self.wakes.first()
            && wake <= self.now
        {
            // One turn serves all of a router that are due.
            self.wakes.retain(|&(wake, of)| of != at || wake > self.now);
            self.input(at, Input::Timer);
        }
        if self.now.as_millis().is_multiple_of(10) {
            let asked = self.now;
            for at in 0..self.nodes.len() {
                if self.blind.contains(&at) {
                    self.input(at, Input::Store(StoreEvent::Failed));
                    continue;
                }
                let (read, unread) = std::mem::take(&mut self.unread)
                    .into_iter()
                    .partition(|(of, _)| *of == at);
                self.unread = unread;
                let read: Vec<(usize, StoreChange)> = read;
                let read: Vec<StoreChange> = read.into_iter().map(|(_, change)| change).collect();
                if !read.is_empty() {
                    self.input(at, Input::Store(StoreEvent::Changed(read)));
                }
                let current = StoreEvent::Current {
                    known: Offset(9),
                    asked,
                };
                self.input(at, Input::Store(current));
            }
        }
    }

    /// Writes changes to the store, which each router reads as soon as it is not turned away.
    pub(crate) fn write(&mut self, changes: &[StoreChange]) {
        for at in 0..self.nodes.len() {
            let unread = changes.iter().map(|change| (at, change.clone()));
            self.unread.extend(unread);
        }
    }

    /// Hands a request with a prompt of 12000 tokens of its own to a router.
    pub(crate) fn submit(&mut self, at: usize, organisation: &str) -> RequestId {
        self.submit_late(at, organisation, Duration::ZERO)
    }

    /// Hands such a request to a router that was there for a while before.
    pub(crate) fn submit_late(
        &mut self,
        at: usize,
        organisation: &str,
        before: Duration,
    ) -> RequestId {
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
            details: RequestDetails {
                parts: vec![own],
                attempts_max: Some(1),
                objective: Some(OBJECTIVE),
                output_tokens: 10,
                body_bytes: 10_000,
                arrived: Some(self.now - before),
            },
        };
        self.input(at, Input::Request(req));
        request
    }
}

pub(crate) fn router(id: u32) -> Vm {
    Vm {
        id,
        role: VmRole::Router,
        address: format!("127.0.0.1:{}", 7_000 + id),
        data_centre: "a".to_owned(),
        leaving: false,
    }
}
