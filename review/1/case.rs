//! A rollout is completed and its old servers are stopped; then all processes are killed and start
//! again.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::traffic::{desired_state, Traffic, CLASSES};
use crate::fleet::{wait_ready, Machine, Record};
use crate::http::End;
use crate::server::{Answering, Server, Spec};
use crate::store::Store;

/// The site's `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// The length of a rollout, as in the example of the pages.
const ROLLOUT_S: u64 = 12;
/// For how long the recovery is judged.
const JUDGED: Duration = Duration::from_secs(15);
const MACHINES: usize = 7;
const ZONES: [&str; 3] = ["gent-a", "gent-b", "gent-c"];
const EVENTS: u64 = 10;

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(text)?;
    store.put("keyed.op", "config", Some(desired_state(7, None)));
    let engine: Answering = Arc::new(|server, req, stream| {
        server.stream(req, stream, EVENTS, Duration::from_millis(15))
    });
    let desk: Answering = Arc::new(|server, req, stream| {
        sleep(Duration::from_millis(15));
        server.plain(req, stream, &[b'b'; 800])
    });
    let start = |service, version, count: usize, slots, cold_ms, answering: &Answering| {
        (0..count)
            .map(|index| {
                let spec = Spec {
                    id: format!("i-{service}-{version}-{index}"),
                    service,
                    version,
                    zone: ZONES[index % 3],
                    slots,
                    cold_ms,
                };
                Server::start(spec, &store, record, Arc::clone(answering)).map_err(text)
            })
            .collect::<Result<Vec<_>, _>>()
    };
    let old = start("klok-llm", "v1", 6, 128, 0, &engine)?;
    let desks = start("booking", "v1", 3, 6, 0, &desk)?;
    let machines = Machine::prepare(MACHINES, address).map_err(text)?;
    for machine in &machines {
        machine.start().map_err(text)?;
    }
    wait_ready(&machines, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let judge = Arc::new(|class: &crate::traffic::Class, id: &str, answer: &crate::http::Answer| {
        let stamped = answer.header("server-stamp").is_some_and(|stamp| stamp.ends_with(id));
        let last = format!("piece {EVENTS} of {EVENTS}\n\n");
        let whole = match class.service {
            "booking" => answer.body.len() == 800,
            _ => answer.body.ends_with(last.as_bytes()),
        };
        (answer.status == 200 && answer.end != End::Broken && stamped && whole, false)
    });
    let fronts = machines.iter().map(|machine| machine.front).collect();
    let weights = CLASSES.map(|class| class.weight);
    let traffic = Traffic::start(fronts, weights, 190.0, None, false, judge, record);
    let now = || traffic.started.elapsed();

    sleep(Duration::from_secs(4));
    let new = start("klok-llm", "v2", 6, 128, 3_000, &engine)?;
    let order = format!("{{\"service\":\"klok-llm\",\"target\":\"v2\",\"duration_s\":{ROLLOUT_S}}}");
    store.put("keyed.op", "rollout/klok-llm", Some(order));
    record.line(&format!("the rollout is ordered at={:.3}", now().as_secs_f64()));
    let until = Instant::now() + Duration::from_secs(ROLLOUT_S + 18);
    let status = || store.newest("keyed.status", "rollout/klok-llm").unwrap_or_default();
    while !status().contains("completed") {
        if status().contains("rolled_back") {
            return Err("the good version was rolled back".to_owned());
        }
        if Instant::now() > until {
            return Err(format!("the rollout was not completed: {}", status()));
        }
        sleep(Duration::from_millis(20));
    }
    record.line(&format!("status {} at={:.3}", status(), now().as_secs_f64()));
    for server in &old {
        server.stop();
    }
    record.line("the old servers are stopped");
    sleep(Duration::from_secs(5));
    let (all, served) = traffic.served(now() - Duration::from_secs(4), now() - Duration::from_secs(1));
    record.line(&format!("before the fault: sent={all} served={served}"));
    if served * 4 < all || all < 100 {
        return Err("less than a quarter was served before the fault".to_owned());
    }
    let runs = |servers: &[Arc<Server>]| -> u64 {
        servers.iter().map(|server| server.runs.load(Ordering::SeqCst)).sum()
    };
    if trouble {
        for machine in &machines {
            machine.kill();
        }
        record.line(&format!("all processes are killed at={:.3}", now().as_secs_f64()));
        sleep(Duration::from_millis(1_000));
        for machine in &machines {
            machine.start().map_err(text)?;
        }
    }
    let back = now();
    record.line(&format!("all processes are started at={:.3}", back.as_secs_f64()));
    sleep(RECOVER + JUDGED);
    wait_ready(&machines, Duration::from_secs(2))?;
    let from = back + RECOVER;
    record.line(&format!(
        "status {} at={:.3} runs of klok-llm v1={} v2={} booking={}",
        status(), now().as_secs_f64(), runs(&old), runs(&new), runs(&desks),
    ));
    sleep(Duration::from_secs(3));
    traffic.stop();
    for machine in &machines {
        for line in machine.logged(&["version: ", " version "]).iter().take(40) {
            record.line(&format!("{} logged {line}", machine.ip));
        }
    }
    for class in 0..CLASSES.len() {
        let done = traffic.done.lock().unwrap();
        let sent: Vec<_> = done
            .iter()
            .filter(|it| it.class == class && it.sent >= from && it.sent < from + JUDGED)
            .collect();
        let served = sent.iter().filter(|it| it.served).count();
        let (name, all) = (CLASSES[class].name, sent.len());
        record.line(&format!("after recover_s: class={name} sent={all} served={served}"));
    }
    let (all, served) = traffic.served(from, from + JUDGED);
    let share = served as f64 / all.max(1) as f64;
    record.line(&format!("after recover_s: sent={all} served={served} share={share:.3}"));
    println!("requests sent later than recover_s: {all}, served: {served} ({share:.3})");
    if all < 100 {
        return Err("too few requests".to_owned());
    }
    Ok(served * 4 >= all)
}
