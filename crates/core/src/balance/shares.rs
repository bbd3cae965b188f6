//! The shares of organisations where each router chooses targets itself. This module answers who is
//! held back when an organisation receives much less than its share.
//!
//! # Invariant
//!
//! While an organisation with unserved requests receives clearly less than its max-min fair share
//! of the service that the fleet gives, no other organisation is sent more than its own share,
//! except what targets take beyond that without filling up. While no organisation is short, none is
//! limited. A share depends on what organisations ask for in the whole fleet, and not on how many
//! routers their callers use, on the sizes of their requests, or on what they were granted before.
//!
//! # How it works
//!
//! Routers report, together with their loads, how many tokens of prompts and answers each
//! organisation asked for and was sent within a window ([`ClaimRow`]). A request counts when it
//! arrives, so what is refused counts as well. From the sums of the fleet each router computes the
//! *level*: the service that the fleet gave, divided so that every organisation gets what it asks
//! for or as much as any other, in proportion to their weights. Service that was given, and not
//! free capacity, is divided, because what is free at one moment depends on the requests that come
//! next and says little about what can be served.
//!
//! An organisation is *short* from the time when it has unserved requests and was sent less than
//! [`Config::short_percent`] of the lesser of the level and what it asked for, until it was sent
//! [`RECOVERED_PERCENT`] of that. While one is short, the organisations that ask for more than the
//! level and are not short are limited: each gets credit at the rate of the level, divided among
//! routers by what it asks for at each of them. A request uses its tokens of the credit, and may
//! overdraw it, so that large requests need not save up. Without credit, a request is still sent to
//! a target that keeps room for others ([`Balance::has_spare_room`]), so that no capacity idles for
//! an organisation that cannot use it.
//!
//! An organisation that is short may send regardless of its [turn](super::turns), may fill a target
//! somewhat more than others, and does not wait for a target that caches its prompt while others
//! have room.
//!
//! Shares are the max-min fair rates of core-stateless fair queueing (Stoica, Shenker and Zhang,
//! 1998), enforced with token buckets in proportion to local demand as in distributed rate limiting
//! (Raghavan et al., 2007); the room kept for others is trunk reservation. See
//! `docs/design/0031-balance.md`.
//!
//! [`Config::short_percent`]: crate::balance::Config::short_percent

use std::collections::{BTreeMap, BTreeSet};

use crate::balance::Balance;
use crate::balance::message::ClaimRow;
use crate::balance::score::{CandidateLoad, Choice};
use crate::balance::service_window::WINDOW;
use crate::prelude::*;

/// The part of its share, in hundredths, from which an organisation is no longer short.
const RECOVERED_PERCENT: u32 = 95;
/// The time for which reported service counts. It covers a window, so it does not change much while
/// a report is late.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// The time for which unused credit is kept.
const CREDIT_KEPT: Duration = Duration::from_millis(200);
/// A target keeps the slots divided by this number, rounded up, for organisations with credit.
const SPARE_SLOTS_DIVISOR: u32 = 8;
/// A target keeps the unread tokens divided by this number for organisations with credit. The rest
/// keeps it reading until routers have heard that it has room.
const SPARE_UNREAD_DIVISOR: u64 = 2;

/// The shares of organisations as of the last report.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// The level of each pool in which an organisation is short.
    levels: BTreeMap<PoolId, u64>,
    /// The organisations that are short.
    short: BTreeSet<(PoolId, OrganisationId)>,
    /// The credit of each limited organisation.
    limited: BTreeMap<(PoolId, OrganisationId), Credit>,
    /// The service of the organisations with requests at this router.
    standings: BTreeMap<(PoolId, OrganisationId), Standing>,
}

/// Whether and how an organisation is held to its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// The organisation is not limited.
    Open,
    /// The organisation is short.
    Short,
    /// Another organisation is short, and this one has credit left.
    Credit,
    /// Another organisation is short, and this one has used up its credit.
    Exhausted,
}

/// What an organisation asked for and received in a pool within the window, in the whole fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    /// The tokens of requests that arrived.
    pub asked: u64,
    /// The tokens of requests that were sent to targets.
    pub sent: u64,
    /// The tokens that this router may send within a window; `None` if it is not limited.
    pub share: Option<u64>,
}

/// Tokens that a limited organisation may use at this router, in token microseconds: a credit of one
/// token is worth as many units as the window has microseconds.
#[derive(Debug, Clone, Copy)]
struct Credit {
    /// The tokens that are added within a window.
    rate: u64,
    units: i64,
    /// When credit was last added.
    at: Time,
}

impl Credit {
    fn advance(&mut self, now: Time) {
        let rate = i64::try_from(self.rate).unwrap_or(i64::MAX);
        let earned = |time: Duration| {
            let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
            rate.saturating_mul(micros)
        };
        let units = self.units.saturating_add(earned(now.since(self.at)));
        self.units = units.min(earned(CREDIT_KEPT));
        self.at = now;
    }
}

/// What an organisation asked for and was sent in a pool, in the whole fleet and at this router.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    organisation: OrganisationId,
    weight: u64,
    asked: u64,
    sent: u64,
    /// Whether requests wait or were refused.
    is_unserved: bool,
    /// The part of `asked` that arrived at this router.
    asked_here: u64,
    /// Whether this router has requests of the organisation.
    is_here: bool,
}

impl Demand {
    fn add(&mut self, row: &ClaimRow) {
        self.asked += u64::from(row.asked.max(row.sent));
        self.sent += u64::from(row.sent);
        self.is_unserved |= row.unserved > 0;
    }

    /// Returns what the organisation is due if each may get the level times its weight.
    fn due(&self, level: u64) -> u64 {
        self.asked.min(level.saturating_mul(self.weight))
    }

    /// Returns whether the organisation has unserved requests and was sent less than this part of
    /// what it is due.
    fn is_below(&self, level: u64, percent: u32) -> bool {
        self.is_unserved && self.sent * 100 < self.due(level) * u64::from(percent)
    }
}

impl Balance {
    /// Computes the shares of all organisations until the next report. `own` are the claims of this
    /// router, and `weight_of` returns an organisation's weight.
    pub fn update_shares(
        &mut self,
        now: Time,
        own: &[ClaimRow],
        weight_of: impl Fn(OrganisationId) -> u32,
    ) {
        let mut pools: BTreeMap<PoolId, BTreeMap<OrganisationId, Demand>> = BTreeMap::new();
        let of_peers = self.claims(now, REPORT_TTL).map(|row| (row, false));
        for (row, is_own) in of_peers.chain(own.iter().map(|row| (row, true))) {
            let demands = pools.entry(row.pool).or_default();
            let demand = demands.entry(row.organisation).or_default();
            demand.organisation = row.organisation;
            demand.weight = u64::from(weight_of(row.organisation).max(1));
            demand.add(row);
            if is_own {
                demand.asked_here = u64::from(row.asked.max(row.sent));
                demand.is_here = true;
            }
        }
        let former = core::mem::take(&mut self.shares);
        let short_percent = self.cfg.short_percent;
        for (pool, demands) in pools {
            let demands: Vec<Demand> = demands.into_values().collect();
            self.shares.record_standings(pool, &demands);
            self.shares
                .divide(now, pool, demands, &former, short_percent);
        }
    }

    /// Returns whether an organisation is held to its share now.
    pub fn share(&mut self, now: Time, pool: PoolId, organisation: OrganisationId) -> Share {
        let key = (pool, organisation);
        if self.shares.short.contains(&key) {
            return Share::Short;
        }
        match self.shares.limited.get_mut(&key) {
            None => Share::Open,
            Some(credit) => {
                credit.advance(now);
                match credit.units > 0 {
                    true => Share::Credit,
                    false => Share::Exhausted,
                }
            }
        }
    }

    /// Deducts a request that is sent from its organisation's credit.
    pub fn spend_share(&mut self, pool: PoolId, organisation: OrganisationId, tokens: u64) {
        if let Some(credit) = self.shares.limited.get_mut(&(pool, organisation)) {
            let micros = u128::from(tokens) * WINDOW.as_micros();
            let units = i64::try_from(micros).unwrap_or(i64::MAX);
            credit.units = credit.units.saturating_sub(units);
        }
    }

    /// Returns whether an organisation is short.
    pub fn is_short(&self, pool: PoolId, organisation: OrganisationId) -> bool {
        self.shares.short.contains(&(pool, organisation))
    }

    /// Returns the service within a window that each organisation may receive, in tokens relative to
    /// its weight; `None` while no organisation is short.
    pub fn level(&self, pool: PoolId) -> Option<u64> {
        self.shares.levels.get(&pool).copied()
    }

    /// Returns what an organisation with requests at this router asked for and received.
    pub fn standing(&self, pool: PoolId, organisation: OrganisationId) -> Standing {
        let key = (pool, organisation);
        let standing = self.shares.standings.get(&key).copied();
        Standing {
            share: self.shares.limited.get(&key).map(|credit| credit.rate),
            ..standing.unwrap_or_default()
        }
    }

    /// Returns whether a target has room for a request so that room for others remains.
    pub fn has_spare_room(&self, loaded: &CandidateLoad, choice: &Choice) -> bool {
        let slots = loaded.candidate.slots;
        let kept = slots
            .div_ceil(SPARE_SLOTS_DIVISOR)
            .min(slots.saturating_sub(1));
        let unread = loaded.load.unread + u64::from(choice.unread);
        let unread_max = self.unread_max(loaded) / SPARE_UNREAD_DIVISOR;
        loaded.load.requests < slots - kept && (choice.is_idle || unread <= unread_max)
    }

    /// Returns whether peers reported unserved requests for a pool.
    pub fn is_contended(&self, now: Time, pool: PoolId) -> bool {
        let mut rows = self.claims(now, REPORT_TTL).filter(|row| row.pool == pool);
        rows.any(|row| row.unserved > 0)
    }
}

impl Shares {
    fn record_standings(&mut self, pool: PoolId, demands: &[Demand]) {
        for demand in demands.iter().filter(|demand| demand.is_here) {
            let standing = Standing {
                asked: demand.asked,
                sent: demand.sent,
                share: None,
            };
            self.standings.insert((pool, demand.organisation), standing);
        }
    }

    /// Limits the organisations of a pool if one is short.
    fn divide(
        &mut self,
        now: Time,
        pool: PoolId,
        mut demands: Vec<Demand>,
        former: &Self,
        short_percent: u32,
    ) {
        let Some(level) = fair_level(&mut demands) else {
            return;
        };
        let is_short = |it: &&Demand| {
            let percent = match former.short.contains(&(pool, it.organisation)) {
                true => RECOVERED_PERCENT.max(short_percent),
                false => short_percent,
            };
            it.is_below(level, percent)
        };
        let short: BTreeSet<_> = demands
            .iter()
            .filter(is_short)
            .map(|it| (pool, it.organisation))
            .collect();
        if short.is_empty() {
            return;
        }
        self.levels.insert(pool, level);
        for demand in demands.iter().filter(|it| it.asked > it.due(level)) {
            let key = (pool, demand.organisation);
            if short.contains(&key) {
                continue;
            }
            let here = u128::from(demand.due(level)) * u128::from(demand.asked_here);
            let rate = u64::try_from(here / u128::from(demand.asked.max(1))).unwrap_or(u64::MAX);
            let fresh = Credit {
                rate,
                units: 0,
                at: now - CREDIT_KEPT,
            };
            let mut credit = former.limited.get(&key).copied().unwrap_or(fresh);
            credit.advance(now);
            credit.rate = rate;
            self.limited.insert(key, credit);
        }
        self.short.extend(short);
    }
}

/// Returns the level at which the service that all organisations received would be divided fairly
/// among them: each gets what it asked for, or the level times its weight if that is less. `None` if
/// all got what they asked for. Sorts the demands.
fn fair_level(demands: &mut [Demand]) -> Option<u64> {
    demands.sort_unstable_by(|a, b| (a.asked * b.weight).cmp(&(b.asked * a.weight)));
    let mut left: u64 = demands.iter().map(|it| it.sent).sum();
    let mut weights: u64 = demands.iter().map(|it| it.weight).sum();
    for demand in demands {
        let level = left / weights;
        if demand.asked > level.saturating_mul(demand.weight) {
            return Some(level);
        }
        left -= demand.asked;
        weights -= demand.weight;
    }
    None
}
