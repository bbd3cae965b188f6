//! What targets state in their answers: a target that is leaving gets no more requests from this router, and one that wants
//! no requests for a while gets none in that time.

mod hosting;

use std::time::Duration;

use assert_matches::assert_matches;
use bulrushtrestle_core::catalogue::entry::Kind;
use bulrushtrestle_core::input::{
    AttemptEvent, Input, RequestedPause, StoreEvent, TargetNotice, TargetState, Vm, VmRole,
};
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::target::Standing;

use self::hosting::*;

const LEAVING: TargetNotice = TargetNotice {
    leaving: true,
    pause: None,
};

fn pause(millis: u64) -> TargetNotice {
    TargetNotice {
        leaving: false,
        pause: Some(RequestedPause::For(Duration::from_millis(millis))),
    }
}

fn target_id(name: &str) -> TargetId {
    TargetId(id(Kind::Target, name))
}

/// Returns a state that a target publishes in the run that began at `started_ms`.
fn state(name: &str, started_ms: Option<u64>, sequence: u64) -> Input {
    Input::Store(StoreEvent::Targets(vec![TargetState {
        target: target_id(name),
        leaving: false,
        cold_for: Duration::ZERO,
        started_ms,
        sequence,
    }]))
}

/// Returns the VM list with a target that is not leaving.
fn listed(name: &str) -> Input {
    Input::Vms(vec![
        router(1),
        Vm {
            id: id(Kind::Target, name),
            role: VmRole::Target,
            address: "127.0.0.1:9000".to_owned(),
            data_centre: "a".to_owned(),
            leaving: false,
        },
    ])
}

fn stated(name: &str, notice: TargetNotice) -> Input {
    Input::Notice(target_id(name), notice)
}

/// Returns how many requests a target was sent since a time.
fn sent_since(fleet: &Fleet, since: Time, name: &str) -> usize {
    let target = target_id(name);
    let sent = fleet.dispatched.iter();
    sent.filter(|(at, _, to, _)| *at > since && *to == target)
        .count()
}

/// Submits a request every 20 ms.
fn submit_for(fleet: &mut Fleet, millis: u64) {
    for at in 0..millis {
        if at.is_multiple_of(20) {
            fleet.submit(0, "one");
        }
        fleet.step();
    }
}

/// Guards against a router that goes on sending requests to a target that said in an answer that it leaves, because a
/// record of the store says otherwise.
#[test]
fn only_a_new_run_lifts_the_statement_of_a_target_that_is_leaving() {
    struct Case {
        name: &'static str,
        before: Option<Input>,
        after: Vec<Input>,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "nothing follows",
            before: None,
            after: Vec::new(),
            is_used: false,
        },
        Case {
            name: "an older record says that it is ready",
            before: Some(state("t1", Some(5), 7)),
            after: vec![state("t1", Some(5), 6), state("t1", Some(5), 8)],
            is_used: false,
        },
        Case {
            name: "the VM list does not show it as leaving",
            before: None,
            after: vec![listed("t1")],
            is_used: false,
        },
        Case {
            name: "its entry is replaced and read again",
            before: Some(state("t1", Some(5), 7)),
            after: vec![
                Input::Store(StoreEvent::Changed(vec![target_change("t1", 20, false)])),
                Input::Store(StoreEvent::Changed(vec![target_change("t1", 21, true)])),
                state("t1", Some(5), 9),
            ],
            is_used: false,
        },
        Case {
            name: "the store cannot be read",
            before: None,
            after: vec![Input::Store(StoreEvent::TargetsFailed)],
            is_used: false,
        },
        Case {
            name: "its run is named for the first time",
            before: None,
            after: vec![state("t1", Some(5), 1)],
            is_used: false,
        },
        Case {
            name: "it states nothing in a later answer",
            before: None,
            after: vec![stated("t1", TargetNotice::default())],
            is_used: false,
        },
        Case {
            name: "it begins a new run",
            before: Some(state("t1", Some(5), 7)),
            after: vec![state("t1", Some(6), 1)],
            is_used: true,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(1, 2, 0);
        if let Some(input) = case.before {
            fleet.input(0, input);
        }
        submit_for(&mut fleet, 500);
        fleet.input(0, stated("t1", LEAVING));
        let since = fleet.now;
        for input in case.after {
            fleet.input(0, input);
        }
        submit_for(&mut fleet, 1_500);
        let sent = sent_since(&fleet, since, "t1");
        assert_eq!(sent > 0, case.is_used, "{}: {sent} sent", case.name);
        assert!(sent_since(&fleet, since, "t2") > 0, "{}", case.name);
    }
}

/// A peer avoids a target as soon as another router was told that it leaves, until the store's record shows otherwise.
#[test]
fn peers_are_told_of_a_target_that_is_leaving() {
    let mut fleet = Fleet::new(2, 2, 0);
    fleet.input(0, stated("t1", LEAVING));
    fleet.run(Duration::from_millis(300));
    let since = fleet.now;
    for _ in 0..20 {
        fleet.submit(1, "one");
        fleet.run(Duration::from_millis(20));
    }
    assert_eq!(sent_since(&fleet, since, "t1"), 0);
    // A record that arrives this late was written after the statement.
    fleet.run(Duration::from_millis(2_000));
    fleet.input(1, state("t1", Some(5), 1));
    fleet.input(0, state("t1", Some(5), 1));
    let since = fleet.now;
    for _ in 0..40 {
        fleet.submit(1, "one");
        fleet.run(Duration::from_millis(20));
    }
    assert!(sent_since(&fleet, since, "t1") > 0);
    assert_eq!(fleet.nodes[0].standing(target_id("t1")), Standing::Leaving);
}

/// Guards against a router that sends requests to a target in the time for which the target wants none.
#[test]
fn a_target_gets_no_requests_in_the_time_it_states() {
    struct Case {
        name: &'static str,
        inputs: Vec<Input>,
        /// The time for which the target gets nothing; after it, it is used again.
        paused_ms: u64,
    }
    let unreadable = TargetNotice {
        leaving: false,
        pause: Some(RequestedPause::Unreadable),
    };
    let cases = [
        Case {
            name: "a time",
            inputs: vec![stated("t1", pause(700))],
            paused_ms: 700,
        },
        Case {
            name: "a longer time follows",
            inputs: vec![stated("t1", pause(300)), stated("t1", pause(900))],
            paused_ms: 900,
        },
        Case {
            name: "a shorter time follows",
            inputs: vec![stated("t1", pause(900)), stated("t1", pause(300))],
            paused_ms: 900,
        },
        Case {
            name: "a time that cannot be read",
            inputs: vec![stated("t1", unreadable)],
            paused_ms: 1_000,
        },
        Case {
            name: "no time at all",
            inputs: vec![stated("t1", pause(0))],
            paused_ms: 0,
        },
        Case {
            name: "a new run",
            inputs: vec![
                state("t1", Some(5), 1),
                stated("t1", pause(60_000)),
                state("t1", Some(6), 1),
            ],
            paused_ms: 0,
        },
        Case {
            name: "an answer without a statement",
            inputs: vec![
                stated("t1", pause(700)),
                stated("t1", TargetNotice::default()),
            ],
            paused_ms: 700,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(1, 2, 0);
        submit_for(&mut fleet, 200);
        for input in case.inputs {
            fleet.input(0, input);
        }
        let since = fleet.now;
        submit_for(&mut fleet, 2_500);
        let target = target_id("t1");
        let sent = fleet.dispatched.iter();
        let first = sent
            .filter(|(at, _, to, _)| *at > since && *to == target)
            .map(|(at, ..)| at.since(since))
            .next();
        let first = first.unwrap_or_else(|| panic!("{}: never used again", case.name));
        assert!(
            first >= Duration::from_millis(case.paused_ms),
            "{}: used after {first:?}",
            case.name
        );
        // It is used again within half a second of the end.
        let latest = Duration::from_millis(case.paused_ms + 500);
        assert!(first <= latest, "{}: used after {first:?}", case.name);
    }
}

/// A target whose time is far longer than any outage is used again at last.
#[test]
fn an_absurd_time_is_limited() {
    let mut fleet = Fleet::new(1, 1, 0);
    let forever = TargetNotice {
        leaving: false,
        pause: Some(RequestedPause::For(Duration::MAX)),
    };
    fleet.input(0, stated("t1", forever));
    let limit = fleet.now + Duration::from_secs(600);
    assert_matches!(fleet.nodes[0].standing(target_id("t1")), Standing::Paused(until) if until == limit);
}

/// Guards against a burst at the end of a pause: until the target has begun to answer, it gets two requests in half a
/// second.
#[test]
fn not_all_that_waited_go_at_once_when_a_pause_ends() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.input(0, stated("t1", pause(300)));
    let since = fleet.now;
    for _ in 0..20 {
        fleet.submit(0, "one");
    }
    fleet.run(Duration::from_millis(299));
    assert_eq!(sent_since(&fleet, since, "t1"), 0);
    // The target reads a prompt in 150 ms.
    fleet.run(Duration::from_millis(100));
    assert_eq!(sent_since(&fleet, since, "t1"), 2);
    fleet.run(Duration::from_millis(100));
    assert!(sent_since(&fleet, since, "t1") > 2);
}

/// Load: every target of a pool pushes back. Whoever cannot be served before the first takes requests again is refused at
/// once, with the time until then; whoever can wait that long is served.
#[test]
fn requests_that_no_target_takes_in_time_are_refused_at_once_with_the_time_to_return() {
    struct Case {
        name: &'static str,
        pauses: [u64; 2],
        /// The wait that is proposed to callers; `None` if they are served.
        retry_after_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "both for long",
            pauses: [3_000, 5_000],
            retry_after_ms: Some(3_000),
        },
        Case {
            name: "one for less than a request may wait",
            pauses: [300, 5_000],
            retry_after_ms: None,
        },
        Case {
            name: "only one of them",
            pauses: [0, 5_000],
            retry_after_ms: None,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(1, 2, 0);
        let [first, second] = case.pauses;
        fleet.input(0, stated("t1", pause(first)));
        // Requests wait for the second target when it pushes back as well.
        let waiting: Vec<RequestId> = (0..3).map(|_| fleet.submit(0, "one")).collect();
        let before = fleet.now;
        fleet.input(0, stated("t2", pause(second)));
        let later = fleet.submit(0, "one");
        for request in waiting.into_iter().chain([later]) {
            let was_sent = fleet.dispatched.iter().any(|(.., sent)| *sent == request);
            let refusal = fleet.refused.get(&(0, request));
            match case.retry_after_ms {
                Some(millis) if !was_sent => assert_matches!(
                    refusal,
                    Some(Refusal { verdict: Verdict::NotRun, reason: Reason::NoTarget, retry_after })
                        if *retry_after == Some(Duration::from_millis(millis)),
                    "{}", case.name
                ),
                _ => assert!(refusal.is_none(), "{}: {refusal:?}", case.name),
            }
        }
        fleet.run(Duration::from_millis(450));
        let first = target_id("t1");
        let is_used = fleet
            .dispatched
            .iter()
            .any(|(at, _, to, _)| *at >= before && *to == first);
        assert_eq!(is_used, case.retry_after_ms.is_none(), "{}", case.name);
    }
}

/// A request that the target declined while pushing back is placed elsewhere, or refused at once if nobody else serves.
#[test]
fn a_declined_request_is_placed_elsewhere_or_refused_at_once() {
    for targets in [1, 2] {
        let mut fleet = Fleet::new(1, targets, 0);
        let request = fleet.submit(0, "one");
        let (_, _, target, _) = *fleet.dispatched.last().expect("it was sent");
        fleet.input(0, Input::Notice(target, pause(3_000)));
        fleet.input(0, Input::Attempt(AttemptId(0), AttemptEvent::Declined));
        fleet.targets.clear();
        fleet.run(Duration::from_millis(50));
        let sent: Vec<TargetId> = fleet.dispatched.iter().map(|(_, _, to, _)| *to).collect();
        match targets {
            1 => {
                assert_eq!(sent, [target]);
                assert_matches!(
                    fleet.refused.get(&(0, request)),
                    Some(Refusal { verdict: Verdict::NotRun, reason: Reason::NoTarget, retry_after: Some(wait) })
                        if *wait == Duration::from_millis(3_000)
                );
            }
            _ => assert!(sent.len() == 2 && sent[1] != target, "{sent:?}"),
        }
    }
}

/// Load: two organisations wait for targets that all push back, one of them with ten times the requests. When the targets
/// take requests again, the order between organisations holds.
#[test]
fn the_order_between_organisations_holds_when_targets_open_again() {
    let mut fleet = Fleet::new(1, 2, 0);
    let mut sender = std::collections::BTreeMap::new();
    for millis in 0..9_000_u64 {
        if millis.is_multiple_of(500) && millis < 3_000 {
            fleet.input(0, stated("t1", pause(300)));
            fleet.input(0, stated("t2", pause(300)));
        }
        for _ in 0..if millis.is_multiple_of(20) { 10 } else { 0 } {
            sender.insert(fleet.submit(0, "many"), "many");
        }
        if millis.is_multiple_of(20) {
            sender.insert(fleet.submit(0, "small"), "small");
        }
        fleet.step();
    }
    let since = fleet.now - Duration::from_secs(6);
    let got = |name| {
        let sent = fleet.dispatched.iter();
        sent.filter(|(at, _, _, request)| *at > since && sender[request] == name)
            .count()
    };
    let (many, small) = (got("many"), got("small"));
    // The users' bound: no organisation gets less than half of what another gets in six seconds.
    assert!(
        many * 2 >= small && small * 2 >= many,
        "many {many}, small {small}"
    );
}
