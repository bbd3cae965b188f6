//! The duties of one router; see [`duty`](crate::duty).

use core::cmp::Reverse;
use std::collections::BTreeSet;

use crate::duty::{Duties, DutyEvent, DutyOrder, DutyPart, DutyResult, Standing};
use crate::membership::message::Condition;
use crate::membership::ranking;
use crate::node::Node;
use crate::prelude::*;
use crate::usage::RECORD_KEY;

/// How many routers follow the lease, so that one claims it if its holder is gone. With three, the loss
/// of two at once leaves one that has read the topic.
const CANDIDATES: usize = 3;
/// The rendezvous key that orders routers of the same capacity as candidates.
const CANDIDATE_KEY: u64 = 1 << 44;
/// The interval at which the candidates are determined again.
const PLAN_PERIOD: Duration = Duration::from_millis(250);
/// How long a holder must have been weaker than all candidates before it leaves the lease to them. A
/// restart of the stronger ones is shorter, and each change of the holder costs a term.
const WEAK_MAX: Duration = Duration::from_secs(60);

/// The duties of a router whose deployment has some.
#[derive(Debug)]
pub(super) struct DutyState {
    duties: Duties,
    next_plan: Time,
    candidates: Vec<RouterId>,
    /// Since when all candidates have been stronger than this router.
    weak_since: Option<Time>,
    /// The era of which usage was told.
    era: u64,
    /// The routers of which usage was told that they need the figures of the others.
    receivers: Vec<RouterId>,
}

impl DutyState {
    pub(super) const fn new(duties: Duties) -> Self {
        Self {
            duties,
            next_plan: Time(0),
            candidates: Vec::new(),
            weak_since: None,
            era: 0,
            receivers: Vec::new(),
        }
    }
}

impl Node {
    /// Returns the state of the duties, if the deployment has any.
    pub fn duties(&self) -> Option<&Duties> {
        self.duty.as_ref().map(|duty| &duty.duties)
    }

    pub(super) fn on_duty(&mut self, event: DutyEvent) {
        let Some(duty) = &mut self.duty else {
            return;
        };
        let records = duty.duties.on_event(&mut self.cx, event);
        self.tell_usage_of_era();
        for (key, value) in records {
            if key == RECORD_KEY {
                self.on_usage_record(&value);
            }
        }
    }

    /// Records an era of the store that this router or a peer has learnt.
    pub(super) fn on_duty_era(&mut self, era: u64) {
        if let Some(duty) = &mut self.duty {
            duty.duties.on_era(&mut self.cx, era);
            self.tell_usage_of_era();
        }
    }

    pub(super) fn on_duty_answer(&mut self, call: u64, result: DutyResult) {
        let Some(duty) = &mut self.duty else {
            return;
        };
        if let Some((order, result)) = duty.duties.on_answer(&mut self.cx, call, result) {
            self.on_order_result(&order, result);
        }
    }

    pub(super) fn on_duty_part(&mut self, part: DutyPart) {
        if let Some(duty) = &mut self.duty {
            duty.duties.on_part(self.cx.now, part);
        }
    }

    /// Tells all partners who holds the lease.
    pub(super) fn send_duty_parts(&mut self) {
        let now = self.cx.now;
        let Some(part) = self.duties().and_then(|duties| duties.part(now)) else {
            return;
        };
        let partners: Vec<RouterId> = self.members.partners().collect();
        for to in partners {
            self.cx.send(to, Part::Duty(part), Urgency::Periodic);
        }
    }

    /// Claims, renews and makes calls, as far as due.
    pub(super) fn advance_duties(&mut self) {
        let standing = self.duty_standing();
        let Some(duty) = &mut self.duty else {
            return;
        };
        let ended = duty.duties.advance(&mut self.cx, standing);
        for order in ended {
            self.on_order_result(&order, DutyResult::Unknown);
        }
        self.tell_usage_of_receivers();
        self.send_due_orders();
    }

    fn send_due_orders(&mut self) {
        let now = self.cx.now;
        if self.duties().and_then(|duties| duties.held(now)).is_none() {
            return;
        }
        let can_write = self.duties().is_some_and(|duties| duties.can_write(now));
        let value = match can_write {
            true => self.due_usage_record(),
            false => None,
        };
        let orders: Vec<DutyOrder> = self.due_orders();
        let Some(duty) = &mut self.duty else {
            return;
        };
        if let Some(value) = value {
            duty.duties.write(&mut self.cx, RECORD_KEY, value);
        }
        for order in orders {
            duty.duties.send(order);
        }
        duty.duties.start_calls(&mut self.cx);
    }

    fn tell_usage_of_era(&mut self) {
        let Some(duty) = &mut self.duty else {
            return;
        };
        let era = duty.duties.era();
        if core::mem::replace(&mut duty.era, era) != era {
            self.on_usage_era();
        }
    }

    /// Tells usage who needs the figures of this router: the holder, and the candidate that would
    /// follow it.
    fn tell_usage_of_receivers(&mut self) {
        let Some(duty) = &mut self.duty else {
            return;
        };
        let holder = duty.duties.holder(self.cx.now);
        let mut others = duty.candidates.iter().copied();
        let next = others.find(|&candidate| Some(candidate) != holder);
        let receivers: Vec<RouterId> = holder.into_iter().chain(next).collect();
        if receivers != duty.receivers {
            duty.receivers.clone_from(&receivers);
            self.set_usage_receivers(&receivers);
        }
    }

    /// Returns what this router may do about the lease.
    fn duty_standing(&mut self) -> Standing {
        let now = self.cx.now;
        let Some(duty) = &self.duty else {
            return Standing::Yields;
        };
        if now >= duty.next_plan {
            let candidates = self.duty_candidates();
            let is_weak = self.is_weaker_than_all(&candidates);
            if let Some(duty) = &mut self.duty {
                duty.next_plan = now + PLAN_PERIOD;
                duty.candidates = candidates;
                duty.weak_since = is_weak.then_some(duty.weak_since.unwrap_or(now));
            }
        }
        let me = self.cx.me;
        let Some(duty) = &self.duty else {
            return Standing::Yields;
        };
        let is_weak = duty
            .weak_since
            .is_some_and(|since| now.since(since) >= WEAK_MAX);
        if self.stopping.is_some() || is_weak {
            return Standing::Yields;
        }
        // A holder that is gone may still count as live.
        let holder = duty.duties.holder(now).filter(|&holder| holder != me);
        let mut others = duty.candidates.iter().filter(|&&it| Some(it) != holder);
        match others.position(|&candidate| candidate == me) {
            Some(rank) => Standing::Candidate(u32::try_from(rank).unwrap_or(u32::MAX)),
            None => Standing::Other,
        }
    }

    /// Returns the strongest live routers that are ready, the strongest first.
    fn duty_candidates(&self) -> Vec<RouterId> {
        let leaving: BTreeSet<RouterId> = self
            .members
            .peers()
            .filter(|(_, peer)| peer.leaving)
            .map(|(id, _)| id)
            .collect();
        let is_fit = |router: &RouterId| {
            let row = self.members.row(*router);
            row.is_some_and(|row| row.condition == Condition::Ready) && !leaving.contains(router)
        };
        let live = self.members.live(self.cx.now).filter(is_fit);
        let mut ranked = ranking(CANDIDATE_KEY, live);
        ranked.sort_by_key(|router| Reverse(self.router_capacity(*router)));
        ranked.truncate(CANDIDATES);
        ranked
    }

    fn is_weaker_than_all(&self, candidates: &[RouterId]) -> bool {
        let own = self.router_capacity(self.cx.me);
        let mut all = candidates.iter();
        !candidates.is_empty() && all.all(|&candidate| self.router_capacity(candidate) > own)
    }

    fn router_capacity(&self, router: RouterId) -> u32 {
        self.members.row(router).map_or(0, |row| row.capacity)
    }
}
