//! The slot state of one router, as a holder and as an owner.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::slots::message::SlotsPart;
use crate::slots::{Config, Holder, Owner, Owners};

/// The slots that this router holds, owns and asks for.
#[derive(Debug)]
pub struct Slots {
    /// The settings.
    pub cfg: Config,
    /// The slots that this router may use.
    pub holder: Holder,
    /// The slots that this router grants.
    pub owner: Owner,
    /// The owner of each target.
    pub owners: Owners,
    /// Messages from this router as a holder to itself as an owner, or the reverse.
    pub local_messages: VecDeque<SlotsPart>,
    /// When this router asks more owners for slots of a pool.
    pub widen_at: BTreeMap<PoolId, Time>,
    /// The system virtual time of each pool.
    systems: BTreeMap<PoolId, u64>,
}

impl Slots {
    /// Returns the state of a router that holds no slots. `settle` is how long better visibility of
    /// the fleet has to last before it counts.
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
