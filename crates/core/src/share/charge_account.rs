//! The charges of one attempt.

use crate::prelude::*;

/// The charges of one attempt: a minimum at the start, then what the attempt uses beyond the
/// minimum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeAccount {
    used: Cost,
    charged: Cost,
}

impl ChargeAccount {
    /// Returns the account of an attempt that uses `used` at once and is charged at least
    /// `minimum`, and the amount to charge now.
    pub fn open(used: Cost, minimum: Cost) -> (Self, Cost) {
        let charged = used.max(minimum);
        (Self { used, charged }, charged)
    }

    /// Records that `cost` was used and returns the amount to charge now.
    pub fn add(&mut self, cost: Cost) -> Cost {
        self.used += cost;
        let due = self.used.saturating_sub(self.charged);
        self.charged += due;
        due
    }

    /// Returns the amount that was charged and not used.
    pub const fn unused(&self) -> Cost {
        self.charged.saturating_sub(self.used)
    }
}
