//! Steps on their way to the log.

use crate::once::message::Step;
use crate::prelude::*;

/// For how long an append that is not answered holds up the next one.
const ANSWER_MAX: Duration = Duration::from_secs(5);

/// Claims that wait for the next append, and the append under way.
///
/// One append of this component is under way at a time, so that batches grow when the log is slow.
#[derive(Debug, Default)]
pub(super) struct Batch {
    claims: Vec<Step>,
    /// When the next append is due.
    due: Option<Time>,
    under_way: Option<UnderWay>,
}

#[derive(Debug)]
struct UnderWay {
    id: AppendId,
    since: Time,
    claims: Vec<u64>,
}

impl Batch {
    /// Adds a claim to the next append.
    pub(super) fn push(&mut self, cx: &mut Context, window: Duration, claim: Step) {
        self.claims.push(claim);
        self.schedule(cx, cx.now + window);
    }

    /// Asks for an append at `at` or earlier.
    pub(super) fn schedule(&mut self, cx: &mut Context, at: Time) {
        if self.due.is_none_or(|due| at < due) {
            self.due = Some(at);
            cx.wake(at);
        }
    }

    /// Takes back a claim that was not appended yet, and says whether it was not.
    pub(super) fn take_back(&mut self, number: u64) -> bool {
        let before = self.claims.len();
        self.claims.retain(|claim| claim.number != number);
        self.claims.len() < before
    }

    /// Returns the claims that are due now, if an append may go out.
    pub(super) fn take_due(&mut self, now: Time, max: usize) -> Option<Vec<Step>> {
        let blocked = self
            .under_way
            .as_ref()
            .is_some_and(|append| now.since(append.since) < ANSWER_MAX);
        if blocked || self.due.is_none_or(|due| now < due) {
            return None;
        }
        let rest = self.claims.split_off(self.claims.len().min(max));
        self.due = (!rest.is_empty()).then_some(now);
        Some(core::mem::replace(&mut self.claims, rest))
    }

    /// Notes that an append went out.
    pub(super) fn sent(&mut self, now: Time, id: AppendId, claims: Vec<u64>) {
        self.under_way = Some(UnderWay {
            id,
            since: now,
            claims,
        });
    }

    /// Notes that an append was answered, and returns the numbers of the claims in it.
    pub(super) fn answered(&mut self, id: AppendId) -> Vec<u64> {
        let answered = self.under_way.take_if(|append| append.id == id);
        answered.map_or_else(Vec::new, |append| append.claims)
    }
}
