//! An HTTP client of the log service.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::input::LogRecord;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::time::Time;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::platform::http::{Http, HttpError};
use crate::platform::{AppendError, Batch, Log, Unanswered};

/// The most records requested in one read.
const READ_MAX: usize = 1_000;

/// The time for the answer to a read, in addition to the wait that the read requests.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// A client of the log service.
#[derive(Debug, Clone)]
pub(crate) struct HttpLog {
    /// The client that sends the requests.
    pub(crate) http: Http,
    /// The address of the service.
    pub(crate) address: SocketAddr,
    /// The timeout for an append.
    pub(crate) append_timeout: Duration,
    /// The time for which the service may wait for a record before it answers a read.
    pub(crate) read_wait: Duration,
}

#[derive(Serialize)]
struct AppendRequest<'a> {
    records: Vec<&'a str>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offsets: Vec<u64>,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: u64,
    tail: u64,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    at_ms: u64,
    body: String,
}

impl Log for HttpLog {
    async fn append(&self, records: &[Vec<u8>]) -> Result<Vec<Offset>, AppendError> {
        let texts: Result<_, _> = records.iter().map(|bytes| str::from_utf8(bytes)).collect();
        let content = AppendRequest {
            records: texts.map_err(|_| AppendError::Failed)?,
        };
        let sent = self
            .http
            .post(self.address, "/v1/append", &content, self.append_timeout);
        let body =
            sent.await.map_err(|error| match error {
                HttpError::NotSent
                | HttpError::Status(
                    StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
                ) => AppendError::Failed,
                HttpError::Status(_) | HttpError::Unanswered | HttpError::Malformed => {
                    AppendError::Unknown
                }
            })?;
        let answer: AppendAnswer =
            serde_json::from_slice(&body).map_err(|_| AppendError::Unknown)?;
        if answer.offsets.len() != records.len() {
            return Err(AppendError::Unknown);
        }
        Ok(answer.offsets.into_iter().map(Offset).collect())
    }

    async fn read(&self, from: Offset) -> Result<Batch, Unanswered> {
        let path = format!(
            "/v1/records?from={}&max={READ_MAX}&wait_ms={}",
            from.0,
            self.read_wait.as_millis()
        );
        let timeout = self.read_wait + READ_MARGIN;
        let answer: ReadAnswer = self
            .http
            .get(self.address, &path, timeout)
            .await
            .map_err(|_| Unanswered)?;
        let records = answer.records.into_iter().map(|record| LogRecord {
            offset: Offset(record.offset),
            at: Time::from_millis(record.at_ms),
            bytes: record.body.into_bytes(),
        });
        Ok(Batch {
            records: records.collect(),
            tail: Offset(answer.tail),
            first: Offset(answer.first),
        })
    }
}
