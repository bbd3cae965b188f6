//! Messages between routers.
//!
//! All that is due to one peer at one moment travels in one [`Frame`], because the cost of a call
//! counts more than its content. The codec is `postcard`; see
//! `docs/design/0003-peer-messages.md`.

use crate::balance::message::LoadPart;
use crate::catalogue::message::CataloguePart;
use crate::key::{Incarnation, RouterId};
use crate::membership::message::Heartbeat;
use crate::quarantine::message::QuarantinePart;
use crate::share::message::SharePart;
use crate::slots::message::SlotsPart;
use crate::target::message::TargetPart;
use crate::version::message::VersionPart;

/// The largest frame that is accepted, in bytes.
pub const FRAME_BYTES_MAX: usize = 1024 * 1024;

/// All that one router tells another at one moment.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// Who sends.
    pub from: RouterId,
    /// Which run of the sender.
    pub incarnation: Incarnation,
    /// Counts the frames from this incarnation to this receiver. A frame that is not newer than the
    /// last is dropped, so that repeats and late arrivals do no harm.
    pub sequence: u64,
    /// The content.
    pub parts: Vec<Part>,
}

/// What concerns one component.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Part {
    /// Liveness and how far the sender has applied the log.
    Heartbeat(Heartbeat),
    /// Entries for a peer that lags.
    Catalogue(CataloguePart),
    /// Service counted.
    Share(SharePart),
    /// Asks, grants and returns of slots.
    Slots(SlotsPart),
    /// What was seen of targets.
    Target(TargetPart),
    /// Evidence on versions.
    Version(VersionPart),
    /// Requests that crash targets.
    Quarantine(QuarantinePart),
    /// What the sender has at targets.
    Load(LoadPart),
}

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] DecodeErrorKind);

#[derive(Debug, thiserror::Error)]
enum DecodeErrorKind {
    #[error("a frame of {0} bytes is larger than {FRAME_BYTES_MAX}")]
    TooLarge(usize),
    #[error("not a frame: {0}")]
    Codec(#[from] postcard::Error),
    #[error("{0} bytes are left over behind the frame")]
    Trailing(usize),
}

impl Frame {
    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too many or are not exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > FRAME_BYTES_MAX {
            return Err(DecodeErrorKind::TooLarge(bytes.len()).into());
        }
        let (frame, rest) = postcard::take_from_bytes(bytes).map_err(DecodeErrorKind::Codec)?;
        if !rest.is_empty() {
            return Err(DecodeErrorKind::Trailing(rest.len()).into());
        }
        Ok(frame)
    }

    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("frames hold only types that the codec can express")
    }
}
