//! Links: with which routers this router exchanges heartbeats.
//!
//! # Invariant
//!
//! The fixed links are a function of the VM list alone, so that both ends compute them however much
//! they know. The substitutes are the links that the same function gives among the routers that are
//! not considered lost, beyond the fixed ones. If nobody is lost there are none. If a router is lost,
//! others take its place at once, so that the routers that are left stay connected and each of them
//! has partners that notice its loss. The expected number of links does not depend on the size of the
//! fleet.

use std::collections::BTreeSet;

use crate::membership::rendezvous;
use crate::prelude::*;

/// How many times as many routers a router chooses at most while it searches. The more of its partners
/// are lost, the more of the others probably are, and the fewer of those that it tries answer.
const SEARCH_FACTOR_MAX: usize = 6;

/// The routers with which this router exchanges heartbeats.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// The routers on the VM list and this one, in the order of their keys.
    pub listed: Vec<RouterId>,
    /// The links that follow from the VM list.
    pub fixed: BTreeSet<RouterId>,
    /// The fixed links and the substitutes.
    pub partners: BTreeSet<RouterId>,
    /// Whether the routers considered lost have changed since the substitutes were chosen.
    pub is_outdated: bool,
    /// Whether more substitutes than usual are chosen.
    is_wide: bool,
}

/// What a router considers another one for the choice of partners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// It is chosen like any other.
    Fit,
    /// Others take its place, but it stays a partner until it has answered or not.
    Checked,
    /// Others take its place.
    Lost,
}

/// How many links each router chooses.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    /// The largest number of other routers at which all are linked with each other.
    pub mesh_max: usize,
    /// How many routers each router chooses in a larger fleet.
    pub count: usize,
}

impl Links {
    /// Sets the routers on the VM list and this one. Returns whether they have changed.
    pub(super) fn set_listed(
        &mut self,
        me: RouterId,
        listed: Vec<RouterId>,
        choice: Choice,
    ) -> bool {
        if listed == self.listed {
            return false;
        }
        self.listed = listed;
        self.fixed = match self.is_mesh(choice) {
            true => self.others(me).collect(),
            false => chosen(me, &self.listed, choice.count),
        };
        self.is_outdated = true;
        true
    }

    /// Chooses the substitutes by the standing of the listed routers. A router that searches chooses the
    /// more the more of its fixed links are lost. Returns the routers that have become partners.
    pub(super) fn choose(
        &mut self,
        me: RouterId,
        choice: Choice,
        searches: bool,
        standing: impl Fn(RouterId) -> Standing,
    ) -> Vec<RouterId> {
        self.is_outdated = false;
        self.is_wide = false;
        let mut partners = self.fixed.clone();
        let is_fit = |id: &RouterId| *id == me || standing(*id) == Standing::Fit;
        let left: Vec<RouterId> = self.listed.iter().copied().filter(is_fit).collect();
        if !self.is_mesh(choice) && left.len() < self.listed.len() {
            let fit_links = self.fixed.iter().filter(|id| is_fit(id)).count();
            let factor = match searches {
                true => self.fixed.len().div_ceil(fit_links.max(1)),
                false => 1,
            };
            let factor = factor.min(SEARCH_FACTOR_MAX);
            self.is_wide = factor > 1;
            partners.extend(chosen(me, &left, choice.count * factor));
            let is_checked = |id: &RouterId| standing(*id) == Standing::Checked;
            partners.extend(self.others(me).filter(is_checked));
        }
        let added = partners.difference(&self.partners).copied().collect();
        self.partners = partners;
        added
    }

    /// Returns whether substitutes have to be chosen, by a router that `searches`.
    pub(super) const fn must_choose(&self, searches: bool) -> bool {
        self.is_outdated || (self.is_wide && !searches)
    }

    /// Returns whether all routers are partners of each other.
    pub(super) fn is_mesh(&self, choice: Choice) -> bool {
        self.listed.len() <= choice.mesh_max + 1
    }

    /// Returns whether the link with a partner is a substitute.
    pub(super) fn is_substitute(&self, partner: RouterId) -> bool {
        !self.fixed.contains(&partner)
    }

    fn others(&self, me: RouterId) -> impl Iterator<Item = RouterId> {
        self.listed.iter().copied().filter(move |&id| id != me)
    }
}

/// Returns the routers that `me` chooses among `routers` and those that choose it.
fn chosen(me: RouterId, routers: &[RouterId], count: usize) -> BTreeSet<RouterId> {
    let others = || routers.iter().copied().filter(|&id| id != me);
    let own = rendezvous::best(links_key(me), others(), count);
    let choosing = others().filter(|&other| {
        let candidates = routers.iter().copied().filter(|&id| id != other);
        rendezvous::is_among_best(links_key(other), me, candidates, count)
    });
    choosing.chain(own).collect()
}

/// Returns the rendezvous key by which a router ranks the others as partners.
fn links_key(router: RouterId) -> u64 {
    u64::from(router.0) << 32
}
