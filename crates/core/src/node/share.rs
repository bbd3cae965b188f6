//! Counting service as it happens, and telling the fleet.

use crate::catalogue::entry::Service;
use crate::node::Node;
use crate::prelude::*;
use crate::share::ChargeAccount;
use crate::slots::Policy;

impl Node {
    /// Charges the start of a request.
    pub(super) fn open_bill(
        &mut self,
        organisation: OrganisationId,
        prompt_tokens: u32,
    ) -> ChargeAccount {
        let token = self.ledger.cfg().prompt_token.0;
        let prompt = Cost(token.saturating_mul(u64::from(prompt_tokens)));
        let (bill, due) = ChargeAccount::open(prompt, self.ledger.cfg().start_charge);
        self.ledger.charge(organisation, due);
        bill
    }

    /// Charges what an attempt used since the last time.
    pub(super) fn charge_attempt(&mut self, attempt: AttemptId, cost: Cost) {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            let (_, organisation, _) = state.runs_as;
            let due = state.bill.add(cost);
            self.ledger.charge(organisation, due);
        }
    }

    /// Charges the time that calls of plain services have taken so far.
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

    /// Charges the time of one call, if it is of a plain service.
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

    /// Notes that an organisation begins to wait for a pool: idle time is not banked, and what it used
    /// elsewhere does not shut it out. As long as this router does not know the fleet's figures of the
    /// organisation, it takes its place among the others here and is lifted nowhere.
    pub(super) fn enter(&mut self, pool: PoolId, organisation: OrganisationId) {
        let entry = self.catalogue.organisation(organisation);
        let weight = entry.map_or(1, |entry| entry.weight);
        let system = self.slots.system(pool);
        let known = self.gives_out_work() && self.ledger.has_fleet_total(organisation);
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

    /// Places the organisations anew whose figures were not known when they began to wait.
    fn enter_provisional(&mut self) {
        for pool in self.queues.pools() {
            let lanes = self.queues.backlogged(pool);
            let provisional: Vec<OrganisationId> = lanes
                .filter(|(_, lane)| lane.provisional)
                .map(|(organisation, _)| organisation)
                .collect();
            for organisation in provisional {
                self.enter(pool, organisation);
            }
        }
    }

    /// Returns what is taken off an organisation's virtual time in a pool.
    pub(super) fn discount(&mut self, pool: PoolId, organisation: OrganisationId) -> u64 {
        let lane = self.queues.lane_mut(pool, organisation);
        lane.map_or(0, |lane| lane.discount)
    }

    /// Tells aggregators what changed, and reporters what others counted.
    pub(super) fn report_service(&mut self) {
        self.charge_elapsed();
        self.recent.sample(self.cx.now, self.ledger.totals());
        self.enter_provisional();
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
