//! Reads the VM list and the reports and cache events of targets.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::key::TargetId;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::metrics::{Edge, Metrics};
use crate::platform::{Http, HttpTarget, Target, VmList};

/// A target whose reports are read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watched {
    pub(super) id: TargetId,
    pub(super) address: SocketAddr,
    /// Whether the target publishes cache events.
    pub(super) has_cache: bool,
}

/// Reads the VM list at an interval.
pub(super) async fn watch_vms(
    list: impl VmList,
    every: Duration,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match list.list().await {
            Ok(vms) => drop(inputs.send(Input::Vms(vms))),
            Err(_) => metrics.edge(Edge::VmsFailed),
        }
    }
}

/// Reads reports of targets, at most one at a time per target.
#[derive(Debug)]
pub(super) struct Reports {
    http: Http,
    state: Rc<RefCell<State>>,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Default)]
struct State {
    /// The targets from which a read is in progress.
    in_flight: HashSet<TargetId>,
    /// The number of the next cache event to be read from each target.
    next_cache_event: HashMap<TargetId, u64>,
}

impl Reports {
    /// Returns a reader that has read nothing.
    pub(super) fn new(
        http: Http,
        inputs: mpsc::UnboundedSender<Input>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            http,
            state: Rc::default(),
            inputs,
            metrics,
        }
    }

    /// Starts to read from each target for which no read is in progress.
    pub(super) fn read(&self, targets: &[Watched]) {
        for target in targets {
            if self.state.borrow_mut().in_flight.insert(target.id) {
                self.read_one(*target);
            }
        }
    }

    fn read_one(&self, watched: Watched) {
        let target = HttpTarget {
            http: self.http.clone(),
            address: watched.address,
        };
        let state = Rc::clone(&self.state);
        let inputs = self.inputs.clone();
        let metrics = Arc::clone(&self.metrics);
        tokio::task::spawn_local(async move {
            match target.report().await {
                Ok(report) => drop(inputs.send(Input::Report(watched.id, report))),
                Err(_) => metrics.edge(Edge::ReportFailed),
            }
            if watched.has_cache {
                let from = state
                    .borrow()
                    .next_cache_event
                    .get(&watched.id)
                    .copied()
                    .unwrap_or(0);
                if let Ok((events, next)) = target.cache_events(from).await {
                    state.borrow_mut().next_cache_event.insert(watched.id, next);
                    if !events.is_empty() {
                        drop(inputs.send(Input::Cache(watched.id, events)));
                    }
                }
            }
            state.borrow_mut().in_flight.remove(&watched.id);
        });
    }
}
