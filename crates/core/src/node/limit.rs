//! The limits that targets state, and this router's part of them.

use std::collections::BTreeMap;

use crate::input::{AnswerHead, StatedLimit};
use crate::limit::message::{DemandRow, LimitRow};
use crate::limit::{Change, Part, Rate};
use crate::node::Node;
use crate::prelude::*;

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
    fn sharing_peers(&self) -> impl Iterator<Item = RouterId> {
        let peers = self.members.peers();
        let sharing = peers.filter(|(_, peer)| peer.listed && !peer.leaving);
        sharing.map(|(router, _)| router)
    }

    fn rank_for_limits(&mut self) {
        let me = self.cx.me;
        let (mut before, mut routers) = (0, 1);
        for router in self.sharing_peers() {
            routers += 1;
            before += usize::from(router < me);
        }
        self.limits.set_rank(before, routers);
    }

    /// Recomputes this router's part of each limit.
    pub(super) fn update_limits(&mut self) {
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

    /// Returns the requests that recently arrived here, for each pool with a limited target.
    pub(super) fn own_demand(&self) -> Vec<DemandRow> {
        let row = |(pool, _)| DemandRow {
            pool,
            requests: u32::try_from(self.demand.requests(self.cx.now, pool)).unwrap_or(u32::MAX),
        };
        self.limited_pools().into_iter().map(row).collect()
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
}
