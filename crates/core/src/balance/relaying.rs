//! A relay's part in the exchange of loads: it sums up the figures of the routers that report to it,
//! exchanges sums with the other relays, and sends the fleet's sums to its routers.

use std::collections::{BTreeMap, VecDeque};

use crate::balance::Balance;
use crate::balance::fleet_view::SentReport;
use crate::balance::message::{ClaimRow, Coverage, Figures, FleetPart, HeldRow, LoadPart};
use crate::balance::state::{Load, PeerState, RELAYED_HELD_MAX, Unreported, changed_rows};
use crate::limit::message::{DemandRow, LimitRow};
use crate::prelude::*;
use crate::speed::message::SpeedRow;

/// The state of a router that passes figures between others.
#[derive(Debug, Default)]
pub(super) struct Relaying {
    /// Whether this router's reports cover others, so that it passes on what they report.
    pub(super) is_relay: bool,
    /// This router's own waiting requests at its last report.
    pub(super) own_claims: Vec<ClaimRow>,
    /// The requests that had recently arrived at this router at its last report.
    pub(super) own_demand: Vec<DemandRow>,
    /// The last reports of this router, the oldest first.
    pub(super) sent: VecDeque<SentReport>,
    /// What is to be included in the next figures for the routers that report here.
    unsent: Unreported,
    /// The sums that were last sent to these routers.
    last_sums: BTreeMap<TargetId, Load>,
    /// When they were last sent in full.
    full_at: Time,
}

/// A router that reports to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The router.
    pub router: RouterId,
    /// The number of its last report.
    pub number: u32,
    /// Whether it has had work recently.
    pub has_work: bool,
}

impl Relaying {
    /// Includes a prefix that this router sent in the next figures for the routers that report here.
    pub(super) fn add_own_held(&mut self, row: HeldRow) {
        if self.is_relay {
            self.unsent.add_held(row);
        }
    }

    /// Includes a target that is leaving in the next figures for the routers that report here.
    pub(super) fn add_own_leaving(&mut self, target: TargetId) {
        if self.is_relay {
            self.unsent.leaving.push(target);
        }
    }

    /// Includes a change of a target's limit in the next figures for the routers that report here.
    pub(super) fn add_own_limit(&mut self, row: LimitRow) {
        if self.is_relay {
            self.unsent.limits.push(row);
        }
    }

    /// Includes the work of a target in the next figures for the routers that report here.
    pub(super) fn add_own_speed(&mut self, row: SpeedRow) {
        if self.is_relay {
            self.unsent.add_speed(row);
        }
    }

    /// Passes on the events in a report: to other relays if it is of a router, and to the routers
    /// that report here.
    pub(super) fn forward(&mut self, unreported: &mut Unreported, part: &LoadPart) {
        if !self.is_relay {
            return;
        }
        if part.coverage == Coverage::Router {
            unreported.extend(&part.figures);
        }
        self.unsent.extend(&part.figures);
    }
}

impl Balance {
    /// Returns the routers that report to this one.
    pub fn members(&self, now: Time) -> impl Iterator<Item = Member> {
        let stale_after = self.cfg.stale_after;
        let is_recent = move |at: Time| now.since(at) < stale_after;
        let members = self.peers.iter().filter(move |(_, peer)| {
            peer.coverage == Coverage::Router && is_recent(peer.received_at)
        });
        members.map(move |(&router, peer)| Member {
            router,
            number: peer.number,
            has_work: peer.last_work.is_some_and(is_recent),
        })
    }

    /// Returns whether the next figures for the routers that report here are due in full.
    pub fn is_full_sum_due(&self, now: Time) -> bool {
        now.since(self.relaying.full_at) >= self.cfg.stale_after / 4
    }

    /// Returns the fleet's figures for the routers that report here, complete or as changes since
    /// the last ones.
    pub fn fleet_sums(&mut self, now: Time, is_full: bool) -> FleetPart {
        let (mut sums, _, mut routers) = self.member_sums(now);
        for relay in self.fresh_peers(now, Coverage::Members) {
            add_loads(&mut sums, &relay.loads);
            routers += relay.routers;
        }
        let waiting = self
            .fresh_claims(now, self.cfg.claim_ttl, None)
            .chain(&self.relaying.own_claims);
        let claims = merged(waiting);
        let demand = self.demand_sum(now, None);
        let relaying = &mut self.relaying;
        let before = match is_full {
            true => &BTreeMap::new(),
            false => &relaying.last_sums,
        };
        let rows = changed_rows(before, &sums);
        relaying.last_sums = sums;
        if is_full {
            relaying.full_at = now;
        }
        let mut figures = Figures {
            is_full,
            rows,
            claims,
            demand,
            ..Figures::default()
        };
        relaying.unsent.take(RELAYED_HELD_MAX, &mut figures);
        FleetPart {
            included: 0,
            routers,
            figures,
        }
    }

    /// Returns the last figures for the routers that report here in full, for a router that gets
    /// them for the first time.
    pub fn full_sums(&self, last: &FleetPart) -> FleetPart {
        FleetPart {
            figures: Figures {
                is_full: true,
                rows: changed_rows(&BTreeMap::new(), &self.relaying.last_sums),
                ..last.figures.clone()
            },
            ..*last
        }
    }

    /// Returns the loads, the waiting requests and the number of this router and of those that
    /// report to it.
    pub(super) fn member_sums(&self, now: Time) -> (BTreeMap<TargetId, Load>, Vec<ClaimRow>, u32) {
        let mut loads = self.own_loads().clone();
        let mut routers = 1;
        for member in self.fresh_peers(now, Coverage::Router) {
            add_loads(&mut loads, &member.loads);
            routers += 1;
        }
        let waiting = self.fresh_claims(now, self.cfg.claim_ttl, Some(Coverage::Router));
        let claims = merged(waiting.chain(&self.relaying.own_claims));
        (loads, claims, routers)
    }

    /// Returns the requests that recently arrived at this router and at those that report to it.
    pub(super) fn member_demand(&self, now: Time) -> Vec<DemandRow> {
        self.demand_sum(now, Some(Coverage::Router))
    }

    /// Returns the sums by pool of the requests that recently arrived at this router and at its
    /// peers.
    fn demand_sum(&self, now: Time, coverage: Option<Coverage>) -> Vec<DemandRow> {
        let mut sums: BTreeMap<PoolId, u32> = BTreeMap::new();
        for row in self
            .fresh_demand(now, coverage)
            .chain(&self.relaying.own_demand)
        {
            let sum = sums.entry(row.pool).or_default();
            *sum = sum.saturating_add(row.requests);
        }
        let row = |(pool, requests)| DemandRow { pool, requests };
        sums.into_iter().map(row).collect()
    }

    /// Returns the requests that recently arrived at peers whose reports are fresh.
    fn fresh_demand(
        &self,
        now: Time,
        coverage: Option<Coverage>,
    ) -> impl Iterator<Item = &DemandRow> {
        let stale_after = self.cfg.stale_after;
        let fresh = self.peers.values().filter(move |peer| {
            let is_covered = coverage.is_none_or(|coverage| coverage == peer.coverage);
            is_covered && now.since(peer.received_at) < stale_after
        });
        fresh.flat_map(|peer| &peer.demand)
    }

    /// Returns how many requests recently arrived for a pool at the other routers, as far as they are
    /// heard of, and how many of them arrived at this router by its last report.
    pub fn demand(&self, now: Time, pool: PoolId) -> (u64, u64) {
        let sum = |rows: &mut dyn Iterator<Item = &DemandRow>| {
            let rows = rows.filter(|row| row.pool == pool);
            rows.map(|row| u64::from(row.requests)).sum::<u64>()
        };
        let own = sum(&mut self.relaying.own_demand.iter());
        match self.fresh_fleet(now) {
            Some(fleet) => (sum(&mut fleet.demand.iter()).saturating_sub(own), own),
            None => (sum(&mut self.fresh_demand(now, None)), own),
        }
    }

    fn fresh_peers(&self, now: Time, coverage: Coverage) -> impl Iterator<Item = &PeerState> {
        let stale_after = self.cfg.stale_after;
        self.peers.values().filter(move |peer| {
            peer.coverage == coverage && now.since(peer.received_at) < stale_after
        })
    }

    /// Returns the claims in peers' own reports that are younger than `ttl`.
    pub(super) fn fresh_claims(
        &self,
        now: Time,
        ttl: Duration,
        coverage: Option<Coverage>,
    ) -> impl Iterator<Item = &ClaimRow> {
        let fresh = self.peers.values().filter(move |peer| {
            let is_covered = coverage.is_none_or(|coverage| coverage == peer.coverage);
            is_covered && now.since(peer.received_at) < ttl
        });
        fresh.flat_map(|peer| &peer.claims)
    }
}

fn add_loads(sums: &mut BTreeMap<TargetId, Load>, loads: &BTreeMap<TargetId, Load>) {
    for (&target, &load) in loads {
        sums.entry(target).or_default().add(load);
    }
}

/// Adds up the waiting requests of each organisation. Routers know slightly different figures of an
/// organisation's recent service; the least one counts, so that nobody who received little is
/// passed over.
fn merged<'a>(rows: impl Iterator<Item = &'a ClaimRow>) -> Vec<ClaimRow> {
    let mut sums: BTreeMap<(PoolId, OrganisationId), ClaimRow> = BTreeMap::new();
    for row in rows {
        let sum = sums
            .entry((row.pool, row.organisation))
            .or_insert(ClaimRow {
                requests: 0,
                tokens: 0,
                asked: 0,
                sent: 0,
                unserved: 0,
                ..*row
            });
        sum.level = sum.level.min(row.level);
        sum.requests = sum.requests.saturating_add(row.requests);
        sum.tokens = sum.tokens.saturating_add(row.tokens);
        sum.asked = sum.asked.saturating_add(row.asked);
        sum.sent = sum.sent.saturating_add(row.sent);
        sum.unserved = sum.unserved.saturating_add(row.unserved);
    }
    sums.into_values().collect()
}
