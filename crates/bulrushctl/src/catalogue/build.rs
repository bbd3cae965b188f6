//! Building the new content of an entry from the present one and what the operator gave.

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

/// A change of an entry that stands at a revision.
#[derive(Debug)]
pub(crate) struct Changed {
    /// The revision that is replaced.
    pub(crate) replaces: Option<Offset>,
    /// What changes.
    pub(crate) change: Change,
}

/// Returns the change that gives an organisation what the operator asked for; `None` if it has that
/// already.
///
/// # Errors
///
/// Fails with the field that is missing or out of range.
pub(crate) fn organisation(
    catalogue: &Catalogue,
    put: OrganisationPut,
) -> Result<Option<Changed>, Error> {
    let present = match present(catalogue, Kind::Organisation, &put.name) {
        Some(Entry::Organisation(entry)) => Some(entry.clone()),
        _ => None,
    };
    let present = match present {
        Some(present) => present,
        None => Organisation {
            name: put.name.clone(),
            owner: needed("--owner", put.owner.clone())?,
            class: Class::default(),
            weight: 1,
            limits: Limits::default(),
            tokens_sha256: Vec::new(),
        },
    };
    let sums = token_sums(&put)?;
    let entry = Organisation {
        name: put.name,
        owner: put.owner.unwrap_or(present.owner),
        class: put.class.unwrap_or(present.class),
        weight: put.weight.unwrap_or(present.weight),
        limits: Limits {
            waiting: put.waiting.unwrap_or(present.limits.waiting),
            running: put.running.unwrap_or(present.limits.running),
            wait_ms: put.wait_ms.unwrap_or(present.limits.wait_ms),
        },
        tokens_sha256: if sums.is_empty() {
            present.tokens_sha256
        } else {
            sums
        },
    };
    changed(catalogue, Entry::Organisation(entry))
}

/// Returns the change that gives a pool what the operator asked for.
///
/// # Errors
///
/// Fails with the field that is out of range.
pub(crate) fn pool(
    catalogue: &Catalogue,
    name: String,
    service: Service,
) -> Result<Option<Changed>, Error> {
    let bounds = match present(catalogue, Kind::Pool, &name) {
        Some(Entry::Pool(entry)) => entry.bounds,
        _ => Bounds::default(),
    };
    let entry = Pool {
        name,
        service,
        bounds,
    };
    changed(catalogue, Entry::Pool(entry))
}

/// Returns the change that gives a target what the operator asked for.
///
/// # Errors
///
/// Fails with the field that is missing, out of range, or names no entry.
pub(crate) fn target(catalogue: &Catalogue, put: TargetPut) -> Result<Option<Changed>, Error> {
    let present = match present(catalogue, Kind::Target, &put.name) {
        Some(Entry::Target(entry)) => Some(entry.clone()),
        _ => None,
    };
    let present = present.as_ref();
    let entry = Target {
        name: put.name,
        vm: needed("--vm", put.vm.or(present.map(|entry| entry.vm)))?,
        address: needed(
            "--address",
            put.address.or(present.map(|entry| entry.address.clone())),
        )?,
        data_centre: needed(
            "--data-centre",
            put.data_centre
                .or(present.map(|entry| entry.data_centre.clone())),
        )?,
        pool: needed(
            "--pool",
            put.pool.or(present.map(|entry| entry.pool.clone())),
        )?,
        version: needed(
            "--version",
            put.version.or(present.map(|entry| entry.version.clone())),
        )?,
        slots: needed("--slots", put.slots.or(present.map(|entry| entry.slots)))?,
        checks_fence: put
            .checks_fence
            .or(present.map(|entry| entry.checks_fence))
            .unwrap_or_default(),
    };
    refers(catalogue, "--pool", Kind::Pool, &entry.pool)?;
    refers(
        catalogue,
        "--data-centre",
        Kind::DataCentre,
        &entry.data_centre,
    )?;
    changed(catalogue, Entry::Target(entry))
}

/// Returns the change that gives a data centre a region or a state; what is not given stays. A new
/// data centre is in service.
///
/// # Errors
///
/// Fails if the data centre does not exist and no region is given, or if a field is out of range.
pub(crate) fn data_centre(
    catalogue: &Catalogue,
    name: String,
    region: Option<String>,
    state: Option<DataCentreState>,
) -> Result<Option<Changed>, Error> {
    let present = catalogue.data_centre_by_name(&name).map(|(_, entry)| entry);
    let region = region.or_else(|| present.map(|entry| entry.region.clone()));
    let Some(region) = region else {
        return Err(missing(Kind::DataCentre, &name));
    };
    let state = state
        .or(present.map(|entry| entry.state))
        .unwrap_or(DataCentreState::In);
    changed(
        catalogue,
        Entry::DataCentre(DataCentre {
            name,
            region,
            state,
        }),
    )
}

/// Returns the change that starts a version move or changes the one that is under way.
///
/// # Errors
///
/// Fails with the field that is out of range or names no entry.
pub(crate) fn version_move(
    catalogue: &Catalogue,
    put: VersionMove,
    now: Time,
) -> Result<Option<Changed>, Error> {
    refers(catalogue, "pool", Kind::Pool, &put.pool)?;
    let entry = Move {
        pool: put.pool,
        from: put.from,
        to: put.to,
        finish_at: now + put.finish_in.0,
    };
    changed(catalogue, Entry::Move(entry))
}

/// Returns the change that removes an entry.
///
/// # Errors
///
/// Fails if there is no such entry.
pub(crate) fn removal(catalogue: &Catalogue, kind: Kind, name: String) -> Result<Changed, Error> {
    match catalogue.stored(kind, &name) {
        Some(stored) if stored.entry.is_some() => Ok(Changed {
            replaces: Some(stored.revision),
            change: Change::Remove { kind, name },
        }),
        _ => Err(missing(kind, &name)),
    }
}

fn changed(catalogue: &Catalogue, entry: Entry) -> Result<Option<Changed>, Error> {
    check(&entry)?;
    let stored = catalogue.stored(entry.kind(), entry.name());
    if stored.is_some_and(|stored| stored.entry.as_ref() == Some(&entry)) {
        return Ok(None);
    }
    Ok(Some(Changed {
        replaces: stored.map(|stored| stored.revision),
        change: Change::Put { entry },
    }))
}

fn present<'a>(catalogue: &'a Catalogue, kind: Kind, name: &str) -> Option<&'a Entry> {
    catalogue.stored(kind, name)?.entry.as_ref()
}

fn needed<T>(option: &str, value: Option<T>) -> Result<T, Error> {
    value.ok_or_else(|| Error::field(option, "is needed to create the entry"))
}

fn refers(catalogue: &Catalogue, option: &str, kind: Kind, name: &str) -> Result<(), Error> {
    match present(catalogue, kind, name) {
        Some(_) => Ok(()),
        None => Err(Error::field(
            option,
            format!("there is no {} {name}", kind_name(kind)),
        )),
    }
}

fn missing(kind: Kind, name: &str) -> Error {
    Error::field("name", format!("there is no {} {name}", kind_name(kind)))
}

fn token_sums(put: &OrganisationPut) -> Result<Vec<String>, Error> {
    let mut sums = put.token_sha256.clone();
    for file in &put.token_file {
        sums.push(token_sum(file)?);
    }
    Ok(sums)
}

fn token_sum(file: &Path) -> Result<String, Error> {
    let token = crate::command::read_token(file)?;
    let sum = Sha256::digest(token.as_bytes());
    Ok(sum.iter().map(|byte| format!("{byte:02x}")).collect())
}
