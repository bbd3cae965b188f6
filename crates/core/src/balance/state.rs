//! The load of targets, from this router's own requests and its peers' reports.

use std::collections::{BTreeMap, VecDeque};

use crate::ascending::AscendingLookup;
use crate::balance::fleet_view::FleetView;
use crate::balance::message::{ClaimRow, Coverage, Figures, HeldRow, LoadPart, LoadRow};
use crate::balance::prefix_index::shared_prefixes;
use crate::balance::relaying::Relaying;
use crate::balance::shares::Shares;
use crate::balance::turns::Turns;
use crate::balance::{Config, PrefixIndex};
use crate::limit::message::{DemandRow, LimitRow};
use crate::prelude::*;
use crate::speed::message::SpeedRow;

/// The most prompt prefixes in one report: twice what a router typically sends to targets in that
/// time.
const HELD_MAX: usize = 8;
/// The most prompt prefixes in one report of a relay.
pub(super) const RELAYED_HELD_MAX: usize = 32;
/// The most prefixes that wait to be reported. The oldest are dropped first, because they expire
/// first.
const UNREPORTED_MAX: usize = 128;

/// The fewest requests at targets that make a router count as having work. Platforms query each
/// router's configuration now and then, and those requests alone must not make a router count.
const WORK_MIN: u32 = 4;

/// The load of one or more routers at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that the target has not read yet.
    pub unread: u64,
    /// Requests that wait or run at the target.
    pub requests: u32,
}

impl Load {
    pub(super) fn add(&mut self, other: Self) {
        self.unread += other.unread;
        self.requests += other.requests;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.unread = self.unread.saturating_sub(other.unread);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// The state of one peer, from its reports.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    /// When the peer's last report was received.
    pub(super) received_at: Time,
    /// The number of the peer's last report.
    pub(super) number: u32,
    /// Whose figures the peer's reports cover.
    pub(super) coverage: Coverage,
    /// The number of routers whose figures the reports cover.
    pub(super) routers: u32,
    pub(super) loads: BTreeMap<TargetId, Load>,
    /// The requests that wait at the peer.
    pub(super) claims: Vec<ClaimRow>,
    /// The requests that recently arrived at the peer.
    pub(super) demand: Vec<DemandRow>,
    /// When the peer last reported work.
    pub(super) last_work: Option<Time>,
}

impl PeerState {
    fn has_work(&self) -> bool {
        let requests: u32 = self.loads.values().map(|load| load.requests).sum();
        !self.claims.is_empty() || requests >= WORK_MIN
    }
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
    pub(super) shares: Shares,
    /// The sum of the loads of all peers, so that a lookup costs the same for any number of peers.
    peer_sum: BTreeMap<TargetId, Load>,
    /// The time of the oldest report that is part of `peer_sum`.
    oldest_report: Time,
    /// What the relay to which this router reports knows of the fleet.
    pub(super) fleet: Option<FleetView>,
    /// What is to be included in the next report.
    pub(super) unreported: Unreported,
    pub(super) last_report: LastReport,
    pub(super) relaying: Relaying,
}

/// Events that are included in one report each.
#[derive(Debug, Default)]
pub(super) struct Unreported {
    /// Long prefixes that were sent to targets, the oldest first.
    held: VecDeque<HeldRow>,
    /// Targets that stated that they are leaving.
    pub(super) leaving: Vec<TargetId>,
    /// Changes of the limits that targets state.
    pub(super) limits: Vec<LimitRow>,
    /// The work that targets stated last.
    speeds: BTreeMap<TargetId, u16>,
}

impl Unreported {
    pub(super) fn add_held(&mut self, row: HeldRow) {
        self.held.push_back(row);
        if self.held.len() > UNREPORTED_MAX {
            self.held.pop_front();
        }
    }

    pub(super) fn extend(&mut self, figures: &Figures) {
        for &row in &figures.held {
            self.add_held(row);
        }
        self.leaving.extend(&figures.leaving);
        self.limits.extend(&figures.limits);
        for &row in &figures.speeds {
            self.add_speed(row);
        }
    }

    /// Includes the work of a target. A newer figure replaces one that has not been reported.
    pub(super) fn add_speed(&mut self, row: SpeedRow) {
        self.speeds.insert(row.target, row.work);
    }

    fn is_empty(&self) -> bool {
        self.held.is_empty()
            && self.leaving.is_empty()
            && self.limits.is_empty()
            && self.speeds.is_empty()
    }

    /// Moves into a report what goes into one: all about targets, and at most `held_max` prefixes.
    pub(super) fn take(&mut self, held_max: usize, figures: &mut Figures) {
        let held = self.held.len().min(held_max);
        figures.held = self.held.drain(..held).collect();
        figures.leaving = core::mem::take(&mut self.leaving);
        figures.limits = core::mem::take(&mut self.limits);
        let speeds = core::mem::take(&mut self.speeds).into_iter();
        figures.speeds = speeds
            .map(|(target, work)| SpeedRow { target, work })
            .collect();
    }
}

/// The contents of this router's last report to its peers.
#[derive(Debug, Default)]
pub(super) struct LastReport {
    at: Time,
    pub(super) number: u32,
    pub(super) coverage: Coverage,
    routers: u32,
    /// When the last full report was made.
    full_at: Time,
    pub(super) loads: BTreeMap<TargetId, Load>,
    pub(super) claims: Vec<ClaimRow>,
    pub(super) demand: Vec<DemandRow>,
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
            shares: Shares::default(),
            peer_sum: BTreeMap::new(),
            oldest_report: Time::default(),
            fleet: None,
            unreported: Unreported::default(),
            last_report: LastReport::default(),
            relaying: Relaying::default(),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns the load of this router and its peers at a target.
    pub fn load(&self, now: Time, target: TargetId) -> Load {
        let mut sum = self.own.get(&target).copied().unwrap_or_default();
        sum.add(self.peers_load(now, target));
        sum
    }

    fn peers_load(&self, now: Time, target: TargetId) -> Load {
        if let Some(sum) = self.fresh_sum(now) {
            return sum.get(&target).copied().unwrap_or_default();
        }
        // The sum contains a peer whose report is stale. The next call of `report` removes that
        // peer.
        let mut sum = Load::default();
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
        let mut own = AscendingLookup::new(&self.own);
        let mut peers = self.fresh_sum(now).map(AscendingLookup::new);
        targets.map(move |target| {
            let mut sum = own.get(target).copied().unwrap_or_default();
            sum.add(match &mut peers {
                Some(peers) => peers.get(target).copied().unwrap_or_default(),
                None => self.peers_load(now, target),
            });
            sum
        })
    }

    /// Returns the loads of all peers, unless their sum contains a stale report.
    fn fresh_sum(&self, now: Time) -> Option<&BTreeMap<TargetId, Load>> {
        if let Some(fleet) = self.fresh_fleet(now) {
            return Some(&fleet.others);
        }
        let is_fresh = now.since(self.oldest_report) < self.cfg.stale_after;
        is_fresh.then_some(&self.peer_sum)
    }

    /// Returns the relay's view of the fleet, unless it is stale.
    pub(super) fn fresh_fleet(&self, now: Time) -> Option<&FleetView> {
        let fleet = self.fleet.as_ref()?;
        (now.since(fleet.received_at) < self.cfg.stale_after).then_some(fleet)
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
                let row = HeldRow {
                    target,
                    chain: longest,
                };
                self.unreported.add_held(row);
                self.relaying.add_own_held(row);
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
        self.unreported.leaving.push(target);
        self.relaying.add_own_leaving(target);
    }

    /// Sets the requests that recently arrived at this router, for the next report to peers.
    pub fn set_demand(&mut self, rows: Vec<DemandRow>) {
        self.relaying.own_demand = rows;
    }

    /// Includes in the next report to peers what limit a target states now.
    pub fn report_limit(&mut self, row: LimitRow) {
        self.unreported.limits.push(row);
        self.relaying.add_own_limit(row);
    }

    /// Includes in the next report to peers what work a target states now.
    pub fn report_speed(&mut self, row: SpeedRow) {
        self.unreported.add_speed(row);
        self.relaying.add_own_speed(row);
    }

    /// Applies a peer's report.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: &LoadPart) {
        let figures = &part.figures;
        if part.routers == 0 {
            self.remove_peer(from);
            return;
        }
        let peer = self.peers.entry(from).or_default();
        peer.received_at = now;
        peer.number = part.number;
        peer.coverage = part.coverage;
        peer.routers = part.routers;
        if figures.is_full {
            for (target, load) in core::mem::take(&mut peer.loads) {
                self.peer_sum.entry(target).or_default().subtract(load);
            }
        }
        for row in &figures.rows {
            let load = row.load();
            let before = match load == Load::default() {
                true => peer.loads.remove(&row.target),
                false => peer.loads.insert(row.target, load),
            };
            let sum = self.peer_sum.entry(row.target).or_default();
            sum.subtract(before.unwrap_or_default());
            sum.add(load);
        }
        peer.claims.clone_from(&figures.claims);
        peer.demand.clone_from(&figures.demand);
        if peer.has_work() {
            peer.last_work = Some(now);
        }
        for row in &figures.held {
            self.prefixes.record(now, row.target, row.chain);
        }
        self.relaying.forward(&mut self.unreported, part);
        self.update_oldest_report(now);
    }

    /// Removes a peer that reports elsewhere from now on.
    fn remove_peer(&mut self, router: RouterId) {
        if let Some(peer) = self.peers.remove(&router) {
            for (target, load) in peer.loads {
                self.peer_sum.entry(target).or_default().subtract(load);
            }
        }
    }

    fn update_oldest_report(&mut self, now: Time) {
        let received = self.peers.values().map(|peer| peer.received_at);
        self.oldest_report = received.min().unwrap_or(now);
    }

    /// Returns the number of other routers whose last figures still count.
    pub fn reporting_peers(&self, now: Time) -> usize {
        if let Some(fleet) = self.fresh_fleet(now) {
            return fleet.routers.saturating_sub(1) as usize;
        }
        let fresh = |peer: &&PeerState| now.since(peer.received_at) < self.cfg.stale_after;
        let routers = self.peers.values().filter(fresh).map(|peer| peer.routers);
        routers.sum::<u32>() as usize
    }

    /// Returns the figures of the last report in full, for a peer that receives reports from now on.
    pub fn full_report(&self) -> LoadPart {
        let last = &self.last_report;
        LoadPart {
            number: last.number,
            coverage: last.coverage,
            routers: last.routers,
            figures: Figures {
                is_full: true,
                rows: changed_rows(&BTreeMap::new(), &last.loads),
                claims: last.claims.clone(),
                demand: last.demand.clone(),
                ..Figures::default()
            },
        }
    }

    /// Returns the next report to peers, or `None` if nothing changed and the last report is
    /// recent. Removes peers that sent no report within [`Config::stale_after`].
    ///
    /// A report that covers members sums up the figures of this router and of the routers that
    /// report to it.
    pub fn report(
        &mut self,
        now: Time,
        claims: Vec<ClaimRow>,
        coverage: Coverage,
    ) -> Option<LoadPart> {
        self.expire_unresponsive(now);
        self.relaying.own_claims.clone_from(&claims);
        self.relaying.is_relay = coverage == Coverage::Members;
        let (loads, claims, demand, routers) = match coverage {
            Coverage::Router => {
                let demand = self.relaying.own_demand.clone();
                (self.own.clone(), claims, demand, 1)
            }
            Coverage::Members => {
                let (loads, claims, routers) = self.member_sums(now);
                (loads, claims, self.member_demand(now), routers)
            }
        };
        let last = &mut self.last_report;
        let is_full =
            now.since(last.full_at) >= self.cfg.stale_after / 2 || coverage != last.coverage;
        let before = match is_full {
            true => &BTreeMap::new(),
            false => &last.loads,
        };
        let rows = changed_rows(before, &loads);
        let is_unchanged = rows.is_empty()
            && claims == last.claims
            && demand == last.demand
            && self.unreported.is_empty();
        let is_fresh = now.since(last.at) < self.cfg.stale_after / 4;
        if is_unchanged && is_fresh && !is_full {
            return None;
        }
        last.at = now;
        last.number += 1;
        last.coverage = coverage;
        last.routers = routers;
        last.loads = loads;
        last.claims.clone_from(&claims);
        last.demand.clone_from(&demand);
        if is_full {
            last.full_at = now;
        }
        let number = last.number;
        let held_max = match coverage {
            Coverage::Router => HELD_MAX,
            Coverage::Members => RELAYED_HELD_MAX,
        };
        let mut figures = Figures {
            is_full,
            rows,
            claims,
            demand,
            ..Figures::default()
        };
        self.unreported.take(held_max, &mut figures);
        self.remember_report();
        Some(LoadPart {
            number,
            coverage,
            routers,
            figures,
        })
    }

    /// Returns this router's own load at each target.
    pub(super) const fn own_loads(&self) -> &BTreeMap<TargetId, Load> {
        &self.own
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

impl LoadRow {
    fn new(target: TargetId, load: Load) -> Self {
        Self {
            target,
            unread: u32::try_from(load.unread).unwrap_or(u32::MAX),
            requests: load.requests,
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            unread: u64::from(self.unread),
            requests: self.requests,
        }
    }
}

/// Returns a row for each target whose load differs. Targets without a load have a row of zeros.
pub(super) fn changed_rows(
    before: &BTreeMap<TargetId, Load>,
    after: &BTreeMap<TargetId, Load>,
) -> Vec<LoadRow> {
    let mut known = AscendingLookup::new(before);
    let is_new = |&(target, load): &(&TargetId, &Load)| known.get(*target) != Some(load);
    let changed = after.iter().filter(is_new);
    let mut rows: Vec<LoadRow> = changed
        .map(|(&target, &load)| LoadRow::new(target, load))
        .collect();
    let removed = before.keys().filter(|target| !after.contains_key(target));
    rows.extend(removed.map(|&target| LoadRow::new(target, Load::default())));
    rows
}
