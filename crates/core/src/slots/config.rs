//! The settings of this duty.

use crate::prelude::*;

/// How slots are handed out.
#[derive(Debug, Clone)]
pub struct Config {
    /// The way in which slots are shared. Default: [`Policy::Leased`].
    pub policy: Policy,
    /// For how long a grant may be used without being renewed. Default: 1.5 s.
    pub term: Duration,
    /// The oldest figures in a target's report. Default: 1 s.
    pub report_lag: Duration,
    /// For how long a slot that nobody waits for is kept for the next request. Default: 250 ms.
    pub idle: Duration,
    /// How far above the floor a slot is still reused. Default: 100 generated tokens.
    pub slack: Cost,
    /// The part of an owner's slots that it keeps free for urgent requests, in hundredths, rounded down.
    /// Default: 4.
    pub reserve: u32,
    /// For how long after the last urgent request it does so. Default: 10 s.
    pub reserve_for: Duration,
    /// How far above the floor a slot is still used for an urgent request. Default: 500 generated tokens.
    pub lead: Cost,
    /// The most slots that are asked for at once. Default: 64.
    pub want: u32,
    /// How many owners are asked first. Default: 2.
    pub probes: usize,
    /// The wait before more owners are asked. Default: 1 ms.
    pub probe_wait: Duration,
    /// The most owners that are asked. Default: 16.
    pub fan_out: usize,
}

/// The ways of sharing slots. All but the first and the last serve to be measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Owners hand out slots for a term, ordered by the ledger of the fleet.
    Leased,
    /// Every router has an equal part of each target, at least one slot.
    FixedSplit,
    /// Owners hand out slots, but each router counts only the service that it gives itself.
    LocalLedger,
    /// Every request asks for a slot of its own, which is given back when the request ends.
    Forwarded,
    /// Nobody hands out slots: each router chooses by what it and its peers have at targets; see
    /// [`balance`](crate::balance).
    Local,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::Leased,
            term: Duration::from_millis(1_500),
            report_lag: Duration::from_secs(1),
            idle: Duration::from_millis(250),
            slack: Cost::tokens(100),
            reserve: 4,
            reserve_for: Duration::from_secs(10),
            lead: Cost::tokens(500),
            want: 64,
            probes: 2,
            probe_wait: Duration::from_millis(1),
            fan_out: 16,
        }
    }
}
