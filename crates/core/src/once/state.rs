//! The claims of this router's requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::once::ages::Ages;
use crate::once::batch::Batch;
use crate::once::issue::Origin;
use crate::once::message::{ClaimBatch, Step, StepKind};
use crate::once::{Claims, Config, Fold, Issuer, Key};
use crate::prelude::*;
use crate::record::Record;

/// After how long a caller whose key is held elsewhere may find it released.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The age of a key up to which its caller is told to come back.
const RELEASE_LIKELY: Duration = Duration::from_secs(60);
/// The most claims that are remembered as let go of.
const LET_GO_MAX: usize = 10_000;

/// Everything about requests that run at most once.
#[derive(Debug)]
pub struct Once {
    cfg: Config,
    claims: Claims,
    issuer: Issuer,
    batch: Batch,
    /// Claims of which it is not known whether they hold, by number.
    pending: BTreeMap<u64, Pending>,
    pending_by_org: BTreeMap<OrganisationId, usize>,
    /// What the requests of this router hold.
    holds: BTreeMap<RequestId, Hold>,
    /// Claims whose requests will certainly never run. Only these are released, also if an append that
    /// was sent again brings them a second time.
    let_go: BTreeSet<u64>,
    /// Claims that are let go of, until the release is read.
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
    due: Time,
}

/// The right to run a key.
#[derive(Debug, Clone, Copy)]
enum Hold {
    Claim(u64, Key),
    Issued(Key),
}

/// What this router knows of the log at the moment.
#[derive(Debug, Clone, Copy)]
pub struct LogStatus {
    /// Whether the last read failed.
    pub down: bool,
    /// The latest time at which everything on the log was applied.
    pub current: Option<Time>,
}

/// How a request with a key goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Run,
    /// It waits until its claim is decided.
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
    /// Returns the state of a run that knows of no claim.
    pub fn new(cx: &mut Context, cfg: Config) -> Self {
        Self {
            claims: Claims::new(cfg.keys_max),
            issuer: Issuer::new(cx, cfg.issued_valid),
            batch: Batch::default(),
            pending: BTreeMap::new(),
            pending_by_org: BTreeMap::new(),
            holds: BTreeMap::new(),
            let_go: BTreeSet::new(),
            releasing: BTreeMap::new(),
            next_number: 0,
            ages: Ages::default(),
            cfg,
        }
    }

    /// Issues a key that this run can run without the log.
    pub fn issue(&mut self, now: Time, organisation: OrganisationId) -> uuid::Uuid {
        self.issuer.issue(now, organisation)
    }

    /// Decides whether a request with a key may run, must be claimed first, or is refused.
    ///
    /// # Errors
    ///
    /// Fails with the refusal if the key can never or cannot now be run by this router.
    pub fn admit(
        &mut self,
        cx: &mut Context,
        sight: LogStatus,
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
                    .take(now, key)
                    .map_err(|reason| Refusal::may_have_run(reason, None))?;
                self.holds.insert(req.id, Hold::Issued(key));
                return Ok(Admission::Run);
            }
            Origin::Elsewhere => {
                return Err(Refusal::may_have_run(Reason::KeyIssuedElsewhere, None));
            }
        }
        self.check(now, &key)?;
        if sight.down {
            return Err(self.unclaimed(now, sight, &key, Reason::ClaimUnavailable));
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

    /// Lets go of the key of a request that was certainly not sent and never will be.
    pub fn release(&mut self, cx: &mut Context, request: RequestId) {
        match self.holds.remove(&request) {
            Some(Hold::Claim(number, key)) => {
                self.let_go_of(number);
                self.release_claim(cx, number, key);
            }
            Some(Hold::Issued(key)) => self.issuer.give_back(&key),
            None => self.abandon(request),
        }
    }

    /// Keeps the key of a request that may have run from ever running again.
    pub fn finish(&mut self, request: RequestId) {
        self.holds.remove(&request);
    }

    /// Returns the refusal of a request that is given up before its claim was decided.
    pub fn refusal(&self, now: Time, sight: LogStatus, request: RequestId) -> Option<Refusal> {
        let pending = self.pending.values().find(|p| p.request == request)?;
        Some(self.unclaimed(now, sight, &pending.key, Reason::ClaimUnknown))
    }

    /// Appends what is due.
    pub fn flush(&mut self, cx: &mut Context) {
        let now = cx.now;
        let Some(mut steps) = self.batch.take_due(now, self.cfg.batch_max) else {
            return;
        };
        let claims = steps.iter().map(|step| step.number).collect();
        let room = self.cfg.batch_max.saturating_sub(steps.len());
        let again = now + self.cfg.release_retry;
        let due = self.releasing.iter_mut().filter(|(_, r)| r.due <= now);
        for (&number, releasing) in due.take(room) {
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

    /// Takes in the answer to an append; claims that certainly had no effect are lost at once.
    pub fn on_append(
        &mut self,
        now: Time,
        sight: LogStatus,
        id: AppendId,
        had_no_effect: bool,
    ) -> Vec<Settled> {
        let claims = self.batch.answered(id);
        if !had_no_effect {
            return Vec::new();
        }
        let lost = claims.into_iter().filter_map(|number| {
            let pending = self.decide(number)?;
            let refusal = self.unclaimed(now, sight, &pending.key, Reason::ClaimUnavailable);
            Some(Settled::Lost(pending.request, refusal))
        });
        lost.collect()
    }

    /// Notes which records the log still keeps, before any record of the same read is applied.
    pub fn on_read(&mut self, now: Time, first: Offset, applied: Offset, next: Option<Time>) {
        if let Some(lost_until) = self.ages.lost_until(now, first, applied, next) {
            self.claims.forget_until(lost_until + self.cfg.margin);
        }
    }

    /// Notes the age of a record.
    pub fn on_age(&mut self, offset: Offset, at: Time) {
        self.ages.note(offset, at);
    }

    /// Applies a record and returns which claims of this router it decides.
    pub fn on_record(&mut self, cx: &mut Context, batch: &ClaimBatch) -> Vec<Settled> {
        let run = (batch.router, batch.incarnation);
        let own = run == (cx.me, cx.incarnation);
        let mut settled = Vec::new();
        for step in &batch.steps {
            let Some(key) = Key::new(step.organisation, step.key) else {
                continue;
            };
            let fold = self.claims.apply(run, key, step);
            if own {
                settled.extend(self.on_own(cx, step, key, fold));
            }
        }
        settled
    }

    /// Says whether the records that could show whether the key ran may be lost.
    pub fn is_too_old(&self, key: &Key) -> bool {
        self.claims.is_too_old(key)
    }

    /// Returns the number of keys that are remembered.
    pub fn keys(&self) -> usize {
        self.claims.len()
    }

    fn on_own(&mut self, cx: &mut Context, step: &Step, key: Key, fold: Fold) -> Option<Settled> {
        if step.kind == StepKind::Release {
            self.releasing.remove(&step.number);
            return None;
        }
        let Some(pending) = self.decide(step.number) else {
            if fold == Fold::Held && self.let_go.contains(&step.number) {
                self.release_claim(cx, step.number, key);
            }
            return None;
        };
        let settled = match fold {
            Fold::Held => {
                let hold = Hold::Claim(step.number, key);
                self.holds.insert(pending.request, hold);
                Settled::Won(pending.request)
            }
            Fold::Lost | Fold::Released => {
                Settled::Lost(pending.request, self.held_refusal(cx.now, &key))
            }
            Fold::TooOld => {
                let refusal = Refusal::may_have_run(Reason::KeyTooOld, None);
                Settled::Lost(pending.request, refusal)
            }
        };
        Some(settled)
    }

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

    /// Returns the refusal of a key that a claim holds. If this run is letting go of it, another router
    /// may have run it since.
    fn held_refusal(&self, now: Time, key: &Key) -> Refusal {
        let given_up = self.releasing.values().any(|r| r.key == *key);
        if given_up {
            return Refusal::may_have_run(Reason::ClaimUnknown, Some(RETRY_AFTER));
        }
        let likely = now.since(key.time()) < RELEASE_LIKELY;
        Refusal::may_have_run(Reason::Duplicate, likely.then_some(RETRY_AFTER))
    }

    /// Returns the refusal of a request that never got its claim.
    ///
    /// The request itself did not run. An earlier one with the same key may have, if there was time for
    /// it since the key was drawn and since the log was last seen.
    fn unclaimed(&self, now: Time, sight: LogStatus, key: &Key, reason: Reason) -> Refusal {
        let seen = sight.current.unwrap_or_default();
        let blind = now.since(seen.max(key.time()));
        let verdict = if blind <= self.cfg.blind_max {
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

    /// Removes a claim from those that are not decided.
    fn decide(&mut self, number: u64) -> Option<Pending> {
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

    /// Gives up a claim that is not decided. If it turns up in the log, it is released then.
    fn abandon(&mut self, request: RequestId) {
        let found = self.pending.iter().find(|(_, p)| p.request == request);
        let Some(number) = found.map(|(&number, _)| number) else {
            return;
        };
        self.decide(number);
        if !self.batch.take_back(number) {
            self.let_go_of(number);
        }
    }

    /// Notes that a claim will never be used. The oldest are forgotten; their keys then stay held.
    fn let_go_of(&mut self, number: u64) {
        self.let_go.insert(number);
        if self.let_go.len() > LET_GO_MAX {
            self.let_go.pop_first();
        }
    }

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
