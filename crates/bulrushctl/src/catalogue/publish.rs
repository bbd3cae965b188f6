//! Publishing an edit and finding out what became of it.
//!
//! The answer to an append says little: it can be lost after the append took effect, and an edit that
//! is on the log may have lost against another one. So the log is read back after each append, and
//! its order decides. An append that failed is sent again with the same id, which applies once however
//! often it is on the log.

use std::time::Duration;

use bulrushtrestle_core::catalogue::Applied;
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use tokio::time::Instant;
use uuid::Uuid;

use super::build::Changed;
use super::fold::Fold;
use super::log::Log;
use crate::error::{Error, Service, Winner};
use crate::http;

/// The pause before a failed append is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Appends an edit until it is known what became of it, and returns the offset at which it applies.
///
/// # Errors
///
/// Fails with the entry that won if the edit lost; otherwise if the log refused the edit, or if it is
/// not known within `within` whether the edit applies.
pub(crate) async fn publish(
    log: &Log,
    fold: &mut Fold,
    change: Changed,
    author: String,
    within: Duration,
) -> Result<Offset, Error> {
    let deadline = Instant::now() + within;
    let edit = Edit {
        id: Uuid::now_v7(),
        replaces: change.replaces,
        change: change.change,
        author,
    };
    fold.follow(edit.id);
    let record = Record::Edit(edit.clone());
    let mut may_be_on_log = false;
    loop {
        let appended = log.append(&record).await.err();
        may_be_on_log |= appended.as_ref().is_none_or(|err| !err.had_no_effect());
        let read = fold.catch_up(log).await.err();
        if let Some((offset, applied)) = fold.outcome() {
            return settle(fold, &edit, offset, applied);
        }
        if Instant::now() + RESEND_PAUSE >= deadline {
            return Err(given_up(&edit, may_be_on_log, appended.or(read)));
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
}

fn settle(fold: &Fold, edit: &Edit, offset: Offset, applied: Applied) -> Result<Offset, Error> {
    match applied {
        Applied::Accepted | Applied::Repeated => Ok(offset),
        Applied::Invalid(err) => Err(err.into()),
        // Records aged out between the first read and the append, so the entry was read again from
        // what is left; it shows whose edit stands.
        Applied::Undecided if stands(fold, edit) => Ok(offset),
        Applied::Conflict { .. } | Applied::Undecided => Err(lost(fold, edit)),
    }
}

fn stands(fold: &Fold, edit: &Edit) -> bool {
    let (kind, name) = edit.change.subject();
    let stored = fold.catalogue().stored(kind, name);
    stored.is_some_and(|stored| stored.edit == edit.id)
}

fn lost(fold: &Fold, edit: &Edit) -> Error {
    let (kind, name) = edit.change.subject();
    match fold.catalogue().stored(kind, name) {
        Some(stored) => Error::conflict(Winner {
            author: fold.author(stored).map(str::to_owned),
            stored: stored.clone(),
        }),
        None => Error::failed("the entry aged out of the log while it was edited"),
    }
}

fn given_up(edit: &Edit, may_be_on_log: bool, err: Option<http::Error>) -> Error {
    let id = edit.id;
    match err {
        Some(err) if !may_be_on_log => Error::unavailable(Service::Log, err),
        Some(err) => Error::unknown(format!(
            "it is not known whether edit {id} applies, look with `get` before you repeat it: {err}"
        )),
        None => Error::unknown(format!(
            "edit {id} was appended, but the log does not show it yet"
        )),
    }
}
