//! Counters and latency histograms of a running experiment.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bulrushtrestle_core::cost::Cost;
use hdrhistogram::Histogram;

/// The highest latency that a histogram records, in microseconds. Higher values are recorded as this
/// one.
const LATENCY_MAX_US: u64 = 3_600_000_000;

/// The number of significant decimal digits of a histogram.
const LATENCY_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The complete answer arrived.
    Finished,
    /// The router refused the request.
    Refused(Refusal),
    /// The request got neither a complete answer nor a refusal.
    Failed(Failure),
}

/// Why a router refused a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Refusal {
    pub(super) reason: String,
    pub(super) verdict: String,
    /// Whether the refusal has a `Retry-After` header.
    pub(super) retry_after: bool,
}

/// The reason why a request got neither a complete answer nor a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Failure {
    /// No router accepted a connection.
    Connect,
    /// The connection broke.
    Broken,
    /// The answer ended before its end mark or its declared length.
    Truncated,
    /// The router reported a problem in the middle of the answer.
    Problem,
    /// The answer, or a part of it, belongs to another request.
    Crossed,
    /// Tokens were missing, duplicated or out of order.
    OutOfOrder,
    /// The response had this error status, and its body was not a refusal.
    Status(u16),
    /// The request was still in flight when the experiment stopped waiting for answers.
    Unfinished,
}

impl Failure {
    pub(super) fn name(self) -> String {
        match self {
            Self::Connect => "connect".to_owned(),
            Self::Broken => "broken".to_owned(),
            Self::Truncated => "truncated".to_owned(),
            Self::Problem => "problem".to_owned(),
            Self::Crossed => "crossed".to_owned(),
            Self::OutOfOrder => "out_of_order".to_owned(),
            Self::Status(status) => format!("status_{status}"),
            Self::Unfinished => "unfinished".to_owned(),
        }
    }
}

/// The counters and latencies of one organisation.
#[derive(Debug)]
pub(super) struct Counts {
    pub(super) sent: u64,
    pub(super) not_sent: u64,
    pub(super) finished: u64,
    pub(super) refused: BTreeMap<Refusal, u64>,
    pub(super) failed: BTreeMap<Failure, u64>,
    pub(super) tokens: u64,
    pub(super) service: Cost,
    pub(super) latency: Histogram<u64>,
    pub(super) first: Histogram<u64>,
    pub(super) between: Histogram<u64>,
    pub(super) refusal: Histogram<u64>,
    /// The intended starts of requests whose answer has not begun, by the number of the request.
    waiting: BTreeMap<u64, Instant>,
}

impl Counts {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
                .expect("the bounds are in range")
        };
        Self {
            sent: 0,
            not_sent: 0,
            finished: 0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            tokens: 0,
            service: Cost::ZERO,
            latency: histogram(),
            first: histogram(),
            between: histogram(),
            refusal: histogram(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns whether a request has waited at least `backlog` for the beginning of its answer.
    pub(super) fn is_backlogged(&self, now: Instant, backlog: Duration) -> bool {
        // Requests are numbered in the order of their intended starts.
        let oldest = self.waiting.first_key_value().map(|(_, &since)| since);
        oldest.is_some_and(|since| now.saturating_duration_since(since) >= backlog)
    }

    fn end(&mut self, outcome: &Outcome, after: Duration) {
        match outcome {
            Outcome::Finished => {
                self.finished += 1;
                record(&mut self.latency, after);
            }
            Outcome::Refused(refusal) => {
                *self.refused.entry(refusal.clone()).or_default() += 1;
                record(&mut self.refusal, after);
            }
            Outcome::Failed(failure) => *self.failed.entry(*failure).or_default() += 1,
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

/// The counters and latencies of all organisations.
#[derive(Debug)]
pub(super) struct Tally(Mutex<Vec<Counts>>);

impl Tally {
    pub(super) fn new(organisations: usize) -> Self {
        Self(Mutex::new(
            (0..organisations).map(|_| Counts::new()).collect(),
        ))
    }

    pub(super) fn counts(&self) -> MutexGuard<'_, Vec<Counts>> {
        self.0
            .lock()
            .expect("no thread panics while it holds this lock")
    }

    /// Counts a request that was not sent because too many requests were in flight.
    pub(super) fn count_not_sent(&self, organisation: usize) {
        self.counts()[organisation].not_sent += 1;
    }
}

/// The service that is charged for a request in addition to its answer tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    /// Charged with the first token: the cost of the prompt.
    pub(super) at_first: Cost,
    /// Charged when the request finishes: the run time of a plain call.
    pub(super) at_end: Cost,
}

/// One request in flight. A call that is dropped before `end` is called counts as unfinished.
#[derive(Debug)]
pub(super) struct Call {
    tally: Arc<Tally>,
    organisation: usize,
    number: u64,
    charge: Charge,
    intended: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_arrival: Option<Instant>,
    ended: bool,
}

impl Call {
    /// Counts a request as sent. Requests are numbered in the order of their intended starts.
    pub(super) fn start(
        tally: &Arc<Tally>,
        organisation: usize,
        number: u64,
        charge: Charge,
        intended: Instant,
    ) -> Self {
        {
            let counts = &mut tally.counts()[organisation];
            counts.sent += 1;
            counts.waiting.insert(number, intended);
        }
        Self {
            tally: Arc::clone(tally),
            organisation,
            number,
            charge,
            intended,
            state: Mutex::default(),
        }
    }

    /// Counts a token that has just arrived. The first token also charges the prompt.
    pub(super) fn on_token(&self) {
        let now = Instant::now();
        let last = self.state().last_arrival.replace(now);
        let counts = &mut self.tally.counts()[self.organisation];
        counts.tokens += 1;
        counts.service += Cost::TOKEN;
        match last {
            Some(last) => record(&mut counts.between, now - last),
            None => {
                counts.waiting.remove(&self.number);
                counts.service += self.charge.at_first;
                record(&mut counts.first, now - self.intended);
            }
        }
    }

    /// Records the beginning of an answer that has no tokens.
    pub(super) fn on_answer_start(&self) {
        let now = Instant::now();
        self.state().last_arrival = Some(now);
        let counts = &mut self.tally.counts()[self.organisation];
        counts.waiting.remove(&self.number);
        record(&mut counts.first, now - self.intended);
    }

    /// Counts the outcome of the request and records its latency.
    pub(super) fn end(&self, outcome: &Outcome) {
        self.state().ended = true;
        let now = Instant::now();
        let counts = &mut self.tally.counts()[self.organisation];
        counts.waiting.remove(&self.number);
        if *outcome == Outcome::Finished {
            counts.service += self.charge.at_end;
        }
        counts.end(outcome, now - self.intended);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.state().ended {
            self.end(&Outcome::Failed(Failure::Unfinished));
        }
    }
}
