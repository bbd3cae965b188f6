//! The order of the events of a streamed answer, by their ids.
//!
//! # Invariant
//!
//! The caller receives the events of a target in the order in which the target sent them, each once
//! and none left out, with increasing ids. An attempt that breaks this order ends as failed, so that
//! its answer never looks complete. An answer is resumed only after an id that the order of the
//! events confirms, and only by an attempt whose first event is the one that is due: one that
//! repeats events is another run of the request, whose events may differ.
//!
//! # Ids that jump
//!
//! Ids increase by steps that the platform does not state, mostly by one. An event whose id is
//! further ahead than any step before is held until the next event arrives. An event with a larger
//! id confirms it. If the id falls instead, or the answer breaks off, the caller has not received
//! the doubtful event, and the answer can be resumed after the event before it.

use bytes::BytesMut;

use crate::traffic::sse::Event;

/// The most events that are held. A stream with more events without an id after a jump is forwarded
/// as it arrives.
const HELD_EVENTS_MAX: usize = 8;

/// An event that does not follow the event before it: its id is not above the one before, or it is the
/// first of an attempt that resumes an answer and is not the event that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OutOfOrder {
    /// The id of the event, if it has one.
    pub(super) id: Option<u64>,
    /// The id of the event before it.
    pub(super) after: u64,
    /// Whether the answer may be resumed after [`Sequence::delivered`].
    pub(super) is_resumable: bool,
}

/// The position of an answer in its events, across all attempts of the request.
#[derive(Debug, Default)]
pub(super) struct Sequence {
    /// The id after which the caller asked the stream to go on, if it did.
    asked_after: Option<u64>,
    /// The id of the first event that was forwarded and has one.
    first: Option<u64>,
    /// The id of the last event that was forwarded and has one.
    last: Option<u64>,
    /// How many events with an id were forwarded.
    numbered: u64,
    /// How many events without an id were forwarded after the last one with an id.
    unnumbered: u64,
    /// The largest step between two ids, or the first id while only one is known.
    step_max: Option<u64>,
    /// The value of `last` when the present attempt began.
    resumed_from: Option<u64>,
    /// Whether an event with an id of the present attempt was forwarded or held.
    has_new: bool,
    /// An event whose id jumps, and those that followed it.
    held: Vec<Event>,
}

impl Sequence {
    /// Returns the position of an answer of which the caller has all events up to `asked_after`.
    pub(super) fn asked_after(asked_after: Option<u64>) -> Self {
        Self {
            asked_after,
            ..Self::default()
        }
    }

    /// Begins an attempt, which resumes the answer after [`delivered`](Self::delivered).
    pub(super) fn begin_attempt(&mut self) {
        self.resumed_from = self.last;
        self.has_new = false;
        self.held.clear();
    }

    /// Returns the id of the last event that was forwarded, or 0.
    pub(super) fn delivered(&self) -> u64 {
        self.last.unwrap_or(0)
    }

    /// Returns the id of the last event that the caller has, from this answer or an earlier one.
    fn position(&self) -> Option<u64> {
        self.last.or(self.asked_after)
    }

    /// Returns whether an answer that breaks off now may be resumed: the caller has received no event
    /// without a position after the last one with an id, and that id is not in doubt.
    pub(super) fn is_resumable(&self) -> bool {
        self.unnumbered == 0 && !self.is_second_doubtful()
    }

    /// Returns whether the last of just two ids may be spoilt: it is not the next number, and no other
    /// step shows that ids increase by more than one.
    fn is_second_doubtful(&self) -> bool {
        let steps_by_one = self.first.and_then(|first| first.checked_add(1)) == self.last;
        self.numbered == 2 && !steps_by_one
    }

    /// Returns the first id that was forwarded if neither another event nor what the caller asked for
    /// has confirmed it.
    pub(super) fn unconfirmed_first(&self) -> Option<u64> {
        let due = self.asked_after.and_then(|after| after.checked_add(1));
        let first = self.first.filter(|_| self.numbered == 1);
        first.filter(|&first| due != Some(first))
    }

    /// Returns the first id that was forwarded if other events have confirmed it.
    pub(super) fn confirmed_first(&self) -> Option<u64> {
        self.first.filter(|_| self.numbered > 1)
    }

    /// Returns whether an event with an id of the present attempt was forwarded or held, if the attempt
    /// resumes an answer. An attempt without one has not shown that it continues the answer.
    pub(super) const fn has_continued(&self) -> bool {
        self.resumed_from.is_none() || self.has_new
    }

    /// Returns the id after which the answer is resumed, if the caller has received an event with one.
    pub(super) const fn resume_after(&self) -> Option<u64> {
        self.last
    }

    /// Adds an event to `batch`, or holds it.
    ///
    /// # Errors
    ///
    /// Fails if the event shows that events are missing, repeated or spoilt. The event is not added.
    pub(super) fn push(&mut self, event: Event, batch: &mut BytesMut) -> Result<(), OutOfOrder> {
        let Some(id) = event.id else {
            return self.push_unnumbered(event, batch);
        };
        if let Some(jumped) = self.held.first().and_then(|held| held.id) {
            if id <= jumped {
                return Err(self.out_of_order(Some(id), jumped));
            }
            self.release(batch);
        }
        if let Some(last) = self.position().filter(|&last| id <= last) {
            return Err(self.out_of_order(Some(id), last));
        }
        if self.is_jump(id) {
            if !self.has_continued() {
                return Err(self.out_of_order(Some(id), self.delivered()));
            }
            self.has_new = true;
            self.held.push(event);
            return Ok(());
        }
        self.forward(&event, batch);
        Ok(())
    }

    /// Adds the events that are still held at the end of a complete answer.
    pub(super) fn finish(&mut self, batch: &mut BytesMut) {
        self.release(batch);
    }

    fn push_unnumbered(&mut self, event: Event, batch: &mut BytesMut) -> Result<(), OutOfOrder> {
        if !self.has_continued() && !event.is_comment {
            return Err(self.out_of_order(None, self.delivered()));
        }
        if self.held.is_empty() {
            self.forward(&event, batch);
            return Ok(());
        }
        self.held.push(event);
        if self.held.len() > HELD_EVENTS_MAX {
            self.release(batch);
        }
        Ok(())
    }

    /// Returns whether an id is further ahead than any step before allows.
    fn is_jump(&self, id: u64) -> bool {
        let events = self.unnumbered.saturating_add(1);
        let step = id.saturating_sub(self.position().unwrap_or(0));
        self.step_max
            .is_some_and(|step_max| step > step_max.saturating_mul(events))
    }

    fn release(&mut self, batch: &mut BytesMut) {
        for event in std::mem::take(&mut self.held) {
            self.forward(&event, batch);
        }
    }

    fn forward(&mut self, event: &Event, batch: &mut BytesMut) {
        batch.extend_from_slice(&event.raw);
        let Some(id) = event.id else {
            self.unnumbered += u64::from(!event.is_end && !event.is_comment);
            return;
        };
        let step = id.saturating_sub(self.position().unwrap_or(0)) / (self.unnumbered + 1);
        self.step_max = match self.numbered {
            // The first id shows the step only until two ids do.
            0 | 1 => Some(step.max(1)),
            _ => self.step_max.max(Some(step)),
        };
        self.first.get_or_insert(id);
        self.last = Some(id);
        self.numbered += 1;
        self.unnumbered = 0;
        self.has_new = true;
    }

    /// Returns the error for an event. Its own id or the one before may be wrong; the latter was
    /// confirmed by the steps before, unless it is the only one of this answer.
    fn out_of_order(&self, id: Option<u64>, after: u64) -> OutOfOrder {
        let is_confirmed = self.numbered != 1 || !self.held.is_empty();
        OutOfOrder {
            id,
            after,
            is_resumable: self.is_resumable() && is_confirmed,
        }
    }
}
