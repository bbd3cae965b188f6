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
    lows: VecDeque<(Time, u32)>,
    since: Time,
    heard: Time,
}

impl Owned {
    /// Returns a target of which nothing is known: all of its slots may be in use.
    pub(super) fn new(pool: PoolId, opens: Time, cfg: &Config) -> Self {
        Self {
            pool,
            shares: BTreeMap::new(),
            lost: u32::MAX,
            lost_settled: opens + cfg.report_lag,
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
    pub(super) fn lose_silent(&mut self, now: Time, cfg: &Config) {
        let silent = self.shares.iter().filter(|(_, share)| {
            let last = share.heard.max(share.since);
            now.since(last) >= cfg.term + cfg.term / 2
        });
        let silent: Vec<RouterId> = silent.map(|(&holder, _)| holder).collect();
        for holder in silent {
            self.lose(now, holder, cfg);
        }
    }

    /// Bounds what is lost by the requests that the target reports.
    pub(super) fn on_report(&mut self, now: Time, total: u32, cfg: &Config) {
        let window = now - cfg.report_lag * 2;
        let lows = self.shares.values_mut().map(|share| share.low(window));
        let seen: u32 = lows.sum();
        if now >= self.lost_settled {
            self.lost = self.lost.min(total.saturating_sub(seen));
        }
    }

    fn lose(&mut self, now: Time, holder: RouterId, cfg: &Config) {
        if let Some(share) = self.shares.remove(&holder) {
            self.lost = self.lost.saturating_add(share.bound());
            self.lost_settled = now + cfg.term + cfg.report_lag;
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

    /// Returns how many requests ran at every moment of the window.
    fn low(&mut self, window: Time) -> u32 {
        while let Some(&(told, _)) = self.lows.get(1)
            && told <= window
        {
            self.lows.pop_front();
        }
        if self.since > window {
            return 0;
        }
        self.lows.iter().map(|&(_, low)| low).min().unwrap_or(0)
    }
}
