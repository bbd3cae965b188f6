//! Tests of the duties over whole nodes: what is counted and ordered, and that nothing happens without the settings.

mod hosting;

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::{Autoscale, DataCentreState, Entry, Kind};
use bulrushtrestle_core::duty::{self, DutyEvent, DutyOrder, DutyResult};
use bulrushtrestle_core::feed::Record;
use bulrushtrestle_core::input::{AttemptEvent, Failure, FailureKind, Input, StoreEvent};
use bulrushtrestle_core::message::{Frame, Part};
use bulrushtrestle_core::node::{CatalogueSource, Config, Node};
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;
use bulrushtrestle_core::usage;

use self::hosting::*;

const STEP: Duration = Duration::from_millis(20);
/// The true time at which a fleet starts: the beginning of a window of 5 s.
const START: Time = Time::from_millis(1_800_000_000_000);

/// Routers with a store for the duties and an endpoint that accepts all calls.
struct Duties {
    now: Time,
    nodes: Vec<Node>,
    /// Inputs on their way: the receiver, and the time of arrival.
    inputs: Vec<(Time, usize, Input)>,
    topic: Vec<(String, Vec<u8>)>,
    orders: Vec<DutyOrder>,
    dispatched: Vec<(usize, RequestId, AttemptId)>,
    usage_parts: usize,
    next: u64,
}

impl Duties {
    fn new(routers: u32, cfg: Option<&usage::Config>) -> Self {
        let mut fleet = Self {
            now: START,
            nodes: (1..=routers).map(|me| node(me, cfg)).collect(),
            inputs: Vec::new(),
            topic: Vec::new(),
            orders: Vec::new(),
            dispatched: Vec::new(),
            usage_parts: 0,
            next: 0,
        };
        let mut pools = configuration(0);
        for entry in &mut pools.entries {
            if let Entry::Pool(pool) = entry {
                pool.autoscale = Some(Autoscale {
                    min: 2,
                    max: 9,
                    boot_ms: 1_000,
                });
            }
        }
        let mut changes = vec![data_centre(DataCentreState::In), pools];
        changes.extend((1..=4).map(|id| target_change(&format!("t{id}"), id, true)));
        for at in 0..fleet.nodes.len() {
            fleet.input(at, Input::Vms((1..=routers).map(router).collect()));
            fleet.input(at, Input::Store(StoreEvent::Changed(changes.clone())));
        }
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let inputs = core::mem::take(&mut self.inputs);
        for (arrives, at, input) in inputs {
            match arrives <= now {
                true => self.input(at, input),
                false => self.inputs.push((arrives, at, input)),
            }
        }
        for at in 0..self.nodes.len() {
            let (known, asked) = (Offset(10), now);
            self.input(at, Input::Store(StoreEvent::Current { known, asked }));
            self.input(at, Input::Store(StoreEvent::TargetsRead { asked }));
            if now.as_millis().is_multiple_of(1_000) {
                self.input(at, Input::WallClock(now));
            }
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[at].handle(self.now, input, &mut out);
        let soon = self.now + STEP;
        for output in out {
            match output {
                Output::Peer { to, bytes } => {
                    let frame = Frame::decode(&bytes).expect("a frame");
                    let is_usage = |part: &&Part| matches!(part, Part::Usage(_));
                    self.usage_parts += frame.parts.iter().filter(is_usage).count();
                    let from = RouterId(u32::try_from(at + 1).expect("few routers"));
                    let to = to.0 as usize - 1;
                    self.inputs.push((soon, to, Input::Peer { from, bytes }));
                }
                Output::Dispatch(dispatch) => {
                    self.dispatched
                        .push((at, dispatch.request, dispatch.attempt));
                }
                Output::DutyRead { from, .. } => {
                    let event = self.read(from);
                    let arrives = self.now + Duration::from_millis(200);
                    self.inputs.push((arrives, at, Input::Duty(event)));
                }
                Output::DutyRecord {
                    key,
                    value,
                    at: end,
                } => {
                    let event = match end == Some(self.end()) {
                        true => {
                            self.topic.push((key, value));
                            DutyEvent::Appended { era: 0 }
                        }
                        false => DutyEvent::OffsetMismatch { era: 0 },
                    };
                    self.inputs.push((soon, at, Input::Duty(event)));
                }
                Output::DutyCall(call) => {
                    self.orders.push(call.order);
                    let answer = Input::DutyAnswer(call.id, DutyResult::Accepted);
                    self.inputs.push((soon, at, answer));
                }
                _ => {}
            }
        }
    }

    fn end(&self) -> Offset {
        Offset(self.topic.len() as u64)
    }

    fn read(&self, from: Option<Offset>) -> DutyEvent {
        let skipped = usize::try_from(from.unwrap_or_default().0).expect("small");
        let records = self.topic.iter().enumerate().skip(skipped);
        let records = records.map(|(offset, (key, value))| Record {
            key: key.clone(),
            offset: Offset(offset as u64),
            value: Some(value.clone()),
            digest: 0,
        });
        DutyEvent::Read {
            era: 0,
            all: from.is_none(),
            records: records.collect(),
            end: self.end(),
        }
    }

    fn submit(&mut self, at: usize, organisation: &str, is_resumed: bool) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let req = Request {
            id,
            organisation: OrganisationId(hosting::id(Kind::Organisation, organisation)),
            pool: PoolId(hosting::id(Kind::Pool, "m")),
            class: None,
            repeat: Repeat::Allowed,
            deadline: Some(self.now + Duration::from_secs(15)),
            prompt_tokens: 100,
            hint_tokens: None,
            fingerprint: Fingerprint(id.0),
            prefix: None,
            details: RequestDetails {
                attempts_max: Some(3),
                is_resumed,
                ..RequestDetails::default()
            },
        };
        self.input(at, Input::Request(req));
        id
    }

    fn attempts(&self, request: RequestId) -> usize {
        let dispatched = self.dispatched.iter();
        dispatched.filter(|it| it.1 == request).count()
    }

    /// Runs until a request was dispatched so many times.
    fn run_until_dispatched(&mut self, request: RequestId, attempts: usize) {
        let end = self.now + Duration::from_secs(5);
        while self.attempts(request) < attempts {
            assert!(self.now < end, "{request} is not sent again");
            self.step();
        }
    }

    /// Reports an event of the last attempt of a request.
    fn attempt(&mut self, request: RequestId, event: AttemptEvent) {
        let attempts = self.dispatched.iter().rev();
        let mut of_request = attempts.filter(|it| it.1 == request);
        let &(at, _, attempt) = of_request.next().expect("it was dispatched");
        self.input(at, Input::Attempt(attempt, event));
    }

    /// Returns the requests that were reported for each organisation, and the windows.
    fn reported(&self) -> (BTreeMap<String, u64>, Vec<u64>) {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        let mut windows = Vec::new();
        for order in &self.orders {
            if let DutyOrder::Usage { window, counts: of } = order {
                windows.push(*window);
                for (name, count) in of {
                    *counts.entry(name.clone()).or_default() += count;
                }
            }
        }
        (counts, windows)
    }
}

fn node(me: u32, usage: Option<&usage::Config>) -> Node {
    let mut cfg = Config::new(RouterId(me), Incarnation(1));
    cfg.log.source = CatalogueSource::Store;
    cfg.slots.policy = Policy::Local;
    cfg.data_centre = "a".to_owned();
    cfg.caller_address = format!("127.0.0.1:{me}");
    if let Some(usage) = usage {
        cfg.duty = Some(duty::Config {
            node: format!("n{me}"),
            ..duty::Config::default()
        });
        cfg.usage = Some(usage.clone());
    }
    Node::new(cfg, START, u64::from(me))
}

const NOT_CONNECTED: AttemptEvent = AttemptEvent::Failed(Failure {
    kind: FailureKind::Connect,
    sent: false,
    tokens: 0,
});
const SILENT: AttemptEvent = AttemptEvent::Failed(Failure {
    kind: FailureKind::Silent,
    sent: true,
    tokens: 0,
});

/// Guards against requests that are counted twice because they were sent again, and against counts of requests that did
/// not begin.
#[test]
fn a_request_is_counted_once_when_its_answer_begins() {
    struct Case {
        name: &'static str,
        is_resumed: bool,
        events: &'static [AttemptEvent],
        counted: u64,
    }
    let cases = [
        Case {
            name: "answered",
            is_resumed: false,
            events: &[AttemptEvent::Started, AttemptEvent::Finished { tokens: 9 }],
            counted: 1,
        },
        Case {
            name: "answered at once",
            is_resumed: false,
            events: &[AttemptEvent::Finished { tokens: 9 }],
            counted: 1,
        },
        Case {
            name: "no connection, and sent again",
            is_resumed: false,
            events: &[NOT_CONNECTED, AttemptEvent::Started],
            counted: 1,
        },
        Case {
            name: "silent after the first token, and sent again",
            is_resumed: false,
            events: &[AttemptEvent::Started, SILENT, AttemptEvent::Started],
            counted: 1,
        },
        Case {
            name: "declined",
            is_resumed: false,
            events: &[AttemptEvent::Declined],
            counted: 0,
        },
        Case {
            name: "not answered",
            is_resumed: false,
            events: &[],
            counted: 0,
        },
        Case {
            name: "resumes a stream of another router",
            is_resumed: true,
            events: &[AttemptEvent::Started],
            counted: 0,
        },
    ];
    for case in cases {
        let mut fleet = Duties::new(3, Some(&usage::Config::default()));
        fleet.run(Duration::from_secs(9));
        for at in [0, 1, 2] {
            let request = fleet.submit(at, "one", case.is_resumed);
            fleet.run(STEP);
            for &event in case.events {
                let before = fleet.attempts(request);
                fleet.attempt(request, event);
                if matches!(event, AttemptEvent::Failed(_)) {
                    fleet.run_until_dispatched(request, before + 1);
                }
            }
        }
        fleet.run(Duration::from_secs(12));
        let (counts, windows) = fleet.reported();
        assert!(windows.len() >= 2, "{}: {windows:?}", case.name);
        let counted = counts.get("one").copied().unwrap_or_default();
        assert_eq!(counted, case.counted * 3, "{}", case.name);
        assert!(!counts.contains_key("many"), "{}: no requests", case.name);
    }
}

/// Guards against windows that are reported twice or left out by a calm fleet, and against a pool that gets no order.
#[test]
fn a_calm_fleet_reports_every_window_and_orders_targets() {
    let mut fleet = Duties::new(3, Some(&usage::Config::default()));
    fleet.run(Duration::from_secs(41));
    let (_, windows) = fleet.reported();
    let first = windows[0];
    let expected: Vec<u64> = (first..first + windows.len() as u64).collect();
    assert_eq!(windows, expected);
    assert!(windows.len() >= 5, "{windows:?}");
    let scale = |order: &&DutyOrder| matches!(order, DutyOrder::Scale { desired: 2..=9, .. });
    let orders = fleet.orders.iter().filter(scale).count();
    // A repeat in 10 s, and steps from the four targets that are there to the smallest number.
    assert!((4..=8).contains(&orders), "{orders} orders");
}

/// Guards against messages, calls and orders in a deployment without the settings, and against those of a duty that is
/// not in the settings.
#[test]
fn nothing_happens_without_the_settings() {
    struct Case {
        name: &'static str,
        cfg: Option<usage::Config>,
        has_parts: bool,
        has_reports: bool,
        has_orders: bool,
    }
    let of = |reports, scaling| {
        Some(usage::Config {
            reports,
            scaling,
            ..usage::Config::default()
        })
    };
    let cases = [
        Case {
            name: "none",
            cfg: None,
            has_parts: false,
            has_reports: false,
            has_orders: false,
        },
        Case {
            name: "reports",
            cfg: of(true, false),
            has_parts: true,
            has_reports: true,
            has_orders: false,
        },
        Case {
            name: "orders",
            cfg: of(false, true),
            has_parts: true,
            has_reports: false,
            has_orders: true,
        },
    ];
    for case in cases {
        let mut fleet = Duties::new(3, case.cfg.as_ref());
        fleet.run(Duration::from_secs(20));
        let request = fleet.submit(0, "one", false);
        fleet.run(STEP);
        fleet.attempt(request, AttemptEvent::Started);
        fleet.run(Duration::from_secs(10));
        let is_report = |order: &&DutyOrder| matches!(order, DutyOrder::Usage { .. });
        let reports = fleet.orders.iter().filter(is_report).count();
        let orders = fleet.orders.len() - reports;
        assert_eq!(fleet.usage_parts > 0, case.has_parts, "{}", case.name);
        assert_eq!(reports > 0, case.has_reports, "{}", case.name);
        assert_eq!(orders > 0, case.has_orders, "{}", case.name);
    }
}
