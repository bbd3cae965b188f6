//! Builds the requests of an experiment.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;
use uuid::Uuid;

use super::experiment::{Kind, Organisation, Stream};

/// The header with the class of a request.
const CLASS_HEADER: &str = "x-class";
/// The header with the deadline of a request, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header with the caller's estimate of the number of answer tokens.
const HINT_HEADER: &str = "x-cost-hint";

/// The body of a request, with a mark that is unique to the request.
#[derive(Debug)]
pub(super) struct Body {
    bytes: Bytes,
    mark: Option<String>,
}

impl Body {
    /// Returns a body that differs from all others, as the bodies of real callers do.
    pub(super) fn new(organisation: &Organisation, stream: &Stream) -> Self {
        let mark = Uuid::now_v7().simple().to_string();
        let text = match stream.kind {
            Kind::Chat => chat(&organisation.name, stream, &mark),
            Kind::Plain => format!("{mark} {}", filler("clock ", stream.body_bytes)),
        };
        Self {
            bytes: text.into(),
            mark: stream.echo.then_some(mark),
        }
    }

    /// Returns the mark that each part of an answer to this request has to contain; `None` if targets
    /// do not echo the mark.
    pub(super) fn mark(&self) -> Option<&str> {
        self.mark.as_deref()
    }
}

/// Returns a request to a router with the headers that its stream specifies.
pub(super) fn request(
    router: SocketAddr,
    organisation: &Organisation,
    stream: &Stream,
    key: Option<Uuid>,
    body: &Body,
) -> Request<Full<Bytes>> {
    let path = match stream.kind {
        Kind::Chat => "/v1/chat/completions".to_owned(),
        Kind::Plain => format!("/v1/services/{}{}", stream.pool, stream.path),
    };
    let token = organisation.token.as_deref().unwrap_or_default();
    let mut req = Request::post(format!("http://{router}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(class) = stream.class {
        req = req.header(CLASS_HEADER, class.as_str());
    }
    if let Some(deadline) = stream.deadline_ms {
        req = req.header(DEADLINE_HEADER, deadline);
    }
    if let Some(tokens) = stream.hint_tokens {
        req = req.header(HINT_HEADER, tokens);
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key.to_string());
    }
    req.body(Full::new(body.bytes.clone()))
        .expect("tokens, pools and paths were checked")
}

/// Returns the body of a chat request. The prompt begins with the prefix that the organisation's
/// prompts have in common.
fn chat(organisation: &str, stream: &Stream, mark: &str) -> String {
    let mut content = filler(&format!("{organisation} "), stream.prefix_bytes);
    content.push_str(&format!("[echo={mark}] "));
    if let Some(tokens) = stream.answer_tokens {
        content.push_str(&format!("[tokens={tokens}] "));
    }
    content.push_str(&filler("clock ", stream.body_bytes));
    json!({
        "model": stream.pool,
        "messages": [{ "role": "user", "content": content }],
        "stream": true,
        "max_tokens": stream.max_tokens,
    })
    .to_string()
}

/// Returns a text of this many bytes that repeats `words`.
fn filler(words: &str, bytes: u64) -> String {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    words.chars().cycle().take(bytes).collect()
}
