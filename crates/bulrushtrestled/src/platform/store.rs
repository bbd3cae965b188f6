//! An HTTP client of a hosting platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// A client of the store. Clones share the highest era that any answer has stated.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    http: Http,
    address: SocketAddr,
    era: Arc<AtomicU64>,
}

/// The result of a call, and the era in which the store answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Answered<T> {
    /// The result.
    pub(crate) result: T,
    /// The number of times that the store had been restored from an older copy; 0 if it states none.
    pub(crate) era: u64,
}

/// The reason why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No complete answer arrived. An append may have taken effect.
    #[error("no complete answer")]
    Unanswered,
    /// The answer was given before the store was restored, so it says nothing about the present
    /// content. An append may have been lost with the restore.
    #[error("the answer is of the store's era {0}, which has ended")]
    FormerEra(u64),
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
            era: Arc::default(),
        }
    }

    /// Returns the highest era known.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Records an era that a peer knows. Later answers of earlier eras are errors.
    pub(crate) fn raise_era(&self, era: u64) {
        self.era.fetch_max(era, Ordering::Relaxed);
    }

    /// Returns the newest record of every key, and the offset from which to follow the topic.
    ///
    /// All calls fail with [`StoreError::FormerEra`] if their answer is of an era before the highest
    /// one known.
    pub(crate) async fn newest(
        &self,
        topic: Topic,
    ) -> Result<Answered<(Vec<Record>, Offset)>, StoreError> {
        let mut records = Vec::new();
        let mut from: Option<Offset> = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::newest(topic, after.as_deref());
            let decode = |status, era, body: Bytes| store::decode_newest(status, era, &body);
            let Answered { result: page, era } = self.call(call, Duration::ZERO, decode).await?;
            // Pages of different eras do not form one list of keys.
            if let Some(first) = from.filter(|end| end.era() != era) {
                return Err(StoreError::FormerEra(first.era()));
            }
            records.extend(page.records);
            // Pages are read at different times. Following the topic from the end as of the first
            // page also returns the changes made between the pages.
            let end = *from.get_or_insert(page.end);
            match page.next {
                Some(key) => after = Some(key),
                None => {
                    let result = (records, end);
                    return Ok(Answered { result, era });
                }
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
    ) -> Result<Answered<Batch>, StoreError> {
        let call = store::read(topic, from, wait);
        let decode = |status, era, body| store::decode_read(status, era, body, from);
        self.call(call, wait, decode).await
    }

    /// Appends a record. If `at` is given, the record is appended only if the topic ends at that
    /// offset. A caller that gives an offset has to compare its era with that of the answer: if they
    /// differ, the topic ended at this position in another era, with other records before it.
    pub(crate) async fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
        at: Option<Offset>,
    ) -> Result<Answered<Appended>, StoreError> {
        let call = store::append(topic, key, value, at)?;
        let decode = |status, era, body: Bytes| store::decode_append(status, era, &body);
        self.call(call, Duration::ZERO, decode).await
    }

    /// Makes a call and decodes its answer, unless the answer is of an era that has ended.
    async fn call<T>(
        &self,
        call: Call,
        wait: Duration,
        decode: impl FnOnce(StatusCode, u64, Bytes) -> Result<T, DecodeError>,
    ) -> Result<Answered<T>, StoreError> {
        let timeout = CALL_TIMEOUT + wait;
        let answer = self
            .http
            .call(call.method, self.address, &call.path, call.body, timeout)
            .await;
        let (status, headers, body) = answer.map_err(|_: HttpError| StoreError::Unanswered)?;
        let era = store::era(&headers)?;
        self.raise_era(era);
        let result = decode(status, era, body)?;
        match era < self.era() {
            true => Err(StoreError::FormerEra(era)),
            false => Ok(Answered { result, era }),
        }
    }
}
