//! The slots that are in use.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The slots that this router uses at each target.
#[derive(Debug, Default)]
pub struct Slots {
    used: BTreeMap<TargetId, u32>,
}

impl Slots {
    /// Returns slots of which none is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many slots of a target this router uses.
    pub fn used(&self, target: TargetId) -> u32 {
        self.used.get(&target).copied().unwrap_or(0)
    }

    /// Takes a slot.
    pub fn take(&mut self, target: TargetId) {
        *self.used.entry(target).or_default() += 1;
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, target: TargetId) {
        if let Some(used) = self.used.get_mut(&target) {
            *used = used.saturating_sub(1);
        }
    }
}
