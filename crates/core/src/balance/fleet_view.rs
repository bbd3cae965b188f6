//! What a router knows of the fleet's load from the relay to which it reports.
//!
//! The relay sends the same sums to all routers that report to it. They contain the receiver's own
//! figures as of one of its reports. The receiver keeps its last reports and subtracts that one, so
//! that its own requests do not count twice.

use std::collections::BTreeMap;

use crate::balance::Balance;
use crate::balance::message::{ClaimRow, FleetPart};
use crate::balance::state::Load;
use crate::limit::message::DemandRow;
use crate::prelude::*;

/// The most reports that are kept. A relay that has not applied any of as many reports is about to
/// be replaced.
const REPORTS_MAX: usize = 16;

/// The fleet's figures as known to a relay.
#[derive(Debug)]
pub(super) struct FleetView {
    /// The relay.
    from: RouterId,
    pub(super) received_at: Time,
    /// The number of routers that the figures cover.
    pub(super) routers: u32,
    /// The sums, including this router's own figures.
    sums: BTreeMap<TargetId, Load>,
    /// The sums without this router's own figures.
    pub(super) others: BTreeMap<TargetId, Load>,
    /// The requests that wait at other routers.
    pub(super) claims: Vec<ClaimRow>,
    /// The requests that recently arrived at all routers, including this one.
    pub(super) demand: Vec<DemandRow>,
}

/// A report of this router that a relay's sums may contain.
#[derive(Debug)]
pub(super) struct SentReport {
    number: u32,
    loads: BTreeMap<TargetId, Load>,
    claims: Vec<ClaimRow>,
}

impl Balance {
    /// Applies the fleet's figures from the relay to which this router reports. Changes without the
    /// full figures before them are dropped.
    pub fn on_fleet_part(&mut self, now: Time, from: RouterId, part: &FleetPart) {
        let figures = &part.figures;
        let known = self.fleet.as_ref().filter(|fleet| fleet.from == from);
        let mut sums = match (known, figures.is_full) {
            (_, true) => BTreeMap::new(),
            (Some(fleet), false) => fleet.sums.clone(),
            // The figures of the former relay count until the new one has sent all of its own.
            (None, false) => return,
        };
        for row in &figures.rows {
            match row.load() == Load::default() {
                true => drop(sums.remove(&row.target)),
                false => drop(sums.insert(row.target, row.load())),
            }
        }
        for row in &figures.held {
            self.prefixes.record(now, row.target, row.chain);
        }
        let sent = &mut self.relaying.sent;
        while sent.len() > 1 && sent.front().is_some_and(|it| it.number < part.included) {
            sent.pop_front();
        }
        let included = sent.front().filter(|_| part.included > 0);
        let mut others = sums.clone();
        let mut claims = figures.claims.clone();
        if let Some(report) = included {
            for (target, load) in &report.loads {
                if let Some(sum) = others.get_mut(target) {
                    sum.subtract(*load);
                }
            }
            subtract_claims(&mut claims, &report.claims);
        }
        self.fleet = Some(FleetView {
            from,
            received_at: now,
            routers: part.routers,
            sums,
            others,
            claims,
            demand: figures.demand.clone(),
        });
    }

    /// Forgets the fleet's figures, because this router reports elsewhere now or is a relay itself.
    pub fn forget_fleet(&mut self) {
        self.fleet = None;
    }

    /// Keeps the report that was just made, for as long as a relay's sums may contain it.
    pub(super) fn remember_report(&mut self) {
        let last = &self.last_report;
        let sent = &mut self.relaying.sent;
        if sent.len() == REPORTS_MAX {
            sent.pop_front();
        }
        sent.push_back(SentReport {
            number: last.number,
            loads: last.loads.clone(),
            claims: last.claims.clone(),
        });
    }
}

/// Subtracts this router's own claims from the fleet's.
fn subtract_claims(claims: &mut Vec<ClaimRow>, own: &[ClaimRow]) {
    for row in own {
        let is_same =
            |it: &&mut ClaimRow| (it.pool, it.organisation) == (row.pool, row.organisation);
        if let Some(sum) = claims.iter_mut().find(is_same) {
            sum.requests = sum.requests.saturating_sub(row.requests);
            sum.tokens = sum.tokens.saturating_sub(row.tokens);
            sum.asked = sum.asked.saturating_sub(row.asked);
            sum.sent = sum.sent.saturating_sub(row.sent);
            sum.unserved = sum.unserved.saturating_sub(row.unserved);
        }
    }
    claims.retain(|row| row.requests > 0 || row.asked > 0 || row.unserved > 0);
}
