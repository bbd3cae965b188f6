//! Requests and answers: the callers' listener, the targets' connections and what flows between.
//!
//! # Invariant
//!
//! A caller sees each part of an answer once and in order, or learns that the answer is not whole. A
//! request whose outcome nobody decided is reported as cancelled, so the node's count of requests and
//! attempts never leaks. What one caller does (slow, large, malformed, gone) ends in a refusal of its
//! own and takes nothing from the others beyond the bounds in the settings.

mod admission;
mod attempt;
mod callers;
mod chat;
mod drive;
mod hosted;
mod intake;
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

use self::admission::Admission;
use self::intake::Intake;
use self::pool::Pools;
use self::progress::Progress;
use crate::clock::Clock;
use crate::control::{AttemptNames, Handle};
use crate::listener::{self, Event, Gate, Limits, Protocols};
use crate::metrics::{Edge, Metrics};
use crate::settings::Settings;

pub(crate) use self::hosted::{serve as serve_hosted, serve_directory};

/// Serves callers until `draining` is set, then finishes what is open.
pub(crate) async fn serve(
    listener: TcpListener,
    traffic: Arc<Traffic>,
    draining: watch::Receiver<bool>,
) {
    tokio::spawn(progress::flush(Arc::clone(&traffic)));
    let limits = limits(&traffic, Protocols::Both);
    let router = callers::router(Arc::clone(&traffic));
    let busy = traffic.metrics.busy.clone();
    let events = move |event| traffic.note(event);
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
        over_limit_response: refusal::raw(&TURNED_AWAY),
        protocols,
    }
}

/// The answer to a connection over the limit.
const TURNED_AWAY: Refusal = Refusal::not_run(Reason::Overloaded, Some(refusal::RETRY_SOON));

/// What all requests share.
#[derive(Debug)]
pub(crate) struct Traffic {
    settings: Arc<Settings>,
    control: Handle,
    metrics: Arc<Metrics>,
    clock: Clock,
    admission: Admission,
    pools: Pools,
    progress: Progress,
    intake: Intake,
    names: AttemptNames,
}

impl Traffic {
    /// Returns the state of a router that serves nobody yet.
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
            intake: Intake::new(),
            names,
            settings,
            control,
            metrics,
            clock,
        }
    }

    /// Counts what happens to a connection.
    fn note(&self, event: Event) {
        let metrics = &self.metrics;
        match event {
            Event::Accepted => self.intake.take(),
            Event::Opened => {
                metrics.edge(Edge::CallerConnected);
                metrics.connections.inc();
            }
            Event::Closed => metrics.connections.dec(),
            Event::OverLimit => {
                metrics.edge(Edge::CallerConnectionRefused);
                self.refused(TURNED_AWAY);
            }
            Event::ListenerClosed => metrics.edge(Edge::ListenerClosed),
            Event::HeadTimeout => metrics.edge(Edge::CallerHeadTimeout),
            Event::HeadTooLarge => metrics.edge(Edge::CallerHeadTooLarge),
            Event::HeadMalformed => metrics.edge(Edge::CallerHeadMalformed),
        }
    }

    /// Counts a refusal that is decided here rather than by the node, and returns it.
    fn refused(&self, refusal: Refusal) -> Refusal {
        self.metrics.count(Counter::Refused(refusal.reason));
        refusal
    }
}
