//! The parts of prompts that targets answered recently.

use std::collections::BTreeMap;

use crate::poison::message::PartKey;
use crate::prelude::*;

/// When targets last answered on each part, as this router saw it. Bounded: the parts that were
/// not answered for the longest time are forgotten, half of all at a time.
#[derive(Debug)]
pub struct SoundParts {
    generation_max: usize,
    recent: BTreeMap<PartKey, Time>,
    older: BTreeMap<PartKey, Time>,
}

impl SoundParts {
    /// Returns an empty list for at most `parts_max` parts.
    pub const fn new(parts_max: usize) -> Self {
        Self {
            generation_max: parts_max / 2,
            recent: BTreeMap::new(),
            older: BTreeMap::new(),
        }
    }

    /// Records that a target answered a request with a part.
    pub fn insert(&mut self, now: Time, key: PartKey) {
        if self.recent.len() >= self.generation_max && !self.recent.contains_key(&key) {
            self.older = core::mem::take(&mut self.recent);
        }
        self.recent.insert(key, now);
    }

    /// Returns when a target last answered a request with a part.
    pub fn last(&self, key: PartKey) -> Option<Time> {
        let recent = self.recent.get(&key);
        recent.or_else(|| self.older.get(&key)).copied()
    }

    /// Returns the number of remembered parts.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.older.is_empty()
    }
}
