//! A steady open load on a small fleet, and actions of operators and of the platform.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses a different part of this module"
)]

use bulrushtrestle_core::catalogue::entry::{DataCentre, DataCentreState, Entry, Kind};
use bulrushtrestle_core::catalogue::entry::{Move, Target};
use bulrushtrestle_core::catalogue::message::{Change, Edit};
use bulrushtrestle_core::input::{Vm, VmRole};
use bulrushtrestle_core::lease::message::Lease;
use bulrushtrestle_core::node::Config;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::record::Record;
use bulrushtrestle_core::version::MoveStatus;

use crate::fixture::{Fleet, Job, Setup, request, setup_with};

/// The time between two arrivals at a rate of one request per second.
const SECOND: Duration = Duration::from_secs(1);

/// A fleet under a steady open load.
pub struct World {
    pub fleet: Fleet,
    pub pool: PoolId,
    pub targets: Vec<TargetId>,
    pub organisations: Vec<OrganisationId>,
    /// The behaviour of interactive requests at engines.
    pub job: Job,
    /// The behaviour of batch requests at engines.
    pub batch: Job,
    /// When each request was submitted, by request identity.
    pub arrivals: Vec<Time>,
    /// The identity of the next request.
    next: u64,
}

impl World {
    /// Returns a fleet whose targets are on the VM list and warmed up.
    pub fn warm(routers: u32, targets: u32, rate: u32) -> Self {
        let mut world = Self::cold(routers, targets, 7, |_| {});
        world.run(Duration::from_secs(12), rate);
        for engine in world.fleet.engines.values_mut() {
            engine.peak = 0;
        }
        world
    }

    /// Returns a fleet whose targets are on the VM list and still cold.
    pub fn cold(routers: u32, targets: u32, seed: u64, configure: impl Fn(&mut Config)) -> Self {
        let Setup {
            mut fleet,
            pool,
            targets,
            organisations,
        } = setup_with(routers, targets, 4, seed, configure);
        for index in 0..targets.len() as u32 {
            fleet.vms.push(Vm {
                id: 100 + index,
                role: VmRole::Target,
                address: format!("127.0.0.1:{}", 9000 + index),
                data_centre: ["a", "b", "c"][index as usize % 3].to_owned(),
                leaving: false,
            });
        }
        let job = Job {
            tokens: 20,
            token_time: Duration::from_millis(20),
            crashes: false,
        };
        Self {
            fleet,
            pool,
            targets,
            organisations,
            job,
            batch: job,
            arrivals: Vec::new(),
            next: 0,
        }
    }

    /// Submits `rate` requests per second for `time`, to the live routers in rotation.
    pub fn run(&mut self, time: Duration, rate: u32) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.submit();
            self.fleet.run(SECOND / rate);
        }
    }

    /// Submits one request to the next live router.
    pub fn submit(&mut self) {
        let up: Vec<RouterId> = self
            .fleet
            .hosts
            .iter()
            .filter(|(_, host)| host.up)
            .map(|(&router, _)| router)
            .collect();
        let router = up[self.next as usize % up.len()];
        let organisation = self.organisations[self.next as usize % self.organisations.len()];
        let mut req = request(self.next, organisation, self.pool);
        // One request in four is a batch request, so that there are two routes.
        let batch = self.next % 4 == 3;
        req.class = Some(if batch {
            Class::Batch
        } else {
            Class::Interactive
        });
        self.next += 1;
        let job = if batch { self.batch } else { self.job };
        self.arrivals.push(self.fleet.now);
        self.fleet.submit(router, req, job);
    }

    /// Publishes targets of version `v2` and a move of the pool to `v2` that is due to finish after
    /// `time`. Returns the new targets.
    pub fn move_to(&mut self, targets: u32, time: Duration) -> Vec<TargetId> {
        let entry = Move {
            pool: "m".to_owned(),
            from: "v1".to_owned(),
            to: "v2".to_owned(),
            finish_at: self.fleet.now + time,
        };
        self.fleet.publish(Entry::Move(entry), None);
        let new = (0..targets).map(|index| {
            let entry = Target {
                name: format!("n{index}"),
                vm: 200 + index,
                address: format!("127.0.0.1:{}", 9200 + index),
                data_centre: ["a", "b", "c"][index as usize % 3].to_owned(),
                pool: "m".to_owned(),
                version: "v2".to_owned(),
                slots: 8,
                checks_fence: false,
            };
            TargetId(self.fleet.publish(Entry::Target(entry), None).0 as u32)
        });
        new.collect()
    }

    /// Offers load for `time` and returns the most requests that a target ran at the same time.
    pub fn peak(&mut self, target: TargetId, time: Duration, rate: u32) -> u32 {
        let engine = self.fleet.engines.get_mut(&target).expect("it exists");
        engine.peak = engine.running.len() as u32;
        self.run(time, rate);
        self.fleet.engines[&target].peak
    }

    /// Publishes a new state of a data centre.
    pub fn set_data_centre_state(&mut self, name: &str, state: DataCentreState) {
        let host = self.fleet.hosts.values().find(|host| host.up);
        let catalogue = host.expect("a router is up").node.catalogue();
        let stored = catalogue.stored(Kind::DataCentre, name);
        let replaces = stored.expect("it exists").revision;
        let entry = DataCentre {
            name: name.to_owned(),
            region: "r".to_owned(),
            state,
        };
        self.fleet.publish(Entry::DataCentre(entry), Some(replaces));
    }

    /// Removes a target's entry.
    pub fn remove(&mut self, target: TargetId) {
        let catalogue = self.fleet.hosts[&RouterId(1)].node.catalogue();
        let name = catalogue
            .target(target)
            .expect("it exists")
            .entry
            .name
            .clone();
        let stored = catalogue.stored(Kind::Target, &name).expect("it exists");
        let edit = Edit {
            id: uuid::Uuid::from_u128(0xdead),
            replaces: Some(stored.revision),
            change: Change::Remove {
                kind: Kind::Target,
                name,
            },
            author: String::new(),
        };
        let record = Record::Edit(edit).encode();
        self.fleet.log.records.push((self.fleet.now, record));
    }

    /// Returns how many requests have been submitted so far.
    pub fn offered(&self) -> usize {
        self.next as usize
    }

    /// Returns the router that decides on the pool's move: the holder of the lease in the most recent
    /// claim in the log.
    pub fn decider(&self) -> RouterId {
        let claims = self.fleet.log.records.iter().rev();
        let holder = claims.filter_map(|(_, bytes)| match Record::decode(bytes) {
            Ok(Record::Lease(claim)) if claim.lease == Lease::Move(self.pool) => Some(claim.holder),
            _ => None,
        });
        holder.into_iter().next().expect("the lease was claimed")
    }

    /// Returns the concurrency limit that a target's owner currently applies.
    pub fn limit(&self, target: TargetId) -> u32 {
        let host = &self.fleet.hosts[&self.owner(target)];
        let catalogue = host.node.catalogue();
        let name = &catalogue.target(target).expect("it exists").entry.name;
        let status = host.node.status(self.fleet.now);
        let status = status.targets.iter().find(|status| status.name == *name);
        status.expect("it is listed").limit
    }

    /// Returns the status of the first move at each live router.
    pub fn moves(&self) -> Vec<MoveStatus> {
        let hosts = self.fleet.hosts.values();
        let live = hosts.filter(|host| host.up && !host.frozen);
        live.filter_map(|host| host.node.status(self.fleet.now).moves.into_iter().next())
            .collect()
    }

    /// Returns when attempts at these targets were first failed or slowed down, in order of time.
    pub fn harmed(&self, targets: &[TargetId]) -> Vec<Time> {
        let engines = targets.iter().map(|target| &self.fleet.engines[target]);
        let mut harmed: Vec<Time> = engines
            .flat_map(|engine| engine.harmed.values().copied())
            .collect();
        harmed.sort();
        harmed
    }

    pub fn owner(&self, target: TargetId) -> RouterId {
        let catalogue = self.fleet.hosts[&RouterId(1)].node.catalogue();
        let name = &catalogue.target(target).expect("it exists").entry.name;
        let status = self.fleet.hosts[&RouterId(1)].node.status(self.fleet.now);
        let status = status.targets.iter().find(|status| status.name == *name);
        status
            .and_then(|status| status.owner)
            .expect("the target has an owner")
    }

    pub fn vm_of(&self, target: TargetId) -> u32 {
        let catalogue = self.fleet.hosts[&RouterId(1)].node.catalogue();
        catalogue.target(target).expect("it exists").entry.vm
    }

    /// Marks a target as leaving, on the common VM list or only on the list that router `only` reads.
    pub fn set_leaving(&mut self, target: TargetId, only: Option<RouterId>) {
        let vm = self.vm_of(target);
        let mut vms = self.fleet.vms.clone();
        for listed in vms.iter_mut().filter(|listed| listed.id == vm) {
            listed.leaving = true;
        }
        match only {
            None => self.fleet.vms = vms,
            Some(router) => {
                self.fleet.vm_overrides.insert(router, vms);
            }
        }
    }

    pub fn targets_in(&self, data_centre: &str) -> Vec<TargetId> {
        let catalogue = self.fleet.hosts[&RouterId(1)].node.catalogue();
        let targets = catalogue.targets();
        targets
            .filter(|view| view.entry.data_centre == data_centre)
            .map(|view| view.id)
            .collect()
    }
}
