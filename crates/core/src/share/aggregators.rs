//! Who keeps the accounts of which organisations.

use std::collections::BTreeMap;

use crate::membership::ranking;
use crate::prelude::*;

/// The number of shards into which organisations fall. All routers have to agree on it.
pub const SHARDS: u32 = 512;
/// Keeps the rendezvous keys of shards apart from those of targets and organisations.
const SHARD_KEY: u64 = 1 << 40;

/// Returns the shard of an organisation. Keys are offsets of the log, so neighbours spread evenly.
pub const fn shard_of(organisation: OrganisationId) -> u32 {
    organisation.0 % SHARDS
}

/// The accountants of each shard, computed when first asked for and kept while the fleet stays the same.
#[derive(Debug, Default)]
pub struct Accountants {
    live: Vec<RouterId>,
    everyone: bool,
    count: usize,
    shards: BTreeMap<u32, Vec<RouterId>>,
}

impl Accountants {
    /// Takes over which routers are alive, and says whether that is news.
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
        self.everyone = live.len() <= full_replication_max;
        self.count = count;
        self.live = live;
        self.shards.clear();
        true
    }

    /// Returns the accountants of an organisation.
    pub fn of(&mut self, organisation: OrganisationId) -> &[RouterId] {
        if self.everyone {
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
