//! Requests that run at most once, over a fleet whose routers, log and answers fail.

mod fixture;

use bulrushtrestle_core::catalogue::message::Refresh;
use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

use self::fixture::{Fleet, Job, Setup, request, setup};

const JOB: Job = Job {
    tokens: 20,
    token_time: Duration::from_millis(10),
    crashes: false,
};
const DEADLINE: Duration = Duration::from_secs(2);

/// What is done to the fleet.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Request `id` with a key arrives at a router, from organisation 0.
    Submit(u64, u32, Key),
    /// The same from organisation 1.
    SubmitOther(u64, u32, Key),
    Cancel(u64, u32),
    Wait(u64),
    Kill(u32),
    Restart(u32),
    Freeze(u32, bool),
    LogDown(bool),
    LoseAnswers(bool),
    LogCut(u32),
    Engines(bool),
    /// The log forgets all records so far.
    AgeOut,
}

/// Which key a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Key {
    /// Drawn by the caller when the case began.
    Fresh,
    /// Drawn by the caller a while before the case began.
    Old,
    /// Drawn by a caller whose clock is ahead.
    Ahead,
    /// Not of version 7.
    Malformed,
    /// Issued by router 1 to organisation 0 when the case began.
    Issued,
}

/// What the caller of a request gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Whole,
    NotRun(Reason),
    MayHaveRun(Reason),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    outcomes: Vec<(u64, Outcome)>,
    /// How often the requests of organisation 0 ran in all.
    runs: u32,
}

#[test]
fn a_key_runs_at_most_once_whatever_fails() {
    use Key::{Ahead, Fresh, Issued, Malformed, Old};
    use Outcome::{MayHaveRun, NotRun, Whole};
    use Step::*;
    let cases = [
        Case {
            name: "one key at two routers at the same time",
            steps: vec![Submit(1, 1, Fresh), Submit(2, 2, Fresh), Wait(2_000)],
            outcomes: vec![(1, Whole), (2, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "one key twice at one router",
            steps: vec![Submit(1, 1, Fresh), Submit(2, 1, Fresh), Wait(2_000)],
            outcomes: vec![(1, Whole), (2, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "again at another router after a timeout",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(150),
                Cancel(1, 1),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(2, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "again after the router restarted with empty state",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(150),
                Kill(1),
                Wait(50),
                Restart(1),
                Wait(3_000),
                Submit(2, 1, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(2, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "the router died between its claim and its dispatch",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(6),
                Kill(1),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(2, MayHaveRun(Reason::Duplicate))],
            runs: 0,
        },
        Case {
            name: "the log is out, then back",
            steps: vec![
                LogDown(true),
                Wait(500),
                Submit(1, 1, Fresh),
                Wait(10),
                LogDown(false),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(1, NotRun(Reason::ClaimUnavailable)), (2, Whole)],
            runs: 1,
        },
        Case {
            name: "the log goes out between the request and its claim",
            steps: vec![
                Submit(1, 1, Fresh),
                LogDown(true),
                Wait(100),
                LogDown(false),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(1, NotRun(Reason::ClaimUnavailable)), (2, Whole)],
            runs: 1,
        },
        Case {
            name: "a key that ran before the log went out of sight of another router",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(1_500),
                Restart(2),
                LogDown(true),
                Wait(5_000),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(1, Whole), (2, MayHaveRun(Reason::ClaimUnavailable))],
            runs: 1,
        },
        Case {
            name: "answers of the log are lost after the effect",
            steps: vec![
                LoseAnswers(true),
                Submit(1, 1, Fresh),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(1, Whole), (2, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "an append is unknown and the claim cannot be read before the deadline",
            steps: vec![
                LoseAnswers(true),
                Submit(1, 1, Fresh),
                Wait(6),
                LogCut(1),
                Wait(3_000),
                Submit(2, 2, Fresh),
                Wait(500),
                LogCut(0),
                Wait(2_000),
                Submit(3, 3, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![
                (1, NotRun(Reason::ClaimUnknown)),
                (2, MayHaveRun(Reason::Duplicate)),
                (3, Whole),
            ],
            runs: 1,
        },
        Case {
            name: "the owner is frozen past its deadline between claim and dispatch",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(6),
                Freeze(1, true),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(3_000),
                Freeze(1, false),
                Wait(1_000),
                Submit(3, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![
                (2, MayHaveRun(Reason::Duplicate)),
                (1, MayHaveRun(Reason::ClaimUnknown)),
                (3, Whole),
            ],
            runs: 1,
        },
        Case {
            name: "the owner is frozen, and goes on within its deadline",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(6),
                Freeze(1, true),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(500),
                Freeze(1, false),
                Wait(2_000),
            ],
            outcomes: vec![(2, MayHaveRun(Reason::Duplicate)), (1, Whole)],
            runs: 1,
        },
        Case {
            name: "released because no target took it, and run elsewhere",
            steps: vec![
                Engines(false),
                Submit(1, 1, Fresh),
                Wait(1_000),
                Engines(true),
                Submit(2, 2, Fresh),
                Wait(2_000),
                Submit(3, 3, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![
                (1, NotRun(Reason::NoTarget)),
                (2, Whole),
                (3, MayHaveRun(Reason::Duplicate)),
            ],
            runs: 1,
        },
        Case {
            name: "the caller left before the claim was read, and comes back elsewhere",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(6),
                Cancel(1, 1),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(2, Whole)],
            runs: 1,
        },
        Case {
            name: "the caller left before the claim was appended, and comes back at once",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(1),
                Cancel(1, 1),
                Submit(2, 1, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(2, Whole)],
            runs: 1,
        },
        Case {
            name: "the records that could show whether it ran have aged out",
            steps: vec![
                Submit(1, 1, Fresh),
                Wait(1_000),
                AgeOut,
                Restart(2),
                Wait(1_000),
                Submit(2, 2, Fresh),
                Submit(3, 1, Fresh),
                Submit(4, 3, Old),
                Wait(2_000),
                LogDown(true),
                Wait(500),
                Submit(5, 3, Fresh),
                Wait(10),
            ],
            outcomes: vec![
                (1, Whole),
                (2, MayHaveRun(Reason::KeyTooOld)),
                (3, MayHaveRun(Reason::KeyTooOld)),
                (4, MayHaveRun(Reason::KeyTooOld)),
                (5, MayHaveRun(Reason::KeyTooOld)),
            ],
            runs: 1,
        },
        Case {
            name: "an old key of which every record is kept",
            steps: vec![Submit(1, 1, Old), Wait(1_000)],
            outcomes: vec![(1, Whole)],
            runs: 1,
        },
        Case {
            name: "keys that no router takes",
            steps: vec![Submit(1, 1, Ahead), Submit(2, 1, Malformed), Wait(1_000)],
            outcomes: vec![
                (1, NotRun(Reason::KeyFromFuture)),
                (2, NotRun(Reason::KeyInvalid)),
            ],
            runs: 0,
        },
        Case {
            name: "the same key of two organisations",
            steps: vec![
                Submit(1, 1, Fresh),
                SubmitOther(2, 1, Fresh),
                SubmitOther(3, 2, Fresh),
                Wait(2_000),
            ],
            outcomes: vec![(1, Whole), (2, Whole), (3, MayHaveRun(Reason::Duplicate))],
            runs: 1,
        },
        Case {
            name: "an issued key runs at its issuer while the log is out, and nowhere else",
            steps: vec![
                LogDown(true),
                Wait(500),
                Submit(1, 2, Issued),
                Submit(2, 1, Issued),
                Submit(3, 1, Issued),
                SubmitOther(4, 1, Issued),
                Wait(1_000),
                LogDown(false),
                Wait(1_000),
                Submit(5, 3, Issued),
                Restart(1),
                Wait(3_000),
                Submit(6, 1, Issued),
                Wait(1_000),
            ],
            outcomes: vec![
                (1, MayHaveRun(Reason::KeyIssuedElsewhere)),
                (3, MayHaveRun(Reason::Duplicate)),
                (4, MayHaveRun(Reason::KeyIssuedElsewhere)),
                (2, Whole),
                (5, MayHaveRun(Reason::KeyIssuedElsewhere)),
                (6, MayHaveRun(Reason::KeyIssuedElsewhere)),
            ],
            runs: 1,
        },
        Case {
            name: "an issued key that was not run is run by its issuer later",
            steps: vec![
                Engines(false),
                Submit(1, 1, Issued),
                Wait(1_000),
                Engines(true),
                Submit(2, 1, Issued),
                Wait(1_000),
            ],
            outcomes: vec![(1, NotRun(Reason::NoTarget)), (2, Whole)],
            runs: 1,
        },
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    let Setup {
        mut fleet,
        pool,
        organisations,
        ..
    } = setup(3, 3, 2, 1);
    let keys = Keys::new(&mut fleet, organisations[0]);
    let mut submitted = Vec::new();
    for &step in &case.steps {
        match step {
            Step::Submit(id, router, key) => {
                submitted.push((RouterId(router), RequestId(id)));
                let mut req = request(id, organisations[0], pool);
                req.repeat = Repeat::Once(keys.get(key));
                req.deadline = Some(fleet.now + DEADLINE);
                fleet.submit(RouterId(router), req, JOB);
            }
            Step::SubmitOther(id, router, key) => {
                let mut req = request(id, organisations[1], pool);
                req.repeat = Repeat::Once(keys.get(key));
                fleet.submit(RouterId(router), req, JOB);
            }
            Step::Cancel(id, router) => {
                fleet.input(RouterId(router), Input::Cancelled(RequestId(id)));
            }
            Step::Wait(millis) => fleet.run(Duration::from_millis(millis)),
            Step::Kill(router) => fleet.kill(RouterId(router)),
            Step::Restart(router) => {
                fleet.kill(RouterId(router));
                fleet.restart(RouterId(router));
            }
            Step::Freeze(router, frozen) => fleet.freeze(RouterId(router), frozen),
            Step::LogDown(down) => fleet.log.down = down,
            Step::LoseAnswers(lose) => fleet.log.lose_answers = lose,
            Step::LogCut(0) => fleet.log_cut.clear(),
            Step::LogCut(router) => drop(fleet.log_cut.insert(RouterId(router))),
            Step::Engines(up) => fleet.engines.values_mut().for_each(|engine| engine.up = up),
            Step::AgeOut => age_out(&mut fleet),
        }
    }
    let outcomes: Vec<(u64, Outcome)> = fleet
        .answers
        .iter()
        .map(|answer| {
            let outcome = match answer.refusal {
                None => Outcome::Whole,
                Some(refusal) if refusal.verdict == Verdict::NotRun => {
                    Outcome::NotRun(refusal.reason)
                }
                Some(refusal) => Outcome::MayHaveRun(refusal.reason),
            };
            (answer.request.0, outcome)
        })
        .collect();
    let mut expected = case.outcomes.clone();
    let mut seen = outcomes;
    expected.sort_by_key(|(id, _)| *id);
    seen.sort_by_key(|(id, _)| *id);
    assert_eq!(seen, expected, "{}", case.name);
    let runs: u32 = submitted
        .iter()
        .map(|&(router, request)| fleet.runs(router, request))
        .sum();
    assert_eq!(runs, case.runs, "{}", case.name);
}

/// Lets all records age out but a copy of the catalogue.
fn age_out(fleet: &mut Fleet) {
    let catalogue = fleet.hosts[&RouterId(1)].node.catalogue();
    let copies = Record::Refresh(Refresh {
        fence: 0,
        entries: catalogue.iter().cloned().collect(),
    });
    fleet.log.records.push((fleet.now, copies.encode()));
    fleet.log.first = fleet.log.records.len() - 1;
}

/// The keys of a case.
struct Keys {
    now: Time,
    issued: Uuid,
}

impl Keys {
    fn new(fleet: &mut Fleet, organisation: OrganisationId) -> Self {
        let host = fleet.hosts.get_mut(&RouterId(1)).expect("it exists");
        let issued = host.node.issue_keys(1, organisation)[0];
        Self {
            now: fleet.now,
            issued,
        }
    }

    fn get(&self, key: Key) -> Uuid {
        match key {
            Key::Fresh => drawn_at(self.now),
            Key::Old => drawn_at(self.now - Duration::from_secs(3_600)),
            Key::Ahead => drawn_at(self.now + Duration::from_secs(60)),
            Key::Malformed => Uuid::from_u128(7),
            Key::Issued => self.issued,
        }
    }
}

fn drawn_at(time: Time) -> Uuid {
    let high = time.as_millis() << 16 | 0x7000;
    Uuid::from_u64_pair(high, 1 << 63 | 42)
}
