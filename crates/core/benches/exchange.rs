//! What the exchange of load reports costs by the size of the fleet, and how old its figures are.
//!
//! Routers of 0.12 cores, with a few of 0.5, in five data centres. All of them have work before 256 targets. In virtual
//! time over the real decisions: frames, bytes and ages are the same on every run; processor time is measured.

#[path = "../tests/hosting/mod.rs"]
mod hosting;
mod report;

use std::process::ExitCode;
use std::time::Duration;

use self::hosting::{Fleet, Measured, Traffic};
use self::report::{Bound, Report};

const TARGETS: u32 = 256;
const SLOTS: u32 = 12;
const DATA_CENTRES: usize = 5;
/// One router in so many has 0.5 of a core, as in the users' largest fleet.
const STRONG_EVERY: usize = 20;
/// Requests per second at each router; the users' largest fleet has 13 at most.
const RATE: usize = 13;
/// How long the fleet runs before the measurement, and for how long it is measured.
const BEFORE: usize = 4_000;
const TIME: usize = 3_000;
/// The users' limit for control traffic of a router, in bytes per second.
const BYTES: f64 = 3_000.0;
/// The users' limit for the processor time that control may take, in percent of a core.
const CORE: f64 = 4.2;
/// The most that a router of 430 may cost, relative to one of 30.
const GROWTH: f64 = 1.2;

/// The cost of control at one router, per second.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    frames: f64,
    bytes: f64,
    percent: f64,
}

fn main() -> ExitCode {
    let mut report = Report::new("exchange");
    let mut first = None;
    for routers in [30, 100, 300, 430] {
        let (mean, worst) = measure(&mut report, routers);
        if routers == 430 {
            report.bounded(
                "430 routers: mean sent",
                mean.bytes,
                "B/s",
                Bound::AtMost(BYTES),
                "brief: 3 KB/s",
            );
            report.bounded(
                "430 routers: worst sent",
                worst.bytes,
                "B/s",
                Bound::AtMost(BYTES),
                "brief: 3 KB/s",
            );
            report.bounded(
                "430 routers: decisions about peers' frames at a weak router",
                mean.percent,
                "% core",
                Bound::AtMost(CORE),
                "brief: 4.2% of a core",
            );
        }
        let (mean_30, worst_30) = *first.get_or_insert((mean, worst));
        for (name, cost, base) in [("mean", mean, mean_30), ("worst", worst, worst_30)] {
            report.bounded(
                &format!("{routers} routers: {name} frames, of those of 30"),
                cost.frames / base.frames,
                "",
                Bound::AtMost(GROWTH),
                "no growth with the fleet",
            );
        }
    }
    report.finish()
}

/// Measures a fleet of so many routers. Returns the mean and the worst cost; the processor time is that of one weak router.
fn measure(report: &mut Report, routers: usize) -> (Cost, Cost) {
    let capacities: Vec<u32> = (0..routers)
        .map(|at| match at % STRONG_EVERY {
            0 => 500,
            _ => 120,
        })
        .collect();
    let mut fleet = Fleet::placed(&capacities, DATA_CENTRES, (TARGETS, SLOTS), 0);
    fleet.generation_time = Duration::from_millis(100);
    offer(&mut fleet, BEFORE);
    fleet.traffic = vec![Traffic::default(); routers];
    fleet.measured = Some(Measured {
        at: 1,
        spent: Default::default(),
    });
    offer(&mut fleet, TIME);
    let time = TIME as f64 / 1_000.0;
    let spent = &fleet.measured.as_ref().expect("it was measured").spent;
    let peers = spent
        .get("peer")
        .map_or(0.0, |(_, spent)| spent.as_secs_f64());
    let timers = spent
        .get("timer")
        .map_or(0.0, |(_, spent)| spent.as_secs_f64());
    let percent = 100.0 * (peers + timers) / time;
    let cost = |traffic: &Traffic| Cost {
        frames: (traffic.sent + traffic.received) as f64 / time,
        bytes: traffic.bytes_sent as f64 / time,
        percent,
    };
    let all: Vec<Cost> = fleet.traffic.iter().map(cost).collect();
    let sum = |of: fn(&Cost) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    let most = |of: fn(&Cost) -> f64| all.iter().map(of).fold(0.0, f64::max);
    let mean = Cost {
        frames: sum(|it| it.frames),
        bytes: sum(|it| it.bytes),
        percent,
    };
    let worst = Cost {
        frames: most(|it| it.frames),
        bytes: most(|it| it.bytes),
        percent,
    };
    for (name, value, unit) in [
        ("mean frames, sent and received", mean.frames, "1/s"),
        ("worst frames, sent and received", worst.frames, "1/s"),
        ("mean sent", mean.bytes, "B/s"),
        ("worst sent", worst.bytes, "B/s"),
        (
            "frames of peers, processor of a weak router",
            100.0 * peers / time,
            "% core",
        ),
        (
            "timers, processor of a weak router",
            100.0 * timers / time,
            "% core",
        ),
    ] {
        report.figure(&format!("{routers} routers: {name}"), value, unit);
    }
    let known = fleet.known_load_error();
    report.figure(
        &format!("{routers} routers: unread tokens that routers do not know of, or too many"),
        known,
        "%",
    );
    (mean, worst)
}

/// Offers each router requests, evenly spread over time and routers.
fn offer(fleet: &mut Fleet, millis: usize) {
    let routers = fleet.nodes.len();
    let per_step = routers * RATE;
    let mut owed = 0;
    let mut at = 0;
    for _ in 0..millis {
        owed += per_step;
        while owed >= 1_000 {
            owed -= 1_000;
            at = (at + 7) % routers;
            fleet.submit(at, ["one", "many", "small"][at % 3]);
        }
        fleet.step();
    }
}
