//! The owner's state of one target.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::slots::Config;
use crate::slots::message::{Holding, Level};

/// A target whose slots this router grants.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) pool: PoolId,
    holders: BTreeMap<RouterId, HolderState>,
    /// Slots that unresponsive or former holders may still use.
    lost: u32,
    /// The time from which a target's report covers all lost slots.
    lost_settled: Time,
    /// Reports, with their time and total, that wait until every holder has reported how many
    /// requests it ran then.
    reports: VecDeque<(Time, u32)>,
    /// The time before which no slots are granted.
    opens: Time,
    /// The target's limit at the last check.
    limit: u32,
}

/// The slots that one holder may have at the target.
#[derive(Debug)]
struct HolderState {
    incarnation: Incarnation,
    /// The number of slots in the holder's last ask.
    held: u32,
    /// Grants that the holder is not known to have applied.
    pending: VecDeque<Level>,
    /// The fewest requests that ran between the previous ask and each ask, with the time of that
    /// ask.
    lows: VecDeque<(Time, u32)>,
    /// When the holder was first recorded.
    since: Time,
    /// When the holder's last ask was received.
    last_ask: Time,
}

impl Owned {
    /// Returns a target of unknown state: all of its slots may be in use.
    pub(super) const fn new(pool: PoolId, opens: Time) -> Self {
        Self {
            pool,
            holders: BTreeMap::new(),
            lost: u32::MAX,
            lost_settled: opens,
            reports: VecDeque::new(),
            opens,
            limit: 0,
        }
    }

    /// Returns how many slots may be granted. `limit` is the target's limit, and `part` the part of
    /// it that this side of a partition may use. The result is negative if too many slots are
    /// granted already.
    pub(super) fn free(&self, now: Time, limit: u32, part: u32) -> i64 {
        if now < self.opens {
            return 0;
        }
        let usable = part.min(limit.saturating_sub(self.lost));
        i64::from(usable) - i64::from(self.bound())
    }

    /// Returns whether any router holds slots. Callers check this before they compute the limit,
    /// which is expensive.
    pub(super) fn is_held(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Sets the target's limit and returns whether the limit has fallen.
    pub(super) fn update_limit(&mut self, limit: u32) -> bool {
        core::mem::replace(&mut self.limit, limit) > limit
    }

    /// Returns the most slots that responsive holders may have.
    pub(super) fn bound(&self) -> u32 {
        self.holders.values().map(HolderState::bound).sum()
    }

    /// Returns the holders that may have slots.
    pub(super) fn holders(&self) -> impl Iterator<Item = RouterId> {
        let holders = self.holders.iter().filter(|(_, state)| state.bound() > 0);
        holders.map(|(&holder, _)| holder)
    }

    /// Raises a holder's level by one.
    pub(super) fn raise(&mut self, now: Time, holder: (RouterId, Incarnation), level: Level) {
        let (router, incarnation) = holder;
        let state = self.holders.entry(router);
        let state = state.or_insert_with(|| HolderState::new(now, incarnation));
        let level = Level {
            level: state.bound() + 1,
            ..level
        };
        state.pending.push_back(level);
    }

    /// Returns the newest grant that a holder is not known to have applied.
    pub(super) fn pending(&self, holder: RouterId) -> Option<Level> {
        self.holders.get(&holder)?.pending.back().copied()
    }

    /// Applies the slots that a holder reports. `is_current` says whether the holder's figures
    /// refer to the grants of this incarnation of the owner.
    pub(super) fn on_holding(
        &mut self,
        now: Time,
        (holder, incarnation): (RouterId, Incarnation),
        holding: Holding,
        is_current: bool,
        cfg: &Config,
    ) {
        if self
            .holders
            .get(&holder)
            .is_some_and(|state| state.incarnation != incarnation)
        {
            self.lose(now, holder, cfg);
        }
        let state = self.holders.entry(holder);
        let state = state.or_insert_with(|| HolderState::new(now, incarnation));
        state.held = holding.held;
        state.last_ask = now;
        if is_current {
            state.pending.retain(|level| level.sequence > holding.seen);
        }
        state.lows.push_back((now, holding.low));
        if state.bound() == 0 {
            self.holders.remove(&holder);
        }
    }

    /// Counts the slots of holders as lost that sent no ask for so long that their term is over.
    pub(super) fn expire_unresponsive(&mut self, now: Time, cfg: &Config) {
        let expired = self.holders.iter().filter(|(_, state)| {
            let last = state.last_ask.max(state.since);
            now.since(last) >= cfg.term + cfg.term / 2
        });
        let expired: Vec<RouterId> = expired.map(|(&holder, _)| holder).collect();
        for holder in expired {
            self.lose(now, holder, cfg);
        }
    }

    /// Returns whether more slots are granted than allowed, so that holders have to return slots
    /// that become free.
    pub(super) fn is_over(&self, now: Time, limit: u32, part: u32, cfg: &Config) -> bool {
        let settled = now >= self.opens + cfg.term * 2;
        let lost = if self.lost > limit { 0 } else { self.lost };
        settled && self.bound() > part.min(limit.saturating_sub(lost))
    }

    /// Lowers the count of lost slots by a target's report of its requests. A report is evaluated
    /// only after [`Config::report_lag`], when every holder has had time to report how many
    /// requests it ran then.
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
            for state in self.holders.values_mut() {
                state.trim(window);
            }
        }
    }

    /// Returns the fewest requests of responsive holders that ran at any moment between two times.
    fn low(&self, from: Time, to: Time) -> u32 {
        let asks = self.holders.values().flat_map(|state| &state.lows);
        let within = asks.map(|&(at, _)| at).filter(|&at| from < at && at <= to);
        let low_at = |at| self.holders.values().map(|state| state.low(at)).sum();
        // The sum changes only after an ask. One microsecond after the ask, the next interval
        // counts.
        let after = within.map(|at| at + Duration::from_micros(1));
        core::iter::once(from)
            .chain(after)
            .map(low_at)
            .min()
            .unwrap_or(0)
    }

    /// Removes a holder and counts its slots as lost.
    fn lose(&mut self, now: Time, holder: RouterId, cfg: &Config) {
        if let Some(state) = self.holders.remove(&holder) {
            self.lost = self.lost.saturating_add(state.bound());
            self.lost_settled = now + cfg.term;
        }
    }
}

impl HolderState {
    const fn new(now: Time, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            held: 0,
            pending: VecDeque::new(),
            lows: VecDeque::new(),
            since: now,
            last_ask: now,
        }
    }

    /// Returns the most slots that the holder may have.
    fn bound(&self) -> u32 {
        let pending = self.pending.iter().map(|level| level.level).max();
        self.held.max(pending.unwrap_or(0))
    }

    /// Returns how many requests ran at a time at least: the fewest in the interval between two
    /// asks that contains the time.
    fn low(&self, at: Time) -> u32 {
        if at < self.since {
            return 0;
        }
        let interval = self.lows.iter().find(|(asked, _)| *asked >= at);
        interval.map_or(0, |&(_, low)| low)
    }

    /// Removes asks from before a window.
    fn trim(&mut self, window: Time) {
        while self.lows.front().is_some_and(|(asked, _)| *asked < window) {
            self.lows.pop_front();
        }
    }
}
