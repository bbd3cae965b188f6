//! The lease on duties: who holds it, when it is claimed and renewed, and when it lapses.

use std::collections::BTreeMap;

use crate::duty::calls::Calls;
use crate::duty::message::{DutyCall, DutyEvent, DutyOrder, DutyPart, DutyResult, HolderRecord};
use crate::duty::{HOLDER, fence};
use crate::feed::Record;
use crate::output::Output;
use crate::prelude::*;

/// For how long the store may hold back the answer to a read of a candidate.
const READ_WAIT: Duration = Duration::from_secs(4);
/// The pause after a failed read or an append without an answer.
const RETRY: Duration = Duration::from_millis(250);
/// How long a router must have been a candidate before it claims. Until then it may not have heard
/// from stronger routers, as at the start of a fleet.
const CANDIDATE_MIN: Duration = Duration::from_secs(1);
/// By how much each candidate claims later than the one before it, so that not all append at once.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// The longest term that others respect, twice the longest `lease_ms` of the settings.
const TERM_MAX: Duration = Duration::from_secs(60);
/// The most doublings of the step by which the number rises after calls were refused as fenced.
const FENCED_STEPS_MAX: u32 = 16;

/// The settings of the duties.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this router's node.
    pub node: String,
    /// How long a claim is valid. Default: 6 s, twice `lease_ms`.
    pub term: Duration,
    /// How much later than the term's end others may claim. Default: 700 ms, which with the delays
    /// by rank and of the store's answer remains below 1 s.
    pub margin: Duration,
    /// The timeout of a call of the endpoint, before whose end no call may be started. Default:
    /// 750 ms, a quarter of `lease_ms`.
    pub call_timeout: Duration,
    /// The calls per second of the whole fleet that the endpoint takes. Default: 50.
    pub calls_per_s: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            node: String::new(),
            term: Duration::from_secs(6),
            margin: Duration::from_millis(700),
            call_timeout: Duration::from_millis(750),
            calls_per_s: 50,
        }
    }
}

/// What this router may do about the lease, by its view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The router is the candidate of this rank, from 0.
    Candidate(u32),
    /// The router claims nothing, but keeps a lease that it holds.
    Other,
    /// The router claims and renews nothing: it is stopping, or stronger routers are there.
    Yields,
}

/// The lease on the duties, and the calls made under it.
#[derive(Debug)]
pub struct Duties {
    cfg: Config,
    /// The highest era of the store that any answer stated, and since when it is known.
    era: u64,
    era_since: Time,
    /// Where the topic ends, if all of it has been read in the present era.
    end: Option<Offset>,
    /// The records of the lease that were read or written last, by key.
    records: BTreeMap<String, HolderRecord>,
    /// Whether the topic holds a record of the lease that cannot be decoded.
    is_unreadable: bool,
    /// The time until which the terms of `records` and of a holder of a former era may last.
    lapses: Time,
    /// The highest fencing number known.
    floor: Fence,
    own: Option<Own>,
    /// Claims and renewals sent up to this time do not make this router the holder.
    void_until: Time,
    /// The time until which the lease is left to others.
    abstains_until: Time,
    /// How many leases in a row ended because the endpoint knew a higher number.
    fenced: u32,
    candidate_since: Option<Time>,
    is_reading: bool,
    next_read: Time,
    writing: Option<Writing>,
    next_write: Time,
    calls: Calls,
    known: Option<Known>,
}

/// The lease that this router holds.
#[derive(Debug, Clone, Copy)]
struct Own {
    fence: Fence,
    since: Time,
    /// When the claim or the last renewal that counts was sent.
    sent: Time,
    until: Time,
}

/// The record whose append is in progress.
#[derive(Debug)]
struct Writing {
    key: String,
    value: Vec<u8>,
    /// Where the record stands if the append takes effect.
    at: Option<Offset>,
    /// The content of the value, if it is the record of the lease.
    holder: Option<HolderRecord>,
}

/// The holder, as this router, the topic or a peer knows it.
#[derive(Debug, Clone, Copy)]
struct Known {
    holder: RouterId,
    fence: Fence,
    since: Time,
    /// When the holder last showed that it holds the lease.
    as_of: Time,
}

/// Returns the key of the record of the lease in an era. A claim that is executed only after the store
/// was restored must not hide the record of the new era.
fn holder_key(era: u64) -> String {
    match era {
        0 => HOLDER.to_owned(),
        era => format!("{HOLDER}/{era}"),
    }
}

fn is_holder_key(key: &str) -> bool {
    let rest = key.strip_prefix(HOLDER);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl Duties {
    /// Returns the state of a router that knows of no holder.
    pub fn new(cfg: Config) -> Self {
        Self {
            calls: Calls::new(cfg.calls_per_s),
            cfg,
            era: 0,
            era_since: Time::default(),
            end: None,
            records: BTreeMap::new(),
            is_unreadable: false,
            lapses: Time::default(),
            floor: Fence(0),
            own: None,
            void_until: Time::default(),
            abstains_until: Time::default(),
            fenced: 0,
            candidate_since: None,
            is_reading: false,
            next_read: Time::default(),
            writing: None,
            next_write: Time::default(),
            known: None,
        }
    }

    /// Returns the settings.
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns the highest era of the store that is known.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Returns the fencing number while this router is the holder. A call that is started now ends
    /// within the term.
    pub fn held(&self, now: Time) -> Option<Fence> {
        let own = self.own?;
        (now < self.start_before(own)).then_some(own.fence)
    }

    /// Returns whether a record may be written now: this router is the holder, has read the topic up
    /// to its end, and no other append is in progress.
    pub fn can_write(&self, now: Time) -> bool {
        let is_renewed = self
            .own
            .is_some_and(|own| fence::era(own.fence) == self.era);
        self.held(now).is_some()
            && is_renewed
            && self.end.is_some()
            && self.writing.is_none()
            && now >= self.next_write
    }

    /// Appends a record to the topic, unless the topic has changed since it was read. Callers check
    /// [`can_write`](Self::can_write) before.
    pub fn write(&mut self, cx: &mut Context, key: &str, value: Vec<u8>) {
        self.append(cx, key, value, None);
    }

    /// Queues an order. It replaces one about the same pool and data centre that has not been sent;
    /// reports of usage are sent in their order.
    pub fn send(&mut self, order: DutyOrder) {
        self.calls.queue(order);
    }

    /// Returns the holder, if it is known and its term may last.
    pub fn holder(&self, now: Time) -> Option<RouterId> {
        let known = self.known?;
        let is_recent = now.since(known.as_of) < self.cfg.term + self.cfg.margin;
        is_recent.then_some(known.holder)
    }

    /// Returns what peers are told of the holder.
    pub fn part(&self, now: Time) -> Option<DutyPart> {
        self.holder(now)?;
        let known = self.known?;
        let millis = |since: Time| u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
        Some(DutyPart {
            holder: known.holder,
            fence: known.fence,
            held_ms: millis(known.since),
            age_ms: millis(known.as_of),
        })
    }

    /// Applies what a peer knows of the holder.
    pub fn on_part(&mut self, now: Time, part: DutyPart) {
        let before = |ms: u32| now - Duration::from_millis(u64::from(ms));
        self.floor = self.floor.max(part.fence);
        self.learn(Known {
            holder: part.holder,
            fence: part.fence,
            since: before(part.held_ms),
            as_of: before(part.age_ms),
        });
    }

    /// Records the era of an answer of the store, or of a peer that knows it.
    pub fn on_era(&mut self, cx: &mut Context, era: u64) {
        if era <= self.era {
            return;
        }
        let era_before = core::mem::replace(&mut self.era, era);
        self.era_since = cx.now;
        self.end = None;
        self.next_read = cx.now;
        // A holder of the former era may act until its term ends, and its record may be gone.
        self.lapses = self.lapses.max(cx.now + self.cfg.term + self.cfg.margin);
        let held = self.own.map_or(0, |own| own.fence.0);
        cx.notice(
            NoticeKind::Lease,
            format!("duties: era of the store raised from {era_before} to {era}, own_fence={held}"),
        );
    }

    /// Handles an event of the topic. Returns the records other than that of the lease that were read
    /// or written, as they stand in the topic.
    pub fn on_event(&mut self, cx: &mut Context, event: DutyEvent) -> Vec<(String, Vec<u8>)> {
        match event {
            DutyEvent::Read {
                era,
                all,
                records,
                end,
            } => {
                self.is_reading = false;
                self.on_read(cx, (era, all), records, end)
            }
            DutyEvent::ReadFailed => {
                self.is_reading = false;
                self.next_read = cx.now + RETRY;
                Vec::new()
            }
            DutyEvent::Appended { era } => self.on_appended(cx, era),
            DutyEvent::OffsetMismatch { era } => {
                self.writing = None;
                self.on_era(cx, era);
                self.read_anew(cx.now);
                Vec::new()
            }
            DutyEvent::AppendUnknown => {
                // A repeat at the same offset takes effect only if this append does not.
                self.writing = None;
                self.next_write = cx.now + RETRY;
                Vec::new()
            }
            DutyEvent::Suspended => {
                self.void_until = cx.now;
                self.drop_lease(cx, "the VM was suspended");
                Vec::new()
            }
        }
    }

    /// Handles the answer to a call. Returns the order with its result.
    pub fn on_answer(
        &mut self,
        cx: &mut Context,
        call: u64,
        result: DutyResult,
    ) -> Option<(DutyOrder, DutyResult)> {
        let (order, called) = self.calls.on_answer(cx, call, result)?;
        match result {
            DutyResult::Accepted => self.fenced = 0,
            DutyResult::Fenced => {
                if self.own.is_some_and(|own| own.fence == called) {
                    self.fenced += 1;
                    self.void_until = cx.now;
                    self.drop_lease(cx, "the endpoint knows a higher number");
                }
            }
            DutyResult::Throttled | DutyResult::Refused | DutyResult::Unknown => {}
        }
        Some((order, result))
    }

    /// Reads, claims and renews, as far as due. Returns the orders that were queued under a lease that
    /// has ended.
    pub fn advance(&mut self, cx: &mut Context, standing: Standing) -> Vec<DutyOrder> {
        let now = cx.now;
        if self.own.is_some_and(|own| now >= own.until) {
            self.drop_lease(cx, "its term ended");
        }
        match standing {
            Standing::Candidate(_) => drop(self.candidate_since.get_or_insert(now)),
            Standing::Other | Standing::Yields => self.candidate_since = None,
        }
        self.leave_if_endpoint_is_unreachable(cx);
        if standing != Standing::Yields {
            self.renew_if_due(cx);
            self.claim_if_due(cx, standing);
        }
        self.read_if_due(cx, standing);
        match self.held(now) {
            Some(_) => Vec::new(),
            None => self.calls.take_queued(),
        }
    }

    /// Starts the calls that are due.
    pub fn start_calls(&mut self, cx: &mut Context) {
        let Some(own) = self.own.filter(|_| self.held(cx.now).is_some()) else {
            return;
        };
        let start_before = self.start_before(own);
        while let Some((id, order)) = self.calls.next(cx.now, own.fence) {
            cx.out.push(Output::DutyCall(DutyCall {
                id,
                fence: own.fence,
                order,
                start_before,
            }));
        }
        if let Some(next) = self.calls.next_start() {
            cx.wake(next);
        }
    }

    fn start_before(&self, own: Own) -> Time {
        own.until - self.cfg.call_timeout
    }

    fn on_read(
        &mut self,
        cx: &mut Context,
        (era, all): (u64, bool),
        records: Vec<Record>,
        end: Offset,
    ) -> Vec<(String, Vec<u8>)> {
        self.on_era(cx, era);
        // Records that follow an unknown part of the topic, or an answer of a former era, do not show
        // what the topic holds.
        if era < self.era || (!all && self.end.is_none()) {
            self.next_read = cx.now + RETRY;
            return Vec::new();
        }
        self.end = self.end.max(Some(end));
        self.next_read = cx.now;
        let mut others = Vec::new();
        for record in records {
            let Some(value) = record.value else {
                continue;
            };
            match is_holder_key(&record.key) {
                true => self.on_holder_value(cx, record.key, &value),
                false => others.push((record.key, value)),
            }
        }
        others
    }

    fn on_holder_value(&mut self, cx: &mut Context, key: String, value: &[u8]) {
        match HolderRecord::decode(value) {
            Some(record) => {
                self.is_unreadable = false;
                self.on_holder(cx, key, record);
            }
            None => {
                if !self.is_unreadable {
                    cx.notice(
                        NoticeKind::Lease,
                        "duties: the record of the lease cannot be decoded; no claim is made",
                    );
                }
                self.is_unreadable = true;
            }
        }
    }

    /// Applies a record of the lease that stands in the topic in the present era.
    fn on_holder(&mut self, cx: &mut Context, key: String, record: HolderRecord) {
        let now = cx.now;
        self.floor = self.floor.max(record.fence);
        if self.records.get(&key) != Some(&record) {
            let term = Duration::from_millis(u64::from(record.term_ms)).min(TERM_MAX);
            // Its holder sent it before, so its term ends before.
            self.lapses = self.lapses.max(now + term + self.cfg.margin);
        }
        let is_present = fence::era(record.fence) == self.era;
        let is_own = record.router == cx.me && record.incarnation == cx.incarnation;
        if is_present && is_own {
            self.adopt(cx, &record);
        } else if let Some(own) = self.own
            && record.fence > own.fence
        {
            let reason = format!("{} holds fence={}", record.router, record.fence.0);
            self.drop_lease(cx, &reason);
        }
        if is_present && !is_own {
            self.learn(Known {
                holder: record.router,
                fence: record.fence,
                since: now,
                as_of: now,
            });
        }
        self.records.insert(key, record);
    }

    /// Holds the lease by a record of this run, unless its term is over or it was sent before the
    /// lease was last dropped.
    fn adopt(&mut self, cx: &mut Context, record: &HolderRecord) {
        let now = cx.now;
        let until = record.sent + Duration::from_millis(u64::from(record.term_ms));
        if now >= until || record.sent <= self.void_until {
            return;
        }
        let before = self.own.filter(|own| own.fence == record.fence);
        if before.is_some_and(|own| own.sent >= record.sent) {
            return;
        }
        let since = before.map_or(now, |own| own.since);
        self.own = Some(Own {
            fence: record.fence,
            since,
            sent: record.sent,
            until,
        });
        self.learn(Known {
            holder: cx.me,
            fence: record.fence,
            since,
            as_of: now,
        });
        match before {
            Some(_) => cx.count(Counter::DutyRenewed),
            None => {
                cx.count(Counter::DutyClaimed);
                let (number, era, age) = (record.fence.0, self.era, now.since(record.sent));
                cx.notice(
                    NoticeKind::Lease,
                    format!(
                        "duties: held fence={number} era={era} claim_ms={}",
                        age.as_millis()
                    ),
                );
            }
        }
    }

    fn on_appended(&mut self, cx: &mut Context, era: u64) -> Vec<(String, Vec<u8>)> {
        let Some(writing) = self.writing.take() else {
            return Vec::new();
        };
        if era != self.era || self.end.is_none() {
            // The topic ended at this offset in another era, after other records.
            self.on_era(cx, era);
            self.read_anew(cx.now);
            return Vec::new();
        }
        // A read may have shown the record before.
        let end = writing.at.map(|at| Offset(at.0 + 1));
        self.end = self.end.max(end);
        match writing.holder {
            Some(record) => {
                self.on_holder(cx, writing.key, record);
                Vec::new()
            }
            None => vec![(writing.key, writing.value)],
        }
    }

    fn read_anew(&mut self, now: Time) {
        self.end = None;
        self.next_read = now;
    }

    /// Ends the lease of this router. Others claim it after the term of its record.
    fn drop_lease(&mut self, cx: &mut Context, reason: &str) {
        let Some(own) = self.own.take() else {
            return;
        };
        cx.count(Counter::DutyLost);
        let (number, held) = (own.fence.0, cx.now.since(own.since).as_millis());
        cx.notice(
            NoticeKind::Lease,
            format!("duties: no longer held fence={number} held_ms={held} reason={reason}"),
        );
    }

    /// Leaves the lease to others for a term if the endpoint answered no call for two terms.
    fn leave_if_endpoint_is_unreachable(&mut self, cx: &mut Context) {
        let now = cx.now;
        let since = self.calls.unanswered_since();
        if self.own.is_none() || since.is_none_or(|since| now.since(since) < self.cfg.term * 2) {
            return;
        }
        self.calls.forget_unanswered();
        self.void_until = now;
        self.abstains_until = now + self.cfg.term * 2 + self.cfg.margin;
        self.drop_lease(cx, "the endpoint answered no call for two terms");
    }

    fn renew_if_due(&mut self, cx: &mut Context) {
        let Some(own) = self.own else {
            return;
        };
        let is_former = fence::era(own.fence) != self.era;
        if !is_former && cx.now < own.sent + self.cfg.term / 2 {
            return;
        }
        let number = match is_former {
            // Nobody else claims before a term after the era was raised.
            true => self.next_fence(),
            false => own.fence,
        };
        self.append_holder(cx, number);
    }

    fn claim_if_due(&mut self, cx: &mut Context, standing: Standing) {
        let now = cx.now;
        let (Standing::Candidate(rank), None) = (standing, self.own) else {
            return;
        };
        let is_settled = self
            .candidate_since
            .is_some_and(|since| now.since(since) >= CANDIDATE_MIN);
        let is_free = now >= self.lapses + RANK_DELAY * rank && now >= self.abstains_until;
        if is_settled && is_free {
            self.append_holder(cx, self.next_fence());
        }
    }

    /// Returns the number of a new claim: higher than any known, in the present era.
    fn next_fence(&self) -> Fence {
        let counter = fence::counter(self.floor);
        // After a refusal the endpoint's number is unknown, so the steps grow.
        let step = 1 << self.fenced.min(FENCED_STEPS_MAX);
        fence::new(self.era, counter + step)
    }

    fn append_holder(&mut self, cx: &mut Context, number: Fence) {
        // Peers may know of an era that the store's answers have not shown yet.
        let is_known = fence::era(self.floor) <= self.era && self.era <= fence::ERA_MAX;
        let is_possible = self.end.is_some() && self.writing.is_none() && cx.now >= self.next_write;
        if !is_known || !is_possible || self.is_unreadable {
            return;
        }
        let record = HolderRecord {
            fence: number,
            node: self.cfg.node.clone(),
            router: cx.me,
            incarnation: cx.incarnation,
            term_ms: u32::try_from(self.cfg.term.as_millis()).unwrap_or(u32::MAX),
            sent: cx.now,
        };
        let value = record.encode();
        let key = holder_key(fence::era(number));
        self.append(cx, &key, value, Some(record));
    }

    fn append(
        &mut self,
        cx: &mut Context,
        key: &str,
        value: Vec<u8>,
        holder: Option<HolderRecord>,
    ) {
        cx.out.push(Output::DutyRecord {
            key: key.to_owned(),
            value: value.clone(),
            at: self.end,
        });
        self.writing = Some(Writing {
            key: key.to_owned(),
            value,
            at: self.end,
            holder,
        });
    }

    /// Reads the topic. A candidate follows it, so that it learns of a renewal at once; the holder
    /// reads only if it does not know where the topic ends; the others do not read.
    fn read_if_due(&mut self, cx: &mut Context, standing: Standing) {
        let follows = match (self.own, standing) {
            (Some(_), _) => self.end.is_none(),
            (None, Standing::Candidate(_)) => true,
            (None, Standing::Other | Standing::Yields) => {
                self.end = None;
                false
            }
        };
        if !follows || self.is_reading || cx.now < self.next_read {
            return;
        }
        self.is_reading = true;
        let wait = match self.end {
            Some(_) => READ_WAIT,
            None => Duration::ZERO,
        };
        cx.out.push(Output::DutyRead {
            from: self.end,
            wait,
        });
    }

    fn learn(&mut self, news: Known) {
        let Some(known) = &mut self.known else {
            self.known = Some(news);
            return;
        };
        let lapses = known.as_of + self.cfg.term + self.cfg.margin;
        match news.fence.cmp(&known.fence) {
            core::cmp::Ordering::Greater => *known = news,
            // The store has lost its records and states no era.
            core::cmp::Ordering::Less if news.as_of >= lapses => *known = news,
            core::cmp::Ordering::Equal => {
                known.as_of = known.as_of.max(news.as_of);
                known.since = known.since.min(news.since);
            }
            core::cmp::Ordering::Less => {}
        }
    }
}
