//! Relay: which routers pass figures between the others in a large fleet.
//!
//! # Invariant
//!
//! Every router exchanges load reports with a bounded number of others, however many have work. In a
//! fleet of up to `mesh_max` other routers all report to one another. In a larger one a few routers
//! of each data centre are relays. Every other router reports to one relay and gets the fleet's sums
//! from it; relays exchange the sums of the routers that report to them.
//!
//! Nothing is agreed on: each router picks its relay from its own view of the fleet, and a router
//! serves whoever reports to it. A relay that sends nothing for [`RELAY_TIMEOUT`] is replaced by the
//! next one in the router's own order; until then the router decides by its last figures, and once
//! these are stale by its own requests alone. See `docs/design/0034-relays.md`.

#[cfg(test)]
mod tests;

use core::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::membership::message::Condition;
use crate::membership::{Members, ranking};
use crate::prelude::*;

/// The number of routers for which a data centre has one relay. A relay handles about twenty frames
/// a second for each.
const ROUTERS_PER_RELAY: usize = 32;
/// The fewest relays of a data centre, so that the loss of one leaves another.
const RELAYS_MIN: usize = 2;
/// The time without figures after which a router picks another relay: four times the longest interval
/// at which relays send them, and the age at which figures are stale. The queue of a crowded link may
/// delay figures for a second, and another relay's would come over the same link.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a relay that sent nothing in time is not picked again.
const AVOIDED_FOR: Duration = Duration::from_secs(3);
/// The interval at which the relays are determined again.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// The rendezvous key that orders routers of the same capacity as relays.
const RELAY_KEY: u64 = 1 << 41;
/// The bit that keeps the rendezvous keys of routers that pick a relay apart from other keys.
const PICK_KEY: u64 = 1 << 42;

/// The relays of the fleet, and the one to which this router reports.
#[derive(Debug, Default)]
pub struct Relays {
    /// The relays by data centre; empty in a small fleet.
    plan: BTreeMap<String, Vec<RouterId>>,
    /// When the plan is determined next.
    next_plan: Time,
    mine: Option<Attachment>,
    /// Relays that sent nothing in time, and until when they are not picked.
    avoided: BTreeMap<RouterId, Time>,
}

/// The relay to which a router reports.
#[derive(Debug, Clone, Copy)]
struct Attachment {
    relay: RouterId,
    /// When the relay last sent figures, or when it was picked.
    heard: Time,
}

/// What a router does in the exchange of load reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// The router reports to all its partners.
    Direct,
    /// The router reports to this relay, if there is one.
    Member(Option<RouterId>),
    /// The router is a relay, beside these.
    Relay(BTreeSet<RouterId>),
}

impl Relays {
    /// Returns what this router does now. `own` is its data centre. `has_members` says whether other
    /// routers report to it: it serves them also if they alone consider it a relay.
    pub fn role(
        &mut self,
        now: Time,
        members: &Members,
        (me, own): (RouterId, &str),
        has_members: bool,
    ) -> Role {
        if members.is_mesh() {
            self.mine = None;
            return Role::Direct;
        }
        if now >= self.next_plan {
            self.next_plan = now + PLAN_PERIOD;
            self.plan = plan(members, now, me, own);
        }
        let all = self.plan.values().flatten().copied();
        let all: BTreeSet<RouterId> = all.collect();
        if has_members || all.contains(&me) {
            self.mine = None;
            let others = all.into_iter().filter(|&relay| relay != me);
            return Role::Relay(others.collect());
        }
        self.leave_silent(now);
        let is_listed = |mine: &Attachment| all.contains(&mine.relay);
        let mine = self.mine.filter(is_listed);
        self.mine = mine.or_else(|| {
            let relay = self.pick(me, own)?;
            Some(Attachment { relay, heard: now })
        });
        Role::Member(self.mine.map(|mine| mine.relay))
    }

    /// Returns the routers that one which reports to a relay asks for other things: its relay, and
    /// another one so that the loss of either changes nothing.
    pub fn sources(&self, me: RouterId, own: &str) -> Vec<RouterId> {
        let Some(mine) = self.mine else {
            return Vec::new();
        };
        let is_other = |relay: &RouterId| *relay != mine.relay;
        let other = self.ranked(me, own).into_iter().find(is_other);
        core::iter::once(mine.relay).chain(other).collect()
    }

    /// Records that a relay sent figures. Returns whether it is the one to which this router reports.
    pub fn on_figures(&mut self, now: Time, from: RouterId) -> bool {
        match &mut self.mine {
            Some(mine) if mine.relay == from => {
                mine.heard = now;
                true
            }
            _ => false,
        }
    }

    /// Leaves a relay that sent nothing in time.
    fn leave_silent(&mut self, now: Time) {
        self.avoided.retain(|_, until| *until > now);
        if let Some(mine) = self.mine
            && now.since(mine.heard) >= RELAY_TIMEOUT
        {
            self.avoided.insert(mine.relay, now + AVOIDED_FOR);
            self.mine = None;
        }
    }

    /// Returns the relay to report to: one of the own data centre if any is left, and one that is
    /// not avoided if possible.
    fn pick(&self, me: RouterId, own: &str) -> Option<RouterId> {
        let ranked = self.ranked(me, own);
        let is_sound = |relay: &&RouterId| !self.avoided.contains_key(relay);
        let sound = ranked.iter().find(is_sound);
        sound.or(ranked.first()).copied()
    }

    /// Returns all relays in this router's own order, those of its data centre first. These come
    /// twice.
    fn ranked(&self, me: RouterId, own: &str) -> Vec<RouterId> {
        let near = self.plan.get(own).into_iter().flatten().copied();
        let all = self.plan.values().flatten().copied();
        let ranked = |relays: Vec<RouterId>| ranking(PICK_KEY | u64::from(me.0), relays);
        let (mut near, all) = (ranked(near.collect()), ranked(all.collect()));
        near.extend(all);
        near
    }
}

/// Returns the relays of each data centre: the strongest routers that are ready.
fn plan(members: &Members, now: Time, me: RouterId, own: &str) -> BTreeMap<String, Vec<RouterId>> {
    let mut by_data_centre: BTreeMap<&str, Vec<RouterId>> = BTreeMap::new();
    let leaving: BTreeSet<RouterId> = members
        .peers()
        .filter(|(_, peer)| peer.leaving)
        .map(|(id, _)| id)
        .collect();
    for router in members.live(now) {
        let row = members.row(router);
        let is_ready = row.is_some_and(|row| row.condition == Condition::Ready);
        if is_ready && !leaving.contains(&router) {
            let at = match router == me {
                true => own,
                false => members.data_centre(router).unwrap_or(own),
            };
            by_data_centre.entry(at).or_default().push(router);
        }
    }
    let capacity = |router: &RouterId| members.row(*router).map_or(0, |row| row.capacity);
    let relays = by_data_centre.into_iter().map(|(name, routers)| {
        let count = routers.len().div_ceil(ROUTERS_PER_RELAY).max(RELAYS_MIN);
        let mut ranked = ranking(RELAY_KEY, routers);
        ranked.sort_by_key(|router| Reverse(capacity(router)));
        ranked.truncate(count);
        (name.to_owned(), ranked)
    });
    relays.collect()
}
