//! The records on the platform's log: edits by operators and the durable state of the fleet.
//!
//! Records are JSON, so that operators can read the log with ordinary tools. The effect of a record
//! depends only on the order of offsets: routers that read the same records reach the same state.

use crate::catalogue::message::{Edit, Refresh};
use crate::lease::message::LeaseClaim;
use crate::once::message::ClaimBatch;
use crate::version::message::MoveStep;

/// The size of the largest accepted record, in bytes.
pub const RECORD_BYTES_MAX: usize = 256 * 1024;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// An operator's edit of the catalogue.
    Edit(Edit),
    /// Catalogue entries that are appended again before their records age out.
    Refresh(Refresh),
    /// Claims and releases of idempotency keys by a router.
    Claims(ClaimBatch),
    /// A claim of a lease.
    Lease(LeaseClaim),
    /// A step, the end or the rollback of a version move.
    Move(MoveStep),
}

/// The error of bytes that are not a record.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] DecodeErrorKind);

#[derive(Debug, thiserror::Error)]
enum DecodeErrorKind {
    #[error("a record of {0} bytes is larger than {RECORD_BYTES_MAX}")]
    TooLarge(usize),
    #[error("not a record: {0}")]
    Json(#[from] serde_json::Error),
}

impl Record {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`RECORD_BYTES_MAX`] bytes or the bytes are not a record. Every
    /// router skips such a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > RECORD_BYTES_MAX {
            return Err(DecodeErrorKind::TooLarge(bytes.len()).into());
        }
        Ok(serde_json::from_slice(bytes).map_err(DecodeErrorKind::Json)?)
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records hold no maps with keys other than strings")
    }
}
