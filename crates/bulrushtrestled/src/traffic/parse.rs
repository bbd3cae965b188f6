//! Parsing of the headers and the body of a caller's request.

use std::time::Duration;

use bulrushtrestle_core::key::Fingerprint;
use bulrushtrestle_core::request::{Class, Repeat};
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Deserialize;
use serde_json::Value;
use uuid::Uuid;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The bytes of a prompt that are estimated to be one token.
const BYTES_PER_TOKEN: usize = 4;

/// The number of leading bytes of a conversation that are hashed. Requests with the same hash are
/// treated as sharing a prompt prefix.
const PREFIX_BYTES: usize = 1_024;

/// The longest deadline that a caller may set, in milliseconds from the arrival of the request.
const DEADLINE_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// The values of the optional request headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Options {
    /// The idempotency key.
    pub(super) key: Option<Uuid>,
    /// The caller's estimate of the request's cost, in tokens.
    pub(super) hint_tokens: Option<u32>,
    /// How long the caller waits for the answer.
    pub(super) timeout: Option<Duration>,
    /// The priority class of the request.
    pub(super) class: Option<Class>,
}

/// The content of a chat request.
#[derive(Debug)]
pub(super) struct Chat {
    pub(super) model: String,
    /// Whether the caller asked for a streamed answer.
    pub(super) stream: bool,
    /// The body to send to the engine. It always asks for a streamed answer.
    pub(super) body: Bytes,
    /// The estimated number of tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// The hash of the model and the leading part of the conversation.
    pub(super) prefix: Fingerprint,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    messages: Vec<Message>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl Options {
    /// Parses the optional headers.
    pub(super) fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        Ok(Self {
            key: key(headers)?,
            hint_tokens: number(headers, "x-cost-hint", 0, u64::from(u32::MAX))?
                .map(|n| u32::try_from(n).unwrap_or(u32::MAX)),
            timeout: number(headers, "x-deadline-ms", 1, DEADLINE_MAX_MS)?
                .map(Duration::from_millis),
            class: class(headers)?,
        })
    }

    /// Returns whether a chat request may be repeated.
    pub(super) fn repeat_chat(&self) -> Repeat {
        self.key.map_or(Repeat::Allowed, Repeat::Once)
    }

    /// Returns whether a call to a plain service may be repeated.
    pub(super) fn repeat_plain(&self, method: &Method) -> Repeat {
        match self.key {
            Some(key) => Repeat::Once(key),
            None if matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS) => {
                Repeat::Allowed
            }
            None => Repeat::Unkeyed,
        }
    }
}

impl Chat {
    /// Parses the body of a chat request.
    pub(super) fn read(body: &Bytes) -> Result<Self, Refusal> {
        let chat: ChatBody = serde_json::from_slice(body).map_err(|_| malformed())?;
        if chat.model.is_empty() || chat.messages.is_empty() {
            return Err(malformed());
        }
        let prompt = chat.messages.iter().map(|m| text_bytes(&m.content)).sum();
        Ok(Self {
            prompt_tokens: tokens(prompt),
            prefix: prefix(&chat.model, &chat.messages),
            body: match chat.stream {
                true => body.clone(),
                false => with_streaming(body)?,
            },
            stream: chat.stream,
            model: chat.model,
        })
    }
}

/// Returns the hash of the parts that identify the content of a request.
pub(super) fn fingerprint<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(hasher.digest())
}

/// Returns the refusal of a malformed request.
pub(super) const fn malformed() -> Refusal {
    Refusal::not_run(Reason::Malformed, None)
}

/// Parses the idempotency key, which must be a UUID of version 7.
fn key(headers: &HeaderMap) -> Result<Option<Uuid>, Refusal> {
    const VERSION: usize = 7;
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| Uuid::try_parse(text).ok())
        .filter(|key| key.get_version_num() == VERSION)
        .map(Some)
        .ok_or(Refusal::not_run(Reason::KeyInvalid, None))
}

fn class(headers: &HeaderMap) -> Result<Option<Class>, Refusal> {
    let Some(value) = headers.get("x-class") else {
        return Ok(None);
    };
    Class::ALL
        .into_iter()
        .find(|class| value.as_bytes() == class.as_str().as_bytes())
        .map(Some)
        .ok_or(malformed())
}

/// Parses a header whose value is an integer from `min` to `max`.
fn number(headers: &HeaderMap, name: &str, min: u64, max: u64) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|n| (min..=max).contains(n))
        .map(Some)
        .ok_or(malformed())
}

/// Returns the body of a chat request with its `stream` member set to `true`.
fn with_streaming(body: &Bytes) -> Result<Bytes, Refusal> {
    let mut value: Value = serde_json::from_slice(body).map_err(|_| malformed())?;
    value["stream"] = Value::Bool(true);
    let body = serde_json::to_vec(&value).map_err(|_| malformed())?;
    Ok(body.into())
}

/// Returns the total length of the text in the content of a message, in bytes.
fn text_bytes(content: &Value) -> usize {
    match content {
        Value::String(text) => text.len(),
        Value::Array(parts) => parts.iter().map(text_bytes).sum(),
        Value::Object(part) => part.get("text").map_or(0, text_bytes),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

/// Returns the estimated number of tokens in a text of this many bytes.
fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the hash of the model and the first [`PREFIX_BYTES`] bytes of the conversation.
fn prefix(model: &str, messages: &[Message]) -> Fingerprint {
    let mut lead = Vec::with_capacity(PREFIX_BYTES);
    lead.extend_from_slice(model.as_bytes());
    for message in messages {
        if lead.len() >= PREFIX_BYTES {
            break;
        }
        lead.push(0);
        lead.extend_from_slice(message.role.as_bytes());
        lead.push(0);
        match &message.content {
            Value::String(text) => lead.extend_from_slice(text.as_bytes()),
            other => lead.extend_from_slice(other.to_string().as_bytes()),
        }
    }
    lead.truncate(PREFIX_BYTES);
    Fingerprint(xxh3_64(&lead))
}
