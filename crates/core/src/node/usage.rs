//! Reports of usage and scaling orders: the figures that routers send the holder of the duties, and
//! what the holder has to send to the platform.

use std::collections::BTreeMap;

use crate::duty::{DutyOrder, DutyResult};
use crate::node::Node;
use crate::prelude::*;
use crate::usage::message::{PoolRow, UsagePart};
use crate::usage::{Config, Usage};

/// The counts of this router, and those of the fleet if it receives them.
#[derive(Debug)]
pub(super) struct Reporting {
    usage: Usage,
    /// The routers that receive the figures, which may include this one.
    receivers: Vec<RouterId>,
    /// The requests of this router for pools since its last figures.
    pools: BTreeMap<PoolId, PoolRow>,
}

impl Reporting {
    pub(super) fn new(now: Time, cfg: Config) -> Self {
        Self {
            usage: Usage::new(now, cfg),
            receivers: Vec::new(),
            pools: BTreeMap::new(),
        }
    }
}

#[expect(dead_code, reason = "called by node::duty once that part is merged")]
impl Node {
    /// Sets the routers that receive this router's figures: the holder of the duties and the next
    /// candidate. Called whenever either changes; this router may be among them.
    pub(super) fn set_usage_receivers(&mut self, receivers: &[RouterId]) {
        if let Some(reporting) = &mut self.reporting {
            reporting.receivers = receivers.to_vec();
        }
    }

    /// Returns the orders that are due now. Called only while this router holds the lease, at every
    /// tick. An order is returned once, and again after a pause unless its result is
    /// [`DutyResult::Accepted`] or [`DutyResult::Refused`]. Scaling orders are repeated as levels.
    pub(super) fn due_orders(&mut self) -> Vec<DutyOrder> {
        let Some(reporting) = &mut self.reporting else {
            return Vec::new();
        };
        let reports = reporting.usage.reports_due(&mut self.cx).into_iter();
        let orders = reports.map(|report| DutyOrder::Usage {
            window: report.window,
            counts: report.counts,
        });
        orders.collect()
    }

    /// Records the result of an order that [`due_orders`](Self::due_orders) returned.
    pub(super) fn on_order_result(&mut self, order: &DutyOrder, result: DutyResult) {
        let Some(reporting) = &mut self.reporting else {
            return;
        };
        match order {
            DutyOrder::Usage { window, .. } => {
                reporting.usage.on_result(self.cx.now, *window, result);
            }
            DutyOrder::Scale { .. } => {}
        }
    }

    /// Closes usage windows and returns the value that the record [`USAGE`](crate::duty::USAGE) is
    /// to have, if it differs from the last known one. Called only while this router holds the lease, has read the topic to its
    /// end, and no append is in progress. The value is returned until
    /// [`on_usage_record`](Self::on_usage_record) passes it back.
    pub(super) fn due_usage_record(&mut self) -> Option<Vec<u8>> {
        let now = self.cx.now;
        let me = self.cx.me;
        let reporting = self.reporting.as_mut()?;
        let live = self.members.live(now).filter(|&router| router != me);
        let live: Vec<RouterId> = live.collect();
        let catalogue = &self.catalogue;
        let name = |id| catalogue.organisation(id).map(|entry| entry.name.clone());
        reporting.usage.close_due(&mut self.cx, &live, name);
        reporting.usage.record_due(now)
    }

    /// Applies the record [`USAGE`](crate::duty::USAGE), which was read, or whose append
    /// was confirmed in the present era.
    pub(super) fn on_usage_record(&mut self, value: &[u8]) {
        if let Some(reporting) = &mut self.reporting {
            reporting.usage.on_record(&mut self.cx, value);
        }
    }

    /// Records that the store was restored from an older copy: the era was raised. Called before any
    /// record of the new era is passed on.
    pub(super) fn on_usage_era(&mut self) {
        if let Some(reporting) = &mut self.reporting {
            reporting.usage.on_era(self.cx.now);
        }
    }
}

impl Node {
    /// Records a reading of this router's wall clock.
    pub(super) fn on_wall_clock(&mut self, time: Time) {
        if let Some(reporting) = &mut self.reporting {
            reporting.usage.on_wall_clock(self.cx.now, time);
        }
    }

    /// Counts a request whose answer began, unless an earlier attempt or another router counted it.
    pub(super) fn count_begin(&mut self, request: RequestId) {
        let now = self.cx.now;
        let Some(reporting) = &mut self.reporting else {
            return;
        };
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        if core::mem::replace(&mut active.has_begun, true) {
            return;
        }
        reporting.usage.on_begin(now, active.req.organisation);
        let took = now.since(active.arrived);
        let row = reporting.pools.entry(active.req.pool).or_default();
        row.begun += 1;
        let objective = active.req.details.objective;
        row.late += u32::from(objective.is_some_and(|objective| took > objective));
    }

    /// Counts a request that is refused, if more targets could have served it.
    pub(super) fn count_refusal(&mut self, pool: PoolId, reason: Reason) {
        let Some(reporting) = &mut self.reporting else {
            return;
        };
        if matches!(
            reason,
            Reason::QueueFull | Reason::DeadlinePassed | Reason::NoTarget
        ) {
            reporting.pools.entry(pool).or_default().refused += 1;
        }
    }

    /// Sends this router's figures to their receivers, if they are due.
    pub(super) fn report_usage_if_due(&mut self) {
        let now = self.cx.now;
        let Some(reporting) = &mut self.reporting else {
            return;
        };
        if reporting.receivers.is_empty() {
            return;
        }
        let Some(figures) = reporting.usage.rows_due(now) else {
            return;
        };
        let me = self.cx.me;
        if reporting.receivers.contains(&me) {
            let routers = self.members.live(now).count();
            reporting.usage.follow_clocks(now, routers);
        }
        for &to in reporting.receivers.iter().filter(|&&to| to != me) {
            let part = Part::Usage(UsagePart::Figures(figures.clone()));
            self.cx.send(to, part, Urgency::Now);
        }
    }

    pub(super) fn on_usage_part(&mut self, from: RouterId, run: Incarnation, part: UsagePart) {
        let now = self.cx.now;
        let Some(reporting) = &mut self.reporting else {
            return;
        };
        match part {
            UsagePart::Figures(figures) => {
                let echo = figures.sent;
                if let Some(time) = reporting.usage.on_rows(now, from, run, figures) {
                    let part = Part::Usage(UsagePart::Clock { echo, time });
                    self.cx.send(from, part, Urgency::Now);
                }
            }
            UsagePart::Clock { echo, time } => reporting.usage.on_clock(now, echo, time),
        }
    }
}
