//! Building requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;
use uuid::Uuid;

use super::experiment::{Kind, Organisation, Stream};

/// The header that names the class of a request.
const CLASS: &str = "x-class";
/// The header that says how long the caller waits.
const DEADLINE: &str = "x-deadline-ms";
/// The header with the caller's guess of the tokens of the answer.
const HINT: &str = "x-cost-hint";

/// The body of a request, with a mark of its own.
#[derive(Debug)]
pub(super) struct Body {
    bytes: Bytes,
    mark: Option<String>,
}

impl Body {
    /// Returns a body that differs from every other, as those of real callers do.
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

    /// Returns what each part of an answer has to contain to belong to this request.
    pub(super) fn mark(&self) -> Option<&str> {
        self.mark.as_deref()
    }
}

/// Returns a request to a router.
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
        req = req.header(CLASS, class.as_str());
    }
    if let Some(deadline) = stream.deadline_ms {
        req = req.header(DEADLINE, deadline);
    }
    if let Some(tokens) = stream.hint_tokens {
        req = req.header(HINT, tokens);
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key.to_string());
    }
    req.body(Full::new(body.bytes.clone()))
        .expect("tokens, pools and paths were checked")
}

/// Returns a chat request. Its prompt begins with what the organisation's prompts have in common.
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

fn filler(words: &str, bytes: u64) -> String {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    words.chars().cycle().take(bytes).collect()
}
