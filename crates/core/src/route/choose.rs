//! The choice of a target among candidates.

use crate::prelude::*;

/// The load that a cached prefix outweighs, in thousandths of a target's slots.
const PREFIX_WEIGHT: u64 = 300;
/// The load that a target in another data centre of the same region counts as, in thousandths of a
/// target's slots.
const REGION_WEIGHT: u64 = 20;
/// The load that a target in another region counts as, in thousandths of a target's slots.
const FAR_WEIGHT: u64 = 250;

/// A target that may take the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Slots of the target that this router uses.
    pub used: u32,
    /// Slots of the target that this router may use.
    pub part: u32,
    /// How far the target is from this router.
    pub distance: Distance,
}

/// How far a target is from this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// The target is in the same data centre.
    Near,
    /// The target is in another data centre of the same region.
    Region,
    /// The target is in another region.
    Far,
}

/// Returns the candidate with a free slot and the lowest relative load, with a bonus for `holders`
/// of the request's prefix and for short distances.
///
/// Load is relative to the slots that the router may use, so that a cold target with one free slot
/// is tried before a warm one that is half full. Among equals the `salt` decides, so that routers
/// and requests spread over the targets.
///
/// # Examples
///
/// ```
/// use bulrushtrestle_core::key::TargetId;
/// use bulrushtrestle_core::route::{Candidate, Distance, choose};
///
/// let busy = Candidate { target: TargetId(1), used: 4, part: 8, distance: Distance::Near };
/// let idle = Candidate { target: TargetId(2), used: 0, part: 1, distance: Distance::Region };
/// assert_eq!(choose([busy, idle], &[], 0), Some(TargetId(2)));
/// assert_eq!(choose([busy], &[TargetId(2)], 0), Some(TargetId(1)));
/// ```
pub fn choose(
    candidates: impl IntoIterator<Item = Candidate>,
    holders: &[TargetId],
    salt: u64,
) -> Option<TargetId> {
    candidates
        .into_iter()
        .filter(|candidate| candidate.used < candidate.part)
        .min_by_key(|candidate| (score(candidate, holders), tie_break(candidate.target, salt)))
        .map(|candidate| candidate.target)
}

fn score(candidate: &Candidate, holders: &[TargetId]) -> u64 {
    let load = u64::from(candidate.used) * 1_000 / u64::from(candidate.part.max(1));
    let distance = match candidate.distance {
        Distance::Near => 0,
        Distance::Region => REGION_WEIGHT,
        Distance::Far => FAR_WEIGHT,
    };
    let missing = if holders.contains(&candidate.target) {
        0
    } else {
        PREFIX_WEIGHT
    };
    load + distance + missing
}

/// Returns the sort key of a target among equals; the order differs from salt to salt.
fn tie_break(target: TargetId, salt: u64) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    (u64::from(target.0) ^ salt.wrapping_mul(ODD)).wrapping_mul(ODD) >> 16
}
