//! The settings of a node.

use crate::prelude::*;
use crate::version;
use crate::{
    address, attempt, balance, duty, feed, lease, membership, once, poison, quarantine, queue,
    share, slots, target, usage,
};

/// The settings of a node. Every component has its own settings, with all defaults stated.
#[derive(Debug, Clone)]
pub struct Config {
    /// The id of this router.
    pub me: RouterId,
    /// The run of this router. It must be greater than that of every earlier run; the start time in
    /// microseconds is suitable.
    pub incarnation: Incarnation,
    /// The name of this router's data centre.
    pub data_centre: String,
    /// The address at which callers reach this router.
    pub caller_address: String,
    /// The most requests that this router holds at a time. Default: 10000.
    pub requests_max: usize,
    /// Settings of reading the log.
    pub log: LogConfig,
    /// Settings of attempts and retries.
    pub attempt: attempt::Config,
    /// Settings of idempotency keys.
    pub once: once::Config,
    /// Settings of the quarantine of requests that crash targets.
    pub quarantine: quarantine::Config,
    /// Settings of the search for parts of prompts that crash targets.
    pub poison: poison::Config,
    /// Settings of membership.
    pub membership: membership::Config,
    /// Settings of leases.
    pub lease: lease::Config,
    /// Settings of the addresses that callers are given.
    pub address: address::Config,
    /// Settings of the health and limits of targets.
    pub target: target::Config,
    /// Settings of the fairness ledger.
    pub share: share::Config,
    /// Settings of the queues.
    pub queue: queue::Config,
    /// Settings of slots.
    pub slots: slots::Config,
    /// Settings of version moves.
    pub version: version::Config,
    /// Settings of the choice of targets, where routers choose for themselves.
    pub balance: balance::Config,
    /// Settings of passing on the store's records.
    pub feed: feed::Config,
    /// Settings of the duties, if the deployment has any. Default: none.
    pub duty: Option<duty::Config>,
    /// Settings of reports of usage and of scaling orders. `None` in deployments without either:
    /// nothing is counted, sent or decided then. Default: `None`.
    pub usage: Option<usage::Config>,
}

/// Where the catalogue is kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CatalogueSource {
    /// On the log, as edits, together with the records that the fleet itself has to keep.
    #[default]
    Log,
    /// In a store that keeps the newest content of its records. The embedding reads the store and
    /// hands over what changed; there is no log, so leases, claims and steps of moves are not kept.
    Store,
}

/// Settings of reading the log.
#[derive(Debug, Clone)]
pub struct LogConfig {
    /// Where the catalogue is kept. Default: on the log.
    pub source: CatalogueSource,
    /// The wait before a failed read is repeated. Default: 250 ms.
    pub retry: Duration,
    /// How long a router gives out new work after it last knew that it was current. Default: 3 s.
    pub stale_after: Duration,
    /// How long a router gives out new work after it last read the targets' records, where a store
    /// keeps them and answers. Default: 2 s, two thirds of the time that the platform allows until
    /// a target that leaves gets no more requests.
    pub targets_stale_after: Duration,
    /// How long the log keeps records. Default: 7 days.
    pub retention: Duration,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            source: CatalogueSource::Log,
            retry: Duration::from_millis(250),
            stale_after: Duration::from_secs(3),
            targets_stale_after: Duration::from_secs(2),
            retention: Duration::from_secs(7 * 24 * 3_600),
        }
    }
}

impl Config {
    /// Returns the default settings of a router.
    pub fn new(me: RouterId, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            data_centre: String::new(),
            caller_address: String::new(),
            requests_max: 10_000,
            log: LogConfig::default(),
            attempt: attempt::Config::default(),
            once: once::Config::default(),
            quarantine: quarantine::Config::default(),
            poison: poison::Config::default(),
            membership: membership::Config::default(),
            lease: lease::Config::default(),
            address: address::Config::default(),
            target: target::Config::default(),
            share: share::Config::default(),
            queue: queue::Config::default(),
            slots: slots::Config::default(),
            version: version::Config::default(),
            balance: balance::Config::default(),
            feed: feed::Config::default(),
            duty: None,
            usage: None,
        }
    }
}
