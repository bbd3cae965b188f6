//! Which targets may be cold, and what they were sent recently.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;

use crate::cold_start::WINDOW;
use crate::cold_start::loans::{LOANS_OF_FORMER_RUN, Loans, Request};
use crate::cold_start::message::ColdPart;
use crate::input::{RunRecord, TargetState};
use crate::membership::ranking;
use crate::prelude::*;

/// Added to the time for which a target reports that it is cold, because the report was delayed on
/// its way.
const STATE_DELAY: Duration = Duration::from_millis(500);
/// The time after a break within which a state that arrives may have been written before the break:
/// the delay of the platform's store plus that of its heartbeats.
const STATE_LAG_MAX: Duration = Duration::from_secs(2);
/// The requests per second beyond half of an allowance that may be lent.
const LENDABLE_BEYOND_HALF: u32 = 3;
/// How long a target that may have restarted counts as cold if no state of it arrives.
const UNCONFIRMED_TERM: Duration = Duration::from_secs(10);

/// How many requests the entire fleet may send to a cold target, and the routers that share them.
#[derive(Debug, Clone)]
pub struct Allowance {
    /// Requests per second, from the entire fleet. Zero allows any number.
    pub per_second: u32,
    /// The routers that share the allowance.
    pub routers: Vec<RouterId>,
    /// Whether this router's former run may have lent its share.
    pub is_former_run_recent: bool,
}

impl Allowance {
    /// Returns whether loans of the former run of a router may be in use at `now`.
    pub fn is_former_run_recent(now: Time, started: Time) -> bool {
        now.since(started) < LOANS_OF_FORMER_RUN
    }

    /// Returns how many requests per second of the allowance may be lent. The clock of a borrower
    /// whose VM is suspended stops, and what it borrowed is used twice when it goes on. One and a half
    /// times the allowance and three more may arrive at a target in that case.
    fn lendable(&self) -> u32 {
        self.per_second
            .min(self.per_second / 2 + LENDABLE_BEYOND_HALF)
    }

    /// Returns the requests per second that the routers with a fixed share divide.
    const fn divided(&self) -> u32 {
        match self.is_former_run_recent {
            true => self.per_second / 2,
            false => self.per_second,
        }
    }

    /// Returns the other routers that have a share of the allowance for a target.
    fn lenders(&self, target: TargetId, me: RouterId) -> Vec<RouterId> {
        let mut ranked = ranking(u64::from(target.0), self.routers.iter().copied());
        ranked.truncate(usize::try_from(self.lendable()).unwrap_or(usize::MAX));
        ranked.retain(|&router| router != me);
        ranked
    }
}

/// The targets that are or may be cold.
#[derive(Debug, Default)]
pub struct ColdTargets {
    cold: BTreeMap<TargetId, Cold>,
    /// The last state of each target: its run, and the sequence number within the run.
    last_states: BTreeMap<TargetId, (Option<u64>, u64)>,
    loans: Loans,
}

#[derive(Debug)]
struct Cold {
    until: Time,
    /// Since when the target may have restarted without reporting so, if it may.
    unconfirmed_since: Option<Time>,
    /// When this router sent requests to the target; times older than [`WINDOW`] are dropped at the
    /// next dispatch.
    sent: VecDeque<Time>,
}

impl ColdTargets {
    /// Handles a state that a target published, and says whether the target has begun a new run.
    pub fn on_state(&mut self, now: Time, state: &TargetState) -> bool {
        let current = (state.started_ms, state.sequence);
        let previous = self.last_states.insert(state.target, current);
        let restarted = previous
            .is_some_and(|(run, sequence)| run != state.started_ms || state.sequence < sequence);
        if !state.cold_for.is_zero() {
            self.mark_cold(state.target, now + state.cold_for + STATE_DELAY, None);
            return restarted;
        }
        if let Some(cold) = self.cold.get_mut(&state.target) {
            let confirmed = cold
                .unconfirmed_since
                .is_some_and(|since| now.since(since) >= STATE_LAG_MAX);
            if confirmed && !restarted {
                cold.unconfirmed_since = None;
                cold.until = now;
            }
        }
        restarted
    }

    /// Returns whether a target has published a state.
    pub fn has_state(&self, target: TargetId) -> bool {
        self.last_states.contains_key(&target)
    }

    /// Returns the last record of a target, if it named its run.
    pub fn last_record(&self, target: TargetId) -> Option<RunRecord> {
        let &(run, sequence) = self.last_states.get(&target)?;
        let started_ms = run?;
        Some(RunRecord {
            started_ms,
            sequence,
        })
    }

    /// Records that a target may have restarted without reporting so, and counts it as cold.
    pub fn suspect_restart(&mut self, now: Time, target: TargetId) {
        self.mark_cold(target, now + UNCONFIRMED_TERM, Some(now));
    }

    /// Says whether this router may send a target a request now.
    pub fn allows(&self, now: Time, target: TargetId, allowance: &Allowance, me: RouterId) -> bool {
        let Some(cold) = self.cold.get(&target).filter(|cold| cold.until > now) else {
            return true;
        };
        if allowance.per_second == 0 {
            return true;
        }
        cold.sent_in_window(now) < self.share(now, target, allowance, me)
    }

    /// Returns how many requests per second this router may send a cold target.
    fn share(&self, now: Time, target: TargetId, allowance: &Allowance, me: RouterId) -> usize {
        let fixed = router_share(allowance, target, me);
        let is_listed = |router| allowance.routers.contains(&router);
        fixed.saturating_sub(self.loans.lent(now, target))
            + self.loans.borrowed(now, target, is_listed)
    }

    /// Returns the targets that are cold.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = TargetId> {
        let cold = self.cold.iter();
        let cold = cold.filter(move |(_, cold)| cold.until > now);
        cold.map(|(&target, _)| target)
    }

    /// Drops the loans that have ended.
    pub fn expire_loans(&mut self, now: Time) {
        self.loans.expire(now);
    }

    /// Asks other routers for their shares of a cold target if this router's share is below its
    /// demand, in requests within the last second.
    pub fn ask_if_due(
        &mut self,
        cx: &mut Context,
        target: TargetId,
        demand: u64,
        allowance: &Allowance,
    ) {
        let (now, me) = (cx.now, cx.me);
        if demand == 0 || allowance.is_former_run_recent || !self.loans.may_ask(now, target) {
            return;
        }
        let fixed = router_share(allowance, target, me);
        if demand <= fixed.saturating_sub(self.loans.lent(now, target)) as u64 {
            return;
        }
        self.loans.on_asking(now, target);
        let ask = ColdPart::Ask {
            target,
            demand: u32::try_from(demand).unwrap_or(u32::MAX),
            asked: now,
        };
        for lender in allowance.lenders(target, me) {
            cx.send(lender, Part::Cold(ask), Urgency::Now);
        }
        cx.count(Counter::ColdShareAsked);
    }

    /// Handles a message on shares. A request for a share of a target that is not cold to this router
    /// is ignored, since what was sent there is not known.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: ColdPart) {
        match part {
            ColdPart::Ask {
                target,
                demand,
                asked,
            } => {
                if self.is_cold(now, target) {
                    let request = Request { demand, asked };
                    self.loans.on_ask(now, from, target, request);
                }
            }
            ColdPart::Loan {
                target,
                units,
                asked,
            } => self.loans.on_loan(from, target, units, asked),
        }
    }

    /// Lends this router's share of a cold target to the routers that asked for it. `demand` is that
    /// of this router.
    pub fn lend_if_due(
        &mut self,
        cx: &mut Context,
        target: TargetId,
        demand: u64,
        allowance: &Allowance,
    ) {
        let (now, me) = (cx.now, cx.me);
        let mut wanted = self.loans.take_wanted(now, target);
        wanted.retain(|router, _| allowance.routers.contains(router));
        if wanted.is_empty() || allowance.is_former_run_recent {
            return;
        }
        let Some(cold) = self.cold.get(&target) else {
            return;
        };
        let lent = self.loans.lent(now, target);
        let free =
            router_share(allowance, target, me).saturating_sub(lent + cold.sent_in_window(now));
        let lendable = even_share(allowance.lendable(), allowance, target, me);
        let asking = wanted.values().map(|req| u64::from(req.demand));
        let total = demand + asking.sum::<u64>();
        let mut more: BTreeMap<RouterId, usize> = BTreeMap::new();
        for _ in 0..free.min(lendable.saturating_sub(lent)) {
            let mut drawn = cx.rng.random_range(0..total.max(1));
            let to = wanted.iter().find(|(_, req)| {
                let is_drawn = drawn < u64::from(req.demand);
                drawn = drawn.saturating_sub(u64::from(req.demand));
                is_drawn
            });
            if let Some((&to, _)) = to {
                *more.entry(to).or_default() += 1;
            }
        }
        for (to, Request { asked, .. }) in wanted {
            let more = more.get(&to).copied().unwrap_or_default();
            let units = self.loans.lend(now, target, to, more);
            if units > 0 {
                let loan = ColdPart::Loan {
                    target,
                    units: u32::try_from(units).unwrap_or(u32::MAX),
                    asked,
                };
                cx.send(to, Part::Cold(loan), Urgency::Now);
                cx.count(Counter::ColdShareLent);
            }
        }
    }

    /// Records that a request is sent to a target.
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

    /// Returns the targets that may have restarted without reporting so.
    pub fn unconfirmed(&self, now: Time) -> impl Iterator<Item = TargetId> {
        let cold = self.cold.iter();
        let cold = cold.filter(move |(_, cold)| cold.until > now);
        cold.filter_map(|(&target, cold)| cold.unconfirmed_since.map(|_| target))
    }

    /// Drops the entries of targets that are warm, and the last states of targets that are unknown.
    pub fn retain_known(&mut self, now: Time, is_known: impl Fn(TargetId) -> bool) {
        self.cold.retain(|_, cold| cold.until > now);
        self.last_states.retain(|&target, _| is_known(target));
    }

    fn mark_cold(&mut self, target: TargetId, until: Time, unconfirmed_since: Option<Time>) {
        let cold = self.cold.entry(target).or_insert_with(|| Cold {
            until,
            unconfirmed_since,
            sent: VecDeque::new(),
        });
        cold.until = cold.until.max(until);
        cold.unconfirmed_since = unconfirmed_since.or(cold.unconfirmed_since);
    }
}

impl Cold {
    /// Returns how many requests this router sent within the window that ends now.
    fn sent_in_window(&self, now: Time) -> usize {
        let since = now - WINDOW;
        self.sent.iter().filter(|&&at| at > since).count()
    }
}

/// Returns this router's fixed share of the allowance of a cold target.
fn router_share(allowance: &Allowance, target: TargetId, me: RouterId) -> usize {
    even_share(allowance.divided(), allowance, target, me)
}

/// Returns this router's part of `per_second`. The remainder of an even split goes to the routers that
/// rank first for the target's rendezvous key, one request each.
fn even_share(per_second: u32, allowance: &Allowance, target: TargetId, me: RouterId) -> usize {
    let per_second = usize::try_from(per_second).unwrap_or(usize::MAX);
    let routers = allowance.routers.len().max(1);
    let ranked = ranking(u64::from(target.0), allowance.routers.iter().copied());
    let mut first = ranked.iter().take(per_second % routers);
    per_second / routers + usize::from(first.any(|&router| router == me))
}
