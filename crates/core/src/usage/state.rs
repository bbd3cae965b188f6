//! The counts of the fleet's requests by window, and what becomes of a window's report.

use std::collections::{BTreeMap, BTreeSet};

use crate::duty::DutyResult;
use crate::prelude::*;
use crate::usage::clock::Clock;
use crate::usage::message::{Figures, PoolRow, WindowRows};
use crate::usage::report::{Report, UsageRecord};

/// The interval at which a router sends its counts.
const ROWS_PERIOD: Duration = Duration::from_secs(1);
/// How long after its end a window stays open for routers that have not reported past its end.
const CLOSE_AFTER: Duration = Duration::from_secs(4);
/// How long before a report is late it is sent or left out: a write, a call and a repeat.
const SEND_TIME: Duration = Duration::from_secs(2);
/// How far a sender's estimate of the fleet's time may deviate before it is corrected: at a window
/// of 5 s, 2 % of a window's requests if all of them began in a part of it.
const DEVIATION_MAX: Duration = Duration::from_millis(100);
/// How long a router that fell silent counts as missing. It may serve on in a partition; one that
/// was killed has usually started again.
const SILENT_MAX: Duration = Duration::from_secs(30);
/// The time after which an order without a result is due again. Every call ends in a result; this
/// only bounds the harm if one is missing.
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause before an order that was not accepted is due again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The clocks of two holders may differ by this much when one takes over after a restore.
const ERA_MARGIN: Duration = Duration::from_secs(1);

/// The settings of reports of usage.
#[derive(Debug, Clone)]
pub struct Config {
    /// The length of a window.
    pub window: Duration,
    /// The time after a window's end by which its report must be sent.
    pub late: Duration,
    /// The deviation that is allowed in a report, in hundredths of a count.
    pub tolerance_percent: u32,
    /// Whether reports are made.
    pub reports: bool,
    /// Whether the number of targets is ordered.
    pub scaling: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            tolerance_percent: 5,
            reports: true,
            scaling: true,
        }
    }
}

/// Requests by organisation.
type Counts = BTreeMap<OrganisationId, u64>;

/// What another router has reported.
#[derive(Debug, Default)]
struct Sender {
    incarnation: Incarnation,
    /// When its last figures arrived.
    heard: Time,
    /// The time up to which its counts are complete.
    until: Time,
    /// Its requests in the last window before that time.
    usual: u64,
    windows: BTreeMap<u64, Counts>,
    /// Counts of earlier runs of the router.
    earlier: BTreeMap<u64, Counts>,
    pools: Vec<PoolRow>,
}

/// The state of one report.
#[derive(Debug)]
struct Reported {
    report: Report,
    /// Whether the store has held the report.
    is_stored: bool,
    delivery: Delivery,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// To be sent from this time on.
    Due(Time),
    /// Sent at this time.
    Sent(Time),
    /// Accepted, or given up.
    Ended,
}

/// The usage of the fleet, as counted here and as reported by other routers.
#[derive(Debug)]
pub struct Usage {
    cfg: Config,
    clock: Clock,
    own: BTreeMap<u64, Counts>,
    senders: BTreeMap<RouterId, Sender>,
    next_rows: Time,
    /// Windows up to this one are not counted here any more. `None` until the time is known.
    floor: Option<u64>,
    reports: BTreeMap<u64, Reported>,
    /// The windows in the newest record of the present era that is known.
    stored: BTreeSet<u64>,
}

impl Usage {
    /// Returns the state of a router that has just started.
    pub fn new(now: Time, cfg: Config) -> Self {
        Self {
            cfg,
            clock: Clock::default(),
            own: BTreeMap::new(),
            senders: BTreeMap::new(),
            next_rows: now,
            floor: None,
            reports: BTreeMap::new(),
            stored: BTreeSet::new(),
        }
    }

    /// Returns the fleet's time, unless no clock was read.
    pub fn time(&self, now: Time) -> Option<Time> {
        self.clock.time(now)
    }

    /// Records a reading of this router's wall clock.
    pub fn on_wall_clock(&mut self, now: Time, wall: Time) {
        self.clock.on_wall(now, wall);
        if self.floor.is_none() {
            self.raise_floor(now, Duration::ZERO);
        }
    }

    /// Counts a request whose answer began.
    pub fn on_begin(&mut self, now: Time, organisation: OrganisationId) {
        let Some(window) = self.time(now).map(|time| self.window_at(time)) else {
            return;
        };
        if self.cfg.reports {
            let counts = self.own.entry(window).or_default();
            *counts.entry(organisation).or_default() += 1;
        }
    }

    /// Returns the counts to be sent now, if they are due. The caller adds the figures of pools.
    pub fn rows_due(&mut self, now: Time) -> Option<Figures> {
        if now < self.next_rows {
            return None;
        }
        let (time, wall) = (self.clock.time(now)?, self.clock.wall(now)?);
        self.next_rows = now + ROWS_PERIOD;
        self.forget_old(now, time);
        let windows = self.own.iter().map(|(&window, counts)| WindowRows {
            window,
            counts: counts.iter().map(|(&id, &count)| (id, count)).collect(),
        });
        Some(Figures {
            sent: now,
            wall,
            time,
            windows: windows.collect(),
            pools: Vec::new(),
        })
    }

    /// Applies the figures of another router. Returns the fleet's time if the sender's estimate
    /// deviates from it and this router hears the clocks of most others.
    pub fn on_rows(
        &mut self,
        now: Time,
        from: RouterId,
        incarnation: Incarnation,
        part: Figures,
    ) -> Option<Time> {
        self.clock.on_reading(now, from, part.wall);
        let sender = self.senders.entry(from).or_default();
        if sender.incarnation != incarnation {
            for (window, counts) in core::mem::take(&mut sender.windows) {
                add(sender.earlier.entry(window).or_default(), &counts);
            }
            sender.incarnation = incarnation;
        }
        sender.heard = now;
        sender.until = part.time;
        sender.pools = part.pools;
        for row in part.windows {
            // Counts only grow, so a message that is late changes nothing.
            let counts = sender.windows.entry(row.window).or_default();
            for (organisation, count) in row.counts {
                let known = counts.entry(organisation).or_default();
                *known = count.max(*known);
            }
        }
        let last = (part.time.0 / micros(self.cfg.window)).saturating_sub(1);
        sender.usual = sender.known(last);
        let time = self.clock.settled_time(now)?;
        let deviation = time.since(part.time).max(part.time.since(time));
        (deviation > DEVIATION_MAX).then_some(time)
    }

    /// Applies the fleet's time that a receiver of this router's figures stated.
    pub fn on_clock(&mut self, now: Time, echo: Time, time: Time) {
        self.clock.on_answer(now, echo, time);
    }

    /// Updates the estimate of the fleet's time in a fleet of `routers` live routers, including this
    /// one. Called only by receivers of figures.
    pub fn follow_clocks(&mut self, now: Time, routers: usize) {
        self.clock.follow_median(now, routers);
    }

    /// Returns the last figures of pools of each other router, with their age. Those of a router that
    /// fell silent count for some time, as it may serve on.
    pub fn pool_rows(&self, now: Time) -> impl Iterator<Item = (RouterId, Duration, &[PoolRow])> {
        self.senders.iter().map(move |(&router, sender)| {
            let age = now.since(sender.heard);
            (router, age, sender.pools.as_slice())
        })
    }

    /// Closes the windows that are complete, and leaves out those that cannot be completed in time.
    /// `live` are the live routers without this one. Called only by the holder.
    pub fn close_due(
        &mut self,
        cx: &mut Context,
        live: &[RouterId],
        name: impl Fn(OrganisationId) -> Option<String>,
    ) {
        let now = cx.now;
        let (Some(time), Some(floor)) = (self.time(now), self.floor) else {
            return;
        };
        if !self.cfg.reports {
            return;
        }
        let open = self.window_at(time);
        // Windows that were too late before this router became the holder.
        let oldest = self.window_at(time - self.cfg.late);
        for window in (floor + 1).max(oldest)..open {
            let end = self.end(window);
            let is_complete = live.iter().all(|&router| self.is_past(router, end));
            let waited = time.since(end);
            let missing = self.missing_percent(now, window, live);
            let is_enough = is_complete || waited >= self.close_after();
            if missing <= self.cfg.tolerance_percent && is_enough {
                self.close(cx, window, missing, &name);
            } else if waited + SEND_TIME >= self.cfg.late {
                let subject = format!(
                    "window {window} is left out: about {missing} % of the requests are unknown \
                     {} ms after its end",
                    waited.as_millis()
                );
                cx.count(Counter::UsageLeftOut);
                cx.notice(NoticeKind::Usage, subject);
            } else {
                return;
            }
            self.floor = Some(window);
        }
    }

    /// Freezes the counts of a window.
    fn close(
        &mut self,
        cx: &mut Context,
        window: u64,
        missing: u32,
        name: impl Fn(OrganisationId) -> Option<String>,
    ) {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        let mut unnamed = 0;
        for (organisation, count) in self.total(window) {
            match name(organisation) {
                Some(name) => *counts.entry(name).or_default() += count,
                None => unnamed += count,
            }
        }
        let subject = format!(
            "window {window}: {} requests of {} organisations, {unnamed} of unknown ones, about \
             {missing} % missing, {} ms after its end",
            counts.values().sum::<u64>(),
            counts.len(),
            self.time(cx.now)
                .map_or(0, |time| time.since(self.end(window)).as_millis()),
        );
        cx.count(Counter::UsageClosed);
        cx.notice(NoticeKind::Usage, subject);
        let report = Report {
            window,
            counts: counts.into_iter().collect(),
        };
        let reported = Reported {
            report,
            is_stored: false,
            delivery: Delivery::Due(cx.now),
        };
        self.reports.insert(window, reported);
    }

    /// Returns the value that the record is to have, if the known one lacks a report. Called only by
    /// the holder.
    pub fn record_due(&mut self, now: Time) -> Option<Vec<u8>> {
        self.forget_reports(now);
        let lacks = |window: &u64| !self.stored.contains(window);
        if !self.reports.keys().any(lacks) {
            return None;
        }
        let reports = self.reports.values().map(|it| it.report.clone());
        let record = UsageRecord {
            reports: reports.collect(),
        };
        Some(record.encode())
    }

    /// Applies the record, which was read or whose append was confirmed in the present era.
    pub fn on_record(&mut self, cx: &mut Context, value: &[u8]) {
        let Some(record) = UsageRecord::decode(value) else {
            // Nobody knows which windows were sent.
            cx.notice(NoticeKind::Usage, "the record of reports cannot be read");
            self.raise_floor(cx.now, ERA_MARGIN);
            self.reports.retain(|_, known| known.is_stored);
            return;
        };
        self.stored = record.reports.iter().map(|it| it.window).collect();
        let Some(&newest) = self.stored.last() else {
            return;
        };
        // What was frozen here and never stored is not part of what the other holder wrote.
        self.reports
            .retain(|&window, known| known.is_stored || window > newest);
        for report in record.reports {
            let due = Delivery::Due(cx.now);
            let known = self.reports.get(&report.window);
            let delivery = known.map_or(due, |known| known.delivery);
            let reported = Reported {
                is_stored: true,
                delivery,
                report,
            };
            self.reports.insert(reported.report.window, reported);
        }
        self.floor = Some(self.floor.unwrap_or_default().max(newest));
    }

    /// Records that the store was restored. Reports that it held at some time are written again;
    /// other windows that have ended may have been sent from a record that is gone.
    pub fn on_era(&mut self, now: Time) {
        self.stored.clear();
        self.reports.retain(|_, known| known.is_stored);
        self.raise_floor(now, ERA_MARGIN);
    }

    /// Returns the reports that are to be sent now, the oldest first. Called only by the holder.
    pub fn reports_due(&mut self, cx: &mut Context) -> Vec<Report> {
        let now = cx.now;
        let Some(time) = self.time(now) else {
            return Vec::new();
        };
        let (length, late) = (self.cfg.window, self.cfg.late);
        let mut due = Vec::new();
        for (&window, known) in &mut self.reports {
            let is_due = match known.delivery {
                Delivery::Due(from) => now >= from,
                Delivery::Sent(at) => now.since(at) >= RESULT_TIMEOUT,
                Delivery::Ended => continue,
            };
            if time.since(window_end(window, length)) >= late {
                known.delivery = Delivery::Ended;
                cx.count(Counter::UsageLeftOut);
                let subject = format!("window {window} was not accepted in time");
                cx.notice(NoticeKind::Usage, subject);
            } else if is_due && self.stored.contains(&window) {
                known.delivery = Delivery::Sent(now);
                due.push(known.report.clone());
            }
        }
        due
    }

    /// Records the result of sending a report.
    pub fn on_result(&mut self, now: Time, window: u64, result: DutyResult) {
        if let Some(known) = self.reports.get_mut(&window) {
            known.delivery = match result {
                DutyResult::Accepted | DutyResult::Refused => Delivery::Ended,
                DutyResult::Fenced | DutyResult::Throttled | DutyResult::Unknown => {
                    Delivery::Due(now + RETRY_PAUSE)
                }
            };
        }
    }

    /// Excludes the windows that ended by now.
    fn raise_floor(&mut self, now: Time, margin: Duration) {
        if let Some(time) = self.time(now) {
            let ended = self.window_at(time + margin).saturating_sub(1);
            self.floor = Some(self.floor.unwrap_or_default().max(ended));
        }
    }

    /// Returns whether a router has reported past a time.
    fn is_past(&self, router: RouterId, time: Time) -> bool {
        let sender = self.senders.get(&router);
        sender.is_some_and(|sender| sender.until >= time)
    }

    /// Returns an estimate of the part of a window's requests that is unknown here, in hundredths.
    ///
    /// Live routers may have more requests than they reported, and so may routers that fell silent
    /// together: they serve on if a link broke. One that fell silent alone was rather killed.
    fn missing_percent(&self, now: Time, window: u64, live: &[RouterId]) -> u32 {
        let end = self.end(window);
        let silent = self.senders.iter().filter(|(router, sender)| {
            let is_recent = now.since(sender.heard) < SILENT_MAX;
            is_recent && sender.until < end && !live.contains(router)
        });
        let silent: Vec<RouterId> = silent.map(|(&router, _)| router).collect();
        let silent = silent.into_iter().filter({
            let counts = self.silent_count(now, live) > 1;
            move |_| counts
        });
        let behind = live.iter().copied().filter(|&it| !self.is_past(it, end));
        let behind: Vec<RouterId> = behind.chain(silent).collect();
        if behind.is_empty() {
            return 0;
        }
        let total: u64 = self.total(window).values().sum();
        let mut unknown = 0;
        let mut unheard: u64 = 0;
        for router in behind {
            match self.senders.get(&router) {
                Some(sender) => unknown += sender.expected(window, end, self.cfg.window),
                None => unheard += 1,
            }
        }
        // A router that was never heard of counts like the average of the others.
        let heard = self.senders.len() as u64 + 1;
        unknown += unheard * (total + unknown).div_ceil(heard);
        match (total + unknown, unheard) {
            (0, 0) => 0,
            (0, _) => 100,
            (all, _) => u32::try_from((unknown * 100).div_ceil(all)).unwrap_or(100),
        }
    }

    /// Returns how many routers fell silent recently.
    fn silent_count(&self, now: Time, live: &[RouterId]) -> usize {
        let senders = self.senders.iter().filter(|(router, sender)| {
            now.since(sender.heard) < SILENT_MAX && !live.contains(router)
        });
        senders.count()
    }

    /// Returns the known requests of a window.
    fn total(&self, window: u64) -> Counts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for sender in self.senders.values() {
            for windows in [&sender.windows, &sender.earlier] {
                if let Some(counts) = windows.get(&window) {
                    add(&mut total, counts);
                }
            }
        }
        total
    }

    /// Removes counts of windows that no holder can close any more, and routers that are gone.
    fn forget_old(&mut self, now: Time, time: Time) {
        let kept = self.window_at(time - self.cfg.late);
        self.own.retain(|&window, _| window >= kept);
        for sender in self.senders.values_mut() {
            sender.windows.retain(|&window, _| window >= kept);
            sender.earlier.retain(|&window, _| window >= kept);
        }
        self.senders
            .retain(|_, sender| now.since(sender.heard) < SILENT_MAX);
    }

    /// Removes reports that are too late to be sent.
    fn forget_reports(&mut self, now: Time) {
        if let Some(time) = self.time(now) {
            let kept = self.window_at(time - self.cfg.late);
            self.reports.retain(|&window, _| window >= kept);
        }
    }

    fn close_after(&self) -> Duration {
        CLOSE_AFTER.min(self.cfg.late / 2)
    }

    fn window_at(&self, time: Time) -> u64 {
        time.0 / micros(self.cfg.window)
    }

    fn end(&self, window: u64) -> Time {
        window_end(window, self.cfg.window)
    }
}

impl Sender {
    /// Returns an estimate of the requests of a window that the router has not reported.
    fn expected(&self, window: u64, end: Time, length: Duration) -> u64 {
        let length = micros(length);
        let left = u64::try_from(end.since(self.until).as_micros()).unwrap_or(u64::MAX);
        let usual = self.usual.max(self.known(window));
        (usual * left.min(length)).div_ceil(length)
    }

    /// Returns the requests of a window that this run of the router has reported.
    fn known(&self, window: u64) -> u64 {
        let counts = self.windows.get(&window);
        counts.map_or(0, |counts| counts.values().sum())
    }
}

fn add(total: &mut Counts, counts: &Counts) {
    for (&organisation, &count) in counts {
        *total.entry(organisation).or_default() += count;
    }
}

fn window_end(window: u64, length: Duration) -> Time {
    Time((window + 1).saturating_mul(micros(length)))
}

/// Returns a length in microseconds, at least one.
fn micros(length: Duration) -> u64 {
    u64::try_from(length.as_micros()).unwrap_or(u64::MAX).max(1)
}
