//! The queues.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::queue::Drain;

/// How requests of different classes are ordered.
#[derive(Debug, Clone)]
pub struct Config {
    /// The wait after which a batch request counts as interactive. Default: 10 s.
    pub ageing: Duration,
    /// The part of the slots that interactive requests keep, in hundredths. Default: 25.
    pub interactive_percent: u32,
    /// How far above the floor an organisation's interactive request may go first. Default: 500 generated
    /// tokens.
    pub lead: Cost,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ageing: Duration::from_secs(10),
            interactive_percent: 25,
            lead: Cost::tokens(500),
        }
    }
}

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
#[derive(Debug)]
pub struct Queues {
    cfg: Config,
    pools: BTreeMap<PoolId, BTreeMap<OrganisationId, Lane>>,
    /// The requests in the order in which they are given up.
    deadlines: BTreeSet<(Time, RequestId)>,
    /// How many requests of each organisation wait, over all pools.
    waiting: BTreeMap<OrganisationId, usize>,
    drains: BTreeMap<OrganisationId, Drain>,
}

/// The requests of one organisation that wait for one pool.
#[derive(Debug, Default)]
pub struct Lane {
    /// What is taken off the organisation's virtual time in this pool; see
    /// [`share`](crate::share).
    pub discount: u64,
    /// What is added to it as long as the fleet's figures of the organisation are not known here.
    pub raise: u64,
    /// Whether they are not known yet.
    pub provisional: bool,
    interactive: VecDeque<Waiting>,
    batch: VecDeque<Waiting>,
}

impl Queues {
    /// Returns empty queues.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            pools: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            waiting: BTreeMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns how many requests of an organisation wait, over all pools.
    pub fn waiting(&self, organisation: OrganisationId) -> usize {
        self.waiting.get(&organisation).copied().unwrap_or(0)
    }

    /// Puts a request at the end of its queue.
    pub fn push(&mut self, pool: PoolId, org: OrganisationId, class: Class, waiting: Waiting) {
        self.note(org, waiting);
        self.line(pool, org, class).push_back(waiting);
    }

    /// Puts a request back at the front of its queue.
    pub fn push_front(&mut self, pool: PoolId, org: OrganisationId, class: Class, w: Waiting) {
        self.note(org, w);
        self.line(pool, org, class).push_front(w);
    }

    /// Returns the pools for which something waits.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Says whether nothing waits for a pool.
    pub fn is_empty(&self, pool: PoolId) -> bool {
        !self.pools.contains_key(&pool)
    }

    /// Returns the organisations of which something waits for a pool.
    pub fn backlogged(&self, pool: PoolId) -> impl Iterator<Item = (OrganisationId, &Lane)> {
        self.pools
            .get(&pool)
            .into_iter()
            .flat_map(|pool| pool.iter().map(|(&org, lane)| (org, lane)))
    }

    /// Returns the queues of an organisation for a pool, if something waits in them.
    pub fn lane_mut(&mut self, pool: PoolId, org: OrganisationId) -> Option<&mut Lane> {
        self.pools.get_mut(&pool)?.get_mut(&org)
    }

    /// Removes and returns the next request of an organisation for a pool, the urgent class first. A slot
    /// that is kept for urgent requests takes nothing else.
    pub fn pop(
        &mut self,
        now: Time,
        pool: PoolId,
        org: OrganisationId,
        kept: bool,
    ) -> Option<(Class, Waiting)> {
        let ageing = self.cfg.ageing;
        let lane = self.lane_mut(pool, org)?;
        let next = if kept && lane.has_urgent() {
            lane.pop_urgent()
        } else {
            lane.pop(now, ageing)
        }?;
        self.forget(org, &next.1);
        let busy = self.waiting(org) > 0;
        if let Some(drain) = self.drains.get_mut(&org) {
            drain.on_left(now, busy);
        }
        self.tidy(pool, org);
        Some(next)
    }

    /// Returns the first few requests of an organisation that wait for a pool, in the order in which they
    /// would be taken.
    pub fn first(
        &self,
        now: Time,
        pool: PoolId,
        org: OrganisationId,
        count: usize,
    ) -> Vec<(Class, Waiting)> {
        let lane = self.pools.get(&pool).and_then(|lanes| lanes.get(&org));
        lane.map_or_else(Vec::new, |lane| lane.first(now, self.cfg.ageing, count))
    }

    /// Removes a request that goes to a target.
    pub fn take(&mut self, now: Time, pool: PoolId, org: OrganisationId, request: RequestId) {
        if !self.remove(pool, org, request) {
            return;
        }
        let busy = self.waiting(org) > 0;
        if let Some(drain) = self.drains.get_mut(&org) {
            drain.on_left(now, busy);
        }
    }

    /// Removes a request, and says whether it was waiting.
    pub fn remove(&mut self, pool: PoolId, org: OrganisationId, request: RequestId) -> bool {
        let Some(lane) = self.lane_mut(pool, org) else {
            return false;
        };
        let Some(removed) = lane.remove(request) else {
            return false;
        };
        self.forget(org, &removed);
        self.tidy(pool, org);
        true
    }

    /// Returns the requests whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<RequestId> {
        self.deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|&(_, request)| request)
            .collect()
    }

    /// Returns when the next request is given up.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Returns after how long a refused caller of an organisation may usefully come back: when what
    /// waits now has been taken.
    pub fn retry_after(&self, now: Time, org: OrganisationId) -> Option<Duration> {
        let waiting = self.waiting(org).max(1);
        self.drains.get(&org).map(|drain| drain.wait(now, waiting))
    }

    fn note(&mut self, org: OrganisationId, waiting: Waiting) {
        self.deadlines.insert((waiting.deadline, waiting.request));
        let count = self.waiting.entry(org).or_default();
        *count += 1;
        if *count == 1 {
            self.drains
                .entry(org)
                .or_insert_with(|| Drain::new(waiting.since))
                .on_filled(waiting.since);
        }
    }

    fn forget(&mut self, org: OrganisationId, waiting: &Waiting) {
        self.deadlines.remove(&(waiting.deadline, waiting.request));
        if let Some(count) = self.waiting.get_mut(&org) {
            *count = count.saturating_sub(1);
        }
        if self.waiting(org) == 0 {
            self.waiting.remove(&org);
        }
    }

    fn line(&mut self, pool: PoolId, org: OrganisationId, class: Class) -> &mut VecDeque<Waiting> {
        let lane = self.pools.entry(pool).or_default().entry(org).or_default();
        match class {
            Class::Interactive => &mut lane.interactive,
            Class::Batch => &mut lane.batch,
        }
    }

    /// Drops empty queues, so that every organisation that is listed has something waiting.
    fn tidy(&mut self, pool: PoolId, org: OrganisationId) {
        let Some(lanes) = self.pools.get_mut(&pool) else {
            return;
        };
        if lanes.get(&org).is_some_and(|lane| lane.is_empty()) {
            lanes.remove(&org);
        }
        if lanes.is_empty() {
            self.pools.remove(&pool);
        }
    }
}

impl Lane {
    /// Says whether something urgent waits.
    pub fn has_urgent(&self) -> bool {
        !self.interactive.is_empty()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn aged(&self, now: Time, ageing: Duration) -> Option<&Waiting> {
        let oldest = self.batch.front()?;
        (now.since(oldest.since) >= ageing).then_some(oldest)
    }

    fn pop(&mut self, now: Time, ageing: Duration) -> Option<(Class, Waiting)> {
        let batch = match (self.interactive.front(), self.aged(now, ageing)) {
            (Some(urgent), Some(aged)) => aged.since <= urgent.since,
            (Some(_), None) => false,
            (None, _) => true,
        };
        if batch {
            self.batch.pop_front().map(|next| (Class::Batch, next))
        } else {
            self.pop_urgent()
        }
    }

    fn first(&self, now: Time, ageing: Duration, count: usize) -> Vec<(Class, Waiting)> {
        let aged = self.aged(now, ageing).is_some();
        let urgent = self.interactive.iter().map(|w| (Class::Interactive, *w));
        let batch = self.batch.iter().map(|w| (Class::Batch, *w));
        match aged {
            true => batch.chain(urgent).take(count).collect(),
            false => urgent.chain(batch).take(count).collect(),
        }
    }

    fn pop_urgent(&mut self) -> Option<(Class, Waiting)> {
        let next = self.interactive.pop_front();
        next.map(|next| (Class::Interactive, next))
    }

    fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        for line in [&mut self.interactive, &mut self.batch] {
            if let Some(at) = line.iter().position(|waiting| waiting.request == request) {
                return line.remove(at);
            }
        }
        None
    }
}
