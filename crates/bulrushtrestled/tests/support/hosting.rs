//! A hosting platform in miniature: its store, and a target, by their published protocols.

#![allow(dead_code, reason = "each program uses another part of the support")]

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Topic = Vec<(String, Option<Vec<u8>>)>;
type Params = BTreeMap<String, String>;

/// A store that keeps everything in memory.
#[derive(Debug, Default)]
pub(crate) struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    down: AtomicBool,
}

impl Store {
    /// Starts a store and returns it with its address.
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let router = Router::new()
            .route("/bulrushtrestle/log-newest", get(newest))
            .route("/bulrushtrestle/log-read", get(read))
            .route("/bulrushtrestle/log-append", post(append))
            .with_state(Arc::clone(&store));
        (store, serve(router).await)
    }

    /// Writes a record, as an operator or a target does.
    pub(crate) fn put(&self, topic: &str, key: &str, value: Option<serde_json::Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        let mut topics = self.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value));
    }

    /// Lets the store refuse every call, or answer again.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Returns the keys that have a record in a topic.
    pub(crate) fn keys(&self, topic: &str) -> Vec<String> {
        let newest = self.newest(topic).0;
        newest.into_iter().map(|(key, ..)| key).collect()
    }

    fn newest(&self, topic: &str) -> (Vec<(String, Vec<u8>, usize)>, usize) {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
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
    let (items, end) = store.newest(&params["topic"]);
    let items: Vec<_> = items
        .into_iter()
        .map(|(key, value, offset)| json!({"key": key, "value": base64(&value), "offset": offset}))
        .collect();
    json!({"items": items, "more_pages": false, "end": end})
        .to_string()
        .into_response()
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
        let body = {
            let topics = store.lock();
            let records = topics.get(&params["topic"]).map_or(&[][..], Vec::as_slice);
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                let value = value.as_deref().unwrap_or_default();
                let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
                body.extend(length.to_be_bytes());
                body.push(u8::try_from(key.len()).unwrap_or(0));
                body.extend(key.as_bytes());
                body.extend(value);
            }
            body
        };
        if body.len() > 16 || began.elapsed() >= wait {
            return body.into_response();
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
    let mut topics = store.lock();
    let topic = topics.entry(params["topic"].clone()).or_default();
    let end = topic.len();
    if params.get("at").is_some_and(|at| *at != end.to_string()) {
        let end = json!({"end": end}).to_string();
        return (StatusCode::PRECONDITION_FAILED, end).into_response();
    }
    let key_end = 5 + usize::from(body[4]);
    let key = String::from_utf8_lossy(&body[5..key_end]).into_owned();
    let value = body[key_end..].to_vec();
    topic.push((key, (!value.is_empty()).then_some(value)));
    json!({"offset": end, "end": end + 1})
        .to_string()
        .into_response()
}

/// What a target does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mood {
    /// It answers.
    Good,
    /// It says that it does not run them.
    Full,
    /// It runs them and fails.
    Failing,
    /// It answers as if to another request.
    Confused,
    /// It runs them and says nothing.
    Dark,
    /// It answers each with a short stream, and remembers nothing.
    Streaming,
}

/// The events of a stream, each of the 80 bytes that the users' have in the mean.
const EVENTS: [&str; 2] = [
    "id: 1\ndata: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n\n",
    "id: 2\ndata: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n\n",
];
/// The time before each event of a stream.
const PAUSE: Duration = Duration::from_millis(30);

/// A target that remembers what it was sent.
#[derive(Debug)]
pub(crate) struct Target {
    name: String,
    mood: Mutex<Mood>,
    seen: Mutex<Vec<HeaderMap>>,
}

impl Target {
    /// Starts a target and returns it with its address.
    pub(crate) async fn start(name: &str) -> (Arc<Self>, SocketAddr) {
        let target = Arc::new(Self {
            name: name.to_owned(),
            mood: Mutex::new(Mood::Good),
            seen: Mutex::default(),
        });
        let router = Router::new()
            .fallback(answer)
            .with_state(Arc::clone(&target));
        (target, serve(router).await)
    }

    /// Changes what the target does.
    pub(crate) fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner) = mood;
    }

    fn note(&self, head: HeaderMap) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.push(head);
    }

    fn mood(&self) -> Mood {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the heads of the requests that it ran.
    pub(crate) fn seen(&self) -> Vec<HeaderMap> {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// The number of events of a long stream, and the pause before each but the first.
const LONG_EVENTS: u64 = 8;
const LONG_PAUSE: Duration = Duration::from_millis(5);

/// Returns a long stream.
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
    let mood = target.mood();
    if mood == Mood::Full {
        return (StatusCode::SERVICE_UNAVAILABLE, [("not-executed", "1")]).into_response();
    }
    if mood == Mood::Streaming {
        return streamed(attempt);
    }
    target.note(headers);
    if mood == Mood::Dark {
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    let status = match mood {
        Mood::Failing => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut response = match is_stream {
        true => long_stream(),
        false => (status, "the answer").into_response(),
    };
    let proof = http::HeaderValue::from_static("proof");
    response.headers_mut().insert("server-stamp", proof);
    let attempt = match mood {
        Mood::Confused => Some(HeaderValue::from_static("another")),
        _ => attempt,
    };
    if let Some(attempt) = attempt {
        response.headers_mut().insert("attempt-id", attempt);
    }
    response
}

/// Returns an answer whose events come one after the other.
fn streamed(attempt: Option<HeaderValue>) -> Response {
    let events = stream::iter(EVENTS).then(|event| async move {
        tokio::time::sleep(PAUSE).await;
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

/// A target that answers every request with these bytes once, then with others without end.
pub(crate) struct Endless {
    open: AtomicUsize,
    sent: AtomicUsize,
    once: &'static str,
    again: &'static str,
}

impl Endless {
    /// Starts a target and returns it with its address.
    pub(crate) async fn start(once: &'static str, again: &'static str) -> (Arc<Self>, SocketAddr) {
        let target = Arc::new(Self {
            open: AtomicUsize::new(0),
            sent: AtomicUsize::new(0),
            once,
            again,
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let own = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&own).answer(stream));
            }
        });
        (target, address)
    }

    /// Returns how many connections with an answer are open, and how many bytes were written.
    pub(crate) fn figures(&self) -> (usize, usize) {
        let figure = |figure: &AtomicUsize| figure.load(Ordering::Relaxed);
        (figure(&self.open), figure(&self.sent))
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        let mut request = [0; 4_096];
        if stream.read(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let mut next = self.once;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            self.sent.fetch_add(next.len(), Ordering::Relaxed);
            next = self.again;
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0_u32, |word, (at, &byte)| {
            word | u32::from(byte) << (16 - 8 * at)
        });
        for digit in 0..4 {
            let at = (word >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[at as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
