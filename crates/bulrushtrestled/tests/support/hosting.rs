//! Stand-ins for a hosting platform: its store, and targets, with their published protocols.

#![allow(dead_code, reason = "each program uses a part of this module")]

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Query, Request, State};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The records of a topic in order of offset.
type Topic = Vec<Written>;

/// A record of a topic.
#[derive(Debug, Clone)]
struct Written {
    at: Instant,
    key: String,
    /// `None` where the key is removed.
    value: Option<Vec<u8>>,
}

/// A record that an operator or a target wrote, and that a restore of the store lost.
#[derive(Debug, Clone)]
pub(crate) struct Lost {
    topic: String,
    pub(crate) key: String,
    value: Option<Vec<u8>>,
}

type Params = BTreeMap<String, String>;

/// A store that keeps everything in memory. It states its era once it has been restored.
#[derive(Debug, Default)]
pub(crate) struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    down: AtomicBool,
    /// The number of times that the store has been restored. Changed only while `topics` is locked.
    era: AtomicU64,
    /// How much later than they are made answers to reads and appends arrive, in milliseconds.
    delay_ms: AtomicU64,
    /// The calls that were answered.
    calls: AtomicUsize,
}

impl Store {
    /// Starts a store and returns it with its address.
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let address = serve(Self::routes(Arc::clone(&store))).await;
        (store, address)
    }

    /// Opens a second address of the store, which answers no calls while the returned switch is set.
    pub(crate) async fn open_second(self: &Arc<Self>) -> (Arc<AtomicBool>, SocketAddr) {
        let closed = Arc::new(AtomicBool::new(false));
        let turn_away = |State(closed): State<Arc<AtomicBool>>, req: Request, next: Next| async move {
            match closed.load(Ordering::Relaxed) {
                true => StatusCode::TOO_MANY_REQUESTS.into_response(),
                false => next.run(req).await,
            }
        };
        let turn_away = middleware::from_fn_with_state(Arc::clone(&closed), turn_away);
        let router = Self::routes(Arc::clone(self)).layer(turn_away);
        (closed, serve(router).await)
    }

    fn routes(store: Arc<Self>) -> Router {
        Router::new()
            .route("/bulrushtrestle/log-newest", get(newest))
            .route("/bulrushtrestle/log-read", get(read))
            .route("/bulrushtrestle/log-append", post(append))
            .with_state(store)
    }

    /// Appends a record, as an operator or a target does; `None` removes the key.
    pub(crate) fn put(&self, topic: &str, key: &str, value: Option<serde_json::Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        let mut topics = self.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push(Written::now(key.to_owned(), value));
    }

    /// Restores the store from a copy that is as old as stated: later records are gone, and their
    /// offsets are given out again. Returns the lost records of operators and targets in the order of
    /// each topic, which [`write_again`](Self::write_again) writes again.
    pub(crate) fn restore(&self, age: Duration) -> Vec<Lost> {
        let now = Instant::now();
        let mut topics = self.lock();
        let mut lost = Vec::new();
        for (name, records) in topics.iter_mut() {
            let kept = records.partition_point(|it| now.duration_since(it.at) >= age);
            let gone = records.split_off(kept);
            if matches!(name.as_str(), "keyed.op" | "keyed.servers") {
                lost.extend(gone.into_iter().map(|it| Lost {
                    topic: name.clone(),
                    key: it.key,
                    value: it.value,
                }));
            }
        }
        self.era.fetch_add(1, Ordering::Relaxed);
        lost
    }

    /// Writes lost records again, as operators and targets do.
    pub(crate) fn write_again(&self, lost: &[Lost]) {
        let mut topics = self.lock();
        for Lost { topic, key, value } in lost {
            let topic = topics.entry(topic.clone()).or_default();
            topic.push(Written::now(key.clone(), value.clone()));
        }
    }

    /// Lets answers arrive later than they are made, so that a restore can come between.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Returns the number of calls that were answered.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Adds the era to an answer. The caller holds the lock on `topics`, so that the answer is of this
    /// era.
    fn stated(&self, answer: impl IntoResponse) -> Response {
        let mut answer = answer.into_response();
        let era = self.era.load(Ordering::Relaxed);
        if era > 0 {
            answer.headers_mut().insert("store-era", era.into());
        }
        answer
    }

    /// Counts an answer and sends it with the delay.
    async fn send(&self, answer: Response) -> Response {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        answer
    }

    /// Publishes the operators' configuration.
    pub(crate) fn configure(&self, configuration: serde_json::Value) {
        self.put("keyed.op", "config", Some(configuration));
    }

    /// Publishes the record of a target.
    pub(crate) fn add_target(&self, name: &str, record: serde_json::Value) {
        self.put("keyed.servers", name, Some(record));
    }

    /// Makes the store refuse every call (`true`) or answer again (`false`).
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Returns the keys that currently have a value in a topic.
    pub(crate) fn keys(&self, topic: &str) -> Vec<String> {
        let newest = self.newest(topic).0;
        newest.into_iter().map(|(key, ..)| key).collect()
    }

    /// Returns the number of records of a key that a topic holds.
    pub(crate) fn count(&self, topic: &str, key: &str) -> usize {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        records.iter().filter(|it| it.key == key).count()
    }

    /// Returns the newest value of a key of a topic.
    pub(crate) fn value(&self, topic: &str, key: &str) -> Option<String> {
        let (items, _) = self.newest(topic);
        let found = items.into_iter().find(|(name, ..)| name == key);
        found.map(|(_, value, _)| String::from_utf8_lossy(&value).into_owned())
    }

    /// Returns the newest value of each key of a topic with its offset, and the end offset
    /// of the topic.
    fn newest(&self, topic: &str) -> (Vec<(String, Vec<u8>, usize)>, usize) {
        Self::newest_of(&self.lock(), topic)
    }

    fn newest_of(
        topics: &BTreeMap<String, Topic>,
        topic: &str,
    ) -> (Vec<(String, Vec<u8>, usize)>, usize) {
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, Written { key, value, .. }) in records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key.clone(), (value.clone(), offset)),
                None => newest.remove(key),
            };
        }
        let items = newest.into_iter();
        let items = items.map(|(key, (value, offset))| (key, value, offset));
        (items.collect(), records.len())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }
}

async fn newest(State(store): State<Arc<Store>>, Query(params): Query<Params>) -> Response {
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let answer = {
        let topics = store.lock();
        let (items, end) = Store::newest_of(&topics, &params["topic"]);
        let items: Vec<_> = items
            .into_iter()
            .map(|(key, value, offset)| json!({"key": key, "value": base64(&value), "offset": offset}))
            .collect();
        store.stated(json!({"items": items, "more_pages": false, "end": end}).to_string())
    };
    store.send(answer).await
}

async fn read(State(store): State<Arc<Store>>, Query(params): Query<Params>) -> Response {
    let number = |name: &str| params.get(name).and_then(|text| text.parse::<u64>().ok());
    let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let began = tokio::time::Instant::now();
    loop {
        if store.is_down() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let (is_due, answer) = store.read(&params["topic"], from);
        if is_due || began.elapsed() >= wait {
            return store.send(answer).await;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn append(
    State(store): State<Arc<Store>>,
    Query(params): Query<Params>,
    body: Bytes,
) -> Response {
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let answer = store.append(&params, &body);
    store.send(answer).await
}

impl Written {
    fn now(key: String, value: Option<Vec<u8>>) -> Self {
        let at = Instant::now();
        Self { at, key, value }
    }
}

impl Store {
    /// Returns the answer to a read, and whether it is not to be held back.
    fn read(&self, topic: &str, from: usize) -> (bool, Response) {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        if from > records.len() {
            return (true, self.stated(StatusCode::GONE));
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for Written { key, value, .. } in &records[from..] {
            let value = value.as_deref().unwrap_or_default();
            let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
            body.extend(length.to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap_or(0));
            body.extend(key.as_bytes());
            body.extend(value);
        }
        (body.len() > 16, self.stated(body))
    }

    fn append(&self, params: &Params, body: &[u8]) -> Response {
        let mut topics = self.lock();
        let topic = topics.entry(params["topic"].clone()).or_default();
        let end = topic.len();
        if params.get("at").is_some_and(|at| *at != end.to_string()) {
            let end = json!({"end": end}).to_string();
            return self.stated((StatusCode::PRECONDITION_FAILED, end));
        }
        let key_end = 5 + usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..key_end]).into_owned();
        let value = body[key_end..].to_vec();
        topic.push(Written::now(key, (!value.is_empty()).then_some(value)));
        self.stated(json!({"offset": end, "end": end + 1}).to_string())
    }
}

/// How a target treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// The target answers with status 200.
    Good,
    /// The target refuses requests and states that it did not run them.
    Full,
    /// The target runs requests and answers with status 500.
    Failing,
    /// The target answers with the attempt id of another request.
    WrongAttempt,
    /// The target runs requests and does not answer within any timeout.
    Unresponsive,
    /// The target answers each request with a short stream and does not record it.
    Streaming,
    /// The target runs requests and states in each answer that it is leaving.
    Leaving,
    /// The target refuses requests, states that it did not run them, and states this as the time for
    /// which it wants no more.
    Pausing(&'static str),
    /// The target runs requests, answers with status 500 and states that it is leaving.
    LeavingAndFailing,
}

/// The events of a short stream. Each has 80 bytes, the mean size on the users' platform.
const EVENTS: [&str; 2] = [
    "id: 1\ndata: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n\n",
    "id: 2\ndata: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n\n",
];
/// The time before each event of a short stream.
const SHORT_PAUSE: Duration = Duration::from_millis(30);

/// A target that records the heads of the requests that it ran.
#[derive(Debug)]
pub(crate) struct Target {
    name: String,
    behaviour: Mutex<Behaviour>,
    requests: Mutex<Vec<HeaderMap>>,
    /// The number of requests that arrived, whether they ran or not.
    arrived: AtomicUsize,
}

impl Target {
    /// Starts a target and returns it with its address.
    pub(crate) async fn start(name: &str) -> (Arc<Self>, SocketAddr) {
        let target = Arc::new(Self {
            name: name.to_owned(),
            behaviour: Mutex::new(Behaviour::Good),
            requests: Mutex::default(),
            arrived: AtomicUsize::new(0),
        });
        let router = Router::new()
            .fallback(answer)
            .with_state(Arc::clone(&target));
        (target, serve(router).await)
    }

    /// Changes how the target treats requests.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    fn record(&self, head: HeaderMap) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.push(head);
    }

    fn behaviour(&self) -> Behaviour {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that arrived, whether they ran or not.
    pub(crate) fn arrived(&self) -> usize {
        self.arrived.load(Ordering::Relaxed)
    }

    /// Returns the heads of the requests that the target ran.
    pub(crate) fn requests(&self) -> Vec<HeaderMap> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// The number of events of a long stream.
const LONG_EVENTS: u64 = 8;
/// The pause before each event of a long stream except the first.
const LONG_PAUSE: Duration = Duration::from_millis(5);

/// Returns an answer that streams `LONG_EVENTS` events.
fn long_stream() -> Response {
    let events = futures::stream::unfold(1, |id| async move {
        if id > LONG_EVENTS {
            return None;
        }
        if id > 1 {
            tokio::time::sleep(LONG_PAUSE).await;
        }
        let event = Bytes::from(format!("id: {id}\ndata: token\n\n"));
        Some((Ok::<_, std::convert::Infallible>(event), id + 1))
    });
    let head = [("content-type", "text/event-stream")];
    (head, axum::body::Body::from_stream(events)).into_response()
}

async fn answer(State(target): State<Arc<Target>>, req: Request) -> Response {
    let headers = req.headers().clone();
    let is_stream = req.uri().path().starts_with("/stream/");
    let attempt = headers.get("attempt-id").cloned();
    let expected = headers.get("expect-instance").map(|name| name.as_bytes());
    if expected.is_some_and(|name| name != target.name.as_bytes()) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let behaviour = target.behaviour();
    target.arrived.fetch_add(1, Ordering::Relaxed);
    if let Behaviour::Pausing(wait) = behaviour {
        let head = [("not-executed", "1"), ("retry-after", wait)];
        return (StatusCode::SERVICE_UNAVAILABLE, head).into_response();
    }
    if behaviour == Behaviour::Full {
        return (StatusCode::SERVICE_UNAVAILABLE, [("not-executed", "1")]).into_response();
    }
    if behaviour == Behaviour::Streaming {
        return short_stream(attempt);
    }
    target.record(headers);
    if behaviour == Behaviour::Unresponsive {
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    let status = match behaviour {
        Behaviour::Failing | Behaviour::LeavingAndFailing => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut response = match is_stream {
        true => long_stream(),
        false => (status, "the answer").into_response(),
    };
    let proof = http::HeaderValue::from_static("proof");
    response.headers_mut().insert("server-stamp", proof);
    if matches!(behaviour, Behaviour::Leaving | Behaviour::LeavingAndFailing) {
        let leaving = HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", leaving);
    }
    let attempt = match behaviour {
        Behaviour::WrongAttempt => Some(HeaderValue::from_static("another")),
        _ => attempt,
    };
    if let Some(attempt) = attempt {
        response.headers_mut().insert("attempt-id", attempt);
    }
    response
}

/// Returns an answer that streams `EVENTS`, one at a time.
fn short_stream(attempt: Option<HeaderValue>) -> Response {
    let events = stream::iter(EVENTS).then(|event| async move {
        tokio::time::sleep(SHORT_PAUSE).await;
        Ok::<_, Infallible>(event)
    });
    let mut response = Body::from_stream(events).into_response();
    let headers = response.headers_mut();
    for (name, value) in [
        ("content-type", "text/event-stream"),
        ("server-stamp", "proof"),
        ("server-load", "1,0,16"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    if let Some(attempt) = attempt {
        headers.insert("attempt-id", attempt);
    }
    response
}

/// A target that answers every request with `first`, and then with `repeated` until the
/// connection closes.
pub(crate) struct EndlessTarget {
    /// The number of connections on which an answer is being sent.
    open: AtomicUsize,
    /// The number of bytes sent.
    sent: AtomicUsize,
    first: &'static str,
    repeated: &'static str,
}

impl EndlessTarget {
    /// Starts a target and returns it with its address.
    pub(crate) async fn start(
        first: &'static str,
        repeated: &'static str,
    ) -> (Arc<Self>, SocketAddr) {
        let target = Arc::new(Self {
            open: AtomicUsize::new(0),
            sent: AtomicUsize::new(0),
            first,
            repeated,
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let own = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&own).answer(stream));
            }
        });
        (target, address)
    }

    /// Returns the number of connections on which an answer is being sent, and the number
    /// of bytes sent.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        (load(&self.open), load(&self.sent))
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        let mut request = [0; 4_096];
        if stream.read(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let mut next = self.first;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            self.sent.fetch_add(next.len(), Ordering::Relaxed);
            next = self.repeated;
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a router on a free loopback port and returns its address.
async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().enumerate().fold(0_u32, |group, (at, &byte)| {
            group | u32::from(byte) << (16 - 8 * at)
        });
        for digit in 0..4 {
            let at = (group >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[at as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
