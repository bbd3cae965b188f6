//! Tests of the orders of targets: a pool in three data centres in simulated time.

use super::{Autoscale, Figures, Present};
use crate::catalogue::entry;
use crate::duty::DutyResult;
use crate::prelude::*;

const POOL: PoolId = PoolId(3);
const SECOND: Duration = Duration::from_secs(1);
const SLOTS: u32 = 24;
const BOOT_S: u64 = 8;
const LIMITS: entry::Autoscale = entry::Autoscale {
    min: 2,
    max: 30,
    boot_ms: 8_000,
};

/// When the platform executes an order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Executed {
    After(u64),
    Never,
}

/// A pool whose targets bear a number of requests before answers are late.
struct World {
    /// Seconds since the start.
    at: u64,
    bears: u32,
    demand: u32,
    /// The targets that serve, and those that crashed, by data centre.
    serving: [u32; 3],
    crashed: [u32; 3],
    /// The end of the start of targets, by data centre.
    booting: Vec<(u64, usize)>,
    /// Orders that were not executed yet: when, the data centre and the number.
    open: Vec<(u64, usize, u32)>,
    executed: Executed,
    /// The age of the figures, and the demand that they state.
    age: Duration,
    stated: Option<u32>,
    scaling: Autoscale,
    /// The orders of each second: when, the data centre and the number.
    orders: Vec<(u64, usize, u32)>,
    /// The seconds in which answers were late.
    strained: u64,
}

impl World {
    fn new(bears: u32, demand: u32, targets: u32) -> Self {
        Self {
            at: 0,
            bears,
            demand,
            serving: [targets; 3],
            crashed: [0; 3],
            booting: Vec::new(),
            open: Vec::new(),
            executed: Executed::After(1),
            age: Duration::from_millis(800),
            stated: None,
            scaling: Autoscale::default(),
            orders: Vec::new(),
            strained: 0,
        }
    }

    fn run(&mut self, seconds: u64, mut demand: impl FnMut(u64) -> u32) {
        for _ in 0..seconds {
            self.demand = demand(self.at);
            self.step();
        }
    }

    fn step(&mut self) {
        self.at += 1;
        let now = Time::from_millis(1_800_000_000_000) + SECOND * u32::try_from(self.at).unwrap();
        self.execute();
        let figures = self.figures();
        self.strained += u64::from(figures.late > 0 || figures.waiting > 0);
        self.scaling.on_load(now, POOL, LIMITS, figures);
        for order in self.scaling.due(now) {
            let place = usize::from(order.data_centre.as_bytes()[0] - b'a');
            assert!((LIMITS.min..=LIMITS.max).contains(&order.desired));
            self.orders.push((self.at, place, order.desired));
            self.scaling
                .on_result(now, POOL, &order.data_centre, DutyResult::Accepted);
            if let Executed::After(seconds) = self.executed {
                self.open.push((self.at + seconds, place, order.desired));
            }
        }
    }

    /// Executes orders that are due, and ends starts of targets.
    fn execute(&mut self) {
        let at = self.at;
        let due = |&(when, _): &(u64, usize)| when <= at;
        for (_, place) in self.booting.extract_if(.., |it| due(it)) {
            self.serving[place] += 1;
        }
        let open = core::mem::take(&mut self.open);
        for (when, place, desired) in open {
            if when > at {
                self.open.push((when, place, desired));
                continue;
            }
            let starting = self.booting.iter().filter(|it| it.1 == place).count();
            let starting = u32::try_from(starting).unwrap();
            let listed = self.serving[place] + self.crashed[place] + starting;
            for _ in listed..desired {
                self.booting.push((at + BOOT_S, place));
            }
            let excess = listed.saturating_sub(desired);
            self.serving[place] -= excess.min(self.serving[place]);
        }
    }

    fn figures(&self) -> Figures {
        let demand = self.stated.unwrap_or(self.demand);
        let serving: u32 = self.serving.iter().sum();
        let running = demand.min(serving * SLOTS);
        let begun = running / 2;
        let is_late = running > serving * self.bears;
        let present = |place: usize| Present {
            name: ["a", "b", "c"][place].to_owned(),
            listed: self.serving[place] + self.crashed[place],
            serving: self.serving[place],
            crashed: self.crashed[place],
            slots: self.serving[place] * SLOTS,
        };
        let places = (0..3).map(present).filter(|place| place.listed > 0);
        Figures {
            age: self.age,
            running,
            waiting: demand - running,
            begun,
            late: if is_late { begun / 2 } else { 0 },
            refused: 0,
            data_centres: places.collect(),
        }
    }

    /// Returns the last order for a data centre.
    fn desired(&self, place: usize) -> u32 {
        let orders = self.orders.iter().rev();
        let mut of_place = orders.filter(|order| order.1 == place);
        of_place.next().expect("orders are repeated").2
    }
}

/// Guards against too few targets when one data centre is lost, for longer than a target takes to
/// start, and against many more targets than that needs.
#[test]
fn targets_follow_demand_with_one_data_centre_in_reserve() {
    struct Case {
        name: &'static str,
        /// The requests that a target bears, and the targets in each data centre at the start.
        bears: u32,
        targets: u32,
        demand: fn(u64) -> u32,
        /// What happens after 60 s.
        disturb: fn(&mut World),
        /// The range of the last orders in each data centre after 260 s.
        desired: [core::ops::RangeInclusive<u32>; 3],
        /// The most seconds with late answers.
        strained_max: u64,
    }
    const fn same(min: u32, max: u32) -> [core::ops::RangeInclusive<u32>; 3] {
        [min..=max, min..=max, min..=max]
    }
    let cases = [
        Case {
            name: "rise",
            bears: 16,
            targets: 4,
            demand: |at| if at < 60 { 60 } else { 300 },
            disturb: |_| {},
            desired: same(10, 14),
            // A second each for the figures, the order and the start, beside the start itself.
            strained_max: BOOT_S + 3,
        },
        Case {
            name: "fall",
            bears: 16,
            targets: 10,
            demand: |at| if at < 60 { 300 } else { 60 },
            disturb: |_| {},
            desired: same(2, 3),
            strained_max: 0,
        },
        Case {
            name: "wave",
            bears: 16,
            targets: 10,
            demand: |at| if at % 20 < 10 { 100 } else { 300 },
            disturb: |_| {},
            desired: same(10, 14),
            strained_max: 0,
        },
        Case {
            name: "a data centre does not answer",
            bears: 16,
            targets: 7,
            demand: |_| 200,
            disturb: |world| {
                world.crashed[2] = world.serving[2];
                world.serving[2] = 0;
            },
            desired: same(7, 9),
            strained_max: 0,
        },
        Case {
            name: "the targets of a data centre are gone",
            bears: 16,
            targets: 7,
            demand: |_| 200,
            disturb: |world| {
                world.serving[2] = 0;
                world.executed = Executed::Never;
            },
            desired: same(7, 9),
            strained_max: 0,
        },
        Case {
            name: "two targets crash and stay away",
            bears: 16,
            targets: 7,
            demand: |_| 200,
            disturb: |world| {
                world.crashed[0] = 2;
                world.serving[0] -= 2;
            },
            desired: [9..=11, 7..=9, 7..=9],
            strained_max: 0,
        },
        Case {
            name: "orders are executed 20 s late",
            bears: 16,
            targets: 4,
            demand: |at| if at < 60 { 60 } else { 300 },
            disturb: |world| world.executed = Executed::After(20),
            desired: same(10, 14),
            strained_max: 20 + BOOT_S + 3,
        },
        Case {
            name: "a target bears a third of its slots",
            bears: 8,
            targets: 7,
            demand: |_| 200,
            disturb: |_| {},
            desired: same(13, 18),
            // Learning starts once the targets have not changed for their start and 5 s.
            strained_max: 60,
        },
    ];
    for case in cases {
        let mut world = World::new(case.bears, (case.demand)(0), case.targets);
        world.run(60, case.demand);
        (case.disturb)(&mut world);
        world.run(200, case.demand);
        for (place, range) in case.desired.iter().enumerate() {
            let desired = world.desired(place);
            assert!(
                range.contains(&desired),
                "{}: {desired} in {place}, not {range:?}",
                case.name
            );
        }
        let strained = world.strained;
        assert!(
            strained <= case.strained_max,
            "{}: {strained} s late",
            case.name
        );
    }
}

/// Guards against a late reaction to a rise, and against a fall that is too early or too steep.
#[test]
fn a_rise_is_followed_at_once_and_a_fall_in_steps() {
    let mut world = World::new(16, 60, 4);
    world.run(60, |_| 60);
    world.run(2, |_| 300);
    assert!(world.desired(0) >= 10, "the order follows within 2 s");
    world.run(60, |_| 300);
    let before = world.desired(0);
    let fell = world.at;
    // Twice the start and 10 s.
    world.run(26, |_| 60);
    assert_eq!(world.desired(0), before, "a fall may be a wave");
    world.run(120, |_| 60);
    let falls = world.orders.iter();
    let falls = falls.filter(|order| order.0 > fell && order.1 == 0);
    let mut last = before;
    for &(at, _, desired) in falls {
        assert!(desired + last.div_ceil(10).max(1) >= last, "step at {at} s");
        last = desired;
    }
    assert!(last <= 3);
}

/// Guards against orders that are forgotten if the platform executes none of them, and against a
/// number that grows for that reason.
#[test]
fn an_order_that_is_not_executed_is_repeated_as_it_is() {
    let mut world = World::new(16, 60, 4);
    world.run(60, |_| 60);
    world.executed = Executed::Never;
    world.run(120, |_| 150);
    let orders = world.orders.iter();
    let later: Vec<_> = orders.filter(|it| it.0 > 70 && it.1 == 0).collect();
    assert!(later.len() >= 10, "every 10 s: {later:?}");
    assert!(later.iter().all(|it| it.2 == later[0].2), "{later:?}");
}

/// Guards against targets that are taken away because routers are not heard of.
#[test]
fn old_figures_lower_nothing() {
    let mut world = World::new(16, 300, 10);
    world.run(60, |_| 300);
    let before = world.desired(0);
    world.age = Duration::from_secs(3);
    world.stated = Some(10);
    world.run(120, |_| 300);
    assert_eq!(world.desired(0), before);
    // A rise is followed whatever the age.
    world.stated = Some(600);
    world.run(2, |_| 300);
    assert!(world.desired(0) > before);
}

/// Guards against a holder that lowers orders of the former one before it knows the demand, and
/// against one that waits for a change before it sends the first orders.
#[test]
fn a_new_holder_sends_what_is_there() {
    let mut world = World::new(16, 20, 12);
    world.run(20, |_| 20);
    assert_eq!(world.desired(0), 12);
    assert_eq!(world.orders[..3], [(1, 0, 12), (1, 1, 12), (1, 2, 12)]);
}

/// Guards against a call without an answer that is only repeated after 10 s.
#[test]
fn an_order_without_an_answer_is_sent_again_soon() {
    let mut world = World::new(16, 100, 10);
    let now = Time::from_millis(1_800_000_000_000);
    let figures = world.figures();
    world.scaling.on_load(now, POOL, LIMITS, figures);
    let first = world.scaling.due(now);
    assert_eq!(first.len(), 3);
    assert_eq!(world.scaling.due(now + SECOND), []);
    world
        .scaling
        .on_result(now + SECOND, POOL, "b", DutyResult::Unknown);
    let again = world.scaling.due(now + SECOND * 2);
    let names: Vec<&str> = again.iter().map(|it| it.data_centre.as_str()).collect();
    assert_eq!(names, ["b"]);
    assert_eq!(again[0].desired, first[1].desired);
}
