//! Autoscale: how many targets a pool needs in each data centre.
//!
//! # Invariant
//!
//! An order lies between the limits of the pool. It is a level: an order that is lost, late or
//! repeated does no harm. Figures that are old or incomplete never lower an order.
//!
//! # How it works
//!
//! The holder of the duties sums up what routers report of a pool ([`Figures`]): requests at targets,
//! requests that wait, and those that were refused, as many as would run if they had been served.
//! What one target bears is learnt: at first three quarters of its slots; less if requests are late,
//! wait or are refused while the targets have fewer; more if they have more and nothing is late. The data centres
//! together get as many targets as bear the demand with one of them lost ([`Autoscale::on_load`]).
//!
//! A rise in demand is followed at once, as targets need time to start. A fall is followed in steps,
//! once fewer targets would have borne the demand of twice that time and ten seconds more. See
//! `docs/design/0039-usage-and-autoscale.md`.

mod state;
#[cfg(test)]
mod tests;

use crate::prelude::*;

pub use self::state::{Autoscale, ScaleStatus};

/// The requests of a pool over the fleet, and its targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// The age of the oldest figures among those of the routers.
    pub age: Duration,
    /// Requests at targets.
    pub running: u32,
    /// Requests that wait for a target.
    pub waiting: u32,
    /// Requests that began within the last second, about.
    pub begun: u32,
    /// Those of them that began after their objective.
    pub late: u32,
    /// Requests that were refused within the last second for want of capacity.
    pub refused: u32,
    /// The data centres in which the pool has targets.
    pub data_centres: Vec<Present>,
}

/// The targets of a pool in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Present {
    /// The name of the data centre.
    pub name: String,
    /// All targets.
    pub listed: u32,
    /// Those that serve and are not cold.
    pub serving: u32,
    /// Those that do not answer.
    pub crashed: u32,
    /// The slots of all that serve.
    pub slots: u32,
}

/// The number of a pool's targets that is ordered in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The pool.
    pub pool: PoolId,
    /// The name of the data centre.
    pub data_centre: String,
    /// The number of targets.
    pub desired: u32,
    /// The figures behind the number, for the log.
    pub basis: String,
}
