//! The claims of the keys of this router's requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::once::ages::Ages;
use crate::once::batch::Batch;
use crate::once::issue::Origin;
use crate::once::message::{ClaimBatch, Step, StepKind};
use crate::once::{Claims, Config, Issuer, Key, StepOutcome};
use crate::prelude::*;
use crate::record::Record;

/// The `retry_after` of refusals. By then a key held by another claim may be released.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The age of a key up to which the refusal of a duplicate suggests a retry.
const RELEASE_LIKELY: Duration = Duration::from_secs(60);
/// The maximum number of claims recorded as abandoned.
const ABANDONED_MAX: usize = 10_000;

/// The state of all requests of this router that run at most once.
#[derive(Debug)]
pub struct Once {
    cfg: Config,
    claims: Claims,
    issuer: Issuer,
    batch: Batch,
    /// Claims whose outcome is not known yet, by number.
    pending: BTreeMap<u64, Pending>,
    /// The number of pending claims of each organisation.
    pending_by_org: BTreeMap<OrganisationId, usize>,
    /// The right to run of each request of this router that holds its key.
    holds: BTreeMap<RequestId, Hold>,
    /// The numbers of claims whose requests will certainly never run. Only these claims are
    /// released, each time they are read from the log: a repeated append can record a claim twice.
    abandoned: BTreeSet<u64>,
    /// Claims to be released, until the release is read from the log.
    releasing: BTreeMap<u64, Releasing>,
    next_number: u64,
    ages: Ages,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    request: RequestId,
    key: Key,
    deadline: Time,
}

#[derive(Debug, Clone, Copy)]
struct Releasing {
    key: Key,
    /// When the release is appended, or appended again.
    due: Time,
}

/// The right to run the request of a key.
#[derive(Debug, Clone, Copy)]
enum Hold {
    /// The claim of this number holds the key.
    Claim(u64, Key),
    /// This run issued the key.
    Issued(Key),
}

/// The state of the log as known to this router.
#[derive(Debug, Clone, Copy)]
pub struct LogStatus {
    /// Whether the last read of the log failed.
    pub down: bool,
    /// The latest time at which this router had applied the entire log, if there was one.
    pub current: Option<Time>,
}

/// The next step of an admitted request with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Run,
    /// The request waits until its claim is decided.
    Claiming,
}

/// A claim that was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// The request may run.
    Won(RequestId),
    /// The request must not run.
    Lost(RequestId, Refusal),
}

impl Once {
    /// Returns the state of a run that has read no claims.
    pub fn new(cx: &mut Context, cfg: Config) -> Self {
        Self {
            claims: Claims::new(cfg.keys_max),
            issuer: Issuer::new(cx, cfg.issued_valid),
            batch: Batch::default(),
            pending: BTreeMap::new(),
            pending_by_org: BTreeMap::new(),
            holds: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            releasing: BTreeMap::new(),
            next_number: 0,
            ages: Ages::default(),
            cfg,
        }
    }

    /// Issues a key whose request this run can run without the log.
    pub fn issue(&mut self, now: Time, organisation: OrganisationId) -> uuid::Uuid {
        self.issuer.issue(now, organisation)
    }

    /// Decides whether a request with a key may run or must wait for its claim.
    ///
    /// # Errors
    ///
    /// Fails with the refusal if this router cannot run the request, now or ever.
    pub fn admit(
        &mut self,
        cx: &mut Context,
        log: LogStatus,
        req: &Request,
        uuid: uuid::Uuid,
        deadline: Time,
    ) -> Result<Admission, Refusal> {
        let key =
            Key::new(req.organisation, uuid).ok_or(Refusal::not_run(Reason::KeyInvalid, None))?;
        let now = cx.now;
        match self.issuer.origin(&key) {
            Origin::Caller => {}
            Origin::Here => {
                self.issuer
                    .mark_used(now, key)
                    .map_err(|reason| Refusal::may_have_run(reason, None))?;
                self.holds.insert(req.id, Hold::Issued(key));
                return Ok(Admission::Run);
            }
            Origin::Elsewhere => {
                return Err(Refusal::may_have_run(Reason::KeyIssuedElsewhere, None));
            }
        }
        self.check(now, &key)?;
        if log.down {
            return Err(self.unclaimed(now, log, &key, Reason::ClaimUnavailable));
        }
        self.claim(cx, req.id, key, deadline);
        Ok(Admission::Claiming)
    }

    /// Returns how many requests of an organisation wait for their claims.
    pub fn pending(&self, organisation: OrganisationId) -> usize {
        self.pending_by_org.get(&organisation).copied().unwrap_or(0)
    }

    /// Returns the requests whose deadline passed before their claims were decided.
    pub fn expired(&self, now: Time) -> Vec<RequestId> {
        let expired = self.pending.values().filter(|p| p.deadline <= now);
        expired.map(|pending| pending.request).collect()
    }

    /// Releases the key of a request that was certainly not sent and never will be.
    pub fn release(&mut self, cx: &mut Context, request: RequestId) {
        match self.holds.remove(&request) {
            Some(Hold::Claim(number, key)) => {
                self.mark_abandoned(number);
                self.release_claim(cx, number, key);
            }
            Some(Hold::Issued(key)) => self.issuer.unmark_used(&key),
            None => self.abandon(request),
        }
    }

    /// Drops the right to run a request that may have run. The key stays held, so that no request
    /// with this key runs again.
    pub fn finish(&mut self, request: RequestId) {
        self.holds.remove(&request);
    }

    /// Returns the refusal of a request that is cancelled before its claim is decided.
    pub fn refusal(&self, now: Time, log: LogStatus, request: RequestId) -> Option<Refusal> {
        let pending = self.pending.values().find(|p| p.request == request)?;
        Some(self.unclaimed(now, log, &pending.key, Reason::ClaimUnknown))
    }

    /// Appends the claims and releases that are due.
    pub fn flush(&mut self, cx: &mut Context) {
        let now = cx.now;
        let Some(mut steps) = self.batch.take_due(now, self.cfg.batch_max) else {
            return;
        };
        let claims = steps.iter().map(|step| step.number).collect();
        let free = self.cfg.batch_max.saturating_sub(steps.len());
        let again = now + self.cfg.release_retry;
        let due = self.releasing.iter_mut().filter(|(_, r)| r.due <= now);
        for (&number, releasing) in due.take(free) {
            releasing.due = again;
            steps.push(step(StepKind::Release, number, releasing.key));
        }
        if let Some(next) = self.releasing.values().map(|r| r.due).min() {
            self.batch.schedule(cx, next);
        }
        if steps.is_empty() {
            return;
        }
        let record = Record::Claims(ClaimBatch {
            router: cx.me,
            incarnation: cx.incarnation,
            steps,
        });
        let id = cx.append(&record);
        self.batch.sent(now, id, claims);
    }

    /// Handles the answer to an append. Returns the claims in it as lost if the append certainly
    /// had no effect.
    pub fn on_append(
        &mut self,
        now: Time,
        log: LogStatus,
        id: AppendId,
        had_no_effect: bool,
    ) -> Vec<Settled> {
        let claims = self.batch.answered(id);
        if !had_no_effect {
            return Vec::new();
        }
        let lost = claims.into_iter().filter_map(|number| {
            let pending = self.take_pending(number)?;
            let refusal = self.unclaimed(now, log, &pending.key, Reason::ClaimUnavailable);
            Some(Settled::Lost(pending.request, refusal))
        });
        lost.collect()
    }

    /// Moves the horizon past the records that the log no longer retains. Must be called before any
    /// record of the same read is applied.
    ///
    /// `first` is the oldest offset that the log retains, `applied` the first offset that was not
    /// applied, and `next` the time of the first record of the read.
    pub fn on_read(&mut self, now: Time, first: Offset, applied: Offset, next: Option<Time>) {
        if let Some(lost_until) = self.ages.lost_until(now, first, applied, next) {
            self.claims.forget_until(lost_until + self.cfg.margin);
        }
    }

    /// Records the time of a log record.
    pub fn on_age(&mut self, offset: Offset, at: Time) {
        self.ages.note(offset, at);
    }

    /// Applies a record and returns the claims of this run that it decides.
    pub fn on_record(&mut self, cx: &mut Context, batch: &ClaimBatch) -> Vec<Settled> {
        let run = (batch.router, batch.incarnation);
        let own = run == (cx.me, cx.incarnation);
        let mut settled = Vec::new();
        for step in &batch.steps {
            let Some(key) = Key::new(step.organisation, step.key) else {
                continue;
            };
            let outcome = self.claims.apply(run, key, step);
            if own {
                settled.extend(self.on_own_step(cx, step, key, outcome));
            }
        }
        settled
    }

    /// Returns whether records of claims of the key may be lost.
    pub fn is_too_old(&self, key: &Key) -> bool {
        self.claims.is_too_old(key)
    }

    /// Returns the number of keys that are known to be held.
    pub fn keys(&self) -> usize {
        self.claims.len()
    }

    /// Handles a step of this run that was read from the log.
    fn on_own_step(
        &mut self,
        cx: &mut Context,
        step: &Step,
        key: Key,
        outcome: StepOutcome,
    ) -> Option<Settled> {
        if step.kind == StepKind::Release {
            self.releasing.remove(&step.number);
            return None;
        }
        let Some(pending) = self.take_pending(step.number) else {
            if outcome == StepOutcome::Held && self.abandoned.contains(&step.number) {
                self.release_claim(cx, step.number, key);
            }
            return None;
        };
        let settled = match outcome {
            StepOutcome::Held => {
                let hold = Hold::Claim(step.number, key);
                self.holds.insert(pending.request, hold);
                Settled::Won(pending.request)
            }
            StepOutcome::Lost | StepOutcome::Released => {
                Settled::Lost(pending.request, self.held_refusal(cx.now, &key))
            }
            StepOutcome::TooOld => {
                let refusal = Refusal::may_have_run(Reason::KeyTooOld, None);
                Settled::Lost(pending.request, refusal)
            }
        };
        Some(settled)
    }

    /// Checks that the key is not held and that its time is acceptable.
    fn check(&self, now: Time, key: &Key) -> Result<(), Refusal> {
        if self.claims.holder(key).is_some() {
            return Err(self.held_refusal(now, key));
        }
        if self.claims.is_too_old(key) {
            return Err(Refusal::may_have_run(Reason::KeyTooOld, None));
        }
        if key.time() > now + self.cfg.ahead_max {
            let wait = key.time().since(now + self.cfg.ahead_max);
            return Err(Refusal::not_run(Reason::KeyFromFuture, Some(wait)));
        }
        Ok(())
    }

    /// Returns the refusal of a key that a claim holds. If this run is releasing the key, another
    /// router may have run its request since.
    fn held_refusal(&self, now: Time, key: &Key) -> Refusal {
        let is_releasing = self.releasing.values().any(|r| r.key == *key);
        if is_releasing {
            return Refusal::may_have_run(Reason::ClaimUnknown, Some(RETRY_AFTER));
        }
        let likely = now.since(key.time()) < RELEASE_LIKELY;
        Refusal::may_have_run(Reason::Duplicate, likely.then_some(RETRY_AFTER))
    }

    /// Returns the refusal of a request whose claim was not decided.
    ///
    /// The request itself did not run. An earlier request with the same key may have run after both
    /// the time of the key and the last time at which the log was current. If no more than
    /// [`Config::log_outage_max`] has passed since then, the verdict still is that it did not run.
    fn unclaimed(&self, now: Time, log: LogStatus, key: &Key, reason: Reason) -> Refusal {
        let current = log.current.unwrap_or_default();
        let unobserved = now.since(current.max(key.time()));
        let verdict = if unobserved <= self.cfg.log_outage_max {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        Refusal {
            verdict,
            reason,
            retry_after: Some(RETRY_AFTER),
        }
    }

    /// Adds a claim of the key to the next append.
    fn claim(&mut self, cx: &mut Context, request: RequestId, key: Key, deadline: Time) {
        let number = self.next_number;
        self.next_number += 1;
        let pending = Pending {
            request,
            key,
            deadline,
        };
        self.pending.insert(number, pending);
        *self.pending_by_org.entry(key.organisation()).or_default() += 1;
        let claim = step(StepKind::Claim, number, key);
        self.batch.push(cx, self.cfg.window, claim);
    }

    /// Removes and returns a pending claim.
    fn take_pending(&mut self, number: u64) -> Option<Pending> {
        let pending = self.pending.remove(&number)?;
        let org = pending.key.organisation();
        if let Some(count) = self.pending_by_org.get_mut(&org) {
            *count -= 1;
            if *count == 0 {
                self.pending_by_org.remove(&org);
            }
        }
        Some(pending)
    }

    /// Abandons the pending claim of a request. If the claim is read from the log later, it is
    /// released then.
    fn abandon(&mut self, request: RequestId) {
        let found = self.pending.iter().find(|(_, p)| p.request == request);
        let Some(number) = found.map(|(&number, _)| number) else {
            return;
        };
        self.take_pending(number);
        if !self.batch.withdraw(number) {
            self.mark_abandoned(number);
        }
    }

    /// Records that a claim will never be used. Beyond [`ABANDONED_MAX`] the oldest are forgotten,
    /// and keys of forgotten claims stay held.
    fn mark_abandoned(&mut self, number: u64) {
        self.abandoned.insert(number);
        if self.abandoned.len() > ABANDONED_MAX {
            self.abandoned.pop_first();
        }
    }

    /// Schedules the release of a claim.
    fn release_claim(&mut self, cx: &mut Context, number: u64, key: Key) {
        let due = cx.now + self.cfg.window;
        self.releasing.insert(number, Releasing { key, due });
        self.batch.schedule(cx, due);
    }
}

const fn step(kind: StepKind, number: u64, key: Key) -> Step {
    Step {
        kind,
        organisation: key.organisation(),
        key: key.uuid(),
        number,
    }
}
