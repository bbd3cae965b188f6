//! Consumers: each request is one attempt on a connection of its own.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, BodyEnd};

pub const HOST: &str = "host.example";
pub const KEY: &str = "key-1";

/// How long a consumer waits.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// What a consumer saw of an attempt.
#[derive(Debug, Clone)]
pub struct Seen {
    pub attempt: String,
    pub sent: Instant,
    /// The status; 0 if there was no answer.
    pub status: u16,
    pub complete: bool,
}

/// Requests at a steady rate to one router, each with a number of its own.
#[derive(Debug)]
pub struct Load {
    to: SocketAddr,
    path: &'static str,
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Load {
    /// Sends requests to a path until [`stop`](Self::stop).
    pub fn start(to: SocketAddr, path: &'static str, per_s: f64) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(1);
        let load = Self {
            to,
            path,
            stop: Arc::default(),
            seen: Arc::default(),
        };
        let (stop, seen) = (Arc::clone(&load.stop), Arc::clone(&load.seen));
        thread::spawn(move || {
            let mut next = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                let number = NUMBER.fetch_add(1, Ordering::Relaxed);
                let seen = Arc::clone(&seen);
                thread::spawn(move || {
                    let attempt = format!("{number:016x}");
                    let one = send(to, path, &attempt, &format!("body of {attempt}"));
                    seen.lock()
                        .expect("no thread panics with the lock")
                        .push(one);
                });
                next += Duration::from_secs_f64(1.0 / per_s);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        load
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns the address and the path of the requests, for the record.
    pub fn target(&self) -> String {
        format!("{}{}", self.to, self.path)
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }
}

/// Sends a request and reads its answer.
pub fn send(to: SocketAddr, path: &str, attempt: &str, body: &str) -> Seen {
    let sent = Instant::now();
    let mut seen = Seen {
        attempt: attempt.to_owned(),
        sent,
        status: 0,
        complete: false,
    };
    exchange(to, path, attempt, body, &mut seen);
    seen
}

fn exchange(to: SocketAddr, path: &str, attempt: &str, body: &str, seen: &mut Seen) -> Option<()> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let mut out = stream.try_clone().ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {attempt}\r\ndeadline-ms: {}\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    out.write_all(request.as_bytes()).ok()?;
    let mut from = BufReader::new(stream);
    let answer = http::read_head(&mut from).ok()??;
    seen.status = answer.status();
    seen.complete = http::read_body(&mut from, &answer, true, |_| true) == BodyEnd::Complete;
    Some(())
}

/// Counts answers by status.
pub fn by_status<'a>(seen: impl Iterator<Item = &'a Seen>) -> String {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for one in seen {
        *counts.entry(one.status).or_default() += 1;
    }
    let counts = counts.into_iter().map(|(status, count)| match status {
        0 => format!("no answer: {count}"),
        status => format!("{status}: {count}"),
    });
    counts.collect::<Vec<_>>().join(", ")
}
