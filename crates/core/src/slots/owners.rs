//! The owner of each target, cached while the fleet and the catalogue stay the same.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalogue::Catalogue;
use crate::membership;
use crate::prelude::*;
use crate::slots::lane::lane_of;

/// The owners of all targets, computed from the routers that this router considers live.
#[derive(Debug, Default)]
pub struct Owners {
    live: Vec<RouterId>,
    applied: Offset,
    targets: BTreeMap<TargetId, (PoolId, RouterId)>,
    pools: BTreeMap<PoolId, Vec<RouterId>>,
}

impl Owners {
    /// Sets the live routers and the log offset up to which the catalogue is applied. Returns
    /// whether owners may have changed.
    pub fn update(
        &mut self,
        mut live: Vec<RouterId>,
        applied: Offset,
        catalogue: &Catalogue,
    ) -> bool {
        live.sort_unstable();
        if self.live == live && self.applied == applied {
            return false;
        }
        self.live = live;
        self.applied = applied;
        self.targets.clear();
        let mut pools: BTreeMap<PoolId, BTreeSet<RouterId>> = BTreeMap::new();
        for view in catalogue.targets() {
            let owner = membership::owner(u64::from(view.id.0), self.live.iter().copied());
            let lane = lane_of(catalogue, &view);
            if let (Some(owner), Some(pool)) = (owner, lane) {
                self.targets.insert(view.id, (pool, owner));
                pools.entry(pool).or_default().insert(owner);
            }
        }
        let pools = pools.into_iter();
        self.pools = pools
            .map(|(pool, owners)| (pool, owners.into_iter().collect()))
            .collect();
        true
    }

    /// Returns the lane and the owner of a target.
    pub fn of(&self, target: TargetId) -> Option<(PoolId, RouterId)> {
        self.targets.get(&target).copied()
    }

    /// Returns the routers that own targets of a pool.
    pub fn of_pool(&self, pool: PoolId) -> &[RouterId] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets that a router owns.
    pub fn owned_by(&self, router: RouterId) -> BTreeMap<TargetId, PoolId> {
        let targets = self.targets.iter();
        let owned = targets.filter(|(_, (_, owner))| *owner == router);
        owned.map(|(&target, &(pool, _))| (target, pool)).collect()
    }
}
