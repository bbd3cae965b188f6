//! What can happen to a node.

use core::time::Duration;

use crate::catalogue::Scope;
use crate::catalogue::entry::Entry;
use crate::key::{AppendId, AttemptId, Fingerprint, Offset, RequestId, RouterId, TargetId};
use crate::output::MoveProgress;
use crate::request::Request;
use crate::time::Time;

/// An event that the embedding hands to [`Node::handle`](crate::Node::handle).
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller's request is complete and waits for a decision.
    Request(Request),
    /// The caller of a request has left.
    Cancelled(RequestId),
    /// The longest time that a request may take has passed; the embedding has given the final answer.
    TimedOut(RequestId),
    /// Something was learnt about an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// A message arrived from a peer that has proved who it is.
    Peer {
        /// The peer.
        from: RouterId,
        /// The encoded [`Frame`](crate::message::Frame).
        bytes: Vec<u8>,
    },
    /// Something was learnt from the platform's log.
    Log(LogEvent),
    /// Something was learnt from the store that holds the catalogue, where the log does not.
    Store(StoreEvent),
    /// A target told of its load along with an answer.
    Load(TargetId, TargetLoad),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// A target reported its load; the report may lag.
    Report(TargetId, Report),
    /// A target published changes of its prefix cache, late and with gaps.
    Cache(TargetId, Vec<CacheEvent>),
    /// The answer to an order.
    Ordered(TargetId, OrderEvent),
    /// The time that an earlier `Wake` asked for has come.
    Timer,
    /// The process was asked to stop; everything must be finished by the given time.
    Stop {
        /// The latest time at which requests are still served.
        deadline: Time,
    },
}

/// What happened to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The target admitted the request; the first byte of the answer is here.
    Started,
    /// Further tokens arrived.
    Progress {
        /// The position in the whole answer, tokens from before a resume included.
        tokens: u64,
    },
    /// The answer arrived whole, end mark or length included.
    Finished {
        /// The length of the whole answer, tokens from before a resume included.
        tokens: u64,
    },
    /// The target said that it did not start the request.
    Declined,
    /// Nothing was sent, because the target was learnt to leave, or the caller gave up, after the decision.
    Withheld,
    /// The attempt failed.
    Failed(Failure),
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What was seen.
    pub kind: FailureKind,
    /// Whether a byte of the request may have reached the target.
    pub sent: bool,
    /// Tokens that the caller has, those from before a resume included.
    pub tokens: u64,
}

/// What was seen when an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// No connection could be made.
    Connect,
    /// The connection broke.
    Broken,
    /// The answer ended without its end mark or length.
    Truncated,
    /// Nothing arrived for longer than the allowed gap.
    Silent,
    /// The target answered with an error of its own.
    Error,
    /// The answer belonged to another request.
    Crossed,
}

/// What was learnt from the log.
#[derive(Debug, Clone)]
pub enum LogEvent {
    /// Records were read, beginning at the offset that was asked for.
    Read {
        /// The records, in order.
        records: Vec<LogRecord>,
        /// The offset that the next append will get.
        tail: Offset,
        /// The oldest offset that is still kept.
        first: Offset,
    },
    /// A read failed or timed out.
    ReadFailed,
    /// An append took effect.
    Appended(AppendId, Offset),
    /// An append certainly had no effect.
    AppendFailed(AppendId),
    /// It is not known whether an append took effect.
    AppendUnknown(AppendId),
}

/// What was learnt from a store that keeps the newest content of each of its records.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// Records of the store changed, or were read for the first time.
    Changed(Vec<StoreChange>),
    /// The records of operators were read up to their end.
    Current {
        /// Every record below this offset has been handed over.
        known: Offset,
        /// When the read was sent.
        asked: Time,
    },
    /// A read of the records of operators failed or timed out.
    Failed,
    /// The targets' records were read up to their end.
    TargetsRead {
        /// When the read was sent.
        asked: Time,
    },
    /// A read of the targets' records failed, and not because this router was late itself.
    TargetsFailed,
    /// Targets wrote of themselves.
    Targets(Vec<TargetState>),
    /// Operators were told how a version move stands, by this router or another.
    MoveProgress(MoveProgress),
}

/// A record of the store that changed.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChange {
    /// Where the record stands in its topic.
    pub revision: Offset,
    /// The entries that the record stands for.
    pub scope: Scope,
    /// What they are now.
    pub entries: Vec<Entry>,
}

/// What a target says of itself from time to time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub target: TargetId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// For how much longer it is cold.
    pub cold_for: Duration,
    /// When its present run began, by its own clock in milliseconds; it differs from run to run.
    pub started_ms: Option<u64>,
    /// Counts what it says in one run.
    pub sequence: u64,
}

/// A target's own view of its load, along with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests being run.
    pub running: u32,
    /// Requests admitted and waiting.
    pub waiting: u32,
}

/// A record as read from the log.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it in, by the log's clock.
    pub at: Time,
    /// The encoded [`Record`](crate::record::Record).
    pub bytes: Vec<u8>,
}

/// A machine of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's number. A router's [`RouterId`] is the number of its VM.
    pub id: u32,
    /// What runs on it.
    pub role: VmRole,
    /// Where peers (for routers) or routers (for targets) connect to.
    pub address: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A router of the fleet.
    Router,
    /// A model engine or plain service.
    Target,
}

/// A target's own view of its load, which may lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests being run.
    pub running: u32,
    /// Requests admitted and waiting.
    pub waiting: u32,
    /// For how long the target has been up; a shorter time than before shows a restart.
    pub uptime: Duration,
}

/// A change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix is held now.
    Stored(Fingerprint),
    /// The prefix is held no longer.
    Evicted(Fingerprint),
    /// Events were lost; nothing is known about the cache.
    Gap,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEvent {
    /// The order was carried out.
    Done,
    /// The target has seen a higher fencing number.
    Fenced,
    /// It is not known whether the order was carried out.
    Unknown,
}
