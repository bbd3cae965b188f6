//! Runs the command of a parsed command line.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use bulrushtrestle_core::catalogue::entry::{DataCentreState, Kind};
use bulrushtrestle_core::catalogue::message::Stored;
use bulrushtrestle_core::time::Time;
use serde_json::json;

use crate::args::{
    Args, Command, DataCentreAction, Get, OrganisationAction, PoolAction, TargetAction,
    VersionAction,
};
use crate::catalogue::{self, Fold, Log, PendingChange, publish};
use crate::error::{Error, Service};
use crate::http::Client;
use crate::output::{self, Output};
use crate::{check, load, status, watch};

/// The timeout of a command divided by the timeout of one call, so that a call that hangs leaves time
/// for a retry.
const CALLS_PER_TIMEOUT: u32 = 3;

/// Runs a command to its end.
///
/// # Errors
///
/// Fails if the command fails; see the exit codes of the program.
pub(crate) async fn run(args: Args, out: &Output) -> Result<(), Error> {
    match &args.command {
        Command::Get(get) => show(&args, get, out).await,
        Command::Status(_) => status::run(&router(&args)?, out).await,
        Command::Watch(watch) => watch::run(&router(&args)?, watch, args.timeout.0, out).await,
        Command::Check(check) => check::run(&check.file, out),
        Command::Load(args) => load::run(args, out).await,
        _ => edit(args, out).await,
    }
}

/// Reads a bearer token from a file, ignoring white space around the token.
///
/// # Errors
///
/// Fails if the file cannot be read or holds no token.
pub(crate) fn read_token(file: &Path) -> Result<String, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|err| Error::field(file.display().to_string(), err.to_string()))?;
    let token = text.trim();
    let is_token = !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_token {
        return Err(Error::field(
            file.display().to_string(),
            "must hold one token of visible ASCII characters",
        ));
    }
    Ok(token.to_owned())
}

fn log(args: &Args) -> Result<Log, Error> {
    let base = args.log.clone();
    let base = base.ok_or_else(|| Error::field("--log", "is needed, or BULRUSHCTL_LOG"))?;
    let token = args.log_token_file.as_deref().map(read_token).transpose()?;
    Ok(Log::new(Client::new(
        base,
        token,
        args.timeout.0 / CALLS_PER_TIMEOUT,
    )))
}

fn router(args: &Args) -> Result<Client, Error> {
    let base = args.router.clone();
    let base = base.ok_or_else(|| Error::field("--router", "is needed, or BULRUSHCTL_ROUTER"))?;
    let token = args
        .router_token_file
        .as_deref()
        .map(read_token)
        .transpose()?;
    Ok(Client::new(base, token, args.timeout.0 / CALLS_PER_TIMEOUT))
}

async fn read(args: &Args, log: &Log) -> Result<Fold, Error> {
    let router = args.router.is_some().then(|| router(args)).transpose()?;
    Fold::read(log, router.as_ref())
        .await
        .map_err(|err| Error::unavailable(Service::Log, err))
}

async fn show(args: &Args, get: &Get, out: &Output) -> Result<(), Error> {
    let fold = read(args, &log(args)?).await?;
    let wanted = |stored: &&Stored| {
        stored.entry.is_some()
            && get.kind.is_none_or(|kind| kind.0 == stored.kind)
            && get.name.as_deref().is_none_or(|name| name == stored.name)
    };
    let entries: Vec<&Stored> = fold.catalogue().iter().filter(wanted).collect();
    if let (Some(name), true) = (&get.name, entries.is_empty()) {
        return Err(Error::failed(format!(
            "there is no entry {name} of that kind"
        )));
    }
    out.result(&entries, || output::entry_table(entries.iter().copied()));
    Ok(())
}

async fn edit(args: Args, out: &Output) -> Result<(), Error> {
    let log = log(&args)?;
    let mut fold = read(&args, &log).await?;
    let Some(pending) = change(&fold, args.command)? else {
        out.result(&json!({ "outcome": "unchanged" }), || {
            "unchanged".to_owned()
        });
        return Ok(());
    };
    let author = args.author.unwrap_or_default();
    let offset = publish(&log, &mut fold, pending, author, args.timeout.0).await?;
    let result = json!({ "outcome": "applied", "offset": offset });
    out.result(&result, || format!("applied at {offset}"));
    Ok(())
}

/// Returns the change that a command makes; `None` if there is nothing to change.
fn change(fold: &Fold, command: Command) -> Result<Option<PendingChange>, Error> {
    let entries = fold.catalogue();
    let remove = |kind, name| catalogue::removal(entries, kind, name).map(Some);
    match command {
        Command::Organisation(command) => match command.action {
            OrganisationAction::Put(put) => catalogue::organisation(entries, put),
            OrganisationAction::Remove(removed) => remove(Kind::Organisation, removed.name),
        },
        Command::Pool(command) => match command.action {
            PoolAction::Put(put) => catalogue::pool(entries, put.name, put.service),
            PoolAction::Remove(removed) => remove(Kind::Pool, removed.name),
        },
        Command::Target(command) => match command.action {
            TargetAction::Put(put) => catalogue::target(entries, put),
            TargetAction::Remove(removed) => remove(Kind::Target, removed.name),
        },
        Command::DataCentre(command) => match command.action {
            DataCentreAction::Put(put) => {
                catalogue::data_centre(entries, put.name, Some(put.region), None)
            }
            DataCentreAction::Out(out) => {
                catalogue::data_centre(entries, out.name, None, Some(DataCentreState::Out))
            }
            DataCentreAction::In(restored) => {
                catalogue::data_centre(entries, restored.name, None, Some(DataCentreState::In))
            }
            DataCentreAction::Remove(removed) => remove(Kind::DataCentre, removed.name),
        },
        Command::Version(command) => match command.action {
            VersionAction::Move(put) => catalogue::version_move(entries, put, now()),
            VersionAction::Remove(removed) => remove(Kind::Move, removed.pool),
        },
        Command::Get(_)
        | Command::Status(_)
        | Command::Watch(_)
        | Command::Check(_)
        | Command::Load(_) => Ok(None),
    }
}

fn now() -> Time {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
