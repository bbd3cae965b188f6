//! A request as the decisions see it. The body stays with the embedding.

use core::time::Duration;

use crate::key::{Fingerprint, OrganisationId, PoolId, RequestId};
use crate::time::Time;

/// How a request is scheduled against others of the same organisation.
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
    /// Short requests with somebody waiting for the answer.
    #[default]
    Interactive,
    /// Long requests that may wait, and that are the first to be interrupted and resumed.
    Batch,
}

impl Class {
    /// Every class, the most urgent first.
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
    /// Running it again does no harm.
    Allowed,
    /// It runs at most once in the fleet. The key is the caller's UUID of version 7.
    Once(uuid::Uuid),
    /// It runs at most once, but the caller gave no key: it is never sent a second time once a
    /// byte of it may have reached a target.
    Unkeyed,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What it contains, hashed.
    pub content: Fingerprint,
    /// How many tokens it has.
    pub tokens: u32,
}

/// What is known of a request besides who asks for what. An embedding that knows less leaves the defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestDetails {
    /// The parts of the prompt, in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// How many targets may run it; the node's own limit if there is none.
    pub attempts_max: Option<u32>,
    /// Within which time the first of the answer is on time.
    pub objective: Option<Duration>,
    /// Tokens that are likely to be generated, as the caller guesses, or the most that it allows.
    pub output_tokens: u32,
    /// The size of its body, in bytes.
    pub body_bytes: u32,
    /// When it was there, if that was before the node hears of it: what it waited until then counts as waiting.
    pub arrived: Option<Time>,
}

/// A request that arrived at this router.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identity that events about this request carry.
    pub id: RequestId,
    /// Who asks; the embedding looked it up by the bearer token.
    pub organisation: OrganisationId,
    /// Which model or plain service is asked for.
    pub pool: PoolId,
    /// How urgent it is; `None` takes the class of the organisation's entry.
    pub class: Option<Class>,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// When the caller gives up; the node shortens it to its own limit.
    pub deadline: Option<Time>,
    /// Tokens of the prompt, as estimated from the length of the body; zero for plain services.
    pub prompt_tokens: u32,
    /// A rough guess by the caller of the tokens to be generated. It may be wrong by any factor.
    pub hint_tokens: Option<u32>,
    /// The hash of pool and content.
    pub fingerprint: Fingerprint,
    /// The hash of the leading part of the prompt, for prefix affinity.
    pub prefix: Option<Fingerprint>,
    /// What else is known of it.
    pub details: RequestDetails,
}
