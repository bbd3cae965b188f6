//! Applies the records of the log to a catalogue, as every router does.

use std::collections::HashMap;
use std::time::Duration;

use bulrushtrestle_core::catalogue::message::{Edit, Page, Stored};
use bulrushtrestle_core::catalogue::{Applied, Catalogue};
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

use super::log::{Log, LogRecord};
use crate::http::{Client, Error};

/// The catalogue with the records of the log applied up to an offset.
#[derive(Debug, Default)]
pub(crate) struct Fold {
    catalogue: Catalogue,
    next: Offset,
    tracked: Option<TrackedEdit>,
    /// The authors of the edits that were read, by the id of the edit.
    authors: HashMap<Uuid, String>,
}

/// An edit of this command, whose outcome is recorded when the log is read.
#[derive(Debug)]
struct TrackedEdit {
    id: Uuid,
    outcome: Option<(Offset, Applied)>,
}

impl Fold {
    /// Reads the log up to its tail. If a router is given, its copy of the catalogue saves reading
    /// the log from its beginning. If the router does not answer, the whole log is read.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub(crate) async fn read(log: &Log, router: Option<&Client>) -> Result<Self, Error> {
        let mut fold = match router {
            Some(router) => Self::fetch(router).await.unwrap_or_default(),
            None => Self::default(),
        };
        fold.catch_up(log).await?;
        Ok(fold)
    }

    /// Copies the catalogue of a router, page by page.
    async fn fetch(router: &Client) -> Result<Self, Error> {
        let mut page: Page = router.get("/catalogue").await?;
        // Changes made while the pages are read are on the log from this offset on.
        let next = page.applied;
        let mut catalogue = Catalogue::new();
        while let Some(last) = page.entries.last().map(|stored| stored.created) {
            for copy in &page.entries {
                catalogue.merge(copy);
            }
            page = router.get(&format!("/catalogue?after={}", last.0)).await?;
        }
        Ok(Self {
            catalogue,
            next,
            ..Self::default()
        })
    }

    /// Continues reading up to the tail of the log.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub(crate) async fn catch_up(&mut self, log: &Log) -> Result<(), Error> {
        loop {
            let page = log.read(self.next, Duration::ZERO).await?;
            if self.next > page.tail {
                // The router's catalogue comes from another log.
                *self = Self::default();
                continue;
            }
            if page.first > self.next {
                self.restart_from(page.first);
            }
            for record in &page.records {
                self.apply_record(record);
            }
            if self.next >= page.tail || page.records.is_empty() {
                self.catalogue.on_tail_reached();
                return Ok(());
            }
        }
    }

    /// Records the outcome of the edit with this id when the edit is read.
    pub(crate) fn track(&mut self, id: Uuid) {
        self.tracked = Some(TrackedEdit { id, outcome: None });
    }

    /// Takes the offset and outcome of the tracked edit; `None` if the edit was not read yet.
    pub(crate) fn take_outcome(&mut self) -> Option<(Offset, Applied)> {
        self.tracked.as_mut()?.outcome.take()
    }

    pub(crate) const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the author of the edit that gave an entry its content, if that edit was read.
    pub(crate) fn author(&self, stored: &Stored) -> Option<&str> {
        self.authors.get(&stored.edit).map(String::as_str)
    }

    /// Applies a record. A record that was applied before is skipped.
    pub(super) fn apply_record(&mut self, record: &LogRecord) {
        if record.offset < self.next {
            return;
        }
        self.next = Offset(record.offset.0 + 1);
        match Record::decode(record.body.as_bytes()) {
            Ok(Record::Edit(edit)) => self.apply_edit(record.offset, edit),
            Ok(Record::Refresh(refresh)) => {
                for copy in &refresh.entries {
                    self.catalogue.merge(copy);
                }
            }
            // Other records do not concern the catalogue. Routers skip invalid records too.
            Ok(_) | Err(_) => {}
        }
    }

    /// Restarts at the oldest record on the log, because the log has dropped records that were not
    /// read.
    fn restart_from(&mut self, first: Offset) {
        self.next = first;
        self.catalogue = Catalogue::with_truncated_log();
    }

    fn apply_edit(&mut self, offset: Offset, edit: Edit) {
        let applied = self.catalogue.apply(offset, &edit);
        // If an edit was appended more than once, its first record decides.
        if let Some(tracked) = &mut self.tracked
            && tracked.id == edit.id
            && tracked.outcome.is_none()
        {
            tracked.outcome = Some((offset, applied));
        }
        self.authors.insert(edit.id, edit.author);
    }
}
