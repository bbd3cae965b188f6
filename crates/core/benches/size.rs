//! What one node costs at the size to design for: a catalogue of that size, a fleet of that size, and no
//! requests. Processor time here is time on the clock, so the machine should be idle.

mod report;

use std::process::ExitCode;
use std::time::Instant;

use bulrushtrestle_core::catalogue::entry::{Bounds, Organisation, Pool, Service, Target};
use bulrushtrestle_core::catalogue::entry::{DataCentre, DataCentreState, Entry, Limits};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::input::{Input, LogEvent, LogRecord, Vm, VmRole};
use bulrushtrestle_core::membership::message::{Condition, Heartbeat, Row};
use bulrushtrestle_core::message::Frame;
use bulrushtrestle_core::node::{Config, Node};
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::record::Record;

use self::report::{Bound, Report};

/// The sizes of the users' letter.
const ORGANISATIONS: u32 = 22_000;
const TARGETS: u32 = 5_200;
const ROUTERS: u32 = 430;
/// The users' limits for control in one daemon.
const CORE_PERCENT: f64 = 4.2;
const MEMORY_MB: f64 = 64.0;
/// How much virtual time passes while the processor time is taken.
const SECONDS: u32 = 20;
const TIMER: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let mut report = Report::new("one node at the letter's size");
    for part in [4, 1] {
        let sizes = [ORGANISATIONS / part, TARGETS / part, ROUTERS / part];
        measure(&mut report, sizes);
    }
    report.finish()
}

fn measure(report: &mut Report, [organisations, targets, routers]: [u32; 3]) {
    let at = format!("{organisations} organisations, {targets} targets, {routers} routers");
    let records = records(organisations, targets);
    let tail = Offset(records.len() as u64);
    let before = resident();
    let mut now = Time::from_millis(1_800_000_000_000);
    let mut node = Node::new(Config::new(RouterId(1), Incarnation(1)), now, 1);
    let mut out = Vec::new();
    node.handle(now, Input::Vms(vms(routers)), &mut out);
    let start = Instant::now();
    for records in records.chunks(1_000) {
        let (records, first) = (records.to_vec(), Offset(0));
        node.handle(
            now,
            Input::Log(LogEvent::Read {
                records,
                tail,
                first,
            }),
            &mut out,
        );
        out.clear();
    }
    report.figure(&format!("reading the catalogue, {at}"), millis(start), "ms");
    let start = Instant::now();
    let mut frames = 0;
    let mut peers = Peers {
        routers,
        sequence: 0,
    };
    for _ in 0..SECONDS * 20 {
        now = now + TIMER;
        node.handle(now, Input::Timer, &mut out);
        for output in std::mem::take(&mut out) {
            if let Output::Peer { to, .. } = output {
                frames += 1;
                node.handle(now, peers.answer(to, tail), &mut out);
                out.clear();
            }
        }
    }
    let percent = millis(start) / f64::from(SECONDS) / 10.0;
    let bound = Bound::AtMost(CORE_PERCENT);
    let name = format!("core at rest, {at}");
    report.bounded(&name, percent, "%", bound, "letter 1: 4.2%");
    report.figure(
        &format!("  frames per second, {at}"),
        frames as f64 / f64::from(SECONDS),
        "1/s",
    );
    let bound = Bound::AtMost(MEMORY_MB);
    let name = format!("memory, {at}");
    report.bounded(
        &name,
        (resident() - before) / 1e6,
        "MB",
        bound,
        "letter 1: 64 MB",
    );
}

/// The other routers, which answer each frame with a heartbeat.
struct Peers {
    routers: u32,
    sequence: u64,
}

impl Peers {
    fn answer(&mut self, from: RouterId, applied: Offset) -> Input {
        self.sequence += 1;
        let row = |id| Row {
            router: RouterId(id),
            incarnation: Incarnation(1),
            version: 1,
            condition: Condition::Ready,
            address: format!("127.1.{}.{}:8000", id / 250, id % 250),
            capacity: 1_000,
        };
        let all = (2..=self.routers).map(row);
        let heartbeat = Heartbeat {
            echo: 1,
            applied,
            current_age_ms: 0,
            log_down: false,
            wants_rows: false,
            rows: all
                .take(if self.sequence <= 8 { usize::MAX } else { 0 })
                .collect(),
        };
        let parts = vec![Part::Heartbeat(heartbeat)];
        let (incarnation, sequence) = (Incarnation(1), self.sequence);
        let frame = Frame {
            from,
            incarnation,
            sequence,
            parts,
        };
        Input::Peer {
            from,
            bytes: frame.encode(),
        }
    }
}

fn records(organisations: u32, targets: u32) -> Vec<LogRecord> {
    let data_centres = (0..9).map(|index| {
        Entry::DataCentre(DataCentre {
            name: format!("d{index}"),
            region: format!("r{}", index % 3),
            state: DataCentreState::In,
        })
    });
    let pools = (0..11).map(|index| {
        Entry::Pool(Pool {
            name: format!("p{index}"),
            bounds: Bounds::default(),
            service: Service::Model,
            autoscale: None,
        })
    });
    let targets = (0..targets).map(|index| {
        Entry::Target(Target {
            name: format!("t{index}"),
            vm: 1_000 + index,
            address: format!("127.0.{}.{}:9000", index / 250, index % 250),
            data_centre: format!("d{}", index % 9),
            pool: format!("p{}", index % 11),
            version: "v1".to_owned(),
            slots: 8,
            checks_fence: false,
        })
    });
    let organisations = (0..organisations).map(|index| {
        Entry::Organisation(Organisation {
            name: format!("organisation-{index}"),
            owner: "somebody@example.org".to_owned(),
            class: Class::Interactive,
            weight: 1,
            limits: Limits::default(),
            tokens_sha256: vec![format!("{index:064x}")],
        })
    });
    let entries = data_centres
        .chain(pools)
        .chain(targets)
        .chain(organisations);
    let record = |(offset, entry)| {
        let edit = Edit::put(uuid::Uuid::from_u128(offset as u128 + 1), None, entry);
        let bytes = Record::Edit(edit).encode();
        LogRecord {
            offset: Offset(offset as u64),
            at: Time::from_millis(1_800_000_000_000),
            bytes,
        }
    };
    entries.enumerate().map(record).collect()
}

fn vms(routers: u32) -> Vec<Vm> {
    let vm = |id| Vm {
        id,
        role: VmRole::Router,
        address: format!("127.1.{}.{}:7000", id / 250, id % 250),
        data_centre: format!("d{}", id % 9),
        leaving: false,
    };
    (1..=routers).map(vm).collect()
}

fn millis(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e3
}

/// Returns the resident memory of this process in bytes.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * 4_096.0
}
