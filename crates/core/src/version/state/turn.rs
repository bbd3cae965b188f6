//! Whose turn it is: the exact share of each version, request by request.

use crate::prelude::*;
use crate::version::evidence::Slice;
use crate::version::schedule::ALL;
use crate::version::state::{Arm, Moves};

/// The bounds of what a router owes one version, in thousandths of a request.
const CREDIT_MAX: i64 = 2_000;
/// The share above which requests may go to the new version for want of slots at the old one.
const OVERFLOW_SHARE: u32 = 500;
/// For how long a slot of the version whose turn it is is waited for before the other version may stand
/// in, and after how long it is waited for again.
const MISSED_MIN: Duration = Duration::from_millis(100);
const MISSED_MAX: Duration = Duration::from_secs(2);
impl Moves {
    /// Returns which targets of a pool may take its next request.
    pub fn next_arm(&self, pool: PoolId) -> Arm {
        let Some(active) = self.moves.get(&pool) else {
            return Arm::Any;
        };
        match self.share_of(pool, active) {
            0 => Arm::Old,
            ALL => Arm::New,
            share if active.credit + i64::from(share) >= i64::from(ALL) => Arm::New,
            _ => Arm::Old,
        }
    }

    /// Returns which targets may take the request if those of [`Moves::next_arm`] cannot, once slots of
    /// theirs have been waited for. The old version always may until the move is final, the new one only
    /// if it has most requests already.
    pub fn fallback_arm(&mut self, now: Time, pool: PoolId, arm: Arm) -> Option<Arm> {
        let share = self.share_of(pool, self.moves.get(&pool)?);
        let other = match arm {
            Arm::New if share < ALL => Arm::Old,
            Arm::Old if share > OVERFLOW_SHARE => Arm::New,
            _ => return None,
        };
        let active = self.moves.get_mut(&pool)?;
        let (missed, since) = *active.missed.get_or_insert((arm, now));
        if missed != arm || now.since(since) >= MISSED_MAX {
            active.missed = Some((arm, now));
            return None;
        }
        (now.since(since) >= MISSED_MIN).then_some(other)
    }

    /// Says whether a pool has a move.
    pub fn has(&self, pool: PoolId) -> bool {
        self.moves.contains_key(&pool)
    }

    /// Returns for how many of the next requests slots of this version are of use now: of the version
    /// whose turn it is until its run of turns ends, of the other one if it may stand in.
    pub fn turns(&self, now: Time, pool: PoolId, arm: Arm, requests: u32) -> u32 {
        let Some(active) = self.moves.get(&pool) else {
            return if arm == Arm::New { 0 } else { requests };
        };
        let share = self.share_of(pool, active);
        let due = self.next_arm(pool);
        if due != arm {
            let stands_in = active
                .missed
                .is_some_and(|(missed, at)| missed == due && now.since(at) >= MISSED_MIN);
            let may = if arm == Arm::Old {
                share < ALL
            } else {
                share > OVERFLOW_SHARE
            };
            return if stands_in && may { requests } else { 0 };
        }
        let mut credit = active.credit;
        let in_run = |_: &u32| {
            credit += i64::from(share);
            let new = credit >= i64::from(ALL);
            credit -= if new { i64::from(ALL) } else { 0 };
            new == (arm == Arm::New)
        };
        let run = (0..requests).take_while(in_run).count();
        match share {
            0 | ALL => requests,
            _ => u32::try_from(run).unwrap_or(requests),
        }
    }

    /// Says whether a target of this version belongs to an arm.
    pub fn arm_includes(&self, pool: PoolId, arm: Arm, version: &str) -> bool {
        match arm {
            Arm::Any => true,
            Arm::New => self.is_new(pool, version),
            Arm::Old => !self.is_new(pool, version),
        }
    }

    /// Notes that a request was dispatched to a target of this version.
    pub fn on_dispatch(&mut self, pool: PoolId, version: &str, slice: Slice) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let share = self.share_of(pool, active);
        let spent = if new { i64::from(ALL) } else { 0 };
        let credit = active.credit + i64::from(share) - spent;
        let arm = if new { Arm::New } else { Arm::Old };
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_sent(slice, new);
            active.credit = credit.clamp(-CREDIT_MAX, CREDIT_MAX);
            if active.missed.is_some_and(|(missed, _)| missed == arm) {
                active.missed = None;
            }
        }
    }
}
