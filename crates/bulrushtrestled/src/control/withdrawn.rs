//! Targets to which no more requests may be sent, for the traffic threads.
//!
//! On a busy router some time passes between the decision to send a request and the moment at which
//! the connection is open. A change in between is checked for right before the request is written.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, PoisonError, RwLock, RwLockWriteGuard};
use std::time::{Duration, Instant};

/// The most targets that are kept; beyond it the oldest is dropped. A request is sent within seconds of
/// the decision, and a fleet does not lose this many targets in that time.
const NAMES_MAX: usize = 1_024;

/// The longest pause that is kept here. The control thread applies longer ones before it decides, and
/// no request is under way between the decision and its connection for that long.
const PAUSE_MAX: Duration = Duration::from_secs(60);

/// The names of targets that are leaving or were removed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Withdrawn(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    set: HashSet<String>,
    /// The names in the order in which they were recorded, the oldest first.
    order: VecDeque<String>,
    /// The targets that want no requests for a while, and the end of that time. Ended ones are
    /// dropped when another is added.
    paused: HashMap<String, Instant>,
}

impl Withdrawn {
    /// Records whether requests may be sent to a target.
    pub(crate) fn record(&self, name: &str, may_be_used: bool) {
        let mut names = self.lock();
        if may_be_used {
            if names.set.remove(name) {
                names.order.retain(|other| other != name);
            }
            return;
        }
        if names.set.insert(name.to_owned()) {
            names.order.push_back(name.to_owned());
        }
        if names.order.len() > NAMES_MAX
            && let Some(oldest) = names.order.pop_front()
        {
            names.set.remove(&oldest);
        }
    }

    /// Records that a target wants no requests for a time from now on.
    pub(crate) fn pause(&self, name: &str, now: Instant, time: Duration) {
        let mut names = self.lock();
        names.paused.retain(|_, until| *until > now);
        if names.paused.len() < NAMES_MAX {
            let until = now + time.min(PAUSE_MAX);
            let longest = names.paused.entry(name.to_owned()).or_insert(until);
            *longest = until.max(*longest);
        }
    }

    /// Records that a target that wanted no requests takes them again.
    pub(crate) fn resume(&self, name: &str) {
        self.lock().paused.remove(name);
    }

    /// Returns whether no more requests may be sent to a target at present.
    pub(crate) fn contains(&self, name: &str, now: Instant) -> bool {
        let names = self.0.read().unwrap_or_else(PoisonError::into_inner);
        names.set.contains(name) || names.paused.get(name).is_some_and(|until| *until > now)
    }

    fn lock(&self) -> RwLockWriteGuard<'_, Names> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }
}
