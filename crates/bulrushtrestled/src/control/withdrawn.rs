//! Targets that must get nothing more, for the traffic threads.
//!
//! A busy router may take a while from the decision to send a request to the moment at which the connection is there.
//! What was learnt meanwhile is looked up right before the request is written.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, PoisonError, RwLock};

/// The most targets that are remembered, the newest. Requests are on their way for seconds only, in which a fleet does not
/// lose so many.
const NAMES_MAX: usize = 1_024;

/// The names of targets that leave or are gone.
#[derive(Debug, Clone, Default)]
pub(crate) struct Withdrawn(Arc<RwLock<Names>>);

#[derive(Debug, Default)]
struct Names {
    known: HashSet<String>,
    /// In the order in which they were learnt.
    order: VecDeque<String>,
}

impl Withdrawn {
    /// Notes whether a target may be sent requests.
    pub(crate) fn record(&self, name: &str, may_be_used: bool) {
        let mut names = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if may_be_used {
            if names.known.remove(name) {
                names.order.retain(|other| other != name);
            }
            return;
        }
        if names.known.insert(name.to_owned()) {
            names.order.push_back(name.to_owned());
        }
        if names.order.len() > NAMES_MAX
            && let Some(oldest) = names.order.pop_front()
        {
            names.known.remove(&oldest);
        }
    }

    /// Says whether a target must get nothing more.
    pub(crate) fn contains(&self, name: &str) -> bool {
        let names = self.0.read().unwrap_or_else(PoisonError::into_inner);
        names.known.contains(name)
    }
}
