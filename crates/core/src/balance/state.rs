//! The load of targets, from this router's own requests and its peers' reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ascending::AscendingLookup;
use crate::balance::message::{ClaimRow, HeldRow, LoadPart, LoadRow};
use crate::balance::prefix_index::shared_prefixes;
use crate::balance::turns::Turns;
use crate::balance::{Config, PrefixIndex};
use crate::prelude::*;

/// The most prompt prefixes in one report: twice what a router typically sends to targets in that
/// time.
const HELD_MAX: usize = 8;
/// The most prefixes that wait to be reported. The oldest are dropped first, because they expire
/// first.
const UNREPORTED_MAX: usize = 64;

/// The fewest requests at targets that make a router count as having work. Platforms query each
/// router's configuration now and then, and those requests alone must not make a router count.
const WORK_MIN: u32 = 4;
/// The most busy routers that a report names. At four bytes each, they take less space than the
/// rows of a report.
const BUSY_MAX: usize = 64;

/// The load of one or more routers at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that the target has not read yet.
    pub unread: u64,
    /// Requests that wait or run at the target.
    pub requests: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.unread += other.unread;
        self.requests += other.requests;
    }

    fn subtract(&mut self, other: Self) {
        self.unread = self.unread.saturating_sub(other.unread);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// The state of one peer, from its reports.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    /// When the peer's last report was received.
    pub(super) received_at: Time,
    loads: BTreeMap<TargetId, Load>,
    /// The requests that wait at the peer.
    pub(super) claims: Vec<ClaimRow>,
    /// When the peer last reported work.
    last_work: Option<Time>,
    /// The routers that reported work to the peer.
    busy: Vec<RouterId>,
}

impl PeerState {
    fn has_work(&self) -> bool {
        has_work(&self.loads, !self.claims.is_empty())
    }
}

/// Returns whether a router has enough work that other busy routers need its reports.
fn has_work(loads: &BTreeMap<TargetId, Load>, has_waiting: bool) -> bool {
    let requests: u32 = loads.values().map(|load| load.requests).sum();
    has_waiting || requests >= WORK_MIN
}

/// The load of every target and the state of every peer, as known to this router.
#[derive(Debug)]
pub struct Balance {
    pub(super) cfg: Config,
    pub(super) prefixes: PrefixIndex,
    /// This router's own load at each target.
    own: BTreeMap<TargetId, Load>,
    pub(super) peers: BTreeMap<RouterId, PeerState>,
    pub(super) turns: Turns,
    /// The sum of the loads of all peers, so that a lookup costs the same for any number of peers.
    peer_sum: BTreeMap<TargetId, Load>,
    /// The time of the oldest report that is part of `peer_sum`.
    oldest_report: Time,
    /// Long prefixes that this router sent and has not reported to peers yet, the oldest first.
    unreported: VecDeque<HeldRow>,
    /// Targets that stated that they are leaving and were not reported to peers yet.
    unreported_leaving: Vec<TargetId>,
    last_report: LastReport,
}

/// The contents of this router's last report to its peers.
#[derive(Debug, Default)]
struct LastReport {
    at: Time,
    /// When the last full report was made.
    full_at: Time,
    loads: BTreeMap<TargetId, Load>,
    claims: Vec<ClaimRow>,
    busy: Vec<RouterId>,
    /// When this router last had work at the time of a report.
    last_work: Option<Time>,
}

impl Balance {
    /// Returns the state of a router that has sent nothing and received no reports.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            prefixes: PrefixIndex::default(),
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            turns: Turns::default(),
            peer_sum: BTreeMap::new(),
            oldest_report: Time::default(),
            unreported: VecDeque::new(),
            unreported_leaving: Vec::new(),
            last_report: LastReport::default(),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns the load of this router and its peers at a target.
    pub fn load(&self, now: Time, target: TargetId) -> Load {
        let mut sum = self.own.get(&target).copied().unwrap_or_default();
        if self.has_fresh_sum(now) {
            sum.add(self.peer_sum.get(&target).copied().unwrap_or_default());
            return sum;
        }
        // The sum contains a peer whose report is stale. The next call of `report` removes that
        // peer.
        let fresh = |peer: &&PeerState| now.since(peer.received_at) < self.cfg.stale_after;
        for peer in self.peers.values().filter(fresh) {
            sum.add(peer.loads.get(&target).copied().unwrap_or_default());
        }
        sum
    }

    /// Returns the load at each of these targets, like [`load`](Self::load). Targets in ascending
    /// order take one pass over the known loads, which is faster than a search for each target.
    pub fn loads(
        &self,
        now: Time,
        targets: impl Iterator<Item = TargetId>,
    ) -> impl Iterator<Item = Load> {
        let fresh = self.has_fresh_sum(now);
        let (mut own, mut peers) = (
            AscendingLookup::new(&self.own),
            AscendingLookup::new(&self.peer_sum),
        );
        targets.map(move |target| {
            if !fresh {
                return self.load(now, target);
            }
            let mut sum = own.get(target).copied().unwrap_or_default();
            sum.add(peers.get(target).copied().unwrap_or_default());
            sum
        })
    }

    fn has_fresh_sum(&self, now: Time) -> bool {
        now.since(self.oldest_report) < self.cfg.stale_after
    }

    /// Records that a request was sent to a target that has to read `unread` tokens for it.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId, unread: u32, parts: &[PromptPart]) {
        let load = self.own.entry(target).or_default();
        load.unread += u64::from(unread);
        load.requests += 1;
        self.record_prefixes(now, target, parts);
    }

    /// Records the prefixes that a target caches now. The longest one goes into the next report to
    /// peers, unless the prefix is short or was sent to the target within half of its time to live.
    fn record_prefixes(&mut self, now: Time, target: TargetId, parts: &[PromptPart]) {
        let shared: Vec<_> = shared_prefixes(parts).collect();
        let tokens: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if let Some(&(longest, _)) = shared.last()
            && tokens > self.cfg.reread_min
        {
            let recent = now - self.cfg.prefix_ttl / 2;
            let mut holders = self.prefixes.holders(recent, longest);
            let is_known = holders.any(|holder| holder == target);
            if !is_known {
                let chain = longest;
                self.unreported.push_back(HeldRow { target, chain });
            }
            if self.unreported.len() > UNREPORTED_MAX {
                self.unreported.pop_front();
            }
        }
        for (prefix, _) in shared {
            self.prefixes.record(now, target, prefix);
        }
    }

    /// Records that a target has read the `unread` tokens that it had to read for a request.
    pub fn on_read(&mut self, target: TargetId, unread: u32) {
        if let Some(load) = self.own.get_mut(&target) {
            load.unread = load.unread.saturating_sub(u64::from(unread));
        }
    }

    /// Records that a request is no longer at a target.
    pub fn on_end(&mut self, target: TargetId) {
        if let Some(load) = self.own.get_mut(&target) {
            load.requests = load.requests.saturating_sub(1);
            if load.requests == 0 {
                self.own.remove(&target);
            }
        }
    }

    /// Removes the cached prefixes of a target, which lost its cache by a restart.
    pub fn on_restart(&mut self, target: TargetId) {
        self.prefixes.remove_target(target);
    }

    /// Includes in the next report to peers that a target stated that it is leaving.
    pub fn report_leaving(&mut self, target: TargetId) {
        self.unreported_leaving.push(target);
    }

    /// Applies a peer's report.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: &LoadPart) {
        let peer = self.peers.entry(from).or_default();
        peer.received_at = now;
        if part.is_full {
            for (target, load) in core::mem::take(&mut peer.loads) {
                self.peer_sum.entry(target).or_default().subtract(load);
            }
        }
        for row in &part.rows {
            let load = Load {
                unread: u64::from(row.unread),
                requests: row.requests,
            };
            let before = match load == Load::default() {
                true => peer.loads.remove(&row.target),
                false => peer.loads.insert(row.target, load),
            };
            let sum = self.peer_sum.entry(row.target).or_default();
            sum.subtract(before.unwrap_or_default());
            sum.add(load);
        }
        peer.claims.clone_from(&part.claims);
        if peer.has_work() {
            peer.last_work = Some(now);
        }
        if let Some(busy) = &part.busy {
            peer.busy.clone_from(busy);
        }
        for row in &part.held {
            self.prefixes.record(now, row.target, row.chain);
        }
        self.update_oldest_report(now);
    }

    fn update_oldest_report(&mut self, now: Time) {
        let received = self.peers.values().map(|peer| peer.received_at);
        self.oldest_report = received.min().unwrap_or(now);
    }

    /// Returns the number of peers whose last report still counts.
    pub fn reporting_peers(&self, now: Time) -> usize {
        let fresh = |peer: &&PeerState| now.since(peer.received_at) < self.cfg.stale_after;
        self.peers.values().filter(fresh).count()
    }

    /// Returns whether this router has reported work within [`Config::stale_after`].
    pub fn had_recent_work(&self, now: Time) -> bool {
        self.is_recent(now, self.last_report.last_work)
    }

    /// Returns the routers known to have work: those that reported work to this router, and those
    /// that its peers name as busy.
    pub fn busy_routers(&self, now: Time) -> BTreeSet<RouterId> {
        let fresh = |peer: &&PeerState| now.since(peer.received_at) < self.cfg.stale_after;
        let peers = self.peers.values().filter(fresh);
        let indirect = peers.flat_map(|peer| peer.busy.iter().copied());
        self.busy_peers(now).chain(indirect).collect()
    }

    /// Returns the peers that reported work to this router recently.
    fn busy_peers(&self, now: Time) -> impl Iterator<Item = RouterId> {
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| self.is_recent(now, peer.last_work))
            .map(|(&router, _)| router)
    }

    fn is_recent(&self, now: Time, at: Option<Time>) -> bool {
        at.is_some_and(|at| now.since(at) < self.cfg.stale_after)
    }

    /// Returns this router's complete load at targets, for a peer that receives reports from now
    /// on.
    pub fn full_report(&self) -> LoadPart {
        LoadPart {
            is_full: true,
            rows: self.rows(true),
            claims: self.last_report.claims.clone(),
            held: Vec::new(),
            leaving: Vec::new(),
            busy: Some(self.last_report.busy.clone()),
        }
    }

    /// Returns the next report to peers, or `None` if nothing changed and the last report is
    /// recent. Removes peers that sent no report within [`Config::stale_after`]. `is_named` says
    /// whether callers are sent to a router; the report does not name such a router as busy,
    /// because every router with work reports to it anyway.
    pub fn report(
        &mut self,
        now: Time,
        claims: Vec<ClaimRow>,
        is_named: impl Fn(RouterId) -> bool,
    ) -> Option<LoadPart> {
        self.expire_unresponsive(now);
        let busy = self.busy_peers(now).filter(|&router| !is_named(router));
        let busy: Vec<RouterId> = busy.take(BUSY_MAX).collect();
        if has_work(&self.own, !claims.is_empty()) {
            self.last_report.last_work = Some(now);
        }
        let is_full = now.since(self.last_report.full_at) >= self.cfg.stale_after / 2;
        let rows = self.rows(is_full);
        let is_unchanged = rows.is_empty()
            && claims == self.last_report.claims
            && busy == self.last_report.busy
            && self.unreported.is_empty()
            && self.unreported_leaving.is_empty();
        let is_fresh = now.since(self.last_report.at) < self.cfg.stale_after / 4;
        if is_unchanged && is_fresh && !is_full {
            return None;
        }
        let last = &mut self.last_report;
        last.at = now;
        last.loads.clone_from(&self.own);
        last.claims.clone_from(&claims);
        let includes_busy = is_full || busy != last.busy;
        last.busy.clone_from(&busy);
        if is_full {
            last.full_at = now;
        }
        let held = self.unreported.len().min(HELD_MAX);
        Some(LoadPart {
            is_full,
            rows,
            claims,
            held: self.unreported.drain(..held).collect(),
            leaving: core::mem::take(&mut self.unreported_leaving),
            busy: includes_busy.then_some(busy),
        })
    }

    /// Returns the rows of all targets, or only those that differ from the last report.
    fn rows(&self, is_full: bool) -> Vec<LoadRow> {
        let row = |target, load: Load| LoadRow {
            target,
            unread: u32::try_from(load.unread).unwrap_or(u32::MAX),
            requests: load.requests,
        };
        let reported = &self.last_report.loads;
        let is_new = |target, load| is_full || reported.get(target) != Some(load);
        let own = self
            .own
            .iter()
            .filter(|(target, load)| is_new(target, load));
        let own = own.map(|(&target, &load)| row(target, load));
        let removed = reported
            .keys()
            .filter(|target| !is_full && !self.own.contains_key(target));
        own.chain(removed.map(|&target| row(target, Load::default())))
            .collect()
    }

    /// Removes peers that sent no report within [`Config::stale_after`].
    fn expire_unresponsive(&mut self, now: Time) {
        let stale_after = self.cfg.stale_after;
        let peer_sum = &mut self.peer_sum;
        self.peers.retain(|_, peer| {
            let is_fresh = now.since(peer.received_at) < stale_after;
            if !is_fresh {
                for (target, load) in &peer.loads {
                    peer_sum.entry(*target).or_default().subtract(*load);
                }
            }
            is_fresh
        });
        self.peer_sum.retain(|_, load| *load != Load::default());
        self.update_oldest_report(now);
    }
}
