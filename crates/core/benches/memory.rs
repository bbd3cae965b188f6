//! The memory of a router for each thing that it holds, as growth of the resident set.
//!
//! The workspace forbids unsafe code, and so an allocator that counts; with many things of a kind the
//! resident set shows the slope as well.

use std::fs;

use bulrushtrestle_core::catalogue::entry::{
    Bounds, Entry, Limits, Organisation, Pool, Service, Target,
};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::input::{Input, LogEvent, LogRecord, Vm, VmRole};
use bulrushtrestle_core::node::{Config, Node};
use bulrushtrestle_core::once::message::{ClaimBatch, Step, StepKind};
use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

/// The size of a page of memory in bytes.
const PAGE: u64 = 4_096;
const NOW: Time = Time::from_millis(1_800_000_000_000);

fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("the system tells");
    let pages = statm.split_whitespace().nth(1).expect("it has fields");
    pages.parse::<u64>().expect("it is a number") * PAGE
}

struct Bench {
    node: Node,
    offset: u64,
}

impl Bench {
    /// Carries out what adds `count` things of a kind, and prints the growth for each.
    fn measure(&mut self, name: &str, count: u64, add: impl Fn(&mut Self, u64)) {
        let before = resident();
        (0..count).for_each(|n| add(self, n));
        let grown = resident().saturating_sub(before);
        println!("{name}: {} bytes each ({count} of them)", grown / count);
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.handle(NOW, input, &mut out);
    }

    fn record(&mut self, record: &Record) {
        let records = vec![LogRecord {
            offset: Offset(self.offset),
            at: NOW,
            bytes: record.encode(),
        }];
        self.offset += 1;
        self.handle(Input::Log(LogEvent::Read {
            records,
            tail: Offset(self.offset),
            first: Offset(0),
        }));
    }

    fn entry(&mut self, entry: Entry) {
        let id = Uuid::from_u128(u128::from(self.offset) + 1);
        self.record(&Record::Edit(Edit::put(id, None, entry)));
    }
}

fn main() {
    let mut cfg = Config::new(RouterId(1), Incarnation(1));
    cfg.requests_max = usize::MAX;
    let node = Node::new(cfg, NOW, 1);
    let mut bench = Bench { node, offset: 0 };
    bench.entry(Entry::Pool(Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds::default(),
        autoscale: None,
    }));
    bench.measure("organisation", 22_000, |bench, n| {
        bench.entry(Entry::Organisation(Organisation {
            name: format!("organisation-{n}"),
            owner: "somebody".to_owned(),
            class: Class::Interactive,
            weight: 1,
            limits: Limits::default(),
            tokens_sha256: vec![format!("{n:064x}")],
        }));
    });
    bench.measure("queued request", 100_000, |bench, n| {
        let organisation = OrganisationId(1 + (n % 22_000) as u32);
        bench.handle(Input::Request(Request {
            id: RequestId(n),
            organisation,
            pool: PoolId(0),
            class: None,
            repeat: Repeat::Allowed,
            deadline: None,
            prompt_tokens: 10,
            hint_tokens: None,
            fingerprint: Fingerprint(n),
            prefix: None,
            details: RequestDetails::default(),
        }));
    });
    let requests = bench.node.status(NOW).requests;
    assert_eq!(requests, 100_000, "all of them wait");
    bench.measure("idempotency key", 200_000, |bench, n| {
        let high = (NOW.as_millis() + n / 100) << 16 | 0x7000;
        bench.record(&Record::Claims(ClaimBatch {
            router: RouterId(2),
            incarnation: Incarnation(1),
            steps: vec![Step {
                kind: StepKind::Claim,
                organisation: OrganisationId(1),
                key: Uuid::from_u64_pair(high, 1 << 63 | n),
                number: n,
            }],
        }));
    });
    bench.measure("target", 5_200, |bench, n| {
        bench.entry(Entry::Target(Target {
            name: format!("target-{n}"),
            vm: 1_000 + n as u32,
            address: "127.0.0.1:9000".to_owned(),
            data_centre: "a".to_owned(),
            pool: "spare".to_owned(),
            version: "v1".to_owned(),
            slots: 8,
            checks_fence: false,
        }));
    });
    let vms: Vec<Vm> = (2..=430)
        .map(|id| Vm {
            id,
            role: VmRole::Router,
            address: format!("10.0.0.1:{}", 7_000 + id),
            data_centre: "a".to_owned(),
            leaving: false,
        })
        .collect();
    bench.measure("peer", vms.len() as u64, |bench, n| {
        if n == 0 {
            bench.handle(Input::Vms(vms.clone()));
        }
    });
}
