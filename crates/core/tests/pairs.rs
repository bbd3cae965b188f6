//! Tests of pairs of failures: each seed draws two failures, which may overlap, and the invariants are checked at each step
//! and at the end.
//!
//! `PAIRS_SEED=17 cargo test -p bulrushtrestle-core --test pairs` runs only one seed.

mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use bulrushtrestle_core::catalogue::entry::{DataCentre, DataCentreState, Entry, Kind};
use bulrushtrestle_core::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use self::fixture::{Fleet, Job, Setup, request, setup};

const SEEDS: u64 = 200;
const ROUTERS: u32 = 4;
/// The time between two checks of the invariants; requests are submitted as often.
const STEP: Duration = Duration::from_millis(100);
/// Requests for each router in each step; in total about the capacity of the targets.
const OFFERED: u32 = 4;
/// How long requests are submitted.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// How long the fleet then has to answer all requests and recover.
const SETTLE_TIME: Duration = Duration::from_secs(75);
/// A data centre gets no new work later than this after it was taken out of service; the users' "few seconds".
const OUT_OF_SERVICE_WITHIN: Duration = Duration::from_secs(5);

/// A failure, an overload or an operator's action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Cut off from the other routers.
    Partition(RouterId),
    /// Cut off from the other routers and from the log.
    Isolated(RouterId),
    /// Killed, and restarted with empty state at the end.
    Restart(RouterId),
    /// Paused.
    Pause(RouterId),
    /// Cut off from the log.
    LogCut(RouterId),
    /// The log is down.
    Outage,
    /// Appends to the log take effect but their results are lost.
    LostAnswers,
    /// Data centre `a` is out of service.
    DataCentreOut,
    /// One organisation sends far more requests to a router.
    Flood(RouterId),
    /// The target with this index crashes and restarts immediately.
    TargetCrash(usize),
    /// The target with this index is down.
    TargetDown(usize),
    /// The target with this index takes five times as long for each token.
    SlowTarget(usize),
    /// Some messages between routers are delivered twice.
    Duplicates,
}

/// A failure with its start, relative to the start of the load, and its length.
#[derive(Debug, Clone, Copy)]
struct Episode {
    trouble: Trouble,
    begins: Duration,
    lasts: Duration,
}

impl Episode {
    /// Draws a random episode.
    fn draw(rng: &mut StdRng) -> Self {
        let router = RouterId(rng.random_range(1..=ROUTERS));
        let target = rng.random_range(0..6);
        let trouble = *[
            Trouble::Partition(router),
            Trouble::Isolated(router),
            Trouble::Restart(router),
            Trouble::Pause(router),
            Trouble::LogCut(router),
            Trouble::Outage,
            Trouble::LostAnswers,
            Trouble::DataCentreOut,
            Trouble::Flood(router),
            Trouble::TargetCrash(target),
            Trouble::TargetDown(target),
            Trouble::SlowTarget(target),
            Trouble::Duplicates,
        ]
        .choose(rng)
        .expect("there are troubles");
        Self {
            trouble,
            begins: Duration::from_millis(rng.random_range(2_000..8_000)),
            lasts: Duration::from_millis(rng.random_range(500..10_000)),
        }
    }
}

struct World {
    setup: Setup,
    rng: StdRng,
    /// The identity of the last request.
    next: u64,
    /// Unanswered requests at routers when these were killed.
    lost: BTreeSet<(RouterId, RequestId)>,
    /// When data centre `a` was taken out of service, while it is.
    out_since: Option<Time>,
    /// The incarnation of each router and its revision of data centre `a` at the last check.
    revisions: BTreeMap<RouterId, (Incarnation, Offset)>,
    /// The router that currently gets a flood of requests.
    flooded: Option<RouterId>,
    /// The idempotency keys used so far.
    keys: Vec<Uuid>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            setup: setup(ROUTERS, 6, 3, seed),
            rng: StdRng::seed_from_u64(seed),
            next: 0,
            lost: BTreeSet::new(),
            out_since: None,
            revisions: BTreeMap::new(),
            flooded: None,
            keys: Vec::new(),
        }
    }

    fn fleet(&mut self) -> &mut Fleet {
        &mut self.setup.fleet
    }

    fn begin(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Partition(router) => self.fleet().partition(&[router]),
            Trouble::Isolated(router) => {
                self.fleet().partition(&[router]);
                self.fleet().log_cut.insert(router);
            }
            Trouble::Restart(router) => self.kill(router),
            Trouble::Pause(router) => self.fleet().freeze(router, true),
            Trouble::LogCut(router) => {
                self.fleet().log_cut.insert(router);
            }
            Trouble::Outage => self.fleet().log.down = true,
            Trouble::LostAnswers => self.fleet().log.lose_answers = true,
            Trouble::DataCentreOut => {
                self.set_data_centre_state(DataCentreState::Out);
                self.out_since = Some(self.fleet().now);
            }
            Trouble::Flood(router) => self.flooded = Some(router),
            Trouble::TargetCrash(index) => {
                let target = self.setup.targets[index];
                self.fleet().crash(target);
            }
            Trouble::TargetDown(index) => self.engine(index).up = false,
            Trouble::SlowTarget(index) => self.engine(index).slowdown = 5,
            Trouble::Duplicates => self.fleet().duplicate = 0.3,
        }
    }

    fn end(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Partition(_) => self.fleet().partition(&[]),
            Trouble::Isolated(router) => {
                self.fleet().partition(&[]);
                self.fleet().log_cut.remove(&router);
            }
            Trouble::Restart(router) => self.fleet().restart(router),
            Trouble::Pause(router) => self.fleet().freeze(router, false),
            Trouble::LogCut(router) => {
                self.fleet().log_cut.remove(&router);
            }
            Trouble::Outage => self.fleet().log.down = false,
            Trouble::LostAnswers => self.fleet().log.lose_answers = false,
            Trouble::DataCentreOut => {
                self.out_since = None;
                self.set_data_centre_state(DataCentreState::In);
            }
            Trouble::Flood(_) => self.flooded = None,
            Trouble::TargetCrash(_) => {}
            Trouble::TargetDown(index) => {
                let now = self.fleet().now;
                let engine = self.engine(index);
                engine.up = true;
                engine.started = now;
            }
            Trouble::SlowTarget(index) => self.engine(index).slowdown = 1,
            Trouble::Duplicates => self.fleet().duplicate = 0.0,
        }
    }

    /// Kills a router and records its unanswered requests as lost.
    fn kill(&mut self, router: RouterId) {
        let answered: BTreeSet<RequestId> = self
            .fleet()
            .answers
            .iter()
            .map(|answer| answer.request)
            .collect();
        let open = self.setup.fleet.jobs.keys();
        let open = open.filter(|(at, request)| *at == router && !answered.contains(request));
        self.lost.extend(open.copied());
        self.fleet().kill(router);
    }

    fn engine(&mut self, index: usize) -> &mut fixture::Engine {
        let target = self.setup.targets[index];
        self.fleet()
            .engines
            .get_mut(&target)
            .expect("the target exists")
    }

    /// Publishes a new state of data centre `a`, based on the most recent record of it in the log.
    fn set_data_centre_state(&mut self, state: DataCentreState) {
        let (name, region) = ("a".to_owned(), "r".to_owned());
        let fleet = &mut self.setup.fleet;
        let published = fleet
            .log
            .records
            .iter()
            .enumerate()
            .rev()
            .find(|(_, (_, bytes))| {
                String::from_utf8_lossy(bytes).contains(r#""kind":"data_centre","name":"a""#)
            });
        let replaces = published.map(|(offset, _)| Offset(offset as u64));
        fleet.publish(
            Entry::DataCentre(DataCentre {
                name,
                region,
                state,
            }),
            replaces,
        );
    }

    /// Submits the requests of one step.
    fn offer(&mut self) {
        let routers: Vec<RouterId> = (1..=ROUTERS).map(RouterId).collect();
        for router in routers {
            let flood = if self.flooded == Some(router) { 30 } else { 0 };
            for index in 0..OFFERED + flood {
                let organisation = if index < OFFERED {
                    *self
                        .setup
                        .organisations
                        .choose(&mut self.rng)
                        .expect("there are organisations")
                } else {
                    self.setup.organisations[0]
                };
                self.offer_one(router, organisation);
            }
        }
    }

    fn offer_one(&mut self, router: RouterId, organisation: OrganisationId) {
        self.next += 1;
        let mut req = request(self.next, organisation, self.setup.pool);
        if self.next.is_multiple_of(5) {
            req.repeat = Repeat::Unkeyed;
        }
        if self.next.is_multiple_of(7) {
            req.repeat = Repeat::Once(self.key());
        }
        let tokens = self.rng.random_range(5..60);
        let token_time = Duration::from_millis(10);
        if !self.setup.fleet.hosts[&router].up {
            return;
        }
        self.fleet().submit(
            router,
            req,
            Job {
                tokens,
                token_time,
                crashes: false,
            },
        );
    }

    /// Returns a new idempotency key, or in three of ten cases the last one again, as a caller uses that lost its answer.
    fn key(&mut self) -> Uuid {
        let old = self
            .keys
            .last()
            .copied()
            .filter(|_| self.rng.random_bool(0.3));
        old.unwrap_or_else(|| {
            let millis = self.setup.fleet.now.as_millis();
            let random = self.rng.random();
            let key = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
            self.keys.push(key);
            key
        })
    }

    /// Checks the invariants that hold at all times.
    fn check(&mut self, at: &str) {
        let fleet = &mut self.setup.fleet;
        assert_eq!(
            fleet.overload(),
            0,
            "{at}: a target got more than it can bear"
        );
        if let Some(out_since) = self.out_since {
            let catalogue = fleet.hosts[&RouterId(1)].node.catalogue();
            let targets = catalogue.targets();
            let out: Vec<TargetId> = targets
                .filter(|target| target.entry.data_centre == "a")
                .map(|target| target.id)
                .collect();
            let late = fleet.dispatches.iter().find(|(time, _, dispatch)| {
                time.since(out_since) > OUT_OF_SERVICE_WITHIN && out.contains(&dispatch.target)
            });
            assert!(
                late.is_none(),
                "{at}: new work for a data centre that is out: {late:?}"
            );
        }
        fleet.dispatches.clear();
        for (&router, host) in &fleet.hosts {
            let stored = host.node.catalogue().stored(Kind::DataCentre, "a");
            let revision = stored.map_or(Offset(0), |stored| stored.revision);
            let run = host.cfg.incarnation;
            let before = self.revisions.insert(router, (run, revision));
            let reverted = before.is_some_and(|(old, before)| old == run && before > revision);
            assert!(!reverted, "{at}: {router} reverted an entry");
        }
    }

    /// Checks the invariants that hold once all requests are answered and the fleet has recovered.
    fn check_end(&mut self, at: &str) {
        let fleet = &self.setup.fleet;
        let mut answers: BTreeMap<(RouterId, RequestId), u32> = BTreeMap::new();
        for answer in &fleet.answers {
            let key = (answer.router, answer.request);
            *answers.entry(key).or_default() += 1;
            if let Some(Refusal {
                verdict: Verdict::NotRun,
                reason,
                ..
            }) = answer.refusal
            {
                let runs = fleet.runs(answer.router, answer.request);
                assert_eq!(runs, 0, "{at}: {key:?} ran, refused as not run: {reason}");
            }
        }
        for (key, (req, _)) in &fleet.jobs {
            let count = answers.get(key).copied().unwrap_or(0);
            let wanted = u32::from(!self.lost.contains(key));
            assert!(
                count <= 1 && count >= wanted,
                "{at}: {key:?} got {count} answers"
            );
            if req.repeat == Repeat::Unkeyed {
                let runs = fleet.runs(key.0, key.1);
                assert!(
                    runs <= 1,
                    "{at}: {key:?} may not be repeated and ran {runs} times"
                );
            }
        }
        let mut runs: BTreeMap<(OrganisationId, Uuid), u32> = BTreeMap::new();
        for (&(router, id), (req, _)) in &fleet.jobs {
            if let Repeat::Once(key) = req.repeat {
                *runs.entry((req.organisation, key)).or_default() += fleet.runs(router, id);
            }
        }
        let twice = runs.iter().find(|(_, runs)| **runs > 1);
        assert!(twice.is_none(), "{at}: a key ran more than once: {twice:?}");
        let known: BTreeSet<Option<Offset>> = fleet
            .hosts
            .values()
            .map(|host| {
                host.node
                    .catalogue()
                    .stored(Kind::DataCentre, "a")
                    .map(|s| s.revision)
            })
            .collect();
        assert_eq!(known.len(), 1, "{at}: routers disagree at the end");
        for (router, host) in &fleet.hosts {
            assert!(
                host.up && host.node.is_ready(),
                "{at}: {router} is not ready at the end"
            );
        }
    }
}

fn run(seed: u64) {
    let mut world = World::new(seed);
    let episodes = [Episode::draw(&mut world.rng), Episode::draw(&mut world.rng)];
    if same_kind(&episodes) {
        return;
    }
    let at = format!("PAIRS_SEED={seed}, {episodes:?}");
    let mut passed = Duration::ZERO;
    while passed < LOAD_TIME + SETTLE_TIME {
        for Episode {
            trouble,
            begins,
            lasts,
        } in episodes
        {
            if (passed..passed + STEP).contains(&begins) {
                world.begin(trouble);
            }
            if (passed..passed + STEP).contains(&(begins + lasts)) {
                world.end(trouble);
            }
        }
        if passed < LOAD_TIME {
            world.offer();
        }
        world.fleet().run(STEP);
        world.check(&at);
        passed += STEP;
    }
    world.check_end(&at);
}

/// Reports whether two episodes are of the same kind. The end of one would also end the other.
fn same_kind(episodes: &[Episode; 2]) -> bool {
    let [one, two] = episodes.map(|episode| std::mem::discriminant(&episode.trouble));
    one == two
}

#[test]
fn what_must_hold_holds_under_pairs_of_failures() {
    let only = std::env::var("PAIRS_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    if let Some(seed) = only {
        run(seed);
        return;
    }
    let workers = std::thread::available_parallelism().map_or(1, |count| count.get().min(8)) as u64;
    std::thread::scope(|scope| {
        for worker in 0..workers {
            scope.spawn(move || (worker..SEEDS).step_by(workers as usize).for_each(run));
        }
    });
}
