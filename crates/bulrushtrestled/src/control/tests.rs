//! Tests of how an overloaded control thread handles new requests, and of who offers the fleet's key.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::key::{Fingerprint, OrganisationId, RequestId};
use bulrushtrestle_core::request::Repeat;
use bulrushtrestle_core::time::Time;

use crate::control::backlog::{Backlog, DEFAULT_RETRY_AFTER, LATE_MAX, spread_retry_after};
use crate::control::hosting::key_offer_wait;
use crate::control::{Arrival, channels};

const STEP: Duration = Duration::from_millis(1);

/// The outcomes of the requests of a run.
#[derive(Debug, Default)]
struct Outcomes {
    admitted: u32,
    /// The longest wait of an admitted request.
    waited: Duration,
    refused: u32,
}

/// Simulates requests that arrive every `each_ms` at a control thread that spends `busy_ms` on each
/// admitted request and no time on a refused one.
fn flood(each_ms: u32, busy_ms: u32, stalls: bool) -> Outcomes {
    let (backlog, start) = (Backlog::default(), Instant::now());
    let mut waiting: VecDeque<u32> = VecDeque::new();
    let mut outcomes = Outcomes::default();
    let mut free_at = 0;
    for now in 0..10_000_u32 {
        if now.is_multiple_of(each_ms) {
            match backlog.is_behind(start + STEP * now) {
                true => outcomes.refused += 1,
                false => {
                    backlog.enter(start + STEP * now);
                    waiting.push_back(now);
                }
            }
        }
        // The thread does not run for one second in the middle.
        let is_stalled = stalls && (4_000..5_000).contains(&now);
        while !is_stalled
            && now >= free_at
            && let Some(arrived) = waiting.pop_front()
        {
            let waited = STEP * (now - arrived);
            assert_eq!(backlog.leave(start + STEP * now), waited);
            match waited < LATE_MAX {
                true => {
                    outcomes.admitted += 1;
                    outcomes.waited = outcomes.waited.max(waited);
                    free_at = now + busy_ms;
                }
                false => outcomes.refused += 1,
            }
        }
    }
    outcomes
}

/// Guards against a router that serves all requests seconds late because more arrive than its control
/// thread sustains.
///
/// The load: all callers of an organisation use one weak router for ten seconds.
#[test]
fn a_router_that_falls_behind_serves_in_time_what_it_serves() {
    struct Case {
        name: &'static str,
        each_ms: u32,
        busy_ms: u32,
        stalls: bool,
        admitted_min: u32,
        refused_max: u32,
    }
    let cases = [
        Case {
            name: "as many as it sustains",
            each_ms: 10,
            busy_ms: 8,
            stalls: false,
            admitted_min: 1_000,
            refused_max: 0,
        },
        // The thread sustains 1,250 requests in this time; it may admit a tenth less.
        Case {
            name: "twice as many",
            each_ms: 4,
            busy_ms: 8,
            stalls: false,
            admitted_min: 1_125,
            refused_max: 1_375,
        },
        Case {
            name: "eight times as many",
            each_ms: 1,
            busy_ms: 8,
            stalls: false,
            admitted_min: 1_125,
            refused_max: 8_875,
        },
        // Requests that arrived up to 150 ms before the thread resumes are refused, and at most a tenth
        // of the others.
        Case {
            name: "it stalls for a second",
            each_ms: 10,
            busy_ms: 8,
            stalls: true,
            admitted_min: 820,
            refused_max: 180,
        },
    ];
    for case in cases {
        let outcomes = flood(case.each_ms, case.busy_ms, case.stalls);
        let name = case.name;
        assert!(outcomes.waited < LATE_MAX, "{name}: {outcomes:?}");
        assert!(
            outcomes.admitted >= case.admitted_min,
            "{name}: {outcomes:?}"
        );
        assert!(outcomes.refused <= case.refused_max, "{name}: {outcomes:?}");
    }
}

/// Guards against requests that are still accepted because the control thread, busy with other work,
/// does not receive any of the waiting ones.
#[test]
fn a_request_that_waits_too_long_stops_admission_before_it_is_received() {
    let (handle, _receivers) = channels(16);
    let arrival = Arrival {
        id: handle.next_request(),
        organisation: OrganisationId(1),
        arrived: Time::default(),
        pool: "m".to_owned(),
        kind: Service::Model,
        class: None,
        repeat: Repeat::Allowed,
        deadline: None,
        prompt_tokens: 0,
        hint_tokens: None,
        fingerprint: Fingerprint::default(),
        prefix: None,
    };
    let _decisions = handle
        .request(arrival)
        .expect("the control thread accepts requests");
    std::thread::sleep(2 * LATE_MAX);
    assert!(handle.is_behind());
}

/// Guards against callers that are refused together and retry together one second later, repeatedly.
#[test]
fn callers_that_are_refused_together_come_back_spread_out() {
    const REFUSED: u64 = 1_000;
    const SLOTS: u128 = 10;
    let mut slots = [0_u64; 10];
    for id in 0..REFUSED {
        let wait = spread_retry_after(RequestId(id));
        assert!(
            wait >= DEFAULT_RETRY_AFTER / 2 && wait < DEFAULT_RETRY_AFTER * 3 / 2,
            "{wait:?}"
        );
        let slot =
            (wait - DEFAULT_RETRY_AFTER / 2).as_millis() * SLOTS / DEFAULT_RETRY_AFTER.as_millis();
        slots[usize::try_from(slot).expect("it is one of ten")] += 1;
    }
    let fair = REFUSED / 10;
    let spread = slots.iter().all(|&count| count.abs_diff(fair) <= fair / 10);
    assert!(spread, "{slots:?}");
}

#[test]
fn one_router_after_the_other_offers_the_fleets_key() {
    for (before, seconds) in [(0, 0), (1, 1), (3, 3), (4, 4), (294, 4), (usize::MAX, 4)] {
        let wait = key_offer_wait(before);
        assert_eq!(wait, Duration::from_secs(seconds), "{before} before it");
    }
}
