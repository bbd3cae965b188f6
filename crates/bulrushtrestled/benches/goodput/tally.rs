//! What became of the requests of one step.

use std::time::Duration;

use crate::callers::{End, Try};

/// The time within which an answer has to begin to earn its full worth, as for the users' most frequent requests.
const AIM: Duration = Duration::from_millis(400);

/// Counts of one step, and times.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Requests that were offered, however often each was sent.
    offered: u32,
    in_time: u32,
    answered: u32,
    /// Tries that the router refused, that the kernel refused, that the kernel let wait, and that the router did not read.
    refused: u32,
    not_connected: u32,
    dropped: u32,
    unread: u32,
    /// Tries that failed, or that the caller's time ended.
    lost: u32,
    waits: Vec<Duration>,
    refusals: Vec<Duration>,
    /// After how long callers knew that a try was in vain.
    learnt: Vec<Duration>,
}

impl Tally {
    /// Adds all tries of one request.
    pub(crate) fn add(&mut self, tries: &[Try]) {
        self.offered += 1;
        for one in tries {
            match one.end {
                End::Answered(wait) => {
                    self.answered += 1;
                    self.in_time += u32::from(wait <= AIM);
                    self.waits.push(wait);
                    continue;
                }
                End::Refused(_) => {
                    self.refused += 1;
                    self.refusals.push(one.took);
                }
                End::NotConnected | End::Closed => self.not_connected += 1,
                End::Dropped => self.dropped += 1,
                End::Unread => self.unread += 1,
                End::Failed | End::Late => self.lost += 1,
            }
            self.learnt.push(one.took);
        }
    }

    /// Returns the figures of a step that took `time`, of which the process used `used`.
    pub(crate) fn figures(mut self, time: Duration, used: Duration) -> Figures {
        let rate = |count: u32| f64::from(count) / time.as_secs_f64();
        Figures {
            offered: rate(self.offered),
            in_time: rate(self.in_time),
            answered: rate(self.answered),
            refused: rate(self.refused),
            not_connected: rate(self.not_connected),
            dropped: rate(self.dropped),
            unread: rate(self.unread),
            lost: rate(self.lost),
            used_us: used.as_secs_f64() * 1e6 / f64::from(self.answered.max(1)),
            cores: used.as_secs_f64() / time.as_secs_f64(),
            wait_ms: median_ms(&mut self.waits),
            refusal_ms: median_ms(&mut self.refusals),
            learnt_ms: median_ms(&mut self.learnt),
        }
    }
}

/// What a step shows: rates in a second, the processor time of an answer, and medians.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Figures {
    pub(crate) offered: f64,
    pub(crate) in_time: f64,
    pub(crate) answered: f64,
    pub(crate) refused: f64,
    pub(crate) not_connected: f64,
    pub(crate) dropped: f64,
    pub(crate) unread: f64,
    pub(crate) lost: f64,
    pub(crate) used_us: f64,
    pub(crate) cores: f64,
    pub(crate) wait_ms: Option<f64>,
    pub(crate) refusal_ms: Option<f64>,
    pub(crate) learnt_ms: Option<f64>,
}

impl Figures {
    /// Prints the names of the columns.
    pub(crate) fn print_names() {
        println!(
            "{:>18} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6} {:>8} {:>10} {:>9}",
            "a second:",
            "offered",
            "in time",
            "answered",
            "refused",
            "kernel",
            "dropped",
            "unread",
            "lost",
            "us each",
            "cores",
            "wait ms",
            "refusal ms",
            "learnt ms",
        );
    }

    /// Prints a row.
    pub(crate) fn print(&self, name: &str) {
        let text = |ms: Option<f64>| ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.0}"));
        println!(
            "{name:>18} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>6.3} {:>8} {:>10} {:>9}",
            self.offered,
            self.in_time,
            self.answered,
            self.refused,
            self.not_connected,
            self.dropped,
            self.unread,
            self.lost,
            self.used_us,
            self.cores,
            text(self.wait_ms),
            text(self.refusal_ms),
            text(self.learnt_ms),
        );
    }
}

fn median_ms(times: &mut [Duration]) -> Option<f64> {
    times.sort_unstable();
    let middle = times.get(times.len() / 2)?;
    Some(middle.as_secs_f64() * 1e3)
}
