//! Tests of the order within an organisation, of deadlines and of the time to come back.

use super::{Config, Drain, Queues, Waiting};
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

/// Requests as class and arrival in milliseconds, and the order in which they leave at a time.
struct Case {
    name: &'static str,
    requests: &'static [(Class, u64)],
    at: u64,
    kept: bool,
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
            kept: false,
            order: &[1, 2, 0],
        },
        Case {
            name: "an aged request goes before what came after it",
            requests: &[(Batch, 1_000), (Interactive, 0), (Interactive, 2_000)],
            at: 11_000,
            kept: false,
            order: &[1, 0, 2],
        },
        Case {
            name: "a slot kept for urgent requests",
            requests: &[(Batch, 1_000), (Interactive, 2_000)],
            at: 30_000,
            kept: true,
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
            core::iter::from_fn(|| queues.pop(now, POOL, ORGANISATION, case.kept))
                .map(|(_, waiting)| waiting.request.0)
                .collect();
        assert_eq!(order, case.order, "{}", case.name);
        assert_eq!(queues.waiting(ORGANISATION), 0, "{}", case.name);
        assert!(queues.next_deadline().is_none(), "{}", case.name);
    }
}

#[test]
fn what_is_proposed_is_how_long_the_queue_takes() {
    struct Case {
        name: &'static str,
        interval: u64,
        left: u64,
        /// Time without any request leaving after that.
        silence: u64,
        waiting: usize,
        at_least: u64,
        at_most: u64,
    }
    let cases = [
        Case {
            name: "one request each 400 ms",
            interval: 400,
            left: 30,
            silence: 0,
            waiting: 50,
            at_least: 20_000,
            at_most: 20_000,
        },
        Case {
            name: "nothing leaves any more",
            interval: 400,
            left: 30,
            silence: 80_000,
            waiting: 50,
            at_least: 400_000,
            at_most: 4_000_000,
        },
        Case {
            name: "nothing left yet",
            interval: 0,
            left: 0,
            silence: 3_000,
            waiting: 2,
            at_least: 3_000,
            at_most: 6_000,
        },
    ];
    for case in cases {
        let mut drain = Drain::new(Time(0));
        let mut now = Time(0);
        for _ in 0..case.left {
            now = now + Duration::from_millis(case.interval);
            drain.on_left(now, true);
        }
        now = now + Duration::from_millis(case.silence);
        let wait = drain.wait(now, case.waiting).as_millis() as u64;
        let range = case.at_least..=case.at_most;
        assert!(range.contains(&wait), "{}: {wait} ms", case.name);
    }
}
