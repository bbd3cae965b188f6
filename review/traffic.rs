//! The requests of consumers, and the desired state that allows them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::fleet::Record;
use crate::http::{Answer, End};

pub const HOST: &str = "ficu95.example";
pub const TENANTS: usize = 8;

/// A kind of request of the site's sheet.
pub struct Class {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub deadline_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
    /// Requests in a second, relative to the others.
    pub weight: f64,
    /// Tokens of the shared parts, of the last part, and to generate.
    pub tokens: (u64, u64, u64),
}

/// The kinds of request of the small site.
pub const CLASSES: [Class; 5] = [
    Class { name: "season-contract", kind: "streaming", service: "klok-llm", timeout_ms: 15_000, deadline_ms: 15_000, target_ms: 800, attempts: 1, resumable: false, weight: 96.1, tokens: (5_382, 1_228, 384) },
    Class { name: "arbiter-help", kind: "streaming", service: "klok-llm", timeout_ms: 12_000, deadline_ms: 12_000, target_ms: 400, attempts: 2, resumable: true, weight: 82.1, tokens: (198, 430, 294) },
    Class { name: "repair-tag", kind: "streaming", service: "klok-llm", timeout_ms: 3_000, deadline_ms: 3_000, target_ms: 500, attempts: 1, resumable: false, weight: 157.0, tokens: (568, 1_232, 24) },
    Class { name: "reserve-deposit", kind: "non_idempotent", service: "booking", timeout_ms: 800, deadline_ms: 1_500, target_ms: 100, attempts: 1, resumable: false, weight: 34.9, tokens: (0, 0, 0) },
    Class { name: "stock-lookup", kind: "idempotent", service: "booking", timeout_ms: 800, deadline_ms: 1_500, target_ms: 100, attempts: 2, resumable: false, weight: 14.0, tokens: (0, 0, 0) },
];

/// Returns the desired state with all kinds of request. `later` is the name of a route that is added
/// for look-ups at the booking service.
pub fn desired_state(version: u64, later: Option<&str>) -> String {
    let mut routes: Vec<String> = CLASSES
        .iter()
        .map(|class| {
            let Class { name, kind, service, timeout_ms, target_ms, attempts, resumable, .. } = class;
            let streams = *kind == "streaming";
            let gap = if streams { ",\"gap_aim_ms\":400" } else { "" };
            let priority = if streams { 1 } else { 2 };
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\
                 \"priority\":{priority},\"service\":\"{service}\",\"max_attempts\":{attempts},\
                 \"anonymous\":false,\"sticky\":{streams},\"resumable\":{resumable}{gap}}}"
            )
        })
        .collect();
    routes.extend(later.map(|name| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"idempotent\",\
             \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"booking\",\
             \"max_attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}"
        )
    }));
    let tenants: Vec<String> = (0..TENANTS)
        .map(|t| format!("{{\"name\":\"tenant{t}\",\"api_keys\":[\"key-of-{t}\"],\"priority\":1}}"))
        .collect();
    let (routes, tenants) = (routes.join(","), tenants.join(","));
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"klok-llm\",\"health_path\":\"/healthz\",\"max_conns\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":14.0,\"engine\":{{\"slots\":128,\
         \"kv_tokens\":691521,\"kv_bytes\":18432,\"link_mbps\":180000.0,\"stride\":6,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"booking\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":600000}},\
         \"tenants\":[{tenants}]}}"
    )
}

/// A small generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        // The finalizer of splitmix64, so that neighbouring seeds have nothing in common.
        let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Self((mixed ^ (mixed >> 31)) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, most: u64) -> u64 {
        (self.next() >> 11) % most.max(1)
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A request of a consumer with all its attempts.
pub struct Done {
    pub class: usize,
    /// When it was sent, since the start of traffic.
    pub sent: Duration,
    pub served: bool,
    /// Whether a success was received that is not the server's whole body.
    pub mixed: bool,
}

/// Judges an answer: whether it is a whole success, and whether it is a success that is not the
/// server's whole body.
pub type Judge = Arc<dyn Fn(&Class, &str, &Answer) -> (bool, bool) + Send + Sync>;

pub struct Traffic {
    pub started: Instant,
    pub done: Mutex<Vec<Done>>,
    stop: AtomicBool,
    open: AtomicU64,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Traffic {
    /// Starts consumers that send `per_s` requests in a second to the machines. All idempotent ones
    /// ask for `path`, if there is one, and else each for something of its own. With `in_turn` the
    /// tenants send one after the other, and else at random.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        fronts: Vec<SocketAddr>,
        weights: [f64; 5],
        per_s: f64,
        path: Option<&'static str>,
        in_turn: bool,
        judge: Judge,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let traffic = Arc::new(Self {
            started: Instant::now(),
            done: Mutex::default(),
            stop: AtomicBool::new(false),
            open: AtomicU64::new(0),
        });
        let (own, record) = (Arc::clone(&traffic), Arc::clone(record));
        thread::spawn(move || {
            let mut random = Random::new(std::process::id().into());
            let total: f64 = weights.iter().sum();
            let mut number = 0.0;
            while !own.stop.load(Ordering::SeqCst) {
                let due = Duration::from_secs_f64(number / per_s);
                thread::sleep(due.saturating_sub(own.started.elapsed()));
                number += 1.0;
                let mut at = random.share() * total;
                let class = weights.iter().position(|weight| {
                    at -= weight;
                    at < 0.0
                });
                let class = class.unwrap_or(0);
                if own.open.load(Ordering::SeqCst) > 250 {
                    // More consumers than a script may run: this one does not come.
                    continue;
                }
                own.open.fetch_add(1, Ordering::SeqCst);
                let (own, fronts) = (Arc::clone(&own), fronts.clone());
                let (judge, record) = (Arc::clone(&judge), Arc::clone(&record));
                let seed = random.next();
                let tenant = match in_turn {
                    true => number as u64 % TENANTS as u64,
                    false => random.below(TENANTS as u64),
                };
                thread::spawn(move || {
                    own.request(class, path, tenant, &fronts, seed, &judge, &record);
                    own.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        traffic
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs(4);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns how many requests were sent from one time to another, and how many were served.
    pub fn served(&self, from: Duration, to: Duration) -> (usize, usize) {
        let done = self.done.lock().unwrap();
        let sent = done.iter().filter(|it| it.sent >= from && it.sent < to);
        let (mut all, mut served) = (0, 0);
        for it in sent {
            all += 1;
            served += usize::from(it.served);
        }
        (all, served)
    }

    /// Sends a request, and once more as the pages allow.
    #[allow(clippy::too_many_arguments)]
    fn request(
        &self,
        class: usize,
        path: Option<&str>,
        tenant: u64,
        fronts: &[SocketAddr],
        seed: u64,
        judge: &Judge,
        record: &Record,
    ) {
        let kind = &CLASSES[class];
        let sent = self.started.elapsed();
        let until = Instant::now() + Duration::from_millis(kind.deadline_ms);
        let mut random = Random::new(seed);
        let mut done = Done { class, sent, served: false, mixed: false };
        let mut refused = usize::MAX;
        for attempt in 0..2 {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(20) {
                break;
            }
            let mut at = random.below(fronts.len() as u64) as usize;
            if at == refused {
                at = (at + 1) % fronts.len();
            }
            let id = format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::SeqCst));
            let message = message(kind, path, tenant, &id, left, &mut random);
            let answer = client::exchange(fronts[at], &message, left + Duration::from_millis(300));
            let now = self.started.elapsed().as_secs_f64();
            let (wait, may_retry) = match &answer {
                Ok(answer) => {
                    let (whole, mixed) = judge(kind, &id, answer);
                    done.served = whole;
                    done.mixed |= mixed;
                    let (status, end, bytes) = (answer.status, answer.end, answer.body.len());
                    let stamp = answer.header("server-stamp").unwrap_or("-");
                    record.line(&format!(
                        "answered sent={:.3} at={now:.3} class={} id={id} attempt={attempt} machine={} status={status} end={end:?} bytes={bytes} stamp={stamp} whole={whole} mixed={mixed}",
                        sent.as_secs_f64(), kind.name, fronts[at],
                    ));
                    let promised = matches!(status, 408 | 421 | 429 | 503);
                    let never = matches!(status, 200..=299 | 400 | 401 | 404 | 413 | 431) && end != End::Broken;
                    let wait = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
                    (wait, !whole && !never && (promised || kind.kind == "idempotent"))
                }
                Err(error) => {
                    record.line(&format!(
                        "failed sent={:.3} at={now:.3} class={} id={id} attempt={attempt} machine={} error={error}",
                        sent.as_secs_f64(), kind.name, fronts[at],
                    ));
                    let unread = error.kind() == std::io::ErrorKind::ConnectionRefused;
                    (None, unread || kind.kind == "idempotent")
                }
            };
            if !may_retry {
                break;
            }
            refused = at;
            let left = until.saturating_duration_since(Instant::now());
            let wait = Duration::from_secs_f64(wait.unwrap_or(0.05).clamp(0.0, 60.0));
            thread::sleep(wait.min(left / 3));
        }
        self.done.lock().unwrap().push(done);
    }
}

/// Returns a request of a consumer.
fn message(
    kind: &Class,
    path: Option<&str>,
    tenant: u64,
    id: &str,
    left: Duration,
    random: &mut Random,
) -> Vec<u8> {
    let name = kind.name;
    let deadline = left.as_millis();
    let common = format!(
        "Host: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\nAuthorization: Bearer key-of-{tenant}\r\nConnection: close\r\n"
    );
    match kind.kind {
        "idempotent" => {
            let path = path.map_or_else(|| format!("/{name}/{}", random.below(100_000)), str::to_owned);
            format!("GET {path} HTTP/1.1\r\n{common}\r\n").into_bytes()
        }
        "non_idempotent" => {
            let body = format!("{id:x<600}");
            format!("POST /{name}/2f HTTP/1.1\r\n{common}Content-Length: 600\r\n\r\n{body}").into_bytes()
        }
        _ => {
            let (shared, own, output) = kind.tokens;
            let (first, second) = (random.below(8) + 1, random.below(100) + 100);
            let (half, rest) = (shared / 2, shared - shared / 2);
            let (prompt, last) = (shared + own, random.next() >> 8);
            let body = format!("{id:p<800}");
            format!(
                "POST /{name}/2f HTTP/1.1\r\n{common}Model: m\r\nToken-Usage: {prompt},{output}\r\nLength-Hint: {output}\r\n\
                 Prompt-Prefix: {first:x}:{half},{second:x}:{rest},{last:x}:{own}\r\nContent-Length: 800\r\n\r\n{body}"
            )
            .into_bytes()
        }
    }
}
