//! The events that a node handles.

use core::time::Duration;

use crate::catalogue::Scope;
use crate::catalogue::entry::{Entry, Kind};
use crate::duty::{DutyEvent, DutyResult};
use crate::feed::{Record, Topic};
use crate::key::{AppendId, AttemptId, Fingerprint, Offset, RequestId, RouterId, TargetId};
use crate::limit::Rate;
use crate::output::MoveProgress;
use crate::request::Request;
use crate::time::Time;

/// An event that the embedding passes to [`Node::handle`](crate::node::Node::handle).
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller's request was received completely and needs a decision.
    Request(Request),
    /// The caller of a request disconnected or cancelled it.
    Cancelled(RequestId),
    /// A request exceeded its maximum duration. The embedding has already sent the final answer.
    TimedOut(RequestId),
    /// The state of an attempt changed.
    Attempt(AttemptId, AttemptEvent),
    /// A message arrived from an authenticated peer.
    Peer {
        /// The peer that sent the message.
        from: RouterId,
        /// The encoded [`Frame`](crate::message::Frame).
        bytes: Vec<u8>,
    },
    /// The platform's log answered a read or an append.
    Log(LogEvent),
    /// The store delivered an update. Applies to deployments that keep the catalogue in a store
    /// instead of the log.
    Store(StoreEvent),
    /// A topic of the store was read. Its records come back as
    /// [`Output::Records`](crate::output::Output::Records) if they are new.
    Feed(FeedEvent),
    /// The store stated this era, the number of times that it has been restored from an older copy.
    /// An era that is not higher than all earlier ones has no effect.
    StoreEra(u64),
    /// The head of an attempt's answer arrived. It comes before all other events of the answer.
    Head(AttemptId, AnswerHead),
    /// A target stated with an answer that it is leaving, or that it wants no requests for a while.
    Notice(TargetId, TargetNotice),
    /// The platform's VM list was read.
    Vms(Vec<Vm>),
    /// A target's periodic load report arrived. The report may lag behind the actual load.
    Report(TargetId, Report),
    /// A target published changes of its prefix cache. These events arrive late and may have gaps.
    Cache(TargetId, Vec<CacheEvent>),
    /// A target answered an order, or the order timed out.
    Ordered(TargetId, OrderEvent),
    /// The topic of the duties was read or appended to.
    Duty(DutyEvent),
    /// A call of a duty was answered, or timed out. The number is that of the call.
    DutyAnswer(u64, DutyResult),
    /// The time requested by an earlier [`Output::Wake`](crate::output::Output::Wake) was reached.
    Timer,
    /// The wall clock of this router was read. Passed about once a second, and only in deployments
    /// with duties.
    WallClock(Time),
    /// An operator allows a part of prompts again that is barred because it crashed targets.
    LiftBar(Fingerprint),
    /// The process was asked to stop.
    Stop {
        /// The time by which all requests must be finished.
        deadline: Time,
    },
}

/// A change in the state of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The target admitted the request, and the first byte of the answer arrived.
    Started,
    /// More tokens of the answer arrived.
    Progress {
        /// The tokens of the complete answer received so far, including those from before a resume.
        tokens: u64,
    },
    /// The complete answer arrived, as confirmed by its end mark or its length.
    Finished {
        /// The length of the complete answer in tokens, including those from before a resume.
        tokens: u64,
    },
    /// The target answered that it did not start the request.
    Declined,
    /// Nothing was sent, because after the decision the target was found to be leaving or the
    /// caller cancelled the request.
    Withheld,
    /// The attempt failed.
    Failed(Failure),
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Whether a byte of the request may have reached the target.
    pub sent: bool,
    /// Tokens that the caller has received, including those from before a resume.
    pub tokens: u64,
}

/// The kinds of failure of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection broke off.
    Broken,
    /// The answer ended without its end mark or length.
    Truncated,
    /// The target sent no data for longer than the allowed gap.
    Silent,
    /// The target answered with an error.
    Error,
    /// The target sent the answer to another request.
    Crossed,
    /// The answer failed after a part of it had reached the caller, at a position from which it
    /// cannot be resumed.
    Unresumable,
}

/// An answer of the platform's log to a read or an append.
#[derive(Debug, Clone)]
pub enum LogEvent {
    /// Records were read, starting at the requested offset.
    Read {
        /// The records, in order.
        records: Vec<LogRecord>,
        /// The offset that the log will assign to the next append.
        tail: Offset,
        /// The oldest offset that the log still retains.
        first: Offset,
    },
    /// A read failed or timed out.
    ReadFailed,
    /// An append took effect.
    Appended(AppendId, Offset),
    /// An append failed and is certain to have had no effect.
    AppendFailed(AppendId),
    /// The outcome of an append is unknown: it may take effect now, later or never.
    AppendUnknown(AppendId),
}

/// The outcome of a read of a topic whose records routers pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent {
    /// Records were read.
    Records {
        /// The topic.
        topic: Topic,
        /// The records, in order.
        records: Vec<Record>,
        /// If these are the newest records of all keys: an offset below which the topic did not end.
        all_below: Option<Offset>,
    },
    /// A topic was read up to its end.
    Complete {
        /// The topic.
        topic: Topic,
        /// The offset below which all records were passed to the node.
        known: Offset,
        /// The time at which the read was sent.
        asked: Time,
    },
    /// A read failed.
    Failed(Topic),
}

/// An update from a store that keeps only the newest content of each of its records.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// These entries apply until a record of the store says otherwise.
    Defaults(Vec<Entry>),
    /// Records of the store changed or were read for the first time.
    Changed(Vec<StoreChange>),
    /// After a restore, the record that ordered the version move of a pool has another revision.
    MoveRenumbered {
        /// The name of the pool.
        pool: String,
        /// The revision of the record now.
        revision: Offset,
    },
    /// Entries of these names are about to be described. Their identities are known afterwards.
    Named(Vec<(Kind, String)>),
    /// The records that operators write were read up to their end.
    Current {
        /// Every record below this offset has been passed to the node.
        known: Offset,
        /// The time at which the read was sent.
        asked: Time,
    },
    /// A read of the records that operators write failed or timed out.
    Failed,
    /// The records that targets write were read up to their end.
    TargetsRead {
        /// The time at which the read was sent.
        asked: Time,
    },
    /// A read of the records that targets write failed, and no delay of this router caused the
    /// failure.
    TargetsFailed,
    /// Targets published their own state.
    Targets(Vec<TargetState>),
    /// The progress of all version moves that routers have recorded for operators was read.
    MoveStatuses {
        /// The time at which the read was sent.
        asked: Time,
        /// The recorded progress of each move.
        statuses: Vec<MoveProgress>,
    },
}

/// A changed record of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChange {
    /// The offset of the record in its topic.
    pub revision: Offset,
    /// The catalogue entries that the record holds.
    pub scope: Scope,
    /// The present content of these entries.
    pub entries: Vec<Entry>,
}

/// The state that a target publishes about itself at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetState {
    /// The target that published the state.
    pub target: TargetId,
    /// Whether the target is about to leave.
    pub leaving: bool,
    /// The remaining time for which the target is cold.
    pub cold_for: Duration,
    /// When the target's present run began, by the target's clock in milliseconds. Differs between
    /// runs.
    pub started_ms: Option<u64>,
    /// Counts the states published in one run.
    pub sequence: u64,
}

/// What the head of an answer says about its target, beside whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerHead {
    /// The load of the target, if the answer contains it.
    pub load: Option<TargetLoad>,
    /// The requests per second that the target takes from the whole fleet.
    pub limit: StatedLimit,
}

/// The limit that a target states with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedLimit {
    /// The target states no limit, so that none applies any more.
    Absent,
    /// The target takes this many requests.
    PerSecond(Rate),
    /// The target states a limit that cannot be read.
    Unreadable,
}

/// A record that a target wrote: the start of its run, and the record's number within the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunRecord {
    /// When the run began, by the target's clock in milliseconds.
    pub started_ms: u64,
    /// The number of the record within the run.
    pub sequence: u64,
}

impl TargetState {
    /// Returns the run and the number of the record that held this state, if it names the run.
    pub fn run_record(&self) -> Option<RunRecord> {
        let started_ms = self.started_ms?;
        Some(RunRecord {
            started_ms,
            sequence: self.sequence,
        })
    }
}

/// The load that a target reports together with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests that the target has admitted but not started.
    pub waiting: u32,
    /// The time that work takes on the target at this moment, in hundredths of the usual time, if
    /// the target states it.
    pub work: Option<u16>,
}

/// What a target stated with an answer about further requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The time for which the target wants no requests from this router, if it refused one and
    /// stated a time.
    pub pause: Option<RequestedPause>,
}

/// The time for which a target wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedPause {
    /// The target stated this time.
    For(Duration),
    /// The target stated a time that cannot be read.
    Unreadable,
}

impl TargetNotice {
    /// Returns whether the target stated nothing.
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.pause.is_none()
    }
}

/// A record as read from the log.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// The offset of the record in the log.
    pub offset: Offset,
    /// When the log accepted the record, by the log's clock.
    pub at: Time,
    /// The encoded [`Record`](crate::record::Record).
    pub bytes: Vec<u8>,
}

/// A machine on the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's number. A router's [`RouterId`] is the number of its VM.
    pub id: u32,
    /// What runs on the VM.
    pub role: VmRole,
    /// The address to which peers (of a router) or routers (of a target) connect.
    pub address: String,
    /// The name of the VM's data centre.
    pub data_centre: String,
    /// Whether the VM is about to leave.
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

/// A periodic load report of a target, which may lag behind the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests that the target has admitted but not started.
    pub waiting: u32,
    /// How long the target has been up. A shorter time than in an earlier report shows a restart.
    pub uptime: Duration,
}

/// A change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// The cache now holds the prefix.
    Stored(Fingerprint),
    /// The cache no longer holds the prefix.
    Evicted(Fingerprint),
    /// Events were lost, so the content of the cache is unknown.
    Gap,
}

/// The outcome of an order to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEvent {
    /// The target carried out the order.
    Done,
    /// The target refused the order because it has received a higher fencing number.
    Fenced,
    /// The outcome is unknown: the target may have carried out the order.
    Unknown,
}
