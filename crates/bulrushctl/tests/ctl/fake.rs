//! A router as far as callers and operators see it, with answers set by the test.

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

/// The longest time that a test waits for a request; far more than any needs.
const PATIENCE: Duration = Duration::from_secs(20);

/// How a router answers a chat request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Answer {
    /// This many tokens and the end mark, after a while.
    Whole { tokens: u64, after: Duration },
    /// This many tokens and no end mark.
    Truncated { tokens: u64 },
    /// This many tokens that carry the mark of the request, the last one that of another request.
    Crossed { tokens: u64 },
    /// Tokens with a number left out, and the end mark.
    Gap,
    /// A refusal.
    Refused,
    /// Nothing, ever.
    Silent,
}

/// The settings of a router.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    /// How it answers chat requests.
    pub(crate) answer: Answer,
    /// The addresses that it names; its own if empty.
    pub(crate) addresses: Vec<String>,
    /// The entries of its catalogue, and the offset up to which it has applied the log.
    pub(crate) catalogue: Option<(Vec<Value>, u64)>,
    /// What it shows to operators, one after another; the last stays.
    pub(crate) status: Vec<Value>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            answer: Answer::Whole {
                tokens: 4,
                after: Duration::ZERO,
            },
            addresses: Vec::new(),
            catalogue: None,
            status: Vec::new(),
        }
    }
}

/// A running router.
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
        let reached = tokio::time::timeout(PATIENCE, reached).await;
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
    looks: AtomicU64,
    requests: AtomicU64,
    headers: Mutex<HeaderMap>,
}

/// Starts a router that knows the token `secret`.
pub(crate) async fn spawn(cfg: Config) -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let app = Arc::new(App {
        cfg,
        address,
        looks: AtomicU64::new(0),
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
    let look = app.looks.fetch_add(1, Ordering::SeqCst);
    let last = app.cfg.status.len().saturating_sub(1);
    let n = usize::try_from(look).unwrap_or(usize::MAX).min(last);
    Json(app.cfg.status.get(n).cloned().unwrap_or_default())
}

#[derive(serde::Deserialize)]
struct After {
    after: Option<u64>,
}

/// Answers one entry at a time, so that a page is never the whole.
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
        Answer::Whole { tokens, after } => {
            tokio::time::sleep(after).await;
            (1..=tokens).collect()
        }
        Answer::Truncated { tokens } | Answer::Crossed { tokens } => (1..=tokens).collect(),
        Answer::Gap => vec![1, 3],
        Answer::Refused => return refusal(),
        Answer::Silent => std::future::pending().await,
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

/// Returns the mark of a request.
fn mark(body: &str) -> &str {
    let (_, rest) = body.split_once("[echo=").unwrap_or_default();
    rest.split_once(']').unwrap_or_default().0
}
