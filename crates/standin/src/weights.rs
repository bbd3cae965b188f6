//! The weight store: it is rate-limited.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Extension, Json, Router};
use serde::{Deserialize, Serialize};

use crate::fault::{Dial, Outage};
use crate::server::{Connection, Control, Handle, Server};

/// The window of the rate limit.
const WINDOW: Duration = Duration::from_secs(60);

/// The settings of a weight store.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens. A free port of loopback by default.
    pub listen: SocketAddr,
    /// How many reads it allows in a minute. 60 by default.
    pub reads_per_minute: usize,
    /// Its faults from the start on. None by default.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_minute: 60,
            faults: Faults::default(),
        }
    }
}

/// What goes wrong with the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is out.
    pub outage: Outage,
    /// By how many milliseconds every answer is delayed.
    pub slow_ms: u64,
}

/// A version of a model that the store holds.
#[derive(Debug, Serialize)]
struct Weights {
    model: String,
    version: String,
}

struct Store {
    cfg: Config,
    faults: Dial<Faults>,
    reads: Mutex<VecDeque<Instant>>,
}

/// Starts a weight store, which holds every version of every model.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(cfg: Config) -> io::Result<Handle<Faults>> {
    let faults = Dial::new(cfg.faults.clone());
    let listen = cfg.listen;
    let store = Arc::new(Store {
        cfg,
        faults: faults.clone(),
        reads: Mutex::default(),
    });
    let app = Router::new()
        .route("/v1/weights/{model}/{version}", get(weights))
        .with_state(store);
    let server = Server {
        listen,
        faults,
        control: Control::default(),
        app,
    };
    server.spawn(|_| {}, std::future::ready(())).await
}

async fn weights(
    State(store): State<Arc<Store>>,
    Extension(connection): Extension<Connection>,
    Path((model, version)): Path<(String, String)>,
) -> Response {
    let faults = store.faults.get();
    if let Err(status) = faults.outage.pass(&connection, faults.slow_ms).await {
        return status.into_response();
    }
    match store.wait_before_read() {
        None => Json(Weights { model, version }).into_response(),
        Some(wait) => {
            let seconds = wait.as_secs().max(1).to_string();
            (
                StatusCode::TOO_MANY_REQUESTS,
                [(header::RETRY_AFTER, seconds)],
            )
                .into_response()
        }
    }
}

impl Store {
    /// Counts a read, or returns how long the caller has to wait before the next.
    fn wait_before_read(&self) -> Option<Duration> {
        let mut reads = self
            .reads
            .lock()
            .expect("no thread panics while it holds this lock");
        while reads.front().is_some_and(|at| at.elapsed() >= WINDOW) {
            reads.pop_front();
        }
        if reads.len() < self.cfg.reads_per_minute {
            reads.push_back(Instant::now());
            return None;
        }
        let oldest = reads.front().map_or(Duration::ZERO, Instant::elapsed);
        Some(WINDOW.saturating_sub(oldest))
    }
}
