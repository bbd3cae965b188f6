//! Batches of steps to be appended to the log.

use crate::once::message::Step;
use crate::prelude::*;

/// How long an unanswered append delays the next one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The claims for the next append and the append in flight.
///
/// At most one append of claims is in flight at a time, so that batches grow when the log is slow.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// The claims for the next append.
    claims: Vec<Step>,
    /// When the next append is due; `None` if nothing is to be appended.
    due: Option<Time>,
    in_flight: Option<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    id: AppendId,
    since: Time,
    /// The numbers of the claims in the append.
    claims: Vec<u64>,
}

impl Batch {
    /// Adds a claim to the next append.
    pub(super) fn push(&mut self, cx: &mut Context, window: Duration, claim: Step) {
        self.claims.push(claim);
        self.schedule(cx, cx.now + window);
    }

    /// Schedules an append at `at` or earlier.
    pub(super) fn schedule(&mut self, cx: &mut Context, at: Time) {
        if self.due.is_none_or(|due| at < due) {
            self.due = Some(at);
            cx.wake(at);
        }
    }

    /// Removes a claim that was not appended yet. Returns whether there was one with this number.
    pub(super) fn withdraw(&mut self, number: u64) -> bool {
        let before = self.claims.len();
        self.claims.retain(|claim| claim.number != number);
        self.claims.len() < before
    }

    /// Removes and returns the claims of an append that is due, at most `max`. Returns `None` if no
    /// append is due or one is in flight.
    pub(super) fn take_due(&mut self, now: Time, max: usize) -> Option<Vec<Step>> {
        let blocked = self
            .in_flight
            .as_ref()
            .is_some_and(|append| now.since(append.since) < ANSWER_TIMEOUT);
        if blocked || self.due.is_none_or(|due| now < due) {
            return None;
        }
        let rest = self.claims.split_off(self.claims.len().min(max));
        self.due = (!rest.is_empty()).then_some(now);
        Some(core::mem::replace(&mut self.claims, rest))
    }

    /// Records that an append was sent.
    pub(super) fn sent(&mut self, now: Time, id: AppendId, claims: Vec<u64>) {
        self.in_flight = Some(InFlight {
            id,
            since: now,
            claims,
        });
    }

    /// Records the answer to an append and returns the numbers of the claims in it.
    pub(super) fn answered(&mut self, id: AppendId) -> Vec<u64> {
        let answered = self.in_flight.take_if(|append| append.id == id);
        answered.map_or_else(Vec::new, |append| append.claims)
    }
}
