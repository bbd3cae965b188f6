//! Pause objectives of streams: what routers send ahead to targets of different speeds.

mod hosting;

use bulrushtrestle_core::catalogue::entry::{Entry, Kind};
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::prelude::*;

use self::hosting::{Fleet, configuration, id};

/// Guards against streams that pause for longer than their objective because a target reads prompts of
/// several requests without an interruption, and against pools that are bound although reading cannot
/// make their streams late.
///
/// Load: more prompts of 12000 tokens at once than a target of 80 tokens a millisecond may have unread: 40000 where
/// reading during one event of a stream, 10 steps of 2048 tokens, takes no longer than the objective bears, and
/// otherwise what the target reads in half of the objective.
#[test]
fn prompts_are_sent_ahead_as_far_as_streams_bear() {
    struct Case {
        name: &'static str,
        gap_aim_ms: u32,
        work: Option<u16>,
        sent: usize,
    }
    let cases = [
        Case {
            name: "no pause objective",
            gap_aim_ms: 0,
            work: None,
            sent: 3,
        },
        Case {
            name: "an objective that reading cannot exceed at usual speed",
            gap_aim_ms: 400,
            work: Some(100),
            sent: 3,
        },
        Case {
            name: "a target that states nothing",
            gap_aim_ms: 400,
            work: None,
            sent: 3,
        },
        Case {
            name: "the same objective at a slow target",
            gap_aim_ms: 400,
            work: Some(182),
            sent: 1,
        },
        Case {
            name: "an objective that reading exceeds at usual speed",
            gap_aim_ms: 250,
            work: Some(100),
            sent: 1,
        },
        Case {
            name: "a slow target without a pause objective",
            gap_aim_ms: 0,
            work: Some(182),
            sent: 1,
        },
        Case {
            name: "a long pause objective",
            gap_aim_ms: 10_000,
            work: None,
            sent: 3,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(1, 1, 0);
        let mut change = configuration(0);
        change.revision = Offset(50);
        for entry in &mut change.entries {
            match entry {
                Entry::Route(route) => route.gap_aim_ms = case.gap_aim_ms,
                Entry::Pool(pool) => pool.bounds.tokens_per_event = 10,
                _ => {}
            }
        }
        fleet.write(&[change]);
        let target = TargetId(id(Kind::Target, "t1"));
        fleet.work.extend(case.work.map(|work| (target, work)));
        fleet.run(Duration::from_secs(1));
        fleet.submit(0, "one");
        // The target reads the prompt in 150 ms.
        fleet.run(Duration::from_millis(200));
        let before = fleet.dispatched.len();
        assert_eq!(before, 1, "{}", case.name);
        for _ in 0..6 {
            fleet.submit(0, "one");
        }
        let sent = fleet.dispatched.len() - before;
        assert_eq!(sent, case.sent, "{}", case.name);
    }
}
