//! The router daemon of bulrushtrestle.
//!
//! The daemon decides nothing. It carries between sockets and [`Node`](bulrushtrestle_core::node::Node):
//!
//! - one control thread holds the node, the connections to peers and the platform's clients
//!   ([`control`], [`platform`]);
//! - other threads hold the callers' and the targets' connections, and streams flow between these
//!   without touching the control thread ([`traffic`]); where the settings give the traffic one thread, both are
//!   tasks of the same thread;
//! - the operators' listener shows metrics, health and status ([`operators`]).
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
