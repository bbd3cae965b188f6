//! The settings of attempts and retries.

use crate::attempt::Payer;
use crate::prelude::*;

/// Limits on attempts and retries.
#[derive(Debug, Clone)]
pub struct Config {
    /// The maximum number of attempts of one request. Default: 3.
    pub attempts_max: u32,
    /// Whose budget is charged for a retry. Default: the organisation's.
    pub paid_by: PaidBy,
    /// The maximum number of retries that a payer can accumulate at a router. Default: 10.
    pub retry_burst: u32,
    /// The retry burst of the whole fleet, beyond the retries that requests earn. If set, each
    /// listed router can accumulate an equal part of it instead of `retry_burst`. Default: `None`.
    pub fleet_burst: Option<u32>,
    /// The retries that a payer earns per second, in thousandths. Default: 1000.
    pub retry_millis_per_second: u32,
    /// The retries that a payer earns per accepted request, in thousandths. Default: 100.
    pub retry_millis_per_request: u32,
}

/// The kind of payer whose budget is charged for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaidBy {
    /// The organisation that sent the request, so that no organisation uses up the retries of
    /// others.
    Organisation,
    /// The pool that the request addresses, so that retries cannot flood a failing pool.
    Pool,
}

impl Config {
    /// Returns the payer for the retries of a request.
    pub const fn payer(&self, req: &Request) -> Payer {
        match self.paid_by {
            PaidBy::Organisation => Payer::Organisation(req.organisation),
            PaidBy::Pool => Payer::Pool(req.pool),
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            paid_by: PaidBy::Organisation,
            fleet_burst: None,
            retry_burst: 10,
            retry_millis_per_second: 1_000,
            retry_millis_per_request: 100,
        }
    }
}
