//! What happens to a request at a target.

use std::collections::BTreeMap;

use crate::attempt::{Ending, Limits, Next};
use crate::catalogue::TargetView;
use crate::input::{AttemptEvent, Failure, FailureKind};
use crate::node::Node;
use crate::node::request::Stage;
use crate::node::version::Trial;
use crate::output::Output;
use crate::prelude::*;
use crate::queue::Waiting;
use crate::share::ChargeAccount;
use crate::slots::Policy;
use crate::target::Signal;

/// The time without a token on any stream after which a target counts as gone dark: three times the longest pause
/// that the users' sheets allow between events.
const STALLED: Duration = Duration::from_millis(1_200);
/// How many streams have to stand still.
const STALLED_STREAMS: u32 = 2;
/// For how long a request that is sent again may wait for a target, if its first wait is over.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// A request at a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) target: TargetId,
    /// Tokens that were counted as service.
    pub(super) counted: u64,
    /// When it was sent.
    pub(super) sent: Time,
    pub(super) flow: Flow,
    /// What it was charged.
    pub(super) bill: ChargeAccount,
    /// Until when its time was charged, for calls of plain services.
    pub(super) charged_until: Time,
    /// Where it counts as running.
    pub(super) runs_as: (PoolId, OrganisationId, Class),
    pub(super) trial: Trial,
    /// Prompt tokens that the target has still to read for it, as far as they are counted.
    pub(super) unread: u32,
    /// Whether it counts in the balance of targets.
    pub(super) is_balanced: bool,
}

/// How far the answer of an attempt has come, as far as the target's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Flow {
    /// Nothing has arrived.
    Pending,
    /// Nothing has arrived, and that was counted against the target.
    Late,
    /// The answer started then.
    Started(Time),
    /// It started then, and has flowed for long enough to count for the target.
    Flowing(Time),
}

impl Attempt {
    pub(super) fn new(
        request: RequestId,
        target: TargetId,
        now: Time,
        bill: ChargeAccount,
        trial: Trial,
    ) -> Self {
        Self {
            request,
            target,
            counted: 0,
            sent: now,
            flow: Flow::Pending,
            bill,
            charged_until: now,
            runs_as: <(PoolId, OrganisationId, Class)>::default(),
            trial,
            unread: 0,
            is_balanced: false,
        }
    }
}

impl Node {
    pub(super) fn on_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if !self.attempts.contains_key(&attempt) {
            self.cx.count(Counter::StaleAttempt);
            return;
        }
        // What was not sent shows nothing of its target.
        if event != AttemptEvent::Withheld {
            self.learn(attempt, event);
            self.compare(attempt, event);
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
                late.push((attempt.target, attempt.trial.route));
            }
        }
        for (target, route) in late {
            self.targets.on_signal(&mut self.cx, target, Signal::Late);
            self.compare_late_start(target, route);
        }
    }

    /// Keeps work away from targets on which all streams stand still. A target that has gone dark answers nothing, and
    /// requests on their way to it would be missed only when their callers leave.
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
        self.heard.retain(|target, _| flowing.contains_key(target));
        for (target, streams) in flowing {
            let heard = *self.heard.entry(target).or_insert(now);
            if streams >= STALLED_STREAMS && now.since(heard) >= STALLED {
                self.targets
                    .on_signal(&mut self.cx, target, Signal::Unanswered);
            }
        }
    }

    /// Lets the health of the target follow what an attempt shows.
    fn learn(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let now = self.cx.now;
        let stream = self.cfg.target.stream;
        let Some(attempt) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let target = attempt.target;
        self.heard.insert(target, now);
        let unstarted = matches!(attempt.flow, Flow::Pending | Flow::Late);
        if unstarted && starts(event) {
            attempt.flow = Flow::Started(now);
            let unread = core::mem::take(&mut attempt.unread);
            self.balance.on_read(target, unread);
            let after = now.since(attempt.sent);
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
            (AttemptEvent::Failed(failure), _) => Some(failed(failure)),
        };
        if let Some(sign) = sign {
            if matches!(sign, Signal::Broken | Signal::Unanswered | Signal::Silent) {
                self.starts.doubt(now, target);
            }
            self.targets.on_signal(&mut self.cx, target, sign);
        }
    }

    /// Frees what an attempt holds and returns it.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        self.charge_time(attempt);
        let ended = self.attempts.remove(&attempt)?;
        let (pool, organisation, class) = ended.runs_as;
        self.ledger.refund(organisation, ended.bill.unused());
        self.running.remove(pool, organisation, class);
        self.slots.holder.on_end(ended.target);
        self.look_at_once(pool);
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
        self.suspect(&ended, ending);
        if must_cancel(ending) {
            self.cx.out.push(Output::Abort(attempt));
        }
        if let Ending::Failed(failure) = ending
            && failed(failure) == Signal::Broken
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
        match active.life.end(ending, limits) {
            Next::Refuse(refusal) => self.refuse(ended.request, refusal),
            Next::Retry(counter) => {
                self.cx.count(counter);
                self.retry(ended.request);
            }
        }
    }

    /// Puts a request back at the front of its queue, or among the suspects if it is one.
    pub(super) fn retry(&mut self, request: RequestId) {
        if self.holds_suspect(request) {
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
        let avoid = active.life.dispatch_constraints().avoid;
        let tried = |target: TargetView<'_>| target.out || avoid.contains(&target.id);
        if self.catalogue.targets_of(pool).all(tried) {
            active.life.clear_failed_targets();
        }
        self.queues.push_front(pool, org, class, waiting);
        self.enter(pool, org);
    }

    fn count_tokens(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let new = tokens.saturating_sub(state.counted);
        state.counted += new;
        if let Some(active) = self.requests.get_mut(&state.request) {
            active.life.deliver(tokens);
        }
        let (pool, _, _) = state.runs_as;
        // Positions in a stream count events where an event holds several tokens.
        let per_event = self
            .catalogue
            .pool(pool)
            .map_or(0, |pool| pool.bounds.tokens_per_event);
        let tokens = new.saturating_mul(u64::from(per_event.max(1)));
        self.charge_attempt(attempt, Cost::tokens(tokens));
    }
}

/// Says whether an event shows that the target has begun to answer.
const fn starts(event: AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Started | AttemptEvent::Progress { .. } | AttemptEvent::Finished { .. }
    )
}

/// Returns what a failure shows of the target.
const fn failed(failure: Failure) -> Signal {
    match failure.kind {
        FailureKind::Connect => Signal::Unanswered,
        FailureKind::Silent => Signal::Silent,
        FailureKind::Broken if failure.sent => Signal::Broken,
        FailureKind::Broken => Signal::Unanswered,
        FailureKind::Truncated | FailureKind::Error | FailureKind::Crossed => Signal::Failed,
    }
}

/// Says whether the target may still be working for an attempt that is given up on.
const fn must_cancel(ending: Ending) -> bool {
    match ending {
        Ending::Declined | Ending::Withheld => false,
        Ending::Failed(failure) => {
            matches!(failure.kind, FailureKind::Silent | FailureKind::Crossed)
        }
    }
}
