//! Which targets hold which prompt prefixes, as far as late and incomplete events show.

use std::collections::{BTreeMap, VecDeque};

use crate::input::CacheEvent;
use crate::prelude::*;

/// The most prefixes remembered per target.
const PER_TARGET_MAX: usize = 256;
/// The most pairs of prefix and target remembered in total.
const TOTAL_MAX: usize = 32_768;

/// The prompt prefixes that targets are believed to hold.
#[derive(Debug, Default)]
pub struct Prefixes {
    holders: BTreeMap<Fingerprint, Vec<TargetId>>,
    /// The prefixes of each target, the oldest first.
    held: BTreeMap<TargetId, VecDeque<Fingerprint>>,
    total: usize,
}

impl Prefixes {
    /// Returns an empty set of prefixes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the targets that are believed to hold a prefix.
    pub fn holders(&self, prefix: Option<Fingerprint>) -> &[TargetId] {
        prefix
            .and_then(|prefix| self.holders.get(&prefix))
            .map_or(&[], Vec::as_slice)
    }

    /// Applies events of a target's cache.
    pub fn on_events(&mut self, target: TargetId, events: &[CacheEvent]) {
        for event in events {
            match *event {
                CacheEvent::Stored(prefix) => self.store(target, prefix),
                CacheEvent::Evicted(prefix) => self.evict(target, prefix),
                CacheEvent::Gap => self.forget(target),
            }
        }
    }

    /// Records that a target holds a prefix, or will hold it once the request that carries the
    /// prefix has started.
    pub fn store(&mut self, target: TargetId, prefix: Fingerprint) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(&target) {
            return;
        }
        holders.push(target);
        let held = self.held.entry(target).or_default();
        held.push_back(prefix);
        self.total += 1;
        let oldest = (held.len() > PER_TARGET_MAX).then(|| held[0]);
        if let Some(oldest) = oldest {
            self.evict(target, oldest);
        }
        if self.total > TOTAL_MAX {
            self.shrink();
        }
    }

    /// Forgets everything about a target's cache.
    pub fn forget(&mut self, target: TargetId) {
        for prefix in self.held.remove(&target).unwrap_or_default() {
            self.total -= 1;
            self.remove_holder(target, prefix);
        }
    }

    /// Returns how many pairs of prefix and target are remembered.
    pub const fn len(&self) -> usize {
        self.total
    }

    /// Says whether no pairs are remembered.
    pub const fn is_empty(&self) -> bool {
        self.total == 0
    }

    fn evict(&mut self, target: TargetId, prefix: Fingerprint) {
        let Some(held) = self.held.get_mut(&target) else {
            return;
        };
        let before = held.len();
        held.retain(|other| *other != prefix);
        if held.len() < before {
            self.total -= 1;
            self.remove_holder(target, prefix);
        }
    }

    fn remove_holder(&mut self, target: TargetId, prefix: Fingerprint) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|other| *other != target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Drops the older half of each target's prefixes. Dropping half at a time keeps this work
    /// rare.
    fn shrink(&mut self) {
        let halves = self.held.iter_mut().map(|(&target, held)| {
            let half = held.len().div_ceil(2);
            (target, held.drain(..half).collect::<Vec<_>>())
        });
        for (target, prefixes) in halves.collect::<Vec<_>>() {
            self.total -= prefixes.len();
            for prefix in prefixes {
                self.remove_holder(target, prefix);
            }
        }
    }
}
