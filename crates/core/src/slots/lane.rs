//! The two lanes of a pool whose traffic moves between versions.
//!
//! Slots of the new version's targets are asked for and handed out apart from the others, so that nobody
//! is given slots of a version whose turn it is not. To the owners and holders of slots, a lane is a pool.

use crate::catalogue::{Catalogue, TargetView};
use crate::prelude::*;

/// Marks the lane of the new version. Identities of pools are offsets and stay below it.
const NEW: u32 = 1 << 31;

/// Returns the lane of the targets that run the new version.
pub const fn new_lane(pool: PoolId) -> PoolId {
    PoolId(pool.0 | NEW)
}

/// Says whether a lane is that of the new version.
pub const fn is_new(lane: PoolId) -> bool {
    lane.0 & NEW != 0
}

/// Returns the pool to which a lane belongs.
pub const fn pool_of(lane: PoolId) -> PoolId {
    PoolId(lane.0 & !NEW)
}

/// Returns the lane of a target.
pub fn lane_of(catalogue: &Catalogue, view: &TargetView<'_>) -> Option<PoolId> {
    let (pool, _) = catalogue.pool_by_name(&view.entry.pool)?;
    let moving = catalogue.move_of(&view.entry.pool);
    let new = moving.is_some_and(|(_, entry)| entry.to == view.entry.version);
    Some(if new { new_lane(pool) } else { pool })
}
