//! Goodput of a router whose callers send more requests than its processor sustains.

use std::collections::VecDeque;
use std::time::Duration;

use crate::control::LATE_MAX;
use crate::traffic::accept_limiter::{DELAY_TARGET, QUOTA_WAIT_MAX, Rate};
use crate::traffic::lag::{Lag, TICK};

/// The time step of the simulation.
const STEP_US: u64 = 100;
/// The simulated time of one case.
const RUN_US: u64 = 20_000_000;
/// The delay after which a caller retries a connection that the kernel refused.
const RETRY_US: u64 = 50_000;
/// The time within which an answer counts as in time.
const ANSWER_MAX_US: u64 = 400_000;

/// The period of the CPU quota.
const QUOTA_PERIOD_US: u64 = 100_000;
/// The speed of a processor with a quota while the quota lasts, relative to its average speed. The
/// quota is an eighth of a core.
const QUOTA_SPEED: u64 = 8;

/// The processor time that a caller's request takes at the average speed, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Costs {
    /// Accepting a connection.
    accept: u64,
    /// Serving its request.
    serve: u64,
    /// Refusing its request.
    refuse: u64,
}

/// A task that waits for the processor.
#[derive(Debug, Clone, Copy)]
enum Job {
    /// A request of a caller, with its time of arrival in microseconds.
    Caller(u64),
    /// The timer task that measures the lag.
    Tick,
}

/// How the processor is scheduled.
#[derive(Debug, Clone, Copy)]
enum Processor {
    /// Runs all the time, at the average speed.
    Shared,
    /// Runs at [`QUOTA_SPEED`] until the quota of each period of 100 ms is exhausted.
    Quota,
}

/// Returns the answers per second that a router gives in time, when callers send `offered` requests
/// per second.
fn goodput(costs: Costs, processor: Processor, offered: u64) -> u64 {
    let (mut rate, lag) = (Rate::default(), Lag::new());
    let mut jobs: VecDeque<Job> = VecDeque::new();
    let mut retries: VecDeque<u64> = VecDeque::new();
    let (mut served, mut credit, mut quota, mut arrived) = (0, 0_u64, 0, 0);
    let (mut next_tick, mut ticked) = (Some(0), 0);
    for now in (0..RUN_US).step_by(usize::try_from(STEP_US).expect("the step is small")) {
        let due = now * offered / 1_000_000;
        let fresh = due - arrived;
        arrived = due;
        let mut connects: Vec<bool> = vec![false; usize::try_from(fresh).expect("few")];
        while retries.front().is_some_and(|&at| at <= now) {
            retries.pop_front();
            connects.push(true);
        }
        for is_retry in connects {
            let is_late = lag.at(Duration::from_micros(now)) >= QUOTA_WAIT_MAX;
            match rate.is_open() && !is_late {
                true => {
                    rate.record_accept();
                    jobs.push_back(Job::Caller(now));
                }
                false if !is_retry => retries.push_back(now + RETRY_US),
                false => {}
            }
        }
        if next_tick.is_some_and(|at| at <= now) {
            next_tick = None;
            jobs.push_back(Job::Tick);
        }
        if now % QUOTA_PERIOD_US == 0 {
            quota = QUOTA_PERIOD_US;
        }
        credit += match processor {
            Processor::Shared => STEP_US,
            Processor::Quota => (STEP_US * QUOTA_SPEED).min(quota),
        };
        while let Some(&job) = jobs.front() {
            let is_late = lag.at(Duration::from_micros(now)) >= LATE_MAX;
            let cost = match job {
                Job::Tick => 0,
                Job::Caller(_) if is_late => costs.accept + costs.refuse,
                Job::Caller(_) => costs.accept + costs.serve,
            };
            if cost > credit {
                break;
            }
            credit -= cost;
            quota = quota.saturating_sub(cost);
            jobs.pop_front();
            match job {
                Job::Tick => {
                    lag.record(Duration::from_micros(now));
                    let delay = lag.at(Duration::from_micros(now));
                    rate.tick(delay, Duration::from_micros(now - ticked));
                    ticked = now;
                    next_tick =
                        Some(now + u64::try_from(TICK.as_micros()).expect("the tick is short"));
                }
                Job::Caller(at) => served += u64::from(!is_late && now - at <= ANSWER_MAX_US),
            }
        }
        if jobs.is_empty() {
            // Unused processor time is not carried over.
            credit = 0;
        }
    }
    served * 1_000_000 / RUN_US
}

/// Guards against a router that spends its processor time on refusals and answers almost nothing.
/// When all callers of an organisation used one weak router, one request in ten was served, against
/// three in four in the fleet (SHORT).
///
/// Callers send up to eight times the load that the router sustains, each on its own connection,
/// and retry once when refused.
#[test]
fn goodput_stays_flat_when_callers_bring_more_than_a_router_bears() {
    struct Case {
        name: &'static str,
        costs: Costs,
        processor: Processor,
    }
    let expensive = Costs {
        accept: 300,
        serve: 4_700,
        refuse: 900,
    };
    let cheap = Costs {
        accept: 200,
        serve: 800,
        refuse: 500,
    };
    let cases = [
        Case {
            name: "200 a second, shared",
            costs: expensive,
            processor: Processor::Shared,
        },
        Case {
            name: "1,000 a second, shared",
            costs: cheap,
            processor: Processor::Shared,
        },
        Case {
            name: "200 a second, quota",
            costs: expensive,
            processor: Processor::Quota,
        },
        Case {
            name: "1,000 a second, quota",
            costs: cheap,
            processor: Processor::Quota,
        },
    ];
    for case in cases {
        let capacity = 1_000_000 / (case.costs.accept + case.costs.serve);
        let at = |tenths: u64| goodput(case.costs, case.processor, capacity * tenths / 10);
        // Below its capacity the router serves all requests.
        assert!(at(5) * 100 >= capacity * 49, "{}: {}", case.name, at(5));
        for tenths in [10, 20, 40, 80] {
            let served = at(tenths);
            let name = case.name;
            assert!(
                served * 10 >= capacity * 8,
                "{name}, {tenths} tenths: {served} of {capacity}"
            );
        }
    }
}

#[test]
fn the_rate_falls_while_the_processor_is_late_and_rises_again() {
    struct Case {
        name: &'static str,
        /// The connections accepted before each tick, and the delay measured at the tick.
        ticks: &'static [(u32, Duration)],
        /// The limit after the last tick, in connections per second.
        limit: Option<f64>,
        is_open: bool,
    }
    const LATE: Duration = DELAY_TARGET;
    const FREE: Duration = Duration::ZERO;
    let cases = [
        Case {
            name: "no limit is set while the processor is free",
            ticks: &[(1_000, FREE), (1_000, FREE)],
            limit: None,
            is_open: true,
        },
        Case {
            name: "a processor that was late at single ticks is not overloaded",
            ticks: &[(10, LATE), (10, FREE), (10, LATE)],
            limit: None,
            is_open: true,
        },
        Case {
            name: "the first limit is derived from the accepted connections",
            ticks: &[(10, LATE), (10, LATE)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "the rate falls once for consecutive late ticks",
            ticks: &[(10, LATE), (10, LATE), (0, LATE), (0, LATE)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "the rate rises by a step per tick",
            ticks: &[(10, LATE), (10, LATE), (0, FREE), (0, FREE)],
            limit: Some(450.0),
            is_open: true,
        },
        Case {
            name: "a wait longer than a quota can cause sets a limit at once",
            ticks: &[(10, QUOTA_WAIT_MAX)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "with a limit set, the rate falls at the first late tick",
            ticks: &[(10, LATE), (10, LATE), (0, FREE), (0, LATE)],
            limit: Some(280.0),
            is_open: false,
        },
        Case {
            name: "some connections are accepted however late the process is",
            ticks: &[(0, LATE); 13],
            limit: Some(5.0),
            is_open: true,
        },
    ];
    for case in cases {
        let mut rate = Rate::default();
        for &(accepted, delay) in case.ticks {
            (0..accepted).for_each(|_| rate.record_accept());
            rate.tick(delay, TICK);
        }
        let limit = rate.per_second().map(f64::round);
        assert_eq!(limit, case.limit, "{}", case.name);
        assert_eq!(rate.is_open(), case.is_open, "{}", case.name);
    }
}
