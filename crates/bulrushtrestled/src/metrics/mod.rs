//! The daemon's metrics, in the text format of Prometheus.
//!
//! Every reason and event has its counter from the start, so that one that never occurred reads
//! zero instead of being absent.

mod busy;
mod edge;
mod memory;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::autoscale::ScaleStatus;
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::output::Basis;
use bulrushtrestle_core::verdict::Reason;
use bulrushtrestle_wire::Refused;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

pub(crate) use self::busy::{Busy, IntervalStats, Stage};
pub(crate) use self::edge::Edge;

/// The bucket bounds of the histogram of timer lag, in seconds.
const LAG_BOUNDS: [f64; 12] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0,
];

/// The bucket bounds of the histograms of requests, in seconds.
const REQUEST_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8.0, 16.0,
];

/// The bucket bounds of the histogram of reporting peers.
const PEERS_BOUNDS: [f64; 7] = [0.0, 1.0, 3.0, 7.0, 15.0, 63.0, 429.0];

/// The label of requests whose complete answer was forwarded.
pub(crate) const ANSWERED: &str = "answered";

/// All counters, gauges and histograms of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    core: BTreeMap<Counter, IntCounter>,
    edge: BTreeMap<Edge, IntCounter>,
    peers_refused: IntCounterVec,
    timer_lag: Histogram,
    first_answer: Histogram,
    request_time: HistogramVec,
    resume_pause: HistogramVec,
    waited: HistogramVec,
    targets_age: Histogram,
    reporting_peers: Histogram,
    read: Histogram,
    handed: Histogram,
    memory: IntGauge,
    targets_desired: IntGaugeVec,
    targets_present: IntGaugeVec,
    /// The running time of threads, by stage.
    pub(crate) busy: Busy,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// Requests of callers whose answer is not complete.
    pub(crate) requests: IntGauge,
    /// The fencing number of the lease on the duties while this router holds it, otherwise 0.
    pub(crate) duty_fence: IntGauge,
    /// Bytes of request bodies held in memory.
    pub(crate) body_bytes: IntGauge,
    /// Peers to which this router has a connection for frames.
    pub(crate) peers: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let refused = counter_vec(
            &registry,
            "bulrushtrestle_refused_total",
            "Requests refused, by reason.",
            "reason",
        );
        let events = counter_vec(
            &registry,
            "bulrushtrestle_events_total",
            "Events of the decisions, by kind.",
            "event",
        );
        let refusals = Reason::ALL.iter().map(|&reason| Counter::Refused(reason));
        let core = refusals
            .chain(Counter::EVENTS.iter().copied())
            .map(|counter| {
                let vec = match counter {
                    Counter::Refused(_) => &refused,
                    _ => &events,
                };
                (counter, vec.with_label_values(&[counter.as_str()]))
            })
            .collect();
        let edges = counter_vec(
            &registry,
            "bulrushtrestle_edge_events_total",
            "Events at the edges of the process, by kind.",
            "event",
        );
        let edge = Edge::ALL
            .iter()
            .map(|&event| (event, edges.with_label_values(&[event.as_str()])))
            .collect();
        let peers_refused = counter_vec(
            &registry,
            "bulrushtrestle_peers_refused_total",
            "Greetings of peers turned down, by reason.",
            "reason",
        );
        for refused in Refused::ALL {
            peers_refused.with_label_values(&[refused.as_str()]);
        }
        Self {
            core,
            edge,
            peers_refused,
            timer_lag: histogram(
                &registry,
                "bulrushtrestle_control_timer_lag_seconds",
                "By how much timers of the control thread were late.",
                &LAG_BOUNDS,
            ),
            first_answer: histogram(
                &registry,
                "bulrushtrestle_first_answer_seconds",
                "From the arrival of a request to the first of its answer.",
                &REQUEST_BOUNDS,
            ),
            request_time: histograms(
                &registry,
                "bulrushtrestle_request_seconds",
                "From the arrival of a request to its end, by outcome.",
                "outcome",
            ),
            resume_pause: histograms(
                &registry,
                "bulrushtrestle_resume_pause_seconds",
                "From the break of an answer until it went on at a target or its caller was told, by outcome.",
                "outcome",
            ),
            waited: histograms(
                &registry,
                "bulrushtrestle_dispatch_waited_seconds",
                "From the arrival of a request to its dispatch, by why it was next.",
                "turn",
            ),
            targets_age: histogram(
                &registry,
                "bulrushtrestle_dispatch_targets_age_seconds",
                "The age of what was known of targets at a dispatch.",
                &REQUEST_BOUNDS,
            ),
            reporting_peers: histogram(
                &registry,
                "bulrushtrestle_dispatch_peers_heard",
                "Peers that had told lately what they have at targets, at a dispatch.",
                &PEERS_BOUNDS,
            ),
            read: histogram(
                &registry,
                "bulrushtrestle_read_seconds",
                "From the head of a request until it was handed over, of those that the control thread took.",
                &REQUEST_BOUNDS,
            ),
            handed: histogram(
                &registry,
                "bulrushtrestle_handover_seconds",
                "From the arrival of a request until the control thread took it.",
                &REQUEST_BOUNDS,
            ),
            busy: Busy::new(&registry),
            memory: gauge(
                &registry,
                "bulrushtrestle_resident_bytes",
                "Resident memory.",
            ),
            targets_desired: targets(
                &registry,
                "bulrushtrestle_targets_desired",
                "Targets that this router orders, or would order as the holder of the duties.",
            ),
            targets_present: targets(
                &registry,
                "bulrushtrestle_targets_present",
                "Targets that serve, of the services whose targets are ordered.",
            ),
            connections: gauge(
                &registry,
                "bulrushtrestle_caller_connections",
                "Open connections of callers.",
            ),
            requests: gauge(
                &registry,
                "bulrushtrestle_open_requests",
                "Requests that are not answered as a whole.",
            ),
            duty_fence: gauge(
                &registry,
                "bulrushtrestle_duty_fence",
                "Fencing number of the lease on the duties while this router holds it, otherwise 0.",
            ),
            body_bytes: gauge(
                &registry,
                "bulrushtrestle_body_bytes",
                "Bytes of request bodies that are held.",
            ),
            peers: gauge(
                &registry,
                "bulrushtrestle_connected_peers",
                "Peers that frames are sent to.",
            ),
            registry,
        }
    }

    /// Counts an event of the core.
    pub(crate) fn count(&self, counter: Counter) {
        if let Some(counter) = self.core.get(&counter) {
            counter.inc();
        }
    }

    /// Counts an event at an edge of the process.
    pub(crate) fn edge(&self, event: Edge) {
        if let Some(counter) = self.edge.get(&event) {
            counter.inc();
        }
    }

    /// Returns how often an event at an edge of the process was counted.
    fn edge_count(&self, event: Edge) -> u64 {
        self.edge.get(&event).map_or(0, IntCounter::get)
    }

    /// Returns how many requests were answered.
    fn answered(&self) -> u64 {
        let histogram = self.request_time.with_label_values(&[ANSWERED]);
        histogram.get_sample_count()
    }

    /// Counts a refused handshake of a peer.
    pub(crate) fn peer_refused(&self, refused: Refused) {
        self.peers_refused
            .with_label_values(&[refused.as_str()])
            .inc();
    }

    /// Records by how much a timer of the control thread was late.
    pub(crate) fn lag(&self, lag: Duration) {
        self.timer_lag.observe(lag.as_secs_f64());
    }

    /// Records the time from the head of a request to its handover.
    pub(crate) fn read(&self, after: Duration) {
        self.read.observe(after.as_secs_f64());
    }

    /// Records the time for which a request waited for the control thread.
    pub(crate) fn handed(&self, after: Duration) {
        self.handed.observe(after.as_secs_f64());
    }

    /// Records the time that a request took, and the time until its caller got the first part of
    /// the answer.
    pub(crate) fn record_request(&self, outcome: &str, took: Duration, first: Option<Duration>) {
        let histogram = self.request_time.with_label_values(&[outcome]);
        histogram.observe(took.as_secs_f64());
        if let Some(first) = first {
            self.first_answer.observe(first.as_secs_f64());
        }
    }

    /// Records the time from the break of an answer until it went on, or until its caller was told
    /// that it does not.
    pub(crate) fn resume_pause(&self, pause: Duration, has_resumed: bool) {
        let outcome = match has_resumed {
            true => "resumed",
            false => "refused",
        };
        let histogram = self.resume_pause.with_label_values(&[outcome]);
        histogram.observe(pause.as_secs_f64());
    }

    /// Records the data on which a dispatch was based.
    pub(crate) fn dispatched(&self, basis: &Basis) {
        let waited = self.waited.with_label_values(&[basis.turn.as_str()]);
        waited.observe(basis.waited.as_secs_f64());
        if let Some(age) = basis.targets_age {
            self.targets_age.observe(age.as_secs_f64());
            // The conversion is exact: no fleet has more than u32::MAX routers.
            self.reporting_peers.observe(f64::from(
                u32::try_from(basis.reporting_peers).unwrap_or(u32::MAX),
            ));
        }
    }

    /// Sets the numbers of targets of the services whose targets are ordered. Only the holder of the
    /// duties and the next candidate know them.
    pub(crate) fn scaled(&self, scaled: &[ScaleStatus]) {
        self.targets_desired.reset();
        self.targets_present.reset();
        for it in scaled {
            let labels = [it.pool.as_str(), it.data_centre.as_str()];
            let desired = self.targets_desired.with_label_values(&labels);
            desired.set(i64::from(it.desired));
            let present = self.targets_present.with_label_values(&labels);
            present.set(i64::from(it.present));
        }
    }

    /// Returns all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        self.memory.set(memory::resident_bytes());
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics are written into memory");
        String::from_utf8(text).expect("the text format is text")
    }
}

fn counter_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
    registry
        .register(Box::new(vec.clone()))
        .expect("names are registered once");
    vec
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("names are registered once");
    gauge
}

fn targets(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    let opts = Opts::new(name, help);
    let vec = IntGaugeVec::new(opts, &["service", "zone"]).expect("the name is valid");
    registry
        .register(Box::new(vec.clone()))
        .expect("names are registered once");
    vec
}

fn histograms(registry: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(REQUEST_BOUNDS.to_vec());
    let histograms = HistogramVec::new(opts, &[label]).expect("the name is valid");
    registry
        .register(Box::new(histograms.clone()))
        .expect("names are registered once");
    histograms
}

fn histogram(registry: &Registry, name: &str, help: &str, bounds: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let histogram = Histogram::with_opts(opts).expect("the name is valid");
    registry
        .register(Box::new(histogram.clone()))
        .expect("names are registered once");
    histogram
}
