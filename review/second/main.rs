//! Stand-ins and checks of the second review's scripts.

#![allow(dead_code, reason = "each case uses a part")]

mod client;
mod drill;
mod evacuate;
mod fleet;
mod herd;
mod http;
mod outage;
mod replaced;
mod rollout;
mod server;
mod setup;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (Some(case), Some(folder), Some(record)) = (args.get(1), args.get(2), args.get(3)) else {
        eprintln!("usage: review-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let (folder, record) = (Path::new(folder), Path::new(record));
    let code = match case.as_str() {
        "evacuate" => evacuate::run(folder, record, trouble),
        "herd" => herd::run(folder, record, trouble),
        "outage" => outage::run(folder, record, trouble),
        "replaced" => replaced::run(folder, record, trouble),
        "drill" => drill::run(folder, record, trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
