//! The router daemon of bulrushtrestle.
//!
//! The daemon makes no decisions itself. It connects sockets with
//! [`Node`](bulrushtrestle_core::node::Node):
//!
//! - one control thread owns the node, the connections to peers and the platform's clients
//!   ([`control`], [`platform`]);
//! - other threads own the connections of callers and to targets, and forward streams between them
//!   without involving the control thread ([`traffic`]);
//! - the operators' listener serves metrics, health and status ([`operators`]).
//!
//! See `docs/DESIGN.md` for the interfaces and `docs/OPERATIONS.md` for the settings.

mod clock;
mod control;
mod listener;
mod logging;
mod metrics;
mod operators;
mod platform;
mod process;
mod settings;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::settings::Settings;

/// The exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// The exit code when the process cannot start or run.
const EXIT_FAILURE: u8 = 1;

/// Run a router of a bulrushtrestle fleet.
#[derive(argh::FromArgs)]
struct Args {
    /// the JSON file with the settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let writer = match logging::start() {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let outcome = process::run(settings);
    writer.finish();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
