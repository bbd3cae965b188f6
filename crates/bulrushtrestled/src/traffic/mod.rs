//! Requests and answers: the callers' listener, the connections to targets, and the forwarding of
//! requests and answers between them.
//!
//! # Invariant
//!
//! A caller receives each part of an answer once and in order, or can detect that the answer is
//! incomplete. A request that ends without a final answer is reported to the node as cancelled, so
//! the node's counts of requests and attempts never leak. A caller that is slow, sends too much,
//! sends malformed data or disconnects is refused by itself, and uses no more of the resources
//! shared with other callers than the settings allow.

mod accept_limiter;
mod admission;
mod attempt;
mod callers;
mod chat;
mod drive;
mod hosted;
mod lag;
mod parse;
mod plain;
mod pool;
mod progress;
mod refusal;
mod reply;
mod sse;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::accept_limiter::AcceptLimiter;
use self::admission::Admission;
use self::pool::Pools;
use self::progress::Progress;
use crate::clock::Clock;
use crate::control::{AttemptNames, Handle};
use crate::listener::{self, Event, Gate, Limits, Protocols};
use crate::metrics::{Edge, Metrics};
use crate::settings::Settings;

pub(crate) use self::hosted::{serve as serve_hosted, serve_directory};

/// Serves callers until `draining` is set, then finishes the open requests.
pub(crate) async fn serve(
    listener: TcpListener,
    traffic: Arc<Traffic>,
    draining: watch::Receiver<bool>,
) {
    tokio::spawn(progress::flush(Arc::clone(&traffic)));
    let limits = limits(&traffic, Protocols::Both);
    let router = callers::router(Arc::clone(&traffic));
    let busy = traffic.metrics.busy.clone();
    let events = move |event| traffic.record(event);
    listener::serve(listener, router, limits, events, Gate::open(draining), busy).await;
}

/// Returns the limits of the callers' listener.
fn limits(traffic: &Traffic, protocols: Protocols) -> Limits {
    let cfg = &traffic.settings.callers;
    Limits {
        connections_max: cfg.connections_max,
        per_address_max: cfg.per_address_max,
        header_bytes_max: cfg.header_bytes_max,
        header_timeout: cfg.header_timeout,
        over_limit_response: refusal::raw_response(&OVER_LIMIT),
        protocols,
    }
}

/// The response to a connection over the connection limit.
const OVER_LIMIT: Refusal =
    Refusal::not_run(Reason::Overloaded, Some(refusal::DEFAULT_RETRY_AFTER));

/// The state shared by all requests of a router.
#[derive(Debug)]
pub(crate) struct Traffic {
    settings: Arc<Settings>,
    control: Handle,
    metrics: Arc<Metrics>,
    clock: Clock,
    admission: Admission,
    pools: Pools,
    progress: Progress,
    accept_limiter: AcceptLimiter,
    names: AttemptNames,
}

impl Traffic {
    /// Returns the state of a router that serves no requests yet.
    pub(crate) fn new(
        settings: Arc<Settings>,
        control: Handle,
        metrics: Arc<Metrics>,
        clock: Clock,
        names: AttemptNames,
    ) -> Self {
        Self {
            admission: Admission::new(&settings.callers, Arc::clone(&metrics)),
            pools: Pools::new(settings.targets.clone()),
            progress: Progress::default(),
            accept_limiter: AcceptLimiter::new(),
            names,
            settings,
            control,
            metrics,
            clock,
        }
    }

    /// Counts an event of a connection or of the listener.
    fn record(&self, event: Event) {
        let metrics = &self.metrics;
        match event {
            Event::Accepted => self.accept_limiter.record_accept(),
            Event::Opened => {
                metrics.edge(Edge::CallerConnected);
                metrics.connections.inc();
            }
            Event::Closed => metrics.connections.dec(),
            Event::OverLimit => {
                metrics.edge(Edge::CallerConnectionRefused);
                self.refused(OVER_LIMIT);
            }
            Event::ListenerClosed => metrics.edge(Edge::ListenerClosed),
            Event::HeadTimeout => metrics.edge(Edge::CallerHeadTimeout),
            Event::HeadTooLarge => metrics.edge(Edge::CallerHeadTooLarge),
            Event::HeadMalformed => metrics.edge(Edge::CallerHeadMalformed),
        }
    }

    /// Counts and returns a refusal that the traffic threads, not the node, decided.
    fn refused(&self, refusal: Refusal) -> Refusal {
        self.metrics.count(Counter::Refused(refusal.reason));
        refusal
    }
}
