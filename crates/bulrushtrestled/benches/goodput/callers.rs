//! Callers as the users' platform has them: they ask at times of their own, come back once, and give up.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::answer::Head;

/// Callers of one of the users' data centres, each with an address of its own.
pub(crate) const CALLERS: usize = 89;
/// For how long a caller waits for its answer.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// For how long a caller waits for a connection, and for its request to be read.
const UNREAD_MAX: Duration = Duration::from_secs(1);
/// How often a request is sent, the first time included.
const TRIES: usize = 2;
/// The wait before another connection is tried.
const CONNECT_AGAIN: Duration = Duration::from_millis(100);
/// The time between two looks at which requests have not been read.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// The size of a body.
const BODY_BYTES: usize = 2_400;
/// Parts of prompts that requests share, and parts that belong to what one request is about.
const SHARED_PARTS: usize = 16;
const OWN_PARTS: usize = 1_532;

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer came, the first of it so long after the caller first asked.
    Answered(Duration),
    /// The router says that the request did not run, and when to come back.
    Refused(Duration),
    /// The kernel refused the connection.
    NotConnected,
    /// The kernel did not take the connection in time.
    Dropped,
    /// The router did not read the request in time.
    Unread,
    /// The connection ended without an answer, which says that the request was not read.
    Closed,
    /// Another answer came, or half of one.
    Failed,
    /// The caller's time passed.
    Late,
}

/// One try of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Try {
    pub(crate) end: End,
    /// After how long the caller knew.
    pub(crate) took: Duration,
}

/// What a caller does for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) caller: usize,
    /// Whether it uses a connection that it has kept, if it has one.
    pub(crate) uses_kept: bool,
}

/// All callers of a router.
#[derive(Debug)]
pub(crate) struct Callers {
    router: SocketAddr,
    /// The connections that each caller keeps.
    kept: Vec<Mutex<Vec<TcpStream>>>,
    asked: AtomicUsize,
    /// The callers' ends of connections on which something has not been read.
    unread: watch::Receiver<HashSet<SocketAddr>>,
}

impl Callers {
    pub(crate) fn new(router: SocketAddr) -> Arc<Self> {
        let (tell, unread) = watch::channel(HashSet::new());
        tokio::spawn(look_for_unread(router, tell));
        Arc::new(Self {
            router,
            kept: (0..CALLERS).map(|_| Mutex::default()).collect(),
            asked: AtomicUsize::new(0),
            unread,
        })
    }

    /// Sends a request until it is answered, its tries are used up, or nothing lets the caller hope.
    pub(crate) async fn ask(&self, plan: Plan) -> Vec<Try> {
        let asked = Instant::now();
        let until = asked + DEADLINE;
        let mut tries = Vec::new();
        loop {
            let began = Instant::now();
            let plan = Plan {
                // Whoever comes back does so on a new connection.
                uses_kept: plan.uses_kept && tries.is_empty(),
                ..plan
            };
            let end = self.attempt(plan, asked).await;
            let took = began.elapsed();
            tries.push(Try { end, took });
            let wait = match end {
                End::Answered(_) | End::Unread | End::Failed | End::Late => return tries,
                End::Refused(wait) => wait.min(left(until) / 3),
                End::NotConnected | End::Dropped | End::Closed => CONNECT_AGAIN,
            };
            if tries.len() == TRIES || wait >= left(until) {
                return tries;
            }
            sleep(wait).await;
        }
    }

    async fn attempt(&self, plan: Plan, asked: Instant) -> End {
        let until = asked + DEADLINE;
        let kept = plan
            .uses_kept
            .then(|| self.take_kept(plan.caller))
            .flatten();
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let connecting = connect(plan.caller, self.router);
                match timeout_at(until.min(Instant::now() + UNREAD_MAX), connecting).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(_)) => return End::NotConnected,
                    Err(_) => return End::Dropped,
                }
            }
        };
        let req = self.request(left(until));
        let (end, keeps) = self.exchange(&mut stream, &req, asked).await;
        match end {
            End::Answered(_) | End::Refused(_) if plan.uses_kept && keeps => {
                lock(&self.kept[plan.caller]).push(stream);
            }
            // The port is free at once; that a request was given up on shows as it does elsewhere.
            End::Answered(_) | End::Refused(_) => drop(stream.set_zero_linger()),
            _ => {}
        }
        end
    }

    /// Sends a request and reads its answer. Returns also whether the connection can be kept.
    async fn exchange(&self, stream: &mut TcpStream, req: &[u8], asked: Instant) -> (End, bool) {
        let until = asked + DEADLINE;
        if stream.write_all(req).await.is_err() {
            return (End::Closed, false);
        }
        let mut buf = Vec::with_capacity(1_024);
        let mut first = None;
        let mut wait_until = Instant::now() + UNREAD_MAX.min(left(until) / 3);
        loop {
            match timeout_at(wait_until, stream.read_buf(&mut buf)).await {
                Err(_) if wait_until == until => return (End::Late, false),
                Err(_) if self.is_unread(stream) => return (End::Unread, false),
                Err(_) => {
                    wait_until = until;
                    continue;
                }
                Ok(Ok(0) | Err(_)) if buf.is_empty() => return (End::Closed, false),
                Ok(Ok(0) | Err(_)) => return (End::Failed, false),
                Ok(Ok(_)) => wait_until = until,
            }
            let Some(head) = Head::parse(&buf) else {
                continue;
            };
            if head.has_begun(&buf) {
                first.get_or_insert_with(|| asked.elapsed());
            }
            if head.is_whole(&buf) {
                let end = match (head.status, head.retry_after) {
                    (200, _) => End::Answered(first.unwrap_or_else(|| asked.elapsed())),
                    (429 | 503, wait) => End::Refused(wait.unwrap_or(CONNECT_AGAIN)),
                    _ => End::Failed,
                };
                return (end, !head.closes);
            }
        }
    }

    fn is_unread(&self, stream: &TcpStream) -> bool {
        let own = stream.local_addr();
        own.is_ok_and(|own| self.unread.borrow().contains(&own))
    }

    /// Takes the connection that a caller used last, unless the router has closed it.
    fn take_kept(&self, caller: usize) -> Option<TcpStream> {
        let mut kept = lock(&self.kept[caller]);
        while let Some(stream) = kept.pop() {
            let nothing_came = stream.try_read(&mut [0]);
            if nothing_came.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    fn request(&self, left: Duration) -> Vec<u8> {
        let at = self.asked.fetch_add(1, Ordering::Relaxed);
        let (shared, own) = (at % SHARED_PARTS, SHARED_PARTS + at % OWN_PARTS);
        let mut req = format!(
            "POST /tag/{at} HTTP/1.1\r\nhost: {}\r\nattempt-id: {at:016x}\r\ndeadline-ms: {}\r\n\
             authorization: Bearer {}\r\nmodel: m\r\ntoken-usage: 1800,23\r\nlength-hint: 20\r\n\
             prompt-prefix: {shared:x}:341,{own:x}:227,{:x}:1232\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
            crate::hosted::HOST,
            left.as_millis(),
            crate::KEY,
            SHARED_PARTS + OWN_PARTS + at,
        )
        .into_bytes();
        req.resize(req.len() + BODY_BYTES, b'x');
        req
    }
}

async fn connect(caller: usize, router: SocketAddr) -> std::io::Result<TcpStream> {
    let caller = u8::try_from(caller + 1).expect("there are fewer callers");
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 1, 0, caller], 0)))?;
    let stream = socket.connect(router).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Tells again and again on which connections the router has not read what was sent.
async fn look_for_unread(router: SocketAddr, tell: watch::Sender<HashSet<SocketAddr>>) {
    while !tell.is_closed() {
        let began = Instant::now();
        let looking = tokio::task::spawn_blocking(move || unread(router));
        // Without a free file handle the last list stands.
        if let Ok(Ok(unread)) = looking.await {
            tell.send_replace(unread);
        }
        // A long list of connections is looked at less often.
        sleep(LOOK_EVERY.max(4 * began.elapsed())).await;
    }
}

/// Returns the far ends of the router's connections on which something waits to be read.
fn unread(router: SocketAddr) -> std::io::Result<HashSet<SocketAddr>> {
    let list = fs::read_to_string("/proc/net/tcp")?;
    let unread = list
        .lines()
        .skip(1)
        .filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let (near, far) = (fields.next()?, fields.next()?);
            let (_sent, received) = fields.nth(1)?.split_once(':')?;
            let waits = received.bytes().any(|digit| digit != b'0');
            (waits && address(near)? == router).then(|| address(far))?
        })
        .collect();
    Ok(unread)
}

/// Decodes an address of the kernel's list: the bytes of the number in the machine's order, and the port.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    Some(SocketAddrV4::new(ip, port).into())
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
