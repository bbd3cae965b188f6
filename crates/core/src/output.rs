//! The effects that a node requests from its embedding.

use core::time::Duration;

use crate::counter::Counter;
use crate::duty::DutyCall;

use crate::feed::{Record, Restored, Topic};
use crate::key::{AppendId, AttemptId, Fence, Offset, RequestId, RouterId, TargetId};
use crate::time::Time;
use crate::verdict::Refusal;

/// An effect that [`Node::handle`](crate::node::Node::handle) requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a target.
    Dispatch(Dispatch),
    /// Abort an attempt and cancel its stream at the target.
    Abort(AttemptId),
    /// Send the caller its final answer immediately.
    Refuse(RequestId, Refusal),
    /// Send a message to a peer.
    Peer {
        /// The peer that receives the message.
        to: RouterId,
        /// The encoded [`Frame`](crate::message::Frame).
        bytes: Vec<u8>,
    },
    /// Append a record to the log.
    Append {
        /// The identity that the answer to the append carries.
        id: AppendId,
        /// The encoded [`Record`](crate::record::Record).
        bytes: Vec<u8>,
    },
    /// Read the log from an offset on. At most one read is in flight.
    Read {
        /// The first offset to read.
        from: Offset,
    },
    /// Send an order to a target.
    Order {
        /// The target that receives the order.
        target: TargetId,
        /// What the target has to do.
        order: Order,
        /// The fencing number of the lease under which the order is sent.
        fence: Fence,
    },
    /// Call [`Node::handle`](crate::node::Node::handle) with
    /// [`Input::Timer`](crate::input::Input::Timer) at this time or earlier.
    Wake(Time),
    /// Increment a counter.
    Count(Counter),
    /// Write a change of state to the log for operators.
    Notice(Notice),
    /// Record the progress of a version move for operators. Applies only if the catalogue is kept
    /// in a store.
    MoveProgress(MoveProgress),
    /// Read the recorded progress of all moves and pass it to the node as
    /// [`StoreEvent::MoveStatuses`](crate::input::StoreEvent::MoveStatuses). If the read fails, the
    /// node asks again. Applies only if the catalogue is kept in a store.
    ReadMoveStatuses,
    /// Apply records of the store that are newer than all earlier ones of their keys.
    Records {
        /// The topic of the records.
        topic: Topic,
        /// The records.
        records: Vec<Record>,
        /// The peer that passed them on. `None` if this router read them.
        from: Option<RouterId>,
    },
    /// All records of a topic have been passed on.
    Complete {
        /// The topic.
        topic: Topic,
        /// The offset below which no record is missing.
        known: Offset,
        /// The time as of which no record was missing.
        as_of: Time,
        /// The peer from which this is known. `None` if this router read the topic.
        from: Option<RouterId>,
    },
    /// Read the topic of the duties. The answer returns as
    /// [`Input::Duty`](crate::input::Input::Duty).
    DutyRead {
        /// The offset from which to read; `None` reads the newest records of all keys.
        from: Option<Offset>,
        /// For how long the store may hold the answer back if there is no record.
        wait: Duration,
    },
    /// Append a record to the topic of the duties. The answer returns as
    /// [`Input::Duty`](crate::input::Input::Duty).
    DutyRecord {
        /// The record's key.
        key: String,
        /// The record's value.
        value: Vec<u8>,
        /// If given, the record is appended only if the topic ends at this offset.
        at: Option<Offset>,
    },
    /// Call the platform's control endpoint, unless the time from which the call must not be
    /// started any more has passed. The answer returns as
    /// [`Input::DutyAnswer`](crate::input::Input::DutyAnswer).
    DutyCall(DutyCall),
    /// What is to be done with records of a topic because the store was restored from an older copy.
    Restored {
        /// The topic of the records.
        topic: Topic,
        /// The records by what is to be done with them.
        records: Restored,
    },
    /// The store was restored from an older copy and is in this era now, as stated by the store or by a
    /// peer. Every topic is to be read from its newest records.
    StoreEra(u64),
    /// All work is finished after [`Input::Stop`](crate::input::Input::Stop); the process may exit.
    Stopped,
}

/// The progress of a version move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveProgress {
    /// The name of the pool.
    pub pool: String,
    /// The version to which traffic moves.
    pub version: String,
    /// The revision of the move's catalogue entry, which tells moves to the same version apart.
    /// `None` if the record does not state it; it then applies to any move to the version.
    pub revision: Option<Offset>,
    /// The phase that the move has reached.
    pub phase: MovePhase,
}

/// The phase of a version move. `Finished` and `TakenBack` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MovePhase {
    /// Traffic is moving.
    Running,
    /// All traffic has moved.
    Finished,
    /// The move was rolled back: all traffic returned to the old version.
    TakenBack,
}

/// The dispatch of a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The identity that events about this dispatch carry.
    pub attempt: AttemptId,
    /// The target that receives the request.
    pub target: TargetId,
    /// How many tokens the caller has already received. The target resumes after them.
    pub resume_from: u64,
    /// The data behind the decision, for the log.
    pub basis: Basis,
}

/// The data behind a dispatch decision. In a log it distinguishes a wrong decision from a decision
/// based on wrong data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Basis {
    /// The time from the arrival of the request to the decision.
    pub waited: Duration,
    /// Why the request was next in the fair order.
    pub turn: Turn,
    /// The recent service of the request's organisation relative to its weight, as known to the
    /// router.
    pub recent: u64,
    /// The smallest recent service, relative to weight, among other organisations with requests
    /// waiting at a peer. `None` if no peer reported any.
    pub lowest: Option<u64>,
    /// How many peers had recently reported their requests at targets and their waiting requests.
    pub reporting_peers: usize,
    /// The age of the router's data on targets. `None` if the router does not read targets from a
    /// store.
    pub targets_age: Option<Duration>,
}

/// Why a request was next in the fair order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Turn {
    /// The router held a granted slot for the request.
    #[default]
    Granted,
    /// No other organisation has requests waiting at a peer, or those that do received clearly more
    /// service recently.
    Due,
    /// Other organisations have requests waiting, but the request is within its organisation's
    /// share of the free capacity.
    Share,
    /// The organisation receives clearly less than its share of the service of the fleet.
    Short,
    /// Another organisation receives less than its share, and this one has used up its own, but the
    /// target keeps room for others.
    Spare,
}

impl Turn {
    /// Returns the stable name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Due => "due",
            Self::Share => "share",
            Self::Short => "short",
            Self::Spare => "spare",
        }
    }
}

/// An order to a target. Orders state the complete result, so repeating an order has no effect.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    /// Load exactly these models in this version.
    Load {
        /// Names of models.
        models: Vec<String>,
        /// The version of the engine's model weights.
        version: String,
    },
    /// Take this role.
    Role {
        /// The name of the role.
        role: String,
    },
}

/// A change of state, reported to operators as one log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The kind of change.
    pub kind: NoticeKind,
    /// The subject of the change, as text for people.
    pub subject: String,
}

/// The kinds of changes of state that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// The router became ready to serve or stopped being ready.
    Readiness,
    /// The platform's log became unavailable or available again.
    Log,
    /// A peer became unreachable or reachable again.
    Peer,
    /// An entry of the catalogue changed.
    Catalogue,
    /// A target's state changed.
    Target,
    /// A version move advanced, finished or was rolled back.
    Version,
    /// A lease was acquired or lost.
    Lease,
    /// A window of usage was closed or left out.
    Usage,
    /// The number of a pool's targets was ordered.
    Scale,
    /// How far the requests of an organisation came at this router in a second.
    Funnel,
    /// A request was quarantined.
    Quarantine,
    /// The router is stopping.
    Stop,
}
