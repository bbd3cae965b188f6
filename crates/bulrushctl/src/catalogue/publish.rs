//! Publishes an edit and determines its outcome.
//!
//! The response to an append does not show the outcome of the edit. The response can be lost after
//! the append took effect, and an edit that is on the log may have lost against another edit. So the
//! log is read back after each append, and its order decides. A failed append is sent again with the
//! same edit id; an edit is applied once, even if the log holds several records of it.

use std::time::Duration;

use bulrushtrestle_core::catalogue::Applied;
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use tokio::time::Instant;
use uuid::Uuid;

use super::build::PendingChange;
use super::fold::Fold;
use super::log::Log;
use crate::error::{Error, Service, Winner};
use crate::http;

/// The delay before a failed append is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Appends an edit, retrying until its outcome is known, and returns the offset at which it was
/// applied.
///
/// # Errors
///
/// Fails with the current entry if the edit lost against another one. Also fails if the edit is
/// invalid, if the log cannot be reached, or if the outcome is not known after `timeout`.
pub(crate) async fn publish(
    log: &Log,
    fold: &mut Fold,
    change: PendingChange,
    author: String,
    timeout: Duration,
) -> Result<Offset, Error> {
    let deadline = Instant::now() + timeout;
    let edit = Edit {
        id: Uuid::now_v7(),
        replaces: change.replaces,
        change: change.change,
        author,
    };
    fold.track(edit.id);
    let record = Record::Edit(edit.clone());
    let mut may_be_on_log = false;
    loop {
        let append_error = log.append(&record).await.err();
        may_be_on_log |= append_error.as_ref().is_none_or(|err| !err.had_no_effect());
        let read_error = fold.catch_up(log).await.err();
        if let Some((offset, applied)) = fold.take_outcome() {
            return edit_result(fold, &edit, offset, applied);
        }
        if Instant::now() + RESEND_PAUSE >= deadline {
            return Err(timeout_error(
                &edit,
                may_be_on_log,
                append_error.or(read_error),
            ));
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
}

fn edit_result(
    fold: &Fold,
    edit: &Edit,
    offset: Offset,
    applied: Applied,
) -> Result<Offset, Error> {
    match applied {
        Applied::Accepted | Applied::Repeated => Ok(offset),
        Applied::Invalid(err) => Err(err.into()),
        // The log dropped records between the first read and the append, so the entry was read again
        // from the remaining records. The entry shows which edit was applied last.
        Applied::Undecided if is_current(fold, edit) => Ok(offset),
        Applied::Conflict { .. } | Applied::Undecided => Err(conflict_error(fold, edit)),
    }
}

/// Returns whether an entry has the content that the edit gave it.
fn is_current(fold: &Fold, edit: &Edit) -> bool {
    let (kind, name) = edit.change.subject();
    let stored = fold.catalogue().stored(kind, name);
    stored.is_some_and(|stored| stored.edit == edit.id)
}

fn conflict_error(fold: &Fold, edit: &Edit) -> Error {
    let (kind, name) = edit.change.subject();
    match fold.catalogue().stored(kind, name) {
        Some(stored) => Error::conflict(Winner {
            author: fold.author(stored).map(str::to_owned),
            stored: stored.clone(),
        }),
        None => Error::failed("the entry was dropped from the log while it was edited"),
    }
}

fn timeout_error(edit: &Edit, may_be_on_log: bool, err: Option<http::Error>) -> Error {
    let id = edit.id;
    match err {
        Some(err) if !may_be_on_log => Error::unavailable(Service::Log, err),
        Some(err) => Error::unknown(format!(
            "it is not known whether edit {id} was applied, check with `get` before you repeat it: {err}"
        )),
        None => Error::unknown(format!(
            "edit {id} was appended, but has not been read back from the log yet"
        )),
    }
}
