//! Reports of usage and scaling orders: the figures that routers send the holder of the duties, and
//! what the holder has to send to the platform.

use std::collections::{BTreeMap, BTreeSet};

use crate::autoscale::{Autoscale, Figures, Present, ScaleStatus};
use crate::duty::{DutyOrder, DutyResult};
use crate::node::Node;
use crate::prelude::*;
use crate::queue::Queues;
use crate::target::Condition;
use crate::usage::message::{PoolRow, UsagePart};
use crate::usage::{Config, Usage};

/// The age of figures of a router that was never heard of: too old to change anything downwards.
const UNHEARD_AGE: Duration = Duration::from_secs(60);

/// The counts of this router, and those of the fleet if it receives them.
#[derive(Debug)]
pub(super) struct Reporting {
    usage: Usage,
    /// The routers that receive the figures, which may include this one.
    receivers: Vec<RouterId>,
    /// The requests of this router for pools since its last figures.
    pools: BTreeMap<PoolId, PoolRow>,
    /// The orders of targets; `None` in a deployment without them.
    autoscale: Option<Autoscale>,
}

impl Reporting {
    pub(super) fn new(now: Time, cfg: Config) -> Self {
        Self {
            autoscale: cfg.scaling.then(Autoscale::default),
            usage: Usage::new(now, cfg),
            receivers: Vec::new(),
            pools: BTreeMap::new(),
        }
    }
}

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
        let reports = reports.map(|report| DutyOrder::Usage {
            window: report.window,
            counts: report.counts,
        });
        let mut orders: Vec<DutyOrder> = reports.collect();
        let scaling = reporting.autoscale.as_mut();
        for order in scaling.map_or(Vec::new(), |scaling| scaling.due(self.cx.now)) {
            let pool = self.catalogue.pool(order.pool);
            let subject = format!(
                "{} in {}: {} targets ordered; {}",
                pool.map_or("a former pool", |pool| pool.name.as_str()),
                order.data_centre,
                order.desired,
                order.basis
            );
            self.cx.count(Counter::ScaleOrdered);
            self.cx.notice(NoticeKind::Scale, subject);
            orders.push(DutyOrder::Scale {
                pool: order.pool,
                data_centre: order.data_centre,
                desired: order.desired,
            });
        }
        orders
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
            DutyOrder::Scale {
                pool, data_centre, ..
            } => {
                if let Some(scaling) = &mut reporting.autoscale {
                    scaling.on_result(self.cx.now, *pool, data_centre, result);
                }
            }
        }
    }

    /// Closes usage windows and returns the value that the record [`RECORD_KEY`](crate::usage::RECORD_KEY) is
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

    /// Applies the record [`RECORD_KEY`](crate::usage::RECORD_KEY), which was read, or whose append
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
        let Some(mut figures) = reporting.usage.rows_due(now) else {
            return;
        };
        let mut pools = core::mem::take(&mut reporting.pools);
        figures.pools = match reporting.autoscale {
            Some(_) => {
                let scaled = self.catalogue.pools().filter(|it| it.1.autoscale.is_some());
                let rows = scaled.map(|(pool, _)| PoolRow {
                    pool,
                    running: self.running.at(pool),
                    waiting: waiting(&self.queues, pool),
                    ..pools.remove(&pool).unwrap_or_default()
                });
                rows.filter(|row| !row.is_idle()).collect()
            }
            None => Vec::new(),
        };
        let me = self.cx.me;
        if reporting.receivers.contains(&me) {
            let routers = self.members.live(now).count();
            reporting.usage.follow_clocks(now, routers);
            self.update_scaling(&figures.pools);
        }
        let Some(reporting) = &self.reporting else {
            return;
        };
        for &to in reporting.receivers.iter().filter(|&&to| to != me) {
            let part = Part::Usage(UsagePart::Figures(figures.clone()));
            self.cx.send(to, part, Urgency::Now);
        }
    }

    /// Passes the fleet's figures of each scaled pool to its scaling. `own` are those of this router.
    fn update_scaling(&mut self, own: &[PoolRow]) {
        let now = self.cx.now;
        let scaled = self.catalogue.pools();
        let scaled = scaled.filter_map(|(id, pool)| Some((id, pool.autoscale?)));
        let mut due = Vec::new();
        for (pool, limits) in scaled {
            due.push((pool, limits, self.pool_figures(pool, own)));
        }
        let reporting = self.reporting.as_mut();
        let Some(scaling) = reporting.and_then(|it| it.autoscale.as_mut()) else {
            return;
        };
        scaling.retain(|pool| due.iter().any(|&(scaled, ..)| scaled == pool));
        for (pool, limits, figures) in due {
            scaling.on_load(now, pool, limits, figures);
        }
    }

    /// Returns the figures of a pool over the fleet.
    fn pool_figures(&self, pool: PoolId, own: &[PoolRow]) -> Figures {
        let now = self.cx.now;
        let mut figures = Figures {
            data_centres: self.present_targets(pool),
            ..Figures::default()
        };
        let Some(reporting) = &self.reporting else {
            return figures;
        };
        let mut unheard: BTreeSet<RouterId> = self.members.live(now).collect();
        unheard.remove(&self.cx.me);
        let peers = reporting.usage.pool_rows(now);
        let mut rows: Vec<&PoolRow> = own.iter().collect();
        for (router, age, of_router) in peers {
            unheard.remove(&router);
            figures.age = figures.age.max(age);
            rows.extend(of_router);
        }
        if !unheard.is_empty() {
            figures.age = UNHEARD_AGE;
        }
        for row in rows.into_iter().filter(|row| row.pool == pool) {
            figures.running = figures.running.saturating_add(row.running);
            figures.waiting = figures.waiting.saturating_add(row.waiting);
            figures.begun = figures.begun.saturating_add(row.begun);
            figures.late = figures.late.saturating_add(row.late);
            figures.refused = figures.refused.saturating_add(row.refused);
        }
        figures
    }

    /// Returns the targets of a pool in each data centre.
    fn present_targets(&self, pool: PoolId) -> Vec<Present> {
        let now = self.cx.now;
        let mut places: BTreeMap<&str, Present> = BTreeMap::new();
        for view in self.catalogue.targets_of(pool) {
            let place = places.entry(view.entry.data_centre.as_str()).or_default();
            match self.targets.condition(now, &view) {
                Condition::Leaving => continue,
                Condition::Out => {}
                Condition::Held => place.crashed += 1,
                Condition::Warm | Condition::Warming(_) => {
                    if !self.cold_targets.is_cold(now, view.id) {
                        place.serving += 1;
                        place.slots += view.entry.slots;
                    }
                }
            }
            place.listed += 1;
        }
        let named = places.into_iter().map(|(name, present)| Present {
            name: name.to_owned(),
            ..present
        });
        named.collect()
    }

    /// Returns the desired and present numbers of targets of each pool that is scaled, if this router
    /// receives the fleet's figures.
    pub fn scale_status(&self) -> Vec<ScaleStatus> {
        let scaling = self.reporting.as_ref();
        let Some(scaling) = scaling.and_then(|it| it.autoscale.as_ref()) else {
            return Vec::new();
        };
        let name = |pool| Some(self.catalogue.pool(pool)?.name.as_str());
        scaling.status(self.cx.now, name).collect()
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

/// Returns the requests that wait for a pool at this router.
fn waiting(queues: &Queues, pool: PoolId) -> u32 {
    let waiting: usize = queues.backlogged(pool).map(|(_, lane)| lane.len()).sum();
    u32::try_from(waiting).unwrap_or(u32::MAX)
}
