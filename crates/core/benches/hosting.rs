//! Processor time of a weak router in a large fleet on a hosting platform, while more is asked for than can be served.
//!
//! The users' largest fleet: 140 targets, 77 routers of which 69 have 0.12 of a core. Callers of one organisation use one
//! of these; the others' callers use the eight strong ones. Only the decisions are measured, not the network.

#[path = "../tests/hosting/mod.rs"]
mod hosting;
mod report;

use std::process::ExitCode;
use std::time::Duration;

use bulrushtrestle_core::catalogue::Scope;
use bulrushtrestle_core::catalogue::entry::Kind;
use bulrushtrestle_core::input::{Input, StoreChange, StoreEvent};
use bulrushtrestle_core::key::Offset;

use self::hosting::{Fleet, Measured, organisation};
use self::report::{Bound, Report};

const TARGETS: u32 = 140;
const STRONG: usize = 8;
const WEAK: usize = 69;
/// The router whose time is measured.
const AT: usize = 20;
const TIME_MS: usize = 4_000;
/// The share of a core of the users' weakest machines.
const CORE: f64 = 0.12;
/// What one of thirty organisations asks of the users' largest fleet (2,294 a second), and comes back once with.
const ASKED: f64 = 2.0 * 2_294.0 / 30.0;
/// The part of the processor that may go into decisions; the rest is for moving bytes.
const DECISIONS: f64 = 0.25;
/// The slots of most targets of the users' largest fleet.
const SLOTS: u32 = 16;
/// The organisations there.
const ORGANISATIONS: usize = 30;
/// Routers that have work at the same time there, besides the one that is measured.
const BUSY: usize = 10;
/// What one organisation asks for there, in requests a second.
const ASKED_ONCE: f64 = 2_294.0 / 30.0;
/// For how long an answer is streamed in the measurement of one request.
const GENERATES_FOR: Duration = Duration::from_millis(300);

fn main() -> ExitCode {
    let mut report = Report::new("hosting");
    for (name, with_work) in [
        ("few routers have work", 0),
        ("all routers have work", WEAK),
    ] {
        let mut fleet = fleet();
        offer(&mut fleet, with_work);
        let measured = fleet.measured.take().expect("it was measured");
        let time = Duration::from_millis(TIME_MS as u64);
        let sum: Duration = measured.spent.values().map(|(_, spent)| *spent).sum();
        for (kind, (count, spent)) in &measured.spent {
            let each = spent.as_secs_f64() * 1e6 / f64::from(*count);
            let rate = f64::from(*count) / time.as_secs_f64();
            report.figure(&format!("{name}: {kind}, events a second"), rate, "1/s");
            report.figure(&format!("{name}: {kind}, time of one"), each, "us");
        }
        report.bounded(
            &format!("{name}: decisions at a weak router"),
            100.0 * sum.as_secs_f64() / time.as_secs_f64(),
            "% core",
            Bound::AtMost(100.0 * CORE * DECISIONS),
            "a fourth of 0.12 of a core",
        );
    }
    // A decision that grows with targets, peers or organisations takes the processor that answers need.
    for (name, every_ms) in [
        ("targets have room", 20),
        ("requests wait that fit nowhere", 2),
    ] {
        let (requests, measured) = requests(every_ms);
        let sum: Duration = measured.spent.values().map(|(_, spent)| *spent).sum();
        for (kind, (count, spent)) in &measured.spent {
            let each = spent.as_secs_f64() * 1e6 / f64::from(requests);
            let events = f64::from(*count) / f64::from(requests);
            report.figure(&format!("{name}: {kind}, events of a request"), events, "");
            report.figure(&format!("{name}: {kind}, time of a request"), each, "us");
        }
        report.bounded(
            &format!("{name}: decisions about a request"),
            sum.as_secs_f64() * 1e6 / f64::from(requests),
            "us",
            Bound::AtMost(CORE * DECISIONS / ASKED_ONCE * 1e6),
            "a fourth of 0.12 of a core, 76 requests a second",
        );
    }
    report.finish()
}

/// Returns what one router spends on requests of all organisations, and their number, while every busy router is asked for
/// one each `every_ms`.
fn requests(every_ms: usize) -> (u32, Measured) {
    let mut capacities = vec![500; STRONG];
    capacities.extend([120; WEAK]);
    let mut fleet = Fleet::with_slots(&capacities, (TARGETS, SLOTS), 0);
    fleet.generation_time = GENERATES_FOR;
    let names: Vec<String> = (0..ORGANISATIONS).map(|at| format!("o{at}")).collect();
    let changes = names.iter().map(|name| StoreChange {
        revision: Offset(4),
        scope: Scope::One(Kind::Organisation, name.clone()),
        entries: vec![organisation(name)],
    });
    let changes: Vec<StoreChange> = changes.collect();
    for at in 0..fleet.nodes.len() {
        fleet.input(at, Input::Store(StoreEvent::Changed(changes.clone())));
    }
    let every = 1_000.0 / ASKED_ONCE;
    let (mut next, mut count) = (0.0, 0);
    for millis in 0..TIME_MS + 1_000 {
        if millis == 1_000 {
            count = 0;
            fleet.measured = Some(Measured {
                at: AT,
                spent: Default::default(),
            });
        }
        if millis as f64 >= next {
            next += every;
            count += 1;
            fleet.submit(AT, &names[count as usize % ORGANISATIONS]);
        }
        if millis.is_multiple_of(every_ms) {
            for busy in 0..BUSY {
                fleet.submit(busy, &names[(millis / every_ms + busy) % ORGANISATIONS]);
            }
        }
        fleet.step();
    }
    (count, fleet.measured.take().expect("it was measured"))
}

/// Returns the fleet after all routers have met.
fn fleet() -> Fleet {
    let mut capacities = vec![500; STRONG];
    capacities.extend([120; WEAK]);
    Fleet::with_capacities(&capacities, TARGETS, 0)
}

/// Offers more than the targets can read, from second to second alike.
fn offer(fleet: &mut Fleet, with_work: usize) {
    let every = 1_000.0 / ASKED;
    let mut next = 0.0;
    for millis in 0..TIME_MS + 1_000 {
        if millis == 1_000 {
            fleet.measured = Some(Measured {
                at: AT,
                spent: Default::default(),
            });
        }
        if millis as f64 >= next {
            next += every;
            fleet.submit(AT, "one");
        }
        fleet.submit(millis % STRONG, "many");
        if with_work > 0 {
            fleet.submit(STRONG + millis % with_work, "many");
        }
        fleet.step();
    }
}
