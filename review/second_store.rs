//! The platform's store: a log with keyed topics of one partition, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// The records of a topic in the order of their offsets.
type Records = Vec<(String, Option<Vec<u8>>)>;

#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store turns every call away with 503.
    is_down: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Records>,
    /// How often the store came back from an older copy.
    era: u64,
}

/// A copy of the store's content.
#[derive(Debug)]
pub struct Copy(BTreeMap<String, Records>);

/// A record that a restore lost.
#[derive(Debug, Clone)]
pub struct Lost {
    pub topic: String,
    pub key: String,
    pub value: Option<Vec<u8>>,
}

impl Store {
    /// Starts a store on a free port of 127.0.0.1.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Appends a record, as the operator or a server does. `None` removes the key. Returns the offset.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) -> usize {
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(|it| it.as_bytes().to_vec())));
        self.changed.notify_all();
        records.len() - 1
    }

    /// Returns the newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let records = state.topics.get(topic)?;
        let (_, value) = records.iter().rev().find(|(name, _)| name == key)?;
        value
            .as_ref()
            .map(|it| String::from_utf8_lossy(it).into_owned())
    }

    /// Returns the number of keys that have a value.
    pub fn keys(&self, topic: &str) -> usize {
        let state = self.lock();
        let mut keys = BTreeMap::new();
        for (key, value) in state.topics.get(topic).into_iter().flatten() {
            keys.insert(key, value.is_some());
        }
        keys.values().filter(|it| **it).count()
    }

    /// Turns every call away from now on, or answers again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Returns a copy of the present content.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().topics.clone())
    }

    /// Comes back from a copy. Returns what the operator and the servers wrote since, which they write
    /// again.
    pub fn restore(&self, copy: Copy) -> Vec<Lost> {
        let mut state = self.lock();
        let mut lost = Vec::new();
        for topic in ["keyed.op", "keyed.servers"] {
            let kept = copy.0.get(topic).map_or(0, Vec::len);
            for (key, value) in state.topics.get(topic).into_iter().flatten().skip(kept) {
                let (topic, key, value) = (topic.to_owned(), key.clone(), value.clone());
                lost.push(Lost { topic, key, value });
            }
        }
        state.topics = copy.0;
        state.era += 1;
        self.changed.notify_all();
        lost
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            let (status, era, body) = self.answer(&request);
            let era = era.to_string();
            let headers = [
                ("content-type", "application/json"),
                ("store-era", era.as_str()),
            ];
            // A store that never came back from a copy states no era.
            let headers = &headers[..if era == "0" { 1 } else { 2 }];
            if http::write_answer(&mut to, status, headers, &body).is_err() {
                return;
            }
        }
    }

    /// Returns the status of an answer, the era in which it was made, and its body.
    fn answer(&self, request: &Message) -> (&'static str, u64, Vec<u8>) {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key, decode(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let number = |key: &str| query.get(key).and_then(|it| it.parse::<usize>().ok());
        let topic = text("topic");
        let mut state = self.lock();
        if self.is_down.load(Ordering::Relaxed) {
            return ("503 Service Unavailable", state.era, Vec::new());
        }
        match (method, path) {
            ("GET", "/bulrushtrestle/log-newest") => {
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                ("200 OK", state.era, newest(records, &text("after")))
            }
            ("GET", "/bulrushtrestle/log-read") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                let until = Instant::now() + wait;
                loop {
                    if self.is_down.load(Ordering::Relaxed) {
                        return ("503 Service Unavailable", state.era, Vec::new());
                    }
                    let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                    let left = until.saturating_duration_since(Instant::now());
                    if let Some((status, body)) =
                        read(records, number("from").unwrap_or(0), left.is_zero())
                    {
                        return (status, state.era, body);
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.expect("no thread panics with the lock").0;
                }
            }
            ("POST", "/bulrushtrestle/log-append") => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return ("403 Forbidden", state.era, Vec::new());
                }
                let era = state.era;
                let records = state.topics.entry(topic).or_default();
                let (status, body) = append(records, number("at"), &request.body);
                self.changed.notify_all();
                (status, era, body)
            }
            _ => ("404 Not Found", state.era, Vec::new()),
        }
    }
}

fn newest(records: &[(String, Option<Vec<u8>>)], after: &str) -> Vec<u8> {
    const ITEMS_MAX: usize = 500;
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        match value {
            Some(value) => drop(newest.insert(key, (offset, value))),
            None => drop(newest.remove(key.as_str())),
        }
    }
    let rest: Vec<_> = newest.iter().filter(|(key, _)| **key > after).collect();
    let item = |(key, (offset, value)): &(&&str, &(usize, &[u8]))| {
        format!(
            r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
            base64(value)
        )
    };
    let items: Vec<String> = rest.iter().take(ITEMS_MAX).map(item).collect();
    let (more, end) = (rest.len() > ITEMS_MAX, records.len());
    format!(
        r#"{{"items":[{}],"more_pages":{more},"end":{end}}}"#,
        items.join(",")
    )
    .into_bytes()
}

/// Returns the answer to a read; `None` if it waits for a record.
fn read(
    records: &[(String, Option<Vec<u8>>)],
    from: usize,
    must_answer: bool,
) -> Option<(&'static str, Vec<u8>)> {
    if from > records.len() {
        return Some(("410 Gone", br#"{"first":0}"#.to_vec()));
    }
    if from == records.len() && !must_answer {
        return None;
    }
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for (key, value) in &records[from..] {
        let value = value.as_deref().unwrap_or_default();
        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value);
    }
    Some(("200 OK", body))
}

fn append(records: &mut Records, at: Option<usize>, body: &[u8]) -> (&'static str, Vec<u8>) {
    let end = records.len();
    if at.is_some_and(|at| at != end) {
        return (
            "412 Precondition Failed",
            format!(r#"{{"end":{end}}}"#).into_bytes(),
        );
    }
    let mut rest = body;
    while rest.len() > 5 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let record = &rest[4..4 + length];
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let value = &record[key_end..];
        records.push((key, (!value.is_empty()).then(|| value.to_vec())));
        rest = &rest[4 + length..];
    }
    (
        "200 OK",
        format!(r#"{{"offset":{end},"end":{}}}"#, records.len()).into_bytes(),
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
