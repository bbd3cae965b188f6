//! Tests of the catalogue in a fleet: edits take effect within seconds, never revert, and leave no router with outdated work.

mod fixture;

use bulrushtrestle_core::catalogue::entry::{
    Bounds, DataCentre, DataCentreState, Entry, Kind, Pool, Service,
};
use bulrushtrestle_core::input::Vm;
use bulrushtrestle_core::prelude::*;

use self::fixture::{Fleet, Job, Setup, request, setup, setup_with};

/// The users' bound on the time until an edit is in force at every router.
const IN_FORCE: Duration = Duration::from_secs(8);
/// A data centre gets no new work later than this after it was taken out of service; the users' "a few seconds".
const OUT: Duration = Duration::from_secs(5);

const LONG: Job = Job {
    tokens: 400,
    token_time: Duration::from_millis(10),
    crashes: false,
};
const SHORT: Job = Job {
    tokens: 10,
    token_time: Duration::from_millis(10),
    crashes: false,
};

/// The fault during an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// Router 1 can reach its peers but not the log.
    LogCut,
    /// Router 1 can reach neither the log nor its peers.
    Alone,
    /// Router 1 is cut off from the log, and the log goes down for all routers as soon as router 2
    /// has read the edit.
    OutageAfter,
    /// Router 1 is paused during the edit and resumes 20 s later.
    Paused,
    /// Router 1 is paused during the edit, and the log is down when it resumes.
    PausedThenOutage,
    /// Routers 1 and 2 are cut off from the others and from the log.
    SmallPart,
}

impl Trouble {
    /// Begins the fault, before the edit.
    fn begin(self, fleet: &mut Fleet) {
        let one = RouterId(1);
        match self {
            Self::Nothing => {}
            Self::LogCut | Self::OutageAfter => {
                fleet.log_cut.insert(one);
            }
            Self::Alone => {
                fleet.log_cut.insert(one);
                fleet.partition(&[one]);
            }
            Self::Paused | Self::PausedThenOutage => fleet.freeze(one, true),
            Self::SmallPart => {
                fleet.log_cut.extend([one, RouterId(2)]);
                fleet.partition(&[one, RouterId(2)]);
            }
        }
    }

    /// Takes the log down shortly after the edit for [`Trouble::OutageAfter`].
    fn after_edit(self, fleet: &mut Fleet) {
        if self == Self::OutageAfter {
            fleet.run(Duration::from_millis(150));
            fleet.log.down = true;
        }
    }

    /// Resumes router 1 if it was paused.
    fn later(self, fleet: &mut Fleet) {
        match self {
            Self::PausedThenOutage => {
                fleet.log.down = true;
                fleet.run(Duration::from_secs(5));
                fleet.freeze(RouterId(1), false);
            }
            Self::Paused => fleet.freeze(RouterId(1), false),
            Self::Nothing | Self::LogCut | Self::Alone | Self::OutageAfter | Self::SmallPart => {}
        }
    }
}

#[test]
fn a_data_centre_that_was_taken_out_gets_no_new_work() {
    let troubles = [
        Trouble::Nothing,
        Trouble::LogCut,
        Trouble::Alone,
        Trouble::OutageAfter,
        Trouble::Paused,
        Trouble::PausedThenOutage,
        Trouble::SmallPart,
    ];
    for trouble in troubles {
        let Setup {
            mut fleet,
            pool,
            organisations,
            ..
        } = setup(5, 6, 3, 1);
        let mut id = 0;
        let mut load = |fleet: &mut Fleet, seconds: u32| {
            for _ in 0..seconds * 10 {
                let routers: Vec<RouterId> = fleet.hosts.keys().copied().collect();
                for router in routers {
                    id += 1;
                    let organisation = organisations[id as usize % organisations.len()];
                    fleet.submit(router, request(id, organisation, pool), SHORT);
                }
                fleet.run(Duration::from_millis(100));
            }
        };
        load(&mut fleet, 2);
        trouble.begin(&mut fleet);
        load(&mut fleet, 1);
        let old = stored(&fleet, RouterId(3), Kind::DataCentre, "a").expect("it was published");
        let entry = DataCentre {
            name: "a".to_owned(),
            region: "r".to_owned(),
            state: DataCentreState::Out,
        };
        fleet.publish(Entry::DataCentre(entry), Some(old));
        let declared = fleet.now;
        trouble.after_edit(&mut fleet);
        load(&mut fleet, 20);
        trouble.later(&mut fleet);
        load(&mut fleet, 5);
        let out = targets_in(&fleet, "a");
        let late = fleet
            .dispatches
            .iter()
            .filter(|(at, _, dispatch)| at.since(declared) > OUT && out.contains(&dispatch.target));
        assert_eq!(late.count(), 0, "{trouble:?}");
        let served = fleet
            .dispatches
            .iter()
            .filter(|(at, ..)| at.since(declared) > OUT);
        assert!(
            served.count() > 500,
            "{trouble:?}: the other data centres serve"
        );
    }
}

#[test]
fn an_edit_is_in_force_everywhere_in_time() {
    for trouble in [Trouble::Nothing, Trouble::LogCut, Trouble::OutageAfter] {
        let Setup { mut fleet, .. } = setup(8, 2, 1, 2);
        trouble.begin(&mut fleet);
        fleet.run(Duration::from_secs(1));
        let entry = Pool {
            name: "new".to_owned(),
            service: Service::Plain,
            bounds: Bounds::default(),
            autoscale: None,
        };
        let offset = fleet.publish(Entry::Pool(entry), None);
        trouble.after_edit(&mut fleet);
        fleet.run(IN_FORCE);
        for &router in fleet.hosts.keys() {
            let found = stored(&fleet, router, Kind::Pool, "new");
            assert_eq!(found, Some(offset), "{trouble:?}: {router}");
        }
    }
}

#[test]
fn racing_edits_end_alike_everywhere_and_never_revert() {
    let Setup { mut fleet, .. } = setup(5, 1, 1, 3);
    let pool = |service| {
        Entry::Pool(Pool {
            name: "raced".to_owned(),
            service,
            bounds: Bounds::default(),
            autoscale: None,
        })
    };
    let first = fleet.publish(pool(Service::Model), None);
    let winner = fleet.publish(pool(Service::Plain), Some(first));
    fleet.publish(pool(Service::Model), Some(first));
    fleet.run(Duration::from_secs(1));
    fleet.kill(RouterId(2));
    fleet.partition(&[RouterId(1)]);
    fleet.run(Duration::from_secs(5));
    fleet.restart(RouterId(2));
    fleet.partition(&[]);
    fleet.run(Duration::from_secs(5));
    for &router in fleet.hosts.keys() {
        let found = stored(&fleet, router, Kind::Pool, "raced");
        assert_eq!(found, Some(winner), "{router}");
    }
}

#[test]
fn an_outage_of_the_log_stops_nobody() {
    struct Case {
        name: &'static str,
        /// Routers that are cut off from the others during the outage.
        apart: &'static [u32],
        /// Routers that are ready at the end of the outage.
        ready: &'static [u32],
    }
    let cases = [
        Case {
            name: "all together",
            apart: &[],
            ready: &[1, 2, 3, 4, 5],
        },
        Case {
            name: "the larger part stays ready",
            apart: &[1, 2],
            ready: &[3, 4, 5],
        },
    ];
    for Case { name, apart, ready } in cases {
        let Setup { mut fleet, .. } = setup(5, 3, 1, 4);
        fleet.log.down = true;
        let apart: Vec<RouterId> = apart.iter().copied().map(RouterId).collect();
        fleet.partition(&apart);
        fleet.run(Duration::from_secs(600));
        let found: Vec<u32> = ready_routers(&fleet)
            .iter()
            .map(|router| router.0)
            .collect();
        assert_eq!(found, ready, "{name}");
        fleet.log.down = false;
        fleet.partition(&[]);
        fleet.run(Duration::from_secs(5));
        assert_eq!(ready_routers(&fleet).len(), 5, "{name}: afterwards");
    }
}

#[test]
fn a_router_that_starts_in_an_outage_learns_from_its_peers() {
    let Setup {
        mut fleet,
        organisations,
        ..
    } = setup(5, 3, 40, 5);
    fleet.log.down = true;
    fleet.run(Duration::from_secs(10));
    fleet.kill(RouterId(1));
    fleet.restart(RouterId(1));
    assert!(
        !fleet.hosts[&RouterId(1)].node.is_ready(),
        "the router has no catalogue yet"
    );
    fleet.run(Duration::from_secs(5));
    let node = &fleet.hosts[&RouterId(1)].node;
    assert!(node.is_ready());
    for organisation in organisations {
        assert!(
            node.catalogue().organisation(organisation).is_some(),
            "{organisation}"
        );
    }
}

#[test]
fn entries_outlive_their_records() {
    let retention = Duration::from_secs(60);
    let Setup {
        mut fleet,
        organisations,
        ..
    } = setup_with(3, 2, 150, 6, |cfg| cfg.log.retention = retention);
    for _ in 0..30 {
        fleet.run(Duration::from_secs(5));
        let limit = fleet.now - retention;
        fleet.log.first = fleet.log.records.partition_point(|(at, _)| *at < limit);
    }
    assert!(fleet.log.first > 150, "the first records have aged out");
    fleet.kill(RouterId(1));
    fleet.restart(RouterId(1));
    fleet.partition(&[RouterId(1)]);
    fleet.run(Duration::from_secs(5));
    let node = &fleet.hosts[&RouterId(1)].node;
    for organisation in organisations {
        assert!(
            node.catalogue().organisation(organisation).is_some(),
            "{organisation}"
        );
    }
    let appended = fleet.log.records.len();
    assert!(appended < 600, "{appended} records were appended");
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    struct Case {
        name: &'static str,
        stopping: &'static [u32],
        apart: &'static [u32],
    }
    let cases = [
        Case {
            name: "one",
            stopping: &[1],
            apart: &[],
        },
        Case {
            name: "two at once",
            stopping: &[1, 2],
            apart: &[],
        },
        Case {
            name: "during a partition",
            stopping: &[1],
            apart: &[1, 2],
        },
    ];
    for Case {
        name,
        stopping,
        apart,
    } in cases
    {
        let Setup {
            mut fleet,
            pool,
            organisations,
            ..
        } = setup_with(5, 6, 3, 7, |cfg| {
            cfg.address.valid = Duration::from_secs(10)
        });
        let apart: Vec<RouterId> = apart.iter().copied().map(RouterId).collect();
        fleet.partition(&apart);
        let mut callers = Callers::new(&fleet, &organisations);
        callers.run(&mut fleet, pool, Duration::from_secs(5));
        for &router in stopping {
            let deadline = fleet.now + Duration::from_secs(300);
            fleet.input(
                RouterId(router),
                bulrushtrestle_core::input::Input::Stop { deadline },
            );
        }
        callers.run(&mut fleet, pool, Duration::from_secs(20));
        fleet.run(Duration::from_secs(40));
        for &router in stopping {
            assert!(
                !fleet.hosts[&RouterId(router)].up,
                "{name}: {router} has ended"
            );
        }
        let refused = fleet
            .answers
            .iter()
            .filter(|answer| answer.refusal.is_some())
            .count();
        assert_eq!(refused, 0, "{name}");
        assert_eq!(fleet.answers.len() as u64, callers.sent, "{name}");
    }
}

/// Callers that cache the list of router addresses for as long as it is valid and then ask the
/// router that they used last for a new list.
struct Callers {
    organisations: Vec<OrganisationId>,
    /// For each caller: how long its list is valid, and the router that it uses.
    addresses: Vec<(Time, RouterId)>,
    /// The number of requests sent.
    sent: u64,
}

impl Callers {
    fn new(fleet: &Fleet, organisations: &[OrganisationId]) -> Self {
        let callers = organisations.len() * 4;
        let first = (0..callers).map(|index| (fleet.now, RouterId(1 + index as u32 % 5)));
        Self {
            organisations: organisations.to_vec(),
            addresses: first.collect(),
            sent: 0,
        }
    }

    /// Sends one request of each caller every 100 ms, and removes stopped routers from the VM list.
    fn run(&mut self, fleet: &mut Fleet, pool: PoolId, time: Duration) {
        let end = fleet.now + time;
        while fleet.now < end {
            for index in 0..self.addresses.len() {
                let organisation = self.organisations[index % self.organisations.len()];
                let (until, router) = self.addresses[index];
                if fleet.now >= until {
                    let node = &fleet.hosts[&router].node;
                    let best = node.addresses(Some(organisation));
                    let port: u32 = best[0]
                        .rsplit(':')
                        .next()
                        .expect("a port")
                        .parse()
                        .expect("a number");
                    let until = fleet.now + node.addresses_valid();
                    self.addresses[index] = (until, RouterId(port - 8000));
                }
                let (_, router) = self.addresses[index];
                let job = if index == 0 && self.sent.is_multiple_of(50) {
                    LONG
                } else {
                    SHORT
                };
                self.sent += 1;
                fleet.submit(router, request(self.sent, organisation, pool), job);
            }
            fleet.run(Duration::from_millis(100));
            let hosts = &fleet.hosts;
            let ended = |vm: &Vm| hosts.get(&RouterId(vm.id)).is_some_and(|host| !host.up);
            fleet.vms.retain(|vm| !ended(vm));
        }
    }
}

/// Returns the revision of an entry at a router.
fn stored(fleet: &Fleet, router: RouterId, kind: Kind, name: &str) -> Option<Offset> {
    fleet.hosts[&router]
        .node
        .catalogue()
        .stored(kind, name)
        .map(|stored| stored.revision)
}

fn targets_in(fleet: &Fleet, data_centre: &str) -> Vec<TargetId> {
    let catalogue = fleet.hosts[&RouterId(3)].node.catalogue();
    let targets = catalogue.targets();
    targets
        .filter(|target| target.entry.data_centre == data_centre)
        .map(|target| target.id)
        .collect()
}

fn ready_routers(fleet: &Fleet) -> Vec<RouterId> {
    let ready = fleet
        .hosts
        .iter()
        .filter(|(_, host)| host.up && host.node.is_ready());
    ready.map(|(&router, _)| router).collect()
}
