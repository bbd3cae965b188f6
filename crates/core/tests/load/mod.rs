//! A steady open load on a small fleet, and what operators and the platform do to it.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test program uses another part of the load"
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

/// The time between two arrivals at a rate of one each second, divided by the rate.
const SECOND: Duration = Duration::from_secs(1);

pub struct World {
    pub fleet: Fleet,
    pub pool: PoolId,
    pub targets: Vec<TargetId>,
    pub organisations: Vec<OrganisationId>,
    pub job: Job,
    /// What requests of the other class do.
    pub batch: Job,
    /// When each request was offered.
    pub arrivals: Vec<Time>,
    next: u64,
}

impl World {
    /// Returns a fleet whose targets are listed and warm.
    pub fn warm(routers: u32, targets: u32, rate: u32) -> Self {
        let mut world = Self::cold(routers, targets, 7, |_| {});
        world.run(Duration::from_secs(12), rate);
        for engine in world.fleet.engines.values_mut() {
            engine.peak = 0;
        }
        world
    }

    pub fn cold(routers: u32, targets: u32, seed: u64, tune: impl Fn(&mut Config)) -> Self {
        let Setup {
            mut fleet,
            pool,
            targets,
            organisations,
        } = setup_with(routers, targets, 4, seed, tune);
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

    /// Offers `rate` requests each second, to the routers in turn.
    pub fn run(&mut self, time: Duration, rate: u32) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.submit();
            self.fleet.run(SECOND / rate);
        }
    }

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
        // One request in four is of the other class, so that there are two routes.
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

    /// Publishes targets of another version and a move to it that is to finish after `time`, and
    /// returns the targets.
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

    /// Offers load for a while and returns the most requests that a target had at one time.
    pub fn peak(&mut self, target: TargetId, time: Duration, rate: u32) -> u32 {
        let engine = self.fleet.engines.get_mut(&target).expect("it exists");
        engine.peak = engine.running.len() as u32;
        self.run(time, rate);
        self.fleet.engines[&target].peak
    }

    /// Declares a data centre out or in.
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

    /// Returns how many requests were offered so far.
    pub fn offered(&self) -> usize {
        self.next as usize
    }

    /// Returns the router that decides on the move of the pool, as most recently recorded.
    pub fn decider(&self) -> RouterId {
        let claims = self.fleet.log.records.iter().rev();
        let holder = claims.filter_map(|(_, bytes)| match Record::decode(bytes) {
            Ok(Record::Lease(claim)) if claim.lease == Lease::Move(self.pool) => Some(claim.holder),
            _ => None,
        });
        holder.into_iter().next().expect("the lease was claimed")
    }

    /// Returns the limit that a target's owner keeps.
    pub fn limit(&self, target: TargetId) -> u32 {
        let host = &self.fleet.hosts[&self.owner(target)];
        let catalogue = host.node.catalogue();
        let name = &catalogue.target(target).expect("it exists").entry.name;
        let status = host.node.status(self.fleet.now);
        let status = status.targets.iter().find(|status| status.name == *name);
        status.expect("it is listed").limit
    }

    /// Returns how each live router sees the first move.
    pub fn moves(&self) -> Vec<MoveStatus> {
        let hosts = self.fleet.hosts.values();
        let live = hosts.filter(|host| host.up && !host.frozen);
        live.filter_map(|host| host.node.status(self.fleet.now).moves.into_iter().next())
            .collect()
    }

    /// Returns when these targets failed requests or made them slow.
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
        status.and_then(|status| status.owner).expect("it has one")
    }

    pub fn vm_of(&self, target: TargetId) -> u32 {
        let catalogue = self.fleet.hosts[&RouterId(1)].node.catalogue();
        catalogue.target(target).expect("it exists").entry.vm
    }

    /// Shows a target as leaving, on the list that all read or on that of one router.
    pub fn set_leaving(&mut self, target: TargetId, only: Option<RouterId>) {
        let vm = self.vm_of(target);
        let mut vms = self.fleet.vms.clone();
        for listed in vms.iter_mut().filter(|listed| listed.id == vm) {
            listed.leaving = true;
        }
        match only {
            None => self.fleet.vms = vms,
            Some(router) => {
                self.fleet.vms_of.insert(router, vms);
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
