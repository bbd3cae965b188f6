//! The handling of one request of a hosting platform, from its hand-over to the control thread to
//! its final answer.

use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind};
use bulrushtrestle_core::key::RequestId;
use bulrushtrestle_core::output::Basis;
use bulrushtrestle_core::request::PromptPart;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::control::{Decision, ForwardingPlan};
use crate::metrics::{ANSWERED, Edge, Stage};
use crate::traffic::admission::BodyMemory;
use crate::traffic::attempt;
use crate::traffic::drive::{CancelOnDrop, next_interruption};
use crate::traffic::hosted::refusal_log::log_refusal;
use crate::traffic::hosted::relay::{Dispatch, Ended, Relay, TargetFailure};
use crate::traffic::hosted::{Call, Hosted, refusal_response};
use crate::traffic::reply::{Reply, SendError};

/// How long before the operators' timeout a request receives its final answer, so that the answer
/// is sent in time.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(20);

/// Serves a request: waits for decisions, carries them out, and answers the caller.
pub(super) async fn drive(
    hosted: Arc<Hosted>,
    (id, arrived): (RequestId, Time),
    call: Call,
    decisions: mpsc::UnboundedReceiver<Decision>,
    reply: Reply,
    _memory: BodyMemory,
) {
    let mut guard = CancelOnDrop::new(&hosted.traffic.control, id);
    let disconnect = reply.disconnect_watch();
    let mut driver = Driver {
        hosted: &hosted,
        call: &call,
        arrived,
        relay: Relay::new(reply, call.info.resume_after),
        target_failure: None,
        plan: None,
        attempts: 0,
        basis: Basis::default(),
        broken_at: None,
    };
    let end = tokio::select! {
        biased;
        () = disconnect.disconnected() => End::Left,
        end = driver.run(decisions) => end,
    };
    driver.log(&end);
    match end {
        End::Answered => guard.disarm(),
        End::Refused(refusal) => {
            guard.disarm();
            driver.refuse(&refusal).await;
        }
        End::TimedOut => {
            guard.disarm();
            hosted.traffic.control.timed_out(id);
            let refusal = match driver.attempts {
                0 => Refusal::not_run(Reason::DeadlinePassed, None),
                _ => Refusal::may_have_run(Reason::DeadlinePassed, None),
            };
            driver.target_failure = None;
            driver.refuse(&refusal).await;
        }
        End::Left => {}
    }
}

/// How a request ended.
enum End {
    /// The complete answer has been written.
    Answered,
    /// The request was refused.
    Refused(Refusal),
    /// The operators' timeout has passed.
    TimedOut,
    /// The caller disconnected or stopped reading.
    Left,
}

/// The most parts of a prompt that a log line names.
const LOGGED_PARTS_MAX: usize = 8;

/// Returns the parts of a prompt that other requests may share, as a log field: the content's hash
/// of each part but the last, or `-` if there is none.
pub(super) fn shared_parts(parts: &[PromptPart]) -> String {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    if shared.is_empty() {
        return "-".to_owned();
    }
    let logged = shared.iter().take(LOGGED_PARTS_MAX);
    let logged: Vec<String> = logged.map(|part| format!("{:x}", part.content.0)).collect();
    logged.join(",")
}

struct Driver<'a> {
    hosted: &'a Hosted,
    call: &'a Call,
    arrived: Time,
    relay: Relay,
    /// The failure that the last attempt's target answered. The caller receives this answer if the
    /// request is refused afterwards.
    target_failure: Option<Box<TargetFailure>>,
    /// How the request is sent to targets, once the node has admitted the request.
    plan: Option<Arc<ForwardingPlan>>,
    /// The number of dispatches so far.
    attempts: u32,
    /// The basis of the last dispatch decision, for the log.
    basis: Basis,
    /// When the answer broke off, until it has gone on at another attempt.
    broken_at: Option<Instant>,
}

impl Driver<'_> {
    async fn run(&mut self, mut decisions: mpsc::UnboundedReceiver<Decision>) -> End {
        let mut next = None;
        loop {
            let decision = match next.take() {
                Some(decision) => decision,
                None => decisions.recv().await,
            };
            match decision {
                // The control thread has ended; the process is about to end.
                None => return End::Refused(Refusal::may_have_run(Reason::Stopping, None)),
                Some(Decision::Admitted(plan)) => self.plan = Some(plan),
                Some(Decision::Refuse(refusal)) => return End::Refused(refusal),
                Some(Decision::Abort(_)) => {}
                Some(Decision::Dispatch {
                    attempt,
                    address,
                    target,
                    basis,
                    ..
                }) => {
                    let Some(plan) = self.plan.clone() else {
                        continue;
                    };
                    self.attempts += 1;
                    self.basis = basis;
                    let dispatch = Dispatch {
                        attempt,
                        address,
                        target: &target,
                        plan: &plan,
                    };
                    let left = self.time_left(&plan);
                    let ended = tokio::select! {
                        biased;
                        decision = next_interruption(&mut decisions, attempt) => {
                            self.hosted.traffic.progress.remove(attempt);
                            next = Some(decision);
                            continue;
                        }
                        () = sleep(left) => return End::TimedOut,
                        ended = self.relay.run(self.hosted, self.call, &dispatch) => ended,
                    };
                    if let Some(end) = self.report_end(&dispatch, ended) {
                        return end;
                    }
                }
            }
        }
    }

    /// Returns the time left until a final answer must be sent because of the operators' timeout.
    fn time_left(&self, plan: &ForwardingPlan) -> Duration {
        let left = plan.until.since(self.hosted.traffic.clock.now());
        left.saturating_sub(TIMEOUT_MARGIN)
    }

    /// Reports to the node how an attempt ended. Returns the end of the request, or `None` if the
    /// request needs another decision.
    fn report_end(&mut self, dispatch: &Dispatch<'_>, ended: Ended) -> Option<End> {
        let traffic = &self.hosted.traffic;
        traffic.progress.remove(dispatch.attempt);
        if let Some(began) = self.relay.began(dispatch.attempt)
            && let Some(broken_at) = self.broken_at.take()
        {
            traffic.metrics.resume_pause(began - broken_at, true);
        }
        let (attempt, target) = (&self.call.info.attempt, dispatch.target);
        match ended {
            Ended::Complete { tokens } => {
                let event = AttemptEvent::Finished { tokens };
                traffic.control.attempt(dispatch.attempt, event);
                return Some(End::Answered);
            }
            Ended::Declined => {
                log::info!(target: "declined", "attempt={attempt} target={target}");
                traffic
                    .control
                    .attempt(dispatch.attempt, AttemptEvent::Declined);
            }
            Ended::Withheld => {
                log::info!(target: "withheld", "attempt={attempt} target={target}");
                traffic
                    .control
                    .attempt(dispatch.attempt, AttemptEvent::Withheld);
            }
            Ended::Failed {
                kind,
                sent: was_sent,
                answer,
            } => {
                let status = answer.as_ref().map_or(0, |answer| answer.status());
                log::info!(
                    target: "failed",
                    "attempt={attempt} target={target} kind={kind:?} status={status} sent={was_sent} delivered={} flowing_ms={} parts={}",
                    self.relay.delivered(),
                    self.relay.flowing_ms(dispatch.attempt),
                    shared_parts(&self.call.info.parts),
                );
                traffic.metrics.edge(attempt::failure_metric(kind));
                if matches!(kind, FailureKind::Silent | FailureKind::Crossed) {
                    self.hosted.connections.discard_idle(dispatch.address);
                }
                self.target_failure = answer;
                let has_broken_off = match kind {
                    FailureKind::Broken | FailureKind::Truncated | FailureKind::Unresumable => {
                        was_sent
                    }
                    FailureKind::Connect
                    | FailureKind::Silent
                    | FailureKind::Error
                    | FailureKind::Crossed => false,
                };
                if has_broken_off {
                    self.broken_at.get_or_insert_with(Instant::now);
                }
                let failure = Failure {
                    kind,
                    sent: was_sent,
                    tokens: self.relay.delivered(),
                };
                traffic
                    .control
                    .attempt(dispatch.attempt, AttemptEvent::Failed(failure));
            }
            Ended::Undeliverable(error) => {
                if error == SendError::Timeout {
                    log::info!(target: "unread", "attempt={attempt} target={target} delivered={}", self.relay.delivered());
                    traffic.metrics.edge(Edge::CallerUnread);
                }
                return Some(End::Left);
            }
        }
        None
    }

    /// Sends the final answer of a refused request: the failure that a target answered, or else the
    /// refusal.
    async fn refuse(&mut self, refusal: &Refusal) {
        if let Some(broken_at) = self.broken_at.take() {
            let metrics = &self.hosted.traffic.metrics;
            metrics.resume_pause(broken_at.elapsed(), false);
        }
        match self.target_failure.take() {
            Some(failure) => self.relay.send_failure(failure).await,
            None => self.relay.send_response(refusal_response(refusal)).await,
        }
    }

    /// Logs the request and records its duration in the metrics.
    fn log(&self, end: &End) {
        let traffic = &self.hosted.traffic;
        let _within = traffic.metrics.busy.enter(Stage::Log);
        let attempt = &self.call.info.attempt;
        let took = traffic.clock.now().since(self.arrived);
        let (route, organisation) = match &self.plan {
            Some(plan) => (plan.route.as_str(), plan.organisation.as_deref()),
            None => ("-", None),
        };
        let organisation = organisation.unwrap_or("-");
        let millis = |duration: fn(&ForwardingPlan) -> Duration| {
            let duration = self.plan.as_deref().map(duration);
            duration.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
        };
        let read = millis(|plan| plan.read_time);
        let handed = millis(|plan| plan.handover_wait);
        let outcome = match end {
            End::Answered => ANSWERED,
            End::Refused(refusal) => {
                log_refusal(&traffic.metrics.busy, attempt, refusal);
                "refused"
            }
            End::TimedOut => "timed_out",
            End::Left => "left",
        };
        traffic
            .metrics
            .record_request(outcome, took, self.relay.first_byte_after());
        let first = self
            .relay
            .first_byte_after()
            .map_or(0, |first| first.as_millis());
        log::info!(
            target: "request",
            "attempt={attempt} route={route} organisation={organisation} outcome={outcome} attempts={} target={} first_ms={first} took_ms={} read_ms={read} handed_ms={handed}{}",
            self.attempts,
            self.relay.last_target(),
            took.as_millis(),
            self.basis_fields(),
        );
    }

    /// Returns the log fields that describe the basis of the last dispatch decision; empty if there
    /// was no dispatch.
    fn basis_fields(&self) -> String {
        if self.attempts == 0 {
            return String::new();
        }
        let Basis {
            waited,
            turn,
            recent,
            lowest,
            reporting_peers: heard,
            targets_age,
        } = self.basis;
        let lowest = lowest.map_or_else(|| "none".to_owned(), |lowest| lowest.to_string());
        format!(
            " waited_ms={} sent_ms={} turn={} recent={recent} lowest={lowest} heard={heard} targets_age_ms={}",
            waited.as_millis(),
            self.relay
                .connected_after()
                .map_or(0, |after| after.as_millis()),
            turn.as_str(),
            targets_age.map_or(0, |age| age.as_millis()),
        )
    }
}
