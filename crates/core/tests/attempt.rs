//! Tests of the caller's result for every point at which an attempt can fail.

mod fixture;

use bulrushtrestle_core::catalogue::entry::{DataCentre, DataCentreState, Entry};
use bulrushtrestle_core::input::FailureKind::{self, Broken, Crossed, Error, Silent, Truncated};
use bulrushtrestle_core::input::{AttemptEvent, Input};
use bulrushtrestle_core::prelude::*;

use self::fixture::{FailurePoint, Fault, Job, Setup, request, setup};

/// The result that the caller of a request receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(Verdict, Reason),
}

struct Case {
    name: &'static str,
    /// The faults of the first attempts, in order.
    faults: Vec<Fault>,
    /// The outcome of a request that may be repeated.
    repeatable: Outcome,
    /// For each attempt of a request that may be repeated: the token from which it resumes, and whether it goes to the first
    /// target.
    attempts: &'static [(u64, bool)],
    /// The outcome of a request without a key.
    unkeyed: Outcome,
}

const ROUTER: RouterId = RouterId(1);
const TOKENS: u64 = 20;
const JOB: Job = Job {
    tokens: TOKENS,
    token_time: Duration::from_millis(10),
    crashes: false,
};

fn fail(kind: FailureKind, point: FailurePoint) -> Fault {
    Fault::Fail(kind, point)
}

const fn may_have_run(reason: Reason) -> Outcome {
    Outcome::Refused(Verdict::MayHaveRun, reason)
}

const fn not_run(reason: Reason) -> Outcome {
    Outcome::Refused(Verdict::NotRun, reason)
}

#[test]
fn the_verdict_is_true_wherever_the_attempt_breaks() {
    let cases = [
        Case {
            name: "no connection",
            faults: vec![Fault::Connect],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: Outcome::Complete,
        },
        Case {
            name: "no connection anywhere",
            faults: vec![Fault::Connect; 3],
            repeatable: not_run(Reason::NoTarget),
            attempts: &[(0, true), (0, false), (0, false)],
            unkeyed: not_run(Reason::NoTarget),
        },
        Case {
            name: "declined",
            faults: vec![Fault::Declined],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: Outcome::Complete,
        },
        Case {
            name: "the write is cut after the first byte",
            faults: vec![fail(Broken, FailurePoint::Write)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "the answer is lost after the effect",
            faults: vec![fail(Broken, FailurePoint::Answer)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "silent from the start",
            faults: vec![fail(Silent, FailurePoint::Answer)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, true)],
            unkeyed: may_have_run(Reason::TargetSilent),
        },
        Case {
            name: "broken after the headers",
            faults: vec![fail(Broken, FailurePoint::Headers)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "an error in place of an answer",
            faults: vec![fail(Error, FailurePoint::Headers)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "the answer belongs to another request",
            faults: vec![fail(Crossed, FailurePoint::Headers)],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "broken after the first token",
            faults: vec![fail(Broken, FailurePoint::Tokens(1))],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (1, true)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "silent in the middle, and again on the new connection",
            faults: vec![
                fail(Silent, FailurePoint::Tokens(8)),
                fail(Silent, FailurePoint::Tokens(4)),
            ],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (8, true), (12, false)],
            unkeyed: may_have_run(Reason::TargetSilent),
        },
        Case {
            name: "the target crashes in the middle and accepts no connection",
            faults: vec![fail(Broken, FailurePoint::Tokens(8)), Fault::Connect],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (8, true), (8, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
        Case {
            name: "cut off before the end mark",
            faults: vec![fail(Truncated, FailurePoint::Tokens(TOKENS))],
            repeatable: Outcome::Complete,
            attempts: &[(0, true), (TOKENS, true)],
            unkeyed: may_have_run(Reason::AnswerIncomplete),
        },
        Case {
            name: "cut off by every attempt",
            faults: vec![fail(Truncated, FailurePoint::Tokens(2)); 3],
            repeatable: may_have_run(Reason::AnswerIncomplete),
            attempts: &[(0, true), (2, true), (4, false)],
            unkeyed: may_have_run(Reason::AnswerIncomplete),
        },
        Case {
            name: "declined after an attempt that may have run",
            faults: vec![
                fail(Broken, FailurePoint::Write),
                Fault::Declined,
                Fault::Declined,
            ],
            repeatable: may_have_run(Reason::NoTarget),
            attempts: &[(0, true), (0, false), (0, false)],
            unkeyed: may_have_run(Reason::TargetFailed),
        },
    ];
    for case in &cases {
        check(case, Repeat::Allowed, case.repeatable);
        check(case, Repeat::Unkeyed, case.unkeyed);
    }
}

fn check(case: &Case, repeat: Repeat, expected: Outcome) {
    let Setup {
        mut fleet,
        pool,
        organisations,
        ..
    } = setup(1, 3, 1, 1);
    fleet.faults.extend(&case.faults);
    let mut req = request(1, organisations[0], pool);
    req.repeat = repeat;
    fleet.submit(ROUTER, req, JOB);
    fleet.run(Duration::from_secs(5));
    let at = format!("{}, {repeat:?}", case.name);
    let outcomes: Vec<Outcome> = fleet
        .answers
        .iter()
        .map(|answer| match answer.refusal {
            None => Outcome::Complete,
            Some(refusal) => Outcome::Refused(refusal.verdict, refusal.reason),
        })
        .collect();
    assert_eq!(outcomes, [expected], "{at}");
    let runs = fleet.runs(ROUTER, RequestId(1));
    match expected {
        Outcome::Refused(Verdict::NotRun, _) => assert_eq!(runs, 0, "{at}"),
        _ if repeat == Repeat::Unkeyed => assert!(runs <= 1, "{at}"),
        _ => {}
    }
    if repeat == Repeat::Allowed {
        let first = fleet.dispatches[0].2.target;
        let attempts: Vec<(u64, bool)> = fleet
            .dispatches
            .iter()
            .map(|(_, _, dispatch)| (dispatch.resume_from, dispatch.target == first))
            .collect();
        assert_eq!(attempts, case.attempts, "{at}");
    }
}

#[test]
fn events_of_an_attempt_that_is_over_are_dropped_and_counted() {
    let late = [
        AttemptEvent::Started,
        AttemptEvent::Progress { tokens: 999 },
        AttemptEvent::Finished { tokens: 999 },
        AttemptEvent::Declined,
    ];
    for event in late {
        let Setup {
            mut fleet,
            pool,
            organisations,
            ..
        } = setup(1, 3, 1, 1);
        fleet
            .faults
            .push_back(fail(Silent, FailurePoint::Tokens(8)));
        fleet.submit(ROUTER, request(1, organisations[0], pool), JOB);
        fleet.run(Duration::from_millis(50));
        let first = fleet.dispatches[0].2.attempt;
        for _ in 0..2 {
            fleet.input(ROUTER, Input::Attempt(first, event));
        }
        assert_eq!(fleet.counters[&Counter::StaleAttempt], 2, "{event:?}");
        assert!(fleet.answers.is_empty(), "{event:?}");
        fleet.run(Duration::from_secs(5));
        assert_eq!(fleet.answers.len(), 1, "{event:?}");
        assert_eq!(fleet.service[&organisations[0]], TOKENS - 8, "{event:?}");
    }
}

#[test]
fn a_failing_pool_meets_no_more_retries_than_the_budget() {
    let Setup {
        mut fleet,
        pool,
        organisations,
        targets,
    } = setup(1, 3, 1, 1);
    for target in &targets {
        fleet
            .engines
            .get_mut(target)
            .expect("the engine exists")
            .failing = true;
    }
    let requests = 200;
    for id in 0..requests {
        fleet.submit(ROUTER, request(id, organisations[0], pool), JOB);
        fleet.run(Duration::from_millis(50));
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.answers.len() as u64, requests);
    let retries = fleet.dispatches.len() as u64 - requests;
    let seconds = 15;
    assert!(retries <= 10 + seconds + requests / 10, "{retries} retries");
    assert!(fleet.counters[&Counter::Refused(Reason::RetryBudgetSpent)] > 0);
}

#[test]
fn a_deadline_that_passes_between_two_attempts_keeps_the_verdict_of_the_first() {
    let Setup {
        mut fleet,
        pool,
        organisations,
        ..
    } = setup(1, 3, 1, 1);
    let mut req = request(1, organisations[0], pool);
    req.deadline = Some(fleet.now + Duration::from_secs(2));
    fleet.submit(ROUTER, req, Job { tokens: 900, ..JOB });
    fleet.run(Duration::from_millis(100));
    for (offset, name) in ["a", "b", "c"].into_iter().enumerate() {
        let entry = Entry::DataCentre(DataCentre {
            name: name.to_owned(),
            region: "r".to_owned(),
            state: DataCentreState::Out,
        });
        fleet.publish(entry, Some(Offset(offset as u64)));
    }
    fleet.run(Duration::from_millis(500));
    let target = fleet.dispatches[0].2.target;
    fleet.crash(target);
    fleet.run(Duration::from_secs(5));
    assert_eq!(
        fleet.dispatches.len(),
        1,
        "all data centres are out of service"
    );
    let refusal = fleet.answers[0].refusal.expect("it was refused");
    assert_eq!(refusal.reason, Reason::DeadlinePassed);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_slot_that_comes_free_after_the_deadline_is_not_used() {
    let Setup {
        mut fleet,
        pool,
        organisations,
        ..
    } = setup(1, 1, 1, 1);
    let job = Job { tokens: 23, ..JOB };
    for id in 0..8 {
        fleet.submit(ROUTER, request(id, organisations[0], pool), job);
    }
    let mut late = request(8, organisations[0], pool);
    late.deadline = Some(fleet.now + Duration::from_millis(225));
    fleet.submit(ROUTER, late, job);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.dispatches.len(), 8);
    let refusal = fleet.answers.iter().find_map(|answer| answer.refusal);
    let refusal = refusal.map(|refusal| (refusal.verdict, refusal.reason));
    assert_eq!(refusal, Some((Verdict::NotRun, Reason::DeadlinePassed)));
}
