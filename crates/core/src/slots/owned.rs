//! What an owner knows of one target.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::slots::Config;
use crate::slots::message::{Holding, Level};

/// A target whose slots this router hands out.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) pool: PoolId,
    shares: BTreeMap<RouterId, Share>,
    /// Slots that routers out of sight may still use.
    lost: u32,
    /// From when on a report counts everything that may be lost.
    lost_settled: Time,
    /// Reports that wait until every holder has told how many requests it ran at their time.
    reports: VecDeque<(Time, u32)>,
    /// Before this time nothing is handed out.
    opens: Time,
    /// The target's limit when it was looked at last.
    limit: u32,
}

/// What one holder may have at the target.
#[derive(Debug)]
struct Share {
    run: Incarnation,
    held: u32,
    /// Grants that the holder is not known to have taken.
    pending: VecDeque<Level>,
    /// The fewest requests that ran in the time up to each ask.
    lows: VecDeque<(Time, u32)>,
    since: Time,
    heard: Time,
}

impl Owned {
    /// Returns a target of which nothing is known: all of its slots may be in use.
    pub(super) const fn new(pool: PoolId, opens: Time) -> Self {
        Self {
            pool,
            shares: BTreeMap::new(),
            lost: u32::MAX,
            lost_settled: opens,
            reports: VecDeque::new(),
            opens,
            limit: 0,
        }
    }

    /// Returns how many slots may be handed out, if `limit` is the target's and `part` what this side may
    /// use of it; negative if too much is out.
    pub(super) fn free(&self, now: Time, limit: u32, part: u32) -> i64 {
        if now < self.opens {
            return 0;
        }
        let usable = part.min(limit.saturating_sub(self.lost));
        i64::from(usable) - i64::from(self.bound())
    }

    /// Says whether anybody holds slots. It is asked before the limit, which is dear to find.
    pub(super) fn is_held(&self) -> bool {
        !self.shares.is_empty()
    }

    /// Takes over the target's limit and says whether it has fallen.
    pub(super) fn has_fallen(&mut self, limit: u32) -> bool {
        core::mem::replace(&mut self.limit, limit) > limit
    }

    /// Returns the most that holders in sight may have.
    pub(super) fn bound(&self) -> u32 {
        self.shares.values().map(Share::bound).sum()
    }

    /// Returns the holders that have something.
    pub(super) fn holders(&self) -> impl Iterator<Item = RouterId> {
        let shares = self.shares.iter().filter(|(_, share)| share.bound() > 0);
        shares.map(|(&holder, _)| holder)
    }

    /// Raises a holder's level by one.
    pub(super) fn raise(&mut self, now: Time, holder: (RouterId, Incarnation), level: Level) {
        let (router, run) = holder;
        let share = self.shares.entry(router);
        let share = share.or_insert_with(|| Share::new(now, run));
        let level = Level {
            level: share.bound() + 1,
            ..level
        };
        share.pending.push_back(level);
    }

    /// Returns the newest grant that a holder is not known to have taken.
    pub(super) fn pending(&self, holder: RouterId) -> Option<Level> {
        self.shares.get(&holder)?.pending.back().copied()
    }

    /// Takes over what a holder has. `mine` says whether it has heard this run of the owner.
    pub(super) fn on_holding(
        &mut self,
        now: Time,
        (holder, run): (RouterId, Incarnation),
        holding: Holding,
        mine: bool,
        cfg: &Config,
    ) {
        if self
            .shares
            .get(&holder)
            .is_some_and(|share| share.run != run)
        {
            self.lose(now, holder, cfg);
        }
        let share = self.shares.entry(holder);
        let share = share.or_insert_with(|| Share::new(now, run));
        share.held = holding.held;
        share.heard = now;
        if mine {
            share.pending.retain(|level| level.sequence > holding.seen);
        }
        share.lows.push_back((now, holding.low));
        if share.bound() == 0 {
            self.shares.remove(&holder);
        }
    }

    /// Gives up on holders that have told nothing for so long that their term is over.
    pub(super) fn expire_unresponsive(&mut self, now: Time, cfg: &Config) {
        let silent = self.shares.iter().filter(|(_, share)| {
            let last = share.heard.max(share.since);
            now.since(last) >= cfg.term + cfg.term / 2
        });
        let silent: Vec<RouterId> = silent.map(|(&holder, _)| holder).collect();
        for holder in silent {
            self.lose(now, holder, cfg);
        }
    }

    /// Says whether more is out than may be, so that holders have to give back what becomes free.
    pub(super) fn is_over(&self, now: Time, limit: u32, part: u32, cfg: &Config) -> bool {
        let settled = now >= self.opens + cfg.term * 2;
        let lost = if self.lost > limit { 0 } else { self.lost };
        settled && self.bound() > part.min(limit.saturating_sub(lost))
    }

    /// Bounds what is lost by the requests that the target reports. A report is judged when every holder
    /// has had time to tell what it ran by then.
    pub(super) fn on_report(&mut self, now: Time, total: u32, cfg: &Config) {
        self.reports.push_back((now, total));
        while let Some(&(at, total)) = self.reports.front()
            && now.since(at) >= cfg.report_lag
        {
            self.reports.pop_front();
            let window = at - cfg.report_lag;
            if window >= self.lost_settled {
                self.lost = self.lost.min(total.saturating_sub(self.low(window, at)));
            }
            for share in self.shares.values_mut() {
                share.trim(window);
            }
        }
    }

    /// Returns how many requests of the holders in sight ran at every moment between two times.
    fn low(&self, from: Time, to: Time) -> u32 {
        let asks = self.shares.values().flat_map(|share| &share.lows);
        let within = asks.map(|&(at, _)| at).filter(|&at| from < at && at <= to);
        let at = |at| self.shares.values().map(|share| share.low(at)).sum();
        // The sum changes only after asks; one microsecond later the next interval counts.
        let after = within.map(|at| at + Duration::from_micros(1));
        core::iter::once(from)
            .chain(after)
            .map(at)
            .min()
            .unwrap_or(0)
    }

    fn lose(&mut self, now: Time, holder: RouterId, cfg: &Config) {
        if let Some(share) = self.shares.remove(&holder) {
            self.lost = self.lost.saturating_add(share.bound());
            self.lost_settled = now + cfg.term;
        }
    }
}

impl Share {
    const fn new(now: Time, run: Incarnation) -> Self {
        Self {
            run,
            held: 0,
            pending: VecDeque::new(),
            lows: VecDeque::new(),
            since: now,
            heard: now,
        }
    }

    fn bound(&self) -> u32 {
        let pending = self.pending.iter().map(|level| level.level).max();
        self.held.max(pending.unwrap_or(0))
    }

    /// Returns how many requests surely ran at a time: the fewest in the interval between two asks in
    /// which it lies.
    fn low(&self, at: Time) -> u32 {
        if at < self.since {
            return 0;
        }
        let interval = self.lows.iter().find(|(told, _)| *told >= at);
        interval.map_or(0, |&(_, low)| low)
    }

    /// Forgets asks that lie before a window.
    fn trim(&mut self, window: Time) {
        while self.lows.front().is_some_and(|(told, _)| *told < window) {
            self.lows.pop_front();
        }
    }
}
