//! What is known about the other routers.

use core::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::input::{Vm, VmRole};
use crate::membership::message::{Condition, Heartbeat, Row};
use crate::membership::rendezvous;
use crate::prelude::*;

/// How many sent frames are remembered for each peer, to date what it answers.
const SENT_FRAMES: usize = 16;
/// The most rows in one heartbeat.
const ROWS_PER_HEARTBEAT: usize = 64;

/// A pause of its own after which a router waits anew before it takes silence for a death, in hundredths of the time-out. The
/// rest of it covers the period and the way of a heartbeat.
const OWN_PAUSE: u32 = 50;

/// How long routers wait for one another, and with how many they keep contact.
#[derive(Debug, Clone)]
pub struct Config {
    /// The largest number of other routers with which everyone keeps contact with everyone.
    /// Default: 9.
    pub mesh_max: usize,
    /// What this router can bear, in thousandths of a processor core. Default: 1000.
    pub capacity: u32,
    /// The contact that is kept in such a small fleet. Default: every 500 ms, timeout 2 s.
    pub mesh: Contact,
    /// How many partners each router chooses in a larger fleet; those that chose it come on top.
    /// Default: 3.
    pub partners: usize,
    /// The contact that is kept with partners. Default: every 1 s, timeout 3 s.
    pub sparse: Contact,
    /// In how many heartbeats to each partner a changed row is passed on. Default: 2.
    pub relays: u32,
}

/// How often routers hear each other.
#[derive(Debug, Clone, Copy)]
pub struct Contact {
    /// The time between two heartbeats.
    pub period: Duration,
    /// The silence after which a partner counts as dead.
    pub timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mesh_max: 9,
            capacity: 1_000,
            mesh: Contact {
                period: Duration::from_millis(500),
                timeout: Duration::from_secs(2),
            },
            partners: 3,
            sparse: Contact {
                period: Duration::from_secs(1),
                timeout: Duration::from_secs(3),
            },
            relays: 2,
        }
    }
}

/// The routers of the fleet, as this router sees them.
#[derive(Debug)]
pub struct Members {
    cfg: Config,
    me: RouterId,
    own: Row,
    started: Time,
    peers: BTreeMap<RouterId, Peer>,
    /// The routers on the VM list, from which partners were chosen last.
    listed: Vec<RouterId>,
    /// With whom this router exchanges heartbeats.
    partners: BTreeSet<RouterId>,
    /// Whether a row changed that no partner has been told yet.
    news: bool,
    /// Rows to pass on, with the number of heartbeat rounds that are left.
    rumours: BTreeMap<RouterId, u32>,
    /// When silent partners were looked for last.
    looked: Time,
    /// When this router went on after the last pause of its own, in which it could hear nobody.
    resumed: Time,
}

/// Another router.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// Where it accepts peers; empty until the VM list names it.
    pub address: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Whether the VM list shows it as leaving.
    pub leaving: bool,
    /// Whether the VM list shows it.
    pub listed: bool,
    /// When it was heard last by this router itself.
    pub heard: Option<Time>,
    /// Since when this router expects to hear it.
    expected_since: Time,
    /// What the fleet knows of it.
    row: Option<Row>,
    /// The run whose death this router has spread.
    mourned: Option<Incarnation>,
    incarnation: Option<Incarnation>,
    sequence: u64,
    sent: VecDeque<(u64, Time)>,
    /// What its last heartbeat said, and the time by this router's clock that it surely came after.
    heartbeat: Option<(Time, Heartbeat)>,
}

impl Members {
    /// Returns a fleet of one.
    pub fn new(
        now: Time,
        me: RouterId,
        incarnation: Incarnation,
        address: &str,
        cfg: Config,
    ) -> Self {
        let own = Row {
            router: me,
            incarnation,
            version: 1,
            condition: Condition::Unready,
            address: address.to_owned(),
            capacity: cfg.capacity,
        };
        Self {
            cfg,
            me,
            own,
            started: now,
            peers: BTreeMap::new(),
            listed: Vec::new(),
            partners: BTreeSet::new(),
            news: false,
            rumours: BTreeMap::new(),
            looked: now,
            resumed: now,
        }
    }

    /// Takes over the VM list. A router that is missing from it is forgotten once it is silent too,
    /// because the list lags.
    pub fn on_vms(&mut self, now: Time, vms: &[Vm]) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        let routers = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Router && vm.id != self.me.0);
        for vm in routers {
            let peer = self.peers.entry(RouterId(vm.id)).or_default();
            peer.listed = true;
            peer.address.clone_from(&vm.address);
            peer.data_centre.clone_from(&vm.data_centre);
            peer.leaving = vm.leaving;
        }
        let timeout = self.contact().timeout;
        self.peers
            .retain(|_, peer| peer.listed || peer.is_heard(now, timeout));
        self.rumours
            .retain(|router, _| *router == self.me || self.peers.contains_key(router));
        self.choose_partners(now);
    }

    /// Checks that a frame is newer than all before it, and notes that its sender was heard.
    pub fn on_frame(&mut self, now: Time, from: RouterId, run: Incarnation, sequence: u64) -> bool {
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != Some(run) {
            peer.incarnation = Some(run);
            peer.sequence = 0;
            peer.heartbeat = None;
        }
        if sequence <= peer.sequence {
            return false;
        }
        peer.sequence = sequence;
        peer.heard = Some(now);
        true
    }

    /// Takes over a heartbeat.
    pub fn on_heartbeat(&mut self, now: Time, from: RouterId, mut heartbeat: Heartbeat) {
        let rows = core::mem::take(&mut heartbeat.rows);
        if let Some(peer) = self.peers.get_mut(&from) {
            let sent = peer
                .sent
                .iter()
                .find(|(sequence, _)| *sequence == heartbeat.echo);
            if let Some(&(_, after)) = sent {
                peer.heartbeat = Some((after, heartbeat));
            }
        }
        for row in rows {
            self.on_row(now, row);
        }
    }

    /// Notes that a frame was sent, so that the peer's answer can be dated.
    pub fn on_sent(&mut self, now: Time, to: RouterId, sequence: u64) {
        if let Some(peer) = self.peers.get_mut(&to) {
            if peer.sent.len() == SENT_FRAMES {
                peer.sent.pop_front();
            }
            peer.sent.push_back((sequence, now));
        }
    }

    /// Tells the fleet of this router's own condition.
    pub fn set_condition(&mut self, condition: Condition) {
        if self.own.condition != condition {
            self.own.condition = condition;
            self.raise_own();
        }
    }

    /// Looks for silent partners and returns those whose death is news.
    pub fn detect_unresponsive(&mut self, now: Time) -> Vec<RouterId> {
        let timeout = self.contact().timeout;
        if now.since(self.looked) >= timeout * OWN_PAUSE / 100 {
            self.resumed = now;
        }
        self.looked = now;
        let resumed = self.resumed;
        let mut dead = Vec::new();
        for id in &self.partners {
            let Some(peer) = self.peers.get_mut(id) else {
                continue;
            };
            let expected = peer.expected_since.max(resumed);
            let silent = now.since(expected) >= timeout && !peer.is_heard(now, timeout);
            let Some(row) = peer.row.as_mut().filter(|_| silent) else {
                continue;
            };
            if row.condition < Condition::Down && peer.mourned != Some(row.incarnation) {
                peer.mourned = Some(row.incarnation);
                row.condition = Condition::Down;
                self.rumours.insert(*id, self.cfg.relays);
                self.news = true;
                dead.push(*id);
            }
        }
        dead
    }

    /// Returns the rows that go with this round of heartbeats, the latest news first.
    pub fn take_rows(&mut self) -> Vec<Row> {
        self.news = false;
        let mut due: Vec<(u32, RouterId)> = self
            .rumours
            .iter()
            .map(|(&router, &left)| (left, router))
            .collect();
        due.sort_by_key(|&(left, _)| Reverse(left));
        due.truncate(ROWS_PER_HEARTBEAT);
        for (_, router) in &due {
            if let Some(left) = self.rumours.get_mut(router) {
                *left = left.saturating_sub(1);
            }
        }
        self.rumours.retain(|_, left| *left > 0);
        due.iter()
            .filter_map(|&(_, router)| self.row(router).cloned())
            .collect()
    }

    /// Returns every row that is known, for a router that has just been met.
    pub fn all_rows(&self) -> Vec<Row> {
        core::iter::once(&self.own)
            .chain(self.peers.values().filter_map(|peer| peer.row.as_ref()))
            .cloned()
            .collect()
    }

    /// Returns what the fleet knows of a router.
    pub fn row(&self, router: RouterId) -> Option<&Row> {
        if router == self.me {
            return Some(&self.own);
        }
        self.peers.get(&router)?.row.as_ref()
    }

    /// Returns the data centre of another router, if the VM list has named it.
    pub fn data_centre(&self, router: RouterId) -> Option<&str> {
        let name = &self.peers.get(&router)?.data_centre;
        (!name.is_empty()).then_some(name.as_str())
    }

    /// Returns the last sequence that was taken from a peer.
    pub fn last_sequence(&self, peer: RouterId) -> u64 {
        self.peers.get(&peer).map_or(0, |peer| peer.sequence)
    }

    /// Says whether there are rows that should go out before the period has passed.
    pub const fn has_unsent_rows(&self) -> bool {
        self.news
    }

    /// Returns to whom heartbeats are sent.
    pub fn partners(&self) -> impl Iterator<Item = RouterId> {
        self.partners.iter().copied()
    }

    /// Returns all other routers, live or not, in the order of their keys.
    pub fn peers(&self) -> impl Iterator<Item = (RouterId, &Peer)> {
        self.peers.iter().map(|(&id, peer)| (id, peer))
    }

    /// Returns the routers that are alive, this one included, in no useful order.
    pub fn live(&self, now: Time) -> impl Iterator<Item = RouterId> {
        let others = self
            .peers
            .keys()
            .copied()
            .filter(move |&id| self.is_live(now, id));
        core::iter::once(self.me).chain(others)
    }

    /// Says whether a router is alive, as far as this router knows.
    pub fn is_live(&self, now: Time, router: RouterId) -> bool {
        if router == self.me {
            return true;
        }
        let Some(peer) = self.peers.get(&router) else {
            return false;
        };
        if peer.is_heard(now, self.contact().timeout) {
            return true;
        }
        if self.partners.contains(&router) {
            return false;
        }
        peer.row
            .as_ref()
            .is_some_and(|row| row.condition < Condition::Down)
    }

    /// Returns the router that hands out the slots of a target.
    pub fn owner(&self, now: Time, target: TargetId) -> RouterId {
        rendezvous::owner(u64::from(target.0), self.live(now)).unwrap_or(self.me)
    }

    /// Returns the heartbeats of partners that were heard in time, each with a time by this router's
    /// clock that it surely came after.
    pub fn heartbeats(&self, now: Time) -> impl Iterator<Item = (RouterId, Time, &Heartbeat)> {
        let timeout = self.contact().timeout;
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_heard(now, timeout))
            .filter_map(|(&id, peer)| {
                peer.heartbeat
                    .as_ref()
                    .map(|(after, heartbeat)| (id, *after, heartbeat))
            })
    }

    /// Returns how many routers this router exchanges heartbeats with, alive or not.
    pub fn partner_count(&self) -> usize {
        self.partners.len()
    }

    /// Returns the silence after which a peer counts as dead.
    pub fn timeout(&self) -> Duration {
        self.contact().timeout
    }

    /// Returns the time between two heartbeats to a partner.
    pub fn period(&self) -> Duration {
        self.contact().period
    }

    /// Returns when this router started.
    pub const fn started(&self) -> Time {
        self.started
    }

    fn on_row(&mut self, now: Time, row: Row) {
        if row.router == self.me {
            self.answer_own_row(&row);
            return;
        }
        let relays = self.cfg.relays;
        let peer = self.peers.entry(row.router).or_default();
        let newer = peer.row.as_ref().is_none_or(|known| is_newer(&row, known));
        if newer {
            if row.condition < Condition::Down && peer.expected_since < now {
                peer.expected_since = now;
            }
            self.rumours.insert(row.router, relays);
            self.news = true;
            peer.row = Some(row);
        }
    }

    /// Takes back a wrong rumour about this router.
    fn answer_own_row(&mut self, row: &Row) {
        let stale = row.incarnation < self.own.incarnation;
        let wrong = !stale && row.version >= self.own.version && row.condition == Condition::Down;
        if wrong {
            self.own.version = row.version;
            self.raise_own();
        } else if stale {
            self.spread_own();
        }
    }

    fn raise_own(&mut self) {
        self.own.version += 1;
        self.spread_own();
    }

    fn spread_own(&mut self) {
        self.rumours.insert(self.me, self.cfg.relays);
        self.news = true;
    }

    /// Partners are chosen among all listed routers, dead ones included, so that everyone computes the
    /// same choice from the same list.
    fn choose_partners(&mut self, now: Time) {
        let listed = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.listed)
            .map(|(&id, _)| id);
        let all: Vec<RouterId> = listed.chain([self.me]).collect();
        if all == self.listed {
            return;
        }
        let mut partners = self.chosen_by(self.me, &all);
        let choosers = all.iter().copied().filter(|&other| other != self.me);
        partners.extend(choosers.filter(|&other| self.chosen_by(other, &all).contains(&self.me)));
        for id in partners.difference(&self.partners) {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.expected_since = now;
            }
        }
        if partners != self.partners {
            self.spread_own();
        }
        self.partners = partners;
        self.listed = all;
    }

    fn chosen_by(&self, router: RouterId, all: &[RouterId]) -> BTreeSet<RouterId> {
        let others = all.iter().copied().filter(|&other| other != router);
        if all.len() <= self.cfg.mesh_max + 1 {
            return others.collect();
        }
        let ranked = rendezvous::ranking(u64::from(router.0) << 32, others);
        ranked.into_iter().take(self.cfg.partners).collect()
    }

    fn contact(&self) -> &Contact {
        if self.peers_are_mesh() {
            &self.cfg.mesh
        } else {
            &self.cfg.sparse
        }
    }

    fn peers_are_mesh(&self) -> bool {
        self.listed.len() <= self.cfg.mesh_max + 1
    }
}

impl Peer {
    fn is_heard(&self, now: Time, timeout: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < timeout)
    }
}

fn is_newer(row: &Row, known: &Row) -> bool {
    let rank = |row: &Row| (row.incarnation, row.version, row.condition);
    rank(row) > rank(known)
}
