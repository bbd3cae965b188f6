//! What a control thread that falls behind does with requests that arrive.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::key::{Fingerprint, OrganisationId, RequestId};
use bulrushtrestle_core::request::Repeat;
use bulrushtrestle_core::time::Time;

use crate::control::backlog::{Backlog, DEFAULT_RETRY_AFTER, LATE_MAX, spread_retry_after};
use crate::control::{Arrival, channels};

const STEP: Duration = Duration::from_millis(1);

/// What became of the requests of a while.
#[derive(Debug, Default)]
struct Seen {
    taken: u32,
    /// The longest that one of them had waited.
    waited: Duration,
    refused: u32,
}

/// Lets requests arrive `each_ms` apart at a control thread that spends `busy_ms` on one that it takes, and nothing on one
/// that it refuses.
fn flood(each_ms: u32, busy_ms: u32, stalls: bool) -> Seen {
    let (backlog, start) = (Backlog::default(), Instant::now());
    let mut waiting: VecDeque<u32> = VecDeque::new();
    let mut seen = Seen::default();
    let mut free_at = 0;
    for now in 0..10_000_u32 {
        if now.is_multiple_of(each_ms) {
            match backlog.is_behind(start + STEP * now) {
                true => seen.refused += 1,
                false => {
                    backlog.enter(start + STEP * now);
                    waiting.push_back(now);
                }
            }
        }
        // The thread has no turn for a second in the middle.
        let is_stalled = stalls && (4_000..5_000).contains(&now);
        while !is_stalled
            && now >= free_at
            && let Some(arrived) = waiting.pop_front()
        {
            let waited = STEP * (now - arrived);
            assert_eq!(backlog.leave(start + STEP * now), waited);
            match waited < LATE_MAX {
                true => {
                    seen.taken += 1;
                    seen.waited = seen.waited.max(waited);
                    free_at = now + busy_ms;
                }
                false => seen.refused += 1,
            }
        }
    }
    seen
}

/// Guards against a router that serves all requests seconds late because more arrive than its control thread bears.
///
/// The pattern: all callers of an organisation use one weak router, for ten seconds.
#[test]
fn a_router_that_falls_behind_serves_in_time_what_it_serves() {
    struct Case {
        name: &'static str,
        each_ms: u32,
        busy_ms: u32,
        stalls: bool,
        taken_min: u32,
        refused_max: u32,
    }
    let cases = [
        Case {
            name: "as many as it bears",
            each_ms: 10,
            busy_ms: 8,
            stalls: false,
            taken_min: 1_000,
            refused_max: 0,
        },
        // It takes all that it bears, 1,250 in the time, but for a tenth.
        Case {
            name: "twice as many",
            each_ms: 4,
            busy_ms: 8,
            stalls: false,
            taken_min: 1_125,
            refused_max: 1_375,
        },
        Case {
            name: "eight times as many",
            each_ms: 1,
            busy_ms: 8,
            stalls: false,
            taken_min: 1_125,
            refused_max: 8_875,
        },
        // What arrived until 150 ms before the thread goes on is refused, a tenth of the rest at most.
        Case {
            name: "it stands still for a second",
            each_ms: 10,
            busy_ms: 8,
            stalls: true,
            taken_min: 820,
            refused_max: 180,
        },
    ];
    for case in cases {
        let seen = flood(case.each_ms, case.busy_ms, case.stalls);
        let name = case.name;
        assert!(seen.waited < LATE_MAX, "{name}: {seen:?}");
        assert!(seen.taken >= case.taken_min, "{name}: {seen:?}");
        assert!(seen.refused <= case.refused_max, "{name}: {seen:?}");
    }
}

/// Guards against a door that stays open because the control thread, busy with other things, does not even look at what waits.
#[test]
fn a_request_that_waits_for_too_long_shuts_the_door_before_anybody_takes_it() {
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
    let _decisions = handle.request(arrival).expect("the door is open");
    std::thread::sleep(2 * LATE_MAX);
    assert!(handle.is_behind());
}

/// Guards against callers that are refused together and come back together, one second later, again and again.
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
