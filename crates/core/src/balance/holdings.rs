//! Which parts of prompts targets hold, as far as this router has sent them there.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// The most parts that are remembered over all targets, about 100 bytes each.
const PARTS_MAX: usize = 40_000;

/// A part together with all parts before it, because it is of use only behind them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Chain(u64);

/// When each part was last sent to each target.
#[derive(Debug, Default)]
pub struct Holdings {
    used: BTreeMap<(Chain, TargetId), Time>,
    /// What is remembered, the oldest first; entries that were used again since are passed over.
    order: VecDeque<(Time, Chain, TargetId)>,
}

impl Holdings {
    /// Notes that a request with these parts went to a target. The last part is the request's own and is
    /// not noted.
    pub fn note(&mut self, now: Time, target: TargetId, parts: &[PromptPart]) {
        for (chain, _) in shared(parts) {
            self.used.insert((chain, target), now);
            self.order.push_back((now, chain, target));
        }
        while self.used.len() > PARTS_MAX || self.order.len() > 2 * PARTS_MAX {
            self.forget_oldest();
        }
    }

    /// Says whether a target was sent a part at or after `since`.
    pub fn has(&self, since: Time, chain: Chain, target: TargetId) -> bool {
        self.used
            .get(&(chain, target))
            .is_some_and(|&used| used >= since)
    }

    /// Forgets all that a target held.
    pub fn forget(&mut self, target: TargetId) {
        self.used.retain(|(_, other), _| *other != target);
    }

    /// Returns how many pairs of part and target are remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Says whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn forget_oldest(&mut self) {
        let Some((at, chain, target)) = self.order.pop_front() else {
            return;
        };
        if self.used.get(&(chain, target)) == Some(&at) {
            self.used.remove(&(chain, target));
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
