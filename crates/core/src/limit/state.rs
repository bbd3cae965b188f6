//! What targets state, and the permits of this router.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::input::StatedLimit;
use crate::limit::message::LimitRow;
use crate::limit::meter::Meter;
use crate::limit::{Part, RAISE_DELAY, RATE_MIN, Rate};
use crate::prelude::*;

/// The targets that state a limit, and this router's permits there.
#[derive(Debug, Default)]
pub struct Limits {
    /// Where this router's permits begin between those of the others, as a fraction of 2^64.
    offset: u64,
    targets: BTreeMap<TargetId, Limited>,
    /// Targets whose last statement could not be read.
    unreadable: BTreeSet<TargetId>,
}

#[derive(Debug)]
struct Limited {
    limit: Rate,
    /// When the last statement of the limit arrived.
    stated_at: Time,
    /// What peers reported that allows more, and when it applies.
    raise: Option<(Time, Option<Rate>)>,
    meter: Meter,
}

/// The requests that a router may send now to a target that states a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permits {
    /// The number of unused permits.
    pub count: u32,
    /// The number of unused permits of all routers, estimated from those of this router and its part.
    pub of_fleet: u64,
    /// Whether one of them may be used for a request that is not large.
    pub has_spare: bool,
}

/// How a statement changed what is known of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target states this limit, and stated another one or none before.
    Set(Rate),
    /// The target no longer states a limit.
    Lifted,
    /// The target states a limit that cannot be read. What it stated before still applies.
    Unreadable,
}

impl Limits {
    /// Sets this router's rank among the routers that share limits, which spreads the permits of all
    /// routers evenly over time.
    pub fn set_rank(&mut self, rank: usize, routers: usize) {
        self.offset = u64::MAX / (routers as u64).max(1) * rank as u64;
    }

    /// Returns whether no target states a limit.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets that state a limit.
    pub fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.targets.keys().copied()
    }

    /// Records what the answer to a request that was sent at `sent` stated.
    pub fn on_statement(
        &mut self,
        now: Time,
        target: TargetId,
        sent: Time,
        stated: StatedLimit,
    ) -> Option<Change> {
        let known = self.targets.get(&target);
        // An answer to an earlier request may be older than the last statement.
        let is_newer = known.is_none_or(|known| sent >= known.stated_at);
        match stated {
            StatedLimit::Unreadable => {
                let is_first = self.unreadable.insert(target);
                is_first.then_some(Change::Unreadable)
            }
            StatedLimit::Absent => {
                let is_lifted = known.is_some() && is_newer;
                if is_newer {
                    self.targets.remove(&target);
                    self.unreadable.remove(&target);
                }
                is_lifted.then_some(Change::Lifted)
            }
            StatedLimit::PerSecond(limit) => {
                self.unreadable.remove(&target);
                let before = known.map(|known| known.limit);
                if !is_newer && before.is_some_and(|before| limit > before) {
                    return None;
                }
                self.set(now, target, limit);
                (before != Some(limit)).then_some(Change::Set(limit))
            }
        }
    }

    /// Records what a peer heard a target state.
    pub fn on_peer_statement(&mut self, now: Time, row: LimitRow) {
        let known = self.targets.get_mut(&row.target);
        match (known, row.limit) {
            (None, None) => {}
            (None, Some(limit)) => self.set(now, row.target, limit),
            (Some(known), Some(limit)) if limit <= known.limit => {
                self.set(now, row.target, limit);
            }
            (Some(known), limit) => {
                // Several peers report the same; the first report counts.
                let is_known = known.raise.is_some_and(|(_, raise)| raise == limit);
                if !is_known {
                    known.raise = Some((now + RAISE_DELAY, limit));
                }
            }
        }
    }

    /// Applies what is due, and sets this router's part of each limit.
    pub fn update(&mut self, now: Time, part_at: impl Fn(TargetId) -> Part) {
        let is_due = |known: &Limited| known.raise.filter(|&(at, _)| at <= now);
        self.targets
            .retain(|_, known| !matches!(is_due(known), Some((_, None))));
        for (&target, known) in &mut self.targets {
            if let Some((_, Some(limit))) = is_due(known) {
                known.limit = limit;
                known.raise = None;
            }
            let limit = known.limit.max(RATE_MIN);
            let part = part_at(target);
            known
                .meter
                .set_rate(now, part.of(limit), part.keeps_permit(limit));
        }
    }

    /// Adds the permits that have accrued.
    pub fn advance(&mut self, now: Time) {
        for known in self.targets.values_mut() {
            known.meter.advance(now);
        }
    }

    /// Returns how many requests this router may send a target now; `None` if the target states no
    /// limit.
    pub fn permits(&self, target: TargetId) -> Option<Permits> {
        let known = self.targets.get(&target)?;
        let (limit, meter) = (known.limit.max(RATE_MIN), &known.meter);
        let count = meter.permits();
        let routers = limit.as_millis() / meter.rate().as_millis().max(1);
        Some(Permits {
            count,
            of_fleet: u64::from(count).saturating_mul(routers.max(1)),
            has_spare: meter.has_spare(),
        })
    }

    /// Returns how long it takes until this router may send a target another request; `None` if the
    /// target states no limit.
    pub fn next_in(&self, target: TargetId) -> Option<Duration> {
        let meter = &self.targets.get(&target)?.meter;
        Some(match meter.permits() {
            0 => meter.next_in(),
            _ => Duration::ZERO,
        })
    }

    /// Returns whether this router may send a target a request now.
    pub fn allows(&self, target: TargetId) -> bool {
        self.permits(target).is_none_or(|permits| permits.count > 0)
    }

    /// Returns the limit of a target and this router's part of it.
    pub fn limit(&self, target: TargetId) -> Option<(Rate, Rate)> {
        let known = self.targets.get(&target)?;
        Some((known.limit, known.meter.rate()))
    }

    /// Records that a request is sent to a target.
    pub fn on_dispatch(&mut self, target: TargetId) {
        if let Some(known) = self.targets.get_mut(&target) {
            known.meter.spend();
        }
    }

    /// Returns all known limits, for a peer that knows none.
    pub fn rows(&self) -> impl Iterator<Item = LimitRow> {
        self.targets.iter().map(|(&target, known)| LimitRow {
            target,
            limit: Some(known.limit),
        })
    }

    /// Drops what unknown targets stated.
    pub fn retain_known(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.targets.retain(|&target, _| is_known(target));
        self.unreadable.retain(|&target| is_known(target));
    }

    fn set(&mut self, now: Time, target: TargetId, limit: Rate) {
        let start = xxh3_64(&target.0.to_le_bytes()).wrapping_add(self.offset);
        let known = self.targets.entry(target).or_insert_with(|| Limited {
            limit,
            stated_at: now,
            raise: None,
            meter: Meter::new(now, start),
        });
        if limit < known.limit {
            known.meter.drop_permits();
        }
        known.limit = limit;
        known.stated_at = now;
        known.raise = None;
    }
}
