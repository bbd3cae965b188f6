//! Stand-ins and checks of the second review's scripts.

#![allow(dead_code, reason = "each case uses a part")]

#[path = "6/case.rs"]
mod replaced;
#[path = "7/case.rs"]
mod evacuate;
#[path = "8/case.rs"]
mod herd;
#[path = "second_client.rs"]
mod client;
#[path = "second_fleet.rs"]
mod fleet;
#[path = "second_http.rs"]
mod http;
#[path = "second_server.rs"]
mod server;
#[path = "second_setup.rs"]
mod setup;
#[path = "second_store.rs"]
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
        "replaced" => replaced::run(folder, record, trouble),
        _ => 2,
    };
    ExitCode::from(code)
}
