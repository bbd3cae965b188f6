//! The holder's side: the slots that this router may use, and those that it asks for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::slots::Config;
use crate::slots::message::{Ask, Demand, Floor, Grants, Holding};

/// The number of recent asks to an owner whose sending times are kept. The term of a grant counts
/// from its ask.
const SENT_ASKS_MAX: usize = 32;

/// The slots that this router holds.
#[derive(Debug)]
pub struct Holder {
    cfg: Config,
    me: Incarnation,
    held: BTreeMap<TargetId, Held>,
    owners: BTreeMap<RouterId, OwnerState>,
    floors: BTreeMap<(RouterId, PoolId), Floor>,
    /// Owners to which an ask is to be sent at once, because something changed.
    dirty: BTreeSet<RouterId>,
}

/// The slots that this router holds at one target.
#[derive(Debug)]
struct Held {
    pool: PoolId,
    /// The owner to which these slots are reported.
    owner: RouterId,
    /// The number of requests that this router may have at the target.
    level: u32,
    /// When the term of the level ends.
    lapses: Time,
    /// The first ask that reported these slots to the owner.
    reported_since: Option<u32>,
    /// The first ask that reported to the owner that no slots are held any more.
    reported_empty_since: Option<u32>,
    /// Requests that run at the target.
    running: u32,
    /// The fewest requests that ran at any moment since the last ask.
    low: u32,
    /// The number of held slots in the last ask.
    reported: u32,
    /// Whether slots that become free have to be returned.
    over: bool,
    /// Since when a slot has been idle.
    idle_since: Option<Time>,
}

/// The exchange of asks and grants with one owner.
#[derive(Debug, Default)]
struct OwnerState {
    incarnation: Incarnation,
    /// The sequence number of the last ask.
    sequence: u32,
    /// The last asks, each with the time at which it was sent.
    sent: VecDeque<(u32, Time)>,
    /// The sequence number of the last grant that was applied for each target.
    applied: BTreeMap<TargetId, u32>,
    demands: BTreeMap<PoolId, Demand>,
}

impl Holder {
    /// Returns a holder without slots.
    pub const fn new(me: Incarnation, cfg: Config) -> Self {
        Self {
            cfg,
            me,
            held: BTreeMap::new(),
            owners: BTreeMap::new(),
            floors: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Returns how many requests may be started at a target now.
    pub fn idle(&self, now: Time, target: TargetId) -> u32 {
        self.held.get(&target).map_or(0, |held| held.idle(now))
    }

    /// Returns how many requests run at a target.
    pub fn running(&self, target: TargetId) -> u32 {
        self.held.get(&target).map_or(0, |held| held.running)
    }

    /// Returns the targets of a pool at which a request may be started now, with how many.
    pub fn open(&self, now: Time, pool: PoolId) -> impl Iterator<Item = (TargetId, u32)> {
        self.held
            .iter()
            .filter(move |(_, held)| held.pool == pool)
            .map(move |(&target, held)| (target, held.idle(now)))
            .filter(|&(_, idle)| idle > 0)
    }

    /// Returns whether an organisation may use a slot of the target that this router holds already,
    /// or has to leave it to another router. `lowest` is the organisation's virtual time, the
    /// lowest that waits here, and `urgent` says whether the request is urgent.
    pub fn may_use(&self, target: TargetId, lowest: u64, urgent: bool) -> bool {
        let Some(held) = self.held.get(&target) else {
            return false;
        };
        let Some(floor) = self.floors.get(&(held.owner, held.pool)) else {
            return !held.over;
        };
        let above = if urgent {
            self.cfg.lead
        } else {
            self.cfg.slack
        };
        let is_low = floor
            .lowest
            .is_none_or(|floor| lowest <= floor.saturating_add(above.0));
        !held.over && is_low && (urgent || !floor.reserve)
    }

    /// Returns the lowest floor that any owner reported for a pool.
    pub fn floor(&self, pool: PoolId) -> Option<u64> {
        let floors = self.floors.iter().filter(|((_, of), _)| *of == pool);
        floors.filter_map(|(_, floor)| floor.lowest).min()
    }

    /// Records that a request starts at a target.
    pub fn on_start(&mut self, target: TargetId, pool: PoolId, owner: RouterId) {
        let held = self
            .held
            .entry(target)
            .or_insert_with(|| Held::new(pool, owner));
        held.running += 1;
        held.idle_since = None;
    }

    /// Records that a request ended at a target.
    pub fn on_end(&mut self, target: TargetId) {
        if let Some(held) = self.held.get_mut(&target) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Releases one slot of a target, so that this router does not use the slot again without
    /// asking the owner.
    pub fn return_slot(&mut self, target: TargetId) {
        if let Some(held) = self.held.get_mut(&target) {
            held.level = held.level.saturating_sub(1).max(held.running);
            self.dirty.insert(held.owner);
        }
    }

    /// Releases all slots of a target but `keep`, because the target may have been restarted.
    pub fn shrink(&mut self, target: TargetId, keep: u32) {
        if let Some(held) = self.held.get_mut(&target) {
            held.level = held.level.min(keep).max(held.running);
            self.dirty.insert(held.owner);
        }
    }

    /// Releases idle slots that are not to be kept, and records the fewest requests that ran. This
    /// has to be called at the end of each event. `keep` says whether slots may be kept idle at
    /// all.
    pub fn settle(&mut self, now: Time, keep: bool) {
        for held in self.held.values_mut() {
            held.low = held.low.min(held.running);
            if held.level <= held.running {
                held.idle_since = None;
                if held.running < held.reported {
                    self.dirty.insert(held.owner);
                }
                continue;
            }
            let since = *held.idle_since.get_or_insert(now);
            let floor = self.floors.get(&(held.owner, held.pool));
            let is_demanded = floor.is_some_and(|floor| floor.lowest.is_some() || floor.reserve);
            let kept = keep && !is_demanded && !held.over && now.since(since) < self.cfg.idle;
            if !kept || now >= held.lapses {
                held.level = if kept { 0 } else { held.running };
                held.idle_since = None;
                self.dirty.insert(held.owner);
            }
        }
    }

    /// Updates the owners of the targets at which slots are held, and marks new owners for an ask.
    pub fn on_owners(&mut self, owner_of: impl Fn(TargetId) -> Option<RouterId>) {
        for (&target, held) in &mut self.held {
            let owner = owner_of(target).unwrap_or(held.owner);
            if owner != held.owner {
                held.owner = owner;
                held.reported_since = None;
                held.reported_empty_since = None;
                held.over = false;
                self.dirty.insert(owner);
            }
        }
        let owners: BTreeSet<RouterId> = self.held.values().map(|held| held.owner).collect();
        let is_active = |owner: &RouterId, owner_state: &OwnerState| {
            owners.contains(owner) || !owner_state.demands.is_empty()
        };
        self.floors.retain(|(owner, _), _| {
            self.owners
                .get(owner)
                .is_some_and(|owner_state| is_active(owner, owner_state))
        });
    }

    /// Sets the demand at an owner, which the next ask reports.
    pub fn set_demand(&mut self, owner: RouterId, demand: Demand) {
        let owner_state = self.owners.entry(owner).or_default();
        owner_state.demands.insert(demand.pool, demand);
    }

    /// Withdraws the demands for a pool, which the next ask to each owner reports.
    pub fn withdraw_demand(&mut self, pool: PoolId) {
        for owner_state in self.owners.values_mut() {
            owner_state.demands.remove(&pool);
        }
    }

    /// Removes demands at routers that no longer own targets of the pool, so that others are asked.
    pub fn retain_demands(&mut self, is_owner: impl Fn(RouterId, PoolId) -> bool) {
        for (&owner, owner_state) in &mut self.owners {
            owner_state.demands.retain(|&pool, _| is_owner(owner, pool));
        }
    }

    /// Returns the owners that were asked for slots of a pool, each with the demand.
    pub fn asked(&self, pool: PoolId) -> impl Iterator<Item = (RouterId, &Demand)> {
        self.owners.iter().filter_map(move |(&owner, owner_state)| {
            owner_state.demands.get(&pool).map(|demand| (owner, demand))
        })
    }

    /// Returns the pools for which any owner was asked for slots.
    pub fn asked_pools(&self) -> BTreeSet<PoolId> {
        let demands = self
            .owners
            .values()
            .flat_map(|owner_state| owner_state.demands.keys());
        demands.copied().collect()
    }

    /// Returns the pools for which a given owner was asked for slots.
    pub fn asked_of(&self, owner: RouterId) -> Vec<PoolId> {
        let owner_state = self.owners.get(&owner).into_iter();
        owner_state
            .flat_map(|owner_state| owner_state.demands.keys().copied())
            .collect()
    }

    /// Returns and clears the owners to which an ask is to be sent at once.
    pub fn take_dirty(&mut self) -> BTreeSet<RouterId> {
        core::mem::take(&mut self.dirty)
    }

    /// Returns every owner from which slots are held or requested.
    pub fn active_owners(&self) -> BTreeSet<RouterId> {
        let holding = self.held.values().map(|held| held.owner);
        let requesting = self.owners.iter();
        let requesting = requesting.filter(|(_, owner_state)| !owner_state.demands.is_empty());
        holding.chain(requesting.map(|(&owner, _)| owner)).collect()
    }

    /// Returns the next ask to an owner, with the current demands and holdings.
    pub fn ask(&mut self, now: Time, owner: RouterId) -> Ask {
        let owner_state = self.owners.entry(owner).or_default();
        owner_state.sequence += 1;
        if owner_state.sent.len() == SENT_ASKS_MAX {
            owner_state.sent.pop_front();
        }
        owner_state.sent.push_back((owner_state.sequence, now));
        let mut holdings = Vec::new();
        for (&target, held) in &mut self.held {
            if held.owner == owner {
                let applied = owner_state.applied.get(&target).copied().unwrap_or(0);
                holdings.push(held.holding(target, applied));
                held.on_report(owner_state.sequence);
            }
        }
        Ask {
            sequence: owner_state.sequence,
            owner: owner_state.incarnation,
            demands: owner_state.demands.values().copied().collect(),
            holdings,
        }
    }

    /// Applies the grants of an incarnation of an owner.
    pub fn on_grants(
        &mut self,
        now: Time,
        (from, incarnation): (RouterId, Incarnation),
        grants: &Grants,
        target_of: impl Fn(TargetId) -> Option<(PoolId, RouterId)>,
    ) {
        if grants.holder != self.me {
            return;
        }
        let owner_state = self.owners.entry(from).or_default();
        if incarnation < owner_state.incarnation {
            return;
        }
        if incarnation > owner_state.incarnation {
            owner_state.incarnation = incarnation;
            owner_state.applied.clear();
        }
        let sent = owner_state.sent.iter().find(|(ask, _)| *ask == grants.ask);
        let Some(&(_, sent)) = sent else {
            return;
        };
        let lapses = sent + self.cfg.term;
        self.held
            .retain(|_, held| held.owner != from || !held.is_known_empty(grants.ask));
        for held in self.held.values_mut().filter(|held| held.owner == from) {
            if now >= held.lapses {
                // After a pause of this process even the number of running requests may be
                // outdated, so the level is not renewed.
                held.level = 0;
            } else if held.reported_since.is_some_and(|since| since <= grants.ask) {
                held.lapses = held.lapses.max(lapses);
            }
            held.over = false;
        }
        for level in &grants.levels {
            let Some((pool, owner)) = target_of(level.target) else {
                continue;
            };
            let held = self.held.entry(level.target);
            let held = held.or_insert_with(|| Held::new(pool, owner));
            let applied = owner_state.applied.entry(level.target).or_default();
            if owner != from || held.owner != from || level.sequence <= *applied {
                continue;
            }
            *applied = level.sequence;
            let added = level.level.saturating_sub(held.level);
            held.level = level.level;
            held.reported_since = Some(held.reported_since.unwrap_or(grants.ask));
            held.reported_empty_since = None;
            held.lapses = held.lapses.max(lapses);
            if let Some(demand) = owner_state.demands.get_mut(&pool) {
                demand.want = demand.want.saturating_sub(added);
            }
        }
        for target in &grants.over {
            if let Some(held) = self.held.get_mut(target) {
                held.over = true;
            }
        }
        for floor in &grants.floors {
            self.floors.insert((from, floor.pool), *floor);
        }
    }
}

impl Held {
    const fn new(pool: PoolId, owner: RouterId) -> Self {
        Self {
            pool,
            owner,
            level: 0,
            lapses: Time(0),
            reported_since: None,
            reported_empty_since: None,
            running: 0,
            low: 0,
            reported: 0,
            over: false,
            idle_since: None,
        }
    }

    fn idle(&self, now: Time) -> u32 {
        if now < self.lapses {
            self.level.saturating_sub(self.running)
        } else {
            0
        }
    }

    const fn holding(&self, target: TargetId, seen: u32) -> Holding {
        let (held, low) = if self.level > self.running {
            (self.level, self.low)
        } else {
            (self.running, self.low)
        };
        Holding {
            target,
            seen,
            held,
            low,
        }
    }

    /// Records that an ask reports these slots to the owner.
    fn on_report(&mut self, ask: u32) {
        self.reported_since = Some(self.reported_since.unwrap_or(ask));
        self.reported = self.level.max(self.running);
        self.low = self.running;
        if self.level.max(self.running) > 0 {
            self.reported_empty_since = None;
        } else {
            self.reported_empty_since = Some(self.reported_empty_since.unwrap_or(ask));
        }
    }

    /// Returns whether no slots are held and an owner that applied this ask knows so.
    fn is_known_empty(&self, ask: u32) -> bool {
        let empty = self.level.max(self.running) == 0;
        empty && self.reported_empty_since.is_some_and(|since| since <= ask)
    }
}
