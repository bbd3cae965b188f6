//! The platform's store: a log with keyed topics, held in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, write_answer, Request};

type Records = Vec<(String, Option<Vec<u8>>)>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Records>>,
    changed: Condvar,
}

impl Store {
    /// Starts the store at a free port.
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let own = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Appends a record as the operator or a server does; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let mut topics = self.lock();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(String::into_bytes)));
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.lock();
        let found = topics.get(topic)?.iter().rev().find(|(name, _)| name == key)?;
        let value = found.1.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Records>> {
        self.topics.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(req)) = read_request(&mut reader) {
            let (status, kind, body) = self.answer(&req);
            let headers = [("Content-Type", kind)];
            if write_answer(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        const RAW: &str = "application/octet-stream";
        let topic = req.query("topic").unwrap_or_default();
        match req.path() {
            "/bulrushtrestle/log-newest" => (200, JSON, self.newest_of_all(&topic, req)),
            "/bulrushtrestle/log-read" => (200, RAW, self.read(&topic, req)),
            "/bulrushtrestle/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, JSON, b"{}".to_vec());
                }
                let (status, body) = self.append(&topic, req);
                (status, JSON, body.into_bytes())
            }
            _ => (404, JSON, b"{}".to_vec()),
        }
    }

    fn newest_of_all(&self, topic: &str, req: &Request) -> Vec<u8> {
        const PAGE: usize = 500;
        let after = req.query("after").unwrap_or_default();
        let topics = self.lock();
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key, (value, offset)),
                None => newest.remove(key),
            };
        }
        let rest: Vec<_> = newest.into_iter().filter(|(key, _)| **key > after).collect();
        let more = rest.len() > PAGE;
        let items: Vec<String> = rest
            .into_iter()
            .take(PAGE)
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"more_pages\":{more},\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, req: &Request) -> Vec<u8> {
        let number = |name: &str| req.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.lock();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let value = value.as_deref().unwrap_or_default();
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        body
    }

    fn append(&self, topic: &str, req: &Request) -> (u16, String) {
        let mut topics = self.lock();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if req.query("at").is_some_and(|at| at != offset.to_string()) {
            return (412, format!("{{\"end\":{offset}}}"));
        }
        let mut rest = &req.body[..];
        while rest.len() > 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (content, after) = rest[4..].split_at(length);
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            records.push((key, (!value.is_empty()).then(|| value.to_vec())));
            rest = after;
        }
        let end = records.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(group >> (18 - 6 * digit)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
