//! The queues of waiting requests, by pool, organisation and class.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::queue::DrainRate;

/// Settings by which requests of different classes are ordered.
#[derive(Debug, Clone)]
pub struct Config {
    /// The wait after which a batch request counts as interactive. Default: 10 s.
    pub ageing: Duration,
    /// The part of a router's used slots that is kept for interactive requests, in hundredths.
    /// Default: 25.
    pub interactive_percent: u32,
    /// The distance above the floor up to which an organisation's interactive request may go first.
    /// Default: 500 generated tokens.
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
    /// When the request began to wait.
    pub since: Time,
    /// When the request times out.
    pub deadline: Time,
}

/// The requests that wait at this router, by pool and organisation.
#[derive(Debug)]
pub struct Queues {
    cfg: Config,
    pools: BTreeMap<PoolId, BTreeMap<OrganisationId, Lane>>,
    /// The requests in the order of their deadlines.
    deadlines: BTreeSet<(Time, RequestId)>,
    /// The number of waiting requests of each organisation, over all pools.
    waiting: BTreeMap<OrganisationId, usize>,
    /// The rate at which requests of each organisation leave for targets, over all pools.
    drain_rates: BTreeMap<OrganisationId, DrainRate>,
}

/// The requests of one organisation that wait for one pool.
#[derive(Debug, Default)]
pub struct Lane {
    /// The amount that is subtracted from the organisation's virtual time in this pool; see
    /// [`share`](crate::share).
    pub discount: u64,
    /// The amount that is added to the organisation's virtual time as long as this router does not
    /// know the fleet's total for the organisation.
    pub raise: u64,
    /// Whether this router did not know the fleet's total for the organisation when `discount` and
    /// `raise` were set.
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
            drain_rates: BTreeMap::new(),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns the number of waiting requests of an organisation, over all pools.
    pub fn waiting(&self, organisation: OrganisationId) -> usize {
        self.waiting.get(&organisation).copied().unwrap_or(0)
    }

    /// Puts a request at the end of its queue.
    pub fn push(&mut self, pool: PoolId, org: OrganisationId, class: Class, waiting: Waiting) {
        self.on_push(org, waiting);
        self.queue_mut(pool, org, class).push_back(waiting);
    }

    /// Puts a request back at the front of its queue.
    pub fn push_front(&mut self, pool: PoolId, org: OrganisationId, class: Class, w: Waiting) {
        self.on_push(org, w);
        self.queue_mut(pool, org, class).push_front(w);
    }

    /// Returns the pools for which requests wait.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns whether no request waits for a pool.
    pub fn is_empty(&self, pool: PoolId) -> bool {
        !self.pools.contains_key(&pool)
    }

    /// Returns the organisations with requests that wait for a pool.
    pub fn backlogged(&self, pool: PoolId) -> impl Iterator<Item = (OrganisationId, &Lane)> {
        self.pools
            .get(&pool)
            .into_iter()
            .flat_map(|pool| pool.iter().map(|(&org, lane)| (org, lane)))
    }

    /// Returns the number of waiting requests of an organisation for a pool.
    pub fn waiting_for(&self, pool: PoolId, org: OrganisationId) -> usize {
        let lane = self.pools.get(&pool).and_then(|lanes| lanes.get(&org));
        lane.map_or(0, Lane::len)
    }

    /// Returns the lane of an organisation for a pool, if any request waits in the lane.
    pub fn lane_mut(&mut self, pool: PoolId, org: OrganisationId) -> Option<&mut Lane> {
        self.pools.get_mut(&pool)?.get_mut(&org)
    }

    /// Removes and returns the next request of an organisation for a pool. `reserved` says whether
    /// the slot is reserved for urgent requests; then an interactive request goes first even if a
    /// batch request has aged.
    pub fn pop(
        &mut self,
        now: Time,
        pool: PoolId,
        org: OrganisationId,
        reserved: bool,
    ) -> Option<(Class, Waiting)> {
        let ageing = self.cfg.ageing;
        let lane = self.lane_mut(pool, org)?;
        let next = if reserved && lane.has_urgent() {
            lane.pop_urgent()
        } else {
            lane.pop(now, ageing)
        }?;
        self.on_remove(org, &next.1);
        let others_wait = self.waiting(org) > 0;
        if let Some(rate) = self.drain_rates.get_mut(&org) {
            rate.on_dispatch(now, others_wait);
        }
        self.drop_if_empty(pool, org);
        Some(next)
    }

    /// Returns the first `count` requests of an organisation that wait for a pool, in the order of
    /// dispatch.
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

    /// Removes a request that is dispatched to a target.
    pub fn take(&mut self, now: Time, pool: PoolId, org: OrganisationId, request: RequestId) {
        if !self.remove(pool, org, request) {
            return;
        }
        let others_wait = self.waiting(org) > 0;
        if let Some(rate) = self.drain_rates.get_mut(&org) {
            rate.on_dispatch(now, others_wait);
        }
    }

    /// Removes a request, and returns whether it was waiting.
    pub fn remove(&mut self, pool: PoolId, org: OrganisationId, request: RequestId) -> bool {
        let Some(lane) = self.lane_mut(pool, org) else {
            return false;
        };
        let Some(removed) = lane.remove(request) else {
            return false;
        };
        self.on_remove(org, &removed);
        self.drop_if_empty(pool, org);
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

    /// Returns the earliest deadline of any waiting request.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the time after which a refused caller of an organisation should retry: the estimated
    /// time until the requests that wait now have been dispatched.
    pub fn retry_after(&self, now: Time, org: OrganisationId) -> Option<Duration> {
        let waiting = self.waiting(org).max(1);
        let rate = self.drain_rates.get(&org);
        rate.map(|rate| rate.wait(now, waiting))
    }

    /// Updates deadlines, counts and rates for a request that is added.
    fn on_push(&mut self, org: OrganisationId, waiting: Waiting) {
        self.deadlines.insert((waiting.deadline, waiting.request));
        let count = self.waiting.entry(org).or_default();
        *count += 1;
        if *count == 1 {
            self.drain_rates
                .entry(org)
                .or_insert_with(|| DrainRate::new(waiting.since))
                .on_nonempty(waiting.since);
        }
    }

    /// Updates deadlines and counts for a request that is removed.
    fn on_remove(&mut self, org: OrganisationId, waiting: &Waiting) {
        self.deadlines.remove(&(waiting.deadline, waiting.request));
        if let Some(count) = self.waiting.get_mut(&org) {
            *count = count.saturating_sub(1);
        }
        if self.waiting(org) == 0 {
            self.waiting.remove(&org);
        }
    }

    fn queue_mut(
        &mut self,
        pool: PoolId,
        org: OrganisationId,
        class: Class,
    ) -> &mut VecDeque<Waiting> {
        let lane = self.pools.entry(pool).or_default().entry(org).or_default();
        match class {
            Class::Interactive => &mut lane.interactive,
            Class::Batch => &mut lane.batch,
        }
    }

    /// Drops the lane of an organisation if it is empty, so that every organisation in a pool has a
    /// waiting request.
    fn drop_if_empty(&mut self, pool: PoolId, org: OrganisationId) {
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
    /// Returns whether an interactive request waits.
    pub fn has_urgent(&self) -> bool {
        !self.interactive.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the oldest batch request, if it has waited long enough to count as interactive.
    fn aged(&self, now: Time, ageing: Duration) -> Option<&Waiting> {
        let oldest = self.batch.front()?;
        (now.since(oldest.since) >= ageing).then_some(oldest)
    }

    fn pop(&mut self, now: Time, ageing: Duration) -> Option<(Class, Waiting)> {
        let is_batch = match (self.interactive.front(), self.aged(now, ageing)) {
            (Some(urgent), Some(aged)) => aged.since <= urgent.since,
            (Some(_), None) => false,
            (None, _) => true,
        };
        if is_batch {
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
        for queue in [&mut self.interactive, &mut self.batch] {
            if let Some(at) = queue.iter().position(|waiting| waiting.request == request) {
                return queue.remove(at);
            }
        }
        None
    }
}
