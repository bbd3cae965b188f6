//! The commands that edit entries.

use std::path::PathBuf;

use argh::FromArgs;
use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::request::Class;

use super::value::{Span, from_name};

/// Edits organisations.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "organisation")]
pub(crate) struct Organisation {
    #[argh(subcommand)]
    pub(crate) action: OrganisationAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum OrganisationAction {
    Put(OrganisationPut),
    Remove(Remove),
}

/// Creates an organisation, or changes the given fields of an existing one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct OrganisationPut {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
    /// who is responsible for the organisation; required to create it
    #[argh(option)]
    pub(crate) owner: Option<String>,
    /// interactive or batch (interactive)
    #[argh(option, from_str_fn(from_name))]
    pub(crate) class: Option<Class>,
    /// the weight of its share of the capacity, relative to other organisations, 1 to 1000 (1)
    #[argh(option)]
    pub(crate) weight: Option<u32>,
    /// requests that may wait at each router, 1 to 10000 (200)
    #[argh(option)]
    pub(crate) waiting: Option<u32>,
    /// requests that may run at each router, 1 to 10000 (1000)
    #[argh(option)]
    pub(crate) running: Option<u32>,
    /// the maximum time in the queue in milliseconds, 100 to 3600000 (60000)
    #[argh(option)]
    pub(crate) wait_ms: Option<u32>,
    /// a file with a bearer token; replaces the current tokens; may be repeated
    #[argh(option)]
    pub(crate) token_file: Vec<PathBuf>,
    /// the SHA-256 digest of a bearer token; replaces the current tokens; may be repeated
    #[argh(option)]
    pub(crate) token_sha256: Vec<String>,
}

/// Removes the entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Remove {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
}

/// Edits pools: models and plain services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct Pool {
    #[argh(subcommand)]
    pub(crate) action: PoolAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum PoolAction {
    Put(PoolPut),
    Remove(Remove),
}

/// Creates a pool or changes it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct PoolPut {
    /// the name of the model or the plain service
    #[argh(positional)]
    pub(crate) name: String,
    /// model or plain
    #[argh(option, from_str_fn(from_name))]
    pub(crate) service: Service,
}

/// Edits targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct Target {
    #[argh(subcommand)]
    pub(crate) action: TargetAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum TargetAction {
    Put(TargetPut),
    Remove(Remove),
}

/// Creates a target, or changes the given fields of an existing one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct TargetPut {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
    /// the number of the target's VM; required to create the target
    #[argh(option)]
    pub(crate) vm: Option<u32>,
    /// the IP address and port that the target listens on; required to create the target
    #[argh(option)]
    pub(crate) address: Option<String>,
    /// the target's data centre; required to create the target
    #[argh(option)]
    pub(crate) data_centre: Option<String>,
    /// the pool that the target serves; required to create the target
    #[argh(option)]
    pub(crate) pool: Option<String>,
    /// the version that the target runs; required to create the target
    #[argh(option)]
    pub(crate) version: Option<String>,
    /// the maximum number of concurrent requests, 1 to 4096; required to create the target
    #[argh(option)]
    pub(crate) slots: Option<u32>,
    /// whether the target refuses orders with an outdated fencing number, true or false (false)
    #[argh(option)]
    pub(crate) checks_fence: Option<bool>,
}

/// Edits data centres, takes them out of service and returns them to service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "data-centre")]
pub(crate) struct DataCentre {
    #[argh(subcommand)]
    pub(crate) action: DataCentreAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum DataCentreAction {
    Put(DataCentrePut),
    Out(Out),
    In(In),
    Remove(Remove),
}

/// Creates a data centre that is in service, or changes the region of an existing one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct DataCentrePut {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
    /// the name of its region
    #[argh(option)]
    pub(crate) region: String,
}

/// Takes a data centre out of service: its targets get no new requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub(crate) struct Out {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
}

/// Returns a data centre to service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in")]
pub(crate) struct In {
    /// the name
    #[argh(positional)]
    pub(crate) name: String,
}

/// Moves a pool from one version to another.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct Version {
    #[argh(subcommand)]
    pub(crate) action: VersionAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum VersionAction {
    Move(VersionMove),
    Remove(RemoveMove),
}

/// Starts a version move, or changes the one in progress.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct VersionMove {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: String,
    /// the version that serves the pool now
    #[argh(option)]
    pub(crate) from: String,
    /// the version to move the pool to
    #[argh(option)]
    pub(crate) to: String,
    /// the time within which all traffic moves to the new version, such as 10m
    #[argh(option)]
    pub(crate) finish_in: Span,
}

/// Removes the version move of a pool; its traffic goes to the targets' own versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct RemoveMove {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: String,
}
