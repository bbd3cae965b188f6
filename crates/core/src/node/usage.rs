//! Reports of usage and scaling orders: what the holder of the duties has to send, and the figures
//! that the other routers send it.

use crate::duty::{DutyOrder, DutyResult};
use crate::node::Node;
use crate::prelude::*;

impl Node {
    /// Records a reading of this router's wall clock.
    pub(super) fn on_wall_clock(&mut self, time: Time) {
        let _ = time;
    }

    /// Sets the routers that receive this router's figures: the holder of the duties and the next
    /// candidate. Called whenever either changes; this router may be among them.
    pub(super) fn set_usage_receivers(&mut self, receivers: &[RouterId]) {
        let _ = receivers;
    }

    /// Returns the orders that are due now. Called only while this router holds the lease. Each
    /// order is returned once and comes again, after a pause, unless its result was
    /// [`DutyResult::Accepted`].
    pub(super) fn due_orders(&mut self) -> Vec<DutyOrder> {
        Vec::new()
    }

    /// Records the result of an order that [`due_orders`](Self::due_orders) returned.
    pub(super) fn on_order_result(&mut self, order: &DutyOrder, result: DutyResult) {
        let _ = (order, result);
    }

    /// Returns the value that the record `usage` of the duties' topic is to have, if it differs from
    /// the last known one. Called only while this router holds the lease and has read the topic to
    /// its end. The same value is returned until [`on_usage_record`](Self::on_usage_record) passes
    /// it back: after a failed or unanswered append the topic is read anew first.
    pub(super) fn due_usage_record(&mut self) -> Option<Vec<u8>> {
        None
    }

    /// Applies the record `usage`, which was read, or whose append was confirmed in the present era.
    pub(super) fn on_usage_record(&mut self, value: &[u8]) {
        let _ = value;
    }

    /// Records that the store was restored from an older copy: the era was raised. Called before any
    /// record of the new era is passed on.
    pub(super) fn on_usage_era(&mut self) {}
}
