//! Tests of the retry state of a request and of the retry budgets.

use super::*;
use crate::input::{Failure, FailureKind};
use crate::prelude::*;

const A: TargetId = TargetId(1);
const B: TargetId = TargetId(2);
const PAYER: Payer = Payer::Organisation(OrganisationId(1));

/// The end of an attempt and the expected decision and constraints on the next one.
struct Step {
    at: TargetId,
    ending: Ending,
    next: Next,
    prefer: Option<TargetId>,
    avoid: &'static [TargetId],
}

struct Case {
    name: &'static str,
    repeat: Repeat,
    steps: Vec<Step>,
}

fn failed(kind: FailureKind, sent: bool, tokens: u64) -> Ending {
    Ending::Failed(Failure { kind, sent, tokens })
}

fn step(at: TargetId, ending: Ending, next: Next) -> Step {
    Step {
        at,
        ending,
        next,
        prefer: None,
        avoid: &[],
    }
}

impl Step {
    fn prefer(mut self, target: TargetId) -> Self {
        self.prefer = Some(target);
        self
    }

    fn avoid(mut self, targets: &'static [TargetId]) -> Self {
        self.avoid = targets;
        self
    }
}

fn not_run(reason: Reason) -> Next {
    Next::Refuse(Refusal::not_run(reason, Some(Duration::from_secs(1))))
}

fn may_have_run(reason: Reason) -> Next {
    Next::Refuse(Refusal::may_have_run(reason, None))
}

#[test]
fn the_end_of_an_attempt_decides_what_follows() {
    use FailureKind::{Broken, Connect, Crossed, Error, Silent, Truncated};
    let again = Next::Retry;
    let cases = [
        Case {
            name: "a declined request goes to another target and stays not run up to the last attempt",
            repeat: Repeat::Unkeyed,
            steps: vec![
                step(A, Ending::Declined, again(Counter::RetryRefusedByTarget)).avoid(&[A]),
                step(B, failed(Connect, false, 0), again(Counter::RetryNotSent)).avoid(&[A, B]),
                step(A, Ending::Declined, not_run(Reason::NoTarget)).avoid(&[A, B]),
            ],
        },
        Case {
            name: "a request that was not sent in time may go to the same target, and stays not run",
            repeat: Repeat::Unkeyed,
            steps: vec![
                step(A, Ending::Withheld, again(Counter::RetryWithheld)),
                step(A, Ending::Withheld, again(Counter::RetryWithheld)),
                step(A, Ending::Withheld, not_run(Reason::Overloaded)),
            ],
        },
        Case {
            name: "a declined attempt does not undo an earlier one that may have run",
            repeat: Repeat::Allowed,
            steps: vec![
                step(
                    A,
                    failed(Broken, true, 0),
                    again(Counter::RetryTargetFailed),
                )
                .avoid(&[A]),
                step(B, Ending::Declined, again(Counter::RetryRefusedByTarget)).avoid(&[A, B]),
                step(
                    A,
                    failed(Connect, false, 0),
                    Next::Refuse(Refusal::may_have_run(
                        Reason::NoTarget,
                        Some(Duration::from_secs(1)),
                    )),
                )
                .avoid(&[A, B]),
            ],
        },
        Case {
            name: "a request that may not be repeated is not sent again after the first byte",
            repeat: Repeat::Unkeyed,
            steps: vec![step(
                A,
                failed(Connect, true, 0),
                may_have_run(Reason::NoTarget),
            )],
        },
        Case {
            name: "a stream that may not be repeated is not resumed",
            repeat: Repeat::Once(uuid::Uuid::nil()),
            steps: vec![step(
                A,
                failed(Truncated, true, 7),
                may_have_run(Reason::AnswerIncomplete),
            )],
        },
        Case {
            name: "a stream is resumed at the same target first, then elsewhere",
            repeat: Repeat::Allowed,
            steps: vec![
                step(A, failed(Broken, true, 7), again(Counter::RetryResumed)).prefer(A),
                step(A, failed(Broken, true, 9), again(Counter::RetryResumed)).avoid(&[A]),
            ],
        },
        Case {
            name: "one unresponsive connection does not exclude its target",
            repeat: Repeat::Allowed,
            steps: vec![
                step(
                    A,
                    failed(Silent, true, 0),
                    again(Counter::RetryTargetFailed),
                )
                .prefer(A),
                step(
                    A,
                    failed(Silent, true, 0),
                    again(Counter::RetryTargetFailed),
                )
                .avoid(&[A]),
            ],
        },
        Case {
            name: "crossed answers and errors exclude the target",
            repeat: Repeat::Allowed,
            steps: vec![
                step(
                    A,
                    failed(Crossed, true, 0),
                    again(Counter::RetryTargetFailed),
                )
                .avoid(&[A]),
                step(B, failed(Error, true, 3), again(Counter::RetryResumed)).avoid(&[A, B]),
            ],
        },
    ];
    for case in cases {
        let mut budgets = Budgets::new(Config::default());
        let mut state = RetryState::new(case.repeat);
        for (index, expected) in case.steps.iter().enumerate() {
            state.begin(expected.at);
            let limits = limits(&mut budgets, Time(0));
            let next = state.end(expected.ending, limits);
            let at = format!("{}, attempt {index}", case.name);
            assert_eq!(next, expected.next, "{at}");
            assert_eq!(state.dispatch_constraints().prefer, expected.prefer, "{at}");
            assert_eq!(state.dispatch_constraints().avoid, expected.avoid, "{at}");
        }
    }
}

#[test]
fn an_attempt_under_way_may_have_run() {
    let mut state = RetryState::new(Repeat::Allowed);
    assert_eq!(state.verdict(), Verdict::NotRun);
    state.begin(A);
    assert_eq!(state.verdict(), Verdict::MayHaveRun);
}

#[test]
fn a_retry_after_the_deadline_is_refused_with_the_true_verdict() {
    let mut budgets = Budgets::new(Config::default());
    let mut state = RetryState::new(Repeat::Allowed);
    state.begin(A);
    let next = state.end(Ending::Declined, limits(&mut budgets, Time::MAX));
    assert_eq!(next, not_run(Reason::DeadlinePassed));
    assert!(
        budgets.is_empty(),
        "no payer is charged for a retry that is not made"
    );
}

#[test]
fn a_request_that_was_not_sent_in_time_spends_no_budget() {
    let mut budgets = Budgets::new(Config::default());
    let mut state = RetryState::new(Repeat::Unkeyed);
    state.begin(A);
    let next = state.end(Ending::Withheld, limits(&mut budgets, Time(0)));
    assert_eq!(next, Next::Retry(Counter::RetryWithheld));
    assert!(budgets.is_empty(), "no target received the request");
}

#[test]
fn a_budget_is_spent_by_one_organisation_and_refills() {
    let cfg = Config::default();
    let mut budgets = Budgets::new(cfg.clone());
    for _ in 0..cfg.retry_burst {
        assert_eq!(budgets.pay(Time(0), PAYER), Ok(()));
    }
    assert_eq!(budgets.pay(Time(0), PAYER), Err(Duration::from_secs(1)));
    assert_eq!(
        budgets.pay(Time(0), Payer::Organisation(OrganisationId(2))),
        Ok(())
    );
    for _ in 0..10 {
        budgets.earn(Time(0), PAYER);
    }
    assert_eq!(
        budgets.pay(Time(0), PAYER),
        Ok(()),
        "earned by ten requests"
    );
    let later = Time(0) + Duration::from_secs(1);
    assert_eq!(budgets.pay(later, PAYER), Ok(()), "earned by one second");
    let much_later = Time(0) + Duration::from_secs(60);
    budgets.earn(much_later, PAYER);
    assert_eq!(budgets.len(), 1, "a full bucket is not stored");
}

fn limits(budgets: &mut Budgets, now: Time) -> Limits<'_> {
    Limits {
        now,
        deadline: Time::MAX,
        attempts_max: 3,
        payer: PAYER,
        runs_max: None,
        budgets,
    }
}
