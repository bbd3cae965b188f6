//! Settings of the quarantine.

use core::time::Duration;

/// What shows whether a target at which a connection broke has crashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Evidence {
    /// Targets report their load and uptime. A suspect is tried alone on a target.
    #[default]
    Reports,
    /// Targets report neither. Their answers on other connections and the records that they write
    /// show whether they stayed up, and no target can be kept free for a trial.
    Answers,
}

/// The settings for finding, trying and quarantining suspects.
#[derive(Debug, Clone)]
pub struct Config {
    /// What shows whether a target has crashed. Default: reports.
    pub evidence: Evidence,
    /// How long a request is a suspect after a crash of its target. Default: 10 min.
    pub suspect_for: Duration,
    /// How long a request is quarantined after it crashed a target on which it ran alone.
    /// Default: 1 h.
    pub quarantine_for: Duration,
    /// The longest time between the creation of a target's report and its arrival. Default: 1 s.
    pub report_lag: Duration,
    /// The time after a broken connection after which the target counts as crashed if it has not
    /// reported, and the age up to which a reported load is used. Default: 5 s.
    pub report_timeout: Duration,
    /// Without reports, how long after a connection broke an event may still tell of data that
    /// arrived before: the progress of answers is told every 150 ms. Default: 200 ms.
    pub answer_lag: Duration,
    /// Without reports, the shortest time for which a target that crashed answers nothing.
    /// Default: 1 s.
    pub downtime_min: Duration,
    /// Without reports, how long after a connection broke a record may still arrive that the target
    /// wrote before: the delay of the store plus the interval at which targets write. Default: 2 s.
    pub record_lag: Duration,
    /// Without reports, the number of crashes from which a request is a suspect. Default: 2.
    pub crashes_min: usize,
    /// Without reports, how long a suspect is held after its last crash for evidence that clears
    /// it, before it is refused. Default: 500 ms.
    pub hold: Duration,
    /// The number of targets that must crash within `storm_window` for the crashes to be attributed
    /// to a cause other than requests. Default: 4.
    pub storm_min: usize,
    /// The time within which crashes of several targets count as one event. Default: 2 s.
    pub storm_window: Duration,
    /// How long a permit or a reservation is valid. Default: 12 s.
    pub term: Duration,
    /// The interval at which a permit and a reservation are renewed. Default: 4 s.
    pub renewal: Duration,
    /// The time after which a permit that was not granted is requested again. Default: 1 s.
    pub permit_retry: Duration,
    /// The interval at which all entries are sent to the partners. Default: 30 s.
    pub exchange: Duration,
    /// The maximum number of entries, and also of permits and of reservations. Default: 1000.
    pub entries_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            evidence: Evidence::Reports,
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(3_600),
            report_lag: Duration::from_secs(1),
            report_timeout: Duration::from_secs(5),
            answer_lag: Duration::from_millis(200),
            downtime_min: Duration::from_secs(1),
            record_lag: Duration::from_secs(2),
            crashes_min: 2,
            hold: Duration::from_millis(500),
            storm_min: 4,
            storm_window: Duration::from_secs(2),
            term: Duration::from_secs(12),
            renewal: Duration::from_secs(4),
            permit_retry: Duration::from_secs(1),
            exchange: Duration::from_secs(30),
            entries_max: 1_000,
        }
    }
}
