//! What model engines and plain services have in common: bad versions, lagging reports, crossed
//! answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use axum::Json;
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

/// The header that ties an answer to its request.
pub const ATTEMPT: &str = "x-attempt-id";

/// The header by which a target says that it did not start the request.
pub const NOT_STARTED: &str = "x-not-started";

/// What a crossed answer shows in place of the attempt that asked.
pub const OTHER_ATTEMPT: &str = "another-attempt";

/// How a bad version shows itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bad {
    /// What it does wrong.
    pub how: How,
    /// Which version is bad; whichever runs, if none is named.
    #[serde(default)]
    pub version: Option<String>,
    /// For how many milliseconds after the fault was set it still behaves well.
    #[serde(default)]
    pub after_ms: u64,
    /// How many requests have to run beside a request for it to go wrong.
    #[serde(default)]
    pub beside: u32,
    /// The only route on which it goes wrong: a model, or the beginning of a path.
    #[serde(default)]
    pub route: Option<String>,
}

/// What a bad version does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It answers 500.
    Error,
    /// It takes this many times as long.
    Slow(u32),
}

/// A request as a bad version sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Seen<'a> {
    pub(crate) version: &'a str,
    pub(crate) age: Duration,
    pub(crate) beside: u32,
    pub(crate) route: &'a str,
}

impl Bad {
    pub(crate) fn strikes(&self, seen: Seen<'_>) -> Option<How> {
        let version = self
            .version
            .as_deref()
            .is_none_or(|version| version == seen.version);
        let route = self
            .route
            .as_deref()
            .is_none_or(|route| seen.route.starts_with(route));
        let later = seen.age >= Duration::from_millis(self.after_ms);
        (version && route && later && seen.beside >= self.beside).then_some(self.how)
    }
}

/// The load that a target reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// The answer to `GET /v1/report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests being run.
    pub running: u32,
    /// Requests admitted and waiting.
    pub waiting: u32,
    /// For how long the target has been up.
    pub uptime_ms: u64,
    /// The version that it runs.
    pub version: String,
}

/// The load over time, so that a report can lag.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Instant, Load)>);

/// The longest lag of a report that is kept in the history.
const LAG_MAX: Duration = Duration::from_secs(60);

impl History {
    pub(crate) fn push(&mut self, load: Load) {
        if self.0.back().is_some_and(|&(_, last)| last == load) {
            return;
        }
        while self.0.get(1).is_some_and(|(at, _)| at.elapsed() > LAG_MAX) {
            self.0.pop_front();
        }
        self.0.push_back((Instant::now(), load));
    }

    /// Returns the load as it was `lag` ago.
    pub(crate) fn as_of(&self, lag: Duration) -> Load {
        let seen = self.0.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        seen.map(|&(_, load)| load).unwrap_or_default()
    }
}

/// Returns the attempt that a request carries, or nothing if it carries none.
pub(crate) fn attempt(headers: &HeaderMap) -> &str {
    headers
        .get(ATTEMPT)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Puts the attempt into an answer, or that of another request if the answer is crossed.
pub(crate) fn echo(mut res: Response, attempt: &str, crossed: bool) -> Response {
    let shown = if crossed { OTHER_ATTEMPT } else { attempt };
    if let Ok(value) = HeaderValue::from_str(shown) {
        res.headers_mut().insert(ATTEMPT, value);
    }
    res
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns an error in the form that all targets use.
pub(crate) fn error(status: StatusCode, text: &str) -> Response {
    (status, Json(ErrorBody { error: text })).into_response()
}

/// Returns the answer to a request that was not started.
pub(crate) fn not_started(text: &str) -> Response {
    let mut res = error(StatusCode::SERVICE_UNAVAILABLE, text);
    res.headers_mut()
        .insert(NOT_STARTED, HeaderValue::from_static("true"));
    res
}
