//! Tests of the order within an organisation, of deadlines and of the proposed retry time.

use super::{Config, DrainRate, Queues, Waiting};
use crate::prelude::*;

const POOL: PoolId = PoolId(1);
const ORGANISATION: OrganisationId = OrganisationId(2);

fn waiting(id: u64, since: u64) -> Waiting {
    Waiting {
        request: RequestId(id),
        since: Time::from_millis(since),
        deadline: Time::from_millis(since + 60_000),
    }
}

/// Requests, and the order in which they leave the queue.
struct Case {
    name: &'static str,
    /// The class of each request, and its arrival in milliseconds.
    requests: &'static [(Class, u64)],
    /// The time in milliseconds at which the requests are taken.
    at: u64,
    reserved: bool,
    order: &'static [u64],
}

#[test]
fn urgent_requests_go_first_until_others_have_aged() {
    use Class::{Batch, Interactive};
    let cases = [
        Case {
            name: "urgent first",
            requests: &[(Batch, 0), (Interactive, 1_000), (Interactive, 2_000)],
            at: 3_000,
            reserved: false,
            order: &[1, 2, 0],
        },
        Case {
            name: "an aged request goes before later ones",
            requests: &[(Batch, 1_000), (Interactive, 0), (Interactive, 2_000)],
            at: 11_000,
            reserved: false,
            order: &[1, 0, 2],
        },
        Case {
            name: "a slot reserved for urgent requests",
            requests: &[(Batch, 1_000), (Interactive, 2_000)],
            at: 30_000,
            reserved: true,
            order: &[1, 0],
        },
    ];
    for case in cases {
        let mut queues = Queues::new(Config::default());
        for (id, &(class, since)) in case.requests.iter().enumerate() {
            queues.push(POOL, ORGANISATION, class, waiting(id as u64, since));
        }
        let now = Time::from_millis(case.at);
        let order: Vec<u64> =
            core::iter::from_fn(|| queues.pop(now, POOL, ORGANISATION, case.reserved))
                .map(|(_, waiting)| waiting.request.0)
                .collect();
        assert_eq!(order, case.order, "{}", case.name);
        assert_eq!(queues.waiting(ORGANISATION), 0, "{}", case.name);
        assert!(queues.next_deadline().is_none(), "{}", case.name);
    }
}

#[test]
fn the_proposed_retry_time_is_how_long_the_queue_takes() {
    /// Times are in milliseconds.
    struct Case {
        name: &'static str,
        /// The time between two requests that leave.
        interval: u64,
        /// The number of requests that leave.
        dispatched: u64,
        /// The time after the last of them in which no request leaves.
        stalled: u64,
        waiting: usize,
        at_least: u64,
        at_most: u64,
    }
    let cases = [
        Case {
            name: "one request each 400 ms",
            interval: 400,
            dispatched: 30,
            stalled: 0,
            waiting: 50,
            at_least: 20_000,
            at_most: 20_000,
        },
        Case {
            name: "no request leaves any more",
            interval: 400,
            dispatched: 30,
            stalled: 80_000,
            waiting: 50,
            at_least: 400_000,
            at_most: 4_000_000,
        },
        Case {
            name: "no request has left yet",
            interval: 0,
            dispatched: 0,
            stalled: 3_000,
            waiting: 2,
            at_least: 3_000,
            at_most: 6_000,
        },
    ];
    for case in cases {
        let mut rate = DrainRate::new(Time(0));
        let mut now = Time(0);
        for _ in 0..case.dispatched {
            now = now + Duration::from_millis(case.interval);
            rate.on_dispatch(now, true);
        }
        now = now + Duration::from_millis(case.stalled);
        let wait = rate.wait(now, case.waiting).as_millis() as u64;
        let range = case.at_least..=case.at_most;
        assert!(range.contains(&wait), "{}: {wait} ms", case.name);
    }
}
