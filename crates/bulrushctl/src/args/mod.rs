//! Command-line arguments and the environment variables that replace some of them.

mod entry;
mod value;

use std::path::PathBuf;

use argh::FromArgs;

pub(crate) use self::entry::{
    DataCentre, DataCentreAction, Organisation, OrganisationAction, OrganisationPut, Pool,
    PoolAction, Target, TargetAction, TargetPut, Version, VersionAction, VersionMove,
};
pub(crate) use self::value::{KindName, Span, kind_name};
use crate::http::BaseUrl;

/// The environment variable that is used if `--log` is absent.
const LOG_VARIABLE: &str = "BULRUSHCTL_LOG";
/// The environment variable that is used if `--router` is absent.
const ROUTER_VARIABLE: &str = "BULRUSHCTL_ROUTER";

/// Operates a bulrushtrestle fleet: edits its catalogue, shows its status, checks files, runs load.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 another edit won, \
            4 unreachable or outcome unknown."
)]
pub(crate) struct Args {
    /// the log service, such as http://127.0.0.1:7000 (from BULRUSHCTL_LOG)
    #[argh(option)]
    pub(crate) log: Option<BaseUrl>,
    /// a file with the log service's bearer token
    #[argh(option)]
    pub(crate) log_token_file: Option<PathBuf>,
    /// the operators' listener of a router, such as http://127.0.0.1:9000 (from BULRUSHCTL_ROUTER)
    #[argh(option)]
    pub(crate) router: Option<BaseUrl>,
    /// a file with the operators' bearer token
    #[argh(option)]
    pub(crate) router_token_file: Option<PathBuf>,
    /// the author of the edit, shown to other operators (from USER)
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// how long to retry before the command fails (10s)
    #[argh(option, default = "Span::from_secs(10)")]
    pub(crate) timeout: Span,
    /// print JSON for scripts
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Organisation(Organisation),
    Pool(Pool),
    Target(Target),
    DataCentre(DataCentre),
    Version(Version),
    Get(Get),
    Status(Status),
    Watch(Watch),
    Check(Check),
    Load(Load),
}

/// Shows entries of the catalogue as recorded on the log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// organisation, pool, target, data-centre or version; all if left out
    #[argh(positional)]
    pub(crate) kind: Option<KindName>,
    /// the name of one entry
    #[argh(option)]
    pub(crate) name: Option<String>,
}

/// Shows the status of a router.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Follows a version move until it finishes or is rolled back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct Watch {
    /// the pool whose version moves
    #[argh(positional)]
    pub(crate) pool: String,
    /// the version that the pool moves to; distinguishes a new move from an earlier one (any)
    #[argh(option)]
    pub(crate) to: Option<String>,
    /// how long to follow the move before the command fails (until the move ends)
    #[argh(option)]
    pub(crate) within: Option<Span>,
}

/// Checks a file without changing anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the JSON file: an entry, a list of entries, or a load experiment
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Runs a load experiment against routers on this machine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// the JSON file that describes the experiment
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// where to write the report as JSON
    #[argh(option)]
    pub(crate) report: Option<PathBuf>,
    /// fail if a request gets neither a complete answer nor a refusal, or if an organisation gets
    /// no complete answer
    #[argh(switch)]
    pub(crate) strict: bool,
    /// where to write the plot as SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// The result of parsing a command line.
pub(crate) enum Parsed {
    /// Run a command.
    Run(Box<Args>),
    /// Print this help text and exit with success.
    Help(String),
    /// Print this text and exit with the code for wrong usage.
    UsageError(String),
}

/// Parses a command line. The first argument is the name of the program.
pub(crate) fn parse(args: impl Iterator<Item = String>) -> Parsed {
    let args: Vec<String> = args.skip(1).collect();
    let borrowed: Vec<&str> = args.iter().map(String::as_str).collect();
    match Args::from_args(&["bulrushctl"], &borrowed) {
        Ok(args) => match args.with_environment(|name| std::env::var(name).ok()) {
            Ok(args) => Parsed::Run(Box::new(args)),
            Err(text) => Parsed::UsageError(text),
        },
        Err(exit) if exit.status.is_ok() => Parsed::Help(exit.output + "\n"),
        Err(exit) => Parsed::UsageError(exit.output + "\n"),
    }
}

impl Args {
    /// Takes options that the command line does not set from environment variables.
    fn with_environment(mut self, get: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let url_from = |name: &str| {
            let text = get(name).filter(|text| !text.is_empty());
            text.map(|text| text.parse().map_err(|err| format!("{name}: {err}\n")))
                .transpose()
        };
        if self.log.is_none() {
            self.log = url_from(LOG_VARIABLE)?;
        }
        if self.router.is_none() {
            self.router = url_from(ROUTER_VARIABLE)?;
        }
        if self.author.is_none() {
            self.author = get("USER");
        }
        Ok(self)
    }
}
