//! The part of the fleet that this router considers live, and the part of each limit that follows
//! from it.

use std::collections::VecDeque;

use crate::prelude::*;

/// A side of a partition with less than one in this many routers grants nothing.
const SMALLEST_SIDE: u64 = 4;
/// A minority side with more than one in this many routers gets at least one slot out of two or
/// more. At most one other side can be as large.
const GUARANTEED_SIDE: u64 = 3;

/// The fraction of the listed routers that this router considers live.
///
/// After a partition heals, the other side's owners may not have noticed yet. The fraction that
/// counts therefore grows only when the better visibility has lasted for the settling time.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use bulrushtrestle_core::slots::Visibility;
/// use bulrushtrestle_core::time::Time;
///
/// let mut visibility = Visibility::new(Duration::from_secs(3));
/// visibility.update(Time::from_millis(0), 5, 8);
/// assert_eq!(visibility.part(8), 5);
/// visibility.update(Time::from_millis(100), 8, 8);
/// assert_eq!(visibility.part(8), 5);
/// visibility.update(Time::from_millis(3_200), 8, 8);
/// assert_eq!(visibility.part(8), 8);
/// ```
#[derive(Debug)]
pub struct Visibility {
    settle: Duration,
    /// Recent fractions, each with the time from which it holds. Each is smaller than the ones
    /// after it.
    recent: VecDeque<(Time, Fraction)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fraction {
    live: u64,
    listed: u64,
}

impl Visibility {
    /// Returns the visibility of a router that considers no router live.
    pub const fn new(settle: Duration) -> Self {
        Self {
            settle,
            recent: VecDeque::new(),
        }
    }

    /// Sets how many of the listed routers are considered live, this one included.
    pub fn update(&mut self, now: Time, live: usize, listed: usize) {
        let new = Fraction {
            live: live as u64,
            listed: listed.max(1) as u64,
        };
        if self.recent.back().map(|&(_, last)| last) != Some(new) {
            self.recent.retain(|(_, old)| old.is_less(new));
            self.recent.push_back((now, new));
        }
        while let Some(&(since, _)) = self.recent.get(1)
            && now.since(since) >= self.settle
        {
            self.recent.pop_front();
        }
    }

    /// Returns how many of `limit` slots owners on this side of a partition may grant.
    pub fn part(&self, limit: u32) -> u32 {
        let Some(&(_, fraction)) = self.recent.front() else {
            return 0;
        };
        fraction.part(limit)
    }
}

impl Fraction {
    const fn is_less(self, other: Self) -> bool {
        self.live * other.listed < other.live * self.listed
    }

    fn part(self, limit: u32) -> u32 {
        let Self { live, listed } = self;
        let missing = listed.saturating_sub(live);
        let limit = u64::from(limit);
        let part = if missing * SMALLEST_SIDE < listed {
            limit
        } else if live * SMALLEST_SIDE < listed {
            0
        } else if live * 2 > listed {
            limit - minority_part(missing, listed, limit)
        } else {
            minority_part(live, listed, limit)
        };
        u32::try_from(part).unwrap_or(u32::MAX)
    }
}

/// Returns the part of a side without a majority. A side of more than one in [`GUARANTEED_SIDE`]
/// routers gets one slot out of two or more, so that the limit of a target that is warming up can
/// grow there.
const fn minority_part(side: u64, listed: u64, limit: u64) -> u64 {
    let part = limit * side / listed;
    if part == 0 && limit >= 2 && side * GUARANTEED_SIDE > listed {
        return 1;
    }
    part
}
