//! A client of the platform's log service.

use std::time::Duration;

use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use serde::{Deserialize, Serialize};

use crate::http::{Client, Error};

/// The maximum number of records that one read requests.
const READ_MAX: usize = 1_000;

/// A client of the log service.
#[derive(Debug, Clone)]
pub(crate) struct Log(Client);

/// The response to a read.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The oldest offset that the log retains.
    pub(crate) first: Offset,
    /// The offset that the next appended record gets.
    pub(crate) tail: Offset,
    /// Records in the order of their offsets.
    pub(crate) records: Vec<LogRecord>,
}

/// A record on the log.
#[derive(Debug, Deserialize)]
pub(crate) struct LogRecord {
    /// The offset of the record on the log.
    pub(crate) offset: Offset,
    /// The record in its encoded form, as text.
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

    /// Reads records from an offset on. If there is none yet, the log waits for one for up to `wait`.
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

    /// Appends a record and returns its offset, if the response has one.
    ///
    /// # Errors
    ///
    /// Fails if the log refused the append, or if it is not known whether the append took effect.
    pub(crate) async fn append(&self, record: &Record) -> Result<Option<Offset>, Error> {
        let body = String::from_utf8(record.encode()).expect("records are JSON");
        let appended: Appended = self
            .0
            .post("/v1/append", &Append { records: [&body] })
            .await?;
        Ok(appended.offsets.first().copied())
    }
}
