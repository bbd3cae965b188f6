//! The two lanes of a pool whose traffic moves between versions.
//!
//! Slots of the new version's targets are requested and granted apart from the others, so that no
//! router receives slots of a version whose turn it is not. Owners and holders treat a lane like a
//! pool.

use crate::catalogue::{Catalogue, TargetView};
use crate::prelude::*;

/// The bit of a pool id that marks the lane of the new version. Ids of pools are log offsets below
/// this bit.
const NEW_BIT: u32 = 1 << 31;

/// Returns the lane of the targets that run the new version.
pub const fn new_lane(pool: PoolId) -> PoolId {
    PoolId(pool.0 | NEW_BIT)
}

/// Returns whether a lane is that of the new version.
pub const fn is_new(lane: PoolId) -> bool {
    lane.0 & NEW_BIT != 0
}

/// Returns the pool to which a lane belongs.
pub const fn pool_of(lane: PoolId) -> PoolId {
    PoolId(lane.0 & !NEW_BIT)
}

/// Returns the lane of a target.
pub fn lane_of(catalogue: &Catalogue, view: &TargetView<'_>) -> Option<PoolId> {
    let (pool, _) = catalogue.pool_by_name(&view.entry.pool)?;
    let moving = catalogue.move_of(&view.entry.pool);
    let new = moving.is_some_and(|(_, entry)| entry.to == view.entry.version);
    Some(if new { new_lane(pool) } else { pool })
}
