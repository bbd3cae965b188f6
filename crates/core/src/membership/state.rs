//! What is known about the other routers.

use std::collections::BTreeMap;

use crate::input::{Vm, VmRole};
use crate::membership::message::Heartbeat;
use crate::membership::rendezvous;
use crate::prelude::*;

/// How long routers wait for one another.
#[derive(Debug, Clone)]
pub struct Config {
    /// The time between two heartbeats to a peer. Default: 500 ms.
    pub period: Duration,
    /// The silence after which a peer counts as dead. Default: 2 s.
    pub timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}

/// The routers of the fleet, as this router sees them.
#[derive(Debug)]
pub struct Members {
    cfg: Config,
    me: RouterId,
    peers: BTreeMap<RouterId, Peer>,
}

/// Another router.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it accepts peers.
    pub address: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Whether the VM list shows it as leaving.
    pub leaving: bool,
    /// The run that was heard last.
    pub incarnation: Option<Incarnation>,
    /// The sequence of the last frame that was taken.
    pub sequence: u64,
    /// When it was heard last.
    pub heard: Option<Time>,
    /// What it said last.
    pub heartbeat: Option<Heartbeat>,
}

impl Members {
    /// Returns a fleet of one.
    pub fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            cfg,
            me,
            peers: BTreeMap::new(),
        }
    }

    /// Takes over the VM list. A router that is missing from it is forgotten once it is silent too,
    /// because the list lags.
    pub fn on_vms(&mut self, now: Time, vms: &[Vm]) {
        let timeout = self.cfg.timeout;
        let listed = |id: &RouterId| vms.iter().any(|vm| vm.id == id.0);
        self.peers
            .retain(|id, peer| listed(id) || peer.is_live(now, timeout));
        let routers = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Router && vm.id != self.me.0);
        for vm in routers {
            let peer = self
                .peers
                .entry(RouterId(vm.id))
                .or_insert_with(Peer::unheard);
            peer.address.clone_from(&vm.address);
            peer.data_centre.clone_from(&vm.data_centre);
            peer.leaving = vm.leaving;
        }
    }

    /// Checks that a frame is newer than all before it, and notes that its sender was heard.
    pub fn on_frame(
        &mut self,
        now: Time,
        from: RouterId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> bool {
        let peer = self.peers.entry(from).or_insert_with(Peer::unheard);
        if peer.incarnation != Some(incarnation) {
            peer.incarnation = Some(incarnation);
            peer.sequence = 0;
        }
        if sequence <= peer.sequence {
            return false;
        }
        peer.sequence = sequence;
        peer.heard = Some(now);
        true
    }

    /// Takes over a heartbeat.
    pub fn on_heartbeat(&mut self, from: RouterId, heartbeat: &Heartbeat) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heartbeat = Some(heartbeat.clone());
        }
    }

    /// Returns all other routers, live or not, in the order of their keys.
    pub fn peers(&self) -> impl Iterator<Item = (RouterId, &Peer)> {
        self.peers.iter().map(|(&id, peer)| (id, peer))
    }

    /// Returns the routers that are alive, this one included.
    pub fn live(&self, now: Time) -> impl Iterator<Item = RouterId> {
        let timeout = self.cfg.timeout;
        let others = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_live(now, timeout));
        core::iter::once(self.me).chain(others.map(|(&id, _)| id))
    }

    /// Returns the router that hands out the slots of a target.
    pub fn owner(&self, now: Time, target: TargetId) -> RouterId {
        rendezvous::owner(u64::from(target.0), self.live(now)).unwrap_or(self.me)
    }

    /// Returns the time between two heartbeats to a peer.
    pub const fn period(&self) -> Duration {
        self.cfg.period
    }
}

impl Peer {
    fn unheard() -> Self {
        Self {
            address: String::new(),
            data_centre: String::new(),
            leaving: false,
            incarnation: None,
            sequence: 0,
            heard: None,
            heartbeat: None,
        }
    }

    fn is_live(&self, now: Time, timeout: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < timeout)
    }
}
