//! Events of attempts: the progress and end of a request at a target.

use std::collections::BTreeMap;

use crate::attempt::{Ending, Limits, Next};
use crate::catalogue::TargetView;
use crate::input::{AttemptEvent, Failure, FailureKind};
use crate::node::Node;
use crate::node::funnel::work_of;
use crate::node::quarantine::looks_like_crash;
use crate::node::request::Stage;
use crate::node::version::VersionSample;
use crate::output::Output;
use crate::prelude::*;
use crate::queue::Waiting;
use crate::share::ChargeAccount;
use crate::slots::Policy;
use crate::speed::Reading;
use crate::target::Signal;

/// The time without a token on any stream after which a target's streams count as stalled: three
/// times the longest pause between events that is allowed (400 ms).
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The fewest open streams of a target that can count as stalled.
const STALLED_STREAMS_MIN: u32 = 2;
/// How long a request that is sent again may wait for a target if its first wait is over.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// One attempt: a request that was dispatched to a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) target: TargetId,
    /// Output tokens that have been charged as service.
    pub(super) tokens_counted: u64,
    /// When the attempt was dispatched.
    pub(super) sent: Time,
    pub(super) flow: Flow,
    /// What the organisation was charged for the attempt.
    pub(super) charge_account: ChargeAccount,
    /// The time up to which elapsed time has been charged, for calls of plain services.
    pub(super) charged_until: Time,
    /// The pool, organisation and class under which the attempt counts as running.
    pub(super) runs_as: (PoolId, OrganisationId, Class),
    pub(super) sample: VersionSample,
    /// Prompt tokens that the target has still to read for the attempt, if they are counted.
    pub(super) unread: u32,
    /// Prompt tokens that the target had still to read when the attempt was dispatched.
    pub(super) ahead: u64,
    /// Whether the attempt counts in the balance of targets.
    pub(super) is_balanced: bool,
    /// Whether the answer cleared the parts of the prompt.
    pub(super) is_sound: bool,
}

/// The progress of an attempt's answer, as far as it matters to the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flow {
    /// Nothing has arrived.
    Pending,
    /// Nothing has arrived in time, and the delay was counted against the target.
    Late,
    /// The answer started at this time.
    Started(Time),
    /// The answer started at this time and has flowed long enough to count in favour of the target.
    Flowing(Time),
}

impl Attempt {
    pub(super) fn new(
        request: RequestId,
        target: TargetId,
        now: Time,
        charge_account: ChargeAccount,
        sample: VersionSample,
    ) -> Self {
        Self {
            request,
            target,
            tokens_counted: 0,
            sent: now,
            flow: Flow::Pending,
            charge_account,
            charged_until: now,
            runs_as: <(PoolId, OrganisationId, Class)>::default(),
            sample,
            unread: 0,
            ahead: 0,
            is_balanced: false,
            is_sound: false,
        }
    }
}

impl Node {
    pub(super) fn on_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if !self.attempts.contains_key(&attempt) {
            self.cx.count(Counter::StaleAttempt);
            return;
        }
        // A request that was not sent shows nothing about the target.
        if event != AttemptEvent::Withheld {
            self.note_data(attempt, event);
            self.update_pace_by(attempt, event);
            self.update_health(attempt, event);
            self.compare_versions(attempt, event);
            self.judge_parts(attempt, event);
        }
        match event {
            AttemptEvent::Started => {}
            AttemptEvent::Progress { tokens } => self.count_tokens(attempt, tokens),
            AttemptEvent::Finished { tokens } => self.on_finished(attempt, tokens),
            AttemptEvent::Declined => self.on_ended(attempt, Ending::Declined),
            AttemptEvent::Withheld => self.on_ended(attempt, Ending::Withheld),
            AttemptEvent::Failed(failure) => {
                self.count_tokens(attempt, failure.tokens);
                self.on_ended(attempt, Ending::Failed(failure));
            }
        }
    }

    /// Counts answers that have not started in time against their targets.
    pub(super) fn note_late_starts(&mut self) {
        let now = self.cx.now;
        let start_max = self.cfg.target.start_max;
        let mut late = Vec::new();
        for attempt in self.attempts.values_mut() {
            if attempt.flow == Flow::Pending && now.since(attempt.sent) >= start_max {
                attempt.flow = Flow::Late;
                late.push((attempt.target, attempt.sample.route));
            }
        }
        for (target, route) in late {
            self.targets.on_signal(&mut self.cx, target, Signal::Late);
            self.compare_late_start(target, route);
        }
    }

    /// Marks targets on which all streams stall as unanswering, so that they get no new requests. A
    /// target that has become unresponsive answers nothing, and requests sent to it would go
    /// unnoticed until their callers leave.
    pub(super) fn note_stalled(&mut self) {
        if self.slots.cfg.policy != Policy::Local {
            return;
        }
        let now = self.cx.now;
        let mut flowing: BTreeMap<TargetId, u32> = BTreeMap::new();
        for attempt in self.attempts.values() {
            if matches!(attempt.flow, Flow::Started(_) | Flow::Flowing(_)) {
                *flowing.entry(attempt.target).or_default() += 1;
            }
        }
        self.last_received
            .retain(|target, _| flowing.contains_key(target));
        for (target, streams) in flowing {
            let received = *self.last_received.entry(target).or_insert(now);
            if streams >= STALLED_STREAMS_MIN && now.since(received) >= STALL_TIMEOUT {
                self.targets
                    .on_signal(&mut self.cx, target, Signal::Unanswered);
            }
        }
    }

    /// Updates the health of an attempt's target by an event of the attempt.
    fn update_health(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let now = self.cx.now;
        let stream = self.cfg.target.stream;
        let Some(attempt) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let (target, request) = (attempt.target, attempt.request);
        self.last_received.insert(target, now);
        let unstarted = matches!(attempt.flow, Flow::Pending | Flow::Late);
        if unstarted && shows_start(event) {
            attempt.flow = Flow::Started(now);
            let unread = core::mem::take(&mut attempt.unread);
            let after = now.since(attempt.sent);
            self.balance.on_read(target, unread);
            if attempt.is_balanced {
                let reading = Reading {
                    tokens: attempt.ahead + u64::from(unread),
                    is_alone: attempt.ahead == 0,
                    took: after,
                };
                let (pool, _, _) = attempt.runs_as;
                let assumed = self.balance.cfg().read_per_ms;
                self.speeds.on_read(now, (pool, target), assumed, reading);
            }
            self.targets
                .on_signal(&mut self.cx, target, Signal::Started { after });
        }
        let sign = match (event, attempt.flow) {
            (AttemptEvent::Started, _) => None,
            (AttemptEvent::Progress { .. }, Flow::Started(at)) if now.since(at) >= stream => {
                attempt.flow = Flow::Flowing(at);
                Some(Signal::Flowing)
            }
            (AttemptEvent::Progress { .. }, _) => None,
            (AttemptEvent::Finished { tokens }, Flow::Started(at) | Flow::Flowing(at)) => {
                let took = now.since(at);
                Some(Signal::Finished { took, tokens })
            }
            (AttemptEvent::Finished { .. }, _) => None,
            (AttemptEvent::Withheld, _) => None,
            (AttemptEvent::Declined, _) => Some(Signal::Declined),
            (AttemptEvent::Failed(failure), _) => Some(failure_signal(failure)),
        };
        if let Some(sign) = sign {
            if matches!(sign, Signal::Broken | Signal::Unanswered | Signal::Silent) {
                self.cold_targets.suspect_restart(now, target);
            }
            self.targets.on_signal(&mut self.cx, target, sign);
        }
        if unstarted && shows_start(event) {
            self.count_begin(request);
            self.record_begin(request);
        }
    }

    /// Adds a request that a target began to answer to its organisation's funnel.
    fn record_begin(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get(&request) {
            let (pool, organisation) = (active.req.pool, active.req.organisation);
            self.funnels.of(pool, organisation).begun += work_of(&active.req);
        }
    }

    /// Removes an attempt, frees the slot and the charges that it holds, and returns it.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        self.charge_time(attempt);
        let ended = self.attempts.remove(&attempt)?;
        let (pool, organisation, class) = ended.runs_as;
        self.ledger
            .refund(organisation, ended.charge_account.unused());
        self.running.remove(pool, organisation, class);
        self.slots.holder.on_end(ended.target);
        self.scan_now(pool);
        if ended.is_balanced {
            self.balance.on_read(ended.target, ended.unread);
            self.balance.on_end(ended.target);
        }
        if self.slots.cfg.policy == Policy::Forwarded {
            self.slots.holder.return_slot(ended.target);
        }
        Some(ended)
    }

    fn on_finished(&mut self, attempt: AttemptId, tokens: u64) {
        self.count_tokens(attempt, tokens);
        if let Some(ended) = self.end_attempt(attempt) {
            self.clear_suspect(ended.request);
            self.close(ended.request);
            self.cx.count(Counter::Completed);
        }
    }

    fn on_ended(&mut self, attempt: AttemptId, ending: Ending) {
        let Some(ended) = self.end_attempt(attempt) else {
            return;
        };
        if matches!(ended.flow, Flow::Pending | Flow::Late) {
            let (pool, organisation, _) = ended.runs_as;
            self.funnels.of(pool, organisation).broken += 1;
            if let Some(active) = self.requests.get(&ended.request) {
                let tokens = work_of(&active.req).tokens;
                let key = (pool, organisation);
                self.service.on_broken(self.cx.now, key, tokens);
            }
        }
        self.record_suspect(&ended, ending);
        if must_cancel(ending) {
            self.cx.out.push(Output::Abort(attempt));
        }
        if let Ending::Failed(failure) = ending
            && failure_signal(failure) == Signal::Broken
        {
            let keep = u32::from(self.targets.owner(ended.target) == Some(self.cx.me));
            self.slots.holder.shrink(ended.target, keep);
        }
        let Some(active) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let limits = Limits {
            now: self.cx.now,
            deadline: active.deadline,
            attempts_max: self.cfg.attempt.attempts_max,
            runs_max: active.req.details.attempts_max,
            payer: self.cfg.attempt.payer(&active.req),
            budgets: &mut self.budgets,
        };
        match active.retry_state.end(ending, limits) {
            Next::Refuse(refusal) => self.refuse(ended.request, refusal),
            Next::Retry(counter) => {
                if self.slots.cfg.policy == Policy::Local && looks_like_crash(ending) {
                    active.retry_state.avoid(ended.target);
                }
                self.cx.count(counter);
                self.retry(ended.request);
            }
        }
    }

    /// Puts a request back at the front of its queue, or among the suspects if it is one.
    pub(super) fn retry(&mut self, request: RequestId) {
        if self.hold_if_suspect(request) {
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.stage = Stage::Waiting;
        let (pool, org, class) = (active.req.pool, active.req.organisation, active.class);
        let waiting = Waiting {
            request,
            since: active.arrived,
            deadline: active
                .deadline
                .min(active.wait_until.max(self.cx.now + RETRY_WAIT)),
        };
        let is_local = self.slots.cfg.policy == Policy::Local;
        if is_local && let Some(time) = self.hopeless_wait(pool, waiting.deadline) {
            self.abandon_for(request, Reason::NoTarget, Some(time));
            return;
        }
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        let avoid = active.retry_state.dispatch_constraints().avoid;
        let tried = |target: TargetView<'_>| target.out || avoid.contains(&target.id);
        if self.catalogue.targets_of(pool).all(tried) {
            active.retry_state.clear_failed_targets();
        }
        self.queues.push_front(pool, org, class, waiting);
        self.begin_waiting(pool, org);
    }

    fn count_tokens(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let new = tokens.saturating_sub(state.tokens_counted);
        state.tokens_counted += new;
        if let Some(active) = self.requests.get_mut(&state.request) {
            active.retry_state.deliver(tokens);
        }
        let (pool, _, _) = state.runs_as;
        // Stream positions count events, and an event may hold several tokens.
        let per_event = self
            .catalogue
            .pool(pool)
            .map_or(0, |pool| pool.bounds.tokens_per_event);
        let tokens = new.saturating_mul(u64::from(per_event.max(1)));
        self.charge_attempt(attempt, Cost::tokens(tokens));
    }
}

/// Says whether an event shows that the target has begun to answer.
pub(super) const fn shows_start(event: AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Started | AttemptEvent::Progress { .. } | AttemptEvent::Finished { .. }
    )
}

/// Returns the health signal that a failure gives about the target.
const fn failure_signal(failure: Failure) -> Signal {
    match failure.kind {
        FailureKind::Connect => Signal::Unanswered,
        FailureKind::Silent => Signal::Silent,
        FailureKind::Broken if failure.sent => Signal::Broken,
        FailureKind::Broken => Signal::Unanswered,
        FailureKind::Truncated
        | FailureKind::Error
        | FailureKind::Crossed
        | FailureKind::Unresumable => Signal::Failed,
    }
}

/// Says whether the target may still be working on an attempt that is abandoned.
const fn must_cancel(ending: Ending) -> bool {
    match ending {
        Ending::Declined | Ending::Withheld => false,
        Ending::Failed(failure) => {
            matches!(failure.kind, FailureKind::Silent | FailureKind::Crossed)
        }
    }
}
