//! Targets to which no more requests may be sent, for the traffic threads.
//!
//! On a busy router some time passes between the decision to send a request and the moment at which
//! the connection is open. A change in between is checked for right before the request is written.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, PoisonError, RwLock};

/// The most targets that are kept; beyond it the oldest is dropped. A request is sent within seconds of
/// the decision, and a fleet does not lose this many targets in that time.
const NAMES_MAX: usize = 1_024;

/// The names of targets that are leaving or were removed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Withdrawn(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    set: HashSet<String>,
    /// The names in the order in which they were recorded, the oldest first.
    order: VecDeque<String>,
}

impl Withdrawn {
    /// Records whether requests may be sent to a target.
    pub(crate) fn record(&self, name: &str, may_be_used: bool) {
        let mut names = self.0.write().unwrap_or_else(PoisonError::into_inner);
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

    /// Returns whether no more requests may be sent to a target.
    pub(crate) fn contains(&self, name: &str) -> bool {
        let names = self.0.read().unwrap_or_else(PoisonError::into_inner);
        names.set.contains(name)
    }
}
