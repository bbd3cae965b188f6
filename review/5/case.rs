//! A server spoils one byte of some of its streams; the pieces after it are sound.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::traffic::{desired_state, Class, Traffic, CLASSES};
use crate::fleet::{wait_ready, Machine, Record};
use crate::http::{Answer, End};
use crate::server::{Answering, Server, Spec};
use crate::store::Store;

const MACHINES: usize = 7;
const ZONES: [&str; 3] = ["gent-a", "gent-b", "gent-c"];
const SERVERS: usize = 6;
/// Two of six servers are faulty; the site's list of troubles has `garble` with a share of 0.35 of
/// the servers, 0.02 of their answers, for 5.5 s.
const FAULTY: usize = 2;
/// Of so many streams a faulty server spoils one.
const SPOILT_EVERY: u64 = 50;
const FAULTY_FOR: Duration = Duration::from_millis(5_500);
const CALM: Duration = Duration::from_secs(5);
const SPELLS: usize = 2;
/// The pieces of a stream.
const EVENTS: u64 = 20;
/// The piece in whose id a byte is spoilt: 12 becomes 92.
const SPOILT: u64 = 12;
const SPOILT_ID: u64 = 92;

/// Returns the data of a piece, by which a caller recognises it.
fn piece(attempt: &str, number: u64) -> String {
    format!("data: {attempt} piece {number} of {EVENTS}\n")
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, address) = Store::start().map_err(text)?;
    store.put("keyed.op", "config", Some(desired_state(7, None)));
    let is_faulty = Arc::new(AtomicBool::new(false));
    let spoilt = Arc::new(AtomicU64::new(0));
    for index in 0..SERVERS {
        let (is_faulty, spoilt) = (Arc::clone(&is_faulty), Arc::clone(&spoilt));
        // The streams of the server while it is faulty.
        let streams = AtomicU64::new(0);
        let engine: Answering = Arc::new(move |server, req, stream| {
            let attempt = req.header("attempt-id").unwrap_or("").to_owned();
            let faulty = index < FAULTY && is_faulty.load(Ordering::SeqCst);
            let spoils = faulty && streams.fetch_add(1, Ordering::SeqCst) % SPOILT_EVERY == SPOILT_EVERY / 2;
            let stamp = server.stamp(&attempt);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
                 Server-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
            for number in 1..=EVENTS {
                sleep(Duration::from_millis(10));
                let id = if spoils && number == SPOILT { SPOILT_ID } else { number };
                let event = format!("id: {id}\n{}\n", piece(&attempt, number));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                is_sent &= stream.write_all(chunk.as_bytes()).is_ok();
            }
            is_sent &= stream.write_all(b"0\r\n\r\n").is_ok();
            if spoils {
                spoilt.fetch_add(1, Ordering::SeqCst);
                let id = &server.spec.id;
                server.record.line(&format!("spoilt one byte of piece {SPOILT}: id={attempt} server={id}, all {EVENTS} pieces sent: {is_sent}"));
            }
            is_sent
        });
        let spec = Spec {
            id: format!("i-klok-llm-{index}"),
            service: "klok-llm",
            version: "v1",
            zone: ZONES[index % 3],
            slots: 128,
            cold_ms: 0,
        };
        Server::start(spec, &store, record, engine).map_err(text)?;
    }
    let machines = Machine::prepare(MACHINES, address).map_err(text)?;
    for machine in &machines {
        machine.start().map_err(text)?;
    }
    wait_ready(&machines, Duration::from_secs(15))?;
    sleep(Duration::from_secs(2));
    let notes = Arc::clone(record);
    let judge = Arc::new(move |_: &Class, id: &str, answer: &Answer| {
        let body = String::from_utf8_lossy(&answer.body);
        let has = |number: &u64| body.contains(&piece(id, *number));
        let missing: Vec<u64> = (1..=EVENTS).filter(|number| !has(number)).collect();
        let success = answer.status == 200 && answer.end == End::Complete;
        let lost = success && !missing.is_empty();
        if lost {
            notes.line(&format!("ORDER id={id}: the stream ends as complete without the pieces {missing:?}"));
        }
        (success && missing.is_empty(), lost)
    });
    let fronts = machines.iter().map(|machine| machine.front).collect();
    let mut weights = CLASSES.map(|class| class.weight);
    // The booking service takes no part.
    weights[3..].fill(0.0);
    let traffic = Traffic::start(fronts, weights, 150.0, None, false, judge, record);
    for _ in 0..SPELLS {
        sleep(CALM);
        is_faulty.store(trouble, Ordering::SeqCst);
        record.line(&format!("{FAULTY} servers of {SERVERS} are faulty: {trouble}"));
        sleep(FAULTY_FOR);
        is_faulty.store(false, Ordering::SeqCst);
        record.line("no server is faulty");
    }
    sleep(CALM);
    traffic.stop();
    let done = traffic.done.lock().unwrap();
    let (all, spoilt) = (done.len(), spoilt.load(Ordering::SeqCst));
    let served = done.iter().filter(|it| it.served).count();
    let lost = done.iter().filter(|it| it.mixed).count();
    let line = format!(
        "streams: {all}, with all pieces: {served}, spoilt by a server in one byte: {spoilt}, complete without pieces that the server sent: {lost}"
    );
    record.line(&line);
    println!("{line}");
    if all < 500 || served * 2 < all || (trouble && spoilt == 0) {
        return Err("the traffic or the disruption did not take place".to_owned());
    }
    Ok(lost == 0)
}
