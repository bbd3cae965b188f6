//! Settings of the search for parts of prompts that crash targets.

use crate::prelude::*;

/// The settings for suspecting, barring and trying parts of prompts.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long a break is held back before it counts, and the time within which breaks of several
    /// targets count as one event. Default: 100 ms.
    pub hold: Duration,
    /// The number of targets that break within `hold` from which the cause is not a request.
    /// Default: 3.
    pub common_cause_min: usize,
    /// The time for which an answer may have flowed when its target breaks if its request may be
    /// the cause. Default: 100 ms.
    pub risk: Duration,
    /// The time after which an answer that still flows clears the parts of its prompt. Default:
    /// 250 ms.
    pub sound_after: Duration,
    /// How long an answer that this router saw keeps the parts of its prompt from being suspected, so
    /// that parts in frequent use need no messages. Default: 2 s.
    pub vouch_for: Duration,
    /// The age from which a crash counts towards a bar, so that the news of answers that clear its
    /// parts arrives first, also over relays. Default: 500 ms.
    pub hearing: Duration,
    /// The time within which breaks of one target are the same crash: a target that crashed is back
    /// after some seconds. Default: 2 s.
    pub same_crash: Duration,
    /// The time within which crashes of one target that peers report are the same crash: their
    /// reports may be late. Default: 10 s.
    pub same_report: Duration,
    /// The fewest crashes in a row for which a part is barred. Default: 3.
    pub run_min: usize,
    /// The probability below which chance does not explain a run of crashes. Default: 1 in 10,000.
    pub chance_max: f64,
    /// How long a part is barred for the first time. The time doubles with each failed trial.
    /// Default: 30 s.
    pub bar_for: Duration,
    /// The longest time for which a part is barred without a trial. Default: 10 min.
    pub bar_max: Duration,
    /// How long a trial may take until another is allowed. Default: 5 s.
    pub trial_term: Duration,
    /// The time after which a permit for a trial is requested again. Default: 1 s.
    pub permit_retry: Duration,
    /// How long a suspicion is remembered after the last crash, and a bar after it has run out.
    /// Default: 10 min.
    pub remember_for: Duration,
    /// The interval at which bars are sent again, for routers that were cut off. Default: 1 s.
    pub repeat: Duration,
    /// The maximum number of suspected parts. Default: 512.
    pub parts_max: usize,
    /// The maximum number of parts that are remembered as cleared. Default: 4096.
    pub sound_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(100),
            common_cause_min: 3,
            risk: Duration::from_millis(100),
            sound_after: Duration::from_millis(250),
            vouch_for: Duration::from_secs(2),
            hearing: Duration::from_millis(500),
            same_crash: Duration::from_secs(2),
            same_report: Duration::from_secs(10),
            run_min: 3,
            chance_max: 1e-4,
            bar_for: Duration::from_secs(30),
            bar_max: Duration::from_secs(600),
            trial_term: Duration::from_secs(5),
            permit_retry: Duration::from_secs(1),
            remember_for: Duration::from_secs(600),
            repeat: Duration::from_secs(1),
            parts_max: 512,
            sound_max: 4_096,
        }
    }
}
