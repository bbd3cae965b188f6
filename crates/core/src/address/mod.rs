//! Address: which routers a caller should use.
//!
//! # Invariant
//!
//! An answer names only routers that this router considers live and ready, and never one that is
//! stopping or leaving, unless there is no other. A router that stops goes on accepting requests
//! until every answer that named it has expired.
//!
//! Each organisation has a few home routers by rendezvous hash. Its callers are sent to these
//! first, so that its figures pass between few routers, and a flood of its requests reaches only a
//! few.

#[cfg(test)]
mod tests;

use crate::membership::message::Condition;
use crate::membership::{Members, ranking};
use crate::prelude::*;
use core::cmp::Reverse;

/// The most addresses in one answer.
const ADDRESSES_MAX: usize = 8;

/// The settings of the addresses that callers are given.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long callers may use an answer. Default: 30 s.
    pub valid: Duration,
    /// The number of home routers of an organisation. Default: 3.
    pub home_routers: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            valid: Duration::from_secs(30),
            home_routers: 3,
        }
    }
}

/// Returns the home routers of an organisation, the best first.
pub fn home_routers(
    members: &Members,
    now: Time,
    cfg: &Config,
    organisation: OrganisationId,
) -> Vec<RouterId> {
    let mut home_routers = candidates(members, now, organisation);
    home_routers.truncate(cfg.home_routers);
    home_routers
}

/// Returns the addresses that an organisation's callers should use, the best first.
pub fn addresses_for(members: &Members, now: Time, organisation: OrganisationId) -> Vec<String> {
    candidates(members, now, organisation)
        .into_iter()
        .filter_map(|router| members.row(router))
        .map(|row| row.address.clone())
        .filter(|address| !address.is_empty())
        .take(ADDRESSES_MAX)
        .collect()
}

/// The fewest routers that callers in a data centre are sent to; below this, routers of other data
/// centres are added.
const NEAR_MIN: usize = 2;
/// The most addresses in an answer to callers that pick one at random.
const NEAR_MAX: usize = 64;
/// The divisor of the least share of a data centre's capacity that the advertised routers have: one
/// fourth. The largest fleets have used a seventh of their routers' capacity.
const ADVERTISED_CAPACITY_DIVISOR: u64 = 4;

/// Returns the addresses of the routers that callers in a data centre should use: the strongest
/// routers that serve there, or all that serve if fewer than two of them are there. `own` is the
/// data centre of this router.
///
/// A caller picks one address and may send all its requests there, so a weak router is named only
/// where there are not enough strong ones.
pub fn addresses_near(
    members: &Members,
    now: Time,
    data_centre: Option<&str>,
    own: &str,
) -> Vec<String> {
    let all = candidates(members, now, OrganisationId(0));
    let is_near = |router: &RouterId| {
        let at = members.data_centre(*router).unwrap_or(own);
        data_centre.is_none_or(|wanted| wanted == at)
    };
    let near: Vec<RouterId> = all.iter().copied().filter(is_near).collect();
    let pick = match near.len() >= NEAR_MIN {
        true => strongest(members, near),
        false => all,
    };
    pick.into_iter()
        .filter_map(|router| members.row(router))
        .map(|row| row.address.clone())
        .filter(|address| !address.is_empty())
        .take(NEAR_MAX)
        .collect()
}

/// Returns the strongest routers that together have a fourth of the capacity, at least two of them,
/// and all that are as strong as the weakest of these.
fn strongest(members: &Members, mut routers: Vec<RouterId>) -> Vec<RouterId> {
    let capacity = |router: &RouterId| members.row(*router).map_or(0, |row| row.capacity);
    let total: u64 = routers
        .iter()
        .map(|router| u64::from(capacity(router)))
        .sum();
    routers.sort_by_key(|router| Reverse(capacity(router)));
    let mut sum = 0;
    let mut count = 0;
    let mut weakest = 0;
    for router in &routers {
        let own = capacity(router);
        if own < weakest && count >= NEAR_MIN && sum * ADVERTISED_CAPACITY_DIVISOR >= total {
            break;
        }
        weakest = own;
        sum += u64::from(own);
        count += 1;
    }
    routers.truncate(count);
    routers
}

/// Returns the routers that serve now, in the order in which the organisation prefers them. Routers
/// that are live but do not serve are returned only if there are no others.
fn candidates(members: &Members, now: Time, organisation: OrganisationId) -> Vec<RouterId> {
    let leaving: Vec<RouterId> = members
        .peers()
        .filter(|(_, peer)| peer.leaving)
        .map(|(id, _)| id)
        .collect();
    let serves = |router: &RouterId| {
        let ready = members
            .row(*router)
            .is_some_and(|row| row.condition == Condition::Ready);
        ready && !leaving.contains(router)
    };
    let live: Vec<RouterId> = members.live(now).collect();
    let serving: Vec<RouterId> = live.iter().copied().filter(serves).collect();
    let pick = if serving.is_empty() { live } else { serving };
    ranking(u64::from(organisation.0), pick)
}
