//! What one attempt has been charged.

use crate::prelude::*;

/// The charges of one attempt: a little at the start, then what it uses beyond that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeAccount {
    /// What was used.
    used: Cost,
    /// What was charged.
    charged: Cost,
}

impl ChargeAccount {
    /// Returns the bill of an attempt that uses `used` at once and is charged at least `minimum`, with
    /// what is to be charged now.
    pub fn open(used: Cost, minimum: Cost) -> (Self, Cost) {
        let charged = used.max(minimum);
        (Self { used, charged }, charged)
    }

    /// Notes that `cost` was used and returns what is to be charged now.
    pub fn add(&mut self, cost: Cost) -> Cost {
        self.used += cost;
        let due = self.used.saturating_sub(self.charged);
        self.charged += due;
        due
    }

    /// Returns what was charged and not used.
    pub const fn unused(&self) -> Cost {
        self.charged.saturating_sub(self.used)
    }
}
