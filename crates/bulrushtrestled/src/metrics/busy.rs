//! What the time of the process's threads goes into.
//!
//! Each moment in which a thread runs counts for the innermost stage that it is in, so the stages of a thread add up to the time
//! for which it ran. It is the clock's time: where threads share a core, it holds the turns of the others too.

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
        /// Something that the time of a thread goes into.
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
    /// Taking connections.
    Accept = "accept";
    /// Reading heads from connections and writing answers to them.
    Connection = "connection";
    /// Reading a body and handing the request over.
    Admit = "admit";
    /// Refusing a request that was not handed over.
    Refuse = "refuse";
    /// Carrying out decisions: asking targets and passing answers on.
    Relay = "relay";
    /// Reading from and writing to connections of targets.
    Target = "target";
    /// Writing a line about a request.
    Log = "log";
    /// The control thread: timers.
    ControlTimer = "control_timer";
    /// The control thread: frames of peers.
    ControlPeer = "control_peer";
    /// The control thread: what was read from the store.
    ControlStore = "control_store";
    /// The control thread: requests that arrive.
    ControlRequest = "control_request";
    /// The control thread: how attempts begin and end.
    ControlAttempt = "control_attempt";
    /// The control thread: the load that targets tell.
    ControlLoad = "control_load";
    /// The control thread: how far answers are.
    ControlProgress = "control_progress";
    /// The control thread: callers that leave, and the stop.
    ControlNote = "control_note";
    /// The control thread: questions of the traffic threads.
    ControlAsk = "control_ask";
    /// The control thread: what other tasks hand it.
    ControlOther = "control_other";
    /// The control thread: the tasks beside its loop, which read the store and exchange frames with peers.
    ControlBeside = "control_beside";
}

/// What the stages took so far.
#[derive(Debug, Clone)]
pub(crate) struct Busy(Arc<[Spent]>);

#[derive(Debug)]
struct Spent {
    seconds: Counter,
    turns: IntCounter,
}

thread_local! {
    /// The stage that this thread is in, and since when it was not accounted for.
    static CURRENT: Cell<Option<(Stage, Instant)>> = const { Cell::new(None) };
}

/// Keeps a thread in a stage until it is dropped. It belongs to one thread, and so is never held while a task waits.
#[derive(Debug)]
pub(crate) struct Within<'a> {
    busy: &'a Busy,
    outer: Option<Stage>,
    one_thread: PhantomData<*const ()>,
}

impl Busy {
    /// Registers a counter of time and one of turns for each stage.
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
        let spent = Stage::ALL.iter().map(|stage| Spent {
            seconds: seconds.with_label_values(&[stage.as_str()]),
            turns: turns.with_label_values(&[stage.as_str()]),
        });
        Self(spent.collect())
    }

    /// Puts this thread in a stage, within the one that it is in.
    pub(crate) fn enter(&self, stage: Stage) -> Within<'_> {
        let outer = self.switch(Some(stage));
        self.0[stage as usize].turns.inc();
        Within {
            busy: self,
            outer,
            one_thread: PhantomData,
        }
    }

    /// Runs a task whose turns belong to a stage.
    pub(crate) async fn run<F: Future>(&self, stage: Stage, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|cx| {
            let _within = self.enter(stage);
            task.as_mut().poll(cx)
        })
        .await
    }

    fn seconds(&self) -> impl Iterator<Item = f64> {
        self.0.iter().map(|spent| spent.seconds.get())
    }

    /// Accounts for the time until now, and returns the stage that it belonged to.
    fn switch(&self, to: Option<Stage>) -> Option<Stage> {
        let now = Instant::now();
        let (stage, since) = CURRENT.replace(to.map(|stage| (stage, now)))?;
        let took = now.duration_since(since);
        self.0[stage as usize].seconds.inc_by(took.as_secs_f64());
        Some(stage)
    }
}

impl Drop for Within<'_> {
    fn drop(&mut self) {
        self.busy.switch(self.outer);
    }
}

/// Tells what the stages took, and what the router did, since it was told last.
#[derive(Debug)]
pub(crate) struct Account {
    metrics: Arc<Metrics>,
    told: Instant,
    seconds: Vec<f64>,
    counts: [u64; COUNTS.len()],
    waits: [(f64, u64); WAITS],
}

/// What is counted along with the time.
const COUNTS: [(&str, Count); 5] = [
    ("answered", Count::Answered),
    ("connected", Count::Edge(Edge::CallerConnected)),
    ("refused_at_door", Count::Edge(Edge::RefusedAtDoor)),
    ("refused_at_handover", Count::Edge(Edge::RefusedAtHandover)),
    ("refused_late", Count::Edge(Edge::RefusedLate)),
];

/// How many waits have their mean told.
const WAITS: usize = 2;

/// The waits of requests until the control thread takes them, or refuses them as late.
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
            Self::Edge(event) => metrics.edges(event),
        }
    }
}

impl Account {
    /// Begins now.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            told: Instant::now(),
            seconds: metrics.busy.seconds().collect(),
            counts: COUNTS.map(|(_, count)| count.get(&metrics)),
            waits: waits(&metrics).map(|(_, wait)| totals(wait)),
            metrics,
        }
    }

    /// Returns fields of a log line: the time since the last one, what there was to count, the mean waits of the requests that the
    /// control thread took, and the time of each stage with a millisecond or more.
    pub(crate) fn tell(&mut self) -> String {
        let now = Instant::now();
        let since = now.duration_since(self.told).as_millis();
        self.told = now;
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
