//! The interfaces through which the control thread uses the platform's services and the targets.
//!
//! Each interface is a trait with one implementation over HTTP, so that a test or an embedding can
//! use another implementation. See `docs/DESIGN.md` for the interfaces.

mod duty;
mod http;
mod log;
mod store;
mod target;
#[cfg(test)]
mod tests;
mod vms;
mod weights;

use bulrushtrestle_core::input::{CacheEvent, LogRecord, OrderEvent, Report, Vm};
use bulrushtrestle_core::key::{Fence, Offset};
use bulrushtrestle_core::output::Order;

pub(crate) use self::duty::call as call_endpoint;
pub(crate) use self::http::Http;
pub(crate) use self::log::HttpLog;
pub(crate) use self::store::{Answered, CALL_TIMEOUT, Store, StoreError};
pub(crate) use self::target::HttpTarget;
pub(crate) use self::vms::HttpVmList;
pub(crate) use self::weights::HttpWeights;

/// The log service.
pub(crate) trait Log {
    /// Appends records and returns their offsets, in order.
    async fn append(&self, records: &[Vec<u8>]) -> Result<Vec<Offset>, AppendError>;

    /// Reads records from an offset on. If there is none, waits for a record for a limited time.
    async fn read(&self, from: Offset) -> Result<Batch, Unanswered>;
}

/// The list of VMs.
pub(crate) trait VmList {
    /// Returns the live and leaving VMs.
    async fn list(&self) -> Result<Vec<Vm>, Unanswered>;
}

/// The weight store.
pub(crate) trait Weights {
    /// Returns whether a model's weights can be fetched now.
    async fn is_available(&self, model: &str, version: &str) -> bool;
}

/// The control endpoints of a target.
pub(crate) trait Target {
    /// Returns the load that the target reports.
    async fn report(&self) -> Result<Report, Unanswered>;

    /// Returns the changes of the prefix cache from number `from` on, and the number from which to
    /// continue.
    async fn cache_events(&self, from: u64) -> Result<(Vec<CacheEvent>, u64), Unanswered>;

    /// Cancels the attempt with this id, if the target still runs the attempt.
    async fn cancel(&self, attempt: &str);

    /// Sends an order. If the target does not check fencing numbers, the order is read back to
    /// verify that it took effect.
    async fn order(&self, order: &Order, fence: Fence, checks_fence: bool) -> OrderEvent;
}

/// The result of a read of the log.
#[derive(Debug)]
pub(crate) struct Batch {
    /// The records, in order.
    pub(crate) records: Vec<LogRecord>,
    /// The offset that the next append will get.
    pub(crate) tail: Offset,
    /// The oldest offset that is still kept.
    pub(crate) first: Offset,
}

/// The failure of an append, by whether records may have been appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AppendError {
    /// Nothing was appended.
    #[error("nothing was appended")]
    Failed,
    /// The records may have been appended.
    #[error("it is not known whether the records were appended")]
    Unknown,
}

/// A request got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no usable answer")]
pub(crate) struct Unanswered;
