//! What the traffic threads and the control thread tell each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::{Limits, Service};
use bulrushtrestle_core::input::{AttemptEvent, TargetLoad};
use bulrushtrestle_core::key::{
    AttemptId, Fingerprint, Incarnation, Offset, OrganisationId, RequestId,
};
use bulrushtrestle_core::output::Basis;
use bulrushtrestle_core::request::{Class, Repeat};
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::Refusal;
use tokio::sync::{mpsc, oneshot};

/// Something that waits for an answer of the control thread.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Whose token is it?
    Identity {
        /// The SHA-256 sum of the token.
        sum: [u8; 32],
        /// Takes the answer.
        reply: oneshot::Sender<Result<Identity, Refusal>>,
    },
    /// Which addresses should a caller use?
    Addresses {
        /// The caller's organisation, if it showed a token.
        organisation: Option<OrganisationId>,
        /// Takes the answer.
        reply: oneshot::Sender<Addresses>,
    },
    /// Which routers should callers near a data centre use?
    Near {
        /// The data centre, if the caller names one.
        data_centre: Option<String>,
        /// Takes the addresses.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// What do operators see?
    Status {
        /// Takes the answer, as JSON.
        reply: oneshot::Sender<String>,
    },
    /// Which entries were created after this offset?
    Catalogue {
        /// The offset at which the last entry of the page before was created.
        after: Option<Offset>,
        /// Takes the answer, as JSON; nothing if the router is not current.
        reply: oneshot::Sender<Option<String>>,
    },
    /// Does the router take requests?
    Ready {
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
}

/// The addresses that a caller should use.
#[derive(Debug, Clone)]
pub(crate) struct Addresses {
    /// The addresses, the best first.
    pub(crate) addresses: Vec<String>,
    /// For how long the answer holds.
    pub(crate) valid: Duration,
}

/// Who a caller is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Identity {
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// Its limits.
    pub(crate) limits: Limits,
}

/// A request before its pool is looked up.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// The identity that events about this request carry.
    pub(crate) id: RequestId,
    /// Who asks.
    pub(crate) organisation: OrganisationId,
    /// When the request was there.
    pub(crate) arrived: Time,
    /// The name of the pool.
    pub(crate) pool: String,
    /// What the pool has to be.
    pub(crate) kind: Service,
    /// How urgent it is.
    pub(crate) class: Option<Class>,
    /// Whether it may be repeated.
    pub(crate) repeat: Repeat,
    /// When the caller gives up.
    pub(crate) deadline: Option<Time>,
    /// Tokens of the prompt, estimated.
    pub(crate) prompt_tokens: u32,
    /// Tokens to be generated, as the caller guesses.
    pub(crate) hint_tokens: Option<u32>,
    /// The hash of pool and content.
    pub(crate) fingerprint: Fingerprint,
    /// The hash of the leading part of the prompt.
    pub(crate) prefix: Option<Fingerprint>,
}

/// A request that wants to be run, with where it is told what is decided about it until the final answer.
#[derive(Debug)]
pub(crate) enum Arriving {
    /// One of the project's own interface.
    Request(Arrival, mpsc::UnboundedSender<Decision>),
    /// One of a caller of a hosting platform.
    Call(HostedCall, mpsc::UnboundedSender<Decision>),
}

impl Arriving {
    /// Returns the identity that events about the request carry.
    pub(crate) const fn id(&self) -> RequestId {
        match self {
            Self::Request(arrival, _) => arrival.id,
            Self::Call(call, _) => call.id,
        }
    }

    /// Returns how long a call of a hosting platform took to be read.
    pub(crate) fn read(&self) -> Option<Duration> {
        match self {
            Self::Request(..) => None,
            Self::Call(call, _) => Some(call.handed_over.since(call.arrived)),
        }
    }

    /// Returns where it is told what is decided.
    pub(crate) const fn decisions(&self) -> &mpsc::UnboundedSender<Decision> {
        match self {
            Self::Request(_, decisions) | Self::Call(_, decisions) => decisions,
        }
    }
}

/// A request of a hosting platform before its route is looked up.
#[derive(Debug)]
pub(crate) struct HostedCall {
    /// The identity that events about this request carry.
    pub(crate) id: RequestId,
    /// The host that the caller names.
    pub(crate) host: String,
    /// The path, without the query.
    pub(crate) path: String,
    /// The SHA-256 sum of the caller's token, if it shows one.
    pub(crate) token: Option<[u8; 32]>,
    /// When the request was there.
    pub(crate) arrived: Time,
    /// When it had been read and was handed over.
    pub(crate) handed_over: Time,
    /// What else its head says.
    pub(crate) said: bulrushtrestle_platform::request::RequestInfo,
    /// The size of the body, in bytes.
    pub(crate) body_bytes: u32,
    /// The hash of path and content.
    pub(crate) fingerprint: Fingerprint,
}

/// How a request of a hosting platform goes on to targets.
#[derive(Debug, Clone)]
pub(crate) struct Passage {
    /// The name of the route, for logs.
    pub(crate) route: String,
    /// How long the request took to be read, for logs.
    pub(crate) read: Duration,
    /// How long the request waited for the control thread, for logs.
    pub(crate) handed: Duration,
    /// The caller's organisation, if the route's callers show a token.
    pub(crate) organisation: Option<String>,
    /// When the final answer has to be there.
    pub(crate) until: Time,
    /// When the caller gives up, if it says.
    pub(crate) deadline: Option<Time>,
    /// Whether answers are streams of events.
    pub(crate) streams: bool,
    /// Whether the request may run again, and its stream be resumed.
    pub(crate) repeatable: bool,
}

/// The names by which targets know attempts, distinct in the whole fleet.
#[derive(Debug, Clone)]
pub(crate) struct AttemptNames(String);

impl AttemptNames {
    /// Returns the names of a router's run.
    pub(crate) fn new(router: u32, incarnation: Incarnation) -> Self {
        Self(format!("{router}-{:x}", incarnation.0))
    }

    /// Returns the name of an attempt.
    pub(crate) fn name(&self, attempt: AttemptId) -> String {
        format!("{}-{}", self.0, attempt.0)
    }
}

/// What is decided about a request.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// It is taken in, and goes on like this. Only requests of a hosting platform are told.
    Taken(Arc<Passage>),
    /// Send it to a target.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Where the target is.
        address: SocketAddr,
        /// The name of the target.
        target: String,
        /// How much of the answer the caller has already.
        resume_from: u64,
        /// What the decision rested on.
        basis: Basis,
    },
    /// Stop an attempt.
    Abort(AttemptId),
    /// Give the caller its final answer.
    Refuse(Refusal),
}

/// Something that happened to a request that was taken in.
#[derive(Debug)]
pub(crate) enum Note {
    /// The caller has left.
    Cancelled(RequestId),
    /// The longest time that a request may take has passed, and the caller has its final answer.
    TimedOut(RequestId),
    /// A target told of its load along with an answer.
    Load(AttemptId, TargetLoad),
    /// Something was learnt about an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// How far the answers of attempts have come.
    Progress(Vec<(AttemptId, u64)>),
    /// The process was asked to stop.
    Stop,
}
