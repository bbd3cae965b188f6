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

/// Returns the addresses of the routers that serve in a data centre, or of all that serve if there are fewer
/// than two of them. `own` is the data centre of this router.
pub fn near(members: &Members, now: Time, data_centre: Option<&str>, own: &str) -> Vec<String> {
    let all = candidates(members, now, OrganisationId(0));
    let is_near = |router: &&RouterId| {
        let at = members.data_centre(**router).unwrap_or(own);
        data_centre.is_none_or(|wanted| wanted == at)
    };
    let near: Vec<&RouterId> = all.iter().filter(is_near).collect();
    let pick = match near.len() >= NEAR_MIN {
        true => near,
        false => all.iter().collect(),
    };
    pick.into_iter()
        .filter_map(|router| members.row(*router))
        .map(|row| row.address.clone())
        .filter(|address| !address.is_empty())
        .take(NEAR_MAX)
        .collect()
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
