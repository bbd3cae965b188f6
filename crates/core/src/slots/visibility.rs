//! How much of the fleet this router sees, and the part of each limit that follows from it.

use std::collections::VecDeque;

use crate::prelude::*;

/// A side of a partition smaller than one in this many routers hands out nothing.
const SMALLEST_SIDE: u64 = 4;
/// A side larger than one in this many routers has at most one other like it.
const MINOR_SIDES_MAX: u64 = 3;

/// How many of the listed routers are seen.
///
/// After a partition heals, the other side's owners may not have noticed yet. The part therefore grows
/// only when the better sight has lasted for the settling time.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use bulrushtrestle_core::slots::Sight;
/// use bulrushtrestle_core::time::Time;
///
/// let mut sight = Sight::new(Duration::from_secs(3));
/// sight.on_seen(Time::from_millis(0), 5, 8);
/// assert_eq!(sight.part(8), 5);
/// sight.on_seen(Time::from_millis(100), 8, 8);
/// assert_eq!(sight.part(8), 5);
/// sight.on_seen(Time::from_millis(3_200), 8, 8);
/// assert_eq!(sight.part(8), 8);
/// ```
#[derive(Debug)]
pub struct Sight {
    settle: Duration,
    /// Sights with the time from which each holds, none better than the ones after it.
    recent: VecDeque<(Time, Fraction)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fraction {
    seen: u64,
    listed: u64,
}

impl Sight {
    /// Returns the sight of a router that sees nobody.
    pub const fn new(settle: Duration) -> Self {
        Self {
            settle,
            recent: VecDeque::new(),
        }
    }

    /// Takes over how many of the listed routers are seen, this one included.
    pub fn on_seen(&mut self, now: Time, seen: usize, listed: usize) {
        let new = Fraction {
            seen: seen as u64,
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

    /// Returns how many of `limit` slots may be handed out on this side.
    pub fn part(&self, limit: u32) -> u32 {
        let Some(&(_, sight)) = self.recent.front() else {
            return 0;
        };
        sight.part(limit)
    }
}

impl Fraction {
    const fn is_less(self, other: Self) -> bool {
        self.seen * other.listed < other.seen * self.listed
    }

    fn part(self, limit: u32) -> u32 {
        let Self { seen, listed } = self;
        let unseen = listed.saturating_sub(seen);
        let limit = u64::from(limit);
        let part = if unseen * SMALLEST_SIDE < listed {
            limit
        } else if seen * SMALLEST_SIDE < listed {
            0
        } else if seen * 2 > listed {
            limit - minor_part(unseen, listed, limit)
        } else {
            minor_part(seen, listed, limit)
        };
        u32::try_from(part).unwrap_or(u32::MAX)
    }
}

/// Returns the part of a side that is no majority. If it is large enough that there are at most two
/// like it, it gets one slot out of two or more, so that a target that is warming up can grow there.
const fn minor_part(side: u64, listed: u64, limit: u64) -> u64 {
    let part = limit * side / listed;
    if part == 0 && limit >= 2 && side * MINOR_SIDES_MAX > listed {
        return 1;
    }
    part
}
