//! The platform and the targets as the control thread sees them.
//!
//! Each edge is a trait, so that a test or an embedding can put something else behind it, with one
//! implementation over HTTP. See `docs/DESIGN.md` for the interfaces.

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

pub(crate) use self::http::Http;
pub(crate) use self::log::HttpLog;
pub(crate) use self::store::{CALL_TIMEOUT, Store, StoreError};
pub(crate) use self::target::HttpTarget;
pub(crate) use self::vms::HttpVmList;
pub(crate) use self::weights::HttpWeights;

/// The log service.
pub(crate) trait Log {
    /// Appends records and returns their offsets, in order.
    async fn append(&self, records: &[Vec<u8>]) -> Result<Vec<Offset>, AppendError>;

    /// Reads from an offset on; waits a while for a record if there is none.
    async fn read(&self, from: Offset) -> Result<Batch, Unanswered>;
}

/// The list of VMs.
pub(crate) trait VmList {
    /// Returns the live and leaving VMs.
    async fn list(&self) -> Result<Vec<Vm>, Unanswered>;
}

/// The weight store.
pub(crate) trait Weights {
    /// Says whether a model's weights can be fetched now.
    async fn is_available(&self, model: &str, version: &str) -> bool;
}

/// The control side of a target.
pub(crate) trait Target {
    /// Returns the target's view of its load.
    async fn report(&self) -> Result<Report, Unanswered>;

    /// Returns changes of the prefix cache since a number, and the number to go on from.
    async fn cache_events(&self, from: u64) -> Result<(Vec<CacheEvent>, u64), Unanswered>;

    /// Cancels an attempt by its name, if the target still runs it.
    async fn cancel(&self, attempt: &str);

    /// Gives an order. A target that does not check fencing numbers is read back.
    async fn order(&self, order: &Order, fence: Fence, checks_fence: bool) -> OrderEvent;
}

/// Records that were read.
#[derive(Debug)]
pub(crate) struct Batch {
    /// The records, in order.
    pub(crate) records: Vec<LogRecord>,
    /// The offset that the next append will get.
    pub(crate) tail: Offset,
    /// The oldest offset that is still kept.
    pub(crate) first: Offset,
}

/// What is known about an append that did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AppendError {
    /// Nothing was appended.
    #[error("nothing was appended")]
    Failed,
    /// The records may have been appended.
    #[error("it is not known whether the records were appended")]
    Unknown,
}

/// There was no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no usable answer")]
pub(crate) struct Unanswered;
