//! The calls that the holder has queued or started.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;

use crate::duty::message::{DutyOrder, DutyResult, Subject};
use crate::prelude::*;

/// The share of the endpoint's rate that is used, in percent.
const RATE_PERCENT: u32 = 80;
/// The most calls in progress.
const IN_PROGRESS_MAX: usize = 8;
/// The pause after a call that failed. It doubles with each failure in a row.
const BACK_OFF: Duration = Duration::from_millis(200);
/// The longest pause after a call that failed.
const BACK_OFF_MAX: Duration = Duration::from_secs(2);
/// The doublings of the pause that suffice for the longest one.
const BACK_OFF_DOUBLINGS: u32 = 4;
/// The range of the jitter of the pause, in percent.
const JITTER_PERCENT: core::ops::RangeInclusive<u32> = 80..=120;

/// The calls of this router.
#[derive(Debug)]
pub(super) struct Calls {
    interval: Duration,
    queued: VecDeque<DutyOrder>,
    started: BTreeMap<u64, (DutyOrder, Fence)>,
    next_id: u64,
    next_start: Time,
    /// The calls in a row without a success.
    failures: u32,
    /// Since when the endpoint has answered no call.
    unanswered_since: Option<Time>,
}

impl Calls {
    pub(super) fn new(calls_per_s: u32) -> Self {
        let interval = Duration::from_secs(1) * 100 / (calls_per_s.max(1) * RATE_PERCENT);
        Self {
            interval,
            queued: VecDeque::new(),
            started: BTreeMap::new(),
            next_id: 0,
            next_start: Time::default(),
            failures: 0,
            unanswered_since: None,
        }
    }

    pub(super) fn queue(&mut self, order: DutyOrder) {
        let subject = order.subject();
        match subject {
            Subject::Usage => self.queued.retain(|queued| *queued != order),
            Subject::Scale(..) => self.queued.retain(|queued| queued.subject() != subject),
        }
        self.queued.push_back(order);
    }

    pub(super) fn take_queued(&mut self) -> Vec<DutyOrder> {
        self.queued.drain(..).collect()
    }

    /// Returns the next call, if one may be started now. Calls about one subject, and calls with
    /// different numbers, do not overlap: one that is not answered yet could arrive later.
    pub(super) fn next(&mut self, now: Time, fence: Fence) -> Option<(u64, DutyOrder)> {
        let mut started = self.started.values();
        let is_former = started.any(|(_, started)| *started != fence);
        if now < self.next_start || is_former || self.started.len() >= IN_PROGRESS_MAX {
            return None;
        }
        let is_free = |order: &DutyOrder| {
            let mut started = self.started.values();
            !started.any(|(started, _)| started.subject() == order.subject())
        };
        let index = self.queued.iter().position(is_free)?;
        let order = self.queued.remove(index)?;
        let id = self.next_id;
        self.next_id += 1;
        self.next_start = now + self.interval;
        self.started.insert(id, (order.clone(), fence));
        Some((id, order))
    }

    /// Returns when the next call may be started, if one is queued.
    pub(super) fn next_start(&self) -> Option<Time> {
        (!self.queued.is_empty()).then_some(self.next_start)
    }

    /// Records an answer. Returns the order and the number of the call.
    pub(super) fn on_answer(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: DutyResult,
    ) -> Option<(DutyOrder, Fence)> {
        let answered = self.started.remove(&id)?;
        cx.count(match result {
            DutyResult::Accepted => Counter::DutyAccepted,
            DutyResult::Fenced => Counter::DutyFenced,
            DutyResult::Throttled => Counter::DutyThrottled,
            DutyResult::Refused => Counter::DutyRefused,
            DutyResult::Unknown => Counter::DutyUnknown,
        });
        self.unanswered_since = match result {
            DutyResult::Unknown => self.unanswered_since.or(Some(cx.now)),
            _ => None,
        };
        match result {
            DutyResult::Accepted | DutyResult::Refused | DutyResult::Fenced => self.failures = 0,
            DutyResult::Throttled | DutyResult::Unknown => self.back_off(cx),
        }
        Some(answered)
    }

    pub(super) const fn unanswered_since(&self) -> Option<Time> {
        self.unanswered_since
    }

    pub(super) const fn forget_unanswered(&mut self) {
        self.unanswered_since = None;
    }

    fn back_off(&mut self, cx: &mut Context) {
        let doubled = BACK_OFF * (1 << self.failures.min(BACK_OFF_DOUBLINGS));
        let percent = cx.rng.random_range(JITTER_PERCENT);
        let pause = doubled.min(BACK_OFF_MAX) * percent / 100;
        self.next_start = self.next_start.max(cx.now + pause);
        self.failures += 1;
    }
}
