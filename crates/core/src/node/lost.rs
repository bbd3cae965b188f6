//! Whose records a router clears from the store: those of routers that are lost for good.
//!
//! A lost router's share of every allowance of the fleet lies idle while it is listed, and the list
//! grows with each VM that is replaced. Silence alone does not tell a lost router from one that is
//! cut off from its peers, so the store decides: whoever clears a record first asks there whether the
//! router runs. See `docs/design/0004-membership.md`.

use crate::membership;
use crate::node::Node;
use crate::prelude::*;

/// The time for which a router is considered lost before its record is cleared. It is longer than
/// the usual freezes, cuts and restarts.
pub const LOST_AFTER: Duration = Duration::from_secs(20);
/// The number of routers that clear a record, each [`LOST_AFTER`] later than the one before it.
const CLEARERS: usize = 3;
/// The rendezvous key that ranks the routers that clear records.
const CLEAR_KEY: u64 = 1 << 43;

impl Node {
    /// Returns the routers that this router has to clear from the list because they are lost.
    pub fn routers_to_clear(&self) -> Vec<RouterId> {
        let now = self.cx.now;
        let clearers = membership::best(CLEAR_KEY, self.members.live(now), CLEARERS);
        let rank = clearers.iter().position(|&router| router == self.cx.me);
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return Vec::new();
        };
        self.members.lost(now, LOST_AFTER * (rank + 1)).collect()
    }
}
