//! Which targets may be cold, and what they were sent lately.

use std::collections::{BTreeMap, VecDeque};

use crate::input::TargetState;
use crate::membership::ranking;
use crate::prelude::*;

/// The time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Added to the time for which a target says that it is cold, because its word was under way.
const WORD_LAG: Duration = Duration::from_millis(500);
/// What a target wrote within this time of a break may have been written before it. It is the delay of the
/// platform's store and of its heartbeats together.
const WRITTEN_BEFORE: Duration = Duration::from_secs(2);
/// For how long a target that may have started again counts as cold if it writes nothing.
const UNHEARD: Duration = Duration::from_secs(10);

/// What the whole fleet may send to a cold target, and who shares it.
#[derive(Debug, Clone)]
pub struct Allowance {
    /// Requests in a second, from the whole fleet. Zero allows any number.
    pub per_second: u32,
    /// The routers that share it.
    pub routers: Vec<RouterId>,
}

/// The targets that are or may be cold.
#[derive(Debug, Default)]
pub struct Starts {
    cold: BTreeMap<TargetId, Cold>,
    /// What each target said last: its run, and the number within it.
    said: BTreeMap<TargetId, (Option<u64>, u64)>,
}

#[derive(Debug)]
struct Cold {
    until: Time,
    /// Since when it may have started again without a word, if it may.
    doubted: Option<Time>,
    /// When this router sent it requests.
    sent: VecDeque<Time>,
}

impl Starts {
    /// Takes in what a target says of itself, and says whether it has begun a new run.
    pub fn on_state(&mut self, now: Time, state: &TargetState) -> bool {
        let said = (state.started_ms, state.sequence);
        let before = self.said.insert(state.target, said);
        let restarted = before
            .is_some_and(|(run, sequence)| run != state.started_ms || state.sequence < sequence);
        if !state.cold_for.is_zero() {
            self.cool(state.target, now + state.cold_for + WORD_LAG, None);
            return restarted;
        }
        if let Some(cold) = self.cold.get_mut(&state.target) {
            let settled = cold
                .doubted
                .is_some_and(|since| now.since(since) >= WRITTEN_BEFORE);
            if settled && !restarted {
                cold.doubted = None;
                cold.until = now;
            }
        }
        restarted
    }

    /// Notes that a target may have started again without a word.
    pub fn doubt(&mut self, now: Time, target: TargetId) {
        self.cool(target, now + UNHEARD, Some(now));
    }

    /// Says whether this router may send a target a request now.
    pub fn allows(&self, now: Time, target: TargetId, allowance: &Allowance, me: RouterId) -> bool {
        let Some(cold) = self.cold.get(&target).filter(|cold| cold.until > now) else {
            return true;
        };
        if allowance.per_second == 0 {
            return true;
        }
        let since = now - WINDOW;
        let sent = cold.sent.iter().filter(|&&at| at > since).count();
        sent < part(allowance, target, me)
    }

    /// Notes that a request goes to a target.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId) {
        if let Some(cold) = self.cold.get_mut(&target) {
            let since = now - WINDOW;
            while cold.sent.front().is_some_and(|&at| at <= since) {
                cold.sent.pop_front();
            }
            cold.sent.push_back(now);
        }
    }

    /// Says whether a target is or may be cold.
    pub fn is_cold(&self, now: Time, target: TargetId) -> bool {
        self.cold.get(&target).is_some_and(|cold| cold.until > now)
    }

    /// Forgets targets that are gone, and those that are warm.
    pub fn forget(&mut self, now: Time, is_known: impl Fn(TargetId) -> bool) {
        self.cold.retain(|_, cold| cold.until > now);
        self.said.retain(|&target, _| is_known(target));
    }

    fn cool(&mut self, target: TargetId, until: Time, doubted: Option<Time>) {
        let cold = self.cold.entry(target).or_insert_with(|| Cold {
            until,
            doubted,
            sent: VecDeque::new(),
        });
        cold.until = cold.until.max(until);
        cold.doubted = doubted.or(cold.doubted);
    }
}

/// Returns how many requests this router may send a cold target in a second. What cannot be shared evenly goes
/// to those that the target's key prefers, one each.
fn part(allowance: &Allowance, target: TargetId, me: RouterId) -> usize {
    let per_second = usize::try_from(allowance.per_second).unwrap_or(usize::MAX);
    let routers = allowance.routers.len().max(1);
    let ranked = ranking(u64::from(target.0), allowance.routers.iter().copied());
    let mut first = ranked.iter().take(per_second % routers);
    per_second / routers + usize::from(first.any(|&router| router == me))
}
