//! The control endpoint of a hosting platform: it takes the calls of duties and records them.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Extension, Router};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fault::{Dial, Outage};
use crate::server::{Connection, Control, Handle, Server};

/// What goes wrong with the endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is out.
    pub outage: Outage,
    /// By how many milliseconds every answer is delayed.
    pub slow_ms: u64,
    /// Whether it executes calls whatever their fencing number.
    pub ignores_fence: bool,
}

/// A call that arrived.
#[derive(Debug, Clone)]
pub struct Call {
    /// When it arrived.
    pub at: Instant,
    /// The path, `/usage` or `/scale`.
    pub path: String,
    /// The name of the holder that the call states.
    pub holder: String,
    /// The fencing number.
    pub fence: u64,
    /// The body.
    pub body: Bytes,
    /// The status of the answer.
    pub status: u16,
}

/// The calls that arrived at an endpoint, in order.
#[derive(Debug, Clone, Default)]
pub struct Calls(Arc<Mutex<Vec<Call>>>);

impl Calls {
    /// Returns the calls so far.
    pub fn all(&self) -> Vec<Call> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Call>> {
        self.0
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

struct Endpoint {
    faults: Dial<Faults>,
    calls: Calls,
    /// The highest fencing number of each subject.
    highest: Mutex<BTreeMap<String, u64>>,
}

/// Starts an endpoint on a free port of loopback, and returns it with the record of its calls.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(faults: Faults) -> io::Result<(Handle<Faults>, Calls)> {
    let faults = Dial::new(faults);
    let calls = Calls::default();
    let endpoint = Arc::new(Endpoint {
        faults: faults.clone(),
        calls: calls.clone(),
        highest: Mutex::default(),
    });
    let app = Router::new()
        .route("/usage", post(call))
        .route("/scale", post(call))
        .with_state(endpoint);
    let server = Server {
        listen: ([127, 0, 0, 1], 0).into(),
        faults,
        control: Control::default(),
        app,
    };
    let handle = server
        .spawn(|_: Duration| {}, std::future::ready(()))
        .await?;
    Ok((handle, calls))
}

async fn call(
    State(endpoint): State<Arc<Endpoint>>,
    Extension(connection): Extension<Connection>,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let at = Instant::now();
    let faults = endpoint.faults.get();
    if let Err(status) = faults.outage.pass(&connection, faults.slow_ms).await {
        return status.into_response();
    }
    let text = |name: &str| headers.get(name)?.to_str().ok().map(str::to_owned);
    let fence = text("fencing-token").and_then(|text| text.parse().ok());
    let subject = subject(uri.path(), &body);
    let (Some(holder), Some(fence), Some(subject)) = (text("duty-holder"), fence, subject) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let status = match endpoint.admits(subject, fence) || faults.ignores_fence {
        true => StatusCode::OK,
        false => StatusCode::CONFLICT,
    };
    endpoint.calls.lock().push(Call {
        at,
        path: uri.path().to_owned(),
        holder,
        fence,
        body,
        status: status.as_u16(),
    });
    status.into_response()
}

impl Endpoint {
    /// Records a fencing number, and returns whether no higher one was seen for the subject.
    fn admits(&self, subject: String, fence: u64) -> bool {
        let mut highest = self
            .highest
            .lock()
            .expect("no thread panics while it holds this lock");
        let highest = highest.entry(subject).or_default();
        *highest = fence.max(*highest);
        fence == *highest
    }
}

/// Returns what a call is about. Returns `None` if its body does not say.
fn subject(path: &str, body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    match path {
        "/usage" => body["window"].as_u64().map(|_| "usage".to_owned()),
        _ => Some(format!(
            "{}/{}",
            body["service"].as_str()?,
            body["zone"].as_str()?
        )),
    }
}
