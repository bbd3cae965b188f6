//! The holder's side: what this router may use, and what it asks for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::slots::Config;
use crate::slots::message::{Ask, Demand, Floor, Grants, Holding};

/// How many asks to an owner are remembered, to date the term of its grants.
const SENT_ASKS: usize = 32;

/// The slots that this router holds.
#[derive(Debug)]
pub struct Holder {
    cfg: Config,
    me: Incarnation,
    held: BTreeMap<TargetId, Held>,
    owners: BTreeMap<RouterId, Dealing>,
    floors: BTreeMap<(RouterId, PoolId), Floor>,
    /// Owners that are to be told of a change at once.
    dirty: BTreeSet<RouterId>,
}

/// What is held at one target.
#[derive(Debug)]
struct Held {
    pool: PoolId,
    /// Who is told of it.
    owner: RouterId,
    level: u32,
    lapses: Time,
    /// The ask from which on the owner knows of this holding.
    told: Option<u32>,
    /// The ask from which on the owner knows that nothing is held any more.
    told_empty: Option<u32>,
    running: u32,
    low: u32,
    /// How many the owner was told last to be held.
    reported: u32,
    over: bool,
    /// Since when a slot has been idle.
    idle_since: Option<Time>,
}

/// What passed between this router and one owner.
#[derive(Debug, Default)]
struct Dealing {
    run: Incarnation,
    sequence: u32,
    sent: VecDeque<(u32, Time)>,
    /// The last grant that was taken for each target.
    seen: BTreeMap<TargetId, u32>,
    demands: BTreeMap<PoolId, Demand>,
}

impl Holder {
    /// Returns the holder of nothing.
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

    /// Says whether an organisation may use a slot of the target that is held already, or has to leave
    /// it to somebody else. `lowest` is the lowest virtual time that waits here, `urgent` whether the
    /// request in question is urgent.
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

    /// Returns the lowest virtual time that any owner told for a pool.
    pub fn floor(&self, pool: PoolId) -> Option<u64> {
        let floors = self.floors.iter().filter(|((_, of), _)| *of == pool);
        floors.filter_map(|(_, floor)| floor.lowest).min()
    }

    /// Notes that a request starts.
    pub fn on_start(&mut self, target: TargetId, pool: PoolId, owner: RouterId) {
        let held = self
            .held
            .entry(target)
            .or_insert_with(|| Held::new(pool, owner));
        held.running += 1;
        held.idle_since = None;
    }

    /// Notes that a request ended.
    pub fn on_end(&mut self, target: TargetId) {
        if let Some(held) = self.held.get_mut(&target) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Gives up one slot of a target, so that it is not used again without asking.
    pub fn return_slot(&mut self, target: TargetId) {
        if let Some(held) = self.held.get_mut(&target) {
            held.level = held.level.saturating_sub(1).max(held.running);
            self.dirty.insert(held.owner);
        }
    }

    /// Gives up all slots of a target but `keep`, because the target may have been restarted.
    pub fn shrink(&mut self, target: TargetId, keep: u32) {
        if let Some(held) = self.held.get_mut(&target) {
            held.level = held.level.min(keep).max(held.running);
            self.dirty.insert(held.owner);
        }
    }

    /// Gives up slots that are idle and not to be kept, and notes how few requests run. It has to be
    /// called at the end of each event.
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
            let wanted = floor.is_some_and(|floor| floor.lowest.is_some() || floor.reserve);
            let kept = keep && !wanted && !held.over && now.since(since) < self.cfg.idle;
            if !kept || now >= held.lapses {
                held.level = if kept { 0 } else { held.running };
                held.idle_since = None;
                self.dirty.insert(held.owner);
            }
        }
    }

    /// Changes who owns what, and says who has to be told.
    pub fn on_owners(&mut self, owner_of: impl Fn(TargetId) -> Option<RouterId>) {
        for (&target, held) in &mut self.held {
            let owner = owner_of(target).unwrap_or(held.owner);
            if owner != held.owner {
                held.owner = owner;
                held.told = None;
                held.told_empty = None;
                held.over = false;
                self.dirty.insert(owner);
            }
        }
        let owners: BTreeSet<RouterId> = self.held.values().map(|held| held.owner).collect();
        let kept = |owner: &RouterId, dealing: &Dealing| {
            owners.contains(owner) || !dealing.demands.is_empty()
        };
        self.floors.retain(|(owner, _), _| {
            self.owners
                .get(owner)
                .is_some_and(|dealing| kept(owner, dealing))
        });
    }

    /// Sets what is wanted of an owner; it is told with the next ask.
    pub fn want(&mut self, owner: RouterId, demand: Demand) {
        let dealing = self.owners.entry(owner).or_default();
        dealing.demands.insert(demand.pool, demand);
    }

    /// Stops wanting anything of a pool; owners are told with the next ask.
    pub fn want_nothing(&mut self, pool: PoolId) {
        for dealing in self.owners.values_mut() {
            dealing.demands.remove(&pool);
        }
    }

    /// Forgets what was wanted of routers that are no longer owners in the pool, so that others are asked.
    pub fn forget_former(&mut self, is_owner: impl Fn(RouterId, PoolId) -> bool) {
        for (&owner, dealing) in &mut self.owners {
            dealing.demands.retain(|&pool, _| is_owner(owner, pool));
        }
    }

    /// Returns the owners that were asked for a pool, with what they were asked for.
    pub fn asked(&self, pool: PoolId) -> impl Iterator<Item = (RouterId, &Demand)> {
        self.owners.iter().filter_map(move |(&owner, dealing)| {
            dealing.demands.get(&pool).map(|demand| (owner, demand))
        })
    }

    /// Returns the pools for which owners were asked.
    pub fn asked_pools(&self) -> BTreeSet<PoolId> {
        let demands = self
            .owners
            .values()
            .flat_map(|dealing| dealing.demands.keys());
        demands.copied().collect()
    }

    /// Returns the pools for which an owner was asked.
    pub fn asked_of(&self, owner: RouterId) -> Vec<PoolId> {
        let dealing = self.owners.get(&owner).into_iter();
        dealing
            .flat_map(|dealing| dealing.demands.keys().copied())
            .collect()
    }

    /// Returns the owners that are to be told of a change at once.
    pub fn take_dirty(&mut self) -> BTreeSet<RouterId> {
        core::mem::take(&mut self.dirty)
    }

    /// Returns every owner with which something is open.
    pub fn active_owners(&self) -> BTreeSet<RouterId> {
        let holding = self.held.values().map(|held| held.owner);
        let wanting = self.owners.iter();
        let wanting = wanting.filter(|(_, dealing)| !dealing.demands.is_empty());
        holding.chain(wanting.map(|(&owner, _)| owner)).collect()
    }

    /// Returns the ask that tells an owner how things stand.
    pub fn ask(&mut self, now: Time, owner: RouterId) -> Ask {
        let dealing = self.owners.entry(owner).or_default();
        dealing.sequence += 1;
        if dealing.sent.len() == SENT_ASKS {
            dealing.sent.pop_front();
        }
        dealing.sent.push_back((dealing.sequence, now));
        let mut holdings = Vec::new();
        for (&target, held) in &mut self.held {
            if held.owner == owner {
                let seen = dealing.seen.get(&target).copied().unwrap_or(0);
                holdings.push(held.holding(target, seen));
                held.on_told(dealing.sequence);
            }
        }
        Ask {
            sequence: dealing.sequence,
            owner: dealing.run,
            demands: dealing.demands.values().copied().collect(),
            holdings,
        }
    }

    /// Takes over what a run of an owner grants.
    pub fn on_grants(
        &mut self,
        now: Time,
        (from, run): (RouterId, Incarnation),
        grants: &Grants,
        target_of: impl Fn(TargetId) -> Option<(PoolId, RouterId)>,
    ) {
        if grants.holder != self.me {
            return;
        }
        let dealing = self.owners.entry(from).or_default();
        if run < dealing.run {
            return;
        }
        if run > dealing.run {
            dealing.run = run;
            dealing.seen.clear();
        }
        let sent = dealing.sent.iter().find(|(ask, _)| *ask == grants.ask);
        let Some(&(_, sent)) = sent else {
            return;
        };
        let lapses = sent + self.cfg.term;
        self.held
            .retain(|_, held| held.owner != from || !held.is_over_with(grants.ask));
        for held in self.held.values_mut().filter(|held| held.owner == from) {
            if now >= held.lapses {
                // After a pause even the number of running requests is old, so nothing is renewed.
                held.level = 0;
            } else if held.told.is_some_and(|told| told <= grants.ask) {
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
            let seen = dealing.seen.entry(level.target).or_default();
            if owner != from || held.owner != from || level.sequence <= *seen {
                continue;
            }
            *seen = level.sequence;
            let more = level.level.saturating_sub(held.level);
            held.level = level.level;
            held.told = Some(held.told.unwrap_or(grants.ask));
            held.told_empty = None;
            held.lapses = held.lapses.max(lapses);
            if let Some(demand) = dealing.demands.get_mut(&pool) {
                demand.want = demand.want.saturating_sub(more);
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
            told: None,
            told_empty: None,
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

    /// Notes that the owner is being told with this ask.
    fn on_told(&mut self, ask: u32) {
        self.told = Some(self.told.unwrap_or(ask));
        self.reported = self.level.max(self.running);
        self.low = self.running;
        if self.level.max(self.running) > 0 {
            self.told_empty = None;
        } else {
            self.told_empty = Some(self.told_empty.unwrap_or(ask));
        }
    }

    /// Says whether nothing is held and the owner knows it, if it took this ask.
    fn is_over_with(&self, ask: u32) -> bool {
        let empty = self.level.max(self.running) == 0;
        empty && self.told_empty.is_some_and(|told| told <= ask)
    }
}
