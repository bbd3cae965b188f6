//! Address: which routers a caller should use.
//!
//! # Invariant
//!
//! An answer names only routers that are alive and ready as far as this router knows, and never one that
//! is stopping or leaving, unless there is no other. A router that stops goes on accepting until every
//! answer that named it has run out.
//!
//! Each organisation has a few homes by rendezvous hash. Its callers are sent there first, so that its
//! figures pass between a few routers and a flood meets a few.

#[cfg(test)]
mod tests;

use core::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::membership::message::Condition;
use crate::membership::{Members, ranking};
use crate::prelude::*;

/// The most addresses in one answer.
const ADDRESSES_MAX: usize = 8;

/// How addresses are given out.
#[derive(Debug, Clone)]
pub struct Config {
    /// For how long callers may keep an answer. Default: 30 s.
    pub valid: Duration,
    /// How many routers are home to an organisation. Default: 3.
    pub homes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            valid: Duration::from_secs(30),
            homes: 3,
        }
    }
}

/// Returns the routers that are home to an organisation, the best first.
pub fn homes(
    members: &Members,
    now: Time,
    cfg: &Config,
    organisation: OrganisationId,
) -> Vec<RouterId> {
    let mut homes = candidates(members, now, organisation);
    homes.truncate(cfg.homes);
    homes
}

/// Returns the addresses that an organisation's callers should use, the best first.
pub fn answer(members: &Members, now: Time, organisation: OrganisationId) -> Vec<String> {
    candidates(members, now, organisation)
        .into_iter()
        .filter_map(|router| members.row(router))
        .map(|row| row.address.clone())
        .filter(|address| !address.is_empty())
        .take(ADDRESSES_MAX)
        .collect()
}

/// The fewest routers of one data centre that callers are sent to without others.
const NEAR_MIN: usize = 2;
/// The most addresses in an answer for callers that pick one at random.
const NEAR_MAX: usize = 64;
/// The part of a data centre's capacity that the named routers have at least, as one of so many. The routers of
/// the users' largest fleets used a seventh of theirs on the days that were measured.
const NAMED_PARTS: u64 = 4;

/// Returns the addresses of the routers that callers in a data centre should use: the strongest that serve
/// there, or all that serve if there are fewer than two of them. `own` is the data centre of this router.
///
/// A caller picks one address and may send all that it has to it, so a weak router is named only where there
/// are not enough strong ones.
pub fn near(members: &Members, now: Time, data_centre: Option<&str>, own: &str) -> Vec<String> {
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

/// Returns the routers that callers are sent to in any data centre. `own` is the data centre of this router.
pub fn named(members: &Members, now: Time, own: &str) -> BTreeSet<RouterId> {
    let mut by_place: BTreeMap<&str, Vec<RouterId>> = BTreeMap::new();
    for router in candidates(members, now, OrganisationId(0)) {
        let at = members.data_centre(router).unwrap_or(own);
        by_place.entry(at).or_default().push(router);
    }
    let places = by_place.into_values();
    places
        .flat_map(|routers| strongest(members, routers))
        .collect()
}

/// Returns the strongest routers that have a fourth of the capacity together, at least two of them, and all that are
/// as strong as the weakest of these.
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
        if own < weakest && count >= NEAR_MIN && sum * NAMED_PARTS >= total {
            break;
        }
        weakest = own;
        sum += u64::from(own);
        count += 1;
    }
    routers.truncate(count);
    routers
}

/// Returns the routers that serve now in the order in which the organisation prefers them; those that
/// are alive but do not serve only if there are no others.
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
