//! Connections to targets of a hosting platform.
//!
//! A connection is kept for the next request as long as the target says that it keeps it, less a margin for the
//! way. Whether a request was written to a connection before it broke decides whether it may be sent again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::metrics::{Busy, Stage};
use crate::settings;

/// How much earlier than the target a connection is let go of: the longest way between data centres and the
/// time that the target's own clock may be ahead.
const KEEP_MARGIN: Duration = Duration::from_millis(500);
/// For how long a connection is kept if the target does not say.
const KEEP_DEFAULT: Duration = Duration::from_secs(2);
/// For how long a connection may have been idle to carry a request that may run once only.
const FRESH_ENOUGH: Duration = Duration::from_millis(1_000);
/// Idle connections to one target.
const IDLE_MAX: usize = 32;

/// A connection that takes one request at a time.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections to targets.
#[derive(Debug)]
pub(super) struct Connections {
    cfg: settings::Targets,
    busy: Busy,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// No connection could be made; nothing was sent.
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

    /// Returns a connection to a target. A request that may run once only does not get one that was idle for
    /// long: if that breaks, nobody can tell whether the request arrived.
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

    /// Keeps a connection whose answer was read to its end, for as long as the target does.
    pub(super) fn put(&self, address: SocketAddr, sender: Sender, keeps: Option<Duration>) {
        let keep = keeps.unwrap_or(KEEP_DEFAULT).saturating_sub(KEEP_MARGIN);
        if keep.is_zero() || sender.is_closed() {
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

    /// Drops all idle connections to a target: whatever lost track of one may have lost track of all.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr, runs_once: bool) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.lock();
        let of_target = idle.get_mut(&address)?;
        of_target.retain(|idle| idle.until > now && idle.sender.is_ready());
        if of_target.is_empty() {
            idle.remove(&address);
            return None;
        }
        // The one that was used last is the least likely to be closed.
        let last = of_target.last()?;
        if runs_once && now.duration_since(last.since) > FRESH_ENOUGH {
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
    // A connection without the option works as well, only slower.
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| NotConnected)?;
    let busy = busy.clone();
    tokio::spawn(async move {
        // How the connection ended shows in the request that used it.
        drop(busy.run(Stage::Target, connection).await);
    });
    Ok(sender)
}
