//! Servers of a plain service: they register in the store, run requests and keep a list of what they ran.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// How often a server writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time for which a server works on a request.
const WORK: Duration = Duration::from_millis(15);

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    /// Whether the server answered it with a failure.
    pub failed: bool,
    /// Whether it crashed the server.
    pub crashes: bool,
}

/// What a server says of itself in its record.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    pub slots: u32,
}

#[derive(Debug)]
pub struct Server {
    pub entry: Entry,
    address: SocketAddr,
    /// In thousandths, how many answers are failures.
    fails: AtomicU32,
    running: AtomicU64,
    has_left: AtomicBool,
    /// The connections that are open, which a crash ends.
    open: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
}

/// A request whose body begins so crashes the server that begins to run it.
pub const CRASHING: &[u8] = b"crash";

impl Server {
    /// Starts a server on a free port of 127.0.0.1 and registers it. `fails` is the share of its
    /// answers that are failures, in thousandths.
    pub fn start(store: &Arc<Store>, entry: Entry, fails: u32) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a server");
        let server = Arc::new(Self {
            entry,
            address: listener.local_addr().expect("the address of a server"),
            fails: AtomicU32::new(fails),
            running: AtomicU64::new(0),
            has_left: AtomicBool::new(false),
            open: Mutex::default(),
            runs: Mutex::default(),
        });
        let (registered, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || registered.register(&store));
        let served = Arc::clone(&server);
        thread::spawn(move || served.accept(&listener));
        server
    }

    /// Ends the server: its record is removed, and it takes no more requests.
    pub fn stop(&self, store: &Store) {
        self.has_left.store(true, Ordering::Relaxed);
        store.put("keyed.servers", &self.entry.id, None);
    }

    /// Returns whether the server has left or crashed.
    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
    }

    /// Takes connections until the server leaves. Then the listener is gone, and connections are refused.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener
            .set_nonblocking(true)
            .expect("a listener that does not wait");
        while !self.has_left() {
            match listener.accept() {
                Ok((stream, _)) => {
                    drop(stream.set_nonblocking(false));
                    let kept = stream.try_clone();
                    self.open
                        .lock()
                        .expect("no thread panics with the lock")
                        .extend(kept);
                    let server = Arc::clone(self);
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    /// Ends the process, as far as others can see: all connections end, and nothing more is written.
    fn crash(&self) {
        self.has_left.store(true, Ordering::Relaxed);
        for stream in self
            .open
            .lock()
            .expect("no thread panics with the lock")
            .drain(..)
        {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }

    /// Returns the requests that the server ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }

    fn register(&self, store: &Store) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |it| it.as_millis());
        let Entry {
            id,
            service,
            zone,
            version,
            slots,
        } = &self.entry;
        let address = self.address;
        for sequence in 1.. {
            if self.has_left.load(Ordering::Relaxed) {
                return;
            }
            let record = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","cold_left_ms":0,"born":{born},"sequence":{sequence}}}"#
            );
            store.put("keyed.servers", id, Some(&record));
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            if self.has_left.load(Ordering::Relaxed) {
                return;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let answered = self.answer(&request, &mut to);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if answered.is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, to: &mut TcpStream) -> std::io::Result<()> {
        let id = self.entry.id.as_str();
        let attempt = request.header("attempt-id").unwrap_or_default();
        let running = self.running.load(Ordering::Relaxed);
        let load = format!("{running},0,{}", self.entry.slots);
        if request.header("expect-instance").is_some_and(|it| it != id) {
            let headers = [("instance-id", id), ("not-executed", "1")];
            return http::write_answer(to, "421 Misdirected Request", &headers, b"");
        }
        if running > u64::from(self.entry.slots) {
            let headers = [
                ("attempt-id", attempt),
                ("not-executed", "1"),
                ("server-load", &load),
            ];
            return http::write_answer(to, "503 Service Unavailable", &headers, b"");
        }
        // Spreads the failures evenly over the attempts.
        let number = u64::from_str_radix(attempt, 16).unwrap_or(0);
        let spread = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let failed = (spread * 1_000) >> 32 < u64::from(self.fails.load(Ordering::Relaxed));
        let crashes = request.body.starts_with(CRASHING);
        let run = Run {
            at: Instant::now(),
            attempt: attempt.to_owned(),
            failed,
            crashes,
        };
        self.runs
            .lock()
            .expect("no thread panics with the lock")
            .push(run);
        if crashes {
            self.crash();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(WORK);
        let stamp = format!("{id}.{attempt}");
        let headers = [
            ("attempt-id", attempt),
            ("server-stamp", stamp.as_str()),
            ("server-load", load.as_str()),
            ("keep-alive", "timeout=10"),
        ];
        let status = if failed {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        http::write_answer(to, status, &headers, &[b'x'; 800])
    }
}
