//! Settings of the slot grants.

use crate::prelude::*;

/// Settings by which slots are granted.
#[derive(Debug, Clone)]
pub struct Config {
    /// The way in which routers share slots. Default: [`Policy::Leased`].
    pub policy: Policy,
    /// The time for which a grant may be used without a renewal. Default: 1.5 s.
    pub term: Duration,
    /// The greatest age of the figures in a target's report. Default: 1 s.
    pub report_lag: Duration,
    /// The time for which a holder keeps an idle slot that no router waits for. Default: 250 ms.
    pub idle: Duration,
    /// The distance above the floor at which a holder still reuses a slot. Default: 100 generated
    /// tokens.
    pub slack: Cost,
    /// The part of an owner's slots that it keeps free for urgent requests, in hundredths, rounded
    /// down. Default: 4.
    pub reserve_percent: u32,
    /// The time after the last urgent request for which an owner keeps the reserve. Default: 10 s.
    pub reserve_for: Duration,
    /// The distance above the floor at which a slot is still used for an urgent request. Default:
    /// 500 generated tokens.
    pub lead: Cost,
    /// The most slots of a pool that a holder requests at once. Default: 64.
    pub want: u32,
    /// The number of owners that a holder asks first. Default: 2.
    pub probes: usize,
    /// The time after which a holder asks more owners. Default: 1 ms.
    pub probe_wait: Duration,
    /// The most owners that a holder asks. Default: 16.
    pub fan_out: usize,
}

/// The ways of sharing slots. [`Leased`](Self::Leased) and [`Local`](Self::Local) are for use; the
/// others are baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Owners grant slots for a term, ordered by the ledger of the fleet.
    Leased,
    /// Every router has an equal part of each target, at least one slot.
    FixedSplit,
    /// Owners grant slots, but each router counts only the service that it gives itself.
    LocalLedger,
    /// Every request asks for a slot of its own, which is returned when the request ends.
    Forwarded,
    /// No slots are granted: each router chooses targets by its own load and that of its peers; see
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
            reserve_percent: 4,
            reserve_for: Duration::from_secs(10),
            lead: Cost::tokens(500),
            want: 64,
            probes: 2,
            probe_wait: Duration::from_millis(1),
            fan_out: 16,
        }
    }
}
