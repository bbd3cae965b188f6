//! An HTTP client of a hosting platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::key::Offset;
use bulrushtrestle_platform::DecodeError;
use bulrushtrestle_platform::store::{self, Appended, Batch, Call, Record, Topic};
use bytes::Bytes;
use http::StatusCode;

use crate::platform::Http;
use crate::platform::http::HttpError;

/// The timeout for an answer, in addition to the wait that the call requests. The store answers
/// within a few milliseconds; a connection on which an answer was lost returns no further data.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A client of the store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    http: Http,
    address: SocketAddr,
}

/// The reason why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No complete answer arrived. An append may have taken effect.
    #[error("no complete answer")]
    Unanswered,
    /// The store refused the call, or its answer could not be decoded.
    #[error(transparent)]
    Unusable(#[from] DecodeError),
}

impl Store {
    /// Returns a client of the store at this address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            http: Http::new(None),
            address,
        }
    }

    /// Returns the newest record of every key, and the offset from which to follow the topic.
    pub(crate) async fn newest(&self, topic: Topic) -> Result<(Vec<Record>, Offset), StoreError> {
        let mut records = Vec::new();
        let mut from = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::newest(topic, after.as_deref());
            let (status, body) = self.call(call, Duration::ZERO).await?;
            let page = store::decode_newest(status, &body)?;
            records.extend(page.records);
            // Pages are read at different times. Following the topic from the end as of the first
            // page also returns the changes made between the pages.
            let end = *from.get_or_insert(page.end);
            match page.next {
                Some(key) => after = Some(key),
                None => return Ok((records, end)),
            }
        }
    }

    /// Returns records from an offset on. If there is none, the store waits up to `wait` for a
    /// record.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        let (status, body) = self.call(store::read(topic, from, wait), wait).await?;
        Ok(store::decode_read(status, body, from)?)
    }

    /// Appends a record. If `at` is given, the record is appended only if the topic ends at that
    /// offset.
    pub(crate) async fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
        at: Option<Offset>,
    ) -> Result<Appended, StoreError> {
        let call = store::append(topic, key, value, at)?;
        let (status, body) = self.call(call, Duration::ZERO).await?;
        Ok(store::decode_append(status, &body)?)
    }

    async fn call(&self, call: Call, wait: Duration) -> Result<(StatusCode, Bytes), StoreError> {
        let timeout = CALL_TIMEOUT + wait;
        self.http
            .call(call.method, self.address, &call.path, call.body, timeout)
            .await
            .map_err(|_: HttpError| StoreError::Unanswered)
    }
}
