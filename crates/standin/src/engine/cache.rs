//! The prefix cache: the most recently used prefixes, and the events about them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How many events are kept for readers; older ones are a gap.
const EVENTS_MAX: usize = 10_000;

/// The prefixes that an engine holds.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// The most recently used last.
    held: VecDeque<String>,
    events: VecDeque<(Instant, Event)>,
    next: u64,
}

/// An event about a prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Event {
    seq: u64,
    #[serde(flatten)]
    change: Change,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Change {
    Stored(String),
    Evicted(String),
}

/// The answer to `GET /v1/cache-events`.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Events {
    next: u64,
    events: Vec<Event>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: VecDeque::new(),
            events: VecDeque::new(),
            next: 1,
        }
    }

    /// Forgets every prefix without saying so, as a restart does. The numbers begin again.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Uses a prefix and returns whether it was held.
    pub(super) fn touch(&mut self, prefix: &str) -> bool {
        if let Some(at) = self.held.iter().position(|held| held == prefix) {
            self.held.remove(at);
            self.held.push_back(prefix.to_owned());
            return true;
        }
        if self.capacity == 0 {
            return false;
        }
        if self.held.len() >= self.capacity
            && let Some(oldest) = self.held.pop_front()
        {
            self.publish(Change::Evicted(oldest));
        }
        self.held.push_back(prefix.to_owned());
        self.publish(Change::Stored(prefix.to_owned()));
        false
    }

    /// Returns the events from a number on that are older than the lag, without every `gap_every`th.
    pub(super) fn events(&self, from: u64, lag: Duration, gap_every: u64) -> Events {
        let visible: Vec<&Event> = self
            .events
            .iter()
            .filter(|(at, event)| event.seq >= from && at.elapsed() >= lag)
            .map(|(_, event)| event)
            .collect();
        Events {
            next: visible
                .last()
                .map_or(from.min(self.next), |event| event.seq + 1),
            events: visible
                .into_iter()
                .filter(|event| gap_every == 0 || event.seq % gap_every != 0)
                .cloned()
                .collect(),
        }
    }

    fn publish(&mut self, change: Change) {
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((
            Instant::now(),
            Event {
                seq: self.next,
                change,
            },
        ));
        self.next += 1;
    }
}
