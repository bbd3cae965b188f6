//! Accounting of the running time of the process's threads by stage.
//!
//! The running time of a thread counts for the innermost stage that the thread is in, so the stages
//! of a thread add up to its running time. Stages are measured in wall-clock time: if threads share
//! a core, a stage includes the time for which other threads ran.

use std::cell::Cell;
use std::fmt::Write;
use std::future::poll_fn;
use std::marker::PhantomData;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use prometheus::{Counter, CounterVec, Histogram, IntCounter, Opts, Registry};

use super::{Edge, Metrics, counter_vec};

macro_rules! stages {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// A kind of work to which the running time of a thread is attributed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(crate) enum Stage {
            $($(#[$doc])* $name,)*
        }

        impl Stage {
            /// Every stage, in the order of declaration.
            const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable name of the stage.
            const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

stages! {
    /// Accepting connections.
    Accept = "accept";
    /// Reading heads from connections and writing answers to them.
    Connection = "connection";
    /// Reading a body and handing the request over to the control thread.
    Admit = "admit";
    /// Refusing a request that was not handed over.
    Refuse = "refuse";
    /// Carrying out decisions: sending requests to targets and forwarding their answers.
    Relay = "relay";
    /// Reading from and writing to connections to targets.
    Target = "target";
    /// Writing a log line about a request.
    Log = "log";
    /// The control thread: timers.
    ControlTimer = "control_timer";
    /// The control thread: frames from peers.
    ControlPeer = "control_peer";
    /// The control thread: records read from the store.
    ControlStore = "control_store";
    /// The control thread: requests that arrive.
    ControlRequest = "control_request";
    /// The control thread: starts and ends of attempts.
    ControlAttempt = "control_attempt";
    /// The control thread: the load that targets report.
    ControlLoad = "control_load";
    /// The control thread: progress of answers.
    ControlProgress = "control_progress";
    /// The control thread: cancelled requests, and the stop of the process.
    ControlNote = "control_note";
    /// The control thread: queries from the traffic threads.
    ControlAsk = "control_ask";
    /// The control thread: other messages from tasks.
    ControlOther = "control_other";
    /// The control thread: tasks that run concurrently with its loop, which read the store and
    /// exchange frames with peers.
    ControlTasks = "control_beside";
}

/// The running time and the number of turns of each stage so far.
#[derive(Debug, Clone)]
pub(crate) struct Busy(Arc<[StageCounters]>);

#[derive(Debug)]
struct StageCounters {
    seconds: Counter,
    turns: IntCounter,
}

thread_local! {
    /// The stage that this thread is in, and the time up to which it is accounted for.
    static CURRENT: Cell<Option<(Stage, Instant)>> = const { Cell::new(None) };
}

/// Keeps the current thread in a stage until the guard is dropped. The guard is not `Send`, so that
/// it is not held while a task waits.
#[derive(Debug)]
pub(crate) struct StageGuard<'a> {
    busy: &'a Busy,
    outer: Option<Stage>,
    not_send: PhantomData<*const ()>,
}

impl Busy {
    /// Registers a counter of running time and a counter of turns for each stage.
    pub(super) fn new(registry: &Registry) -> Self {
        let opts = Opts::new(
            "bulrushtrestle_busy_seconds_total",
            "Time that threads ran, by stage.",
        );
        let seconds = CounterVec::new(opts, &["stage"]).expect("the name is valid");
        registry
            .register(Box::new(seconds.clone()))
            .expect("names are registered once");
        let turns = counter_vec(
            registry,
            "bulrushtrestle_busy_turns_total",
            "Turns of threads, by stage.",
            "stage",
        );
        let counters = Stage::ALL.iter().map(|stage| StageCounters {
            seconds: seconds.with_label_values(&[stage.as_str()]),
            turns: turns.with_label_values(&[stage.as_str()]),
        });
        Self(counters.collect())
    }

    /// Puts the current thread in a stage, nested in its current stage.
    pub(crate) fn enter(&self, stage: Stage) -> StageGuard<'_> {
        let outer = self.switch(Some(stage));
        self.0[stage as usize].turns.inc();
        StageGuard {
            busy: self,
            outer,
            not_send: PhantomData,
        }
    }

    /// Runs a task and attributes each poll of the task to a stage.
    pub(crate) async fn run<F: Future>(&self, stage: Stage, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|cx| {
            let _guard = self.enter(stage);
            task.as_mut().poll(cx)
        })
        .await
    }

    fn seconds(&self) -> impl Iterator<Item = f64> {
        self.0.iter().map(|counters| counters.seconds.get())
    }

    /// Attributes the time until now to the current stage, and returns that stage.
    fn switch(&self, to: Option<Stage>) -> Option<Stage> {
        let now = Instant::now();
        let (stage, since) = CURRENT.replace(to.map(|stage| (stage, now)))?;
        let took = now.duration_since(since);
        self.0[stage as usize].seconds.inc_by(took.as_secs_f64());
        Some(stage)
    }
}

impl Drop for StageGuard<'_> {
    fn drop(&mut self) {
        self.busy.switch(self.outer);
    }
}

/// Statistics since the previous log line: the time of the stages, and counts of requests and
/// connections.
#[derive(Debug)]
pub(crate) struct IntervalStats {
    metrics: Arc<Metrics>,
    last: Instant,
    seconds: Vec<f64>,
    counts: [u64; COUNTS.len()],
    waits: [(f64, u64); WAITS],
}

/// The counts that are logged along with the time, by field name.
const COUNTS: [(&str, Count); 5] = [
    ("answered", Count::Answered),
    ("connected", Count::Edge(Edge::CallerConnected)),
    ("refused_at_door", Count::Edge(Edge::RefusedEarly)),
    ("refused_at_handover", Count::Edge(Edge::RefusedQueueFull)),
    ("refused_late", Count::Edge(Edge::RefusedLate)),
];

/// The number of waits whose mean is logged.
const WAITS: usize = 2;

/// Returns the waits of requests until the control thread takes them, or refuses them as late.
fn waits(metrics: &Metrics) -> [(&'static str, &Histogram); WAITS] {
    [("read", &metrics.read), ("handed", &metrics.handed)]
}

fn totals(wait: &Histogram) -> (f64, u64) {
    (wait.get_sample_sum(), wait.get_sample_count())
}

#[derive(Debug, Clone, Copy)]
enum Count {
    Answered,
    Edge(Edge),
}

impl Count {
    fn get(self, metrics: &Metrics) -> u64 {
        match self {
            Self::Answered => metrics.answered(),
            Self::Edge(event) => metrics.edge_count(event),
        }
    }
}

impl IntervalStats {
    /// Starts the first interval now.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            last: Instant::now(),
            seconds: metrics.busy.seconds().collect(),
            counts: COUNTS.map(|(_, count)| count.get(&metrics)),
            waits: waits(&metrics).map(|(_, wait)| totals(wait)),
            metrics,
        }
    }

    /// Returns the fields of a log line and starts the next interval. The fields are the time since
    /// the previous line, the counts, the mean waits of the requests that the control thread took,
    /// and the time of each stage with a millisecond or more.
    pub(crate) fn log_fields(&mut self) -> String {
        let now = Instant::now();
        let since = now.duration_since(self.last).as_millis();
        self.last = now;
        let mut fields = format!("since_ms={since}");
        for ((name, count), before) in COUNTS.iter().zip(&mut self.counts) {
            let count = count.get(&self.metrics);
            // Writing into memory does not fail.
            let _ = write!(fields, " {name}={}", count - *before);
            *before = count;
        }
        for ((name, wait), before) in waits(&self.metrics).into_iter().zip(&mut self.waits) {
            let (sum, count) = totals(wait);
            let taken = count - before.1;
            if taken > 0 {
                let millis = ((sum - before.0) * 1e3 / taken as f64).round();
                let _ = write!(fields, " {name}_mean_ms={millis}");
            }
            *before = (sum, count);
        }
        let stages = Stage::ALL.iter().zip(self.metrics.busy.seconds());
        for ((stage, seconds), before) in stages.zip(&mut self.seconds) {
            let millis = ((seconds - *before) * 1e3).round();
            *before = seconds;
            if millis >= 1.0 {
                let _ = write!(fields, " {}_ms={millis}", stage.as_str());
            }
        }
        fields
    }
}
