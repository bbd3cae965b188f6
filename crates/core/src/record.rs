//! The records on the platform's log: operators' edits and what the fleet itself has to keep.
//!
//! Records are JSON, so that operators can read the log with ordinary tools. Every record is decided
//! by its offset alone: routers that read the same records reach the same state.

use crate::catalogue::message::{Edit, Refresh};
use crate::lease::message::LeaseClaim;
use crate::once::message::ClaimBatch;
use crate::version::message::MoveStep;

/// The largest record that is accepted, in bytes.
pub const RECORD_BYTES_MAX: usize = 256 * 1024;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// An operator's edit of the catalogue.
    Edit(Edit),
    /// Entries that are appended again before their records age out.
    Refresh(Refresh),
    /// Idempotency keys that a router is about to run.
    Claims(ClaimBatch),
    /// A claim of a lease.
    Lease(LeaseClaim),
    /// A step, the end or the taking back of a version move.
    Move(MoveStep),
}

/// Why bytes are not a record.
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
    /// Fails if the bytes are too many or are not a record. Such a record is skipped by every router
    /// alike.
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
