//! What a component is given while it handles an event: the time, randomness and a place for its effects.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::counter::Counter;
use crate::key::{AppendId, Incarnation, RouterId};
use crate::message::Part;
use crate::output::{Notice, NoticeKind, Output};
use crate::record::Record;
use crate::time::Time;

/// The surroundings of one event.
///
/// Duties push effects instead of returning them, so that one event may pass through several components
/// and the order of effects is the order in which they were decided.
#[derive(Debug)]
pub struct Context {
    /// The time of the event.
    pub now: Time,
    /// The router on which this happens.
    pub me: RouterId,
    /// The run of the router.
    pub incarnation: Incarnation,
    /// The only source of randomness.
    pub rng: ChaCha8Rng,
    /// Effects in the order in which they were decided.
    pub out: Vec<Output>,
    /// Parts that wait for the next frame to a peer.
    pending: BTreeMap<RouterId, Pending>,
    next_append: u64,
}

#[derive(Debug, Default)]
struct Pending {
    parts: Vec<Part>,
    urgent: bool,
}

/// When a part has to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At the end of this event.
    Now,
    /// With the next frame that goes to the peer anyway.
    Periodic,
}

impl Context {
    /// Returns the surroundings of a node that has seen no event yet.
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

    /// Asks to be called at `at`.
    pub fn wake(&mut self, at: Time) {
        self.out.push(Output::Wake(at));
    }

    /// Appends a record to the log and returns what the answer will carry.
    pub fn append(&mut self, record: &Record) -> AppendId {
        let id = AppendId(self.next_append);
        self.next_append += 1;
        self.out.push(Output::Append {
            id,
            bytes: record.encode(),
        });
        id
    }

    /// Sends a part to a peer.
    pub fn send(&mut self, to: RouterId, part: Part, urgency: Urgency) {
        debug_assert_ne!(to, self.me, "a router does not send to itself");
        let pending = self.pending.entry(to).or_default();
        pending.parts.push(part);
        pending.urgent |= urgency == Urgency::Now;
    }

    /// Removes the parts for all peers that something urgent is due to, or for all peers if
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
