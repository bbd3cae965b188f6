//! Servers: each writes its entry to the store and answers requests as its case says.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{unix_ms, Record};
use crate::http::{read_request, write_answer, Request};
use crate::store::Store;

/// The interval at which a server writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// What a server is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// For how long the server is cold after its start.
    pub cold_ms: u64,
}

/// How a server answers a request that it runs. Returns whether the connection may be kept.
pub type Answering = Arc<dyn Fn(&Server, &Request, &mut TcpStream) -> bool + Send + Sync>;

pub struct Server {
    pub spec: Spec,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    /// The number of requests that were run.
    pub runs: AtomicU64,
    store: Arc<Store>,
    running: AtomicUsize,
    sequence: AtomicU64,
    gone: AtomicBool,
    born_ms: u64,
    started: Instant,
    open: Mutex<Vec<TcpStream>>,
    answering: Answering,
}

impl Server {
    /// Starts a server at a free port.
    pub fn start(
        spec: Spec,
        store: &Arc<Store>,
        record: &Arc<Record>,
        answering: Answering,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            record: Arc::clone(record),
            spec,
            runs: AtomicU64::new(0),
            store: Arc::clone(store),
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            gone: AtomicBool::new(false),
            born_ms: unix_ms(),
            started: Instant::now(),
            open: Mutex::default(),
            answering,
        });
        server.beat();
        let own = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.gone.load(Ordering::SeqCst) {
                    return;
                }
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = Arc::clone(&server);
        thread::spawn(move || loop {
            thread::sleep(BEAT);
            if own.gone.load(Ordering::SeqCst) {
                return;
            }
            own.beat();
        });
        Ok(server)
    }

    /// Ends the server at once: its connections are closed and its entry is removed.
    pub fn stop(&self) {
        self.gone.store(true, Ordering::SeqCst);
        for stream in self.lock().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        self.store.put("keyed.servers", &self.spec.id, None);
    }

    fn beat(&self) {
        let Spec {
            service,
            version,
            zone,
            slots,
            cold_ms,
            ..
        } = &self.spec;
        let age = self.started.elapsed().as_millis() as u64;
        let cold = cold_ms.saturating_sub(age);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (address, born) = (self.address, self.born_ms);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\
             \"cold_left_ms\":{cold},\"sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put("keyed.servers", &self.spec.id, Some(entry));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(own), Ok(clone)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.lock().push(own);
        let mut reader = BufReader::new(clone);
        while let Ok(Some(req)) = read_request(&mut reader) {
            if self.gone.load(Ordering::SeqCst) || !self.handle(&req, &mut stream) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn handle(&self, req: &Request, stream: &mut TcpStream) -> bool {
        let attempt = req.header("attempt-id").unwrap_or("").to_owned();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|id| id != self.spec.id) {
            let headers = [("Instance-Id", self.spec.id.as_str())];
            return write_answer(stream, 421, &headers, b"").is_ok();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let keeps = if running >= self.spec.slots {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            write_answer(stream, 503, &headers, b"").is_ok()
        } else {
            self.runs.fetch_add(1, Ordering::SeqCst);
            (self.answering)(self, req, stream)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        keeps
    }

    /// Returns the proof of an answer to an attempt.
    pub fn stamp(&self, attempt: &str) -> String {
        format!("{}.{attempt}", self.spec.id)
    }

    /// Returns the load as stated in answers.
    pub fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("{running},0,{}", self.spec.slots)
    }

    /// Answers a request with a stream of events in chunks.
    pub fn stream(&self, req: &Request, stream: &mut TcpStream, events: u64, pause: Duration) -> bool {
        let attempt = req.header("attempt-id").unwrap_or("");
        let (stamp, load) = (self.stamp(attempt), self.load());
        let after: u64 = req
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
             Server-Stamp: {stamp}\r\nServer-Load: {load}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for id in after + 1..=events {
            thread::sleep(pause);
            let event = format!("id: {id}\ndata: {attempt} piece {id} of {events}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Answers a request with a complete body.
    pub fn plain(&self, req: &Request, stream: &mut TcpStream, body: &[u8]) -> bool {
        let attempt = req.header("attempt-id").unwrap_or("");
        let (stamp, load) = (self.stamp(attempt), self.load());
        let headers = [
            ("Attempt-Id", attempt),
            ("Server-Stamp", stamp.as_str()),
            ("Server-Load", load.as_str()),
        ];
        write_answer(stream, 200, &headers, body).is_ok()
    }
}
