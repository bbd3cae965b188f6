//! Tests of the reports of usage: a fleet in simulated time, with its own clocks, links and store.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::message::{Figures, WindowRows};
use super::{Config, Report, Usage};
use crate::duty::DutyResult;
use crate::output::Output;
use crate::prelude::*;

const SHOP: OrganisationId = OrganisationId(7);
/// The true time at which a fleet starts: the beginning of a window of 5 s.
const START: Time = Time::from_millis(1_800_000_000_000);
const STEP: Duration = Duration::from_millis(50);
/// The time that a message takes.
const DELAY: Duration = Duration::from_millis(50);
/// Requests that begin at each router in a step.
const REQUESTS: u64 = 5;
const WINDOW_S: u64 = 5;

struct Router {
    usage: Usage,
    cx: Context,
    /// The steady clock minus the true time, in milliseconds.
    steady_ms: u64,
    /// The wall clock minus the true time, in milliseconds.
    wall_ms: i64,
    /// Whether the router is heard by the others.
    is_heard: bool,
}

/// A fleet whose first two routers receive the figures.
struct Fleet {
    now: Time,
    routers: Vec<Router>,
    holder: Option<usize>,
    /// Messages on their way: the time of arrival, sender and receiver.
    messages: Vec<(Time, usize, usize, Figures)>,
    store: Option<Vec<u8>>,
    /// All reports that were sent, with the time after the window's end.
    sent: Vec<(Report, Duration)>,
    /// The requests that began in each window.
    truth: BTreeMap<u64, u64>,
    /// How often each message arrives.
    copies: usize,
    /// One message of this many is lost.
    lost: Option<usize>,
    steps: usize,
}

impl Fleet {
    fn new(routers: u32) -> Self {
        let mut fleet = Self {
            now: START,
            routers: Vec::new(),
            holder: Some(0),
            messages: Vec::new(),
            store: None,
            sent: Vec::new(),
            truth: BTreeMap::new(),
            copies: 1,
            lost: None,
            steps: 0,
        };
        for id in 0..routers {
            let router = router(id, 1, u64::from(id) * 977, START);
            fleet.routers.push(router);
        }
        fleet
    }

    fn restart(&mut self, id: usize) {
        let steady_ms = self.routers[id].steady_ms + 5_000;
        let number = u32::try_from(id).expect("fleets are small");
        self.routers[id] = router(number, 2, steady_ms, self.now);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        let now = self.now;
        let window = now.0 / Duration::from_secs(WINDOW_S).as_micros() as u64;
        self.deliver();
        for id in 0..self.routers.len() {
            let router = &mut self.routers[id];
            let at = now + Duration::from_millis(router.steady_ms);
            router.cx.now = at;
            if self.steps.is_multiple_of(20) || self.steps == 1 {
                let wall = Time::from_millis(now.as_millis().saturating_add_signed(router.wall_ms));
                router.usage.on_wall_clock(at, wall);
            }
            for _ in 0..REQUESTS {
                router.usage.on_begin(at, SHOP);
            }
            *self.truth.entry(window).or_default() += REQUESTS;
            if let Some(figures) = router.usage.rows_due(at) {
                let lost = self
                    .lost
                    .is_some_and(|one| (self.steps + id).is_multiple_of(one));
                let copies = if lost { 0 } else { self.copies };
                for to in self.receivers().filter(|&to| to != id) {
                    let is_heard = self.routers[id].is_heard;
                    for _ in 0..copies * usize::from(is_heard) {
                        self.messages.push((now + DELAY, id, to, figures.clone()));
                    }
                }
                if id < 2 {
                    let count = self.live().count();
                    self.routers[id].usage.follow_clocks(at, count);
                }
            }
        }
        self.act();
    }

    fn receivers(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.routers.len().min(2)
    }

    fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.routers.len()).filter(|&id| self.routers[id].is_heard)
    }

    fn deliver(&mut self) {
        let (due, later) = core::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.messages = later;
        for (_, from, to, figures) in due {
            let echo = figures.sent;
            let run = self.routers[from].cx.incarnation;
            let receiver = &mut self.routers[to];
            let at = self.now + Duration::from_millis(receiver.steady_ms);
            let sender = self.routers[from].cx.me;
            let answer = self.routers[to].usage.on_rows(at, sender, run, figures);
            if let Some(time) = answer {
                let sender = &mut self.routers[from];
                let at = self.now + Duration::from_millis(sender.steady_ms);
                sender.usage.on_clock(at, echo, time);
            }
        }
    }

    /// Does what the duties do at the holder: writes the record, and then sends what is due.
    fn act(&mut self) {
        let Some(holder) = self.holder else {
            return;
        };
        if let Some(value) = self.record_due(holder) {
            self.store = Some(value);
            for id in self.receivers() {
                self.read(id);
            }
        }
        self.send(holder);
    }

    fn record_due(&mut self, id: usize) -> Option<Vec<u8>> {
        let others = self.live().filter(|&other| other != id);
        let live: Vec<RouterId> = others.map(|id| self.routers[id].cx.me).collect();
        let Router { usage, cx, .. } = &mut self.routers[id];
        usage.close_due(cx, &live, |_| Some("shop".to_owned()));
        usage.record_due(cx.now)
    }

    fn read(&mut self, id: usize) {
        let Router { usage, cx, .. } = &mut self.routers[id];
        if let Some(value) = &self.store {
            usage.on_record(cx, value);
        }
    }

    fn send(&mut self, id: usize) {
        let Router { usage, cx, .. } = &mut self.routers[id];
        for report in usage.reports_due(cx) {
            usage.on_result(cx.now, report.window, DutyResult::Accepted);
            let end = Time::from_millis((report.window + 1) * WINDOW_S * 1_000);
            self.sent.push((report, self.now.since(end)));
        }
    }

    /// Lets a router know of more requests of the last window than others do.
    fn add_late_count(&mut self, to: usize) {
        let Router { usage, cx, .. } = &mut self.routers[to];
        let time = usage.time(cx.now).expect("a clock was read");
        let window = time.as_millis() / (WINDOW_S * 1_000) - 1;
        let figures = Figures {
            sent: time,
            wall: time,
            time,
            windows: vec![WindowRows {
                window,
                counts: vec![(SHOP, 9)],
            }],
            pools: Vec::new(),
        };
        usage.on_rows(cx.now, RouterId(99), Incarnation(1), figures);
    }

    /// Restores the store from a copy.
    fn restore(&mut self, copy: Option<Vec<u8>>) {
        self.store = copy;
        for id in [0, 1] {
            let Router { usage, cx, .. } = &mut self.routers[id];
            usage.on_era(cx.now);
            self.read(id);
        }
    }

    /// Checks that no window was reported in two ways, and each within the tolerance and in time.
    fn check(&self, name: &str, reported_min: usize) {
        let mut known: BTreeMap<u64, &Report> = BTreeMap::new();
        for (report, after) in &self.sent {
            let first = known.entry(report.window).or_insert(report);
            assert_eq!(*first, report, "{name}: two reports of a window");
            assert!(*after < Duration::from_secs(10), "{name}: after {after:?}");
            let truth = self.truth[&report.window];
            let count: u64 = report.counts.iter().map(|(_, count)| count).sum();
            let deviation = count.abs_diff(truth) * 100;
            assert!(
                deviation <= truth * 5,
                "{name}: {count} of {truth} in window {}",
                report.window
            );
        }
        let count = known.len();
        assert!(count >= reported_min, "{name}: {count} windows reported");
    }

    fn notices(&mut self, id: usize) -> Vec<String> {
        let out = self.routers[id].cx.out.drain(..);
        let text = |output| match output {
            Output::Notice(notice) => Some(notice.subject),
            _ => None,
        };
        out.filter_map(text).collect()
    }
}

fn router(id: u32, run: u64, steady_ms: u64, now: Time) -> Router {
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut cx = Context::new(RouterId(id), Incarnation(run), rng);
    cx.now = now + Duration::from_millis(steady_ms);
    Router {
        usage: Usage::new(cx.now, Config::default()),
        cx,
        steady_ms,
        wall_ms: 0,
        is_heard: true,
    }
}

/// Guards against counts that go wrong when messages are lost or repeated, when routers' clocks
/// differ or step, and when routers start anew.
#[test]
fn windows_are_reported_once_and_correctly() {
    struct Case {
        name: &'static str,
        routers: u32,
        disturb: fn(&mut Fleet),
        /// The windows of eight that are reported at least.
        reported_min: usize,
    }
    let cases = [
        Case {
            name: "calm",
            routers: 8,
            disturb: |_| {},
            reported_min: 7,
        },
        Case {
            name: "a single router",
            routers: 1,
            disturb: |_| {},
            reported_min: 7,
        },
        Case {
            name: "one message of three is lost",
            routers: 8,
            disturb: |fleet| fleet.lost = Some(3),
            reported_min: 7,
        },
        Case {
            name: "messages arrive three times",
            routers: 8,
            disturb: |fleet| fleet.copies = 3,
            reported_min: 7,
        },
        Case {
            name: "a sender's clock steps by 4 s",
            routers: 8,
            disturb: |fleet| fleet.routers[5].wall_ms = 4_000,
            reported_min: 7,
        },
        Case {
            name: "the holder's clock steps back by 4 s",
            routers: 8,
            disturb: |fleet| fleet.routers[0].wall_ms = -4_000,
            reported_min: 7,
        },
        Case {
            name: "clocks differ by less than 100 ms",
            routers: 8,
            disturb: |fleet| {
                for (id, router) in fleet.routers.iter_mut().enumerate() {
                    router.wall_ms = [-80, 60, 0, 30, -20, 70, -50, 10][id];
                }
            },
            reported_min: 7,
        },
        Case {
            name: "a sender of many starts anew",
            routers: 40,
            disturb: |fleet| fleet.restart(30),
            reported_min: 7,
        },
        Case {
            name: "one router of many is killed",
            routers: 40,
            disturb: |fleet| fleet.routers[30].is_heard = false,
            reported_min: 7,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.routers);
        fleet.run(Duration::from_millis(7_300));
        (case.disturb)(&mut fleet);
        fleet.run(Duration::from_secs(35));
        fleet.check(case.name, case.reported_min);
    }
}

/// Guards against wrong reports when a link to a part of the fleet breaks, and against missing ones
/// for longer than that.
#[test]
fn windows_of_which_much_is_unknown_are_left_out() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(12));
    for id in [5, 6, 7] {
        fleet.routers[id].is_heard = false;
    }
    fleet.run(Duration::from_secs(20));
    for id in [5, 6, 7] {
        fleet.routers[id].is_heard = true;
    }
    fleet.run(Duration::from_secs(15));
    fleet.check("partition", 4);
    let notices = fleet.notices(0);
    let left_out = notices.iter().filter(|line| line.contains("is left out"));
    assert!(left_out.count() >= 2, "{notices:?}");
}

/// Guards against two different reports of a window when the holder changes or the store loses the
/// record.
#[test]
fn no_window_is_reported_in_two_ways() {
    struct Case {
        name: &'static str,
        disturb: fn(&mut Fleet),
        reported_min: usize,
    }
    let cases = [
        Case {
            name: "the next candidate takes over",
            disturb: |fleet| {
                fleet.holder = None;
                fleet.run(Duration::from_secs(7));
                fleet.holder = Some(1);
            },
            reported_min: 5,
        },
        Case {
            name: "the holder froze a window whose append was not executed",
            disturb: |fleet| {
                fleet.holder = None;
                fleet.run(Duration::from_secs(3));
                assert!(fleet.record_due(0).is_some(), "a window has ended");
                fleet.add_late_count(1);
                fleet.holder = Some(1);
                fleet.run(Duration::from_secs(6));
                fleet.holder = Some(0);
            },
            reported_min: 5,
        },
        Case {
            name: "the store is restored without the last reports, same holder",
            disturb: |fleet| {
                let copy = fleet.store.clone();
                fleet.run(Duration::from_secs(6));
                fleet.restore(copy);
            },
            reported_min: 5,
        },
        Case {
            name: "the store is restored empty, and the candidate had not read the last report",
            disturb: |fleet| {
                fleet.holder = None;
                fleet.run(Duration::from_secs(3));
                let value = fleet.record_due(0).expect("a window has ended");
                let Router { usage, cx, .. } = &mut fleet.routers[0];
                usage.on_record(cx, &value);
                fleet.send(0);
                fleet.add_late_count(1);
                fleet.holder = Some(1);
                fleet.restart(0);
                fleet.restore(None);
            },
            reported_min: 4,
        },
        Case {
            name: "a holder that started after the restore",
            disturb: |fleet| {
                fleet.restart(0);
                fleet.restore(None);
            },
            reported_min: 4,
        },
        Case {
            name: "the record cannot be read",
            disturb: |fleet| {
                fleet.store = Some(b"[]".to_vec());
                fleet.restart(0);
                fleet.run(STEP);
                fleet.read(0);
            },
            reported_min: 4,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(40);
        fleet.run(Duration::from_millis(14_300));
        (case.disturb)(&mut fleet);
        fleet.run(Duration::from_secs(25));
        fleet.check(case.name, case.reported_min);
    }
}

/// Guards against a report that is sent before the store holds it, and one that is not repeated
/// after a call without an answer.
#[test]
fn a_report_is_sent_after_it_is_stored_and_until_it_is_accepted() {
    let mut fleet = Fleet::new(2);
    fleet.holder = None;
    fleet.run(Duration::from_secs(7));
    let value = fleet.record_due(0).expect("a window has ended");
    fleet.send(0);
    assert_eq!(fleet.sent.len(), 0, "the store does not hold the report");
    let Router { usage, cx, .. } = &mut fleet.routers[0];
    usage.on_record(cx, &value);
    let first = usage.reports_due(cx);
    assert_eq!(first.len(), 1);
    let window = first[0].window;
    assert_eq!(usage.reports_due(cx), [], "the call is in progress");
    usage.on_result(cx.now, window, DutyResult::Unknown);
    cx.now = cx.now + Duration::from_secs(1);
    assert_eq!(usage.reports_due(cx), first, "a repeat is the same report");
    usage.on_result(cx.now, window, DutyResult::Accepted);
    cx.now = cx.now + Duration::from_secs(1);
    assert_eq!(usage.reports_due(cx), []);
}
