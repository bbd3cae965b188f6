//! The operators' command of bulrushtrestle.
//!
//! Operators control the fleet only by editing the catalogue. An edit is one record on the platform's
//! log. This command appends the record and reads the log back to find out whether the edit was
//! applied or lost against another edit. Editing needs no router. `status` and `watch` query the
//! operators' listener of a router, and `load` runs a load experiment against routers on the same
//! machine.
//!
//! See `docs/OPERATIONS.md` for examples.
//!
//! # Exit codes
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | done, or nothing to do |
//! | 1 | failed, or the version move was rolled back |
//! | 2 | wrong usage or invalid input; nothing was changed |
//! | 3 | another edit of the same entry won; nothing was changed |
//! | 4 | the log or the router cannot be reached, or it is not known whether the edit was applied |

mod args;
mod catalogue;
mod check;
mod command;
mod error;
mod http;
mod load;
mod output;
mod status;
mod watch;

use std::process::ExitCode;

use crate::args::Parsed;
use crate::output::Output;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let args = match args::parse(std::env::args()) {
        Parsed::Run(args) => args,
        Parsed::Help(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Parsed::UsageError(text) => {
            eprint!("{text}");
            return ExitCode::from(error::INVALID);
        }
    };
    let out = Output::new(args.json);
    match command::run(*args, &out).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            out.error(&err);
            ExitCode::from(err.exit_code())
        }
    }
}
