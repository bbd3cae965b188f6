//! The exchange of slots: asks to the owners of targets, and answers to the routers that ask this
//! one.

use std::collections::BTreeSet;

use crate::input::Report;
use crate::node::Node;
use crate::node::dispatch::EligibleOrganisation;
use crate::prelude::*;
use crate::slots::Policy;
use crate::slots::lane::{is_new, new_lane, pool_of};
use crate::slots::message::{Demand, SlotsPart};
use crate::version::Arm;

impl Node {
    /// Handles a peer's message about slots.
    pub(super) fn on_slots_part(&mut self, from: RouterId, run: Incarnation, part: SlotsPart) {
        let now = self.cx.now;
        match part {
            SlotsPart::Ask(ask) => {
                let me = self.cx.incarnation;
                self.slots.owner.on_ask(now, (from, run), ask, me);
            }
            SlotsPart::Grants(grants) => {
                for floor in &grants.floors {
                    self.slots.raise_system(pool_of(floor.pool), floor.system);
                }
                if !grants.levels.is_empty() {
                    self.cx.count(Counter::GrantReceived);
                }
                let owners = &self.slots.owners;
                self.slots
                    .holder
                    .on_grants(now, (from, run), &grants, |target| owners.of(target));
            }
        }
    }

    /// Handles a target's report of its load.
    pub(super) fn on_report(&mut self, target: TargetId, report: Report) {
        let total = report.running + report.waiting;
        self.slots.owner.on_report(self.cx.now, target, total);
    }

    /// Updates the owners of targets from the live routers and the catalogue.
    pub(super) fn update_owners(&mut self) {
        if self.slots.cfg.policy == Policy::Local {
            return;
        }
        let now = self.cx.now;
        let live: Vec<RouterId> = self.members.live(now).collect();
        let listed: BTreeSet<RouterId> = self
            .members
            .peers()
            .filter(|(_, peer)| peer.listed)
            .map(|(id, _)| id)
            .chain([self.cx.me])
            .collect();
        let live_and_listed = live.iter().filter(|id| listed.contains(id)).count();
        self.slots
            .owner
            .on_visibility(now, live_and_listed, listed.len());
        if self
            .slots
            .owners
            .update(live, self.reader.known, &self.catalogue)
        {
            let owned = self.slots.owners.owned_by(self.cx.me);
            self.slots.owner.on_owned(now, &owned);
            let owners = &self.slots.owners;
            self.slots
                .holder
                .on_owners(|target| owners.of(target).map(|(_, owner)| owner));
            self.slots
                .holder
                .retain_demands(|owner, pool| owners.of_pool(pool).contains(&owner));
        }
    }

    /// Says whether this router may dispatch requests: it is current, and it has had time to
    /// receive the service that others counted. Before that, every organisation would seem to have
    /// received nothing.
    pub(super) fn may_dispatch(&self) -> bool {
        let informed_at = self.started + self.members.period() * 3;
        let local = self.slots.cfg.policy == Policy::Local;
        self.is_ready() && (local || self.cx.now >= informed_at)
    }

    /// Sends this router's present state to every owner with which it exchanges slots, so that
    /// terms are extended and lost messages do no harm.
    pub(super) fn renew_slots(&mut self) {
        self.slots.owner.expire_unresponsive(self.cx.now);
        if matches!(self.slots.cfg.policy, Policy::FixedSplit | Policy::Local) {
            return;
        }
        for owner in self.slots.holder.active_owners() {
            self.send_ask(owner);
        }
    }

    /// Returns, requests and grants slots where there is a reason to.
    pub(super) fn exchange_slots(&mut self) {
        if matches!(self.slots.cfg.policy, Policy::FixedSplit | Policy::Local) {
            return;
        }
        let keep = self.slots.cfg.policy != Policy::Forwarded;
        self.slots.holder.settle(self.cx.now, keep);
        if self.may_dispatch() {
            self.ask_for_slots();
        }
        for owner in self.slots.holder.take_dirty() {
            self.send_ask(owner);
        }
        self.answer_holders();
    }

    /// Handles the messages that this router has sent to itself, and says whether there were any.
    pub(super) fn handle_local_messages(&mut self) -> bool {
        let mut any = false;
        while let Some(part) = self.slots.local_messages.pop_front() {
            let (me, run) = (self.cx.me, self.cx.incarnation);
            self.on_slots_part(me, run, part);
            any = true;
        }
        any
    }

    fn answer_holders(&mut self) {
        let now = self.cx.now;
        let (catalogue, targets) = (&self.catalogue, &self.targets);
        let quarantine = &self.quarantine;
        let usable = |target| {
            catalogue
                .target(target)
                .is_some_and(|v| targets.usable(now, &v) && !quarantine.is_reserved(now, target))
        };
        let limit = |target| {
            if usable(target) {
                targets.limit(target)
            } else {
                0
            }
        };
        self.slots.owner.notify_lowered_limits(limit);
        if !self.slots.owner.has_work() {
            return;
        }
        self.slots.owner.grant_free(now, limit);
        // In a large fleet frames are too rare for a renewal to wait for the next one.
        let at_once = self.members.period() * 3 > self.slots.cfg.term;
        for (to, grants, urgency) in self.slots.owner.take_answers(now, limit) {
            let urgency = if at_once { Urgency::Now } else { urgency };
            self.send_slots(to, SlotsPart::Grants(grants), urgency);
        }
    }

    fn ask_for_slots(&mut self) {
        let waiting = self.lanes();
        for pool in self.slots.holder.asked_pools() {
            if !waiting.contains(&pool) {
                self.slots.holder.withdraw_demand(pool);
                self.slots.widen_at.remove(&pool);
            }
        }
        for pool in waiting {
            match self.demand(pool) {
                Some(demand) => self.ask_for(demand),
                None => self.slots.holder.withdraw_demand(pool),
            }
        }
    }

    /// Returns the lanes of the pools for which requests wait: one for each pool, and one more for
    /// the new version of a pool with a version move.
    fn lanes(&self) -> Vec<PoolId> {
        let pools = self.queues.pools();
        let moving = |pool: &PoolId| self.moves.has(*pool);
        let new = pools.iter().copied().filter(moving).map(new_lane);
        let new: Vec<PoolId> = new.collect();
        pools.into_iter().chain(new).collect()
    }

    /// Asks more owners, or the same ones again, if the demand that they know of is too low.
    fn ask_for(&mut self, demand: Demand) {
        let (now, pool) = (self.cx.now, demand.pool);
        let asked: Vec<(RouterId, Demand)> = self
            .slots
            .holder
            .asked(pool)
            .map(|(owner, reported)| (owner, *reported))
            .collect();
        let reported: u32 = asked.iter().map(|(_, reported)| reported.want).sum();
        let lowest = asked.iter().map(|(_, reported)| reported.lowest).min();
        let lower =
            lowest.is_some_and(|reported| demand.lowest + self.slots.cfg.slack.0 < reported);
        let fan = self
            .slots
            .owners
            .of_pool(pool)
            .len()
            .min(self.slots.cfg.fan_out);
        let first_urgent =
            demand.urgent > 0 && asked.iter().all(|(_, reported)| reported.urgent == 0);
        let due = self.slots.widen_at.get(&pool).is_some_and(|&at| at <= now);
        let widen = due && asked.len() < fan;
        if reported >= demand.want && !lower && !widen && !first_urgent {
            return;
        }
        let count = if widen {
            fan
        } else {
            let wanted = (demand.want as usize).max(self.slots.cfg.probes);
            wanted.max(asked.len()).min(fan)
        };
        self.slots.widen_at.remove(&pool);
        if count < fan {
            let at = now + self.slots.cfg.probe_wait;
            self.slots.widen_at.insert(pool, at);
            self.cx.wake(at);
        }
        for owner in self.pick_owners(pool, asked.iter().map(|(owner, _)| *owner), count) {
            self.slots.holder.set_demand(owner, demand);
            self.send_ask(owner);
        }
    }

    /// Returns the owners that were asked before, and further owners of the pool in random order.
    fn pick_owners(
        &mut self,
        pool: PoolId,
        asked: impl Iterator<Item = RouterId>,
        count: usize,
    ) -> Vec<RouterId> {
        let all = self.slots.owners.of_pool(pool);
        let mut picked: Vec<RouterId> = asked.filter(|owner| all.contains(owner)).collect();
        let mut others: Vec<RouterId> = all
            .iter()
            .copied()
            .filter(|owner| !picked.contains(owner))
            .collect();
        while picked.len() < count && !others.is_empty() {
            let at = rand::RngExt::random_range(&mut self.cx.rng, 0..others.len());
            picked.push(others.swap_remove(at));
        }
        picked
    }

    /// Returns this router's demand for a lane, or `None` if nothing that waits may run.
    fn demand(&self, lane: PoolId) -> Option<Demand> {
        let pool = pool_of(lane);
        let candidates = self.eligible_organisations(pool);
        let first: &EligibleOrganisation = candidates.first()?;
        let waiting: usize = candidates.iter().map(|candidate| candidate.waiting).sum();
        let urgent = match self.first_urgent(&candidates) {
            Some(_) => candidates.iter().filter(|c| c.urgent).count(),
            None => 0,
        };
        let most = self.slots.cfg.want;
        let count = |n: usize| u32::try_from(n).unwrap_or(most).min(most);
        let arm = if is_new(lane) { Arm::New } else { Arm::Old };
        let want = self.moves.turns(self.cx.now, pool, arm, count(waiting));
        (want > 0).then_some(Demand {
            pool: lane,
            want,
            urgent: count(urgent).min(want),
            lowest: first.time,
            step: self.ledger.cfg().start_charge.0 / u64::from(first.weight.max(1)),
            system: self.slots.system(pool),
        })
    }

    /// Sends an owner this router's present state. The demand is updated first, so that a slot that
    /// was given back is not granted again because of an older figure.
    fn send_ask(&mut self, owner: RouterId) {
        for pool in self.slots.holder.asked_of(owner) {
            if let Some(demand) = self.demand(pool) {
                self.slots.holder.set_demand(owner, demand);
            }
        }
        let ask = self.slots.holder.ask(self.cx.now, owner);
        self.send_slots(owner, SlotsPart::Ask(ask), Urgency::Now);
    }

    fn send_slots(&mut self, to: RouterId, part: SlotsPart, urgency: Urgency) {
        if to == self.cx.me {
            self.slots.local_messages.push_back(part);
        } else {
            self.cx.send(to, Part::Slots(part), urgency);
        }
    }
}
