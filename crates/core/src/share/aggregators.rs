//! The routers that aggregate the service of each organisation.

use std::collections::BTreeMap;

use crate::membership::ranking;
use crate::prelude::*;

/// The number of shards into which organisations are divided. All routers have to use the same
/// number.
pub const SHARDS: u32 = 512;
/// The bit that keeps the rendezvous keys of shards apart from those of targets and organisations.
const SHARD_KEY: u64 = 1 << 40;

/// Returns the shard of an organisation. Ids of organisations are offsets of the log, so they
/// spread evenly over shards.
pub const fn shard_of(organisation: OrganisationId) -> u32 {
    organisation.0 % SHARDS
}

/// The aggregators of each shard, computed on first use and cached while the fleet stays the same.
#[derive(Debug, Default)]
pub struct Aggregators {
    live: Vec<RouterId>,
    /// Whether every live router is an aggregator of every organisation.
    is_full_replication: bool,
    /// The number of aggregators of a shard, if not every router is one.
    count: usize,
    shards: BTreeMap<u32, Vec<RouterId>>,
}

impl Aggregators {
    /// Sets the live routers, and returns whether they changed.
    pub fn on_live(
        &mut self,
        mut live: Vec<RouterId>,
        full_replication_max: usize,
        count: usize,
    ) -> bool {
        live.sort_unstable();
        if live == self.live {
            return false;
        }
        self.is_full_replication = live.len() <= full_replication_max;
        self.count = count;
        self.live = live;
        self.shards.clear();
        true
    }

    /// Returns the aggregators of an organisation.
    pub fn of(&mut self, organisation: OrganisationId) -> &[RouterId] {
        if self.is_full_replication {
            return &self.live;
        }
        let shard = shard_of(organisation);
        let (live, count) = (&self.live, self.count);
        self.shards.entry(shard).or_insert_with(|| {
            let mut ranked = ranking(SHARD_KEY | u64::from(shard), live.iter().copied());
            ranked.truncate(count);
            ranked
        })
    }
}
