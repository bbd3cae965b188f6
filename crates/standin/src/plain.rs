//! The plain service: it answers any method and path, and counts how often each call ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Extension, Json, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::fault::{Dial, take};
use crate::server::{Connection, Control, Handle, RESTART_MS, Server, hang};
use crate::target::{self, Bad, History, How, Load, Report, Seen};

/// The settings of a plain service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens. A free port of loopback by default.
    pub listen: SocketAddr,
    /// The version that it runs. `v1` by default.
    pub version: String,
    /// How many calls it runs at the same time; others wait. 4 by default.
    pub slots: u32,
    /// How long a call takes, in milliseconds. 20 by default.
    pub call_ms: u64,
    /// For how many milliseconds it is down after it crashed. 500 by default.
    pub restart_ms: u64,
    /// Its faults from the start on. None by default.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            version: "v1".to_owned(),
            slots: 4,
            call_ms: 20,
            restart_ms: RESTART_MS,
            faults: Faults::default(),
        }
    }
}

/// What goes wrong with a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It does not start any call, and says so.
    pub declines: bool,
    /// How far its report lags, in milliseconds.
    pub report_lag_ms: u64,
    /// The text in a body that makes it crash before the call takes effect.
    pub crash_marker: Option<String>,
    /// How many calls take effect and are never answered; the connection is closed.
    pub lost_answers: u32,
    /// How many calls take effect and are never answered; the connection stays open.
    pub silent_answers: u32,
    /// How many answers show another attempt.
    pub crossed_answers: u32,
    /// By how many milliseconds answers come late, after the call took effect.
    pub late_ms: u64,
    /// How its version is bad.
    pub bad: Option<Bad>,
}

/// The answer to `GET /v1/runs`: how often calls took effect, crashes of the service included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// All calls.
    pub total: u64,
    /// Calls without an idempotency key.
    pub unkeyed: u64,
    /// Calls by their idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The method of the call.
    pub method: String,
    /// The path of the call, with its query.
    pub path: String,
    /// The body of the call.
    pub body: String,
    /// How often this idempotency key has run, or all calls without a key.
    pub run: u64,
}

struct Plain {
    cfg: Config,
    faults: Dial<Faults>,
    control: Control,
    slots: Semaphore,
    state: Mutex<Counts>,
}

struct Counts {
    runs: Runs,
    load: Load,
    history: History,
    up_since: Instant,
}

/// Starts a plain service.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(cfg: Config) -> io::Result<Handle<Faults>> {
    let faults = Dial::new(cfg.faults.clone());
    let plain = Arc::new(Plain {
        faults: faults.clone(),
        control: Control::default(),
        slots: Semaphore::new(cfg.slots as usize),
        state: Mutex::new(Counts {
            runs: Runs::default(),
            load: Load::default(),
            history: History::default(),
            up_since: Instant::now(),
        }),
        cfg,
    });
    let app = Router::new()
        .route("/v1/report", get(report))
        .route("/v1/runs", get(runs))
        .fallback(call)
        .with_state(plain.clone());
    let server = Server {
        listen: plain.cfg.listen,
        faults,
        control: plain.control.clone(),
        app,
    };
    let on_crash = move |down_for| plain.state().up_since = Instant::now() + down_for;
    server.spawn(on_crash, std::future::ready(())).await
}

async fn report(State(plain): State<Arc<Plain>>) -> Json<Report> {
    let lag = Duration::from_millis(plain.faults.get().report_lag_ms);
    let state = plain.state();
    let load = if lag.is_zero() {
        state.load
    } else {
        state.history.as_of(lag)
    };
    Json(Report {
        running: load.running,
        waiting: load.waiting,
        uptime_ms: u64::try_from(state.up_since.elapsed().as_millis()).unwrap_or(u64::MAX),
        version: plain.cfg.version.clone(),
    })
}

async fn runs(State(plain): State<Arc<Plain>>) -> Json<Runs> {
    Json(plain.state().runs.clone())
}

async fn call(
    State(plain): State<Arc<Plain>>,
    Extension(connection): Extension<Connection>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = plain.faults.get();
    let attempt = target::attempt(&headers);
    if faults.declines {
        return target::echo(target::not_started("not taking calls"), attempt, false);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    if faults
        .crash_marker
        .is_some_and(|marker| body.contains(&marker))
    {
        plain
            .control
            .crash(Duration::from_millis(plain.cfg.restart_ms));
        hang().await;
    }
    let path = uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let key = headers
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok());
    let res = match plain.run(&path, key).await {
        Some(run) => Json(Answer {
            method: method.to_string(),
            path,
            body,
            run,
        })
        .into_response(),
        None => target::error(StatusCode::INTERNAL_SERVER_ERROR, "bad version"),
    };
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    if plain.faults.update(|faults| take(&mut faults.lost_answers)) {
        connection.close().await;
    }
    if plain
        .faults
        .update(|faults| take(&mut faults.silent_answers))
    {
        hang().await;
    }
    let crossed = plain
        .faults
        .update(|faults| take(&mut faults.crossed_answers));
    target::echo(res, attempt, crossed)
}

impl Plain {
    fn state(&self) -> MutexGuard<'_, Counts> {
        self.state
            .lock()
            .expect("no thread panics while it holds this lock")
    }

    /// Runs a call and returns how often its key has run; `None` if it failed without effect.
    async fn run(&self, path: &str, key: Option<&str>) -> Option<u64> {
        let waiting = Counted::new(self, |load| &mut load.waiting);
        let _slot = self.slots.acquire().await.ok()?;
        let beside = self.state().load.running;
        drop(waiting);
        let _running = Counted::new(self, |load| &mut load.running);
        let seen = Seen {
            version: &self.cfg.version,
            age: self.faults.age(),
            beside,
            route: path,
        };
        let factor = match self.faults.get().bad.and_then(|bad| bad.strikes(seen)) {
            Some(How::Error) => return None,
            Some(How::Slow(factor)) => u64::from(factor),
            None => 1,
        };
        tokio::time::sleep(Duration::from_millis(self.cfg.call_ms * factor)).await;
        Some(self.state().runs.count(key))
    }
}

impl Runs {
    fn count(&mut self, key: Option<&str>) -> u64 {
        self.total += 1;
        let runs = match key {
            Some(key) => self.keys.entry(key.to_owned()).or_default(),
            None => &mut self.unkeyed,
        };
        *runs += 1;
        *runs
    }
}

/// One call in a figure of the load, for as long as it lives. A crash drops it with the call.
struct Counted<'a> {
    plain: &'a Plain,
    figure: fn(&mut Load) -> &mut u32,
}

impl<'a> Counted<'a> {
    fn new(plain: &'a Plain, figure: fn(&mut Load) -> &mut u32) -> Self {
        let counted = Self { plain, figure };
        counted.change(|n| n + 1);
        counted
    }

    fn change(&self, change: impl Fn(u32) -> u32) {
        let mut state = self.plain.state();
        let n = (self.figure)(&mut state.load);
        *n = change(*n);
        let load = state.load;
        state.history.push(load);
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.change(|n| n - 1);
    }
}
