//! The VM list: it shows live and leaving VMs, with a lag.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Extension, Json, Router};
use serde::{Deserialize, Serialize};

use crate::fault::{Dial, Outage};
use crate::server::{Connection, Control, Handle, Server};

/// The settings of a VM list.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens. A free port of loopback by default.
    pub listen: SocketAddr,
    /// What it shows until `PUT /v1/vms` replaces it. Empty by default.
    pub vms: Vec<Vm>,
    /// Its faults from the start on. None by default.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            vms: Vec::new(),
            faults: Faults::default(),
        }
    }
}

/// What goes wrong with the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is out.
    pub outage: Outage,
    /// By how many milliseconds every answer is delayed.
    pub slow_ms: u64,
    /// How far the list lags behind the truth, in milliseconds.
    pub lag_ms: u64,
}

/// A VM as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its number.
    pub id: u32,
    /// What runs on it: `router` or `target`.
    pub role: String,
    /// Where it is reached.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// The body of `GET` and `PUT /v1/vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// All VMs.
    pub vms: Vec<Vm>,
}

struct Vms {
    faults: Dial<Faults>,
    /// What was put and when, the newest last.
    history: Mutex<VecDeque<(Instant, List)>>,
}

/// Starts a VM list.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(cfg: Config) -> io::Result<Handle<Faults>> {
    let faults = Dial::new(cfg.faults);
    let first = (Instant::now(), List { vms: cfg.vms });
    let vms = Arc::new(Vms {
        faults: faults.clone(),
        history: Mutex::new(VecDeque::from([first])),
    });
    let app = Router::new()
        .route("/v1/vms", get(list).put(replace))
        .with_state(vms);
    let server = Server {
        listen: cfg.listen,
        faults,
        control: Control::default(),
        app,
    };
    server.spawn(|_| {}, std::future::ready(())).await
}

async fn list(
    State(vms): State<Arc<Vms>>,
    Extension(connection): Extension<Connection>,
) -> Response {
    let faults = vms.faults.get();
    if let Err(status) = faults.outage.pass(&connection, faults.slow_ms).await {
        return status.into_response();
    }
    let lag = Duration::from_millis(faults.lag_ms);
    Json(vms.shown(lag)).into_response()
}

async fn replace(State(vms): State<Arc<Vms>>, Json(list): Json<List>) -> StatusCode {
    let mut history = vms
        .history
        .lock()
        .expect("no thread panics while it holds this lock");
    history.push_back((Instant::now(), list));
    StatusCode::NO_CONTENT
}

impl Vms {
    /// Returns the newest list that is at least as old as the lag, or the oldest.
    fn shown(&self, lag: Duration) -> List {
        let history = self
            .history
            .lock()
            .expect("no thread panics while it holds this lock");
        let old_enough = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old_enough
            .or(history.front())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
