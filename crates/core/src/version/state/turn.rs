//! Selects a version for each request, so that each version receives its exact share.

use crate::prelude::*;
use crate::version::evidence::Slice;
use crate::version::schedule::FULL_SHARE;
use crate::version::state::{Arm, Moves};

/// Maximum absolute value of the credit that a router keeps for the new version, in thousandths of
/// a request.
const CREDIT_MAX: i64 = 2_000;
/// The share of the new version, in thousandths, above which the new version may take requests for
/// which the old one has no slot.
const OVERFLOW_SHARE: u32 = 500;
/// How long requests wait for a slot of the version whose turn it is before the other version may
/// take them.
const FALLBACK_AFTER: Duration = Duration::from_millis(100);
/// How long after the start of that wait the other version may take requests. Then a new wait
/// starts.
const FALLBACK_UNTIL: Duration = Duration::from_secs(2);

impl Moves {
    /// Returns the arm whose turn it is to receive the next request of a pool.
    pub fn next_arm(&self, pool: PoolId) -> Arm {
        let Some(active) = self.moves.get(&pool) else {
            return Arm::Any;
        };
        match self.share_of(pool, active) {
            0 => Arm::Old,
            FULL_SHARE => Arm::New,
            share if active.credit + i64::from(share) >= i64::from(FULL_SHARE) => Arm::New,
            _ => Arm::Old,
        }
    }

    /// Returns the arm that may take the next request if `arm`, the result of [`Moves::next_arm`],
    /// has no slot, or `None` while the router still has to wait for one. The old version may be
    /// the fallback until the move is final; the new version only if it already receives most
    /// requests.
    pub fn fallback_arm(&mut self, now: Time, pool: PoolId, arm: Arm) -> Option<Arm> {
        let share = self.share_of(pool, self.moves.get(&pool)?);
        let other = match arm {
            Arm::New if share < FULL_SHARE => Arm::Old,
            Arm::Old if share > OVERFLOW_SHARE => Arm::New,
            _ => return None,
        };
        let active = self.moves.get_mut(&pool)?;
        let (starved, since) = *active.starved.get_or_insert((arm, now));
        if starved != arm || now.since(since) >= FALLBACK_UNTIL {
            active.starved = Some((arm, now));
            return None;
        }
        (now.since(since) >= FALLBACK_AFTER).then_some(other)
    }

    /// Returns whether a pool has a move.
    pub fn has(&self, pool: PoolId) -> bool {
        self.moves.contains_key(&pool)
    }

    /// Returns how many of the next `requests` requests could use a slot of the given arm now. For
    /// the arm whose turn it is, these are the requests until the turn passes to the other arm. For
    /// the other arm, these are all requests if the arm may act as fallback, and otherwise none.
    pub fn turns(&self, now: Time, pool: PoolId, arm: Arm, requests: u32) -> u32 {
        let Some(active) = self.moves.get(&pool) else {
            return if arm == Arm::New { 0 } else { requests };
        };
        let share = self.share_of(pool, active);
        let due = self.next_arm(pool);
        if due != arm {
            let has_waited = active
                .starved
                .is_some_and(|(starved, at)| starved == due && now.since(at) >= FALLBACK_AFTER);
            let is_allowed = if arm == Arm::Old {
                share < FULL_SHARE
            } else {
                share > OVERFLOW_SHARE
            };
            return if has_waited && is_allowed {
                requests
            } else {
                0
            };
        }
        let mut credit = active.credit;
        let in_run = |_: &u32| {
            credit += i64::from(share);
            let new = credit >= i64::from(FULL_SHARE);
            credit -= if new { i64::from(FULL_SHARE) } else { 0 };
            new == (arm == Arm::New)
        };
        let run = (0..requests).take_while(in_run).count();
        match share {
            0 | FULL_SHARE => requests,
            _ => u32::try_from(run).unwrap_or(requests),
        }
    }

    /// Returns whether the targets of a version belong to an arm.
    pub fn arm_includes(&self, pool: PoolId, arm: Arm, version: &str) -> bool {
        match arm {
            Arm::Any => true,
            Arm::New => self.is_new(pool, version),
            Arm::Old => !self.is_new(pool, version),
        }
    }

    /// Records that a request was dispatched to a target of the given version.
    pub fn on_dispatch(&mut self, pool: PoolId, version: &str, slice: Slice) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let share = self.share_of(pool, active);
        let spent = if new { i64::from(FULL_SHARE) } else { 0 };
        let credit = active.credit + i64::from(share) - spent;
        let arm = if new { Arm::New } else { Arm::Old };
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_sent(slice, new);
            active.credit = credit.clamp(-CREDIT_MAX, CREDIT_MAX);
            if active.starved.is_some_and(|(starved, _)| starved == arm) {
                active.starved = None;
            }
        }
    }
}
