//! The state of the lease on duties.

use crate::duty::message::DutyOrder;
use crate::prelude::*;

/// The settings of the duties.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this router's node.
    pub node: String,
    /// How long a claim is valid. Default: 6 s, twice `lease_ms`.
    pub term: Duration,
    /// The calls per second of the whole fleet that the endpoint takes.
    pub calls_per_s: u32,
    /// Whether usage is to be reported.
    pub usage_report: bool,
    /// Whether the number of targets is to be ordered.
    pub autoscale: bool,
    /// The length of a window of usage. Default: 5 s.
    pub usage_window: Duration,
    /// The time after a window's end by which its report must be sent. Default: 10 s.
    pub usage_late: Duration,
}

/// The lease on the duties, and the calls made under it.
#[derive(Debug)]
pub struct Duties {
    cfg: Config,
}

impl Duties {
    /// Returns the state of a router that knows of no holder.
    pub fn new(cfg: Config) -> Self {
        Self { cfg }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns the fencing number while this router is the holder.
    pub fn held(&self, _now: Time) -> Option<Fence> {
        None
    }

    /// Returns whether a record may be written now: this router is the holder, and no other append
    /// is in progress.
    pub fn can_write(&self, _now: Time) -> bool {
        false
    }

    /// Writes a record to the topic, unless the topic has changed since it was read.
    pub fn write(&mut self, _cx: &mut Context, _key: &str, _value: Vec<u8>) {}

    /// Queues an order. An order replaces one about the same pool and data centre that has not been
    /// sent; reports of usage are sent in their order.
    pub fn send(&mut self, _order: DutyOrder) {}

    /// Returns the routers that need the figures of the others: the holder and the candidate that
    /// would follow it.
    pub fn receivers(&self, _now: Time) -> impl Iterator<Item = RouterId> {
        core::iter::empty()
    }
}
