//! Moves whose status is recorded in a store, when routers start again at any point of the move and when a version is
//! ordered more than once.

mod hosting;

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::Kind;
use bulrushtrestle_core::output::MovePhase;
use bulrushtrestle_core::prelude::*;

use self::hosting::*;

const ROUTERS: usize = 7;
/// Targets of each version.
const TARGETS: u32 = 6;
/// Requests per second.
const RATE: u64 = 30;
/// The time that operators give a move.
const SPAN: Duration = Duration::from_secs(12);
/// The time after which a move that is not finished counts as stuck.
const STUCK_AFTER: Duration = Duration::from_secs(30);
/// The time after a start within which routers have to serve again: less than half of what the users allow.
const RECOVERY: Duration = Duration::from_secs(5);
/// For how long the requests after the recovery are counted.
const JUDGED: Duration = Duration::from_secs(6);
/// The revisions of the first and of the second order.
const FIRST: u64 = 5;
const SECOND: u64 = 50;

/// A fleet with targets of both versions whose traffic moves from `v1` to `v2`.
struct Moving {
    fleet: Fleet,
    old: BTreeSet<TargetId>,
    new: BTreeSet<TargetId>,
    asked: u64,
}

fn ids(prefix: char) -> BTreeSet<TargetId> {
    let names = (1..=TARGETS).map(|number| format!("{prefix}{number}"));
    names
        .map(|name| TargetId(id(Kind::Target, &name)))
        .collect()
}

impl Moving {
    fn new() -> Self {
        let mut moving = Self {
            fleet: Fleet::new(ROUTERS, TARGETS, 0),
            old: ids('t'),
            new: ids('n'),
            asked: 0,
        };
        moving.serve(Duration::from_secs(2));
        moving.fleet.write(&other_version(1, TARGETS));
        moving
    }

    fn order(&mut self, revision: u64) {
        let order = move_order_at(revision, self.fleet.now + SPAN);
        self.fleet.write(&[order]);
    }

    /// Offers requests for `time`, to the routers in turn.
    fn serve(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            let milli = self.fleet.now.as_millis();
            if milli * RATE / 1_000 != (milli + 1) * RATE / 1_000 {
                let at = usize::try_from(self.asked * 7 / 11).expect("small") % ROUTERS;
                self.fleet.submit(at, "many");
                self.asked += 1;
            }
            self.fleet.step();
        }
    }

    /// Returns the revision and the phase that are recorded.
    fn recorded(&self) -> Option<(Option<Offset>, MovePhase)> {
        let last = self.fleet.statuses.last();
        last.map(|last| (last.revision, last.phase))
    }

    /// Offers requests until this is recorded of the order at `revision`. Returns the time that it took.
    fn serve_until(&mut self, revision: u64, phase: MovePhase) -> Duration {
        let began = self.fleet.now;
        while self.recorded() != Some((Some(Offset(revision)), phase)) {
            let took = self.fleet.now.since(began);
            assert!(took < STUCK_AFTER, "recorded: {:?}", self.fleet.statuses);
            self.serve(Duration::from_millis(100));
        }
        self.fleet.now.since(began)
    }

    /// Stops the targets of a version, as operators do after a final status.
    fn stop_targets(&mut self, prefix: char) {
        let names = (1..=TARGETS).map(|number| format!("{prefix}{number}"));
        let gone = names.map(|name| target_change(&name, 1_000, false));
        let gone: Vec<_> = gone.collect();
        self.fleet.write(&gone);
        self.serve(Duration::from_millis(500));
    }

    fn fail_new(&mut self, failures_per_ten: u64) {
        for &target in &self.new {
            self.fleet.failures_per_ten.insert(target, failures_per_ten);
        }
    }

    /// Returns how many requests went to targets of the old and of the new version from `from` on.
    fn sent(&self, from: Time) -> (usize, usize) {
        let count = |version: &BTreeSet<TargetId>| {
            let sent = self.fleet.dispatched.iter();
            sent.filter(|(at, _, target, _)| *at >= from && version.contains(target))
                .count()
        };
        (count(&self.old), count(&self.new))
    }
}

/// Which routers start again.
#[derive(Debug, Clone, Copy)]
enum Restart {
    All,
    One,
    /// All, and then all again before a second has passed.
    AllTwice,
}

impl Restart {
    fn run(self, moving: &mut Moving) {
        match self {
            Self::All => moving.fleet.restart(0..ROUTERS),
            Self::One => moving.fleet.restart([3]),
            Self::AllTwice => {
                moving.fleet.restart(0..ROUTERS);
                moving.serve(Duration::from_millis(700));
                moving.fleet.restart(0..ROUTERS);
            }
        }
    }
}

/// Guards against a final status that only the memory of routers holds: routers that start again take the order for a new
/// one, send the traffic to a version that has no targets any more, and write `running` over the final status.
#[test]
fn a_final_move_stays_final_when_routers_start_again() {
    struct Case {
        name: &'static str,
        restart: Restart,
        /// How many of ten requests the new version fails.
        fails: u64,
        /// Whether operators have stopped the targets of the losing version before the restart.
        is_loser_stopped: bool,
        /// Whether the recorded statuses cannot be read after the restart.
        unreadable: bool,
        /// Whether the recorded status does not state the order, as earlier releases wrote it.
        without_order: bool,
    }
    const FINISHED: Case = Case {
        name: "finished",
        restart: Restart::All,
        fails: 0,
        is_loser_stopped: true,
        unreadable: false,
        without_order: false,
    };
    let cases = [
        FINISHED,
        Case {
            name: "finished, one router",
            restart: Restart::One,
            ..FINISHED
        },
        Case {
            name: "finished, twice",
            restart: Restart::AllTwice,
            ..FINISHED
        },
        Case {
            name: "finished, old targets still listed",
            is_loser_stopped: false,
            ..FINISHED
        },
        Case {
            name: "finished, recorded by an earlier release",
            is_loser_stopped: false,
            without_order: true,
            ..FINISHED
        },
        Case {
            name: "finished, statuses unreadable",
            unreadable: true,
            ..FINISHED
        },
        Case {
            name: "rolled back",
            fails: 6,
            is_loser_stopped: false,
            ..FINISHED
        },
        Case {
            name: "rolled back, new targets stopped",
            fails: 6,
            ..FINISHED
        },
    ];
    for case in cases {
        let name = case.name;
        let mut moving = Moving::new();
        moving.fail_new(case.fails);
        moving.order(FIRST);
        let (phase, winner, loser) = match case.fails {
            0 => (MovePhase::Finished, 'n', 't'),
            _ => (MovePhase::TakenBack, 't', 'n'),
        };
        moving.serve_until(FIRST, phase);
        if case.is_loser_stopped {
            moving.stop_targets(loser);
        }
        if case.without_order
            && let Some(last) = moving.fleet.statuses.last_mut()
        {
            last.revision = None;
        }
        let recorded = moving.fleet.statuses.clone();
        moving.fleet.statuses_unreadable = case.unreadable;
        case.restart.run(&mut moving);
        moving.serve(RECOVERY);
        let (from, before) = (moving.fleet.now, moving.asked);
        moving.serve(JUDGED);
        let asked = usize::try_from(moving.asked - before).expect("few requests");
        let (old, new) = moving.sent(from);
        let (won, lost) = if winner == 'n' {
            (new, old)
        } else {
            (old, new)
        };
        assert_eq!(lost, 0, "{name}: sent to the version that lost");
        assert!(won * 10 >= asked * 9, "{name}: {won} of {asked} sent");
        assert_eq!(moving.fleet.statuses, recorded, "{name}");
    }
}

/// Guards against a bad version that gets requests again after each start of all routers, because the roll-back is forgotten.
#[test]
fn a_version_that_was_rolled_back_gets_nothing_after_a_restart() {
    let mut moving = Moving::new();
    moving.fail_new(6);
    moving.order(FIRST);
    moving.serve_until(FIRST, MovePhase::TakenBack);
    moving.serve(Duration::from_secs(1));
    for _ in 0..3 {
        let from = moving.fleet.now;
        moving.fleet.restart(0..ROUTERS);
        moving.serve(RECOVERY);
        let (_, new) = moving.sent(from);
        assert_eq!(new, 0);
    }
}

/// Guards against a start in the middle of a move after which the move is never finished.
#[test]
fn a_move_that_is_under_way_at_a_restart_is_finished() {
    for (name, restart) in [
        ("one router", Restart::One),
        ("all", Restart::All),
        ("all, twice", Restart::AllTwice),
    ] {
        for after in [Duration::ZERO, Duration::from_secs(1), SPAN / 2] {
            let mut moving = Moving::new();
            moving.order(FIRST);
            moving.serve(after);
            restart.run(&mut moving);
            let took = moving.serve_until(FIRST, MovePhase::Finished);
            assert!(took <= STUCK_AFTER, "{name} after {after:?}: {took:?}");
        }
    }
}

/// Guards against an order that is taken for an earlier one of the same version: its status stays that of the earlier order
/// while traffic moves.
#[test]
fn a_version_that_is_ordered_again_is_moved_to_again() {
    struct Case {
        name: &'static str,
        /// How many of ten requests the new version fails under the first order.
        fails: u64,
        /// Whether all routers start again after the first order, and after the second one.
        restarts: (bool, bool),
        /// Whether the old targets are stopped after the first order.
        is_old_stopped: bool,
    }
    const MENDED: Case = Case {
        name: "mended",
        fails: 6,
        restarts: (false, false),
        is_old_stopped: false,
    };
    let cases = [
        MENDED,
        Case {
            name: "mended, restart before the order",
            restarts: (true, false),
            ..MENDED
        },
        Case {
            name: "mended, restart after the order",
            restarts: (false, true),
            ..MENDED
        },
        Case {
            name: "good the first time, old targets still there",
            fails: 0,
            ..MENDED
        },
        Case {
            name: "good the first time, no old targets left",
            fails: 0,
            is_old_stopped: true,
            ..MENDED
        },
    ];
    for case in cases {
        let name = case.name;
        let mut moving = Moving::new();
        moving.fail_new(case.fails);
        moving.order(FIRST);
        let phase = match case.fails {
            0 => MovePhase::Finished,
            _ => MovePhase::TakenBack,
        };
        moving.serve_until(FIRST, phase);
        if case.is_old_stopped {
            moving.stop_targets('t');
        }
        moving.fail_new(0);
        if case.restarts.0 {
            moving.fleet.restart(0..ROUTERS);
            moving.serve(RECOVERY);
        }
        let (from, before) = (moving.fleet.now, moving.asked);
        moving.order(SECOND);
        moving.serve_until(SECOND, MovePhase::Running);
        if case.restarts.1 {
            moving.fleet.restart(0..ROUTERS);
        }
        let took = moving.serve_until(SECOND, MovePhase::Finished);
        if !case.restarts.1 {
            assert!(took <= SPAN, "{name}: {took:?}");
        }
        let asked = usize::try_from(moving.asked - before).expect("few requests");
        let (old, new) = moving.sent(from);
        let sent = old + new;
        assert!(sent * 10 >= asked * 9, "{name}: {sent} of {asked} sent");
    }
}

/// Guards against a router that starts while the records of targets have lapsed in an outage of the store, and sends all
/// requests to a version under trial because its targets are the first to write theirs again.
#[test]
fn routers_that_start_do_not_rely_on_targets_that_are_missing() {
    let mut moving = Moving::new();
    moving.order(FIRST);
    moving.serve(Duration::from_secs(1));
    moving.stop_targets('t');
    let from = moving.fleet.now;
    moving.fleet.statuses_unreadable = true;
    moving.fleet.restart(0..ROUTERS);
    moving.serve(Duration::from_secs(2));
    let back = (1..=TARGETS).map(|number| target_change(&format!("t{number}"), 2_000, true));
    let back: Vec<_> = back.collect();
    moving.fleet.write(&back);
    moving.serve(Duration::from_secs(3));
    let (old, new) = moving.sent(from);
    assert_eq!(new, 0, "{old} to the old version");
    assert!(old > 0, "the old version is used again");
}
