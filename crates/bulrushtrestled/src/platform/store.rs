//! The store of a hosting platform, one call after the other.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::key::Offset;
use bulrushtrestle_platform::DecodeError;
use bulrushtrestle_platform::store::{self, Appended, Batch, Call, Record, Topic};
use bytes::Bytes;
use http::StatusCode;

use crate::platform::Http;
use crate::platform::http::HttpError;

/// The time for an answer, beyond what the call asks the store to wait. The store's own answers take some
/// milliseconds; a connection on which an answer was lost returns nothing more.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A client of the store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    http: Http,
    address: SocketAddr,
}

/// Why a call of the store came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// There is no whole answer. An append may have taken effect.
    #[error("no whole answer")]
    Unanswered,
    /// The store turned the call down, or answered something else than was asked for.
    #[error(transparent)]
    Unusable(#[from] DecodeError),
}

impl Store {
    /// Returns a client.
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
            // Pages are read at different times; what changes meanwhile is met again from here on.
            let end = *from.get_or_insert(page.end);
            match page.next {
                Some(key) => after = Some(key),
                None => return Ok((records, end)),
            }
        }
    }

    /// Returns records from an offset on; the store waits up to `wait` for one.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        let (status, body) = self.call(store::read(topic, from, wait), wait).await?;
        Ok(store::decode_read(status, body, from)?)
    }

    /// Appends a record, if the topic ends at the stated offset.
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
        let limit = CALL_TIMEOUT + wait;
        self.http
            .call(call.method, self.address, &call.path, call.body, limit)
            .await
            .map_err(|_: HttpError| StoreError::Unanswered)
    }
}
