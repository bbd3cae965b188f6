//! A tenant is added whose name has the same 31-bit hash as that of a tenant that is there.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::traffic::HOST;
use crate::client;
use crate::fleet::{wait_ready, Machine, Record};
use crate::server::{Answering, Server, Spec};
use crate::store::Store;

const MACHINES: usize = 3;
const ZONES: [&str; 3] = ["gent-a", "gent-b", "gent-c"];
/// The site's `config_apply_ms` is 2,000; the check waits for longer.
const APPLIED: Duration = Duration::from_secs(4);
const FIRST: [&str; 3] = ["lender-13546", "lender-00002", "lender-00003"];
const ADDED: &str = "lender-15039";
/// The tenant that is added instead without the disruption.
const HARMLESS: &str = "lender-15040";

fn desired_state(version: u64, tenants: &[&str]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"api_keys\":[\"key-of-{name}\"],\"priority\":1}}"))
        .collect();
    let tenants = tenants.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-stock\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/stock-lookup/\",\"kind\":\"idempotent\",\"timeout_ms\":800,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"booking\",\"max_attempts\":2,\
         \"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"booking\",\"health_path\":\"/healthz\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(text)?;
    store.put("keyed.op", "config", Some(desired_state(7, &FIRST)));
    // The tenant whose key each attempt was sent with.
    let sent: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let foreign = Arc::new(AtomicU64::new(0));
    for (index, &zone) in ZONES.iter().enumerate() {
        let (sent, foreign) = (Arc::clone(&sent), Arc::clone(&foreign));
        let desk: Answering = Arc::new(move |server, req, stream| {
            sleep(Duration::from_millis(15));
            let attempt = req.header("attempt-id").unwrap_or("").to_owned();
            let ran_as = req.header("tenant").unwrap_or("-");
            let holder = sent.lock().unwrap().get(&attempt).cloned().unwrap_or_default();
            let is_foreign = ran_as != holder;
            foreign.fetch_add(u64::from(is_foreign), Ordering::SeqCst);
            server.record.line(&format!(
                "run id={attempt} server={} key_of={holder} tenant={ran_as} foreign={is_foreign}",
                server.spec.id,
            ));
            server.plain(req, stream, ran_as.as_bytes())
        });
        let spec = Spec {
            id: format!("i-booking-{index}"),
            service: "booking",
            version: "v1",
            zone,
            slots: 6,
            cold_ms: 0,
        };
        Server::start(spec, &store, record, desk).map_err(text)?;
    }
    let machines = Machine::prepare(MACHINES, address).map_err(text)?;
    for machine in &machines {
        machine.start().map_err(text)?;
    }
    wait_ready(&machines, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let mut number = 0;
    let mut ask = |tenants: &[&str], length: Duration| -> (u64, u64) {
        let until = Instant::now() + length;
        let (mut asked, mut served) = (0, 0);
        while Instant::now() < until {
            for tenant in tenants {
                number += 1;
                let attempt = format!("{:08x}{number:08x}", std::process::id());
                sent.lock().unwrap().insert(attempt.clone(), (*tenant).to_owned());
                let machine = &machines[number % machines.len()];
                let message = format!(
                    "GET /stock-lookup/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
                     Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-{tenant}\r\nConnection: close\r\n\r\n"
                );
                let answer = client::exchange(machine.front, message.as_bytes(), Duration::from_secs(2));
                let status = answer.map_or(0, |answer| answer.status);
                record.line(&format!("answered id={attempt} key_of={tenant} status={status}"));
                asked += 1;
                served += u64::from(status == 200);
                sleep(Duration::from_millis(20));
            }
        }
        (asked, served)
    };
    let (asked, served) = ask(&FIRST, Duration::from_secs(5));
    let before = foreign.load(Ordering::SeqCst);
    record.line(&format!("before the change: asked={asked} served={served} foreign={before}"));
    let added = if trouble { ADDED } else { HARMLESS };
    let all: Vec<&str> = FIRST.iter().copied().chain([added]).collect();
    store.put("keyed.op", "config", Some(desired_state(8, &all)));
    record.line(&format!("version 8 adds the tenant {added}"));
    sleep(APPLIED);
    let (asked_after, served_after) = ask(&all, Duration::from_secs(10));
    let foreign = foreign.load(Ordering::SeqCst);
    let line = format!(
        "with the tenant {added}: asked {asked_after}, served {served_after}, run under the name of a tenant that doesn't hold the key: {}",
        foreign - before
    );
    record.line(&line);
    println!("{line}");
    if asked < 50 || served * 10 < asked * 9 || asked_after < 50 || before > 0 {
        return Err("the traffic did not take place".to_owned());
    }
    Ok(foreign == 0)
}
