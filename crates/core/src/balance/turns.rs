//! The order between organisations where each router chooses targets itself.
//!
//! # Invariant
//!
//! Free capacity at targets goes first to organisations that received less service recently, as
//! long as they have waiting requests and the routers of these requests dispatch them. An
//! organisation may use the capacity that the claims of such organisations leave, multiplied by its
//! own part of the requests that wait with about as much recent service. So no capacity is held
//! back for requests that cannot use it, and an organisation with requests at one router gets as
//! much as one with requests at many.
//!
//! # How it works
//!
//! Routers report their claims together with their loads ([`ClaimRow`]). At each report a router
//! computes for each organisation with waiting requests what the organisation may use until the
//! next report, in requests of the mean size of its own. A target takes as many of these as it has
//! free slots or as it can read soon, whichever are fewer. A fraction of a request is carried over
//! until it adds up to a complete one. Turns divide the room of a moment, so that routers do not all
//! use the same room; what an organisation receives over time is held to its share by
//! [`shares`](super::shares). A claim is bounded by what its router dispatched since the
//! report before, so that a slow router does not hold up the others.

use std::collections::BTreeMap;

use crate::balance::Balance;
use crate::balance::fleet_view::FleetView;
use crate::balance::message::ClaimRow;
use crate::balance::score::CandidateLoad;
use crate::output::Turn;
use crate::prelude::*;

/// Quotas are counted in fractions of a request, this many to one request.
const FRACTIONS: u64 = 1_000;

/// A number of requests and the tokens of their prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Workload {
    /// The number of requests.
    pub requests: u64,
    /// The prompt tokens of all these requests.
    pub tokens: u64,
}

impl core::ops::AddAssign for Workload {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

impl Workload {
    /// Returns the mean prompt tokens of a request.
    pub const fn tokens_each(self) -> u64 {
        match self.requests {
            0 => 0,
            requests => self.tokens / requests,
        }
    }
}

/// What an organisation may use of a pool until the next report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Quota {
    /// Whether the quota was computed since the last report.
    is_current: bool,
    /// Whether the organisation may send without limit, because every other organisation that waits
    /// at a peer received clearly more service.
    pub is_unlimited: bool,
    /// What remains of the quota, in fractions of a request.
    fractions: u64,
    /// The least recent service of any other organisation that waits at a peer.
    pub lowest: Option<u64>,
    /// What this report added to the quota, in fractions of a request.
    pub granted: u64,
    /// How many requests of the mean size of the organisation's own the targets took.
    pub capacity: u64,
    /// The requests claimed for organisations that received clearly less service.
    pub lower: u64,
    /// The requests claimed for organisations that received about as much service.
    pub near: u64,
}

/// The quotas of all organisations with requests that wait at this router.
#[derive(Debug, Default)]
pub(super) struct Turns(BTreeMap<(PoolId, OrganisationId), Quota>);

/// Permission to dispatch a request, with the reason for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Why the request may be dispatched.
    pub turn: Turn,
    /// The least recent service of any other organisation that waits at a peer.
    pub lowest: Option<u64>,
}

impl Balance {
    /// Marks all quotas as outdated, so that they are computed again. Removes quotas that were
    /// already outdated.
    pub fn invalidate_turns(&mut self) {
        self.turns.0.retain(|_, quota| quota.is_current);
        for quota in self.turns.0.values_mut() {
            quota.is_current = false;
        }
    }

    /// Returns whether the quota of an organisation was computed since the last report.
    pub fn has_turn(&self, pool: PoolId, organisation: OrganisationId) -> bool {
        let quota = self.turns.0.get(&(pool, organisation));
        quota.is_some_and(|quota| quota.is_current)
    }

    /// Computes and returns what an organisation may use of a pool until the next report. `level` is
    /// its recent service, `own` its requests that wait at this router, and `capacity` how many of
    /// these the targets take.
    pub fn compute_turn(
        &mut self,
        now: Time,
        (pool, organisation): (PoolId, OrganisationId),
        level: u64,
        own: Workload,
        capacity: u64,
    ) -> Quota {
        let key = (pool, organisation);
        let previous = self.turns.0.get(&key).copied().unwrap_or_default();
        let lead = self.cfg.lead.0;
        let each = own.tokens_each().max(1);
        let (mut lower, mut near, mut elsewhere, mut lowest) = (0, 0, 0, None);
        let claim_ttl = self.cfg.claim_ttl;
        let waiting = |row: &&ClaimRow| row.pool == pool && row.requests > 0;
        for row in self.claims(now, claim_ttl).filter(waiting) {
            // A request that is larger than the organisation's own counts as several.
            let claimed = u64::from(row.requests).max(u64::from(row.tokens) / each);
            if row.organisation == organisation {
                elsewhere += claimed;
                continue;
            }
            lowest = Some(lowest.map_or(row.level, |lowest: u64| lowest.min(row.level)));
            if row.level.saturating_add(lead) < level {
                lower += claimed;
            } else if row.level <= level.saturating_add(lead) {
                near += claimed;
            }
        }
        let mut quota = Quota {
            is_current: true,
            is_unlimited: lower + near == 0,
            lowest,
            capacity,
            lower,
            near,
            ..Quota::default()
        };
        if !quota.is_unlimited {
            quota.granted = share(capacity, lower, near + elsewhere, own.requests);
            quota.fractions = previous.fractions.min(FRACTIONS) + quota.granted;
        }
        self.turns.0.insert(key, quota);
        quota
    }

    /// Returns the permission to dispatch a request of an organisation now, if its quota allows
    /// one.
    pub fn turn(&self, pool: PoolId, organisation: OrganisationId) -> Option<Permit> {
        let quota = self.turns.0.get(&(pool, organisation))?;
        let turn = match quota.is_unlimited {
            true => Turn::Due,
            false => Turn::Share,
        };
        let is_permitted = quota.is_unlimited || quota.fractions >= FRACTIONS;
        is_permitted.then_some(Permit {
            turn,
            lowest: quota.lowest,
        })
    }

    /// Deducts a request that is dispatched from its organisation's quota.
    pub fn spend_turn(&mut self, pool: PoolId, organisation: OrganisationId) {
        if let Some(quota) = self.turns.0.get_mut(&(pool, organisation)) {
            quota.fractions = quota.fractions.saturating_sub(FRACTIONS);
        }
    }

    /// Returns how many requests with prompts of `tokens` the targets take: as many as they have
    /// free slots, and as many as they can read soon. `is_light` says whether the requests generate
    /// much and read little.
    pub fn free_capacity(&self, candidates: &[CandidateLoad], tokens: u64, is_light: bool) -> u64 {
        let capacity = |loaded: &CandidateLoad| {
            let slots = loaded.candidate.slots_for(is_light);
            if slots < loaded.candidate.slots && loaded.load.unread > 0 {
                return 0;
            }
            let slots = slots.saturating_sub(loaded.load.requests);
            let left = self.unread_max(loaded).saturating_sub(loaded.load.unread);
            let soon = match (tokens, loaded.load.unread) {
                (0, _) => u64::MAX,
                // An idle target takes a request of any size.
                (tokens, 0) => (left / tokens).max(1),
                (tokens, _) => left / tokens,
            };
            let permits = loaded.permits.map_or(u64::MAX, |permits| permits.of_fleet);
            soon.min(u64::from(slots)).min(permits)
        };
        candidates.iter().map(capacity).sum()
    }

    /// Returns the age of the oldest report whose claims count; `None` if none do.
    pub fn claims_age(&self, now: Time) -> Option<Duration> {
        let claim_ttl = self.cfg.claim_ttl;
        let is_fresh = |fleet: &&FleetView| now.since(fleet.received_at) < claim_ttl;
        if let Some(fleet) = self.fleet.as_ref().filter(is_fresh) {
            return Some(now.since(fleet.received_at));
        }
        let ages = self.peers.values().map(|peer| now.since(peer.received_at));
        ages.filter(|&age| age < claim_ttl).max()
    }

    /// Returns the claims in peers' reports that are younger than `ttl`.
    pub(super) fn claims(&self, now: Time, ttl: Duration) -> impl Iterator<Item = &ClaimRow> {
        let is_fresh = |fleet: &&FleetView| now.since(fleet.received_at) < ttl;
        let fleet = self.fleet.as_ref().filter(is_fresh);
        let direct = fleet.is_none().then(|| self.fresh_claims(now, ttl, None));
        let relayed = fleet.into_iter().flat_map(|fleet| &fleet.claims);
        relayed.chain(direct.into_iter().flatten())
    }
}

/// Returns the part that `own` requests get of the capacity that the claims of organisations with
/// less service leave, in fractions of a request. `near` requests wait with about as much service.
fn share(capacity: u64, lower: u64, near: u64, own: u64) -> u64 {
    let own = own.max(1);
    let left = capacity.saturating_sub(lower).saturating_mul(FRACTIONS);
    left.saturating_mul(own) / (own + near)
}
