//! What the holder of duties orders, and what routers tell each other about the holder.

use serde::{Deserialize, Serialize};

use crate::feed::Record;
use crate::key::{Fence, Incarnation, Offset, PoolId, RouterId};
use crate::time::Time;

/// A call to the platform's control endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Identifies the call; the answer carries the same value.
    pub id: u64,
    /// The fencing number of the lease under which the call is made.
    pub fence: Fence,
    /// The content of the call.
    pub order: DutyOrder,
    /// The time from which the call must not be started any more.
    pub start_before: Time,
}

/// The content of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOrder {
    /// Reports the requests of a window.
    Usage {
        /// The number of the window since the Unix epoch.
        window: u64,
        /// The names of organisations and their requests, in the order of names. Names are used
        /// because a repeat must equal the first report, and the identity of an organisation may
        /// differ between routers or be gone.
        counts: Vec<(String, u64)>,
    },
    /// Sets the number of a pool's targets in a data centre.
    Scale {
        /// The pool.
        pool: PoolId,
        /// The name of the data centre.
        data_centre: String,
        /// The number of targets.
        desired: u32,
    },
}

/// What a call is about. Calls about one subject are made one after the other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The reports of all windows.
    Usage,
    /// A pool in a data centre.
    Scale(PoolId, String),
}

impl DutyOrder {
    /// Returns what the call is about.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Usage { .. } => Subject::Usage,
            Self::Scale {
                pool, data_centre, ..
            } => Subject::Scale(*pool, data_centre.clone()),
        }
    }
}

/// The result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DutyResult {
    /// The endpoint accepted the call.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced,
    /// The endpoint wants fewer calls. The call was not executed.
    Throttled,
    /// The endpoint does not accept this content, so a repeat is useless.
    Refused,
    /// The call may be executed now, later or never; or it was not started.
    Unknown,
}

impl DutyResult {
    /// Returns the stable name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::Throttled => "throttled",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// An event of the topic in which the lease is kept. At most one read and one append are in
/// progress at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyEvent {
    /// The topic was read up to its end.
    Read {
        /// The era that the answer states.
        era: u64,
        /// Whether these are the newest records of all keys.
        all: bool,
        /// The records, in the order of offsets.
        records: Vec<Record>,
        /// The offset that the next record of the topic will get.
        end: Offset,
    },
    /// The read failed.
    ReadFailed,
    /// The record was appended.
    Appended {
        /// The era that the answer states.
        era: u64,
    },
    /// Nothing was appended, because the topic ends at another offset.
    OffsetMismatch {
        /// The era that the answer states.
        era: u64,
    },
    /// The append may have taken effect, or may do so later.
    AppendUnknown,
    /// The VM was suspended for some time that the clock of the events does not show.
    Suspended,
}

/// The lease as it is kept in the topic under the key [`HOLDER`](super::HOLDER), in each era of the
/// store under a key of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The fencing number.
    pub fence: Fence,
    /// The name of the holder's node.
    pub node: String,
    /// The holder.
    pub router: RouterId,
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// For how long the lease is valid, in milliseconds.
    pub term_ms: u32,
    /// When the record was sent, by the clock of this run of the holder. It has no meaning for
    /// others.
    pub sent: Time,
}

impl HolderRecord {
    /// Encodes the record's value, as text that operators can read.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records hold no maps with keys other than strings")
    }

    /// Decodes a record's value. Returns `None` if it is not such a record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// Who holds the lease, as far as the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyPart {
    /// The holder.
    pub holder: RouterId,
    /// The fencing number of its lease.
    pub fence: Fence,
    /// For how long it has been the holder, in milliseconds.
    pub held_ms: u32,
    /// How long ago the holder itself last said so, in milliseconds.
    pub age_ms: u32,
}
