//! The exchange of load reports with peers, directly or over relays; see [`relay`](crate::relay).

use std::collections::BTreeSet;

use crate::balance::message::{Coverage, FleetPart, LoadPart};
use crate::balance::{Load, Member};
use crate::node::Node;
use crate::prelude::*;
use crate::relay::Role;
use crate::slots::Policy;
use crate::speed::message::SpeedRow;

/// The range of the jitter of the report interval, in per cent of the configured interval.
const REPORT_JITTER_PERCENT: core::ops::RangeInclusive<u32> = 80..=120;

impl Node {
    /// Reports this router's load at targets and its waiting requests to peers, if a report is due.
    pub(super) fn report_load_if_due(&mut self) {
        let now = self.cx.now;
        if self.slots.cfg.policy != Policy::Local || now < self.next_load_report {
            return;
        }
        // Jitter: routers that report at the same moment would all use the same free capacity.
        let percent = rand::RngExt::random_range(&mut self.cx.rng, REPORT_JITTER_PERCENT);
        self.next_load_report = now + self.balance.cfg().report_every * percent / 100;
        self.cx.wake(self.next_load_report);
        let claims = self.own_claims();
        for row in claims.iter().filter(|row| row.requests > 0) {
            let funnel = self.funnels.of(row.pool, row.organisation);
            funnel.claimed += u64::from(row.requests);
        }
        self.balance.set_demand(self.own_demand());
        self.dispatched_since_report.clear();
        let has_members = self.balance.members(now).next().is_some();
        let (me, own) = (self.cx.me, &self.cfg.data_centre);
        let role = self.relays.role(now, &self.members, (me, own), has_members);
        self.choose_sources(&role);
        let (coverage, readers) = match &role {
            Role::Direct => (Coverage::Router, self.members.partners().collect()),
            Role::Member(relay) => (Coverage::Router, relay.iter().copied().collect()),
            Role::Relay(others) => (Coverage::Members, others.clone()),
        };
        if !matches!(role, Role::Member(_)) {
            self.balance.forget_fleet();
        }
        let part = self.balance.report(now, claims, coverage);
        self.update_limits();
        self.update_pace();
        self.send_reports(part, readers, &role);
        if matches!(role, Role::Relay(_)) {
            self.send_fleet_sums();
        }
    }

    /// Sends a report to its readers. Those that did not get the last one get a full report, and
    /// those that are no longer readers are told so.
    fn send_reports(&mut self, part: Option<LoadPart>, readers: BTreeSet<RouterId>, role: &Role) {
        for &to in &readers {
            let part = match self.load_readers.contains(&to) {
                true => part.clone(),
                false => Some(self.full_report()),
            };
            if let Some(part) = part {
                self.cx.send(to, Part::Load(part), Urgency::Now);
            }
        }
        if *role != Role::Direct {
            for &to in self.load_readers.difference(&readers) {
                let nothing = Part::Load(LoadPart::default());
                self.cx.send(to, nothing, Urgency::Now);
            }
        }
        self.load_readers = readers;
    }

    /// Sends the fleet's sums to the routers that report here: all changes to those that have work,
    /// and the full sums to the others from time to time.
    fn send_fleet_sums(&mut self) {
        let now = self.cx.now;
        let members: Vec<Member> = self.balance.members(now).collect();
        let is_full = self.balance.is_full_sum_due(now);
        let sums = self.balance.fleet_sums(now, is_full);
        // What targets stated is sent once, so it goes to all.
        let is_for_all = is_full || sums.figures.has_statements();
        let mut readers = BTreeSet::new();
        for member in members {
            if !is_for_all && !member.has_work {
                continue;
            }
            let is_next = is_full || self.sums_readers.contains(&member.router);
            let sums = match is_next {
                true => sums.clone(),
                false => self.full_sums(&sums),
            };
            let part = FleetPart {
                included: member.number,
                ..sums
            };
            self.cx.send(member.router, Part::Fleet(part), Urgency::Now);
            readers.insert(member.router);
        }
        self.sums_readers = readers;
    }

    /// Returns this router's figures in full, for a router that did not get the last report.
    fn full_report(&self) -> LoadPart {
        let mut part = self.balance.full_report();
        part.figures.limits = self.limits.rows().collect();
        part
    }

    /// Returns the fleet's figures in full, for a router that did not get the last ones.
    fn full_sums(&self, last: &FleetPart) -> FleetPart {
        let mut part = self.balance.full_sums(last);
        part.figures.limits = self.limits.rows().collect();
        part
    }

    /// Returns the load at a target as known to this router.
    pub fn load_at(&self, target: TargetId) -> Load {
        self.balance.load(self.cx.now, target)
    }

    /// Applies a peer's load report.
    pub(super) fn on_load_part(&mut self, from: RouterId, part: &LoadPart) {
        self.avoid_leaving(&part.figures.leaving);
        self.balance.on_part(self.cx.now, from, part);
        self.on_peer_limits(&part.figures.limits);
        self.on_peer_speeds(&part.figures.speeds);
    }

    /// Applies the fleet's sums, if they are from the relay to which this router reports.
    pub(super) fn on_fleet_part(&mut self, from: RouterId, part: &FleetPart) {
        let now = self.cx.now;
        if self.relays.on_figures(now, from) {
            self.avoid_leaving(&part.figures.leaving);
            self.balance.on_fleet_part(now, from, part);
            self.on_peer_limits(&part.figures.limits);
            self.on_peer_speeds(&part.figures.speeds);
        }
    }

    fn on_peer_speeds(&mut self, rows: &[SpeedRow]) {
        for &row in rows {
            self.speeds.on_peer_row(self.cx.now, row);
        }
    }

    fn avoid_leaving(&mut self, targets: &[TargetId]) {
        for &target in targets {
            self.targets.on_leaving_hint(self.cx.now, target);
        }
    }
}
