//! The log service: append-only, with offsets, limited retention, and outages.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::fault::{Dial, Outage, take};
use crate::server::{Connection, Control, Handle, Server};

/// The most records that one read returns.
const READ_MAX: usize = 10_000;

/// The longest time that one read waits, in milliseconds.
const WAIT_MS_MAX: u64 = 30_000;

/// The settings of a log service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens. A free port of loopback by default.
    pub listen: SocketAddr,
    /// For how long it keeps a record. Without end by default.
    pub retention: Option<Duration>,
    /// How many appends it takes in a second; more are answered 429. 500 by default.
    pub appends_per_second: u32,
    /// The bearer token that it asks for. None by default.
    pub token: Option<String>,
    /// Its faults from the start on. None by default.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention: None,
            appends_per_second: 500,
            token: None,
            faults: Faults::default(),
        }
    }
}

/// What goes wrong with the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Reads and appends are out.
    pub outage: Outage,
    /// Appends are answered 503 without effect, reads work.
    pub append_refused: bool,
    /// By how many milliseconds every answer is delayed.
    pub slow_ms: u64,
    /// How many appends take effect and are never answered; the connection is closed.
    pub lost_answers: u32,
    /// How many appends are lost before they take effect; the connection is closed.
    pub lost_appends: u32,
    /// Records of other writers that get in just before the next append.
    pub rivals: Vec<String>,
    /// How many of the newest records are kept, whatever their age; all if zero.
    pub keep_records: usize,
}

#[derive(Debug, Serialize)]
struct Record {
    offset: u64,
    at_ms: u64,
    body: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Append {
    records: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Appended {
    offsets: Vec<u64>,
}

#[derive(Debug, Deserialize)]
struct Read {
    #[serde(default)]
    from: u64,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

const fn default_max() -> usize {
    READ_MAX
}

/// Records in the form of an answer. They are rendered while the lock is held.
#[derive(Debug, Serialize)]
struct Page<'a> {
    first: u64,
    tail: u64,
    records: Vec<&'a Record>,
}

struct Log {
    cfg: Config,
    faults: Dial<Faults>,
    records: Mutex<Records>,
    tail: watch::Sender<u64>,
}

struct Records {
    kept: VecDeque<Record>,
    tail: u64,
    second: Instant,
    in_second: u32,
}

/// Starts a log service. Its records survive a crash, as those of a replicated service do.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(cfg: Config) -> io::Result<Handle<Faults>> {
    let faults = Dial::new(cfg.faults.clone());
    let log = Arc::new(Log {
        faults: faults.clone(),
        records: Mutex::new(Records {
            kept: VecDeque::new(),
            tail: 0,
            second: Instant::now(),
            in_second: 0,
        }),
        tail: watch::Sender::new(0),
        cfg: cfg.clone(),
    });
    let app = Router::new()
        .route("/v1/append", post(append))
        .route("/v1/records", get(read))
        .layer(axum::middleware::from_fn_with_state(log.clone(), gate))
        .with_state(log);
    let server = Server {
        listen: cfg.listen,
        faults,
        control: Control::default(),
        app,
    };
    server.spawn(|_| {}, std::future::ready(())).await
}

/// Applies what holds for reads and appends alike: outage, slowness and the token.
async fn gate(
    State(log): State<Arc<Log>>,
    Extension(connection): Extension<Connection>,
    req: axum::extract::Request,
    next: axum::middleware::Next,
) -> Response {
    let faults = log.faults.get();
    if let Err(status) = faults.outage.pass(&connection, faults.slow_ms).await {
        return status.into_response();
    }
    if let Some(token) = &log.cfg.token {
        let given = req
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        if given != Some(&format!("Bearer {token}")) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
    }
    next.run(req).await
}

async fn append(
    State(log): State<Arc<Log>>,
    Extension(connection): Extension<Connection>,
    Json(append): Json<Append>,
) -> Response {
    let faults = log.faults.get();
    if faults.append_refused {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if log.faults.update(|faults| take(&mut faults.lost_appends)) {
        connection.close().await;
    }
    let Some(offsets) = log.append(append.records) else {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    };
    if log.faults.update(|faults| take(&mut faults.lost_answers)) {
        connection.close().await;
    }
    Json(Appended { offsets }).into_response()
}

async fn read(State(log): State<Arc<Log>>, Query(read): Query<Read>) -> Response {
    let wait = Duration::from_millis(read.wait_ms.min(WAIT_MS_MAX));
    let mut tail = log.tail.subscribe();
    // Running into the timeout is an answer without records.
    let _ = tokio::time::timeout(wait, tail.wait_for(|&tail| tail > read.from)).await;
    log.page(read.from, read.max.min(READ_MAX))
}

impl Log {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records
            .lock()
            .expect("no thread panics while it holds this lock")
    }

    fn append(&self, bodies: Vec<String>) -> Option<Vec<u64>> {
        let mut records = self.records();
        if !records.admit(self.cfg.appends_per_second) {
            return None;
        }
        let at_ms = epoch_ms();
        for rival in self
            .faults
            .update(|faults| std::mem::take(&mut faults.rivals))
        {
            records.push(rival, at_ms);
        }
        let offsets = bodies
            .into_iter()
            .map(|body| records.push(body, at_ms))
            .collect();
        records.trim(self.cfg.retention, self.faults.get().keep_records);
        self.tail.send_replace(records.tail);
        Some(offsets)
    }

    fn page(&self, from: u64, max: usize) -> Response {
        let mut records = self.records();
        records.trim(self.cfg.retention, self.faults.get().keep_records);
        let first = records.first();
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let page = Page {
            first,
            tail: records.tail,
            records: records.kept.iter().skip(skip).take(max).collect(),
        };
        Json(page).into_response()
    }
}

impl Records {
    fn admit(&mut self, per_second: u32) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.in_second = 0;
        }
        self.in_second += 1;
        self.in_second <= per_second
    }

    fn push(&mut self, body: String, at_ms: u64) -> u64 {
        let offset = self.tail;
        self.kept.push_back(Record {
            offset,
            at_ms,
            body,
        });
        self.tail += 1;
        offset
    }

    fn first(&self) -> u64 {
        self.kept.front().map_or(self.tail, |record| record.offset)
    }

    fn trim(&mut self, retention: Option<Duration>, keep: usize) {
        let now = epoch_ms();
        let aged = |record: &Record| {
            retention
                .is_some_and(|kept| u128::from(now.saturating_sub(record.at_ms)) > kept.as_millis())
        };
        while self.kept.front().is_some_and(&aged) || (keep > 0 && self.kept.len() > keep) {
            self.kept.pop_front();
        }
    }
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
