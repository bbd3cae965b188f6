//! Stand-ins of the platform's store, of servers and of consumers, for the scripts of the review.
//!
//! `standin CASE RECORD` starts the daemons of the deploy file on loopback addresses, plays the
//! case and writes what was sent, answered and run to the file RECORD. It exits with 0 if the rule
//! held, with 1 if it was broken and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod server;
mod store;
mod traffic;

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The longest time for which a case runs.
const TIME_MAX: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match fleet::Record::create(&args[2]) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {}: {error}", args[2]);
            exit(2);
        }
    };
    let ended = Arc::new(AtomicBool::new(false));
    {
        let (ended, record) = (Arc::clone(&ended), Arc::clone(&record));
        thread::spawn(move || {
            thread::sleep(TIME_MAX);
            if !ended.load(Ordering::SeqCst) {
                record.line("the case took too long");
                record.flush();
                fleet::end_all();
                exit(2);
            }
        });
    }
    record.line(&format!("case={} trouble={trouble}", args[1]));
    let outcome = cases::run(&args[1], trouble, &record);
    ended.store(true, Ordering::SeqCst);
    fleet::end_all();
    let code = match &outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    match outcome {
        Ok(true) => record.line("result: the rule held"),
        Ok(false) => record.line("result: THE RULE WAS BROKEN"),
        Err(error) => record.line(&format!("result: the case could not run: {error}")),
    }
    record.flush();
    exit(code);
}
