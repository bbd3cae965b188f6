//! The operators' listener, which serves metrics, health, readiness, status and the catalogue.
//!
//! Every path requires one of the operators' tokens, except the metrics if the settings open them.

use std::sync::Arc;
use std::time::Duration;

use axum::error_handling::HandleErrorLayer;
use axum::extract::{Path, Query, Request, State};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get};
use axum::{BoxError, Router};
use bulrushtrestle_core::key::{Fingerprint, Offset};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use tower::ServiceBuilder;

use crate::control::Handle;
use crate::listener::{self, Event, Gate, Limits, Protocols};
use crate::metrics::{Edge, Metrics};
use crate::settings;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The most concurrent requests of operators.
const REQUESTS_MAX: usize = 16;

/// The most open connections of operators.
const CONNECTIONS_MAX: usize = 64;

/// The largest size of a request's head.
const HEADER_BYTES_MAX: usize = 8 * 1024;

/// The time-out for receiving a request's head, and for an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The response to a connection over the limit.
const OVER_LIMIT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The time-out for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The state shared by the handlers of all paths.
#[derive(Debug)]
pub(crate) struct App {
    tokens: Vec<[u8; 32]>,
    metrics_open: bool,
    control: Handle,
    metrics: Arc<Metrics>,
}

impl App {
    /// Returns the state for the handlers.
    pub(crate) fn new(cfg: &settings::Operators, control: Handle, metrics: Arc<Metrics>) -> Self {
        Self {
            tokens: cfg.tokens.clone(),
            metrics_open: cfg.metrics_open,
            control,
            metrics,
        }
    }
}

/// Serves operators until the process ends.
pub(crate) async fn serve(listener: TcpListener, app: App) {
    let counters = Arc::clone(&app.metrics);
    let busy = counters.busy.clone();
    let app = Arc::new(app);
    let limits = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(|_: BoxError| async {
            StatusCode::SERVICE_UNAVAILABLE
        }))
        .load_shed()
        .layer(tower::limit::GlobalConcurrencyLimitLayer::new(REQUESTS_MAX))
        .timeout(ANSWER_TIMEOUT);
    let router = Router::new()
        .route(METRICS_PATH, get(metrics))
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .route("/status", get(status))
        .route("/catalogue", get(catalogue))
        .route("/barred-parts/{part}", delete(lift_bar))
        .layer(limits)
        .layer(middleware::from_fn_with_state(Arc::clone(&app), authorise))
        .with_state(app);
    let limits = Limits {
        connections_max: CONNECTIONS_MAX,
        per_address_max: CONNECTIONS_MAX,
        header_bytes_max: HEADER_BYTES_MAX,
        header_timeout: HEADER_TIMEOUT,
        over_limit_response: Bytes::from_static(OVER_LIMIT_RESPONSE),
        protocols: Protocols::Both,
    };
    let events = move |event| {
        if event == Event::OverLimit {
            counters.edge(Edge::OperatorConnectionRefused);
        }
    };
    // The listener stays open during a planned stop, so that operators can follow the stop to its end.
    let (_open, never) = watch::channel(false);
    let gate = Gate::open(never);
    listener::serve(listener, router, limits, events, gate, busy).await;
}

/// Rejects requests that need a token and have none that is valid.
async fn authorise(State(app): State<Arc<App>>, req: Request, next: Next) -> Response {
    let is_open = app.metrics_open && req.uri().path() == METRICS_PATH;
    if is_open || is_allowed(req.headers(), &app.tokens) {
        return next.run(req).await;
    }
    app.metrics.edge(Edge::OperatorRefused);
    StatusCode::UNAUTHORIZED.into_response()
}

/// Returns whether the headers carry one of the tokens. Compares with every token in constant time, so
/// that the duration reveals nothing about how much of a token matches.
fn is_allowed(headers: &HeaderMap, tokens: &[[u8; 32]]) -> bool {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let Some(token) = token else {
        return false;
    };
    let sum: [u8; 32] = Sha256::digest(token).into();
    tokens
        .iter()
        .fold(subtle::Choice::from(0), |found, token| {
            found | token.ct_eq(&sum)
        })
        .into()
}

async fn metrics(State(app): State<Arc<App>>) -> impl IntoResponse {
    (
        [(CONTENT_TYPE, "text/plain; version=0.0.4")],
        app.metrics.render(),
    )
}

/// Reports the process as healthy if its control thread answers.
async fn health(State(app): State<Arc<App>>) -> StatusCode {
    match timeout(ANSWER_TIMEOUT / 2, app.control.is_ready()).await {
        Ok(Ok(_)) => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Reports whether the router accepts requests.
async fn ready(State(app): State<Arc<App>>) -> StatusCode {
    match timeout(ANSWER_TIMEOUT / 2, app.control.is_ready()).await {
        Ok(Ok(true)) => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn status(State(app): State<Arc<App>>) -> Response {
    match app.control.status().await {
        Ok(json) => ([(CONTENT_TYPE, "application/json")], json).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// The query parameters of a page of the catalogue.
#[derive(Debug, serde::Deserialize)]
struct PageQuery {
    /// The creation offset of the last entry of the previous page.
    after: Option<Offset>,
}

/// Serves a page of the catalogue. Tools read the catalogue here because a long log takes long to
/// read.
async fn catalogue(State(app): State<Arc<App>>, Query(query): Query<PageQuery>) -> Response {
    match app.control.catalogue(query.after).await {
        Ok(Some(json)) => ([(CONTENT_TYPE, "application/json")], json).into_response(),
        Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Allows a part of prompts again that is barred because it crashed targets. The router tells the
/// others.
async fn lift_bar(State(app): State<Arc<App>>, Path(part): Path<String>) -> Response {
    match u64::from_str_radix(&part, 16) {
        Ok(content) => {
            app.control.lift_bar(Fingerprint(content));
            StatusCode::ACCEPTED.into_response()
        }
        Err(_) => {
            let error = format!("part: {part}; it has to be 1 to 16 hexadecimal digits\n");
            (StatusCode::BAD_REQUEST, error).into_response()
        }
    }
}
