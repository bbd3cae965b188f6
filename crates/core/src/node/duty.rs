//! The duties of one router; see [`duty`](crate::duty).

use crate::duty::{DutyEvent, DutyPart, DutyResult};
use crate::node::Node;

impl Node {
    pub(super) fn on_duty(&mut self, _event: DutyEvent) {}

    pub(super) fn on_duty_answer(&mut self, _call: u64, _result: DutyResult) {}

    pub(super) fn on_duty_part(&mut self, _part: DutyPart) {}
}
