//! The limits that targets state: this router's part of them, and the requests that they leave no
//! room for.

use std::collections::{BTreeMap, BTreeSet};

use crate::balance::Size;
use crate::input::{AnswerHead, StatedLimit};
use crate::limit::message::{DemandRow, LimitRow};
use crate::limit::{Change, Part, Rate};
use crate::node::Node;
use crate::node::request::Active;
use crate::prelude::*;

/// The part of its allowed wait for which a large request waits for a permit rather than taking a
/// target without a limit, in hundredths.
const PERMIT_WAIT_PERCENT: u32 = 50;

/// The requests that a router may send to a pool whose targets all state limits.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// The sum of the router's parts.
    rate: Rate,
    /// The unused permits.
    permits: u64,
    /// How long it takes until there is a permit.
    next_in: Duration,
}

/// The wait that is assumed, relative to what follows from the present parts, in hundredths.
const WAIT_MARGIN_PERCENT: u32 = 150;

impl Node {
    /// Processes the head of an answer.
    pub(super) fn on_answer_head(&mut self, attempt: AttemptId, head: AnswerHead) {
        let Some(attempt) = self.attempts.get(&attempt) else {
            return;
        };
        let (target, sent) = (attempt.target, attempt.sent);
        if let Some(load) = head.load {
            self.targets.on_load(target, load);
        }
        let now = self.cx.now;
        let work = head.load.and_then(|load| load.work);
        if let Some(work) = work
            && let Some(row) = self.speeds.on_stated(now, target, work)
        {
            self.balance.report_speed(row);
            self.cx.count(Counter::TargetSpeedChanged);
        }
        if self.limits.limit(target).is_none() && matches!(head.limit, StatedLimit::PerSecond(_)) {
            self.rank_for_limits();
        }
        let Some(change) = self.limits.on_statement(now, target, sent, head.limit) else {
            return;
        };
        let names = self.target_names(core::iter::once(target));
        let name = names.first().map_or("a former target", String::as_str);
        let (counter, subject) = match change {
            Change::Set(limit) => {
                let subject = format!("{name} takes {limit} requests/s from all routers");
                (Counter::TargetLimited, subject)
            }
            Change::Lifted => {
                let subject = format!("{name} states no limit any more");
                (Counter::TargetUnlimited, subject)
            }
            Change::Unreadable => {
                let subject = format!("{name} states a limit that is not a number of requests/s");
                (Counter::TargetLimitUnreadable, subject)
            }
        };
        self.cx.count(counter);
        self.cx.notice(NoticeKind::Target, subject);
        let limit = match change {
            Change::Set(limit) => Some(limit),
            Change::Lifted => None,
            Change::Unreadable => return,
        };
        self.balance.report_limit(LimitRow { target, limit });
        self.update_limits();
    }

    /// Applies what a peer reported of the limits of targets.
    pub(super) fn on_peer_limits(&mut self, rows: &[LimitRow]) {
        if rows.is_empty() {
            return;
        }
        self.rank_for_limits();
        for &row in rows {
            self.limits.on_peer_statement(self.cx.now, row);
        }
        self.update_limits();
    }

    /// Returns the other routers that may send requests, heard of or not.
    pub(super) fn sharing_peers(&self) -> impl Iterator<Item = RouterId> {
        let peers = self.members.peers();
        let sharing = peers.filter(|(_, peer)| peer.listed && !peer.leaving);
        sharing.map(|(router, _)| router)
    }

    pub(super) fn rank_for_limits(&mut self) {
        let me = self.cx.me;
        let (mut before, mut routers) = (0, 1);
        for router in self.sharing_peers() {
            routers += 1;
            before += usize::from(router < me);
        }
        self.limits.set_rank(before, routers);
        self.pace.set_rank(before, routers);
    }

    /// Recomputes this router's part of each limit.
    pub(super) fn update_limits(&mut self) {
        self.demand.forget_sizes();
        if self.limits.is_empty() {
            return;
        }
        let now = self.cx.now;
        let catalogue = &self.catalogue;
        let balance = &self.balance;
        let routers = self.sharing_peers().count() as u64 + 1;
        let heard = (balance.reporting_peers(now) as u64 + 1).min(routers);
        self.limits
            .retain_known(|target| catalogue.target(target).is_some());
        self.demand
            .retain_known(|pool| catalogue.pool(pool).is_some());
        self.limits.update(now, |target| {
            let view = catalogue.target(target);
            let pool = view.and_then(|view| catalogue.pool_by_name(&view.entry.pool));
            let (others, own) = pool.map_or((0, 0), |(pool, _)| balance.demand(now, pool));
            Part {
                own,
                others,
                heard,
                routers,
            }
        });
        for (pool, rate) in self.limited_pools() {
            self.demand.divide_by_size(now, pool, rate);
        }
    }

    /// Returns the requests that recently arrived here, for each pool with a limited or paced target.
    pub(super) fn own_demand(&self) -> Vec<DemandRow> {
        let row = |pool| DemandRow {
            pool,
            requests: u32::try_from(self.demand.requests(self.cx.now, pool)).unwrap_or(u32::MAX),
        };
        let mut pools: BTreeSet<PoolId> = self.limited_pools().into_keys().collect();
        pools.extend(self.pace.targets().map(|(_, pool)| pool));
        pools.into_iter().map(row).collect()
    }

    /// Returns the pools with a limited target, each with the sum of this router's parts.
    fn limited_pools(&self) -> BTreeMap<PoolId, Rate> {
        let mut pools: BTreeMap<PoolId, Rate> = BTreeMap::new();
        for target in self.limits.targets() {
            let view = self.catalogue.target(target);
            let pool = view.and_then(|view| self.catalogue.pool_by_name(&view.entry.pool));
            if let Some((pool, _)) = pool {
                let part = self.limits.limit(target).map_or(Rate::default(), |it| it.1);
                let sum = pools.entry(pool).or_default();
                *sum = sum.saturating_add(part);
            }
        }
        pools
    }

    /// Returns how the size of a request compares with those of other requests of its pool.
    pub(super) fn size(&self, active: &Active) -> Size {
        let req = &active.req;
        if !self.demand.is_large(req.pool, req.prompt_tokens) {
            return Size::Small;
        }
        let waited = self.cx.now.since(active.arrived);
        let wait = active.wait_until.since(active.arrived);
        match waited < wait * PERMIT_WAIT_PERCENT / 100 {
            true => Size::LargeAwaitingPermit,
            false => Size::Large,
        }
    }

    /// Returns the requests that this router may send to a pool if all targets that serve it state
    /// limits.
    fn limited_room(&self, pool: PoolId) -> Option<Room> {
        if self.limits.is_empty() {
            return None;
        }
        let serving = self.catalogue.targets_of(pool);
        let mut serving = serving.filter(|view| self.targets.serves(view));
        let none = Room {
            rate: Rate::default(),
            permits: 0,
            next_in: Duration::MAX,
        };
        serving.try_fold(none, |room, view| {
            let (_, part) = self.limits.limit(view.id)?;
            Some(Room {
                rate: room.rate.saturating_add(part),
                permits: room.permits + u64::from(self.limits.permits(view.id)?.count),
                next_in: room.next_in.min(self.limits.next_in(view.id)?),
            })
        })
    }

    /// Returns how long another request of an organisation would wait for a pool whose targets all
    /// state limits, if it shares them evenly with the other organisations that wait.
    pub(super) fn limited_wait(
        &self,
        pool: PoolId,
        organisation: OrganisationId,
    ) -> Option<Duration> {
        let room = self.limited_room(pool)?;
        let (mut own, mut organisations, mut waiting) = (0, 1, 0);
        for (other, lane) in self.queues.backlogged(pool) {
            waiting += lane.len() as u64;
            match other == organisation {
                true => own = lane.len() as u64,
                false => organisations += 1,
            }
        }
        Some(match room.permits > waiting {
            true => Duration::ZERO,
            false => {
                let wait = room.next_in + room.rate.time_for((own + 1) * organisations - 1);
                // The part may shrink meanwhile.
                wait * WAIT_MARGIN_PERCENT / 100
            }
        })
    }
}
