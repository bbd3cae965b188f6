//! Accounting: charges service as it is used, and reports it to the fleet.

use crate::catalogue::entry::Service;
use crate::node::Node;
use crate::prelude::*;
use crate::share::ChargeAccount;
use crate::slots::Policy;

impl Node {
    /// Charges the start of a request and returns its charge account.
    pub(super) fn open_charge_account(
        &mut self,
        organisation: OrganisationId,
        prompt_tokens: u32,
    ) -> ChargeAccount {
        let token = self.ledger.cfg().prompt_token.0;
        let prompt = Cost(token.saturating_mul(u64::from(prompt_tokens)));
        let (charge_account, due) = ChargeAccount::open(prompt, self.ledger.cfg().start_charge);
        self.ledger.charge(organisation, due);
        charge_account
    }

    /// Charges `cost`, which an attempt used in addition to what was charged before.
    pub(super) fn charge_attempt(&mut self, attempt: AttemptId, cost: Cost) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            let (_, organisation, _) = state.runs_as;
            let due = state.charge_account.add(cost);
            self.ledger.charge(organisation, due);
        }
    }

    /// Charges the time that all calls of plain services have taken since they were last charged.
    pub(super) fn charge_elapsed(&mut self) {
        let plain = self.attempts.iter().filter(|(_, state)| {
            let pool = self.catalogue.pool(state.runs_as.0);
            pool.is_some_and(|pool| pool.service == Service::Plain)
        });
        let plain: Vec<AttemptId> = plain.map(|(&attempt, _)| attempt).collect();
        for attempt in plain {
            self.charge_time(attempt);
        }
    }

    /// Charges the time that a call has taken since it was last charged, if the call is of a plain
    /// service.
    pub(super) fn charge_time(&mut self, attempt: AttemptId) {
        let now = self.cx.now;
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let pool = self.catalogue.pool(state.runs_as.0);
        if pool.is_some_and(|pool| pool.service == Service::Plain) {
            let elapsed = now.since(state.charged_until);
            state.charged_until = now;
            self.charge_attempt(attempt, Cost::elapsed(elapsed));
        }
    }

    /// Records that an organisation begins to wait for a pool: its idle time is not saved up, and
    /// what it used elsewhere does not lock it out of this pool. As long as this router does not
    /// know the fleet's figures of the organisation, the organisation gets a provisional place
    /// among the others here and is not lifted.
    pub(super) fn begin_waiting(&mut self, pool: PoolId, organisation: OrganisationId) {
        let entry = self.catalogue.organisation(organisation);
        let weight = entry.map_or(1, |entry| entry.weight);
        let system = self.slots.system(pool);
        let known = self.may_dispatch() && self.ledger.has_fleet_total(organisation);
        if known && self.ledger.is_idle(organisation) {
            self.ledger.lift(organisation, weight, system);
        }
        self.ledger.mark_active(organisation);
        let highest = system.saturating_add(self.ledger.cfg().entry_lead_max.0);
        let time = self.ledger.virtual_time(organisation, weight);
        if let Some(lane) = self.queues.lane_mut(pool, organisation) {
            lane.discount = time.saturating_sub(highest);
            lane.provisional = !known;
            lane.raise = if known {
                0
            } else {
                system.saturating_sub(time)
            };
        }
    }

    /// Recalculates the virtual times of the organisations whose figures were unknown when they
    /// began to wait.
    fn recompute_provisional(&mut self) {
        for pool in self.queues.pools() {
            let lanes = self.queues.backlogged(pool);
            let provisional: Vec<OrganisationId> = lanes
                .filter(|(_, lane)| lane.provisional)
                .map(|(organisation, _)| organisation)
                .collect();
            for organisation in provisional {
                self.begin_waiting(pool, organisation);
            }
        }
    }

    /// Returns the discount on an organisation's virtual time in a pool.
    pub(super) fn discount(&mut self, pool: PoolId, organisation: OrganisationId) -> u64 {
        let lane = self.queues.lane_mut(pool, organisation);
        lane.map_or(0, |lane| lane.discount)
    }

    /// Reports to aggregators what this router counted, and to the routers that reported what
    /// others counted.
    pub(super) fn report_service(&mut self) {
        self.charge_elapsed();
        self.recent.sample(self.cx.now, self.ledger.totals());
        self.recompute_provisional();
        for pool in self.queues.pools() {
            for (organisation, _) in self.queues.backlogged(pool) {
                self.ledger.mark_active(organisation);
            }
        }
        let local = matches!(
            self.slots.cfg.policy,
            Policy::LocalLedger | Policy::FixedSplit
        );
        self.ledger
            .on_live(self.members.live(self.cx.now).collect());
        for (to, part) in self.ledger.report() {
            if !local {
                self.cx.send(to, Part::Share(part), Urgency::Now);
            }
        }
    }
}
