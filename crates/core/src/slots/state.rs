//! Both sides of this duty in one router.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::slots::message::SlotsPart;
use crate::slots::{Config, Holder, Owner, Owners};

/// What this router holds, owns and asks for.
#[derive(Debug)]
pub struct Slots {
    /// The settings.
    pub cfg: Config,
    /// What this router may use.
    pub holder: Holder,
    /// What this router hands out.
    pub owner: Owner,
    /// Who owns which target.
    pub owners: Owners,
    /// What this router tells itself.
    pub local_messages: VecDeque<SlotsPart>,
    /// When more owners are to be asked for a pool.
    pub widen_at: BTreeMap<PoolId, Time>,
    /// The system virtual time of each pool.
    systems: BTreeMap<PoolId, u64>,
}

impl Slots {
    /// Returns slots of which none is held. `settle` is how long a better sight of the fleet has to
    /// last before it counts.
    pub fn new(me: Incarnation, cfg: Config, settle: Duration) -> Self {
        Self {
            holder: Holder::new(me, cfg.clone()),
            owner: Owner::new(cfg.clone(), settle),
            owners: Owners::default(),
            local_messages: VecDeque::new(),
            widen_at: BTreeMap::new(),
            systems: BTreeMap::new(),
            cfg,
        }
    }

    /// Returns the system virtual time of a pool; see [`share`](crate::share).
    pub fn system(&self, pool: PoolId) -> u64 {
        let own = self.systems.get(&pool).copied().unwrap_or(0);
        own.max(self.owner.system(pool))
    }

    /// Raises the system virtual time of a pool.
    pub fn raise_system(&mut self, pool: PoolId, to: u64) {
        let system = self.systems.entry(pool).or_default();
        *system = to.max(*system);
    }
}
