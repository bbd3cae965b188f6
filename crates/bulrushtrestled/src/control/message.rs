//! Messages between the traffic threads and the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::{Limits, Service};
use bulrushtrestle_core::input::{AnswerHead, AttemptEvent, TargetNotice};
use bulrushtrestle_core::key::{
    AttemptId, Fingerprint, Incarnation, Offset, OrganisationId, RequestId,
};
use bulrushtrestle_core::output::Basis;
use bulrushtrestle_core::request::{Class, Repeat};
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::Refusal;
use tokio::sync::{mpsc, oneshot};

/// A query that the control thread answers.
#[derive(Debug)]
pub(crate) enum Query {
    /// Which organisation does a token belong to?
    Identity {
        /// The SHA-256 digest of the token.
        sum: [u8; 32],
        /// Takes the answer.
        reply: oneshot::Sender<Result<Identity, Refusal>>,
    },
    /// Which addresses should a caller use?
    Addresses {
        /// The caller's organisation, if the caller presented a token.
        organisation: Option<OrganisationId>,
        /// Takes the answer.
        reply: oneshot::Sender<Addresses>,
    },
    /// Which routers should callers near a data centre use?
    RoutersNear {
        /// The data centre, if the caller names one.
        data_centre: Option<String>,
        /// Takes the addresses.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// Which status is shown to operators?
    Status {
        /// Takes the answer, as JSON.
        reply: oneshot::Sender<String>,
    },
    /// Which entries were created after this offset?
    Catalogue {
        /// The creation offset of the last entry of the previous page.
        after: Option<Offset>,
        /// Takes the answer as JSON, or `None` if the router's catalogue is incomplete.
        reply: oneshot::Sender<Option<String>>,
    },
    /// Does the router accept requests?
    Ready {
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
}

/// The routers' addresses that a caller should use.
#[derive(Debug, Clone)]
pub(crate) struct Addresses {
    /// The addresses, the best first.
    pub(crate) addresses: Vec<String>,
    /// The time for which the addresses are valid.
    pub(crate) valid: Duration,
}

/// The identity of a caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Identity {
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// The limits of the organisation.
    pub(crate) limits: Limits,
}

/// A request before its pool is looked up.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// The identity that events about this request carry.
    pub(crate) id: RequestId,
    /// The caller's organisation.
    pub(crate) organisation: OrganisationId,
    /// When the request had been received.
    pub(crate) arrived: Time,
    /// The name of the pool.
    pub(crate) pool: String,
    /// The kind of service that the pool has to offer.
    pub(crate) kind: Service,
    /// The urgency of the request, if the caller states one.
    pub(crate) class: Option<Class>,
    /// Whether the request may run again.
    pub(crate) repeat: Repeat,
    /// When the caller stops waiting, if stated.
    pub(crate) deadline: Option<Time>,
    /// The estimated tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// The caller's estimate of the tokens to be generated.
    pub(crate) hint_tokens: Option<u32>,
    /// A hash of the pool and the content.
    pub(crate) fingerprint: Fingerprint,
    /// A hash of the leading part of the prompt.
    pub(crate) prefix: Option<Fingerprint>,
}

/// A request to be admitted, with the sender of the decisions about it until its final answer.
#[derive(Debug)]
pub(crate) enum NewRequest {
    /// A request on the project's own interface.
    Request(Arrival, mpsc::UnboundedSender<Decision>),
    /// A request of a caller on a hosting platform.
    Call(HostedCall, mpsc::UnboundedSender<Decision>),
}

impl NewRequest {
    /// Returns the identity that events about the request carry.
    pub(crate) const fn id(&self) -> RequestId {
        match self {
            Self::Request(arrival, _) => arrival.id,
            Self::Call(call, _) => call.id,
        }
    }

    /// Returns how long a request on a hosting platform took to be read. Returns `None` for a request
    /// on the project's own interface.
    pub(crate) fn read_time(&self) -> Option<Duration> {
        match self {
            Self::Request(..) => None,
            Self::Call(call, _) => Some(call.handed_over.since(call.arrived)),
        }
    }

    /// Returns the sender of the decisions about the request.
    pub(crate) const fn decisions(&self) -> &mpsc::UnboundedSender<Decision> {
        match self {
            Self::Request(_, decisions) | Self::Call(_, decisions) => decisions,
        }
    }
}

/// A request of a caller on a hosting platform, before its route is looked up.
#[derive(Debug)]
pub(crate) struct HostedCall {
    /// The identity that events about this request carry.
    pub(crate) id: RequestId,
    /// The host that the caller names.
    pub(crate) host: String,
    /// The path, without the query.
    pub(crate) path: String,
    /// The SHA-256 digest of the caller's token, if the caller presents one.
    pub(crate) token: Option<[u8; 32]>,
    /// When the head of the request was received.
    pub(crate) arrived: Time,
    /// When the request had been read and was handed over to the control thread.
    pub(crate) handed_over: Time,
    /// The decoded head of the request.
    pub(crate) head: bulrushtrestle_platform::request::RequestInfo,
    /// The size of the body, in bytes.
    pub(crate) body_bytes: u32,
    /// A hash of the path and the content.
    pub(crate) fingerprint: Fingerprint,
}

/// How an admitted request of a hosting platform is forwarded to targets.
#[derive(Debug, Clone)]
pub(crate) struct ForwardingPlan {
    /// The name of the route, for logs.
    pub(crate) route: String,
    /// The time that reading the request took, for logs.
    pub(crate) read_time: Duration,
    /// The time for which the request waited for the control thread, for logs.
    pub(crate) handover_wait: Duration,
    /// The name of the caller's organisation. `None` if the route allows anonymous callers.
    pub(crate) organisation: Option<String>,
    /// When the final answer is due.
    pub(crate) until: Time,
    /// When the caller stops waiting, if stated.
    pub(crate) deadline: Option<Time>,
    /// Whether answers are event streams.
    pub(crate) streams: bool,
    /// Whether the request may run again and its stream may be resumed.
    pub(crate) repeatable: bool,
}

/// The names that identify attempts to targets, unique in the fleet.
#[derive(Debug, Clone)]
pub(crate) struct AttemptNames(String);

impl AttemptNames {
    /// Returns the names for one run of a router.
    pub(crate) fn new(router: u32, incarnation: Incarnation) -> Self {
        Self(format!("{router}-{:x}", incarnation.0))
    }

    /// Returns the name of an attempt.
    pub(crate) fn name(&self, attempt: AttemptId) -> String {
        format!("{}-{}", self.0, attempt.0)
    }
}

/// A decision about a request.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// The request is admitted and forwarded by this plan. Sent only for requests on a hosting
    /// platform.
    Admitted(Arc<ForwardingPlan>),
    /// Send the request to a target.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The address of the target.
        address: SocketAddr,
        /// The name of the target.
        target: String,
        /// The information on which the decision was based.
        basis: Basis,
    },
    /// Stop an attempt.
    Abort(AttemptId),
    /// Refuse the request. This is the caller's final answer.
    Refuse(Refusal),
}

/// An event that a traffic thread reports without waiting for an answer.
#[derive(Debug)]
pub(crate) enum LocalEvent {
    /// The caller has left.
    Cancelled(RequestId),
    /// The time limit of a request has passed, and the caller has received its final answer.
    TimedOut(RequestId),
    /// The head of an attempt's answer arrived.
    Head(AttemptId, AnswerHead),
    /// The target of this name stated something about further requests.
    Notice(String, TargetNotice),
    /// An event of an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// The tokens that attempts have answered so far.
    Progress(Vec<(AttemptId, u64)>),
    /// An operator allows a barred part of prompts again.
    LiftBar(Fingerprint),
    /// The process was asked to stop.
    Stop,
}
