//! The properties of a request on which decisions depend. The embedding keeps the body.

use core::time::Duration;

use crate::key::{Fingerprint, OrganisationId, PoolId, RequestId};
use crate::time::Time;

/// The scheduling class of a request among requests of the same organisation.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short requests for which a user waits.
    #[default]
    Interactive,
    /// Long requests that may wait. They are interrupted and resumed before interactive ones.
    Batch,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 2] = [Self::Interactive, Self::Batch];

    /// Returns the stable name of the class.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Allowed,
    /// The request runs at most once in the fleet. The key is the caller's UUID of version 7.
    Once(uuid::Uuid),
    /// The request runs at most once, but the caller supplied no key. It is never sent again once a
    /// byte of it may have reached a target.
    Unkeyed,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of the content of this part.
    pub content: Fingerprint,
    /// The length of this part in tokens.
    pub tokens: u32,
}

/// Optional properties of a request. An embedding leaves those that it does not know at their
/// defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestDetails {
    /// The parts of the prompt, in order. The last part is specific to this request.
    pub parts: Vec<PromptPart>,
    /// How many targets may run the request. `None` applies only the node's own limit.
    pub attempts_max: Option<u32>,
    /// The latency objective: the time within which the first part of the answer is due.
    pub objective: Option<Duration>,
    /// The longest pause between two events of the answer with which a stream is on time.
    pub gap_max: Option<Duration>,
    /// The number of tokens to be generated: the caller's estimate or, without one, the caller's
    /// upper limit.
    pub output_tokens: u32,
    /// The size of the body in bytes.
    pub body_bytes: u32,
    /// When the request arrived, if that was before the node received it. The time in between
    /// counts as waiting time.
    pub arrived: Option<Time>,
    /// Whether the request continues a stream of which the caller has received a part.
    pub is_resumed: bool,
}

/// A request that arrived at this router.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identity that events about this request carry.
    pub id: RequestId,
    /// The organisation that sent the request, found by the embedding from the bearer token.
    pub organisation: OrganisationId,
    /// The pool (model or plain service) that the request addresses.
    pub pool: PoolId,
    /// The scheduling class; `None` selects the class of the organisation's entry.
    pub class: Option<Class>,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// When the caller stops waiting. The node shortens a later deadline to its own limit.
    pub deadline: Option<Time>,
    /// The length of the prompt in tokens, estimated from the length of the body. Zero for plain
    /// services.
    pub prompt_tokens: u32,
    /// The caller's estimate of the tokens to be generated. It may be wrong by any factor.
    pub hint_tokens: Option<u32>,
    /// The hash of the pool and the content.
    pub fingerprint: Fingerprint,
    /// The hash of the beginning of the prompt, for prefix affinity.
    pub prefix: Option<Fingerprint>,
    /// Optional properties.
    pub details: RequestDetails,
}
