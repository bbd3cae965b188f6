//! The settings of attempts.

use crate::attempt::Payer;
use crate::prelude::*;

/// How often requests are sent again.
#[derive(Debug, Clone)]
pub struct Config {
    /// How often one request is sent to a target at most. Default: 3.
    pub attempts_max: u32,
    /// Who pays for retries. Default: the organisation.
    pub paid_by: PaidBy,
    /// The most retries that a payer can save up at a router. Default: 10.
    pub retry_burst: u32,
    /// Retries beyond what requests earn that the whole fleet may make in a while. If there are any, each
    /// listed router can save up its even part of them in place of `retry_burst`. Default: none.
    pub fleet_burst: Option<u32>,
    /// The retries that a payer earns in a second, in thousandths. Default: 1000.
    pub retry_millis_per_second: u32,
    /// The part of a retry that each accepted request earns, in thousandths. Default: 100.
    pub retry_millis_per_request: u32,
}

/// Who pays for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaidBy {
    /// The organisation whose request is sent again, so that none uses up what others need.
    Organisation,
    /// The pool that is asked again, so that a failing pool is not flooded.
    Pool,
}

impl Config {
    /// Returns who pays for sending a request again.
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
