//! The demand for the targets of each pool, what a target bears, and the orders that follow.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::autoscale::{Figures, Present, ScaleOrder};
use crate::catalogue::entry;
use crate::duty::DutyResult;
use crate::prelude::*;

/// The age from which figures change nothing downwards.
const AGE_MAX: Duration = Duration::from_secs(3);
/// The time beyond twice the start of a target for which demand must have fallen.
const FALL_MARGIN: Duration = Duration::from_secs(10);
/// The time between two steps down.
const FALL_PAUSE: Duration = Duration::from_secs(5);
/// The largest step down, in hundredths of the targets.
const FALL_PERCENT: u32 = 10;
/// The interval at which an order is repeated.
const REPEAT: Duration = Duration::from_secs(10);
/// The pause before an order that was not accepted is due again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The part of what a target bears that is planned for, in hundredths: requests are not spread
/// evenly over targets.
const PLANNED_PERCENT: u64 = 85;
/// The part of its slots that a target is taken to bear before more was seen, in hundredths.
const ASSUMED_PERCENT: u64 = 75;
/// The time constant, in seconds, in which what was learnt from late requests is forgotten: their
/// cause may have been a load that is over. While all data centres serve, nothing shows again what
/// their targets bear if one is lost, and 256 s left too few targets after minutes.
const RECOVERY_S: u64 = 3_600;
/// The part of requests that may be late or refused, in hundredths.
const LATE_PERCENT: u32 = 2;
/// The part of requests that may wait, in hundredths. Some always wait for the next scan of a queue.
const WAITING_PERCENT: u32 = 10;
/// The time after a change of the targets in which late requests say nothing about what a target
/// bears, beyond the time of a target's start.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// The number of successive figures with late requests that says something about targets.
const STRAINED_MIN: u32 = 3;
/// What a target is taken to bear if requests are late, in hundredths of what it has.
const BORNE_PERCENT: u64 = 95;
/// The least that a target is taken to bear, as a part of its slots: late requests have other causes
/// below that.
const BEARS_MIN_PART: u64 = 4;
/// The longest time at a target that counts for a refused request, in seconds.
const STAY_MAX_S: u64 = 30;
/// The time without a call of [`Autoscale::due`] after which another router may have been the holder,
/// so that all orders are sent again.
const HOLDER_GAP: Duration = Duration::from_secs(3);

/// The scaling of all pools for which operators configured it.
#[derive(Debug, Default)]
pub struct Autoscale {
    pools: BTreeMap<PoolId, Pool>,
    /// When orders were last asked for.
    asked: Time,
}

#[derive(Debug, Default)]
struct Pool {
    /// What one target bears, in thousandths of a request. Zero if no target was seen.
    bears: u64,
    /// The demand of the last time, the oldest first.
    history: VecDeque<Sample>,
    /// Since when demand is known without a gap.
    known_since: Option<Time>,
    data_centres: BTreeMap<String, Place>,
    /// The number of successive figures with late requests.
    strained: u32,
    serving: u32,
    /// When the number of targets that serve last changed.
    changed: Time,
    /// The last figures, for the log.
    last: Figures,
    updated: Time,
}

/// The demand at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Time,
    /// The requests that are at targets, wait, or would be at targets.
    requests: u64,
}

/// The targets in one data centre.
#[derive(Debug, Default)]
struct Place {
    present: Present,
    desired: u32,
    /// When the number was last lowered.
    fell: Time,
    /// The last order that was sent: when, and the number.
    sent: Option<(Time, u32)>,
    /// The earliest time of the next order after one that was not accepted.
    retry: Option<Time>,
}

/// The scaling of a pool in a data centre, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ScaleStatus {
    /// The name of the pool.
    pub pool: String,
    /// The name of the data centre.
    pub data_centre: String,
    /// The number of targets that this router would order.
    pub desired: u32,
    /// The number of targets that serve.
    pub present: u32,
}

impl Autoscale {
    /// Applies the figures of a pool, about once a second.
    pub fn on_load(&mut self, now: Time, pool: PoolId, cfg: entry::Autoscale, figures: Figures) {
        self.pools
            .entry(pool)
            .or_default()
            .update(now, cfg, figures);
    }

    /// Removes the pools that operators do not scale any more.
    pub fn retain(&mut self, is_scaled: impl Fn(PoolId) -> bool) {
        self.pools.retain(|&pool, _| is_scaled(pool));
    }

    /// Returns the orders to be sent now. Called only by the holder of the duties.
    pub fn due(&mut self, now: Time) -> Vec<ScaleOrder> {
        let has_gap = now.since(core::mem::replace(&mut self.asked, now)) >= HOLDER_GAP;
        let mut orders = Vec::new();
        for (&id, pool) in &mut self.pools {
            let bears = pool.bears;
            let age = now.since(pool.updated) + pool.last.age;
            for (name, place) in &mut pool.data_centres {
                if has_gap {
                    (place.sent, place.retry) = (None, None);
                }
                if !place.is_due(now) {
                    continue;
                }
                place.sent = Some((now, place.desired));
                place.retry = None;
                orders.push(ScaleOrder {
                    pool: id,
                    data_centre: name.clone(),
                    desired: place.desired,
                    basis: basis(&pool.last, &place.present, bears, age),
                });
            }
        }
        orders
    }

    /// Records the result of an order.
    pub fn on_result(&mut self, now: Time, pool: PoolId, name: &str, result: DutyResult) {
        let pool = self.pools.get_mut(&pool);
        let Some(place) = pool.and_then(|pool| pool.data_centres.get_mut(name)) else {
            return;
        };
        match result {
            DutyResult::Accepted | DutyResult::Refused => place.retry = None,
            DutyResult::Fenced | DutyResult::Throttled | DutyResult::Unknown => {
                place.retry = Some(now + RETRY_PAUSE);
            }
        }
    }

    /// Returns the desired and present numbers of targets, for operators.
    pub fn status<'a>(
        &'a self,
        now: Time,
        name: impl Fn(PoolId) -> Option<&'a str>,
    ) -> impl Iterator<Item = ScaleStatus> {
        let pools = self
            .pools
            .iter()
            .filter(move |(_, pool)| now.since(pool.updated) < AGE_MAX)
            .filter_map(move |(&id, pool)| Some((name(id)?.to_owned(), pool)));
        pools.flat_map(|(pool, state)| {
            state
                .data_centres
                .iter()
                .map(move |(name, place)| ScaleStatus {
                    pool: pool.clone(),
                    data_centre: name.clone(),
                    desired: place.desired,
                    present: place.present.serving,
                })
        })
    }
}

impl Pool {
    fn update(&mut self, now: Time, cfg: entry::Autoscale, figures: Figures) {
        let is_fresh = figures.age < AGE_MAX;
        if now.since(self.updated) >= AGE_MAX {
            self.known_since = None;
        }
        let known_since = *self.known_since.get_or_insert(now);
        let span = Duration::from_millis(u64::from(cfg.boot_ms)) * 2 + FALL_MARGIN;
        self.note_targets(now, &figures, cfg);
        if is_fresh {
            self.learn(now, &figures, cfg);
        }
        self.history.push_back(Sample {
            at: now,
            requests: demand(&figures),
        });
        while self
            .history
            .front()
            .is_some_and(|sample| now.since(sample.at) > span)
        {
            self.history.pop_front();
        }
        let may_fall = is_fresh && now.since(known_since) >= span;
        let peak = self.history.iter().map(|sample| sample.requests).max();
        let needed = self.needed(demand(&figures));
        let needed_before = self.needed(peak.unwrap_or_default());
        for place in self.data_centres.values_mut() {
            let extra = place.crashed();
            let rise = needed.map(|needed| needed.saturating_add(extra));
            let keep = needed_before.map(|needed| needed.saturating_add(extra));
            place.decide(now, cfg, rise, keep.filter(|_| may_fall));
        }
        self.last = figures;
        self.updated = now;
    }

    /// Records the targets of each data centre. A data centre that has lost all its targets keeps its
    /// place, so that the others do not have to bear the loss of one more.
    fn note_targets(&mut self, now: Time, figures: &Figures, cfg: entry::Autoscale) {
        for place in self.data_centres.values_mut() {
            place.present = Present::default();
        }
        for present in &figures.data_centres {
            let place = self
                .data_centres
                .entry(present.name.clone())
                .or_insert_with(|| Place {
                    // What is there was ordered for a demand that this router may not know yet.
                    desired: present.listed.clamp(cfg.min, cfg.max),
                    ..Place::default()
                });
            place.present = present.clone();
        }
        let serving = figures.data_centres.iter().map(|it| it.serving).sum();
        if serving != self.serving {
            self.serving = serving;
            self.changed = now;
        }
    }

    /// Learns what one target bears.
    fn learn(&mut self, now: Time, figures: &Figures, cfg: entry::Autoscale) {
        let serving = u64::from(self.serving);
        if serving == 0 {
            return;
        }
        let slots: u64 = figures
            .data_centres
            .iter()
            .map(|it| u64::from(it.slots))
            .sum();
        let slots = slots * 1_000 / serving;
        let assumed = slots * ASSUMED_PERCENT / 100;
        if self.bears == 0 {
            self.bears = assumed;
        }
        let load = u64::from(figures.running) * 1_000 / serving;
        let boot = Duration::from_millis(u64::from(cfg.boot_ms));
        self.strained = match is_strained(figures) {
            true => self.strained.saturating_add(1),
            false => 0,
        };
        if self.strained == 0 {
            let recovered = assumed.saturating_sub(self.bears).div_ceil(RECOVERY_S);
            self.bears = (self.bears + recovered).max(load);
        } else if self.strained >= STRAINED_MIN && now.since(self.changed) >= boot + SETTLE_TIME {
            // Late answers show that targets bear less than they have.
            let least = slots / BEARS_MIN_PART;
            let borne = (load * BORNE_PERCENT / 100).max(least);
            self.bears -= self.bears.saturating_sub(borne).div_ceil(2);
        }
    }

    /// Returns the targets that each data centre needs to bear `requests` if one of them is lost.
    /// `None` if it is not known what a target bears.
    fn needed(&self, requests: u64) -> Option<u32> {
        let planned = self.bears * PLANNED_PERCENT;
        if planned == 0 {
            return None;
        }
        let others = (self.data_centres.len() as u64).saturating_sub(1).max(1);
        let targets = requests.saturating_mul(100_000).div_ceil(planned);
        Some(u32::try_from(targets.div_ceil(others)).unwrap_or(u32::MAX))
    }
}

impl Place {
    /// Sets the number of targets. `rise` is what the present demand needs, and `keep` what the
    /// demand of the last time needs, if it is known.
    fn decide(&mut self, now: Time, cfg: entry::Autoscale, rise: Option<u32>, keep: Option<u32>) {
        let before = self.desired.clamp(cfg.min, cfg.max);
        self.desired = before;
        if let Some(rise) = rise.filter(|&rise| rise > before) {
            self.desired = rise.min(cfg.max);
        } else if let Some(keep) = keep.filter(|&keep| keep < before)
            && now.since(self.fell) >= FALL_PAUSE
        {
            let step = (before * FALL_PERCENT / 100).max(1);
            self.desired = keep.max(before - step).max(cfg.min);
            self.fell = now;
        }
    }

    /// Returns the targets that crashed and have to be replaced. If most of a data centre's targets
    /// do not answer, it is lost as a whole, and more targets there would not serve either.
    fn crashed(&self) -> u32 {
        match self.present.crashed * 2 <= self.present.listed {
            true => self.present.crashed,
            false => 0,
        }
    }

    fn is_due(&self, now: Time) -> bool {
        match (self.sent, self.retry) {
            (None, _) => true,
            (Some((_, number)), _) if number != self.desired => true,
            (_, Some(retry)) => now >= retry,
            (Some((at, _)), None) => now.since(at) >= REPEAT,
        }
    }
}

/// Returns the requests that would be at targets if none had to wait and none was refused.
fn demand(figures: &Figures) -> u64 {
    let running = u64::from(figures.running);
    // The time that a request stays at a target, by Little's law.
    let stay = running
        .checked_div(u64::from(figures.begun))
        .map_or(1, |stay| stay.clamp(1, STAY_MAX_S));
    running + u64::from(figures.waiting) + u64::from(figures.refused) * stay
}

/// Returns whether callers are not served within their objective.
const fn is_strained(figures: &Figures) -> bool {
    let ended = figures.begun + figures.refused;
    let at_hand = figures.running + figures.waiting;
    (figures.late + figures.refused) * 100 > ended * LATE_PERCENT
        || figures.waiting * 100 > at_hand * WAITING_PERCENT
}

fn basis(figures: &Figures, present: &Present, bears: u64, age: Duration) -> String {
    format!(
        "{} requests at targets, {} wait, {} begun, {} late and {} refused in a second; here {} \
         targets, {} serve, {} crashed; one bears {}.{:03}; figures {} ms old",
        figures.running,
        figures.waiting,
        figures.begun,
        figures.late,
        figures.refused,
        present.listed,
        present.serving,
        present.crashed,
        bears / 1_000,
        bears % 1_000,
        age.as_millis(),
    )
}
