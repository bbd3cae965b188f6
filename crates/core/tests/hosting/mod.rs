//! A simulated fleet on a hosting platform, in virtual time and without a network. Routers choose targets locally and
//! read the catalogue from a store.
//!
//! Each target reads prompts one after the other at a fixed rate, generates for [`Fleet::generation_time`] and then
//! finishes the request. A frame between routers takes one millisecond, unless a test says otherwise.

#![allow(
    dead_code,
    reason = "each test binary uses a different part of the fixture"
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
    AnswerHead, AttemptEvent, Failure, FailureKind, Input, StatedLimit, StoreChange, StoreEvent,
    TargetLoad, TargetState, Vm, VmRole,
};
use bulrushtrestle_core::limit::Rate;
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::output::{MovePhase, MoveProgress, Notice, Output};
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::quarantine::Evidence;
use bulrushtrestle_core::slots::Policy;
use bulrushtrestle_core::version::Exposure;

/// The step of the virtual clock.
pub(crate) const STEP: Duration = Duration::from_millis(1);
/// The largest fleet in which every router exchanges heartbeats with every other router, as the daemon configures it on a
/// hosting platform.
const MESH_MAX: usize = 15;
/// The slots of a target, unless a test sets another number.
const SLOTS: u32 = 128;
/// The largest share of traffic, in thousandths, that a new version gets before the evidence shows that it is good; as the
/// daemon configures it on a hosting platform.
const SHARE_MAX_MILLIS: u32 = 80;
/// How long before its finishing time a move ends, as the daemon configures it on a hosting platform.
const MOVE_MARGIN: Duration = Duration::from_millis(1_500);
/// The prompt tokens that a target reads in one [`STEP`].
pub(crate) const TOKENS_PER_STEP: u64 = 80;
/// How long a target is down after a crash.
const DOWN_FOR: Duration = Duration::from_secs(3);
/// The time between two records of a target, in milliseconds.
const RECORD_INTERVAL_MS: u64 = 1_200;
/// The objective for the time to the first token of each request.
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(800);

/// Returns the identity that is derived from an entry's kind and name.
pub(crate) fn id(kind: Kind, name: &str) -> u32 {
    u32::try_from(derived_id(kind, name).0).expect("derived identities fit in 32 bits")
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

/// Returns the organisations, the pool and the route that all tests use.
pub(crate) fn configuration(cold_starts_per_s: u32) -> StoreChange {
    let pool = Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds {
            cold_starts_per_s,
            ..Bounds::default()
        },
        autoscale: None,
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
        gap_aim_ms: 0,
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
            organisation("mid"),
            Entry::Pool(pool),
            Entry::Route(route),
        ],
    }
}

/// Returns the change that adds or removes a target of [`SLOTS`] slots.
pub(crate) fn target_change(name: &str, revision: u64, present: bool) -> StoreChange {
    target_change_with_slots(name, revision, present, SLOTS)
}

fn target_change_with_slots(name: &str, revision: u64, present: bool, slots: u32) -> StoreChange {
    StoreChange {
        revision: Offset(revision),
        scope: Scope::One(Kind::Target, name.to_owned()),
        entries: present.then(|| target(name, slots)).into_iter().collect(),
    }
}

/// Returns the changes that add the targets `n{first}` to `n{last}` of version `v2`.
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

/// Returns the order to move all traffic from version `v1` to `v2` by `finish_at`.
pub(crate) fn move_order(finish_at: Time) -> StoreChange {
    move_order_at(5, finish_at)
}

/// Returns the same order as the record at `revision`.
pub(crate) fn move_order_at(revision: u64, finish_at: Time) -> StoreChange {
    let entry = Move {
        pool: "m".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        finish_at,
    };
    StoreChange {
        revision: Offset(revision),
        scope: Scope::One(Kind::Move, "m".to_owned()),
        entries: vec![Entry::Move(entry)],
    }
}

/// An attempt at a target: the index of the router that sent it, its identity, and the prompt tokens still to be read.
pub(crate) type Job = (usize, AttemptId, u64);

/// An attempt whose answer is being generated.
struct Generating {
    until: Time,
    at: usize,
    attempt: AttemptId,
    target: TargetId,
}

/// The head of an answer, made when the target has read the prompt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head {
    /// When the head arrives at the router.
    pub(crate) arrives: Time,
    /// The index of the router.
    pub(crate) at: usize,
    attempt: AttemptId,
    pub(crate) target: TargetId,
    /// The limit that the answer names, in thousandths of a request a second.
    pub(crate) limit: Option<u64>,
}

/// The simulated fleet. A router's index in `nodes` is its identity minus one.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    /// Frames in transit: arrival time, index of the receiver, sender, bytes.
    pub(crate) frames: Vec<(Time, usize, RouterId, Vec<u8>)>,
    /// The attempts at each target whose prompts are not read yet, in order of arrival.
    pub(crate) targets: BTreeMap<TargetId, Vec<Job>>,
    /// All dispatches to targets that are up: time, index of the router, target, request.
    pub(crate) dispatched: Vec<(Time, usize, TargetId, RequestId)>,
    /// The refusals, by the index of the router and the request.
    pub(crate) refused: BTreeMap<(usize, RequestId), Refusal>,
    /// How many of ten requests fail at each target; zero for targets without an entry.
    pub(crate) failures_per_ten: BTreeMap<TargetId, u64>,
    /// The times and targets of failed requests.
    pub(crate) failed: Vec<(Time, TargetId)>,
    /// The most targets on which one request may run.
    pub(crate) runs_max: u32,
    /// The limits that targets name in their answers, in thousandths of a request a second.
    pub(crate) limits: BTreeMap<TargetId, u64>,
    /// The work that targets state in their answers, in hundredths of the usual time.
    pub(crate) work: BTreeMap<TargetId, u16>,
    /// What `limits` held, each from a time on.
    pub(crate) limit_changes: Vec<(Time, BTreeMap<TargetId, u64>)>,
    /// The heads of answers that arrived at routers.
    pub(crate) heads: Vec<Head>,
    /// How much later the heads of answers arrive at a router.
    pub(crate) head_delays: BTreeMap<usize, Duration>,
    /// The heads of answers on their way.
    heads_in_transit: Vec<Head>,
    /// Indices of the routers whose reads of the store fail.
    pub(crate) store_blocked: BTreeSet<usize>,
    /// Changes in the store, each with the index of a router that has not read it yet.
    unread: Vec<(usize, StoreChange)>,
    /// The newest change of each scope in the store, in the order of writing.
    store: Vec<StoreChange>,
    /// The recorded statuses of moves, in the order of writing.
    pub(crate) statuses: Vec<MoveProgress>,
    /// Whether reads of the recorded statuses fail.
    pub(crate) statuses_unreadable: bool,
    /// The reads of the recorded statuses under way: index of the router and time of the question.
    status_reads: Vec<(usize, Time)>,
    /// The capacities of the routers and the number of data centres, with which they start again.
    placement: (Vec<u32>, usize),
    /// The requested wake-ups: time and index of the router.
    wakes: BTreeSet<(Time, usize)>,
    /// How long a target generates for a request after it has read the prompt.
    pub(crate) generation_time: Duration,
    /// The attempts whose answers are being generated.
    generating: Vec<Generating>,
    /// The parts of prompts that crash each target that begins to answer on them.
    pub(crate) crashing_parts: BTreeSet<Fingerprint>,
    /// The contents of whole requests that crash each target that begins to answer them.
    pub(crate) crashing_contents: BTreeSet<Fingerprint>,
    /// The contents of requests whose answers are lost at a target, which goes on.
    pub(crate) lost_answers: BTreeSet<(TargetId, Fingerprint)>,
    /// Whether targets write records, each with the start of its run.
    pub(crate) writes_records: bool,
    /// When the present run of each target that crashed began.
    runs: BTreeMap<TargetId, Time>,
    /// The contents of the requests that share theirs with others.
    contents: BTreeMap<RequestId, Fingerprint>,
    /// When each request was refused.
    pub(crate) refused_at: BTreeMap<RequestId, Time>,
    /// The prompts of the requests that name their parts.
    prompts: BTreeMap<RequestId, Vec<PromptPart>>,
    /// The crashes of targets.
    pub(crate) crashes: Vec<(Time, TargetId)>,
    /// The targets that are down after a crash, and until when.
    down: BTreeMap<TargetId, Time>,
    /// The requests with parts of their own choice that were answered completely.
    pub(crate) answered: BTreeSet<RequestId>,
    /// The attempts whose target refuses connections, until the next step.
    refusing: Vec<(usize, AttemptId)>,
    /// The requests of the attempts, for requests with parts of their own choice.
    attempts: BTreeMap<(usize, AttemptId), RequestId>,
    /// The processor time of one router, if it is measured.
    pub(crate) measured: Option<Measured>,
    /// Indices of the routers that handle nothing.
    pub(crate) dead: BTreeSet<usize>,
    /// Indices of the routers whose frames to others are lost.
    pub(crate) mute: BTreeSet<usize>,
    /// Pairs of indices: the frames from the first router to the second are lost.
    pub(crate) severed: BTreeSet<(usize, usize)>,
    /// The inputs of routers that stand still, which they handle when they go on.
    frozen: BTreeMap<usize, Vec<Input>>,
    /// How much later frames arrive at a router.
    pub(crate) delays: BTreeMap<usize, Duration>,
    /// The notices of all routers.
    pub(crate) notices: Vec<Notice>,
    /// The frames of each router, if they are counted.
    pub(crate) traffic: Vec<Traffic>,
    /// The identity of the last request.
    next: u64,
}

/// The frames of one router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
    pub(crate) bytes_sent: u64,
}

/// The processor time that one router spends on each kind of input.
pub(crate) struct Measured {
    /// The index of the router.
    pub(crate) at: usize,
    /// The number of inputs of each kind and the total time spent on them.
    pub(crate) spent: BTreeMap<&'static str, (u32, Duration)>,
}

impl Measured {
    /// Records one input.
    fn note(&mut self, kind: &'static str, took: Duration) {
        let (count, sum) = self.spent.entry(kind).or_default();
        *count += 1;
        *sum += took;
    }
}

/// Returns the name under which the time spent on an input is recorded.
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
    /// Returns a fleet of routers with the capacity of one processor core each.
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

    /// Returns a fleet of routers with these capacities, in thousandths of a processor core, and targets with `slots` slots
    /// each.
    pub(crate) fn with_slots(
        capacities: &[u32],
        (targets, slots): (u32, u32),
        cold_starts_per_s: u32,
    ) -> Self {
        Self::placed(capacities, 1, (targets, slots), cold_starts_per_s)
    }

    /// Returns a fleet like [`Fleet::with_slots`] whose routers are spread evenly over data centres.
    pub(crate) fn placed(
        capacities: &[u32],
        data_centres: usize,
        (targets, slots): (u32, u32),
        cold_starts_per_s: u32,
    ) -> Self {
        let now = Time::from_millis(1_800_000_000_000);
        let routers = u32::try_from(capacities.len()).expect("few routers");
        let nodes = (1..=routers)
            .zip(capacities)
            .map(|(me, &capacity)| node(me, Incarnation(1), capacity, data_centres, now));
        let mut fleet = Self {
            now,
            nodes: nodes.collect(),
            frames: Vec::new(),
            targets: BTreeMap::new(),
            dispatched: Vec::new(),
            refused: BTreeMap::new(),
            failures_per_ten: BTreeMap::new(),
            failed: Vec::new(),
            runs_max: 1,
            limits: BTreeMap::new(),
            work: BTreeMap::new(),
            limit_changes: Vec::new(),
            heads: Vec::new(),
            head_delays: BTreeMap::new(),
            heads_in_transit: Vec::new(),
            store_blocked: BTreeSet::new(),
            unread: Vec::new(),
            store: Vec::new(),
            statuses: Vec::new(),
            statuses_unreadable: false,
            status_reads: Vec::new(),
            placement: (capacities.to_vec(), data_centres),
            wakes: BTreeSet::new(),
            generation_time: Duration::ZERO,
            generating: Vec::new(),
            crashing_parts: BTreeSet::new(),
            crashing_contents: BTreeSet::new(),
            lost_answers: BTreeSet::new(),
            writes_records: false,
            runs: BTreeMap::new(),
            contents: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            prompts: BTreeMap::new(),
            crashes: Vec::new(),
            down: BTreeMap::new(),
            answered: BTreeSet::new(),
            refusing: Vec::new(),
            attempts: BTreeMap::new(),
            measured: None,
            dead: BTreeSet::new(),
            mute: BTreeSet::new(),
            severed: BTreeSet::new(),
            frozen: BTreeMap::new(),
            delays: BTreeMap::new(),
            notices: Vec::new(),
            traffic: Vec::new(),
            next: 0,
        };
        let mut changes = vec![
            data_centre(DataCentreState::In),
            configuration(cold_starts_per_s),
        ];
        changes.extend((1..=targets).map(|target| {
            target_change_with_slots(&format!("t{target}"), u64::from(target), true, slots)
        }));
        fleet.keep(&changes);
        for at in 0..fleet.nodes.len() {
            fleet.read_store(at);
        }
        fleet.run(Duration::from_secs(2));
        fleet
    }

    /// Keeps the newest change of each scope for routers that start later.
    fn keep(&mut self, changes: &[StoreChange]) {
        for change in changes {
            self.store.retain(|kept| kept.scope != change.scope);
            self.store.push(change.clone());
        }
    }

    /// Returns the list of VMs with all routers.
    fn vms(&self) -> Vec<Vm> {
        let (capacities, data_centres) = &self.placement;
        let routers = u32::try_from(capacities.len()).expect("few routers");
        let vms = (1..=routers).map(|id| Vm {
            data_centre: data_centre_of(id as usize - 1, *data_centres),
            ..router(id)
        });
        vms.collect()
    }

    /// Delivers the list of VMs and all that the store holds to a router that has just started.
    fn read_store(&mut self, at: usize) {
        self.input(at, Input::Vms(self.vms()));
        let changes = self.store.clone();
        self.input(at, Input::Store(StoreEvent::Changed(changes)));
    }

    /// Kills routers and starts them again: they know what the store holds and nothing else.
    pub(crate) fn restart(&mut self, routers: impl IntoIterator<Item = usize>) {
        let routers: BTreeSet<usize> = routers.into_iter().collect();
        self.frames.retain(|(_, to, ..)| !routers.contains(to));
        self.wakes.retain(|(_, at)| !routers.contains(at));
        self.unread.retain(|(at, _)| !routers.contains(at));
        self.status_reads.retain(|(at, _)| !routers.contains(at));
        self.generating.retain(|it| !routers.contains(&it.at));
        self.heads_in_transit.retain(|it| !routers.contains(&it.at));
        self.attempts.retain(|(at, _), _| !routers.contains(at));
        for jobs in self.targets.values_mut() {
            jobs.retain(|(at, ..)| !routers.contains(at));
        }
        for &at in &routers {
            let (capacities, data_centres) = &self.placement;
            let me = u32::try_from(at + 1).expect("few routers");
            let run = Incarnation(self.now.as_millis());
            self.nodes[at] = node(me, run, capacities[at], *data_centres, self.now);
            self.read_store(at);
        }
    }

    /// Adds a router of this capacity, which all others read in the list of VMs.
    pub(crate) fn join(&mut self, capacity: u32) {
        let at = self.nodes.len();
        let (capacities, data_centres) = &mut self.placement;
        capacities.push(capacity);
        let me = u32::try_from(at + 1).expect("few routers");
        let run = Incarnation(self.now.as_millis());
        let joining = node(me, run, capacity, *data_centres, self.now);
        self.nodes.push(joining);
        for other in 0..at {
            self.input(other, Input::Vms(self.vms()));
        }
        self.read_store(at);
    }

    /// Cuts a router off from all others, both ways.
    pub(crate) fn cut(&mut self, at: usize) {
        for other in (0..self.nodes.len()).filter(|&other| other != at) {
            self.severed.extend([(at, other), (other, at)]);
        }
    }

    /// Lets a router stand still. What arrives there waits.
    pub(crate) fn freeze(&mut self, at: usize) {
        self.frozen.entry(at).or_default();
    }

    /// Lets a router go on that stood still, with all that has arrived.
    pub(crate) fn wake(&mut self, at: usize) {
        for input in self.frozen.remove(&at).unwrap_or_default() {
            self.input(at, input);
        }
    }

    /// Records the status of a move, unless a final one of the same move is recorded.
    fn record_status(&mut self, progress: MoveProgress) {
        let last = self.statuses.last();
        let is_final = last.is_some_and(|last| {
            last.revision == progress.revision && last.phase != MovePhase::Running
        });
        if !is_final && last != Some(&progress) {
            self.statuses.push(progress);
        }
    }

    /// Answers the reads of the recorded statuses.
    fn answer_status_reads(&mut self) {
        for (at, asked) in std::mem::take(&mut self.status_reads) {
            if self.statuses_unreadable || self.store_blocked.contains(&at) {
                continue;
            }
            let statuses = self.statuses.last().cloned().into_iter().collect();
            let read = StoreEvent::MoveStatuses { asked, statuses };
            self.input(at, Input::Store(read));
        }
    }

    /// Delivers an input to a router and processes the outputs.
    pub(crate) fn input(&mut self, at: usize, input: Input) {
        if self.dead.contains(&at) {
            return;
        }
        if let Some(waiting) = self.frozen.get_mut(&at) {
            waiting.push(input);
            return;
        }
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
                    if self.prompts.contains_key(&dispatch.request) {
                        self.attempts
                            .insert((at, dispatch.attempt), dispatch.request);
                    }
                    if self.is_down(dispatch.target) {
                        self.refusing.push((at, dispatch.attempt));
                        continue;
                    }
                    let sent = (self.now, at, dispatch.target, dispatch.request);
                    self.dispatched.push(sent);
                    let tokens = match self.prompts.get(&dispatch.request) {
                        Some(parts) => parts.iter().map(|part| u64::from(part.tokens)).sum(),
                        None => 12_000,
                    };
                    let jobs = self.targets.entry(dispatch.target).or_default();
                    jobs.push((at, dispatch.attempt, tokens));
                }
                Output::Abort(attempt) => {
                    for jobs in self.targets.values_mut() {
                        jobs.retain(|(of, other, _)| (*of, *other) != (at, attempt));
                    }
                }
                Output::Refuse(request, refusal) => {
                    self.refused.insert((at, request), refusal);
                    self.refused_at.insert(request, self.now);
                }
                Output::Peer { to, bytes } => {
                    let from = RouterId(u32::try_from(at + 1).expect("few routers"));
                    let to = to.0 as usize - 1;
                    if !self.traffic.is_empty() {
                        self.traffic[at].sent += 1;
                        self.traffic[at].bytes_sent += bytes.len() as u64;
                        self.traffic[to].received += 1;
                    }
                    if !self.mute.contains(&at) && !self.severed.contains(&(at, to)) {
                        let delay = self.delays.get(&to).copied().unwrap_or_default();
                        self.frames.push((self.now + STEP + delay, to, from, bytes));
                    }
                }
                Output::Wake(wake) => {
                    self.wakes.insert((wake, at));
                }
                Output::MoveProgress(progress) if !self.store_blocked.contains(&at) => {
                    self.record_status(progress);
                }
                Output::Notice(notice) => self.notices.push(notice),
                Output::ReadMoveStatuses => self.status_reads.push((at, self.now)),
                _ => {}
            }
        }
    }

    /// Advances the clock by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock by [`STEP`] and processes everything that falls due.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        self.record_limits();
        let (due, rest) = std::mem::take(&mut self.frames)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.frames = rest;
        let due: Vec<(Time, usize, RouterId, Vec<u8>)> = due;
        for (_, to, from, bytes) in due {
            self.input(to, Input::Peer { from, bytes });
        }
        let (due, rest) = std::mem::take(&mut self.heads_in_transit)
            .into_iter()
            .partition(|head: &Head| head.arrives <= self.now);
        self.heads_in_transit = rest;
        let due: Vec<Head> = due;
        for head in due {
            self.start_answer(head);
        }
        let mut done = Vec::new();
        for (&target, jobs) in &mut self.targets {
            if let Some(first) = jobs.first_mut() {
                first.2 = first.2.saturating_sub(TOKENS_PER_STEP);
                if first.2 == 0 {
                    done.push((target, jobs.remove(0)));
                }
            }
        }
        for (at, attempt) in std::mem::take(&mut self.refusing) {
            self.fail(at, attempt, FailureKind::Connect);
        }
        for (target, (at, attempt, _)) in done {
            if self.is_down(target) {
                // The target crashed earlier in this step.
                self.fail(at, attempt, FailureKind::Broken);
                continue;
            }
            if self.crashes_target(at, attempt) {
                self.crash(target, (at, attempt));
                continue;
            }
            let content = self.content_of(at, attempt);
            if content.is_some_and(|content| self.lost_answers.contains(&(target, content))) {
                self.fail(at, attempt, FailureKind::Broken);
                continue;
            }
            let hash = (attempt.0 * 16 + at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            if hash % 10 < self.failures_per_ten.get(&target).copied().unwrap_or(0) {
                self.failed.push((self.now, target));
                self.deliver_head(Head {
                    arrives: self.now,
                    at,
                    attempt,
                    target,
                    limit: self.limits.get(&target).copied(),
                });
                let failure = Failure {
                    kind: FailureKind::Error,
                    sent: true,
                    tokens: 0,
                };
                self.input(at, Input::Attempt(attempt, AttemptEvent::Failed(failure)));
                continue;
            }
            let delay = self.head_delays.get(&at).copied().unwrap_or_default();
            let head = Head {
                arrives: self.now + delay,
                at,
                attempt,
                target,
                limit: self.limits.get(&target).copied(),
            };
            match delay.is_zero() {
                true => self.start_answer(head),
                false => self.heads_in_transit.push(head),
            }
        }
        let (done, rest) = std::mem::take(&mut self.generating)
            .into_iter()
            .partition(|answer: &Generating| answer.until <= self.now);
        self.generating = rest;
        let done: Vec<Generating> = done;
        for Generating { at, attempt, .. } in done {
            if let Some(request) = self.attempts.remove(&(at, attempt)) {
                self.answered.insert(request);
            }
            let finished = AttemptEvent::Finished { tokens: 1 };
            self.input(at, Input::Attempt(attempt, finished));
        }
        while let Some(&(wake, at)) = self.wakes.first()
            && wake <= self.now
        {
            // One timer input serves all wake-ups of a router that are due.
            self.wakes.retain(|&(wake, of)| of != at || wake > self.now);
            self.input(at, Input::Timer);
        }
        if self.writes_records && self.now.as_millis().is_multiple_of(RECORD_INTERVAL_MS) {
            self.write_records();
        }
        if self.now.as_millis().is_multiple_of(10) {
            self.answer_status_reads();
            let asked = self.now;
            for at in 0..self.nodes.len() {
                if self.frozen.contains_key(&at) {
                    continue;
                }
                if self.store_blocked.contains(&at) {
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

    /// Delivers the records of all targets that are up to all routers.
    fn write_records(&mut self) {
        let up: Vec<TargetId> = self
            .targets_listed()
            .into_iter()
            .filter(|&it| !self.is_down(it))
            .collect();
        let state = |target| TargetState {
            target,
            leaving: false,
            cold_for: Duration::ZERO,
            started_ms: Some(self.runs.get(&target).map_or(0, |at| at.as_millis())),
            sequence: self.now.as_millis() / RECORD_INTERVAL_MS,
        };
        let states: Vec<TargetState> = up.into_iter().map(state).collect();
        for at in 0..self.nodes.len() {
            self.input(at, Input::Store(StoreEvent::Targets(states.clone())));
        }
    }

    /// Returns the targets that the store lists.
    pub(crate) fn targets_listed(&self) -> Vec<TargetId> {
        let names = self.store.iter().filter_map(|change| match &change.scope {
            Scope::One(Kind::Target, name) if !change.entries.is_empty() => Some(name),
            _ => None,
        });
        names.map(|name| TargetId(id(Kind::Target, name))).collect()
    }

    /// Returns the content of the request of an attempt, if it shares that with others.
    fn content_of(&self, at: usize, attempt: AttemptId) -> Option<Fingerprint> {
        let request = self.attempts.get(&(at, attempt))?;
        self.contents.get(request).copied()
    }

    /// Records what targets name from now on, if it has changed.
    fn record_limits(&mut self) {
        let last = self.limit_changes.last();
        if last.is_none_or(|(_, limits)| *limits != self.limits) {
            self.limit_changes.push((self.now, self.limits.clone()));
        }
    }

    /// Delivers the head of an answer, whose body follows.
    fn start_answer(&mut self, head: Head) {
        let Head {
            at,
            attempt,
            target,
            ..
        } = head;
        self.deliver_head(head);
        self.input(at, Input::Attempt(attempt, AttemptEvent::Started));
        self.generating.push(Generating {
            until: self.now + self.generation_time,
            at,
            attempt,
            target,
        });
    }

    /// Delivers the head of an answer.
    fn deliver_head(&mut self, head: Head) {
        let limit = match head.limit {
            Some(millis) => StatedLimit::PerSecond(Rate::from_millis(millis)),
            None => StatedLimit::Absent,
        };
        if !self.dead.contains(&head.at) {
            self.heads.push(head);
        }
        let load = self.work.get(&head.target).map(|&work| TargetLoad {
            running: 1,
            waiting: 0,
            work: Some(work),
        });
        let answer = AnswerHead { load, limit };
        self.input(head.at, Input::Head(head.attempt, answer));
    }

    fn is_down(&self, target: TargetId) -> bool {
        self.down
            .get(&target)
            .is_some_and(|&until| until > self.now)
    }

    /// Returns whether a target crashes as it begins to answer an attempt.
    fn crashes_target(&self, at: usize, attempt: AttemptId) -> bool {
        let request = self.attempts.get(&(at, attempt));
        let parts = request.and_then(|request| self.prompts.get(request));
        let crashes = |part: &PromptPart| self.crashing_parts.contains(&part.content);
        let content = self.content_of(at, attempt);
        parts.is_some_and(|parts| parts.iter().any(crashes))
            || content.is_some_and(|content| self.crashing_contents.contains(&content))
    }

    /// Crashes a target for [`DOWN_FOR`], as it begins to answer the attempt `first` or by itself. Everything that
    /// runs there breaks off.
    pub(crate) fn crash(&mut self, target: TargetId, first: impl Into<Option<(usize, AttemptId)>>) {
        self.crashes.push((self.now, target));
        self.down.insert(target, self.now + DOWN_FOR);
        self.runs.insert(target, self.now + DOWN_FOR);
        let unread = self.targets.remove(&target).unwrap_or_default();
        let unread = unread.into_iter().map(|(at, attempt, _)| (at, attempt));
        let broken: Vec<(usize, AttemptId)> = first.into().into_iter().chain(unread).collect();
        let (flowing, rest) = std::mem::take(&mut self.generating)
            .into_iter()
            .partition(|answer: &Generating| answer.target == target);
        self.generating = rest;
        let flowing: Vec<Generating> = flowing;
        let (lost, rest) = std::mem::take(&mut self.heads_in_transit)
            .into_iter()
            .partition(|head: &Head| head.target == target);
        self.heads_in_transit = rest;
        let lost: Vec<Head> = lost;
        let broken = broken
            .into_iter()
            .chain(lost.iter().map(|head| (head.at, head.attempt)));
        for (at, attempt) in broken {
            self.fail(at, attempt, FailureKind::Broken);
        }
        for Generating { at, attempt, .. } in flowing {
            self.fail(at, attempt, FailureKind::Truncated);
        }
    }

    /// Reports to a router that an attempt failed.
    fn fail(&mut self, at: usize, attempt: AttemptId, kind: FailureKind) {
        let failure = Failure {
            kind,
            sent: kind != FailureKind::Connect,
            tokens: 0,
        };
        self.input(at, Input::Attempt(attempt, AttemptEvent::Failed(failure)));
    }

    /// Returns how far the prompt tokens that routers know to be unread at targets differ from those that are unread there,
    /// in per cent of these, over all routers and targets.
    pub(crate) fn known_load_error(&self) -> f64 {
        let (mut difference, mut all) = (0, 0);
        for (&target, jobs) in &self.targets {
            let actual = jobs.len() as u64 * 12_000;
            for node in &self.nodes {
                difference += node.load_at(target).unread.abs_diff(actual);
                all += actual;
            }
        }
        100.0 * difference as f64 / (all as f64).max(1.0)
    }

    /// Writes changes to the store. Each router reads them at its next successful read.
    pub(crate) fn write(&mut self, changes: &[StoreChange]) {
        self.keep(changes);
        for at in 0..self.nodes.len() {
            let unread = changes.iter().map(|change| (at, change.clone()));
            self.unread.extend(unread);
        }
    }

    /// Submits a request to a router. Its prompt of 12000 tokens shares no prefix with other requests.
    pub(crate) fn submit(&mut self, at: usize, organisation: &str) -> RequestId {
        self.submit_delayed(at, organisation, Duration::ZERO)
    }

    /// Submits a request as [`Fleet::submit`] does that arrived at the router `before` ago.
    pub(crate) fn submit_delayed(
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
        let req = self.request(request, organisation, vec![own], before);
        self.input(at, Input::Request(req));
        request
    }

    /// Submits a request whose prompt consists of these parts, each of 100 tokens, and a last one of its own.
    pub(crate) fn submit_prompt(
        &mut self,
        at: usize,
        organisation: &str,
        shared: &[Fingerprint],
        repeat: Repeat,
    ) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let own = Fingerprint(1 << 40 | self.next);
        let part = |content| PromptPart {
            content,
            tokens: 100,
        };
        let parts: Vec<PromptPart> = shared.iter().copied().chain([own]).map(part).collect();
        self.prompts.insert(request, parts.clone());
        let req = Request {
            repeat,
            ..self.request(request, organisation, parts, Duration::ZERO)
        };
        self.input(at, Input::Request(req));
        request
    }

    /// Submits a request whose prompt has so many tokens and shares no prefix with other requests.
    pub(crate) fn submit_tokens(
        &mut self,
        at: usize,
        organisation: &str,
        tokens: u32,
    ) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let own = PromptPart {
            content: Fingerprint(self.next),
            tokens,
        };
        self.prompts.insert(request, vec![own]);
        let req = self.request(request, organisation, vec![own], Duration::ZERO);
        self.input(at, Input::Request(req));
        request
    }

    /// Submits a request whose content others share, with this limit of targets that may run it.
    pub(crate) fn submit_content(
        &mut self,
        at: usize,
        content: Fingerprint,
        repeat: Repeat,
        attempts_max: u32,
    ) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let own = PromptPart {
            content,
            tokens: 100,
        };
        self.contents.insert(request, content);
        self.prompts.insert(request, vec![own]);
        let mut req = Request {
            repeat,
            fingerprint: content,
            ..self.request(request, "one", vec![own], Duration::ZERO)
        };
        req.details.attempts_max = Some(attempts_max);
        self.input(at, Input::Request(req));
        request
    }

    fn request(
        &self,
        request: RequestId,
        organisation: &str,
        parts: Vec<PromptPart>,
        before: Duration,
    ) -> Request {
        let tokens = parts.iter().map(|part| part.tokens).sum();
        Request {
            id: request,
            organisation: OrganisationId(id(Kind::Organisation, organisation)),
            pool: PoolId(id(Kind::Pool, "m")),
            class: None,
            repeat: Repeat::Unkeyed,
            deadline: Some(self.now + Duration::from_secs(15)),
            prompt_tokens: tokens,
            hint_tokens: None,
            fingerprint: Fingerprint(request.0),
            prefix: None,
            details: RequestDetails {
                parts,
                attempts_max: Some(self.runs_max),
                objective: Some(OBJECTIVE),
                gap_max: None,
                output_tokens: 10,
                body_bytes: 10_000,
                arrived: Some(self.now - before),
                is_resumed: false,
            },
        }
    }
}

/// Returns a router as it is after its start.
fn node(me: u32, run: Incarnation, capacity: u32, data_centres: usize, now: Time) -> Node {
    let mut cfg = Config::new(RouterId(me), run);
    cfg.membership.capacity = capacity;
    cfg.log.source = CatalogueSource::Store;
    cfg.slots.policy = Policy::Local;
    cfg.quarantine.evidence = Evidence::Answers;
    cfg.membership.mesh_max = MESH_MAX;
    cfg.share.full_replication_max = MESH_MAX + 1;
    cfg.version.share_max = SHARE_MAX_MILLIS;
    cfg.version.margin = MOVE_MARGIN;
    cfg.version.exposure = Exposure {
        share: 100,
        slack: 50,
    };
    cfg.data_centre = data_centre_of(me as usize - 1, data_centres);
    cfg.caller_address = format!("127.0.0.1:{me}");
    Node::new(cfg, now, u64::from(me))
}

/// Returns the VM of a router.
pub(crate) fn router(id: u32) -> Vm {
    Vm {
        id,
        role: VmRole::Router,
        address: format!("127.0.0.1:{}", 7_000 + id),
        data_centre: "a".to_owned(),
        leaving: false,
    }
}

/// Returns the name of the data centre of a router, by its index, where routers are spread evenly over so many.
fn data_centre_of(at: usize, data_centres: usize) -> String {
    let letter = u8::try_from(at % data_centres).expect("few data centres");
    char::from(b'a' + letter).to_string()
}
