//! Which parts of prompts targets hold, as far as this router and its peers have sent them there.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// The most parts that are remembered over all targets, about 100 bytes each.
const PARTS_MAX: usize = 40_000;

/// A part together with all parts before it, because it is of use only behind them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Chain(u64);

/// When each part was last sent to each target, by any router as far as is known.
#[derive(Debug, Default)]
pub struct Holdings {
    used: BTreeMap<Chain, Vec<(TargetId, Time)>>,
    /// How many pairs of part and target are remembered.
    pairs: usize,
    /// What is remembered, the oldest first; entries that were used again since are passed over.
    order: VecDeque<(Time, Chain, TargetId)>,
}

impl Holdings {
    /// Notes that a part went to a target.
    pub fn note(&mut self, now: Time, target: TargetId, chain: Chain) {
        let holders = self.used.entry(chain).or_default();
        match holders.iter_mut().find(|(other, _)| *other == target) {
            Some((_, used)) => *used = now.max(*used),
            None => {
                holders.push((target, now));
                self.pairs += 1;
            }
        }
        self.order.push_back((now, chain, target));
        while self.pairs > PARTS_MAX || self.order.len() > 2 * PARTS_MAX {
            self.forget_oldest();
        }
    }

    /// Returns the targets to which a part was sent at or after `since`.
    pub fn holders(&self, since: Time, chain: Chain) -> impl Iterator<Item = TargetId> {
        let holders = self.used.get(&chain).map_or(&[][..], Vec::as_slice);
        let fresh = holders.iter().filter(move |(_, used)| *used >= since);
        fresh.map(|(target, _)| *target)
    }

    /// Forgets all that a target held.
    pub fn forget(&mut self, target: TargetId) {
        let pairs = &mut self.pairs;
        self.used.retain(|_, holders| {
            let before = holders.len();
            holders.retain(|(other, _)| *other != target);
            *pairs -= before - holders.len();
            !holders.is_empty()
        });
    }

    /// Returns how many pairs of part and target are remembered.
    pub const fn len(&self) -> usize {
        self.pairs
    }

    /// Says whether nothing is remembered.
    pub const fn is_empty(&self) -> bool {
        self.pairs == 0
    }

    fn forget_oldest(&mut self) {
        let Some((at, chain, target)) = self.order.pop_front() else {
            return;
        };
        let Some(holders) = self.used.get_mut(&chain) else {
            return;
        };
        let before = holders.len();
        holders.retain(|&pair| pair != (target, at));
        self.pairs -= before - holders.len();
        if holders.is_empty() {
            self.used.remove(&chain);
        }
    }
}

/// Returns the parts that other requests may share, each with its tokens.
pub(super) fn shared(parts: &[PromptPart]) -> impl Iterator<Item = (Chain, u32)> {
    let count = parts.len().saturating_sub(1);
    parts[..count].iter().scan(0, |before, part| {
        *before = xxh3_64_with_seed(&part.content.0.to_le_bytes(), *before);
        Some((Chain(*before), part.tokens))
    })
}

impl Chain {
    /// Returns the key by which routers agree on who is presumed to hold the part.
    pub const fn key(self) -> u64 {
        self.0
    }
}
