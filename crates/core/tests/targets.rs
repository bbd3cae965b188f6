//! Tests of targets that start, stop, leave and return, in a small fleet in virtual time.

mod fixture;
mod load;

use bulrushtrestle_core::catalogue::entry::{DataCentreState, Entry, Target};
use bulrushtrestle_core::input::VmRole;
use bulrushtrestle_core::prelude::*;

use self::load::World;

/// A leaving target, or a data centre that is out of service, gets no requests later than this after the change.
const NO_WORK_AFTER: Duration = Duration::from_secs(5);
/// Requests offered per second; about nine tenths of the capacity of six warm targets of eight slots.
const RATE: u32 = 100;

struct ColdStart {
    name: &'static str,
    routers: u32,
    /// Causes a target to be cold and returns it.
    event: fn(&mut World) -> TargetId,
    /// An event two seconds later, in the middle of the warm-up.
    later: fn(&mut World, TargetId),
    /// The most requests that may run at the target at the same time in the first second after the event.
    first: u32,
}

fn new_target(world: &mut World) -> TargetId {
    let entry = Target {
        name: "late".to_owned(),
        vm: 900,
        address: "127.0.0.1:9900".to_owned(),
        data_centre: "a".to_owned(),
        pool: "m".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        checks_fence: false,
    };
    let offset = world.fleet.publish(Entry::Target(entry), None);
    let target = TargetId(offset.0 as u32);
    let engine = world.fleet.engines.get_mut(&target);
    engine.expect("the engine was just created").started = world.fleet.now;
    target
}

fn restart(world: &mut World) -> TargetId {
    let target = world.targets[0];
    world.fleet.crash(target);
    target
}

fn return_data_centre(world: &mut World) -> TargetId {
    world.set_data_centre_state("a", DataCentreState::Out);
    world.run(Duration::from_secs(10), RATE);
    world.set_data_centre_state("a", DataCentreState::In);
    world.targets[0]
}

fn kill_owner(world: &mut World, target: TargetId) {
    let owner = world.owner(target);
    world.fleet.kill(owner);
}

fn cut_owner(world: &mut World, target: TargetId) {
    let owner = world.owner(target);
    world.fleet.partition(&[owner]);
}

const COLD_STARTS: &[ColdStart] = &[
    ColdStart {
        name: "new",
        routers: 3,
        event: new_target,
        later: |_, _| {},
        first: 1,
    },
    ColdStart {
        name: "restarted without notice",
        routers: 3,
        event: restart,
        later: |_, _| {},
        first: 1,
    },
    ColdStart {
        name: "returned with its data centre",
        routers: 3,
        event: return_data_centre,
        later: |_, _| {},
        first: 1,
    },
    ColdStart {
        name: "new, before many routers",
        routers: 8,
        event: new_target,
        later: |_, _| {},
        first: 1,
    },
    ColdStart {
        name: "new, and its owner is killed",
        routers: 3,
        event: new_target,
        later: kill_owner,
        first: 1,
    },
    ColdStart {
        name: "restarted, and its owner is cut off",
        routers: 3,
        event: restart,
        later: cut_owner,
        first: 1,
    },
];

#[test]
fn a_cold_target_gets_one_request_and_then_at_most_twice_as_many_each_second() {
    for case in COLD_STARTS {
        let mut world = World::warm(case.routers, 6, RATE);
        let target = (case.event)(&mut world);
        let mut bound = case.first;
        for second in 0..30 {
            let peak = world.peak(target, Duration::from_secs(1), RATE);
            assert!(
                peak <= bound,
                "{}: {peak} requests in second {second}, {bound} allowed",
                case.name
            );
            if second == 1 {
                (case.later)(&mut world, target);
            }
            bound = (bound * 2).min(8);
        }
        let peak = world.peak(target, Duration::from_secs(5), RATE * 2);
        assert!(peak >= 4, "{}: only {peak} at the end", case.name);
    }
}

/// A way in which a target leaves.
struct Leaving {
    name: &'static str,
    event: fn(&mut World, TargetId),
}

const LEAVING: &[Leaving] = &[
    Leaving {
        name: "every list shows it",
        event: |world, target| world.set_leaving(target, None),
    },
    Leaving {
        name: "only the owner's list shows it, the others lag",
        event: |world, target| {
            let owner = world.owner(target);
            world.set_leaving(target, Some(owner));
        },
    },
    Leaving {
        name: "only the list of a router that does not own it shows it",
        event: |world, target| {
            let owner = world.owner(target);
            let routers = world.fleet.hosts.keys().copied();
            let other = routers.into_iter().find(|&router| router != owner);
            world.set_leaving(target, other);
        },
    },
    Leaving {
        name: "the VM has vanished from the list",
        event: |world, target| {
            let vm = world.vm_of(target);
            world.fleet.vms.retain(|listed| listed.id != vm);
        },
    },
    Leaving {
        name: "the list lags, but the entry is removed",
        event: |world, target| world.remove(target),
    },
    Leaving {
        name: "messages are duplicated",
        event: |world, target| {
            world.fleet.duplicate = 0.5;
            world.set_leaving(target, None);
        },
    },
];

#[test]
fn a_leaving_target_gets_nothing_after_a_few_seconds() {
    for case in LEAVING {
        let mut world = World::warm(3, 6, RATE);
        let target = world.targets[1];
        (case.event)(&mut world, target);
        world.run(NO_WORK_AFTER, RATE);
        let before = world.fleet.dispatches.len();
        world.run(Duration::from_secs(20), RATE);
        let late = world.fleet.dispatches[before..].iter();
        let late = late.filter(|(_, _, dispatch)| dispatch.target == target);
        assert_eq!(late.count(), 0, "{}", case.name);
        assert!(world.fleet.dispatches.len() > before, "{}", case.name);
    }
}

#[test]
fn a_list_that_loses_most_targets_at_once_takes_none_away() {
    let mut world = World::warm(3, 6, RATE);
    world
        .fleet
        .vms
        .retain(|vm| vm.role == VmRole::Router || vm.id == 100);
    world.run(NO_WORK_AFTER, RATE);
    let before = world.fleet.dispatches.len();
    world.run(Duration::from_secs(2), RATE);
    let used = world.fleet.dispatches[before..].iter();
    let used: std::collections::BTreeSet<TargetId> =
        used.map(|(_, _, dispatch)| dispatch.target).collect();
    assert_eq!(used.len(), 6);
}

struct Outage {
    name: &'static str,
    /// By how many requests the peak of a target may exceed its capacity while two routers in a partition both own the target.
    overrun: u32,
    /// An event before the data centre is taken out of service.
    before: fn(&mut World),
    /// An event after the data centre was taken out of service.
    after: fn(&mut World),
}

const OUTAGES: &[Outage] = &[
    Outage {
        name: "nothing else fails",
        overrun: 0,
        before: |_| {},
        after: |_| {},
    },
    Outage {
        name: "one router is cut off from the log",
        overrun: 0,
        before: |world| {
            world.fleet.log_cut.insert(RouterId(2));
        },
        after: |_| {},
    },
    Outage {
        name: "one router is cut off from the log and from its peers",
        overrun: 0,
        before: |world| {
            world.fleet.log_cut.insert(RouterId(2));
            world.fleet.partition(&[RouterId(2)]);
        },
        after: |_| {},
    },
    Outage {
        name: "the log goes down after the declaration",
        overrun: 0,
        before: |_| {},
        after: |world| {
            world.run(Duration::from_secs(2), RATE);
            world.fleet.log.down = true;
        },
    },
    Outage {
        name: "a router is restarted just after the declaration",
        overrun: 0,
        before: |_| {},
        after: |world| {
            world.fleet.kill(RouterId(2));
            world.fleet.restart(RouterId(2));
        },
    },
    Outage {
        name: "a target in it crashes at the same time",
        overrun: 0,
        before: |_| {},
        after: |world| {
            let target = world.targets[0];
            world.fleet.crash(target);
        },
    },
];

#[test]
fn a_data_centre_that_is_out_gets_nothing_after_a_few_seconds_and_the_others_are_not_overrun() {
    for case in OUTAGES {
        let mut world = World::warm(3, 6, RATE);
        (case.before)(&mut world);
        world.set_data_centre_state("a", DataCentreState::Out);
        let declared = world.fleet.now;
        (case.after)(&mut world);
        world.run(Duration::from_secs(20), RATE);
        let out = world.targets_in("a");
        let late = world.fleet.dispatches.iter().filter(|(at, _, dispatch)| {
            *at > declared + NO_WORK_AFTER && out.contains(&dispatch.target)
        });
        assert_eq!(late.count(), 0, "{}", case.name);
        assert!(world.fleet.overload() <= case.overrun, "{}", case.name);
    }
}

#[test]
fn short_requests_are_served_while_a_data_centre_leaves_and_returns() {
    let mut world = World::warm(3, 6, RATE / 2);
    let before = world.fleet.answers.len();
    for state in [DataCentreState::Out, DataCentreState::In] {
        world.set_data_centre_state("a", state);
        world.run(Duration::from_secs(15), RATE / 2);
    }
    let answers = &world.fleet.answers[before..];
    let refused = answers.iter().filter(|answer| answer.refusal.is_some());
    assert_eq!(refused.count(), 0);
    let offered = 30 * RATE as usize / 2;
    assert!(answers.len() * 100 >= offered * 95, "{}", answers.len());
}
