//! The settings of a node.

use crate::membership;
use crate::prelude::*;

/// The settings of a node. Every duty has its own, with every default stated.
#[derive(Debug, Clone)]
pub struct Config {
    /// This router.
    pub me: RouterId,
    /// This run of it; drawn at random by the embedding, never used twice.
    pub incarnation: Incarnation,
    /// The name of this router's data centre.
    pub data_centre: String,
    /// Where callers reach this router.
    pub caller_address: String,
    /// The most requests that this router holds at a time. Default: 10000.
    pub requests_max: usize,
    /// The wait before a failed read of the log is repeated. Default: 250 ms.
    pub read_retry: Duration,
    /// How often one request is sent to a target at most. Default: 3.
    pub attempts_max: u32,
    /// Settings of membership.
    pub membership: membership::Config,
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
            read_retry: Duration::from_millis(250),
            attempts_max: 3,
            membership: membership::Config::default(),
        }
    }
}
