//! Requests that break off at targets that send no reports, in virtual time and without a network.

mod hosting;

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushtrestle_core::prelude::*;

use self::hosting::Fleet;

const ROUTERS: usize = 4;
/// The content of the requests under test.
const CONTENT: Fingerprint = Fingerprint(1 << 50);
/// How long a target generates an answer.
const GENERATION_TIME: Duration = Duration::from_millis(150);
/// The longest time from a break to the next dispatch or the refusal.
const TOLD_WITHIN: Duration = Duration::from_secs(1);
/// How long routers may take to learn of a request after the third crash, and the requests that may be sent later.
const LEARN_TIME: Duration = Duration::from_secs(3);
const SENT_LATER_MAX: usize = 3;

/// A fleet with sound requests, which all differ.
struct World {
    fleet: Fleet,
    /// Sound requests per second.
    rate: usize,
    sound: Vec<RequestId>,
}

impl World {
    fn new(targets: u32, rate: usize) -> Self {
        let mut fleet = Fleet::placed(&[250; ROUTERS], 1, (targets, 128), 0);
        fleet.generation_time = GENERATION_TIME;
        fleet.writes_records = true;
        let mut world = Self {
            fleet,
            rate,
            sound: Vec::new(),
        };
        world.run(2_000);
        world
    }

    fn run(&mut self, millis: usize) {
        for _ in 0..millis {
            self.step();
        }
    }

    fn step(&mut self) {
        let ms = usize::try_from(self.fleet.now.as_millis() % 1_000).expect("fits");
        if (ms * self.rate) % 1_000 < self.rate {
            let at = self.sound.len() % ROUTERS;
            let request = self.fleet.submit_prompt(at, "many", &[], Repeat::Allowed);
            self.sound.push(request);
        }
        self.fleet.step();
    }

    /// Runs until a condition holds; panics with `what` after five seconds.
    fn run_until(&mut self, what: &str, condition: impl Fn(&Fleet) -> bool) {
        let end = self.fleet.now + Duration::from_secs(5);
        while !condition(&self.fleet) {
            assert!(self.fleet.now < end, "{what}");
            self.step();
        }
    }

    fn is_answered(&self, request: RequestId) -> bool {
        self.fleet.answered.contains(&request)
    }

    /// Returns the sound requests that were refused.
    fn sound_refused(&self) -> usize {
        let refused = self.sound.iter();
        let refused = refused.filter(|request| self.fleet.refused_at.contains_key(request));
        refused.count()
    }
}

/// Returns when and where a request was dispatched.
fn dispatches(fleet: &Fleet, request: RequestId) -> Vec<(Time, TargetId)> {
    let all = fleet.dispatched.iter();
    let own = all.filter(|(.., of)| *of == request);
    own.map(|&(at, _, target, _)| (at, target)).collect()
}

fn refusal(fleet: &Fleet, request: RequestId) -> Option<Refusal> {
    let refused = fleet.refused.iter();
    let mut own = refused.filter(|((_, of), _)| *of == request);
    own.next().map(|(_, refusal)| *refusal)
}

/// What breaks a request off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaks {
    /// The target that runs it loses the answer and goes on.
    LostAnswer,
    /// The target that runs it crashes by itself and begins a new run later.
    Crash,
    /// So many targets crash together, that one among them.
    Rack(usize),
    /// The targets that run the first two attempts lose the answers and go on.
    LostAnswers,
}

/// A request that breaks off, and what else its targets bear.
struct GoesOn {
    name: &'static str,
    breaks: Breaks,
    targets: u32,
    rate: usize,
    attempts_max: u32,
}

impl GoesOn {
    const fn new(name: &'static str, breaks: Breaks, targets: u32, rate: usize) -> Self {
        Self {
            name,
            breaks,
            targets,
            rate,
            attempts_max: 2,
        }
    }
}

/// Guards against a request that may be repeated and waits for its deadline because its answer broke off once.
#[test]
fn a_request_that_broke_off_goes_on_at_another_target() {
    assert_goes_on([
        GoesOn::new("the target goes on", Breaks::LostAnswer, 6, 400),
        GoesOn::new("the target serves nobody else", Breaks::LostAnswer, 6, 0),
        GoesOn::new("the target begins a new run", Breaks::Crash, 6, 400),
        GoesOn::new("two crash at once", Breaks::Rack(2), 12, 0),
        GoesOn {
            attempts_max: 3,
            ..GoesOn::new("two targets go on", Breaks::LostAnswers, 6, 400)
        },
    ]);
}

/// Guards against a request that may be repeated and uses up its attempts on refused connections, because a rack of targets
/// crashed at once.
#[test]
fn a_request_goes_on_although_a_rack_of_targets_crashes() {
    assert_goes_on([GoesOn::new(
        "a rack crashes at once",
        Breaks::Rack(4),
        12,
        1_000,
    )]);
}

fn assert_goes_on(cases: impl IntoIterator<Item = GoesOn>) {
    for case in cases {
        let mut world = World::new(case.targets, case.rate);
        let all = world.fleet.targets_listed();
        if matches!(case.breaks, Breaks::LostAnswer | Breaks::LostAnswers) {
            world
                .fleet
                .lost_answers
                .extend(all.iter().map(|&target| (target, CONTENT)));
        }
        let request = world
            .fleet
            .submit_content(0, CONTENT, Repeat::Allowed, case.attempts_max);
        world.run_until(case.name, |fleet| !dispatches(fleet, request).is_empty());
        let first = dispatches(&world.fleet, request)[0].1;
        match case.breaks {
            Breaks::LostAnswer | Breaks::LostAnswers => {}
            Breaks::Crash => world.fleet.crash(first, None),
            Breaks::Rack(size) => {
                let others = all.iter().copied().filter(|&target| target != first);
                let rack: Vec<TargetId> = others.take(size - 1).chain([first]).collect();
                for target in rack {
                    world.fleet.crash(target, None);
                }
            }
        }
        if case.breaks == Breaks::LostAnswers {
            world.run_until(case.name, |fleet| dispatches(fleet, request).len() == 2);
            let second = dispatches(&world.fleet, request)[1].1;
            let lost = &mut world.fleet.lost_answers;
            lost.retain(|&(target, _)| [first, second].contains(&target));
        } else {
            let lost = &mut world.fleet.lost_answers;
            lost.retain(|&(target, _)| target == first);
        }
        world.run(2_000);
        assert!(world.is_answered(request), "{}", case.name);
        let sent = dispatches(&world.fleet, request);
        let places: BTreeSet<TargetId> = sent.iter().map(|&(_, target)| target).collect();
        assert_eq!(places.len(), sent.len(), "{}: elsewhere", case.name);
        for pair in sent.windows(2) {
            let pause = pair[1].0.since(pair[0].0);
            assert!(pause < TOLD_WITHIN, "{}: {pause:?}", case.name);
        }
    }
}

/// Guards against content that the fleet refuses to serve because some of its answers were lost (review 3).
#[test]
fn content_whose_answers_were_lost_is_served_when_the_loss_ends() {
    struct Case {
        name: &'static str,
        targets: u32,
        repeat: Repeat,
        /// The targets that lose every answer to the content.
        losing: usize,
    }
    let cases = [
        Case {
            name: "one of three, repeatable",
            targets: 3,
            repeat: Repeat::Allowed,
            losing: 1,
        },
        Case {
            name: "one of three, not repeatable",
            targets: 3,
            repeat: Repeat::Unkeyed,
            losing: 1,
        },
        Case {
            name: "all, repeatable",
            targets: 6,
            repeat: Repeat::Allowed,
            losing: 6,
        },
        Case {
            name: "all, not repeatable",
            targets: 3,
            repeat: Repeat::Unkeyed,
            losing: 3,
        },
    ];
    for case in cases {
        let mut world = World::new(case.targets, 60);
        let losing = world.fleet.targets_listed().into_iter().take(case.losing);
        world
            .fleet
            .lost_answers
            .extend(losing.map(|target| (target, CONTENT)));
        let mut count = 0;
        let mut offer = |world: &mut World, seconds: usize| {
            let mut offered = Vec::new();
            for _ in 0..seconds * 20 {
                count += 1;
                let at = count % ROUTERS;
                offered.push(world.fleet.submit_content(at, CONTENT, case.repeat, 2));
                world.run(50);
            }
            offered
        };
        offer(&mut world, 4);
        world.fleet.lost_answers.clear();
        // The platform counts a fleet as stable again after three seconds.
        offer(&mut world, 4);
        let offered = offer(&mut world, 10);
        world.run(1_000);
        let answered = offered
            .iter()
            .filter(|&&request| world.is_answered(request));
        let share = answered.count() as f64 / offered.len() as f64;
        assert!(share >= 0.95, "{}: {share:.3} answered", case.name);
        assert_eq!(world.sound_refused(), 0, "{}", case.name);
    }
}

/// Guards against a request that crashes one target after the other because its caller repeats it, and against callers
/// that wait for the refusal.
#[test]
fn a_request_that_crashes_targets_and_is_repeated_is_refused_at_once() {
    struct Case {
        name: &'static str,
        targets: u32,
        repeat: Repeat,
        /// The time between two requests of the caller, which go to the routers in turn.
        every_ms: usize,
        /// Whether a router starts anew in between.
        restarts: bool,
    }
    let case = |name, targets, repeat| Case {
        name,
        targets,
        repeat,
        every_ms: 40,
        restarts: false,
    };
    let cases = [
        case("repeatable", 6, Repeat::Allowed),
        case("not repeatable", 6, Repeat::Unkeyed),
        case("one target", 1, Repeat::Allowed),
        case("two targets", 2, Repeat::Unkeyed),
        Case {
            every_ms: 5_000,
            ..case("one target, rarely repeated", 1, Repeat::Unkeyed)
        },
        Case {
            restarts: true,
            ..case("a router starts", 6, Repeat::Unkeyed)
        },
    ];
    for case in cases {
        let mut world = World::new(case.targets, 100);
        world.fleet.crashing_contents.insert(CONTENT);
        let mut offered = Vec::new();
        let rounds = 30_000 / case.every_ms;
        for round in 0..rounds {
            if case.restarts && round == rounds / 2 {
                world.fleet.restart([1]);
                world.run(2_000);
            }
            let at = round % ROUTERS;
            let request = world.fleet.submit_content(at, CONTENT, case.repeat, 2);
            offered.push((world.fleet.now, request));
            world.run(case.every_ms);
        }
        world.run(2_000);
        let crashes = world.fleet.crashes.len();
        let third = world.fleet.crashes.get(2).map_or(Time::MAX, |&(at, _)| at);
        let is_own = |request| offered.iter().any(|&(_, own)| own == request);
        let later = world
            .fleet
            .dispatched
            .iter()
            .filter(|&&(at, _, _, request)| {
                third != Time::MAX && at > third + LEARN_TIME && is_own(request)
            });
        let later = later.count();
        println!("{}: {crashes} crashes, {later} sent later", case.name);
        assert!(later <= SENT_LATER_MAX, "{}: {later} sent", case.name);
        assert!(crashes <= 3, "{}: {crashes}", case.name);
        for &(at, request) in &offered {
            let refused_at = world.fleet.refused_at.get(&request);
            let wait = refused_at.map(|refused_at| refused_at.since(at));
            assert!(
                wait.is_some_and(|it| it < TOLD_WITHIN),
                "{}: {wait:?}",
                case.name
            );
            let refusal = refusal(&world.fleet, request).expect("refused");
            let verdict = match dispatches(&world.fleet, request).is_empty() {
                true => Verdict::NotRun,
                false => Verdict::MayHaveRun,
            };
            assert_eq!(refusal.verdict, verdict, "{}: {refusal:?}", case.name);
        }
        let (_, last) = offered[offered.len() - 1];
        let reason = refusal(&world.fleet, last).map(|refusal| refusal.reason);
        assert_eq!(reason, Some(Reason::ContentBarred), "{}", case.name);
        let refused_at = world.fleet.refused_at[&last];
        let (offered_at, _) = offered[offered.len() - 1];
        assert_eq!(refused_at, offered_at, "{}: at once", case.name);
    }
}

/// Guards against a suspect that a router bars for good although the targets at which it broke off stayed up, and against
/// one that is cleared at the router that saw the breaks alone.
#[test]
fn what_one_router_learns_of_a_break_holds_at_all() {
    let mut world = World::new(2, 0);
    let all = world.fleet.targets_listed();
    world
        .fleet
        .lost_answers
        .extend(all.iter().map(|&target| (target, CONTENT)));
    // Both targets lose the only answer that they have, so that nothing shows yet that they stayed up.
    let broken = world.fleet.submit_content(0, CONTENT, Repeat::Allowed, 2);
    world.run(100);
    assert!(refusal(&world.fleet, broken).is_some());
    world.fleet.lost_answers.clear();
    let held = world.fleet.submit_content(1, CONTENT, Repeat::Unkeyed, 2);
    world.run(1_000);
    let reason = refusal(&world.fleet, held).map(|refusal| refusal.reason);
    assert_eq!(reason, Some(Reason::ContentBarred), "not cleared yet");
    // The records that the targets write later are of the same run.
    world.run(3_000);
    for at in 0..ROUTERS {
        let again = world.fleet.submit_content(at, CONTENT, Repeat::Unkeyed, 2);
        world.run(500);
        assert!(world.is_answered(again), "router {at}");
    }
}
