//! Routers that are lost for good, and routers that are only silent, in virtual time and without a network.

mod hosting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::node::LOST_AFTER;
use bulrushtrestle_core::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use self::hosting::Fleet;

const DATA_CENTRES: usize = 3;
/// The time after the loss of a router from which on no answer names it: the shortest `stable_ms` of the users' sites,
/// and 3 s.
const NOT_NAMED_AFTER: Duration = Duration::from_secs(6);
/// The answers that may name a router that is gone for longer.
const ANSWERS_MAX: usize = 3;
/// The time between two questions to each router.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// The time that a router has between the order to stop and its end.
const STOP_TIME: Duration = Duration::from_millis(100);

/// A fleet some of whose routers are lost for good.
struct Losses {
    fleet: Fleet,
    /// When each lost router was lost.
    lost: BTreeMap<usize, Time>,
    /// Answers that name a router that was lost too long before.
    wrong: Vec<String>,
}

impl Losses {
    fn new(routers: usize) -> Self {
        let mut fleet = Fleet::placed(&vec![1_000; routers], DATA_CENTRES, (1, 8), 0);
        fleet.run(Duration::from_secs(4));
        Self {
            fleet,
            lost: BTreeMap::new(),
            wrong: Vec::new(),
        }
    }

    fn running(&self) -> Vec<usize> {
        let all = 0..self.fleet.nodes.len();
        all.filter(|at| !self.lost.contains_key(at)).collect()
    }

    fn lose(&mut self, at: usize) {
        self.fleet.dead.insert(at);
        self.lost.insert(at, self.fleet.now);
    }

    /// Lets time pass, and asks each running router for the addresses in each data centre all the while.
    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(ASK_INTERVAL);
            self.ask();
        }
    }

    fn ask(&mut self) {
        let now = self.fleet.now;
        let late = |(_, since): &(&usize, &Time)| now.since(**since) > NOT_NAMED_AFTER;
        let late = self.lost.iter().filter(late);
        let gone: BTreeSet<String> = late.map(|(at, _)| address(*at)).collect();
        for at in self.running() {
            for data_centre in ["a", "b", "c"] {
                let named = self.fleet.nodes[at].addresses_near(Some(data_centre));
                let wrong: Vec<&String> = named.iter().filter(|it| gone.contains(*it)).collect();
                if !wrong.is_empty() && wrong.len() < named.len() {
                    let time = now.as_millis() % 100_000;
                    self.wrong
                        .push(format!("{time}: {at} names {wrong:?} in {data_centre}"));
                }
            }
        }
    }

    /// Returns the running routers that consider another set of routers live than those that run.
    fn mistaken(&self) -> Vec<(usize, BTreeSet<usize>)> {
        let running: BTreeSet<usize> = self.running().into_iter().collect();
        let live = |at: usize| -> BTreeSet<usize> {
            let live = self.fleet.nodes[at].status(self.fleet.now).live;
            live.into_iter().map(|id| id.0 as usize - 1).collect()
        };
        let wrong = running.iter().map(|&at| (at, &live(at) ^ &running));
        wrong.filter(|(_, wrong)| !wrong.is_empty()).collect()
    }
}

/// Returns the address at which callers reach a router, by its index.
fn address(at: usize) -> String {
    format!("127.0.0.1:{}", at + 1)
}

/// How routers are lost.
struct Loss {
    name: &'static str,
    routers: usize,
    /// How many routers are left.
    left: usize,
    /// The time between two losses.
    gap: Duration,
    /// Whether a router at a new address starts whenever one is lost.
    replaced: bool,
    /// Whether the routers are asked to stop before.
    planned: bool,
}

const fn loss(name: &'static str, routers: usize, left: usize, gap_ms: u64) -> Loss {
    Loss {
        name,
        routers,
        left,
        gap: Duration::from_millis(gap_ms),
        replaced: false,
        planned: false,
    }
}

/// Guards against routers that go on being named, or counted as live, because all that heard them are lost too, or because
/// the reports of their loss do not reach everyone.
#[test]
fn routers_that_are_lost_for_good_are_named_no_more() {
    let cases = [
        loss("three fifths at once", 30, 12, 0),
        loss("four fifths at once", 30, 6, 0),
        loss("all but one at once", 30, 1, 0),
        loss("all but one of a small fleet", 12, 1, 0),
        loss("three fifths of a larger fleet", 66, 26, 0),
        loss("nine tenths of a larger fleet", 66, 7, 0),
        loss("three fifths of a large fleet", 200, 80, 0),
        loss("nine tenths of a large fleet", 120, 12, 0),
        loss("one after the other", 30, 6, 400),
        loss("one after the other, slowly", 30, 15, 1_700),
        Loss {
            replaced: true,
            ..loss("replaced, all at once", 24, 4, 0)
        },
        Loss {
            replaced: true,
            ..loss("replaced, one after the other", 20, 2, 500)
        },
        Loss {
            planned: true,
            ..loss("planned stops at once", 30, 12, 0)
        },
        Loss {
            planned: true,
            ..loss("planned stops, one after the other", 30, 6, 400)
        },
    ];
    let failures: Vec<String> = cases.iter().flat_map(failures_after).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against the same where so few are left that most routers hear nobody. The users' sites bear the loss of any number.
#[test]
fn the_few_that_are_left_of_many_name_no_lost_router() {
    let cases = [
        loss("all but one of a larger fleet", 66, 1, 0),
        loss("all but one of a large fleet", 120, 1, 0),
        loss("all but six of a large fleet", 120, 6, 0),
    ];
    let failures: Vec<String> = cases.iter().flat_map(failures_after).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns what is wrong in four plays of a loss.
fn failures_after(case: &Loss) -> Vec<String> {
    let mut failures = Vec::new();
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut losses = Losses::new(case.routers);
        let mut order: Vec<usize> = (0..case.routers).collect();
        order.shuffle(&mut rng);
        for &at in &order[case.left..] {
            if case.planned {
                let deadline = losses.fleet.now + STOP_TIME;
                losses.fleet.input(at, Input::Stop { deadline });
            }
            if case.planned && !case.gap.is_zero() {
                losses.fleet.run(STOP_TIME);
            }
            losses.lose(at);
            if case.replaced {
                losses.fleet.join(1_000);
            }
            if !case.gap.is_zero() {
                losses.run(case.gap * rng.random_range(5..15) / 10);
            }
        }
        losses.run(NOT_NAMED_AFTER + Duration::from_secs(6));
        let Losses { wrong, .. } = &losses;
        if wrong.len() > ANSWERS_MAX {
            failures.push(format!(
                "{}, seed {seed}: {} answers, such as {}",
                case.name,
                wrong.len(),
                wrong[0]
            ));
        }
        let mistaken = losses.mistaken();
        if !mistaken.is_empty() {
            let (name, count) = (case.name, mistaken.len());
            failures.push(format!(
                "{name}, seed {seed}: {count} routers are wrong on who is live, such as {:?}",
                mistaken[0]
            ));
        }
    }
    failures
}

/// How routers are silent for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// The processes stand still.
    Frozen,
    /// No frames pass between them and any other router.
    CutOff,
    /// No frames pass between them and the others, but among themselves.
    Apart,
    /// The frames that they send are lost.
    Mute,
}

impl Losses {
    fn silence(&mut self, how: Silence, silent: &[usize]) {
        for &at in silent {
            match how {
                Silence::Frozen => self.fleet.freeze(at),
                Silence::CutOff => self.fleet.cut(at),
                Silence::Mute => assert!(self.fleet.mute.insert(at)),
                Silence::Apart => {
                    let all = 0..self.fleet.nodes.len();
                    let others = all.filter(|other| !silent.contains(other));
                    let links = others.flat_map(|other| [(at, other), (other, at)]);
                    self.fleet.severed.extend(links);
                }
            }
        }
    }

    fn end_silence(&mut self, silent: &[usize]) {
        self.fleet.severed.clear();
        self.fleet.mute.clear();
        for &at in silent {
            self.fleet.wake(at);
        }
    }

    /// Returns the routers of a group that another one of it does not count as live.
    fn given_up_within(&self, group: &[usize]) -> Vec<(usize, usize)> {
        let given_up = group.iter().flat_map(|&at| {
            let live = self.fleet.nodes[at].status(self.fleet.now).live;
            let live: BTreeSet<usize> = live.into_iter().map(|id| id.0 as usize - 1).collect();
            let missing = group.iter().filter(move |other| !live.contains(other));
            missing.map(move |&other| (at, other))
        });
        given_up.collect()
    }
}

/// The time after the end of its silence from which on a router counts as live: the shortest `stable_ms` of the users' sites.
const LIVE_AGAIN_AFTER: Duration = Duration::from_secs(3);

/// Guards against routers that stay given up after a silence, and against others being given up meanwhile.
#[test]
fn routers_that_are_only_silent_are_not_given_up() {
    struct Case {
        name: &'static str,
        how: Silence,
        silent: usize,
        seconds: u64,
        times: usize,
    }
    let case = |name, how, silent, seconds| Case {
        name,
        how,
        silent,
        seconds,
        times: 1,
    };
    let cases = [
        case("one frozen", Silence::Frozen, 1, 8),
        case("one cut off", Silence::CutOff, 1, 8),
        case("one cut off for long", Silence::CutOff, 1, 30),
        case("one mute", Silence::Mute, 1, 8),
        case("a third frozen", Silence::Frozen, 10, 8),
        case("a third cut off", Silence::CutOff, 10, 8),
        case("a third apart", Silence::Apart, 10, 10),
        case("half apart", Silence::Apart, 15, 20),
        case("three quarters frozen", Silence::Frozen, 23, 8),
        Case {
            times: 3,
            ..case("one cut off again and again", Silence::CutOff, 1, 6)
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 0..4 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut losses = Losses::new(30);
            let mut order: Vec<usize> = (0..30).collect();
            order.shuffle(&mut rng);
            let (silent, others) = order.split_at(case.silent);
            let mut fail = |what: &str, losses: &Losses, pairs: &[(usize, usize)]| {
                let (name, count) = (case.name, pairs.len());
                let time = losses.fleet.now.as_millis() % 100_000;
                failures.push(format!(
                    "{name}, seed {seed}, {time}: {what}: {count}, such as {:?}",
                    pairs[0]
                ));
            };
            for _ in 0..case.times {
                losses.silence(case.how, silent);
                let end = losses.fleet.now + Duration::from_secs(case.seconds);
                while losses.fleet.now < end {
                    losses.fleet.run(ASK_INTERVAL);
                    let given_up = losses.given_up_within(others);
                    if !given_up.is_empty() {
                        fail("given up meanwhile", &losses, &given_up);
                    }
                }
                losses.end_silence(silent);
                losses.fleet.run(LIVE_AGAIN_AFTER);
                for _ in 0..8 {
                    let given_up = losses.given_up_within(&order);
                    if !given_up.is_empty() {
                        fail("given up", &losses, &given_up);
                    }
                    losses.fleet.run(ASK_INTERVAL);
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a loss that is not reported because the router was reported once before, when it was only silent.
#[test]
fn a_router_that_was_silent_once_is_missed_when_it_is_lost() {
    struct Case {
        name: &'static str,
        how: Silence,
    }
    let cases = [
        Case {
            name: "frozen",
            how: Silence::Frozen,
        },
        Case {
            name: "cut off",
            how: Silence::CutOff,
        },
        Case {
            name: "mute",
            how: Silence::Mute,
        },
    ];
    for Case { name, how } in cases {
        for silent in [0, 13, 29] {
            let mut losses = Losses::new(30);
            losses.silence(how, &[silent]);
            losses.fleet.run(Duration::from_secs(8));
            losses.end_silence(&[silent]);
            losses.fleet.run(LIVE_AGAIN_AFTER);
            losses.lose(silent);
            losses.fleet.run(NOT_NAMED_AFTER);
            let mistaken = losses.mistaken();
            assert!(mistaken.is_empty(), "{name}, router {silent}: {mistaken:?}");
        }
    }
}

/// Returns how many routers serve after 20 s in which `apart` of 30 were out of reach of the others and of the store, summed
/// over four choices.
fn serving_apart(apart: usize) -> usize {
    let serving = (0..4).map(|seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut losses = Losses::new(30);
        let mut order: Vec<usize> = (0..30).collect();
        order.shuffle(&mut rng);
        let apart = &order[..apart];
        losses.silence(Silence::Apart, apart);
        losses.fleet.store_blocked.extend(apart);
        losses.fleet.run(Duration::from_secs(20));
        let is_ready = |at: &&usize| losses.fleet.nodes[**at].is_ready();
        apart.iter().filter(is_ready).count()
    });
    serving.sum()
}

/// Guards against routers without the store that serve on by what a few others without it confirm.
#[test]
fn a_few_without_the_store_stop_to_serve() {
    assert_eq!(serving_apart(1), 0, "one");
    assert_eq!(serving_apart(3), 0, "three");
}

/// Guards against the same in a larger part of the fleet, which has replaced the partners that it misses.
#[test]
fn a_third_without_the_store_stops_to_serve() {
    assert_eq!(serving_apart(10), 0);
}

/// Guards against records of lost routers that nobody clears, or that are cleared although the router was only silent.
#[test]
fn one_router_clears_the_records_of_those_that_are_lost() {
    struct Case {
        name: &'static str,
        routers: usize,
        left: usize,
    }
    let cases = [
        Case {
            name: "a larger fleet",
            routers: 30,
            left: 12,
        },
        Case {
            name: "a small fleet",
            routers: 8,
            left: 3,
        },
        Case {
            name: "one left",
            routers: 8,
            left: 1,
        },
    ];
    for case in cases {
        let mut losses = Losses::new(case.routers);
        for at in case.left..case.routers {
            losses.lose(at);
        }
        let to_clear = |losses: &Losses| -> Vec<Vec<RouterId>> {
            let running = losses.running();
            let lists = running
                .iter()
                .map(|&at| losses.fleet.nodes[at].routers_to_clear());
            lists.filter(|list| !list.is_empty()).collect()
        };
        losses.fleet.run(Duration::from_secs(15));
        assert!(to_clear(&losses).is_empty(), "{}: too early", case.name);
        losses
            .fleet
            .run(LOST_AFTER + NOT_NAMED_AFTER - Duration::from_secs(15));
        let lost: Vec<RouterId> = losses
            .lost
            .keys()
            .map(|&at| RouterId(u32::try_from(at + 1).expect("few routers")))
            .collect();
        assert_eq!(to_clear(&losses), [lost], "{}", case.name);
    }
    let mut losses = Losses::new(30);
    let silent = [3, 4, 5];
    losses.silence(Silence::CutOff, &silent);
    losses.fleet.run(Duration::from_secs(12));
    losses.end_silence(&silent);
    losses.fleet.run(LOST_AFTER + NOT_NAMED_AFTER);
    for node in &losses.fleet.nodes {
        assert!(node.routers_to_clear().is_empty(), "all are back");
    }
}
