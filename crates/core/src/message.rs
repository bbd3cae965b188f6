//! Messages between routers.
//!
//! Everything that is due to one peer at one time travels in one [`Frame`], because each call has a
//! cost that outweighs that of its content. The codec is `postcard`; see
//! `docs/design/0003-peer-messages.md`.

use crate::balance::message::{FleetPart, LoadPart};
use crate::catalogue::message::CataloguePart;
use crate::cold_start::message::ColdPart;
use crate::duty::message::DutyPart;
use crate::feed::message::FeedPart;
use crate::key::{Incarnation, RouterId};
use crate::membership::message::Heartbeat;
use crate::poison::message::PoisonPart;
use crate::quarantine::message::QuarantinePart;
use crate::share::message::SharePart;
use crate::slots::message::SlotsPart;
use crate::target::message::TargetPart;
use crate::usage::message::UsagePart;
use crate::version::message::VersionPart;

/// The size of the largest accepted frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 1024 * 1024;

/// The unit of transfer between two routers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// The router that sends the frame.
    pub from: RouterId,
    /// The run of the sender.
    pub incarnation: Incarnation,
    /// Numbers the frames from this incarnation to this receiver. A frame whose number is not
    /// higher than that of the last one is dropped, so repeated and late frames have no effect.
    pub sequence: u64,
    /// The content of the frame.
    pub parts: Vec<Part>,
}

/// The part of a frame that belongs to one component.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Part {
    /// Liveness of the sender and the offset up to which it has applied the log.
    Heartbeat(Heartbeat),
    /// Catalogue entries for a peer whose catalogue lags, and requests for them.
    Catalogue(CataloguePart),
    /// The service that the sender counted for organisations.
    Share(SharePart),
    /// Requests, grants and returns of slots.
    Slots(SlotsPart),
    /// Observations of targets.
    Target(TargetPart),
    /// Evidence on the versions of a pool.
    Version(VersionPart),
    /// Requests that crash targets.
    Quarantine(QuarantinePart),
    /// The requests of the sender at targets.
    Load(LoadPart),
    /// The requests of the whole fleet at targets.
    Fleet(FleetPart),
    /// Records of the store, and questions for them.
    Feed(FeedPart),
    /// Parts of prompts that crash targets.
    Poison(PoisonPart),
    /// Who holds the lease on the duties.
    Duty(DutyPart),
    /// The sender's requests by window and organisation, for the holder of the duties.
    Usage(UsagePart),
    /// Shares of the allowance of cold targets.
    Cold(ColdPart),
}

/// The error of bytes that are not a frame.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] DecodeErrorKind);

#[derive(Debug, thiserror::Error)]
enum DecodeErrorKind {
    #[error("a frame of {0} bytes is larger than {FRAME_BYTES_MAX}")]
    TooLarge(usize),
    #[error("not a frame: {0}")]
    Codec(#[from] postcard::Error),
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

impl Frame {
    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if there are more than [`FRAME_BYTES_MAX`] bytes or the bytes are not exactly one
    /// frame.
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
