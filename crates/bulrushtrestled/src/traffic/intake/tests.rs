//! What a router serves when callers bring more than its processor bears.

use std::collections::VecDeque;
use std::time::Duration;

use crate::control::LATE_MAX;
use crate::traffic::intake::{DELAY_TARGET, QUOTA_WAIT_MAX, Rate};
use crate::traffic::lag::{Lag, TICK};

/// The step of the model: time passes, and the processor works, in units of it.
const STEP_US: u64 = 100;
/// The modelled time of one case.
const RUN_US: u64 = 20_000_000;
/// The pause after which a caller tries again that was refused by the kernel.
const RETRY_US: u64 = 50_000;
/// The time within which a caller wants its answer.
const AIM_US: u64 = 400_000;

/// The time over which a quota of the processor holds.
const PERIOD_US: u64 = 100_000;
/// How many times as fast as its part of a core a processor with a quota is: an eighth of a core.
const FULL_SPEED: u64 = 8;

/// What a caller's request takes of the processor when it has its share of a core, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Costs {
    /// Taking a connection.
    accept: u64,
    /// Serving its request.
    serve: u64,
    /// Refusing its request.
    refuse: u64,
}

/// Something that waits for the processor.
#[derive(Debug, Clone, Copy)]
enum Job {
    /// A caller that arrived then.
    Caller(u64),
    /// The look at the clock.
    Tick,
}

/// When the processor works.
#[derive(Debug, Clone, Copy)]
enum Processor {
    /// At all times, slowly.
    Shared,
    /// At full speed until its part of a tenth of a second is used up.
    Quota,
}

/// Returns the answers in a second, in time, of a router of which a processor bears `bears` and to which callers bring
/// `offered` requests a second.
fn goodput(costs: Costs, processor: Processor, offered: u64) -> u64 {
    let (mut rate, lag) = (Rate::default(), Lag::new());
    let mut jobs: VecDeque<Job> = VecDeque::new();
    let mut again: VecDeque<u64> = VecDeque::new();
    let (mut served, mut credit, mut quota, mut arrived) = (0, 0_u64, 0, 0);
    let (mut next_tick, mut ticked) = (Some(0), 0);
    for now in (0..RUN_US).step_by(usize::try_from(STEP_US).expect("it is small")) {
        let due = now * offered / 1_000_000;
        let fresh = due - arrived;
        arrived = due;
        let mut knocks: Vec<bool> = vec![false; usize::try_from(fresh).expect("few")];
        while again.front().is_some_and(|&at| at <= now) {
            again.pop_front();
            knocks.push(true);
        }
        for is_again in knocks {
            let is_late = lag.at(Duration::from_micros(now)) >= QUOTA_WAIT_MAX;
            match rate.is_open() && !is_late {
                true => {
                    rate.take();
                    jobs.push_back(Job::Caller(now));
                }
                false if !is_again => again.push_back(now + RETRY_US),
                false => {}
            }
        }
        if next_tick.is_some_and(|at| at <= now) {
            next_tick = None;
            jobs.push_back(Job::Tick);
        }
        if now % PERIOD_US == 0 {
            quota = PERIOD_US;
        }
        credit += match processor {
            Processor::Shared => STEP_US,
            Processor::Quota => (STEP_US * FULL_SPEED).min(quota),
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
                    lag.note(Duration::from_micros(now));
                    let delay = lag.at(Duration::from_micros(now));
                    rate.tick(delay, Duration::from_micros(now - ticked));
                    ticked = now;
                    next_tick = Some(now + u64::try_from(TICK.as_micros()).expect("it is short"));
                }
                Job::Caller(at) => served += u64::from(!is_late && now - at <= AIM_US),
            }
        }
        if jobs.is_empty() {
            // A processor that has nothing to do does not save its time.
            credit = 0;
        }
    }
    served * 1_000_000 / RUN_US
}

/// Guards against a router that answers next to nothing because its processor goes into refusing: of an organisation whose
/// callers all use one weak router, one request in ten was served where three in four were in the fleet (SHORT).
///
/// The pattern: callers bring up to eight times what the router bears, each on a connection of its own, and those that are
/// refused come again.
#[test]
fn goodput_stays_flat_when_callers_bring_more_than_a_router_bears() {
    struct Case {
        name: &'static str,
        costs: Costs,
        processor: Processor,
    }
    let dear = Costs {
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
            costs: dear,
            processor: Processor::Shared,
        },
        Case {
            name: "1,000 a second, shared",
            costs: cheap,
            processor: Processor::Shared,
        },
        Case {
            name: "200 a second, quota",
            costs: dear,
            processor: Processor::Quota,
        },
        Case {
            name: "1,000 a second, quota",
            costs: cheap,
            processor: Processor::Quota,
        },
    ];
    for case in cases {
        let bears = 1_000_000 / (case.costs.accept + case.costs.serve);
        let at = |tenths: u64| goodput(case.costs, case.processor, bears * tenths / 10);
        // Below what it bears it serves all.
        assert!(at(5) * 100 >= bears * 49, "{}: {}", case.name, at(5));
        for tenths in [10, 20, 40, 80] {
            let served = at(tenths);
            let name = case.name;
            assert!(
                served * 10 >= bears * 8,
                "{name}, {tenths} tenths: {served} of {bears}"
            );
        }
    }
}

#[test]
fn the_rate_falls_while_the_processor_is_late_and_rises_again() {
    struct Case {
        name: &'static str,
        /// Connections that are taken before each tick, and the lateness seen at it.
        ticks: &'static [(u32, Duration)],
        /// The limit after the last of them, in connections in a second.
        limit: Option<f64>,
        is_open: bool,
    }
    const LATE: Duration = DELAY_TARGET;
    const FREE: Duration = Duration::ZERO;
    let cases = [
        Case {
            name: "nothing limits a processor that is free",
            ticks: &[(1_000, FREE), (1_000, FREE)],
            limit: None,
            is_open: true,
        },
        Case {
            name: "a processor that was away once is no overload",
            ticks: &[(10, LATE), (10, FREE), (10, LATE)],
            limit: None,
            is_open: true,
        },
        Case {
            name: "what was taken is the measure of what is borne",
            ticks: &[(10, LATE), (10, LATE)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "it falls once for each time that it is late",
            ticks: &[(10, LATE), (10, LATE), (0, LATE), (0, LATE)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "it rises by a step",
            ticks: &[(10, LATE), (10, LATE), (0, FREE), (0, FREE)],
            limit: Some(450.0),
            is_open: true,
        },
        Case {
            name: "a wait that no quota explains is an overload at once",
            ticks: &[(10, QUOTA_WAIT_MAX)],
            limit: Some(350.0),
            is_open: false,
        },
        Case {
            name: "under a limit it falls at once",
            ticks: &[(10, LATE), (10, LATE), (0, FREE), (0, LATE)],
            limit: Some(280.0),
            is_open: false,
        },
        Case {
            name: "some are let in however late it is",
            ticks: &[(0, LATE); 13],
            limit: Some(5.0),
            is_open: true,
        },
    ];
    for case in cases {
        let mut rate = Rate::default();
        for &(taken, delay) in case.ticks {
            (0..taken).for_each(|_| rate.take());
            rate.tick(delay, TICK);
        }
        let limit = rate.per_second().map(f64::round);
        assert_eq!(limit, case.limit, "{}", case.name);
        assert_eq!(rate.is_open(), case.is_open, "{}", case.name);
    }
}
