//! The HTTP interface of the engine.

use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use futures::stream;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::batch::{Sequence, Stats};
use super::cache::Events;
use super::{Engine, Faults, Orders, StreamEnd};
use crate::fault::take;
use crate::server::{Connection, hang};
use crate::target::{self, How, Report, Seen};

/// How many bytes of a body count as one token of the prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// The mark in a body that says how many tokens the answer has.
const TOKENS_MARK: &str = "[tokens=";

/// The mark in a body that says what each token of the answer carries.
const ECHO_MARK: &str = "[echo=";

#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Cancel {
    attempt: String,
}

#[derive(Debug, Serialize)]
struct Cancelled {
    cancelled: bool,
}

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    #[serde(flatten)]
    order: OrderKind,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
enum OrderKind {
    Load {
        models: Vec<String>,
        version: String,
    },
    Role {
        role: String,
    },
}

pub(super) fn routes(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/cancel", post(cancel))
        .route("/v1/report", get(report))
        .route("/v1/cache-events", get(cache_events))
        .route("/v1/orders", get(read_orders).post(order))
        .route("/v1/cool", post(cool))
        .route("/v1/stats", get(stats))
        .with_state(engine)
}

async fn report(State(engine): State<Arc<Engine>>) -> Json<Report> {
    let lag = Duration::from_millis(engine.faults.get().report_lag_ms);
    let batch = engine.batch();
    let load = batch.load_as_of(lag);
    Json(Report {
        running: load.running,
        waiting: load.waiting,
        uptime_ms: u64::try_from(batch.uptime().as_millis()).unwrap_or(u64::MAX),
        version: batch.orders.version.clone(),
    })
}

async fn stats(State(engine): State<Arc<Engine>>) -> Json<Stats> {
    Json(engine.batch().stats)
}

async fn cool(State(engine): State<Arc<Engine>>) -> StatusCode {
    engine.batch().cool();
    StatusCode::NO_CONTENT
}

async fn cancel(State(engine): State<Arc<Engine>>, Json(cancel): Json<Cancel>) -> Json<Cancelled> {
    Json(Cancelled {
        cancelled: engine.batch().cancel(&cancel.attempt),
    })
}

async fn cache_events(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<From>,
) -> Json<Events> {
    let faults = engine.faults.get();
    let lag = Duration::from_millis(faults.cache_lag_ms);
    Json(
        engine
            .batch()
            .cache
            .events(query.from, lag, faults.cache_gap_every),
    )
}

async fn read_orders(State(engine): State<Arc<Engine>>) -> Json<Orders> {
    Json(engine.batch().orders.clone())
}

async fn order(
    State(engine): State<Arc<Engine>>,
    Extension(connection): Extension<Connection>,
    Json(order): Json<Order>,
) -> Response {
    let Some(orders) = engine.obey(order) else {
        return target::error(StatusCode::CONFLICT, "a higher fencing number was seen");
    };
    if engine
        .faults
        .update(|faults| take(&mut faults.lost_order_answers))
    {
        connection.close().await;
    }
    Json(orders).into_response()
}

async fn chat(
    State(engine): State<Arc<Engine>>,
    Extension(connection): Extension<Connection>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let attempt = target::attempt(&headers);
    let crossed = engine
        .faults
        .update(|faults| take(&mut faults.crossed_answers));
    tokio::time::sleep(Duration::from_millis(engine.faults.get().late_ms)).await;
    let res = match engine.start(&headers, &body) {
        Ok(started) if started.stream => stream_answer(started, connection),
        Ok(started) => whole_answer(started).await,
        Err(refused) => refused.into_response(),
    };
    target::echo(res, attempt, crossed)
}

/// A request that was admitted.
struct Started {
    model: String,
    stream: bool,
    label: String,
    tokens: mpsc::UnboundedReceiver<u64>,
    made: u64,
    last: u64,
    ended: bool,
    fault: Option<(StreamEnd, u64)>,
}

/// Why a request was not admitted.
enum Refused {
    Malformed(serde_json::Error),
    NotTaken,
    BadVersion,
    NotResumed,
}

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        match self {
            Self::Malformed(err) => target::error(StatusCode::BAD_REQUEST, &err.to_string()),
            Self::NotTaken => target::not_started("not taking requests for this model"),
            Self::NotResumed => target::error(StatusCode::NOT_FOUND, "no such answer"),
            Self::BadVersion => target::error(StatusCode::INTERNAL_SERVER_ERROR, "bad version"),
        }
    }
}

impl Engine {
    /// Carries an order out and returns the state after it; `None` if its fencing number is old.
    fn obey(&self, order: Order) -> Option<Orders> {
        let mut batch = self.batch();
        if self.cfg.checks_fence && order.fence < batch.orders.fence {
            return None;
        }
        batch.orders.fence = batch.orders.fence.max(order.fence);
        match order.order {
            OrderKind::Role { role } => batch.orders.role = role,
            OrderKind::Load { models, version } => {
                if batch.orders.version != version || batch.orders.models != models {
                    batch.cache.clear();
                    batch.cool();
                }
                batch.orders.models = models;
                batch.orders.version = version;
            }
        }
        Some(batch.orders.clone())
    }

    /// Admits a request, or returns the answer to one that is not admitted.
    fn start(&self, headers: &HeaderMap, body: &[u8]) -> Result<Started, Refused> {
        let faults = self.faults.get();
        let chat: Chat = serde_json::from_slice(body).map_err(Refused::Malformed)?;
        let mut batch = self.batch();
        if faults.declines || !batch.orders.models.contains(&chat.model) {
            return Err(Refused::NotTaken);
        }
        let text = String::from_utf8_lossy(body);
        let seen = Seen {
            version: &batch.orders.version,
            age: self.faults.age(),
            beside: batch.load().running,
            route: &chat.model,
        };
        let every = match faults.bad.as_ref().and_then(|bad| bad.strikes(seen)) {
            Some(How::Error) => return Err(Refused::BadVersion),
            Some(How::Slow(factor)) => u64::from(factor.max(1)),
            None => 1,
        };
        let resumes = number(headers, "x-resume-from").filter(|&from| from > 0);
        let strikes = |left: fn(&mut Faults) -> &mut u32| {
            resumes.is_some() && self.faults.update(|faults| take(left(faults)))
        };
        if strikes(|faults| &mut faults.rejected_resumes) {
            return Err(Refused::NotResumed);
        }
        let restarts = strikes(|faults| &mut faults.restarted_resumes);
        let made = resumes.filter(|_| !restarts).unwrap_or(0);
        let last = answer_tokens(&text)
            .unwrap_or(self.cfg.tokens)
            .min(chat.max_tokens.unwrap_or(u64::MAX))
            .max(1);
        let (tx, rx) = mpsc::unbounded_channel();
        if made < last {
            batch.push(Sequence {
                attempt: target::attempt(headers).to_owned(),
                made,
                last,
                prompt_tokens: body.len() as u64 / BYTES_PER_TOKEN + made,
                prefix: text_header(headers, "x-prefix").map(ToOwned::to_owned),
                every,
                crashes: faults
                    .crash_marker
                    .is_some_and(|marker| text.contains(&marker)),
                tokens: tx,
            });
        }
        Ok(Started {
            model: chat.model,
            stream: chat.stream,
            label: match restarts {
                true => "another".to_owned(),
                false => label(&text),
            },
            tokens: rx,
            made,
            last,
            ended: false,
            fault: self.next_stream_fault(),
        })
    }

    fn next_stream_fault(&self) -> Option<(StreamEnd, u64)> {
        self.faults.update(|faults| {
            let fault = faults.stream.as_mut()?;
            take(&mut fault.times).then_some((fault.how, fault.after_tokens))
        })
    }
}

/// Sends a token as soon as it is made, and the end mark after the last.
fn stream_answer(started: Started, connection: Connection) -> Response {
    let events = stream::unfold(
        (started, connection, 0),
        |(mut started, connection, sent)| async move {
            let event = started.next_event(&connection, sent).await?;
            Some((Ok::<_, Infallible>(event), (started, connection, sent + 1)))
        },
    );
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

/// Answers once all tokens are made.
async fn whole_answer(mut started: Started) -> Response {
    let mut content = String::new();
    let mut made = started.made;
    while let Some(number) = started.tokens.recv().await {
        content.push_str(&started.token(number));
        made = number;
    }
    if made < started.last {
        return target::error(StatusCode::INTERNAL_SERVER_ERROR, "cancelled");
    }
    let message = serde_json::json!({ "role": "assistant", "content": content });
    Json(serde_json::json!({
        "object": "chat.completion",
        "model": started.model,
        "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
        "usage": { "completion_tokens": made },
    }))
    .into_response()
}

impl Started {
    /// Returns the next event of the stream; `None` at its end.
    async fn next_event(&mut self, connection: &Connection, sent: u64) -> Option<String> {
        match self.fault.filter(|&(_, after)| sent >= after) {
            Some((StreamEnd::Truncated, _)) => return None,
            Some((StreamEnd::Broken, _)) => connection.close().await,
            Some((StreamEnd::Silent, _)) => hang().await,
            None => {}
        }
        if self.made >= self.last {
            return (!mem::replace(&mut self.ended, true)).then(|| "data: [DONE]\n\n".to_owned());
        }
        self.made = self.tokens.recv().await?;
        let chunk = serde_json::json!({
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": { "content": self.token(self.made) } }],
        });
        Some(format!("id: {}\ndata: {chunk}\n\n", self.made))
    }

    fn token(&self, number: u64) -> String {
        format!("{}-{number} ", self.label)
    }
}

/// Returns what each token carries, by which a caller recognises its own answer: the mark that the
/// body asks for, or a short hash of the body.
fn label(text: &str) -> String {
    if let Some(mark) = marked(text, ECHO_MARK) {
        return mark.to_owned();
    }
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    format!("{:04x}", hasher.finish() & 0xffff)
}

/// Returns the number of tokens that the mark in a body asks for.
fn answer_tokens(text: &str) -> Option<u64> {
    marked(text, TOKENS_MARK)?.parse().ok()
}

/// Returns what stands between the beginning of a mark and its closing bracket.
fn marked<'a>(text: &'a str, mark: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(mark)?;
    let (value, _) = rest.split_once(']')?;
    Some(value)
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text_header(headers, name)?.parse().ok()
}
