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
mod listener;
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
use bulrushtrestle_core::key::Incarnation;
use bulrushtrestle_core::verdict::Refusal;

use self::admission::Admission;
pub(crate) use self::listener::serve;
use self::pool::Pools;
use self::progress::Progress;
use crate::clock::Clock;
use crate::control::Handle;
use crate::metrics::Metrics;
use crate::settings::Settings;

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
    /// What makes the fleet's attempts distinct: the router and this run of it.
    attempt_prefix: String,
}

impl Traffic {
    /// Returns the state of a router that serves nobody yet.
    pub(crate) fn new(
        settings: Arc<Settings>,
        control: Handle,
        metrics: Arc<Metrics>,
        clock: Clock,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            admission: Admission::new(&settings.callers, Arc::clone(&metrics)),
            pools: Pools::new(settings.targets.clone()),
            progress: Progress::default(),
            attempt_prefix: format!("{}-{:x}", settings.router, incarnation.0),
            settings,
            control,
            metrics,
            clock,
        }
    }

    /// Counts a refusal that is decided here rather than by the node, and returns it.
    fn refused(&self, refusal: Refusal) -> Refusal {
        self.metrics.count(Counter::Refused(refusal.reason));
        refusal
    }
}
