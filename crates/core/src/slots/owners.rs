//! Which router owns which target, kept while the fleet and the catalogue stay the same.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalogue::Catalogue;
use crate::membership;
use crate::prelude::*;

/// The owners of all targets, as this router sees them.
#[derive(Debug, Default)]
pub struct Owners {
    live: Vec<RouterId>,
    applied: Offset,
    targets: BTreeMap<TargetId, (PoolId, RouterId)>,
    pools: BTreeMap<PoolId, Vec<RouterId>>,
}

impl Owners {
    /// Takes over which routers are alive and how far the catalogue is known, and says whether owners
    /// may have changed.
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
            let pool = catalogue.pool_by_name(&view.entry.pool);
            if let (Some(owner), Some((pool, _))) = (owner, pool) {
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

    /// Returns the pool and the owner of a target.
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
