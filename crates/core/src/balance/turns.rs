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
//! next report, in slots and in prompt tokens. The two are counted apart, because either may be
//! short: a request takes one slot whatever its size, and a large prompt takes as much reading as
//! many small ones. A request is charged one slot and the tokens that its target has to read. It is
//! sent while at least a slot and the mean size of the organisation's requests are left; one that
//! is larger leaves a debt to the next quota. What remains is carried over up to one request.
//!
//! Claims are counted against all tokens that targets can read soon, and those of requests that are
//! not small beside the organisation's own also against the part of these that its own can use,
//! because a large prompt fits few targets. A claim is bounded by what its router sent since the
//! report before, so that a slow router does not hold up the others. See
//! `docs/design/0031-balance.md`.

use std::collections::BTreeMap;

use crate::balance::Balance;
use crate::balance::fleet_view::FleetView;
use crate::balance::message::ClaimRow;
use crate::balance::score::CandidateLoad;
use crate::output::Turn;
use crate::prelude::*;

/// Quotas of slots are counted in fractions of a request, this many to one request.
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

/// What the targets of a pool take now, for requests of a given size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// The free slots.
    pub slots: u64,
    /// The prompt tokens that can be read soon, at all targets with a free slot.
    pub tokens: u64,
    /// The part of these that requests of the given size can use, each at one target.
    pub usable_tokens: u64,
}

/// What an organisation may use of a pool until the next report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Quota {
    /// Whether the quota was computed since the last report.
    is_current: bool,
    /// Whether the organisation may send without limit, because every other organisation that waits
    /// at a peer received clearly more service.
    pub is_unlimited: bool,
    /// What remains of the quota of slots, in fractions of a request.
    fractions: u64,
    /// What remains of the quota of prompt tokens. A request may overdraw it.
    tokens: i64,
    /// The least remainder with which a request may be sent: the mean size of the organisation's
    /// own requests.
    each: u64,
    /// The least recent service of any other organisation that waits at a peer.
    pub lowest: Option<u64>,
    /// The quota of slots that was last added, in fractions of a request.
    pub granted: u64,
    /// The quota of prompt tokens that was last added.
    pub granted_tokens: u64,
    /// What the targets took.
    pub free: FreeCapacity,
    /// The own requests that were to be sent.
    pub own: Workload,
    /// The claims of organisations that received clearly less service.
    pub lower: Workload,
    /// The claims of organisations that received about as much service.
    pub near: Workload,
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
    /// its recent service, `own` its requests that wait at this router, and `free` what the targets
    /// take of requests of their mean size.
    pub fn compute_turn(
        &mut self,
        now: Time,
        (pool, organisation): (PoolId, OrganisationId),
        level: u64,
        own: Workload,
        free: FreeCapacity,
    ) -> Quota {
        let key = (pool, organisation);
        let previous = self.turns.0.get(&key).copied().unwrap_or_default();
        let lead = self.cfg.lead.0;
        let each = own.tokens_each().max(1);
        let (mut lower, mut near) = (Workload::default(), Workload::default());
        let (mut elsewhere, mut lowest) = (Workload::default(), None);
        // The tokens of claims whose requests need as much room at one target as the own ones.
        let mut lower_alike = 0;
        for row in self.claims(now, pool) {
            let claimed = Workload {
                requests: row.requests.into(),
                tokens: row.tokens.into(),
            };
            if row.organisation == organisation {
                elsewhere += claimed;
                continue;
            }
            lowest = Some(lowest.map_or(row.level, |lowest: u64| lowest.min(row.level)));
            if row.level.saturating_add(lead) < level {
                lower += claimed;
                if claimed.tokens_each().saturating_mul(2) >= each {
                    lower_alike += claimed.tokens;
                }
            } else if row.level <= level.saturating_add(lead) {
                near += claimed;
            }
        }
        let mut quota = Quota {
            is_current: true,
            is_unlimited: lower.requests + near.requests == 0,
            lowest,
            each: own.tokens_each(),
            free,
            own,
            lower,
            near,
            ..Quota::default()
        };
        if !quota.is_unlimited {
            near += elsewhere;
            let slots = free.slots.saturating_sub(lower.requests);
            let usable = free.usable_tokens.saturating_sub(lower_alike);
            let tokens = usable.min(free.tokens.saturating_sub(lower.tokens));
            quota.granted = share(slots.saturating_mul(FRACTIONS), near.requests, own.requests);
            quota.granted_tokens = share(tokens, near.tokens, own.tokens);
            quota.fractions = previous.fractions.min(FRACTIONS) + quota.granted;
            let granted = i64::try_from(quota.granted_tokens).unwrap_or(i64::MAX);
            let kept = previous.tokens.min(i64::try_from(each).unwrap_or(i64::MAX));
            quota.tokens = kept.saturating_add(granted);
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
        let is_left = quota.fractions >= FRACTIONS
            && i64::try_from(quota.each).is_ok_and(|each| quota.tokens >= each);
        let is_permitted = quota.is_unlimited || is_left;
        is_permitted.then_some(Permit {
            turn,
            lowest: quota.lowest,
        })
    }

    /// Deducts a request that is dispatched, and the prompt tokens that its target reads, from its
    /// organisation's quota.
    pub fn spend_turn(&mut self, pool: PoolId, organisation: OrganisationId, tokens: u32) {
        if let Some(quota) = self.turns.0.get_mut(&(pool, organisation))
            && !quota.is_unlimited
        {
            quota.fractions = quota.fractions.saturating_sub(FRACTIONS);
            quota.tokens = quota.tokens.saturating_sub(tokens.into());
        }
    }

    /// Returns what the targets take now. `tokens` is the size of the prompts, and `is_light` says
    /// whether the requests generate much and read little.
    pub fn free_capacity(
        &self,
        candidates: &[CandidateLoad],
        tokens: u64,
        is_light: bool,
    ) -> FreeCapacity {
        let mut free = FreeCapacity::default();
        for loaded in candidates {
            let offered = loaded.candidate.slots_for(is_light);
            if offered < loaded.candidate.slots && loaded.load.unread > 0 {
                continue;
            }
            let permits = loaded.permits.map_or(u64::MAX, |permits| permits.of_fleet);
            let slots = u64::from(offered.saturating_sub(loaded.load.requests)).min(permits);
            if slots == 0 {
                continue;
            }
            free.slots += slots;
            if tokens == 0 {
                (free.tokens, free.usable_tokens) = (u64::MAX, u64::MAX);
                continue;
            }
            let left = self.unread_max(loaded).saturating_sub(loaded.load.unread);
            // An idle target takes a request of any size.
            let (left, fitting) = match loaded.load.unread {
                0 => (left.max(tokens), (left / tokens).max(1)),
                _ => (left, left / tokens),
            };
            let left = match loaded.permits {
                Some(_) => left.min(permits.saturating_mul(tokens)),
                None => left,
            };
            let usable = fitting.min(slots).saturating_mul(tokens);
            free.tokens = free.tokens.saturating_add(left);
            free.usable_tokens = free.usable_tokens.saturating_add(usable);
        }
        free
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

    /// Returns the claims for a pool in peers' reports that are no older than
    /// [`Config::claim_ttl`].
    ///
    /// [`Config::claim_ttl`]: crate::balance::Config::claim_ttl
    fn claims(&self, now: Time, pool: PoolId) -> impl Iterator<Item = &ClaimRow> {
        let claim_ttl = self.cfg.claim_ttl;
        let is_fresh = |fleet: &&FleetView| now.since(fleet.received_at) < claim_ttl;
        let fleet = self.fleet.as_ref().filter(is_fresh);
        let direct = fleet.is_none().then(|| self.fresh_claims(now, None));
        let relayed = fleet.into_iter().flat_map(|fleet| &fleet.claims);
        let all = relayed.chain(direct.into_iter().flatten());
        all.filter(move |row| row.pool == pool)
    }
}

/// Returns the part of `left` that `own` work gets beside `near` work.
fn share(left: u64, near: u64, own: u64) -> u64 {
    let own = own.max(1);
    let part = u128::from(left) * u128::from(own) / u128::from(own.saturating_add(near));
    u64::try_from(part).unwrap_or(u64::MAX)
}
