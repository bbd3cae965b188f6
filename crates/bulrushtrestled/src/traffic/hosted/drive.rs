//! One request of a hosting platform, from its arrival to its final answer.

use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind};
use bulrushtrestle_core::key::RequestId;
use bulrushtrestle_core::output::Basis;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::control::{Decision, Passage};
use crate::metrics::{ANSWERED, Stage};
use crate::traffic::admission::BodyMemory;
use crate::traffic::attempt;
use crate::traffic::drive::{Guard, interruption};
use crate::traffic::hosted::door::log_refusal;
use crate::traffic::hosted::relay::{Ended, Failed, Relay, Sent};
use crate::traffic::hosted::{Call, Hosted, response};
use crate::traffic::reply::Reply;

/// How long before the operators' timeout a request gets its final answer, so that it is out in time.
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
    let mut guard = Guard::new(&hosted.traffic.control, id);
    let watch = reply.watch();
    let mut driver = Driver {
        hosted: &hosted,
        call: &call,
        arrived,
        relay: Relay::new(reply),
        failed: None,
        passage: None,
        attempts: 0,
        basis: Basis::default(),
    };
    let end = tokio::select! {
        biased;
        () = watch.left() => End::Left,
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
            let verdict = match driver.attempts {
                0 => Refusal::not_run(Reason::DeadlinePassed, None),
                _ => Refusal::may_have_run(Reason::DeadlinePassed, None),
            };
            driver.failed = None;
            driver.refuse(&verdict).await;
        }
        End::Left => {}
    }
}

/// How a request ended.
enum End {
    /// The whole answer has been written.
    Answered,
    /// The node gave it up.
    Refused(Refusal),
    /// The operators' timeout has passed.
    TimedOut,
    /// The caller has left.
    Left,
}

struct Driver<'a> {
    hosted: &'a Hosted,
    call: &'a Call,
    arrived: Time,
    relay: Relay,
    /// What a target answered that failed the request. The caller gets it if nothing better comes.
    failed: Option<Box<Failed>>,
    passage: Option<Arc<Passage>>,
    attempts: u32,
    /// What the last dispatch rested on.
    basis: Basis,
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
                // The control thread has ended; the process follows.
                None => return End::Refused(Refusal::may_have_run(Reason::Stopping, None)),
                Some(Decision::Taken(passage)) => self.passage = Some(passage),
                Some(Decision::Refuse(refusal)) => return End::Refused(refusal),
                Some(Decision::Abort(_)) => {}
                Some(Decision::Dispatch {
                    attempt,
                    address,
                    target,
                    resume_from,
                    basis,
                }) => {
                    let Some(passage) = self.passage.clone() else {
                        continue;
                    };
                    self.attempts += 1;
                    self.basis = basis;
                    let sent = Sent {
                        attempt,
                        address,
                        target: &target,
                        resume_from,
                        passage: &passage,
                    };
                    let left = self.time_left(&passage);
                    let ended = tokio::select! {
                        biased;
                        decision = interruption(&mut decisions, attempt) => {
                            self.hosted.traffic.progress.forget(attempt);
                            next = Some(decision);
                            continue;
                        }
                        () = sleep(left) => return End::TimedOut,
                        ended = self.relay.run(self.hosted, self.call, &sent) => ended,
                    };
                    if let Some(end) = self.settle(&sent, ended) {
                        return end;
                    }
                }
            }
        }
    }

    /// Returns how much time there is until the operators' timeout.
    fn time_left(&self, passage: &Passage) -> Duration {
        let left = passage.until.since(self.hosted.traffic.clock.now());
        left.saturating_sub(TIMEOUT_MARGIN)
    }

    /// Tells the node how an attempt ended.
    fn settle(&mut self, sent: &Sent<'_>, ended: Ended) -> Option<End> {
        let traffic = &self.hosted.traffic;
        traffic.progress.forget(sent.attempt);
        let (attempt, target) = (&self.call.said.attempt, sent.target);
        match ended {
            Ended::Whole { tokens } => {
                let event = AttemptEvent::Finished { tokens };
                traffic.control.attempt(sent.attempt, event);
                return Some(End::Answered);
            }
            Ended::Declined => {
                log::info!(target: "declined", "attempt={attempt} target={target}");
                traffic
                    .control
                    .attempt(sent.attempt, AttemptEvent::Declined);
            }
            Ended::Withheld => {
                log::info!(target: "withheld", "attempt={attempt} target={target}");
                traffic
                    .control
                    .attempt(sent.attempt, AttemptEvent::Withheld);
            }
            Ended::Failed {
                kind,
                sent: was_sent,
                answer,
            } => {
                let status = answer.as_ref().map_or(0, |answer| answer.status());
                log::info!(target: "failed", "attempt={attempt} target={target} kind={kind:?} status={status} sent={was_sent} delivered={}", self.relay.delivered());
                traffic.metrics.edge(attempt::edge(kind));
                if matches!(kind, FailureKind::Silent | FailureKind::Crossed) {
                    self.hosted.connections.forget(sent.address);
                }
                self.failed = answer;
                let failure = Failure {
                    kind,
                    sent: was_sent,
                    tokens: self.relay.delivered(),
                };
                traffic
                    .control
                    .attempt(sent.attempt, AttemptEvent::Failed(failure));
            }
            Ended::Lost => return Some(End::Left),
        }
        None
    }

    /// Gives the final answer to a request that is given up on.
    async fn refuse(&mut self, refusal: &Refusal) {
        match self.failed.take() {
            Some(failed) => self.relay.answer_failed(failed).await,
            None => self.relay.refuse(response(refusal)).await,
        }
    }

    fn log(&self, end: &End) {
        let traffic = &self.hosted.traffic;
        let _within = traffic.metrics.busy.enter(Stage::Log);
        let attempt = &self.call.said.attempt;
        let took = traffic.clock.now().since(self.arrived);
        let (route, organisation) = match &self.passage {
            Some(passage) => (passage.route.as_str(), passage.organisation.as_deref()),
            None => ("-", None),
        };
        let organisation = organisation.unwrap_or("-");
        let millis = |took: fn(&Passage) -> Duration| {
            let took = self.passage.as_deref().map(took);
            took.map_or_else(|| "-".to_owned(), |took| took.as_millis().to_string())
        };
        let read = millis(|passage| passage.read);
        let handed = millis(|passage| passage.handed);
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
            .took(outcome, took, self.relay.first_after());
        let first = self
            .relay
            .first_after()
            .map_or(0, |first| first.as_millis());
        log::info!(
            target: "request",
            "attempt={attempt} route={route} organisation={organisation} outcome={outcome} attempts={} target={} first_ms={first} took_ms={} read_ms={read} handed_ms={handed}{}",
            self.attempts,
            self.relay.last_target(),
            took.as_millis(),
            self.grounds(),
        );
    }

    /// Returns what the last dispatch rested on, for the end of a log line.
    fn grounds(&self) -> String {
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
            self.relay.sent_after().map_or(0, |sent| sent.as_millis()),
            turn.as_str(),
            targets_age.map_or(0, |age| age.as_millis()),
        )
    }
}
