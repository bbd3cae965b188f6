//! The settings of the quarantine.

use core::time::Duration;

/// How suspects are found and tried.
#[derive(Debug, Clone)]
pub struct Config {
    /// For how long a request that was at a crash is suspected. Default: 10 min.
    pub suspect_for: Duration,
    /// For how long a request that crashed a target alone is not run. Default: 1 h.
    pub quarantine_for: Duration,
    /// By how much the report of a target may lag. Default: 1 s.
    pub report_lag: Duration,
    /// The silence after a break after which a target counts as crashed. Default: 5 s.
    pub silence: Duration,
    /// How many targets have to crash within `storm_window` to put it down to something else than
    /// requests. Default: 4.
    pub storm: usize,
    /// The time within which crashes count as one event. Default: 2 s.
    pub storm_window: Duration,
    /// For how long a permit and a reservation hold. Default: 12 s.
    pub term: Duration,
    /// The time between two renewals of a permit and a reservation. Default: 4 s.
    pub renewal: Duration,
    /// The wait before a permit that was not given is asked for again. Default: 1 s.
    pub ask_again: Duration,
    /// The time between two exchanges of all entries with partners. Default: 30 s.
    pub exchange: Duration,
    /// The most entries that are kept. Default: 1000.
    pub entries_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(3_600),
            report_lag: Duration::from_secs(1),
            silence: Duration::from_secs(5),
            storm: 4,
            storm_window: Duration::from_secs(2),
            term: Duration::from_secs(12),
            renewal: Duration::from_secs(4),
            ask_again: Duration::from_secs(1),
            exchange: Duration::from_secs(30),
            entries_max: 1_000,
        }
    }
}
