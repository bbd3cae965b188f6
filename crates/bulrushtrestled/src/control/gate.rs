//! When this router has to read the store's topics itself, as decided by the node.

use std::cell::Cell;
use std::rc::Rc;

use bulrushtrestle_core::feed::{Feed, Topic};
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::time::Time;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;

/// What followers of topics have to know about peers that deliver the same records. Shared between
/// tasks of the control thread.
#[derive(Debug, Clone, Default)]
pub(super) struct Gate(Rc<State>);

#[derive(Debug, Default)]
struct State {
    topics: [TopicGate; Topic::ALL.len()],
    /// Whether other routers rely on what this one reads.
    is_source: Cell<bool>,
    /// The era of the store.
    era: Cell<u64>,
    /// Notifies followers of a new era.
    restored: Notify,
}

#[derive(Debug, Default)]
struct TopicGate {
    fed_until: Cell<Option<Time>>,
    known: Cell<Offset>,
    /// Notifies the follower if a read is due earlier than before.
    opened: Notify,
}

impl Gate {
    /// Takes over what the node knows now.
    pub(super) fn update(&self, now: Time, feed: &Feed) {
        self.0.is_source.set(feed.is_source(now));
        for topic in Topic::ALL {
            let gate = self.at(topic);
            gate.known.set(feed.known(topic));
            let until = feed.fed_until(topic);
            let before = gate.fed_until.replace(until);
            if until < before {
                gate.opened.notify_waiters();
            }
        }
    }

    /// Ends the reads that were sent in an earlier era of the store.
    pub(super) fn begin_era(&self, era: u64) {
        self.0.era.set(era);
        self.0.restored.notify_waiters();
    }

    /// Waits until the store is in a later era than this.
    pub(super) async fn wait_for_era_after(&self, era: u64) {
        while self.0.era.get() <= era {
            self.0.restored.notified().await;
        }
    }

    /// Returns whether peers deliver the topic, so that it need not be read.
    pub(super) fn is_fed(&self, now: Time, topic: Topic) -> bool {
        self.at(topic).fed_until.get().is_some_and(|it| it > now)
    }

    /// Waits until the topic has to be read. Returns whether it had to wait.
    pub(super) async fn wait(&self, clock: &Clock, topic: Topic) -> bool {
        let gate = self.at(topic);
        let mut has_waited = false;
        loop {
            let now = clock.now();
            match gate.fed_until.get() {
                Some(until) if until > now => {
                    has_waited = true;
                    tokio::select! {
                        () = sleep(until.since(now)) => {}
                        () = gate.opened.notified() => {}
                    }
                }
                _ => return has_waited,
            }
        }
    }

    /// Returns the offset below which all records of the topic are known.
    pub(super) fn known(&self, topic: Topic) -> Offset {
        self.at(topic).known.get()
    }

    /// Returns whether other routers rely on what this one reads.
    pub(super) fn is_source(&self) -> bool {
        self.0.is_source.get()
    }

    fn at(&self, topic: Topic) -> &TopicGate {
        &self.0.topics[topic.index()]
    }
}
