//! Builds changes of entries from their current content and the operator's arguments.

use std::path::Path;

use bulrushtrestle_core::catalogue::entry::{
    Bounds, DataCentre, DataCentreState, Entry, Kind, Limits, Move, Organisation, Pool, Service,
    Target,
};
use bulrushtrestle_core::catalogue::message::Change;
use bulrushtrestle_core::catalogue::{Catalogue, check};
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::request::Class;
use bulrushtrestle_core::time::Time;
use sha2::{Digest, Sha256};

use crate::args::{OrganisationPut, TargetPut, VersionMove, kind_name};
use crate::error::Error;

/// A change of an entry, based on a known revision of the entry.
#[derive(Debug)]
pub(crate) struct PendingChange {
    /// The revision that the change replaces; `None` if there is no entry.
    pub(crate) replaces: Option<Offset>,
    /// The new content, or the removal.
    pub(crate) change: Change,
}

/// Returns the change that applies the operator's arguments to an organisation; `None` if nothing
/// changes.
///
/// # Errors
///
/// Fails with the field that is missing or out of range.
pub(crate) fn organisation(
    catalogue: &Catalogue,
    put: OrganisationPut,
) -> Result<Option<PendingChange>, Error> {
    let current = match current_entry(catalogue, Kind::Organisation, &put.name) {
        Some(Entry::Organisation(entry)) => Some(entry.clone()),
        _ => None,
    };
    let current = match current {
        Some(current) => current,
        None => Organisation {
            name: put.name.clone(),
            owner: required("--owner", put.owner.clone())?,
            class: Class::default(),
            weight: 1,
            limits: Limits::default(),
            tokens_sha256: Vec::new(),
        },
    };
    let digests = token_digests(&put)?;
    let entry = Organisation {
        name: put.name,
        owner: put.owner.unwrap_or(current.owner),
        class: put.class.unwrap_or(current.class),
        weight: put.weight.unwrap_or(current.weight),
        limits: Limits {
            waiting: put.waiting.unwrap_or(current.limits.waiting),
            running: put.running.unwrap_or(current.limits.running),
            wait_ms: put.wait_ms.unwrap_or(current.limits.wait_ms),
        },
        tokens_sha256: if digests.is_empty() {
            current.tokens_sha256
        } else {
            digests
        },
    };
    change_to(catalogue, Entry::Organisation(entry))
}

/// Returns the change that applies the operator's arguments to a pool; `None` if nothing changes.
///
/// # Errors
///
/// Fails with the field that is out of range.
pub(crate) fn pool(
    catalogue: &Catalogue,
    name: String,
    service: Service,
) -> Result<Option<PendingChange>, Error> {
    let (bounds, autoscale) = match current_entry(catalogue, Kind::Pool, &name) {
        Some(Entry::Pool(entry)) => (entry.bounds, entry.autoscale),
        _ => (Bounds::default(), None),
    };
    let entry = Pool {
        name,
        service,
        bounds,
        autoscale,
    };
    change_to(catalogue, Entry::Pool(entry))
}

/// Returns the change that applies the operator's arguments to a target; `None` if nothing changes.
///
/// # Errors
///
/// Fails with the field that is missing, out of range, or refers to an entry that does not exist.
pub(crate) fn target(
    catalogue: &Catalogue,
    put: TargetPut,
) -> Result<Option<PendingChange>, Error> {
    let current = match current_entry(catalogue, Kind::Target, &put.name) {
        Some(Entry::Target(entry)) => Some(entry.clone()),
        _ => None,
    };
    let current = current.as_ref();
    let entry = Target {
        name: put.name,
        vm: required("--vm", put.vm.or(current.map(|entry| entry.vm)))?,
        address: required(
            "--address",
            put.address.or(current.map(|entry| entry.address.clone())),
        )?,
        data_centre: required(
            "--data-centre",
            put.data_centre
                .or(current.map(|entry| entry.data_centre.clone())),
        )?,
        pool: required(
            "--pool",
            put.pool.or(current.map(|entry| entry.pool.clone())),
        )?,
        version: required(
            "--version",
            put.version.or(current.map(|entry| entry.version.clone())),
        )?,
        slots: required("--slots", put.slots.or(current.map(|entry| entry.slots)))?,
        checks_fence: put
            .checks_fence
            .or(current.map(|entry| entry.checks_fence))
            .unwrap_or_default(),
    };
    check_reference(catalogue, "--pool", Kind::Pool, &entry.pool)?;
    check_reference(
        catalogue,
        "--data-centre",
        Kind::DataCentre,
        &entry.data_centre,
    )?;
    change_to(catalogue, Entry::Target(entry))
}

/// Returns the change that sets the region or the state of a data centre; `None` if nothing changes.
/// A field that is not given keeps its value. A new data centre is in service.
///
/// # Errors
///
/// Fails if the data centre does not exist and no region is given, or if a field is out of range.
pub(crate) fn data_centre(
    catalogue: &Catalogue,
    name: String,
    region: Option<String>,
    state: Option<DataCentreState>,
) -> Result<Option<PendingChange>, Error> {
    let current = catalogue.data_centre_by_name(&name).map(|(_, entry)| entry);
    let region = region.or_else(|| current.map(|entry| entry.region.clone()));
    let Some(region) = region else {
        return Err(no_such_entry(Kind::DataCentre, &name));
    };
    let state = state
        .or(current.map(|entry| entry.state))
        .unwrap_or(DataCentreState::In);
    change_to(
        catalogue,
        Entry::DataCentre(DataCentre {
            name,
            region,
            state,
        }),
    )
}

/// Returns the change that starts a version move or changes the one in progress; `None` if nothing
/// changes.
///
/// # Errors
///
/// Fails with the field that is out of range or refers to an entry that does not exist.
pub(crate) fn version_move(
    catalogue: &Catalogue,
    put: VersionMove,
    now: Time,
) -> Result<Option<PendingChange>, Error> {
    check_reference(catalogue, "pool", Kind::Pool, &put.pool)?;
    let entry = Move {
        pool: put.pool,
        from: put.from,
        to: put.to,
        finish_at: now + put.finish_in.0,
    };
    change_to(catalogue, Entry::Move(entry))
}

/// Returns the change that removes an entry.
///
/// # Errors
///
/// Fails if there is no such entry.
pub(crate) fn removal(
    catalogue: &Catalogue,
    kind: Kind,
    name: String,
) -> Result<PendingChange, Error> {
    match catalogue.stored(kind, &name) {
        Some(stored) if stored.entry.is_some() => Ok(PendingChange {
            replaces: Some(stored.revision),
            change: Change::Remove { kind, name },
        }),
        _ => Err(no_such_entry(kind, &name)),
    }
}

fn change_to(catalogue: &Catalogue, entry: Entry) -> Result<Option<PendingChange>, Error> {
    check(&entry)?;
    let stored = catalogue.stored(entry.kind(), entry.name());
    if stored.is_some_and(|stored| stored.entry.as_ref() == Some(&entry)) {
        return Ok(None);
    }
    Ok(Some(PendingChange {
        replaces: stored.map(|stored| stored.revision),
        change: Change::Put { entry },
    }))
}

fn current_entry<'a>(catalogue: &'a Catalogue, kind: Kind, name: &str) -> Option<&'a Entry> {
    catalogue.stored(kind, name)?.entry.as_ref()
}

fn required<T>(option: &str, value: Option<T>) -> Result<T, Error> {
    value.ok_or_else(|| Error::field(option, "is needed to create the entry"))
}

fn check_reference(
    catalogue: &Catalogue,
    option: &str,
    kind: Kind,
    name: &str,
) -> Result<(), Error> {
    match current_entry(catalogue, kind, name) {
        Some(_) => Ok(()),
        None => Err(Error::field(
            option,
            format!("there is no {} {name}", kind_name(kind)),
        )),
    }
}

fn no_such_entry(kind: Kind, name: &str) -> Error {
    Error::field("name", format!("there is no {} {name}", kind_name(kind)))
}

fn token_digests(put: &OrganisationPut) -> Result<Vec<String>, Error> {
    let mut digests = put.token_sha256.clone();
    for file in &put.token_file {
        digests.push(token_digest(file)?);
    }
    Ok(digests)
}

fn token_digest(file: &Path) -> Result<String, Error> {
    let token = crate::command::read_token(file)?;
    let digest = Sha256::digest(token.as_bytes());
    Ok(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}
