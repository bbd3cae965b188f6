//! Tests of the health and the limit of one target, and of the order of its records.

use super::health::Health;
use super::{Cause, Config, RecordOrder, Signal};
use crate::input::{Report, TargetState};
use crate::prelude::*;

/// An event at a target with eight slots.
#[derive(Clone, Copy)]
enum Step {
    /// This many answers finish at the usual pace.
    Finish(u32),
    /// This many answers finish in five times the usual time.
    FinishSlowly(u32),
    Signal(Signal),
    Report {
        uptime: u64,
        running: u32,
    },
    /// This many milliseconds pass.
    Wait(u64),
    /// The report timeout is checked.
    CheckTimeout,
    /// This router takes over the target from an owner that granted this limit.
    TakeOver(u32),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    limit: u32,
    cause: Option<Cause>,
}

use Step::{CheckTimeout, Finish, FinishSlowly, TakeOver, Wait};

const fn report(uptime: u64, running: u32) -> Step {
    Step::Report { uptime, running }
}

const WARM: &[Step] = &[
    report(100, 0),
    Wait(1_000),
    Finish(8),
    Wait(1_000),
    Finish(8),
    Wait(1_000),
    Finish(8),
    report(103, 8),
];

const CASES: &[Case] = &[
    Case {
        name: "new",
        steps: &[],
        limit: 1,
        cause: Some(Cause::New),
    },
    Case {
        name: "many answers in less than a step",
        steps: &[Wait(900), Finish(100)],
        limit: 1,
        cause: Some(Cause::New),
    },
    Case {
        name: "time without answers",
        steps: &[Wait(60_000)],
        limit: 1,
        cause: Some(Cause::New),
    },
    Case {
        name: "two steps",
        steps: &[Wait(1_000), Finish(1), Wait(1_000), Finish(2)],
        limit: 4,
        cause: Some(Cause::New),
    },
    Case {
        name: "up for long and busy when this router starts",
        steps: &[report(3_600, 6)],
        limit: 6,
        cause: Some(Cause::New),
    },
    Case {
        name: "recently started and busy when this router starts",
        steps: &[report(2, 6)],
        limit: 1,
        cause: Some(Cause::New),
    },
    Case {
        name: "taken over from an owner that granted eight",
        steps: &[TakeOver(8)],
        limit: 4,
        cause: Some(Cause::New),
    },
];

const CASES_WARM: &[Case] = &[
    Case {
        name: "warm",
        steps: &[],
        limit: 8,
        cause: None,
    },
    Case {
        name: "a restart that shows in the uptime only",
        steps: &[Wait(500), report(0, 0)],
        limit: 1,
        cause: Some(Cause::Restarted),
    },
    Case {
        name: "a restart between two late reports",
        steps: &[Wait(300_000), report(200, 8)],
        limit: 1,
        cause: Some(Cause::Restarted),
    },
    Case {
        name: "a report that lags a little",
        steps: &[Wait(3_000), report(104, 8)],
        limit: 8,
        cause: None,
    },
    Case {
        name: "a refusal",
        steps: &[Step::Signal(Signal::Declined)],
        limit: 4,
        cause: None,
    },
    Case {
        name: "two refusals at the same time",
        steps: &[
            Step::Signal(Signal::Declined),
            Step::Signal(Signal::Declined),
        ],
        limit: 4,
        cause: None,
    },
    Case {
        name: "growth by small steps after a refusal",
        steps: &[Step::Signal(Signal::Declined), Wait(1_000), Finish(8)],
        limit: 5,
        cause: None,
    },
    Case {
        name: "an answer that does not start",
        steps: &[Step::Signal(Signal::Late)],
        limit: 4,
        cause: None,
    },
    Case {
        name: "a start far above the baseline",
        steps: &[Step::Signal(Signal::Started {
            after: Duration::from_secs(2),
        })],
        limit: 4,
        cause: None,
    },
    Case {
        name: "a broken connection",
        steps: &[Step::Signal(Signal::Broken), Wait(500), Finish(8)],
        limit: 1,
        cause: None,
    },
    Case {
        name: "a broken connection, and the target was not restarted",
        steps: &[Step::Signal(Signal::Broken), Wait(1_000), report(104, 7)],
        limit: 4,
        cause: None,
    },
    Case {
        name: "a broken connection, and the target was restarted",
        steps: &[Step::Signal(Signal::Broken), Wait(1_000), report(1, 0)],
        limit: 1,
        cause: Some(Cause::Restarted),
    },
    Case {
        name: "one unanswered request",
        steps: &[Step::Signal(Signal::Unanswered), Finish(1)],
        limit: 8,
        cause: None,
    },
    Case {
        name: "unanswered requests with an answer or a report in between",
        steps: &[
            Step::Signal(Signal::Unanswered),
            Finish(1),
            Step::Signal(Signal::Unanswered),
            report(104, 8),
            Step::Signal(Signal::Unanswered),
        ],
        limit: 8,
        cause: None,
    },
    Case {
        name: "no request is answered",
        steps: &[
            Step::Signal(Signal::Unanswered),
            Step::Signal(Signal::Unanswered),
        ],
        limit: 1,
        cause: Some(Cause::Silent),
    },
    Case {
        name: "no report and no answer",
        steps: &[Wait(5_000), CheckTimeout],
        limit: 1,
        cause: Some(Cause::Silent),
    },
    Case {
        name: "no report, but answers",
        steps: &[Wait(5_000), Finish(1), CheckTimeout],
        limit: 8,
        cause: None,
    },
    Case {
        name: "suddenly slow",
        steps: &[FinishSlowly(3)],
        limit: 1,
        cause: Some(Cause::Slow),
    },
    Case {
        name: "an occasional slow answer",
        steps: &[FinishSlowly(1), Finish(2), FinishSlowly(2), Finish(1)],
        limit: 8,
        cause: None,
    },
];

fn run(name: &str, steps: impl IntoIterator<Item = Step>) -> Health {
    let cfg = Config::default();
    let mut now = Time::from_millis(1_000_000);
    let mut health = Health::new(now, 8);
    for step in steps {
        match step {
            Finish(answers) => finish(&mut health, now, answers, 1),
            FinishSlowly(answers) => finish(&mut health, now, answers, 5),
            Step::Signal(signal) => {
                health.on_signal(now, &cfg, signal);
            }
            Step::Report { uptime, running } => {
                let report = Report {
                    running,
                    waiting: 0,
                    uptime: Duration::from_secs(uptime),
                };
                health.on_report(now, &cfg, report);
            }
            Wait(millis) => now = now + Duration::from_millis(millis),
            CheckTimeout => {
                health.on_timeout(now, &cfg);
            }
            TakeOver(limit) => health.take_over(now, Some(limit)),
        }
        assert!((1..=8).contains(&health.limit), "{name}: out of range");
    }
    health
}

fn finish(health: &mut Health, now: Time, answers: u32, factor: u32) {
    let cfg = Config::default();
    for _ in 0..answers {
        let after = Duration::from_millis(100);
        health.on_signal(now, &cfg, Signal::Started { after });
        let took = Duration::from_millis(200) * factor;
        health.on_signal(now, &cfg, Signal::Finished { took, tokens: 10 });
    }
}

#[test]
fn a_limit_starts_at_one_and_follows_what_the_target_shows() {
    for case in CASES {
        let health = run(case.name, case.steps.iter().copied());
        assert_eq!(
            (health.limit, health.cause),
            (case.limit, case.cause),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_warm_target_keeps_its_limit_until_it_shows_a_reason() {
    for case in CASES_WARM {
        let health = run(case.name, WARM.iter().chain(case.steps).copied());
        assert_eq!(
            (health.limit, health.cause),
            (case.limit, case.cause),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_target_that_does_not_answer_is_held_back_for_longer_each_time() {
    let cfg = Config::default();
    let mut now = Time::from_millis(1_000_000);
    let mut health = Health::new(now, 8);
    for hold in [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000] {
        health.on_signal(now, &cfg, Signal::Unanswered);
        let end = now + Duration::from_millis(hold);
        assert!(
            !health.is_available(end - Duration::from_millis(1)),
            "{hold}"
        );
        assert!(health.is_available(end), "{hold}");
        now = end;
    }
    let after = Duration::from_millis(1);
    health.on_signal(now, &cfg, Signal::Started { after });
    health.on_signal(now, &cfg, Signal::Unanswered);
    assert!(
        health.is_available(now + cfg.hold),
        "an answer ends the series"
    );
}

/// Guards against requests to a leaving target. A record that the target wrote before it announced
/// its leaving may reach the store after the announcement, and must not make the target ready
/// again.
#[test]
fn a_record_that_a_target_wrote_earlier_is_ignored() {
    const T: TargetId = TargetId(7);
    const RUN: Option<u64> = Some(1_000);
    enum Event {
        /// A record with this start time of the run and this sequence number.
        Wrote(Option<u64>, u64),
        Removed,
        MinutePasses,
    }
    use Event::{MinutePasses, Removed, Wrote};
    struct Case {
        name: &'static str,
        before: &'static [Event],
        record: (Option<u64>, u64),
        accepted: bool,
    }
    let case = |name, before, record, accepted| Case {
        name,
        before,
        record,
        accepted,
    };
    let cases = [
        case("the first", &[], (RUN, 4), true),
        case("a newer one", &[Wrote(RUN, 4)], (RUN, 5), true),
        case("the same again", &[Wrote(RUN, 4)], (RUN, 4), true),
        case("an older one", &[Wrote(RUN, 4)], (RUN, 3), false),
        case("one of a new run", &[Wrote(RUN, 4)], (Some(1_001), 1), true),
        case(
            "one of the run before",
            &[Wrote(RUN, 1)],
            (Some(999), 9),
            false,
        ),
        case(
            "an older one of a removed target",
            &[Wrote(RUN, 4), Removed],
            (RUN, 3),
            false,
        ),
        case(
            "the last one of a removed target",
            &[Wrote(RUN, 4), Removed],
            (RUN, 4),
            false,
        ),
        case(
            "the target is back after its entry lapsed",
            &[Wrote(RUN, 4), Removed],
            (RUN, 5),
            true,
        ),
        case(
            "the same again after the target was back",
            &[Wrote(RUN, 4), Removed, Wrote(RUN, 5)],
            (RUN, 5),
            true,
        ),
        case(
            "removed a minute ago",
            &[Wrote(RUN, 4), Removed, MinutePasses],
            (RUN, 3),
            true,
        ),
        case(
            "without the start time of the run",
            &[Wrote(None, 4)],
            (None, 3),
            true,
        ),
    ];
    for case in cases {
        let mut order = RecordOrder::default();
        let mut now = Time::from_millis(1_000_000);
        let state = |(started_ms, sequence)| TargetState {
            target: T,
            leaving: false,
            cold_for: Duration::ZERO,
            started_ms,
            sequence,
        };
        for event in case.before {
            match *event {
                Wrote(run, sequence) => assert!(order.admits(&state((run, sequence)))),
                Removed => order.on_removed(now, T),
                MinutePasses => {
                    now = now + Duration::from_secs(60);
                    order.on_removed(now, TargetId(8));
                }
            }
        }
        assert_eq!(
            order.admits(&state(case.record)),
            case.accepted,
            "{}",
            case.name
        );
    }
}
