//! The owner's side: which routers receive the slots of the targets that this router owns.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::slots::message::{Ask, Demand, Floor, Grants, Level};
use crate::slots::owned::Owned;
use crate::slots::{Config, Visibility};

/// A function that returns the limit of a target: the number of requests that it may have, or zero
/// if it may have no new ones.
pub trait Limits: Fn(TargetId) -> u32 {}

impl<F: Fn(TargetId) -> u32> Limits for F {}

/// The targets that this router owns and the routers that ask for their slots.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    targets: BTreeMap<TargetId, Owned>,
    askers: BTreeMap<RouterId, Asker>,
    /// The system virtual time of each pool.
    systems: BTreeMap<PoolId, u64>,
    /// When a slot for an urgent request was last asked for in each pool.
    last_urgent: BTreeMap<PoolId, Time>,
    visibility: Visibility,
    /// The sequence number of the last grant.
    sequence: u32,
    /// Holders to which an answer is due, and whether it is to be sent at once.
    answers: BTreeMap<RouterId, Urgency>,
}

/// The state of a router that sent an ask.
#[derive(Debug)]
struct Asker {
    incarnation: Incarnation,
    /// The sequence number of the last ask that was applied.
    ask: u32,
    demands: BTreeMap<PoolId, Demand>,
    /// The floors in the last answer to the router.
    reported_floors: BTreeMap<PoolId, Option<u64>>,
    /// When the last ask was received.
    last_ask: Time,
}

impl Owner {
    /// Returns an owner without targets. `settle` is how long better visibility of the fleet has to
    /// last before it counts.
    pub const fn new(cfg: Config, settle: Duration) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
            askers: BTreeMap::new(),
            systems: BTreeMap::new(),
            last_urgent: BTreeMap::new(),
            visibility: Visibility::new(settle),
            sequence: 0,
            answers: BTreeMap::new(),
        }
    }

    /// Sets how many of the listed routers are considered live, this one included.
    pub fn on_visibility(&mut self, now: Time, live: usize, listed: usize) {
        self.visibility.update(now, live, listed);
    }

    /// Sets the targets that this router owns. Slots of a new one are granted only after the grants
    /// of its former owner have lapsed.
    pub fn on_owned(&mut self, now: Time, owned: &BTreeMap<TargetId, PoolId>) {
        self.targets.retain(|target, _| owned.contains_key(target));
        let opens = now + self.cfg.term * 2;
        for (&target, &pool) in owned {
            let entry = self.targets.entry(target);
            let owned = entry.or_insert_with(|| Owned::new(pool, opens));
            owned.pool = pool;
        }
    }

    /// Applies a target's report of the requests that it runs or has admitted.
    pub fn on_report(&mut self, now: Time, target: TargetId, total: u32) {
        if let Some(owned) = self.targets.get_mut(&target) {
            owned.on_report(now, total, &self.cfg);
        }
    }

    /// Applies an ask from an incarnation of a holder.
    pub fn on_ask(
        &mut self,
        now: Time,
        (from, incarnation): (RouterId, Incarnation),
        ask: Ask,
        me: Incarnation,
    ) {
        let asker = self.askers.entry(from);
        let asker = asker.or_insert_with(|| Asker::new(incarnation));
        let is_repeated = incarnation == asker.incarnation && ask.sequence <= asker.ask;
        if incarnation < asker.incarnation || is_repeated {
            return;
        }
        asker.incarnation = incarnation;
        asker.ask = ask.sequence;
        asker.last_ask = now;
        for demand in &ask.demands {
            let system = self.systems.entry(demand.pool).or_default();
            *system = demand.system.max(*system);
            if demand.urgent > 0 {
                self.last_urgent.insert(demand.pool, now);
            }
        }
        asker.demands = ask.demands.iter().map(|d| (d.pool, *d)).collect();
        for holding in ask.holdings {
            if let Some(owned) = self.targets.get_mut(&holding.target) {
                owned.on_holding(
                    now,
                    (from, incarnation),
                    holding,
                    ask.owner == me,
                    &self.cfg,
                );
            }
        }
        self.answers.entry(from).or_insert(Urgency::Periodic);
    }

    /// Removes routers that sent no ask for a term, and counts the slots of holders as lost whose
    /// term is over.
    pub fn expire_unresponsive(&mut self, now: Time) {
        let timeout = self.cfg.term;
        self.askers
            .retain(|_, asker| now.since(asker.last_ask) < timeout);
        for owned in self.targets.values_mut() {
            owned.expire_unresponsive(now, &self.cfg);
        }
    }

    /// Returns whether any router waits for slots or for an answer.
    pub fn has_work(&self) -> bool {
        !self.answers.is_empty() || self.demanded_pools().next().is_some()
    }

    /// Schedules an immediate answer to the holders of each target whose limit has fallen.
    pub fn notify_lowered_limits(&mut self, limit: impl Limits) {
        for (&target, owned) in &mut self.targets {
            if owned.is_held() && owned.update_limit(limit(target)) {
                let holders = owned.holders().map(|holder| (holder, Urgency::Now));
                self.answers.extend(holders);
            }
        }
    }

    /// Grants free slots to waiting routers, the one with the lowest virtual time first.
    pub fn grant_free(&mut self, now: Time, limit: impl Limits) {
        let pools: BTreeSet<PoolId> = self.demanded_pools().collect();
        for pool in pools {
            let mut free = self.free_in(now, pool, &limit);
            let reserve = self.reserve(now, pool, &limit);
            let mut left: i64 = free.iter().map(|(slots, _)| slots).sum();
            while let Some((slots, target)) = free.pop() {
                let Some(holder) = self.next_holder(pool, left <= reserve) else {
                    break;
                };
                self.grant(now, holder, target);
                left -= 1;
                if slots > 1 {
                    let at = free.partition_point(|&entry| entry < (slots - 1, target));
                    free.insert(at, (slots - 1, target));
                }
            }
            if self.next_holder(pool, false).is_some() {
                self.recall_unused(pool);
            }
        }
    }

    /// Returns and clears the answers that are due, each with its holder and urgency.
    pub fn take_answers(
        &mut self,
        now: Time,
        limit: impl Limits,
    ) -> Vec<(RouterId, Grants, Urgency)> {
        let due = core::mem::take(&mut self.answers);
        let due = due.into_iter().filter_map(|(holder, urgency)| {
            let grants = self.answer(now, holder, &limit)?;
            Some((holder, grants, urgency))
        });
        due.collect()
    }

    /// Returns the highest system virtual time that any ask reported for a pool.
    pub fn system(&self, pool: PoolId) -> u64 {
        self.systems.get(&pool).copied().unwrap_or(0)
    }

    /// Returns the pools for which routers wait, with repetitions.
    fn demanded_pools(&self) -> impl Iterator<Item = PoolId> {
        let demands = self
            .askers
            .values()
            .flat_map(|asker| asker.demands.values());
        demands.filter(|demand| demand.want > 0).map(|d| d.pool)
    }

    /// Returns the targets of a pool with free slots, the one with most of them last.
    fn free_in(&self, now: Time, pool: PoolId, limit: &impl Limits) -> Vec<(i64, TargetId)> {
        let targets = self.targets.iter().filter(|(_, owned)| owned.pool == pool);
        let mut free: Vec<(i64, TargetId)> = targets
            .map(|(&target, owned)| (self.free(now, target, owned, limit), target))
            .filter(|&(free, _)| free > 0)
            .collect();
        free.sort_unstable();
        free
    }

    fn free(&self, now: Time, target: TargetId, owned: &Owned, limit: &impl Limits) -> i64 {
        let limit = limit(target);
        owned.free(now, limit, self.visibility.part(limit))
    }

    /// Returns how many slots of a pool are reserved for urgent requests. None are if the last
    /// urgent request was longer ago than [`Config::reserve_for`].
    fn reserve(&self, now: Time, pool: PoolId, limit: &impl Limits) -> i64 {
        let last = self.last_urgent.get(&pool);
        if last.is_none_or(|&last| now.since(last) >= self.cfg.reserve_for) {
            return 0;
        }
        let targets = self.targets.iter().filter(|(_, owned)| owned.pool == pool);
        let slots: u32 = targets.map(|(&target, _)| limit(target)).sum();
        i64::from(slots * self.cfg.reserve_percent / 100)
    }

    /// Returns the router that gets the next slot: the one with the lowest virtual time. If only
    /// the reserve is left, only routers with urgent requests qualify, and only up to
    /// [`Config::lead`] above the lowest virtual time.
    fn next_holder(&self, pool: PoolId, only_urgent: bool) -> Option<RouterId> {
        let waiting = self.askers.iter().filter_map(|(&router, asker)| {
            let demand = asker.demands.get(&pool)?;
            (demand.want > 0).then_some((demand.lowest, router, demand.urgent > 0))
        });
        if !only_urgent {
            return waiting.min().map(|(_, router, _)| router);
        }
        let floor = waiting.clone().map(|(lowest, ..)| lowest).min()?;
        let highest = floor.saturating_add(self.cfg.lead.0);
        waiting
            .filter(|&(lowest, _, urgent)| urgent && lowest <= highest)
            .min()
            .map(|(_, router, _)| router)
    }

    fn grant(&mut self, now: Time, holder: RouterId, target: TargetId) {
        let (Some(owned), Some(asker)) =
            (self.targets.get_mut(&target), self.askers.get_mut(&holder))
        else {
            return;
        };
        self.sequence += 1;
        let level = Level {
            target,
            sequence: self.sequence,
            level: 0,
        };
        owned.raise(now, (holder, asker.incarnation), level);
        if let Some(demand) = asker.demands.get_mut(&owned.pool) {
            demand.want -= 1;
            demand.urgent = demand.urgent.saturating_sub(1);
            demand.lowest = demand.lowest.saturating_add(demand.step);
        }
        self.answers.insert(holder, Urgency::Now);
    }

    /// Returns whether fewer slots are free than are reserved for urgent requests, so that holders
    /// have to return slots that other requests would use.
    fn is_reserve_short(&self, now: Time, pool: PoolId, limit: &impl Limits) -> bool {
        let reserve = self.reserve(now, pool, limit);
        let free = self.free_in(now, pool, limit);
        reserve > free.iter().map(|(slots, _)| slots).sum()
    }

    /// Schedules an immediate answer to holders whose last answer had no floor, so that they return
    /// unused slots to the routers that wait now.
    fn recall_unused(&mut self, pool: PoolId) {
        let targets = self.targets.values().filter(|owned| owned.pool == pool);
        let holders: BTreeSet<RouterId> = targets.flat_map(Owned::holders).collect();
        for holder in holders {
            let floor = self.floor(pool, holder);
            let Some(asker) = self.askers.get(&holder) else {
                continue;
            };
            let known = asker.reported_floors.get(&pool).copied().flatten();
            if known.is_none() && floor.is_some() {
                self.answers.insert(holder, Urgency::Now);
            }
        }
    }

    /// Returns the lowest virtual time among the waiting routers other than `holder`.
    fn floor(&self, pool: PoolId, holder: RouterId) -> Option<u64> {
        let others = self.askers.iter().filter(|&(&router, _)| router != holder);
        let demands = others.filter_map(|(_, asker)| asker.demands.get(&pool));
        let waiting = demands.filter(|demand| demand.want > 0);
        waiting.map(|demand| demand.lowest).min()
    }

    fn answer(&mut self, now: Time, holder: RouterId, limit: &impl Limits) -> Option<Grants> {
        let targets = self.targets.iter();
        let mine = targets.filter(|(_, owned)| owned.holders().any(|router| router == holder));
        let mut pools = BTreeSet::new();
        let mut levels = Vec::new();
        let mut over = Vec::new();
        for (&target, owned) in mine {
            pools.insert(owned.pool);
            levels.extend(owned.pending(holder));
            let limit = limit(target);
            if owned.is_over(now, limit, self.visibility.part(limit), &self.cfg) {
                over.push(target);
            }
        }
        let floors = pools.iter().map(|&pool| Floor {
            pool,
            lowest: self.floor(pool, holder),
            system: self.system(pool),
            reserve: self.is_reserve_short(now, pool, limit),
        });
        let floors: Vec<Floor> = floors.collect();
        let asker = self.askers.get_mut(&holder)?;
        asker.reported_floors = floors.iter().map(|f| (f.pool, f.lowest)).collect();
        Some(Grants {
            holder: asker.incarnation,
            ask: asker.ask,
            levels,
            floors,
            over,
        })
    }
}

impl Asker {
    const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ask: 0,
            demands: BTreeMap::new(),
            reported_floors: BTreeMap::new(),
            last_ask: Time(0),
        }
    }
}
