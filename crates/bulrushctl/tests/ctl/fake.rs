//! A fake router with the interfaces for callers and operators. The test sets the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The time limit of the wait for requests. It only stops a test that hangs: no test needs nearly as
/// long.
const REQUESTS_TIMEOUT: Duration = Duration::from_secs(20);

/// How the router answers a chat request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Answer {
    /// This many tokens and the end mark, after a delay.
    Complete { tokens: u64, after: Duration },
    /// This many tokens and no end mark.
    Truncated { tokens: u64 },
    /// This many tokens. All carry the mark of the request, except for the last token, which carries
    /// the mark of another request.
    Crossed { tokens: u64 },
    /// Tokens whose numbers have a gap, and the end mark.
    Gap,
    /// A refusal with the reason `queue_full`.
    Refused,
    /// No answer; the request stays open.
    Hang,
}

/// The settings of the fake router.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    /// How the router answers chat requests.
    pub(crate) answer: Answer,
    /// The addresses that `/v1/addresses` returns; the router's own address if empty.
    pub(crate) addresses: Vec<String>,
    /// The entries of the router's catalogue, and the offset up to which it has applied the log. If
    /// `None`, the catalogue is unavailable.
    pub(crate) catalogue: Option<(Vec<Value>, u64)>,
    /// The answers to successive `/status` requests. The last one is repeated.
    pub(crate) status: Vec<Value>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            answer: Answer::Complete {
                tokens: 4,
                after: Duration::ZERO,
            },
            addresses: Vec::new(),
            catalogue: None,
            status: Vec::new(),
        }
    }
}

/// A running fake router, stopped on drop.
pub(crate) struct Handle {
    pub(crate) address: SocketAddr,
    app: Arc<App>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Waits until this many chat requests have arrived.
    pub(crate) async fn requests_reach(&self, requests: u64) {
        let reached = async {
            while self.app.requests.load(Ordering::SeqCst) < requests {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let reached = tokio::time::timeout(REQUESTS_TIMEOUT, reached).await;
        reached.expect("the requests arrive in time");
    }
}

impl Handle {
    /// Returns a header of the last chat request.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let headers = self
            .app
            .headers
            .lock()
            .expect("no thread panics with this lock");
        let value = headers.get(name)?.to_str();
        Some(value.expect("headers are text").to_owned())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct App {
    cfg: Config,
    address: SocketAddr,
    status_requests: AtomicU64,
    requests: AtomicU64,
    headers: Mutex<HeaderMap>,
}

/// Starts a fake router that accepts the token `secret`.
pub(crate) async fn spawn(cfg: Config) -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let app = Arc::new(App {
        cfg,
        address,
        status_requests: AtomicU64::new(0),
        requests: AtomicU64::new(0),
        headers: Mutex::default(),
    });
    let routes = Router::new()
        .route("/v1/addresses", get(addresses))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/services/{*path}", any(plain))
        .route("/status", get(status))
        .route("/catalogue", get(catalogue))
        .layer(axum::middleware::from_fn(authorise))
        .with_state(Arc::clone(&app));
    let task = tokio::spawn(async move {
        axum::serve(listener, routes)
            .await
            .expect("the listener stays open");
    });
    Handle { address, app, task }
}

async fn authorise(
    headers: HeaderMap,
    req: axum::extract::Request,
    next: axum::middleware::Next,
) -> Response {
    let token = headers.get(header::AUTHORIZATION);
    if token.is_none_or(|token| token != "Bearer secret") {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    next.run(req).await
}

async fn addresses(State(app): State<Arc<App>>) -> Json<Value> {
    let mut addresses = app.cfg.addresses.clone();
    if addresses.is_empty() {
        addresses.push(app.address.to_string());
    }
    Json(json!({ "addresses": addresses, "valid_for_ms": 30_000, "keys": [] }))
}

async fn status(State(app): State<Arc<App>>) -> Json<Value> {
    let request = app.status_requests.fetch_add(1, Ordering::SeqCst);
    let last = app.cfg.status.len().saturating_sub(1);
    let n = usize::try_from(request).unwrap_or(usize::MAX).min(last);
    Json(app.cfg.status.get(n).cloned().unwrap_or_default())
}

#[derive(serde::Deserialize)]
struct After {
    after: Option<u64>,
}

/// Returns one entry per page, so that a reader has to request every page.
async fn catalogue(State(app): State<Arc<App>>, Query(query): Query<After>) -> Response {
    let Some((entries, applied)) = &app.cfg.catalogue else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let is_next = |entry: &&Value| {
        query
            .after
            .is_none_or(|after| entry["created"].as_u64() > Some(after))
    };
    let entries: Vec<&Value> = entries.iter().filter(is_next).take(1).collect();
    Json(json!({ "applied": applied, "entries": entries })).into_response()
}

async fn plain(body: Bytes) -> Bytes {
    body
}

async fn chat(State(app): State<Arc<App>>, headers: HeaderMap, body: String) -> Response {
    *app.headers.lock().expect("no thread panics with this lock") = headers;
    app.requests.fetch_add(1, Ordering::SeqCst);
    let numbers: Vec<u64> = match app.cfg.answer {
        Answer::Complete { tokens, after } => {
            tokio::time::sleep(after).await;
            (1..=tokens).collect()
        }
        Answer::Truncated { tokens } | Answer::Crossed { tokens } => (1..=tokens).collect(),
        Answer::Gap => vec![1, 3],
        Answer::Refused => return refusal(),
        Answer::Hang => std::future::pending().await,
    };
    let last = numbers.last().copied();
    let mut text = String::new();
    for number in numbers {
        let crossed = matches!(app.cfg.answer, Answer::Crossed { .. }) && Some(number) == last;
        let mark = if crossed { "another" } else { mark(&body) };
        text.push_str(&format!(
            "id: {number}\ndata: {{\"content\":\"{mark}\"}}\n\n"
        ));
    }
    if !matches!(app.cfg.answer, Answer::Truncated { .. }) {
        text.push_str("data: [DONE]\n\n");
    }
    Body::from(text).into_response()
}

fn refusal() -> Response {
    let headers = [
        (header::CONTENT_TYPE, "application/problem+json"),
        (header::RETRY_AFTER, "2"),
    ];
    let problem = json!({ "verdict": "not_run", "reason": "queue_full" });
    (StatusCode::TOO_MANY_REQUESTS, headers, problem.to_string()).into_response()
}

/// Returns the mark that the body of a chat request contains.
fn mark(body: &str) -> &str {
    let (_, rest) = body.split_once("[echo=").unwrap_or_default();
    rest.split_once(']').unwrap_or_default().0
}
