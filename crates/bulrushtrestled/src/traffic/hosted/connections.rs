//! Connections to targets of a hosting platform.
//!
//! A connection is kept for the next request for the time that the target announces, less a margin
//! for network latency. If a connection breaks, the request may be sent again only if it was not
//! yet written to the connection.

use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::metrics::{Busy, Stage};
use crate::settings;

/// How much earlier than the target the router closes an idle connection. The margin covers the
/// longest latency between data centres and the time by which the target's clock may be ahead.
const KEEP_MARGIN: Duration = Duration::from_millis(500);
/// How long the target is assumed to keep a connection if it announces no time.
const KEEP_DEFAULT: Duration = Duration::from_secs(2);
/// The longest idle time of a connection that is reused for a request that may run only once.
const RUN_ONCE_IDLE_MAX: Duration = Duration::from_millis(1_000);
/// The most idle connections to one target.
const IDLE_MAX: usize = 32;

/// The sending side of a connection, which carries one request at a time.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    /// Whether the connection did not take all that was last to be written.
    is_blocked: Arc<AtomicBool>,
}

impl Sender {
    /// Sends a request, and returns its answer once the head has arrived.
    pub(super) async fn send_request(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.requests.send_request(req).await
    }

    /// Returns whether the connection has taken the whole request. A part of it may still be on its
    /// way to the target.
    pub(super) fn has_sent_all(&self) -> bool {
        !self.is_blocked.load(Ordering::Acquire)
    }
}

/// A stream that records whether its last write left something unwritten. An HTTP client writes on
/// until all is written or nothing more is taken.
struct Watched {
    stream: TcpStream,
    is_blocked: Arc<AtomicBool>,
}

impl Watched {
    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let is_written = matches!(written, Poll::Ready(Ok(_)));
        self.is_blocked.store(!is_written, Ordering::Release);
        written
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Idle connections to targets.
#[derive(Debug)]
pub(super) struct Connections {
    cfg: settings::Targets,
    busy: Busy,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// When the connection became idle.
    since: Instant,
    /// When the connection must no longer be reused.
    until: Instant,
}

/// No connection could be established, so nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NotConnected;

impl Connections {
    pub(super) fn new(cfg: settings::Targets, busy: Busy) -> Self {
        Self {
            cfg,
            busy,
            idle: Mutex::default(),
        }
    }

    /// Returns a connection to a target. A request that may run only once never uses a connection
    /// that was idle for long: if such a connection breaks, it is unknown whether the request
    /// arrived.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        runs_once: bool,
    ) -> Result<Sender, NotConnected> {
        if let Some(sender) = self.take_idle(address, runs_once) {
            return Ok(sender);
        }
        timeout(self.cfg.connect_timeout, connect(address, &self.busy))
            .await
            .map_err(|_| NotConnected)?
    }

    /// Keeps a connection whose answer was read to its end. `keep_alive` is the time for which the
    /// target keeps the idle connection, if announced.
    pub(super) fn put(&self, address: SocketAddr, sender: Sender, keep_alive: Option<Duration>) {
        let keep = keep_alive
            .unwrap_or(KEEP_DEFAULT)
            .saturating_sub(KEEP_MARGIN);
        if keep.is_zero() || sender.requests.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.lock();
        let idle = idle.entry(address).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                sender,
                since,
                until: since + keep.min(self.cfg.idle_timeout),
            });
        }
    }

    /// Closes all idle connections to a target. Used after a fault on one connection that may
    /// affect all connections to the target.
    pub(super) fn discard_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr, runs_once: bool) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.lock();
        let of_target = idle.get_mut(&address)?;
        of_target.retain(|idle| idle.until > now && idle.sender.requests.is_ready());
        if of_target.is_empty() {
            idle.remove(&address);
            return None;
        }
        // The connection used last is the least likely to have been closed.
        let last = of_target.last()?;
        if runs_once && now.duration_since(last.since) > RUN_ONCE_IDLE_MAX {
            return None;
        }
        of_target.pop().map(|idle| idle.sender)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr, busy: &Busy) -> Result<Sender, NotConnected> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| NotConnected)?;
    // The option only reduces latency, so a failure is ignored.
    drop(stream.set_nodelay(true));
    let is_blocked = Arc::new(AtomicBool::new(false));
    let watched = Watched {
        stream,
        is_blocked: Arc::clone(&is_blocked),
    };
    let (requests, connection) = http1::handshake(TokioIo::new(watched))
        .await
        .map_err(|_| NotConnected)?;
    let busy = busy.clone();
    tokio::spawn(async move {
        // A failure of the connection is reported by the request that uses it.
        drop(busy.run(Stage::Target, connection).await);
    });
    Ok(Sender {
        requests,
        is_blocked,
    })
}
