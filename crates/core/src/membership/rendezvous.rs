//! Rendezvous hashing: each key ranks all routers, and the highest-ranked live router is
//! responsible.

use core::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::RouterId;

/// Returns the routers in the order of their rank for `key`, highest first.
///
/// A router that joins or leaves does not change the relative order of the others.
pub fn ranking(key: u64, routers: impl IntoIterator<Item = RouterId>) -> Vec<RouterId> {
    let mut ranked: Vec<RouterId> = routers.into_iter().collect();
    ranked.sort_by_cached_key(|&router| Reverse((score(key, router), router)));
    ranked
}

/// Returns the highest-ranked router for `key`, or `None` if there are no routers.
pub fn owner(key: u64, routers: impl IntoIterator<Item = RouterId>) -> Option<RouterId> {
    routers
        .into_iter()
        .max_by_key(|&router| (score(key, router), router))
}

/// Returns the `count` highest-ranked routers for `key`, highest first, without sorting the others.
pub fn best(key: u64, routers: impl IntoIterator<Item = RouterId>, count: usize) -> Vec<RouterId> {
    let mut best: Vec<(u64, RouterId)> = Vec::with_capacity(count + 1);
    for router in routers {
        let scored = (score(key, router), router);
        if best.len() == count && best.last().is_some_and(|last| *last > scored) {
            continue;
        }
        let rank = best.partition_point(|other| *other > scored);
        best.insert(rank, scored);
        best.truncate(count);
    }
    best.into_iter().map(|(_, router)| router).collect()
}

/// Returns whether `router` is among the `count` highest-ranked `routers` for `key`. Stops as soon as
/// enough others rank higher, after a number of routers that hardly depends on how many there are.
pub(super) fn is_among_best(
    key: u64,
    router: RouterId,
    routers: impl IntoIterator<Item = RouterId>,
    count: usize,
) -> bool {
    let own = (score(key, router), router);
    let higher = routers
        .into_iter()
        .filter(|&other| (score(key, other), other) > own);
    higher.take(count).count() < count
}

fn score(key: u64, router: RouterId) -> u64 {
    xxh3_64_with_seed(&router.0.to_le_bytes(), key)
}
