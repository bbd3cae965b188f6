//! The state of the other routers as known to this router.

use core::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use crate::input::{Vm, VmRole};
use crate::membership::links::{Choice, Links, Standing};
use crate::membership::message::{Condition, Heartbeat, Row};
use crate::membership::rendezvous;
use crate::prelude::*;

/// The number of sent frames per peer whose times are kept to date the peer's heartbeats.
const SENT_FRAMES_MAX: usize = 16;
/// The maximum number of changed rows in one heartbeat.
const ROWS_PER_HEARTBEAT_MAX: usize = 64;
/// The length of a pause of this router, in hundredths of the heartbeat timeout, after which it
/// restarts the timeouts of all partners, because it could not receive heartbeats during the pause.
/// The rest of the timeout covers the period and the transit time of a heartbeat.
const OWN_PAUSE_PERCENT: u32 = 50;
/// The number of heartbeat periods without any frame after which a router counts as silent. The
/// router that heard nothing asks it for a frame, and one that hears nobody at all is isolated.
const SILENT_PERIODS: u32 = 2;
/// The number of timeouts after the last loss of a router for which those that lost most of their
/// partners search for others.
const SEARCH_TIMEOUTS: u32 = 2;

/// The timing of heartbeats and the number of partners of each router.
#[derive(Debug, Clone)]
pub struct Config {
    /// The largest number of other routers at which all routers are partners of each other.
    /// Default: 9.
    pub mesh_max: usize,
    /// The capacity of this router in thousandths of a processor core. Default: 1000.
    pub capacity: u32,
    /// The heartbeat timing in a fleet of at most `mesh_max` other routers. Default: a period of
    /// 500 ms, a timeout of 2 s and 2 s to answer.
    pub mesh: HeartbeatTiming,
    /// How many partners each router chooses in a larger fleet. The routers that chose it are its
    /// partners too. Default: 3.
    pub partners: usize,
    /// The heartbeat timing in a larger fleet. Default: a period of 1 s, a timeout of 3 s and 2 s to
    /// answer.
    pub sparse: HeartbeatTiming,
    /// In how many successive rounds of heartbeats a changed row is sent. Default: 2.
    pub relay_rounds: u32,
}

/// The timing of heartbeats between partners.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTiming {
    /// The time between two heartbeats.
    pub period: Duration,
    /// The time without a heartbeat after which a partner is considered down.
    pub timeout: Duration,
    /// The time in which a router has to answer the first heartbeat over a new link. It is shorter
    /// than the timeout, because the answer is sent at once.
    pub answer_within: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mesh_max: 9,
            capacity: 1_000,
            mesh: HeartbeatTiming {
                period: Duration::from_millis(500),
                timeout: Duration::from_secs(2),
                answer_within: Duration::from_secs(2),
            },
            partners: 3,
            sparse: HeartbeatTiming {
                period: Duration::from_secs(1),
                timeout: Duration::from_secs(3),
                answer_within: Duration::from_secs(2),
            },
            relay_rounds: 2,
        }
    }
}

/// The routers of the fleet and their liveness, as known to this router.
#[derive(Debug)]
pub struct Members {
    cfg: Config,
    me: RouterId,
    own: Row,
    started: Time,
    peers: BTreeMap<RouterId, Peer>,
    links: Links,
    /// Whether a row changed that was not sent to any partner yet.
    has_unsent_rows: bool,
    /// The routers whose rows are to be sent, with the number of remaining rounds of heartbeats.
    pending_rows: BTreeMap<RouterId, u32>,
    /// When partners were last checked for missing heartbeats.
    last_check: Time,
    /// The end of the last time in which this router could not receive heartbeats: it was paused, or
    /// isolated.
    resumed: Time,
    /// Whether no router has been heard for [`SILENT_PERIODS`]. What an isolated router does not hear
    /// says nothing about others: it may be cut off itself.
    is_isolated: bool,
    /// When a router was last considered lost that was not before.
    last_loss: Time,
}

/// Another router of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// The address at which the peer accepts connections of peers. Empty until the VM list names
    /// it.
    pub address: String,
    /// The name of the peer's data centre. Empty until the VM list names it.
    pub data_centre: String,
    /// Whether the VM list shows the peer as leaving.
    pub leaving: bool,
    /// Whether the peer is on the VM list.
    pub listed: bool,
    /// When this router last received a frame from the peer.
    pub last_frame: Option<Time>,
    /// When the first heartbeat over the link with the peer is due.
    due: Time,
    /// When the peer became a partner.
    linked: Time,
    /// When this router last asked the peer for its rows.
    asked: Time,
    /// Since when the peer is considered lost, if it is.
    lost_since: Option<Time>,
    /// Whether the peer sent no heartbeat in time while this router was isolated.
    is_suspect: bool,
    /// The row of the peer, if this router has received one.
    row: Option<Row>,
    /// The run of the peer that this router has reported as down since it last received a frame.
    reported_down: Option<Incarnation>,
    /// The run that sent the last accepted frame.
    incarnation: Option<Incarnation>,
    /// The sequence of the last accepted frame, or zero if there was none from this run.
    sequence: u64,
    /// The sequences and times of the last frames sent to the peer.
    sent: VecDeque<(u64, Time)>,
    /// The last heartbeat, without its rows, and a time by this router's clock before the peer sent
    /// it.
    heartbeat: Option<(Time, Heartbeat)>,
}

impl Members {
    /// Returns a fleet that consists of this router only.
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
            links: Links::default(),
            has_unsent_rows: false,
            pending_rows: BTreeMap::new(),
            last_check: now,
            resumed: now,
            is_isolated: false,
            last_loss: now,
        }
    }

    /// Applies the VM list. Because the list lags, a router that is missing from it is forgotten
    /// only once it has sent no frame within the timeout.
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
        let timeout = self.timing().timeout;
        self.peers
            .retain(|_, peer| peer.listed || peer.is_reachable(now, timeout));
        self.pending_rows
            .retain(|router, _| *router == self.me || self.peers.contains_key(router));
        let listed = self.peers.iter().filter(|(_, peer)| peer.listed);
        let mut listed: Vec<RouterId> = listed.map(|(&id, _)| id).chain([self.me]).collect();
        listed.sort_unstable();
        if self.links.set_listed(self.me, listed, self.cfg.choice()) {
            let before = self.links.partners.clone();
            self.choose_partners(now);
            if self.links.partners != before {
                self.send_own_row();
            }
        }
    }

    /// Records the receipt of a frame. Returns whether the frame is newer than all earlier ones of
    /// the sender's run; an older one has to be dropped.
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
        peer.last_frame = Some(now);
        peer.reported_down = None;
        if core::mem::take(&mut peer.is_suspect) {
            self.links.is_outdated = true;
        }
        true
    }

    /// Applies a heartbeat and the rows in it.
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

    /// Records that a frame was sent, so that heartbeats that echo its sequence can be dated.
    pub fn on_sent(&mut self, now: Time, to: RouterId, sequence: u64) {
        if let Some(peer) = self.peers.get_mut(&to) {
            if peer.sent.len() == SENT_FRAMES_MAX {
                peer.sent.pop_front();
            }
            peer.sent.push_back((sequence, now));
        }
    }

    /// Sets the condition of this router and schedules its row to be sent if the condition changed.
    pub fn set_condition(&mut self, condition: Condition) {
        if self.own.condition != condition {
            self.own.condition = condition;
            self.raise_own_version();
        }
    }

    /// Checks for partners that sent no heartbeat in time. Marks them as down and returns those that
    /// were not known to be down before. Partners that are lost are replaced.
    pub fn detect_unresponsive(&mut self, now: Time) -> Vec<RouterId> {
        self.detect_own_silence(now);
        let HeartbeatTiming {
            period,
            timeout,
            answer_within,
        } = *self.timing();
        let silent = period * SILENT_PERIODS;
        let mut down = Vec::new();
        for id in &self.links.partners {
            let Some(peer) = self.peers.get_mut(id) else {
                continue;
            };
            if self.is_isolated {
                let is_silent = now >= peer.due && !peer.is_reachable(now, silent);
                if is_silent && !core::mem::replace(&mut peer.is_suspect, true) {
                    peer.lost_since.get_or_insert(now);
                    self.links.is_outdated = true;
                    self.last_loss = now;
                }
                continue;
            }
            let due = peer.due.max(self.resumed + answer_within);
            if now < due || peer.is_reachable(now, timeout) {
                continue;
            }
            if core::mem::take(&mut peer.is_suspect) {
                self.links.is_outdated = true;
            }
            let row = peer.row.get_or_insert_with(|| Row::never_heard(*id));
            if row.condition < Condition::Down && peer.reported_down != Some(row.incarnation) {
                peer.reported_down = Some(row.incarnation);
                row.condition = Condition::Down;
                peer.lost_since.get_or_insert(now);
                self.pending_rows.insert(*id, self.cfg.relay_rounds);
                self.has_unsent_rows = true;
                self.links.is_outdated = true;
                self.last_loss = now;
                down.push(*id);
            }
        }
        if self.links.must_choose(self.searches(now)) {
            self.choose_partners(now);
        }
        down
    }

    /// Restarts the timeouts of all partners if this router was paused or isolated until now.
    fn detect_own_silence(&mut self, now: Time) {
        let HeartbeatTiming {
            period, timeout, ..
        } = *self.timing();
        if now.since(self.last_check) >= timeout * OWN_PAUSE_PERCENT / 100 {
            self.resumed = now;
        }
        self.last_check = now;
        let heard = self.peers.values().filter_map(|peer| peer.last_frame).max();
        let heard = heard.unwrap_or(self.started).max(self.resumed);
        let is_isolated = now.since(heard) >= period * SILENT_PERIODS;
        if core::mem::replace(&mut self.is_isolated, is_isolated) && !is_isolated {
            self.resumed = now;
            self.links.is_outdated = true;
        }
    }

    /// Returns whether this router searches for partners, because it hears nobody or routers were lost
    /// recently.
    fn searches(&self, now: Time) -> bool {
        let searched_for = self.timing().timeout * SEARCH_TIMEOUTS;
        self.is_isolated || now.since(self.last_loss) < searched_for
    }

    /// Returns the rows to send with this round of heartbeats, those sent least often first.
    pub fn take_rows(&mut self) -> Vec<Row> {
        self.has_unsent_rows = false;
        let mut due: Vec<(u32, RouterId)> = self
            .pending_rows
            .iter()
            .map(|(&router, &left)| (left, router))
            .collect();
        due.sort_by_key(|&(left, _)| Reverse(left));
        due.truncate(ROWS_PER_HEARTBEAT_MAX);
        for (_, router) in &due {
            if let Some(left) = self.pending_rows.get_mut(router) {
                *left = left.saturating_sub(1);
            }
        }
        self.pending_rows.retain(|_, left| *left > 0);
        due.iter()
            .filter_map(|&(_, router)| self.row(router).cloned())
            .collect()
    }

    /// Returns every known row, for a router that has none yet.
    pub fn all_rows(&self) -> Vec<Row> {
        let is_of_interest = |peer: &&Peer| peer.listed || !peer.is_down();
        let peers = self.peers.values().filter(is_of_interest);
        core::iter::once(&self.own)
            .chain(peers.filter_map(|peer| peer.row.as_ref()))
            .cloned()
            .collect()
    }

    /// Returns the rows of the routers that are down.
    pub fn down_rows(&self) -> impl Iterator<Item = &Row> {
        let listed = self.peers.values().filter(|peer| peer.listed);
        let rows = listed.filter_map(|peer| peer.row.as_ref());
        rows.filter(|row| row.is_down())
    }

    /// Returns whether to ask a partner for its rows with the next heartbeat, because it is new or
    /// has been silent. The answer shows that it runs, and each learns what the other knows.
    pub fn asks_for_rows(&mut self, now: Time, partner: RouterId) -> bool {
        let period = self.timing().period;
        let is_substitute = self.links.is_substitute(partner);
        let Some(peer) = self.peers.get_mut(&partner) else {
            return false;
        };
        let is_new = is_substitute && peer.last_frame.is_none_or(|at| at < peer.linked);
        let heard = peer.last_frame.unwrap_or_default().max(peer.linked);
        let is_silent = now.since(heard) >= period * SILENT_PERIODS;
        (is_new || is_silent) && !peer.is_down() && peer.may_ask(now, period)
    }

    /// Returns whether to ask the sender of a frame for its rows, because this router has none of its
    /// run or takes it for down.
    pub fn asks_sender_for_rows(&mut self, now: Time, from: RouterId, run: Incarnation) -> bool {
        let period = self.timing().period;
        let Some(peer) = self.peers.get_mut(&from) else {
            return true;
        };
        match &peer.row {
            Some(row) if row.incarnation == run => row.is_down() && peer.may_ask(now, period),
            _ => true,
        }
    }

    /// Returns the row of a router, if one is known.
    pub fn row(&self, router: RouterId) -> Option<&Row> {
        if router == self.me {
            return Some(&self.own);
        }
        self.peers.get(&router)?.row.as_ref()
    }

    /// Returns the data centre of another router, if the VM list named it.
    pub fn data_centre(&self, router: RouterId) -> Option<&str> {
        let name = &self.peers.get(&router)?.data_centre;
        (!name.is_empty()).then_some(name.as_str())
    }

    /// Returns the sequence of the last frame that was accepted from a peer, or zero.
    pub fn last_sequence(&self, peer: RouterId) -> u64 {
        self.peers.get(&peer).map_or(0, |peer| peer.sequence)
    }

    /// Returns whether there are changed rows that should be sent before the heartbeat period ends.
    pub const fn has_unsent_rows(&self) -> bool {
        self.has_unsent_rows
    }

    /// Returns the routers to which heartbeats are sent.
    pub fn partners(&self) -> impl Iterator<Item = RouterId> {
        self.links.partners.iter().copied()
    }

    /// Returns all other routers, live or not, in the order of their keys.
    pub fn peers(&self) -> impl Iterator<Item = (RouterId, &Peer)> {
        self.peers.iter().map(|(&id, peer)| (id, peer))
    }

    /// Returns the live routers, including this one, in no particular order.
    pub fn live(&self, now: Time) -> impl Iterator<Item = RouterId> {
        let others = self
            .peers
            .keys()
            .copied()
            .filter(move |&id| self.is_live(now, id));
        core::iter::once(self.me).chain(others)
    }

    /// Returns the listed routers that have been considered lost, and not heard, for at least `time`.
    pub fn lost(&self, now: Time, time: Duration) -> impl Iterator<Item = RouterId> {
        let is_lost = move |peer: &Peer| {
            let silent_since = peer.lost_since.max(peer.last_frame);
            peer.listed
                && (peer.is_down() || peer.is_suspect)
                && silent_since.is_some_and(|since| now.since(since) >= time)
        };
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| is_lost(peer))
            .map(|(&id, _)| id)
    }

    /// Returns whether this router considers a router live.
    pub fn is_live(&self, now: Time, router: RouterId) -> bool {
        if router == self.me {
            return true;
        }
        let Some(peer) = self.peers.get(&router) else {
            return false;
        };
        let timing = self.timing();
        if peer.is_reachable(now, timing.timeout) {
            return true;
        }
        let is_partner = self.links.partners.contains(&router);
        if peer.is_suspect || (is_partner && now >= peer.linked + timing.answer_within) {
            return false;
        }
        // Whoever is off the list is noticed by nobody if it is lost.
        peer.listed && peer.row.is_some() && !peer.is_down()
    }

    /// Returns the owner of a target, which grants its slots.
    pub fn owner(&self, now: Time, target: TargetId) -> RouterId {
        rendezvous::owner(u64::from(target.0), self.live(now)).unwrap_or(self.me)
    }

    /// Returns the last heartbeat of each peer that sent a frame within the timeout. The time, by
    /// this router's clock, is earlier than the sending of the heartbeat.
    pub fn heartbeats(&self, now: Time) -> impl Iterator<Item = (RouterId, Time, &Heartbeat)> {
        let timeout = self.timing().timeout;
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_reachable(now, timeout))
            .filter_map(|(&id, peer)| {
                peer.heartbeat
                    .as_ref()
                    .map(|(after, heartbeat)| (id, *after, heartbeat))
            })
    }

    /// Returns whether a router is a partner by the VM list alone. Those that are out of reach count
    /// among these like any other.
    pub fn is_fixed_partner(&self, router: RouterId) -> bool {
        self.links.fixed.contains(&router)
    }

    /// Returns the number of routers that are partners by the VM list alone, live or not.
    pub fn fixed_partner_count(&self) -> usize {
        self.links.fixed.len()
    }

    /// Returns the time without a heartbeat after which a peer is considered down.
    pub fn timeout(&self) -> Duration {
        self.timing().timeout
    }

    /// Returns the time between two heartbeats to a partner.
    pub fn period(&self) -> Duration {
        self.timing().period
    }

    /// Returns when this router started.
    pub const fn started(&self) -> Time {
        self.started
    }

    /// Applies a received row if it is newer than the known one.
    fn on_row(&mut self, now: Time, row: Row) {
        if row.router == self.me {
            self.correct_own_row(&row);
            return;
        }
        let rounds = self.cfg.relay_rounds;
        let due = now + self.timing().timeout;
        let peer = self.peers.entry(row.router).or_default();
        if peer
            .row
            .as_ref()
            .is_some_and(|known| !is_newer(&row, known))
        {
            return;
        }
        let was_down = peer.is_down();
        if !row.is_down() {
            peer.due = peer.due.max(due);
        }
        if was_down != row.is_down() {
            self.links.is_outdated = true;
        }
        if row.is_down() {
            self.last_loss = now;
            peer.lost_since.get_or_insert(now);
        } else {
            peer.is_suspect = false;
            peer.lost_since = None;
        }
        self.pending_rows.insert(row.router, rounds);
        self.has_unsent_rows = true;
        peer.row = Some(row);
    }

    /// Overrides a received row about this router that is outdated or wrongly shows it as down.
    fn correct_own_row(&mut self, row: &Row) {
        let stale = row.incarnation < self.own.incarnation;
        let wrong = !stale && row.version >= self.own.version && row.condition == Condition::Down;
        if wrong {
            self.own.version = row.version;
            self.raise_own_version();
        } else if stale {
            self.send_own_row();
        }
    }

    fn raise_own_version(&mut self) {
        self.own.version += 1;
        self.send_own_row();
    }

    /// Schedules the row of this router to be sent.
    fn send_own_row(&mut self) {
        self.pending_rows.insert(self.me, self.cfg.relay_rounds);
        self.has_unsent_rows = true;
    }

    /// Chooses the partners of this router, and greets the new ones at once.
    fn choose_partners(&mut self, now: Time) {
        let peers = &self.peers;
        let is_isolated = self.is_isolated;
        let standing = |id| match peers.get(&id) {
            Some(peer) if peer.is_down() => Standing::Lost,
            Some(peer) if peer.is_suspect && is_isolated => Standing::Lost,
            Some(peer) if peer.is_suspect => Standing::Checked,
            _ => Standing::Fit,
        };
        let (choice, searches) = (self.cfg.choice(), self.searches(now));
        let added = self.links.choose(self.me, choice, searches, standing);
        let timing = *self.timing();
        for id in added {
            let is_substitute = self.links.is_substitute(id);
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            peer.linked = now;
            peer.due = match is_substitute {
                true => now + timing.answer_within,
                false => now + timing.timeout,
            };
            self.has_unsent_rows = true;
        }
    }

    fn timing(&self) -> &HeartbeatTiming {
        if self.is_mesh() {
            &self.cfg.mesh
        } else {
            &self.cfg.sparse
        }
    }

    /// Returns whether all routers are partners of each other.
    pub fn is_mesh(&self) -> bool {
        self.links.is_mesh(self.cfg.choice())
    }
}

impl Config {
    const fn choice(&self) -> Choice {
        Choice {
            mesh_max: self.mesh_max,
            count: self.partners,
        }
    }
}

impl Peer {
    /// Returns whether this router received a frame from the peer within the timeout.
    fn is_reachable(&self, now: Time, timeout: Duration) -> bool {
        self.last_frame.is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns whether the peer's row shows it as down.
    fn is_down(&self) -> bool {
        self.row.as_ref().is_some_and(Row::is_down)
    }

    /// Returns whether this router has not asked the peer for rows within a period, and records that
    /// it does now.
    fn may_ask(&mut self, now: Time, period: Duration) -> bool {
        let may_ask = now.since(self.asked) >= period;
        if may_ask {
            self.asked = now;
        }
        may_ask
    }
}

fn is_newer(row: &Row, known: &Row) -> bool {
    let rank = |row: &Row| (row.incarnation, row.version, row.condition);
    rank(row) > rank(known)
}
