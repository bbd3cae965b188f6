//! The queues.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Since when it waits.
    pub since: Time,
    /// When it is given up.
    pub deadline: Time,
}

/// The requests that wait at this router, by pool and organisation.
#[derive(Debug, Default)]
pub struct Queues {
    pools: BTreeMap<PoolId, BTreeMap<OrganisationId, Lines>>,
}

/// The queues of one organisation for one pool.
#[derive(Debug, Default)]
struct Lines {
    interactive: VecDeque<Waiting>,
    batch: VecDeque<Waiting>,
}

impl Queues {
    /// Returns empty queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests of an organisation wait, over all pools.
    pub fn waiting(&self, organisation: OrganisationId) -> usize {
        self.pools
            .values()
            .filter_map(|pool| pool.get(&organisation))
            .map(Lines::len)
            .sum()
    }

    /// Puts a request at the end of its queue.
    pub fn push(&mut self, pool: PoolId, org: OrganisationId, class: Class, waiting: Waiting) {
        self.line(pool, org, class).push_back(waiting);
    }

    /// Puts a request back at the front of its queue.
    pub fn push_front(&mut self, pool: PoolId, org: OrganisationId, class: Class, w: Waiting) {
        self.line(pool, org, class).push_front(w);
    }

    /// Returns the pools for which something waits.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns the organisations of which something waits for a pool.
    pub fn backlogged(&self, pool: PoolId) -> impl Iterator<Item = OrganisationId> {
        self.pools
            .get(&pool)
            .into_iter()
            .flat_map(|pool| pool.keys().copied())
    }

    /// Removes and returns the next request of an organisation for a pool, the urgent class first.
    pub fn pop(&mut self, pool: PoolId, org: OrganisationId) -> Option<Waiting> {
        let lines = self.pools.get_mut(&pool)?.get_mut(&org)?;
        let next = lines
            .interactive
            .pop_front()
            .or_else(|| lines.batch.pop_front());
        self.tidy(pool, org);
        next
    }

    /// Removes a request, and says whether it was waiting.
    pub fn remove(&mut self, pool: PoolId, org: OrganisationId, request: RequestId) -> bool {
        let Some(lines) = self
            .pools
            .get_mut(&pool)
            .and_then(|pool| pool.get_mut(&org))
        else {
            return false;
        };
        let before = lines.len();
        lines
            .interactive
            .retain(|waiting| waiting.request != request);
        lines.batch.retain(|waiting| waiting.request != request);
        let removed = lines.len() < before;
        self.tidy(pool, org);
        removed
    }

    /// Returns the requests whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<RequestId> {
        let lines = self.pools.values().flat_map(BTreeMap::values);
        let waiting = lines.flat_map(|lines| lines.interactive.iter().chain(&lines.batch));
        waiting
            .filter(|w| w.deadline <= now)
            .map(|w| w.request)
            .collect()
    }

    fn line(&mut self, pool: PoolId, org: OrganisationId, class: Class) -> &mut VecDeque<Waiting> {
        let lines = self.pools.entry(pool).or_default().entry(org).or_default();
        match class {
            Class::Interactive => &mut lines.interactive,
            Class::Batch => &mut lines.batch,
        }
    }

    /// Drops empty queues, so that every organisation that is listed has something waiting.
    fn tidy(&mut self, pool: PoolId, org: OrganisationId) {
        let Some(lines) = self.pools.get_mut(&pool) else {
            return;
        };
        if lines.get(&org).is_some_and(|lines| lines.len() == 0) {
            lines.remove(&org);
        }
        if lines.is_empty() {
            self.pools.remove(&pool);
        }
    }
}

impl Lines {
    fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }
}
