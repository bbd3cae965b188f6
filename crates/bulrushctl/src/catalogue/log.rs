//! The platform's log service.

use std::time::Duration;

use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use serde::{Deserialize, Serialize};

use crate::http::{Client, Error};

/// How many records one read asks for.
const READ_MAX: usize = 1_000;

/// A client of the log service.
#[derive(Debug, Clone)]
pub(crate) struct Log(Client);

/// An answer to a read.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The oldest offset that is still kept.
    pub(crate) first: Offset,
    /// The next offset that will be given out.
    pub(crate) tail: Offset,
    /// Records in the order of their offsets.
    pub(crate) records: Vec<Kept>,
}

/// A record on the log.
#[derive(Debug, Deserialize)]
pub(crate) struct Kept {
    /// Where it stands.
    pub(crate) offset: Offset,
    /// Its text.
    pub(crate) body: String,
}

#[derive(Debug, Serialize)]
struct Append<'a> {
    records: [&'a str; 1],
}

#[derive(Debug, Deserialize)]
struct Appended {
    offsets: Vec<Offset>,
}

impl Log {
    pub(crate) const fn new(client: Client) -> Self {
        Self(client)
    }

    /// Reads records from an offset on, waiting for one if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    pub(crate) async fn read(&self, from: Offset, wait: Duration) -> Result<Page, Error> {
        let path = format!(
            "/v1/records?from={}&max={READ_MAX}&wait_ms={}",
            from.0,
            wait.as_millis()
        );
        self.0.get_waiting(&path, wait).await
    }

    /// Appends a record and returns its offset, if the log names one.
    ///
    /// # Errors
    ///
    /// Fails if the append was refused, or if it is not known whether it took effect.
    pub(crate) async fn append(&self, record: &Record) -> Result<Option<Offset>, Error> {
        let body = String::from_utf8(record.encode()).expect("records are JSON");
        let appended: Appended = self
            .0
            .post("/v1/append", &Append { records: [&body] })
            .await?;
        Ok(appended.offsets.first().copied())
    }
}
