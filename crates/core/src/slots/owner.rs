//! The owner's side: who is given the slots of the targets that this router owns.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::slots::message::{Ask, Demand, Floor, Grants, Level};
use crate::slots::owned::Owned;
use crate::slots::{Config, Sight};

/// What the owner is told about a target from outside: how many requests it may have, or zero if it may
/// have no new ones.
pub trait Limits: Fn(TargetId) -> u32 {}

impl<F: Fn(TargetId) -> u32> Limits for F {}

/// The targets that this router owns and the routers that ask for their slots.
#[derive(Debug)]
pub struct Owner {
    cfg: Config,
    targets: BTreeMap<TargetId, Owned>,
    askers: BTreeMap<RouterId, Asker>,
    systems: BTreeMap<PoolId, u64>,
    /// When an urgent request was last asked for in each pool.
    urgent: BTreeMap<PoolId, Time>,
    sight: Sight,
    sequence: u32,
    /// Holders that are to be answered, and whether at once.
    answers: BTreeMap<RouterId, Urgency>,
}

#[derive(Debug)]
struct Asker {
    run: Incarnation,
    ask: u32,
    demands: BTreeMap<PoolId, Demand>,
    /// The floors that it was told.
    told: BTreeMap<PoolId, Option<u64>>,
    heard: Time,
}

impl Owner {
    /// Returns the owner of nothing. `settle` is how long a better sight has to last before it counts.
    pub const fn new(cfg: Config, settle: Duration) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
            askers: BTreeMap::new(),
            systems: BTreeMap::new(),
            urgent: BTreeMap::new(),
            sight: Sight::new(settle),
            sequence: 0,
            answers: BTreeMap::new(),
        }
    }

    /// Takes over how much of the fleet is seen.
    pub fn on_visibility(&mut self, now: Time, seen: usize, listed: usize) {
        self.sight.on_seen(now, seen, listed);
    }

    /// Takes over which targets are owned. A new one opens when the grants of its former owner have
    /// lapsed.
    pub fn on_owned(&mut self, now: Time, owned: &BTreeMap<TargetId, PoolId>) {
        self.targets.retain(|target, _| owned.contains_key(target));
        let opens = now + self.cfg.term * 2;
        for (&target, &pool) in owned {
            let entry = self.targets.entry(target);
            let owned = entry.or_insert_with(|| Owned::new(pool, opens));
            owned.pool = pool;
        }
    }

    /// Takes over a target's report of the requests that it runs or has admitted.
    pub fn on_report(&mut self, now: Time, target: TargetId, total: u32) {
        if let Some(owned) = self.targets.get_mut(&target) {
            owned.on_report(now, total, &self.cfg);
        }
    }

    /// Takes over what a run of a holder asks and holds.
    pub fn on_ask(
        &mut self,
        now: Time,
        (from, run): (RouterId, Incarnation),
        ask: Ask,
        me: Incarnation,
    ) {
        let asker = self.askers.entry(from).or_insert_with(|| Asker::new(run));
        if run < asker.run || (run == asker.run && ask.sequence <= asker.ask) {
            return;
        }
        asker.run = run;
        asker.ask = ask.sequence;
        asker.heard = now;
        for demand in &ask.demands {
            let system = self.systems.entry(demand.pool).or_default();
            *system = demand.system.max(*system);
            if demand.urgent > 0 {
                self.urgent.insert(demand.pool, now);
            }
        }
        asker.demands = ask.demands.iter().map(|d| (d.pool, *d)).collect();
        for holding in ask.holdings {
            if let Some(owned) = self.targets.get_mut(&holding.target) {
                owned.on_holding(now, (from, run), holding, ask.owner == me, &self.cfg);
            }
        }
        self.answers.entry(from).or_insert(Urgency::Periodic);
    }

    /// Gives up on routers that have told nothing for a term.
    pub fn expire_unresponsive(&mut self, now: Time) {
        let patience = self.cfg.term;
        self.askers
            .retain(|_, asker| now.since(asker.heard) < patience);
        for owned in self.targets.values_mut() {
            owned.expire_unresponsive(now, &self.cfg);
        }
    }

    /// Says whether something is to be handed out or answered.
    pub fn has_work(&self) -> bool {
        !self.answers.is_empty() || self.wanted_pools().next().is_some()
    }

    /// Tells holders at once of targets whose limit has fallen.
    pub fn notify_lowered_limits(&mut self, limit: impl Limits) {
        for (&target, owned) in &mut self.targets {
            if owned.is_held() && owned.has_fallen(limit(target)) {
                let holders = owned.holders().map(|holder| (holder, Urgency::Now));
                self.answers.extend(holders);
            }
        }
    }

    /// Hands free slots to those who wait, lowest first.
    pub fn hand_out(&mut self, now: Time, limit: impl Limits) {
        let pools: BTreeSet<PoolId> = self.wanted_pools().collect();
        for pool in pools {
            let mut free = self.free_in(now, pool, &limit);
            let reserve = self.reserve(now, pool, &limit);
            let mut left: i64 = free.iter().map(|(slots, _)| slots).sum();
            while let Some((slots, target)) = free.pop() {
                let Some(holder) = self.neediest(pool, left <= reserve) else {
                    break;
                };
                self.grant(now, holder, target);
                left -= 1;
                if slots > 1 {
                    let at = free.partition_point(|&entry| entry < (slots - 1, target));
                    free.insert(at, (slots - 1, target));
                }
            }
            if self.neediest(pool, false).is_some() {
                self.call_back(pool);
            }
        }
    }

    /// Returns the answers that are due, with the holder's name and the urgency.
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

    /// Returns the pool's system virtual time as far as askers told it.
    pub fn system(&self, pool: PoolId) -> u64 {
        self.systems.get(&pool).copied().unwrap_or(0)
    }

    fn wanted_pools(&self) -> impl Iterator<Item = PoolId> {
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
        owned.free(now, limit, self.sight.part(limit))
    }

    /// Returns how many slots of a pool are kept for urgent requests, if there were any lately.
    fn reserve(&self, now: Time, pool: PoolId, limit: &impl Limits) -> i64 {
        let last = self.urgent.get(&pool);
        if last.is_none_or(|&last| now.since(last) >= self.cfg.reserve_for) {
            return 0;
        }
        let targets = self.targets.iter().filter(|(_, owned)| owned.pool == pool);
        let slots: u32 = targets.map(|(&target, _)| limit(target)).sum();
        i64::from(slots * self.cfg.reserve / 100)
    }

    /// Returns the holder that gets the next slot: the one with the lowest virtual time, among those
    /// with urgent requests not too far above it if only the reserve is left.
    fn neediest(&self, pool: PoolId, urgent: bool) -> Option<RouterId> {
        let waiting = self.askers.iter().filter_map(|(&router, asker)| {
            let demand = asker.demands.get(&pool)?;
            (demand.want > 0).then_some((demand.lowest, router, demand.urgent > 0))
        });
        if !urgent {
            return waiting.min().map(|(_, router, _)| router);
        }
        let floor = waiting.clone().map(|(lowest, ..)| lowest).min()?;
        let most = floor.saturating_add(self.cfg.lead.0);
        waiting
            .filter(|&(lowest, _, urgent)| urgent && lowest <= most)
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
        owned.raise(now, (holder, asker.run), level);
        if let Some(demand) = asker.demands.get_mut(&owned.pool) {
            demand.want -= 1;
            demand.urgent = demand.urgent.saturating_sub(1);
            demand.lowest = demand.lowest.saturating_add(demand.step);
        }
        self.answers.insert(holder, Urgency::Now);
    }

    /// Says whether less is free than is kept for urgent requests, so that others have to give back.
    fn is_reserve_short(&self, now: Time, pool: PoolId, limit: &impl Limits) -> bool {
        let reserve = self.reserve(now, pool, limit);
        let free = self.free_in(now, pool, limit);
        reserve > free.iter().map(|(slots, _)| slots).sum()
    }

    /// Makes holders that do not know yet that others wait give back what they do not use.
    fn call_back(&mut self, pool: PoolId) {
        let targets = self.targets.values().filter(|owned| owned.pool == pool);
        let holders: BTreeSet<RouterId> = targets.flat_map(Owned::holders).collect();
        for holder in holders {
            let floor = self.floor(pool, holder);
            let Some(asker) = self.askers.get(&holder) else {
                continue;
            };
            let known = asker.told.get(&pool).copied().flatten();
            if known.is_none() && floor.is_some() {
                self.answers.insert(holder, Urgency::Now);
            }
        }
    }

    /// Returns the lowest virtual time among the others that wait.
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
            let most = limit(target);
            if owned.is_over(now, most, self.sight.part(most), &self.cfg) {
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
        asker.told = floors.iter().map(|f| (f.pool, f.lowest)).collect();
        Some(Grants {
            holder: asker.run,
            ask: asker.ask,
            levels,
            floors,
            over,
        })
    }
}

impl Asker {
    const fn new(run: Incarnation) -> Self {
        Self {
            run,
            ask: 0,
            demands: BTreeMap::new(),
            told: BTreeMap::new(),
            heard: Time(0),
        }
    }
}
