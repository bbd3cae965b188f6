//! What a node asks its embedding to do.

use core::time::Duration;

use crate::counter::Counter;
use crate::key::{AppendId, AttemptId, Fence, Offset, RequestId, RouterId, TargetId};
use crate::time::Time;
use crate::verdict::Refusal;

/// An effect that [`Node::handle`](crate::Node::handle) asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a target.
    Dispatch(Dispatch),
    /// Stop an attempt and cancel its stream at the target.
    Abort(AttemptId),
    /// Give the caller its final answer, at once.
    Refuse(RequestId, Refusal),
    /// Send a message to a peer.
    Peer {
        /// The peer.
        to: RouterId,
        /// The encoded [`Frame`](crate::message::Frame).
        bytes: Vec<u8>,
    },
    /// Append a record to the log.
    Append {
        /// What the answer carries.
        id: AppendId,
        /// The encoded [`Record`](crate::record::Record).
        bytes: Vec<u8>,
    },
    /// Read the log from an offset on. At most one read is under way.
    Read {
        /// The first offset that is wanted.
        from: Offset,
    },
    /// Give an order to a target.
    Order {
        /// The target.
        target: TargetId,
        /// What it shall do.
        order: Order,
        /// The fencing number of the lease behind the order.
        fence: Fence,
    },
    /// Call [`Node::handle`](crate::Node::handle) with a timer at this time, or earlier.
    Wake(Time),
    /// Count an event.
    Count(Counter),
    /// A change of state that operators want to see in the log.
    Notice(Notice),
    /// A version move of a catalogue that is kept in a store stands like this now, for operators.
    MoveProgress(MoveProgress),
    /// Everything is finished after a stop; the process may end.
    Stopped,
}

/// How a version move stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveProgress {
    /// The name of the pool.
    pub pool: String,
    /// The version that traffic moves to.
    pub version: String,
    /// How far it is.
    pub phase: MovePhase,
}

/// How far a version move is. The last two are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MovePhase {
    /// Traffic is moving.
    Running,
    /// All traffic has moved.
    Finished,
    /// All traffic went back.
    TakenBack,
}

/// A request on its way to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The identity that events about this dispatch carry.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// How many tokens the caller has already; the target resumes after them.
    pub resume_from: u64,
    /// What the decision rested on, for the log.
    pub basis: Basis,
}

/// What a dispatch rested on, so that a log can tell a wrong decision from a wrong belief behind it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Basis {
    /// From the arrival of the request to the decision.
    pub waited: Duration,
    /// Why the request was next.
    pub turn: Turn,
    /// The service that its organisation received lately relative to its weight, as far as the router knew.
    pub recent: u64,
    /// The least recent service with which another organisation waited at a peer; nothing if no peer said that any did.
    pub lowest: Option<u64>,
    /// How many peers had lately told what they have at targets and what waits at them.
    pub reporting_peers: usize,
    /// The age of what the router knew of targets; nothing if it does not read them from a store.
    pub targets_age: Option<Duration>,
}

/// Why a request was next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Turn {
    /// Its router held a slot for it.
    #[default]
    Granted,
    /// No other organisation waits elsewhere, or those that do had clearly more service lately.
    Due,
    /// Others wait, and it is within its organisation's share of what there is room for.
    Share,
}

impl Turn {
    /// Returns the stable name that logs use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Due => "due",
            Self::Share => "share",
        }
    }
}

/// An order to a target. Orders are absolute: repeating one changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    /// Hold exactly these models and versions.
    Load {
        /// Names of models.
        models: Vec<String>,
        /// The version of the engine's weights.
        version: String,
    },
    /// Take this role.
    Role {
        /// The name of the role.
        role: String,
    },
}

/// A change of state, for one line of the log and for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Which change it is, as a stable name.
    pub kind: NoticeKind,
    /// What it concerns, for people.
    pub subject: String,
}

/// The kinds of changes of state that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// The router is ready to serve, or is no longer.
    Readiness,
    /// The log went out or came back.
    Log,
    /// A peer was lost or came back.
    Peer,
    /// An entry of the catalogue changed.
    Catalogue,
    /// A target's state changed.
    Target,
    /// A version move went on, finished or was taken back.
    Version,
    /// A lease was won or lost.
    Lease,
    /// A request was quarantined.
    Quarantine,
    /// The router is stopping.
    Stop,
}
