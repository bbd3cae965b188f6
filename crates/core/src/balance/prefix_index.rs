//! Index of the prompt prefixes that each target is presumed to cache.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// The most pairs of prefix and target in the index, about 100 bytes each.
const PAIRS_MAX: usize = 40_000;

/// Hash of a prompt part and all parts before it. A cached part can be used only if the same parts
/// precede it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixHash(u64);

/// When each prefix was last sent to each target, by this router or by a peer that reported the
/// prefix.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    last_sent: BTreeMap<PrefixHash, Vec<(TargetId, Time)>>,
    /// The number of pairs of prefix and target in the index.
    pairs: usize,
    /// All recorded sends, oldest first. An entry that was superseded by a later send evicts
    /// nothing.
    by_age: VecDeque<(Time, PrefixHash, TargetId)>,
}

impl PrefixIndex {
    /// Records that a prefix was sent to a target.
    pub fn record(&mut self, now: Time, target: TargetId, prefix: PrefixHash) {
        let holders = self.last_sent.entry(prefix).or_default();
        match holders.iter_mut().find(|(other, _)| *other == target) {
            Some((_, sent)) => *sent = now.max(*sent),
            None => {
                holders.push((target, now));
                self.pairs += 1;
            }
        }
        self.by_age.push_back((now, prefix, target));
        while self.pairs > PAIRS_MAX || self.by_age.len() > 2 * PAIRS_MAX {
            self.evict_oldest();
        }
    }

    /// Returns the targets to which a prefix was sent at or after `since`.
    pub fn holders(&self, since: Time, prefix: PrefixHash) -> impl Iterator<Item = TargetId> {
        let holders = self.last_sent.get(&prefix).map_or(&[][..], Vec::as_slice);
        let fresh = holders.iter().filter(move |(_, sent)| *sent >= since);
        fresh.map(|(target, _)| *target)
    }

    /// Removes all prefixes of a target.
    pub fn remove_target(&mut self, target: TargetId) {
        let pairs = &mut self.pairs;
        self.last_sent.retain(|_, holders| {
            let before = holders.len();
            holders.retain(|(other, _)| *other != target);
            *pairs -= before - holders.len();
            !holders.is_empty()
        });
    }

    /// Returns the number of pairs of prefix and target in the index.
    pub const fn len(&self) -> usize {
        self.pairs
    }

    /// Returns whether the index has no pairs.
    pub const fn is_empty(&self) -> bool {
        self.pairs == 0
    }

    fn evict_oldest(&mut self) {
        let Some((at, prefix, target)) = self.by_age.pop_front() else {
            return;
        };
        let Some(holders) = self.last_sent.get_mut(&prefix) else {
            return;
        };
        let before = holders.len();
        holders.retain(|&pair| pair != (target, at));
        self.pairs -= before - holders.len();
        if holders.is_empty() {
            self.last_sent.remove(&prefix);
        }
    }
}

/// Returns the prefixes that other requests may share, each with the tokens of its last part. The
/// last part of a prompt is taken as unique to the request.
pub(super) fn shared_prefixes(parts: &[PromptPart]) -> impl Iterator<Item = (PrefixHash, u32)> {
    let count = parts.len().saturating_sub(1);
    parts[..count].iter().scan(0, |before, part| {
        *before = xxh3_64_with_seed(&part.content.0.to_le_bytes(), *before);
        Some((PrefixHash(*before), part.tokens))
    })
}

impl PrefixHash {
    /// Returns the rendezvous key of the prefix, by which routers agree on its presumed holder.
    pub const fn key(self) -> u64 {
        self.0
    }
}
