//! Tests of the quarantine: the status of requests, the causes of broken connections, and trials.

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use self::Step::{ClearCrash, Complete, Crash, Pass, Quarantined};
use super::message::{Entry, QuarantinePart};
use super::*;
use crate::input::RunRecord;
use crate::prelude::*;

const NOW: Time = Time::from_millis(1_800_000_000_000);
const F: Fingerprint = Fingerprint(1);
const A: TargetId = TargetId(1);
const B: TargetId = TargetId(2);

/// An event, with the fingerprint of a request and the number of a target.
#[derive(Debug, Clone, Copy)]
enum Step {
    Crash(u64, u32),
    ClearCrash(u64, u32),
    Complete(u64),
    Quarantined(u64),
    /// This many seconds pass.
    Pass(u64),
}

#[test]
fn the_status_follows_from_the_recorded_events() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        status: SuspectStatus,
    }
    let cases = [
        Case {
            name: "only another request was at a crash",
            steps: &[Crash(2, 1)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "it was at a crash",
            steps: &[Crash(1, 1)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "it was at two crashes, and not alone",
            steps: &[Crash(1, 1), Crash(1, 2)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "the target had not crashed",
            steps: &[Crash(1, 1), ClearCrash(1, 1)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "one of two targets had not crashed",
            steps: &[Crash(1, 1), Crash(1, 2), ClearCrash(1, 2)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "it has completed since",
            steps: &[Crash(1, 1), Crash(1, 2), Complete(1)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "it was at another crash after it completed",
            steps: &[Crash(1, 1), Complete(1), Crash(1, 2)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "it crashed a target alone",
            steps: &[Crash(1, 1), Crash(1, 2), Quarantined(1)],
            status: SuspectStatus::Quarantined,
        },
        Case {
            name: "it crashed a target alone, and a copy elsewhere completed",
            steps: &[Crash(1, 1), Quarantined(1), Complete(1)],
            status: SuspectStatus::Quarantined,
        },
        Case {
            name: "the suspicion expires",
            steps: &[Crash(1, 1), Pass(600)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "the quarantine lasts longer",
            steps: &[Crash(1, 1), Quarantined(1), Pass(3_599)],
            status: SuspectStatus::Quarantined,
        },
        Case {
            name: "the quarantine expires too",
            steps: &[Crash(1, 1), Quarantined(1), Pass(3_600)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "four targets crash together, and it was at one of them",
            steps: &[Crash(1, 1), Crash(2, 2), Crash(3, 3), Crash(4, 4)],
            status: SuspectStatus::Clear,
        },
        Case {
            name: "four targets crash together, and it was at all of them",
            steps: &[Crash(1, 1), Crash(1, 2), Crash(1, 3), Crash(1, 4)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "four targets crash one after another",
            steps: &[Crash(2, 2), Crash(3, 3), Crash(4, 4), Pass(3), Crash(1, 1)],
            status: SuspectStatus::Suspect,
        },
        Case {
            name: "one target crashes under four requests",
            steps: &[Crash(1, 1), Crash(2, 1), Crash(3, 1), Crash(4, 1)],
            status: SuspectStatus::Suspect,
        },
    ];
    for case in cases {
        let mut suspects = Suspects::new(Config::default());
        let mut now = NOW;
        for &step in case.steps {
            apply(&mut suspects, &mut now, step);
        }
        assert_eq!(suspects.status(now, F), case.status, "{}", case.name);
    }
}

fn apply(suspects: &mut Suspects, now: &mut Time, step: Step) {
    match step {
        Crash(fingerprint, target) => {
            suspects.record_crash(*now, Fingerprint(fingerprint), TargetId(target));
        }
        ClearCrash(fingerprint, target) => {
            suspects.clear_crash(*now, Fingerprint(fingerprint), TargetId(target));
        }
        Complete(fingerprint) => {
            drop(suspects.record_completion(*now, Fingerprint(fingerprint)));
        }
        Quarantined(fingerprint) => {
            drop(suspects.quarantine(*now, Fingerprint(fingerprint)));
        }
        Pass(seconds) => *now = *now + Duration::from_secs(seconds),
    }
}

fn entry() -> impl Strategy<Value = Entry> {
    let targets = || prop::collection::btree_set((0..6_u32).prop_map(TargetId), 0..4);
    (0..3_u64, targets(), targets(), any::<bool>(), 1..900_u64).prop_map(
        |(fingerprint, crashed, cleared, quarantined, seconds)| Entry {
            fingerprint: Fingerprint(fingerprint),
            crashed: crashed.into_iter().collect(),
            cleared: cleared.into_iter().collect(),
            quarantined,
            // Older than the storm window, because storms depend on when a router receives an
            // entry.
            expires: NOW + Duration::from_secs(seconds.min(590)),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_merge_alike_in_any_order_and_number(
        entries in prop::collection::vec(entry(), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let mut once = Suspects::new(Config::default());
        entries.iter().for_each(|entry| once.merge(NOW, entry));
        let mut mixed = Suspects::new(Config::default());
        let start = order.index(entries.len());
        let rotated = entries[start..].iter().chain(&entries[..start]);
        rotated.rev().for_each(|entry| {
            mixed.merge(NOW, entry);
            mixed.merge(NOW, entry);
        });
        let (once, mixed): (Vec<_>, Vec<_>) = (once.entries().collect(), mixed.entries().collect());
        prop_assert_eq!(once, mixed);
    }
}

#[test]
fn entries_are_bounded_and_oversized_ones_are_refused() {
    let cfg = Config::default();
    let mut suspects = Suspects::new(cfg.clone());
    for n in 0..2 * cfg.entries_max as u64 {
        suspects.record_crash(NOW, Fingerprint(n), TargetId(n as u32));
    }
    assert_eq!(suspects.entries().count(), cfg.entries_max);
    let mut suspects = Suspects::new(cfg);
    suspects.merge(
        NOW,
        &Entry {
            fingerprint: F,
            crashed: (0..5).map(TargetId).collect(),
            cleared: Vec::new(),
            quarantined: true,
            expires: Time::MAX,
        },
    );
    assert!(suspects.is_empty());
}

#[test]
fn a_report_tells_a_crash_from_a_broken_connection() {
    struct Case {
        name: &'static str,
        /// The time between the break and the arrival of the report, and the reported uptime, both
        /// in milliseconds.
        report: Option<(u64, u64)>,
        crashed: Option<bool>,
    }
    let cases = [
        Case {
            name: "up since before the dispatch",
            report: Some((1_200, 60_000)),
            crashed: Some(false),
        },
        Case {
            name: "the report may be from before the break",
            report: Some((900, 60_000)),
            crashed: None,
        },
        Case {
            name: "restarted after the break",
            report: Some((700, 600)),
            crashed: Some(true),
        },
        Case {
            name: "restarted, and reported much later",
            report: Some((4_000, 3_900)),
            crashed: Some(true),
        },
        Case {
            name: "no report",
            report: None,
            crashed: None,
        },
    ];
    for case in cases {
        let cfg = Config::default();
        let mut breaks = Breaks::new(cfg.clone());
        let one = Break {
            target: A,
            fingerprint: F,
            began: NOW - Duration::from_secs(10),
            at: NOW,
            alone: true,
            record: None,
        };
        breaks.push(one);
        let finding = case.report.and_then(|(after, uptime)| {
            let now = NOW + Duration::from_millis(after);
            let uptime = Duration::from_millis(uptime);
            assert_eq!(breaks.on_report(now, B, uptime), [], "another target");
            breaks.on_report(now, A, uptime).pop()
        });
        let expected = case.crashed.map(|crashed| match crashed {
            true => Finding::Crashed(one),
            false => Finding::StayedUp(one),
        });
        assert_eq!(finding, expected, "{}", case.name);
        assert_eq!(
            breaks.is_undetermined_alone(F),
            expected.is_none(),
            "{}",
            case.name
        );
        let late = breaks.on_timeout(NOW + cfg.report_timeout);
        assert_eq!(late.is_empty(), expected.is_some(), "{}", case.name);
    }
}

#[test]
fn a_trial_counts_as_alone_only_if_nothing_else_was_seen_there() {
    let lag = Config::default().report_lag;
    let mut trial = Trial::new(RequestId(1), F, PoolId(1), None);
    let draining = Phase::Draining {
        target: A,
        since: NOW,
        idle: false,
    };
    let is_idle = |trial: &Trial| matches!(trial.phase, Phase::Draining { idle: true, .. });
    trial.phase = draining;
    trial.on_report(NOW, lag, 0);
    assert!(!is_idle(&trial), "the report may be from before");
    trial.on_report(NOW + lag, lag, 1);
    assert!(!is_idle(&trial));
    trial.on_report(NOW + lag, lag, 0);
    assert!(is_idle(&trial));
    trial.on_rival_reservation(false);
    assert!(is_idle(&trial), "the rival has lower priority");
    trial.on_rival_reservation(true);
    assert_eq!(trial.phase, Phase::Waiting);
    let running = Phase::Running {
        target: A,
        alone: true,
    };
    trial.phase = running;
    trial.on_report(NOW, lag, 1);
    assert!(trial.is_alone());
    trial.on_report(NOW, lag, 2);
    assert!(!trial.is_alone());
    trial.phase = running;
    trial.on_rival_reservation(false);
    assert!(!trial.is_alone());
}

#[test]
fn requests_are_cleared_if_their_target_stayed_up() {
    for alone in [false, true] {
        let mut quarantine = Quarantine::new(RouterId(1), Config::default());
        quarantine.on_break(Break {
            target: A,
            fingerprint: F,
            began: NOW - Duration::from_secs(1),
            at: NOW,
            alone,
            record: None,
        });
        assert_eq!(quarantine.status(NOW, F), SuspectStatus::Suspect);
        let later = NOW + Config::default().report_lag;
        quarantine.on_report(later, A, 1, Duration::from_secs(60));
        assert_eq!(quarantine.status(later, F), SuspectStatus::Clear);
    }
}

#[test]
fn peers_receive_suspects_only_until_the_crashes_are_a_storm() {
    let mut quarantine = Quarantine::new(RouterId(1), Config::default());
    let broadcasts = (0..20_u32).map(|n| {
        let task = quarantine.on_break(Break {
            target: TargetId(n),
            fingerprint: Fingerprint(u64::from(n)),
            began: NOW,
            at: NOW,
            alone: false,
            record: None,
        });
        usize::from(task.is_some())
    });
    let broadcasts: usize = broadcasts.sum();
    assert_eq!(broadcasts, Config::default().storm_min - 1);
}

/// Guards against a coordinator that grants a permit that it cannot record, so that a second router
/// may be granted the same suspect.
#[test]
fn a_permit_is_granted_to_one_router_also_when_the_table_is_full() {
    let cfg = Config {
        entries_max: 2,
        ..Config::default()
    };
    let term = cfg.term;
    let mut coordinator = Quarantine::new(RouterId(1), cfg);
    let mut ask = |now, router, fingerprint| {
        let ask = QuarantinePart::Ask(Fingerprint(fingerprint));
        coordinator.on_part(now, RouterId(router), ask).is_some()
    };
    struct Case {
        name: &'static str,
        after: Duration,
        router: u32,
        fingerprint: u64,
        is_granted: bool,
    }
    let half = term / 2;
    let case = |name, after, router, fingerprint, is_granted| Case {
        name,
        after,
        router,
        fingerprint,
        is_granted,
    };
    let cases = [
        case("the first", Duration::ZERO, 2, 1, true),
        case("the last that fits", Duration::ZERO, 2, 2, true),
        case("one too many", Duration::ZERO, 2, 3, false),
        case("another router asks for it", Duration::ZERO, 3, 3, false),
        case(
            "one that is held by another router",
            Duration::ZERO,
            3,
            1,
            false,
        ),
        case("a renewal while the table is full", half, 2, 1, true),
        case(
            "one has expired, and the other was renewed",
            term,
            3,
            3,
            true,
        ),
        case("the renewed one is still held", term, 3, 1, false),
        case("the table is full again", term, 3, 4, false),
    ];
    for case in cases {
        let is_granted = ask(NOW + case.after, case.router, case.fingerprint);
        assert_eq!(is_granted, case.is_granted, "{}", case.name);
    }
}

/// A reservation is renewed also when the table is full.
#[test]
fn a_reservation_is_renewed_when_the_table_is_full() {
    let cfg = Config {
        entries_max: 1,
        ..Config::default()
    };
    let term = cfg.term;
    let mut quarantine = Quarantine::new(RouterId(1), cfg);
    quarantine.on_part(NOW, RouterId(2), QuarantinePart::Reserve(A));
    quarantine.on_part(NOW + term / 2, RouterId(2), QuarantinePart::Reserve(A));
    assert!(quarantine.is_reserved(NOW + term, A));
}

/// Guards against requests that wait for reports that no target sends, and against a crash that data of the target's next run
/// clears.
#[test]
fn without_reports_answers_and_records_tell_a_crash_from_a_broken_connection() {
    use Seen::{Data, Nothing, Record};
    #[derive(Debug, Clone, Copy)]
    enum Seen {
        Nothing,
        /// Data of a request that was dispatched this long after the break; negative for before it.
        Data(i64),
        /// A record of the run that began at this time, with this number.
        Record(u64, u64),
    }
    struct Case {
        name: &'static str,
        /// What is seen of the target, and how many milliseconds after the break.
        seen: (u64, Seen),
        crashed: Option<bool>,
    }
    let case = |name, after, seen, crashed| Case {
        name,
        seen: (after, seen),
        crashed,
    };
    let cases = [
        case("an older connection goes on", 200, Data(-900), Some(false)),
        case("the data may be from before", 199, Data(-900), None),
        case("it goes on much later", 4_000, Data(-900), Some(false)),
        case("a new connection is served", 300, Data(100), Some(false)),
        case("by a new run perhaps", 1_000, Data(100), None),
        case(
            "a later record of the run",
            2_000,
            Record(7, 4),
            Some(false),
        ),
        case("a record perhaps from before", 1_999, Record(7, 4), None),
        case("the same record again", 3_000, Record(7, 3), None),
        case("a record of a new run", 1_500, Record(8, 1), Some(true)),
        case("a run from before the break", 900, Record(8, 1), None),
        case("nothing", 4_000, Nothing, None),
    ];
    for case in cases {
        let cfg = Config {
            evidence: Evidence::Answers,
            ..Config::default()
        };
        let mut breaks = Breaks::new(cfg.clone());
        let one = Break {
            target: A,
            fingerprint: F,
            began: NOW - Duration::from_secs(10),
            at: NOW,
            alone: false,
            record: Some(RunRecord {
                started_ms: 7,
                sequence: 3,
            }),
        };
        breaks.push(one);
        let (after, seen) = case.seen;
        let now = NOW + Duration::from_millis(after);
        let mut findings = |target| match seen {
            Nothing => Vec::new(),
            Data(sent @ 0..) => {
                let sent = NOW + Duration::from_millis(sent.unsigned_abs());
                breaks.on_data(now, target, sent)
            }
            Data(sent) => {
                let sent = NOW - Duration::from_millis(sent.unsigned_abs());
                breaks.on_data(now, target, sent)
            }
            Record(started_ms, sequence) => {
                let record = RunRecord {
                    started_ms,
                    sequence,
                };
                breaks.on_record(now, target, record)
            }
        };
        assert_eq!(findings(B), [], "{}: another target", case.name);
        let expected = case.crashed.map(|crashed| match crashed {
            true => Finding::Crashed(one),
            false => Finding::StayedUp(one),
        });
        assert_eq!(findings(A).pop(), expected, "{}", case.name);
        let late = breaks.on_timeout(NOW + cfg.report_timeout);
        assert_eq!(late.is_empty(), expected.is_some(), "{}", case.name);
    }
}

/// Guards against a request that is held or refused because it broke off once, and against one that crashes the only target
/// again and again.
#[test]
fn without_reports_a_request_is_barred_after_its_second_crash() {
    use Event::{Break, Complete, Peer, StayedUp};
    use SuspectStatus::{Barred, Clear, Suspect};
    #[derive(Debug, Clone, Copy)]
    enum Event {
        Break(u32),
        StayedUp(u32),
        Complete,
        /// The entry of a peer that saw a break at this target, whose clock is this much ahead.
        Peer(u32, u64),
    }
    struct Case {
        name: &'static str,
        /// The events, and when they happen in milliseconds.
        events: &'static [(u64, Event)],
        /// The status at the end, and when that is in milliseconds.
        status: (u64, SuspectStatus),
    }
    let case = |name, events, after, status| Case {
        name,
        events,
        status: (after, status),
    };
    let left = |millis| Barred(Duration::from_millis(millis));
    let cases = [
        case("one break", &[(0, Break(1))], 0, Clear),
        case("two breaks", &[(0, Break(1)), (10, Break(2))], 509, Suspect),
        case(
            "no evidence",
            &[(0, Break(1)), (10, Break(2))],
            510,
            left(4_500),
        ),
        case(
            "both crashed",
            &[(0, Break(1)), (10, Break(2))],
            5_010,
            left(595_000),
        ),
        case(
            "forgotten",
            &[(0, Break(1)), (10, Break(2))],
            600_010,
            Clear,
        ),
        case(
            "the first stayed up",
            &[(0, Break(1)), (10, Break(2)), (200, StayedUp(1))],
            200,
            Clear,
        ),
        case(
            "it stayed up before the second",
            &[(0, Break(1)), (200, StayedUp(1)), (300, Break(2))],
            300,
            Clear,
        ),
        case(
            "an equal one ran to its end",
            &[(0, Break(1)), (10, Break(2)), (20, Complete)],
            20,
            Clear,
        ),
        case(
            "copies at one crash",
            &[(0, Break(1)), (0, Break(1)), (999, Break(1))],
            999,
            Clear,
        ),
        case(
            "the same target twice",
            &[(0, Break(1)), (4_000, Break(1))],
            4_500,
            left(4_500),
        ),
        case(
            "lost answers of one target",
            &[
                (0, Break(1)),
                (200, StayedUp(1)),
                (4_000, Break(1)),
                (8_000, Break(1)),
            ],
            8_000,
            Clear,
        ),
        case(
            "a peer saw the first",
            &[(0, Peer(1, 0)), (10, Break(2))],
            510,
            left(4_500),
        ),
        case(
            "a peer saw the same crash",
            &[(0, Peer(1, 0)), (10, Break(1))],
            510,
            Clear,
        ),
        case(
            "peers saw both",
            &[(0, Peer(1, 0)), (10, Peer(2, 0))],
            510,
            left(4_500),
        ),
        case(
            "a peer's clock is ahead",
            &[(0, Peer(1, 9_000)), (10, Peer(2, 9_000))],
            510,
            left(4_500),
        ),
    ];
    for case in cases {
        let cfg = Config {
            evidence: Evidence::Answers,
            ..Config::default()
        };
        let mut suspects = Suspects::new(cfg.clone());
        for &(at, event) in case.events {
            let now = NOW + Duration::from_millis(at);
            match event {
                Break(target) => drop(suspects.record_crash(now, F, TargetId(target))),
                StayedUp(target) => drop(suspects.clear_crash(now, F, TargetId(target))),
                Complete => drop(suspects.record_completion(now, F)),
                Peer(target, ahead) => {
                    let mut peer = Suspects::new(cfg.clone());
                    let now_there = now + Duration::from_millis(ahead);
                    let entry = peer.record_crash(now_there, F, TargetId(target));
                    suspects.merge(now, &entry);
                }
            }
        }
        let (after, status) = case.status;
        let now = NOW + Duration::from_millis(after);
        assert_eq!(suspects.status(now, F), status, "{}", case.name);
    }
}

/// Guards against a crashing request that is forgotten because many sound ones broke off.
#[test]
fn entries_that_are_cleared_are_forgotten_first() {
    let cfg = Config {
        evidence: Evidence::Answers,
        ..Config::default()
    };
    let mut suspects = Suspects::new(cfg.clone());
    suspects.record_crash(NOW, F, A);
    suspects.record_crash(NOW, F, B);
    for n in 0..2 * cfg.entries_max as u64 {
        let now = NOW + Duration::from_millis(3_000 + n);
        let other = Fingerprint(1_000 + n);
        suspects.record_crash(now, other, A);
        suspects.record_completion(now, other);
    }
    let now = NOW + Duration::from_secs(10);
    assert_ne!(suspects.status(now, F), SuspectStatus::Clear);
}
