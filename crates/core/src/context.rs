//! The context in which components handle an event: the time, a source of randomness and the list
//! of effects.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::counter::Counter;
use crate::key::{AppendId, Incarnation, RouterId};
use crate::message::Part;
use crate::output::{Notice, NoticeKind, Output};
use crate::record::Record;
use crate::time::Time;

/// The context of one event.
///
/// Components push effects instead of returning them, so that one event can pass through several
/// components and the effects keep the order in which they were decided.
#[derive(Debug)]
pub struct Context {
    /// The time of the event.
    pub now: Time,
    /// The router that handles the event.
    pub me: RouterId,
    /// The present run of the router.
    pub incarnation: Incarnation,
    /// The only source of randomness.
    pub rng: ChaCha8Rng,
    /// The effects of the event, in the order in which they were decided.
    pub out: Vec<Output>,
    /// Parts to be sent in the next frame to each peer.
    pending: BTreeMap<RouterId, Pending>,
    next_append: u64,
}

#[derive(Debug, Default)]
struct Pending {
    parts: Vec<Part>,
    urgent: bool,
}

/// When a part has to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At the end of this event.
    Now,
    /// With the next frame that is sent to the peer for another reason.
    Periodic,
}

impl Context {
    /// Returns the context of a node that has handled no event yet.
    pub fn new(me: RouterId, incarnation: Incarnation, rng: ChaCha8Rng) -> Self {
        Self {
            now: Time::default(),
            me,
            incarnation,
            rng,
            out: Vec::new(),
            pending: BTreeMap::new(),
            next_append: 0,
        }
    }

    /// Counts an event.
    pub fn count(&mut self, counter: Counter) {
        self.out.push(Output::Count(counter));
    }

    /// Reports a change of state.
    pub fn notice(&mut self, kind: NoticeKind, subject: impl Into<String>) {
        self.out.push(Output::Notice(Notice {
            kind,
            subject: subject.into(),
        }));
    }

    /// Requests a timer event at `at`.
    pub fn wake(&mut self, at: Time) {
        self.out.push(Output::Wake(at));
    }

    /// Appends a record to the log and returns the identity that the answer will carry.
    pub fn append(&mut self, record: &Record) -> AppendId {
        let id = AppendId(self.next_append);
        self.next_append += 1;
        self.out.push(Output::Append {
            id,
            bytes: record.encode(),
        });
        id
    }

    /// Queues a part for a peer.
    pub fn send(&mut self, to: RouterId, part: Part, urgency: Urgency) {
        debug_assert_ne!(to, self.me, "a router does not send to itself");
        let pending = self.pending.entry(to).or_default();
        pending.parts.push(part);
        pending.urgent |= urgency == Urgency::Now;
    }

    /// Removes and returns the queued parts of each peer that has an urgent one, or of all peers if
    /// `everything` is set, in the order of peers.
    pub fn take_due(&mut self, everything: bool) -> Vec<(RouterId, Vec<Part>)> {
        let due: Vec<RouterId> = self
            .pending
            .iter()
            .filter(|(_, pending)| everything || pending.urgent)
            .map(|(&to, _)| to)
            .collect();
        due.into_iter()
            .filter_map(|to| self.pending.remove(&to).map(|pending| (to, pending.parts)))
            .collect()
    }
}
