//! Folding the records of the log into the catalogue, as every router does.

use std::collections::HashMap;
use std::time::Duration;

use bulrushtrestle_core::catalogue::message::{Edit, Page, Stored};
use bulrushtrestle_core::catalogue::{Applied, Catalogue};
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

use super::log::{Kept, Log};
use crate::http::{Client, Error};

/// The catalogue up to an offset of the log.
#[derive(Debug, Default)]
pub(crate) struct Fold {
    catalogue: Catalogue,
    next: Offset,
    followed: Option<Followed>,
    /// Who made the edits that were read.
    authors: HashMap<Uuid, String>,
}

/// An edit whose outcome is of interest.
#[derive(Debug)]
struct Followed {
    id: Uuid,
    outcome: Option<(Offset, Applied)>,
}

impl Fold {
    /// Reads the log up to its tail. What a router holds saves reading the log from its beginning; if
    /// the router does not answer, the whole log is read.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub(crate) async fn read(log: &Log, router: Option<&Client>) -> Result<Self, Error> {
        let mut fold = match router {
            Some(router) => Self::ask(router).await.unwrap_or_default(),
            None => Self::default(),
        };
        fold.catch_up(log).await?;
        Ok(fold)
    }

    /// Takes over the catalogue of a router, page by page.
    async fn ask(router: &Client) -> Result<Self, Error> {
        let mut page: Page = router.get("/catalogue").await?;
        // What changes between two pages stands on the log from here on.
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

    /// Reads on up to the tail of the log.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub(crate) async fn catch_up(&mut self, log: &Log) -> Result<(), Error> {
        loop {
            let page = log.read(self.next, Duration::ZERO).await?;
            if self.next > page.tail {
                // The router's catalogue was that of another log.
                *self = Self::default();
                continue;
            }
            if page.first > self.next {
                self.start_over(page.first);
            }
            for record in &page.records {
                self.take(record);
            }
            if self.next >= page.tail || page.records.is_empty() {
                self.catalogue.on_tail_reached();
                return Ok(());
            }
        }
    }

    /// Remembers the outcome of the edit with this id.
    pub(crate) fn follow(&mut self, id: Uuid) {
        self.followed = Some(Followed { id, outcome: None });
    }

    /// Takes the outcome of the edit that is followed, once it was read.
    pub(crate) fn outcome(&mut self) -> Option<(Offset, Applied)> {
        self.followed.as_mut()?.outcome.take()
    }

    pub(crate) const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns who made the edit that gave an entry its content.
    pub(crate) fn author(&self, stored: &Stored) -> Option<&str> {
        self.authors.get(&stored.edit).map(String::as_str)
    }

    /// Takes a record; one that was taken before is skipped.
    pub(super) fn take(&mut self, kept: &Kept) {
        if kept.offset < self.next {
            return;
        }
        self.next = Offset(kept.offset.0 + 1);
        match Record::decode(kept.body.as_bytes()) {
            Ok(Record::Edit(edit)) => self.edit(kept.offset, edit),
            Ok(Record::Refresh(refresh)) => {
                for copy in &refresh.entries {
                    self.catalogue.merge(copy);
                }
            }
            // Other records do not concern the catalogue, and what is no record is skipped by all.
            Ok(_) | Err(_) => {}
        }
    }

    /// Begins at the oldest record that is left, because earlier ones were not read.
    fn start_over(&mut self, first: Offset) {
        self.next = first;
        self.catalogue = Catalogue::with_truncated_log();
    }

    fn edit(&mut self, offset: Offset, edit: Edit) {
        let applied = self.catalogue.apply(offset, &edit);
        // An edit that was appended twice is decided by its first record.
        if let Some(followed) = &mut self.followed
            && followed.id == edit.id
            && followed.outcome.is_none()
        {
            followed.outcome = Some((offset, applied));
        }
        self.authors.insert(edit.id, edit.author);
    }
}
