//! How evenly service is shared, how busy slots are, how long short requests wait, and what that costs.
//!
//! All in virtual time over the real decisions, so the figures are the same on every run. Bounds come from
//! the users' pages and from the formula in the documentation of `share`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;
mod report;

use std::process::ExitCode;

use bulrushtrestle_core::prelude::*;
use bulrushtrestle_core::slots::Policy;

use self::fixture::{Load, Setup, Source, Tokens, setup_with, sources_at};
use self::report::{Bound, Report};

const ROUTERS: u32 = 8;
const TARGETS: u32 = 20;
const ORGANISATIONS: u32 = 16;
/// The users' limit of control traffic for one router, in bytes per second.
const CONTROL_BYTES: f64 = 3_000.0;
/// The users' time to the first token for 95 in 100, in milliseconds.
const FIRST_TOKEN: f64 = 610.0;
/// The least part of the usable slots that is busy while work waits, in hundredths.
const IDLE: f64 = 5.0;
const WARM_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(60);

/// The time over which the effect of a fault is measured.
const FAULT: Duration = Duration::from_secs(60);

/// Where the first eight organisations are.
#[derive(Debug, Clone, Copy)]
enum Spread {
    Even,
    /// On one router each; the others are on all.
    Uneven,
}

fn main() -> ExitCode {
    let mut report = Report::new("fairness");
    // The large fleets take as long to simulate as all the rest.
    let sizes = [430, 128, 32, 8].map(|routers| std::thread::spawn(move || traffic(routers)));
    for spread in [Spread::Even, Spread::Uneven] {
        for policy in [
            Policy::Leased,
            Policy::Forwarded,
            Policy::LocalLedger,
            Policy::FixedSplit,
        ] {
            compare(&mut report, policy, spread);
        }
    }
    faults(&mut report);
    for (name, at) in [("one router", 1), ("all routers", ROUTERS)] {
        flood(&mut report, name, at);
    }
    drafts(&mut report);
    for traffic in sizes.into_iter().rev() {
        let traffic = traffic.join().expect("the simulation ends");
        traffic.report(&mut report);
    }
    report.finish()
}

/// Returns sixteen organisations with more work than they get, four of them with twelve times as much
/// open as the others.
fn fleet(policy: Policy, at: Spread) -> Load {
    let setup = setup_with(ROUTERS, TARGETS, ORGANISATIONS, 1, |cfg| {
        cfg.slots.policy = policy;
    });
    let is_at = |organisation: usize, router: u32| match at {
        Spread::Even => true,
        Spread::Uneven => organisation >= 8 || router as usize == organisation % 8 + 1,
    };
    let mut sources = sources_at(&setup, ROUTERS, 40, Tokens::Between(50, 350), is_at);
    let large = &setup.organisations[12..];
    for source in &mut sources {
        if large.contains(&source.organisation) {
            source.open = 120;
        }
    }
    Load::new(setup, sources)
}

fn allowed() -> f64 {
    let slots = TARGETS * 8;
    fixture::Bound::new(slots, ORGANISATIONS, ROUTERS, 350).tokens(1, 1)
}

fn compare(report: &mut Report, policy: Policy, at: Spread) {
    let mut load = fleet(policy, at);
    load.run(WARM_UP);
    load.start_measuring();
    let (messages, bytes) = (load.fleet().messages, load.fleet().bytes);
    load.run(MEASURED);
    let per = |count: u64| count as f64 / MEASURED.as_secs_f64() / f64::from(ROUTERS);
    let name = |what: &str| format!("{what}, {at:?}, {policy:?}").to_lowercase();
    let mean = load.gaps.iter().sum::<f64>() / load.gaps.len().max(1) as f64;
    let last = load.gaps.last().copied().unwrap_or(0.0);
    let idle = 100.0 - load.utilisation() * 100.0;
    if policy == Policy::Leased {
        let bound = Bound::AtMost(allowed());
        report.bounded(
            &name("worst gap"),
            load.max_gap.0,
            "tokens",
            bound,
            "formula in share",
        );
        let bound = Bound::AtMost(IDLE);
        report.bounded(
            &name("idle slots"),
            idle,
            "%",
            bound,
            "95% busy while work waits",
        );
    } else {
        report.figure(&name("worst gap"), load.max_gap.0, "tokens");
        report.figure(&name("idle slots"), idle, "%");
    }
    report.figure(&name("mean gap"), mean, "tokens");
    report.figure(&name("gap at the end"), last, "tokens");
    report.figure(
        &name("messages per router"),
        per(load.fleet().messages - messages),
        "1/s",
    );
    report.figure(
        &name("bytes per router"),
        per(load.fleet().bytes - bytes),
        "B/s",
    );
}

/// A router restarts empty; three routers are cut off for 30 s.
fn faults(report: &mut Report) {
    let mut load = fleet(Policy::Leased, Spread::Uneven);
    load.run(WARM_UP);
    load.start_measuring();
    load.fleet().kill(RouterId(3));
    load.drop_requests_at(RouterId(3));
    load.fleet().restart(RouterId(3));
    load.run(FAULT);
    let bound = Bound::AtMost(allowed());
    report.bounded(
        "worst gap, a router restarts empty",
        load.max_gap.0,
        "tokens",
        bound,
        "formula",
    );
    let idle = 100.0 - load.utilisation() * 100.0;
    let bound = Bound::AtMost(IDLE);
    report.bounded(
        "idle slots, a router restarts empty",
        idle,
        "%",
        bound,
        "95% busy",
    );

    let mut load = fleet(Policy::Leased, Spread::Uneven);
    load.run(WARM_UP);
    let group: Vec<RouterId> = (6..=8).map(RouterId).collect();
    load.fleet().partition(&group);
    load.start_measuring();
    load.run(Duration::from_secs(30));
    report.figure("worst gap, during a partition", load.max_gap.0, "tokens");
    report.figure(
        "idle slots, during a partition",
        100.0 - load.utilisation() * 100.0,
        "%",
    );
    load.fleet().partition(&[]);
    load.run(Duration::from_secs(5));
    load.start_measuring();
    load.run(FAULT);
    let catch_up = load.setup.fleet.hosts[&RouterId(1)].cfg.share.catch_up.0 as f64 / 1e3;
    let bound = Bound::AtMost(allowed() + catch_up);
    report.bounded(
        "worst gap, after a partition",
        load.max_gap.0,
        "tokens",
        bound,
        "formula",
    );
    let over = f64::from(load.fleet().overload());
    let bound = Bound::AtMost(0.0);
    report.bounded(
        "requests over a target's limit",
        over,
        "",
        bound,
        "limit of a target",
    );
}

fn wait(report: &mut Report, name: &str, load: &Load, organisation: OrganisationId) {
    let millis = |part| load.wait(organisation, part).as_secs_f64() * 1e3;
    let bound = Bound::AtMost(FIRST_TOKEN);
    let text = format!("p95 wait of a short request, {name}");
    report.bounded(&text, millis(0.95), "ms", bound, "letter 1: first token");
    report.figure(
        &format!("p99 wait of a short request, {name}"),
        millis(0.99),
        "ms",
    );
}

/// One organisation sends as much as its queues refuse; a small one sends one request at a time.
fn flood(report: &mut Report, name: &str, routers: u32) {
    let mut load = fleet(Policy::Leased, Spread::Even);
    let (small, floods) = (load.setup.organisations[0], load.setup.organisations[1]);
    beside(&mut load, small);
    for source in &mut load.sources {
        if source.organisation == floods {
            source.open = if source.router.0 <= routers { 220 } else { 0 };
        }
    }
    load.run(WARM_UP);
    load.start_measuring();
    load.run(MEASURED / 2);
    wait(report, &format!("flood at {name}"), &load, small);
    let refused = load.refusals as f64 / (MEASURED / 2).as_secs_f64();
    report.figure(&format!("refusals, flood at {name}"), refused, "1/s");
}

/// Everybody sends long drafts; a small one asks short questions.
fn drafts(report: &mut Report) {
    let mut load = fleet(Policy::Leased, Spread::Even);
    let small = load.setup.organisations[0];
    for source in &mut load.sources {
        source.class = Some(Class::Batch);
        source.tokens = Tokens::Between(1_000, 2_000);
    }
    beside(&mut load, small);
    load.run(WARM_UP);
    load.start_measuring();
    load.run(MEASURED);
    wait(report, "behind long drafts", &load, small);
}

/// Leaves an organisation one short request at a time at one router.
fn beside(load: &mut Load, small: OrganisationId) {
    let small = |source: &mut Source| {
        if source.organisation == small {
            source.open = usize::from(source.router == RouterId(1));
            source.class = Some(Class::Interactive);
            source.tokens = Tokens::Between(10, 30);
        }
    };
    load.sources.iter_mut().for_each(small);
}

/// Control traffic of one router of a fleet.
struct Traffic {
    routers: u32,
    /// Bytes per second.
    bytes: f64,
    /// Messages per second.
    messages: f64,
    /// Slots that were idle, in hundredths, where targets had time to warm up.
    idle: Option<f64>,
}

impl Traffic {
    fn report(&self, report: &mut Report) {
        let routers = self.routers;
        let name = format!("control bytes under load, {routers} routers");
        let bound = Bound::AtMost(CONTROL_BYTES);
        report.bounded(&name, self.bytes, "B/s", bound, "letter 1: 3 KB/s");
        let name = format!("control messages under load, {routers} routers");
        report.figure(&name, self.messages, "1/s");
        if let Some(idle) = self.idle {
            let bound = Bound::AtMost(IDLE);
            let name = format!("idle slots, {routers} routers");
            report.bounded(&name, idle, "%", bound, "95% busy");
        }
    }
}

/// Measures all control traffic of a fleet with five backlogged organisations for each router, at three
/// routers each.
fn traffic(routers: u32) -> Traffic {
    let setup = setup_with(routers, routers, routers * 5, 1, |_| {});
    let sources = homes(&setup, routers);
    let mut load = Load::new(setup, sources);
    // Large fleets are slow to simulate; their targets are still warming up when this begins.
    let warm = routers <= 32;
    load.run(if warm {
        WARM_UP
    } else {
        Duration::from_secs(3)
    });
    load.start_measuring();
    let time = Duration::from_secs(4);
    let (messages, bytes) = (load.fleet().messages, load.fleet().bytes);
    load.run(time);
    let per = |count: u64| count as f64 / time.as_secs_f64() / f64::from(routers);
    Traffic {
        routers,
        bytes: per(load.fleet().bytes - bytes),
        messages: per(load.fleet().messages - messages),
        idle: warm.then(|| 100.0 - load.utilisation() * 100.0),
    }
}

fn homes(setup: &Setup, routers: u32) -> Vec<Source> {
    let pairs = setup.organisations.iter().flat_map(|&organisation| {
        let shard = bulrushtrestle_core::share::shard_of(organisation);
        let key = u64::from(shard) << 8;
        let ranked = bulrushtrestle_core::membership::ranking(key, (1..=routers).map(RouterId));
        ranked
            .into_iter()
            .take(3)
            .map(move |router| (organisation, router))
    });
    let source = |(organisation, router)| Source {
        organisation,
        router,
        open: 3,
        class: None,
        tokens: Tokens::Between(50, 350),
        hint: None,
        active: true,
    };
    pairs.map(source).collect()
}
