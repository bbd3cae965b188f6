//! Listeners over HTTP/1 and HTTP/2: connections, their limits, and their end at a planned stop.
//!
//! A caller that sends next to nothing, or a head without end, is let go in time; connections over the
//! limit are told so as far as that is cheap, and closed without a word beyond.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::response::Response;
use bytes::Bytes;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};
use tower::{Service, ServiceExt};

use crate::metrics::{Busy, Stage};

/// The wait after a connection could not be accepted, for want of file handles for example.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The wait after a listener could not be opened again.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// Connections over the limit that are told so at the same time.
const TURNED_AWAY_MAX: usize = 64;

/// The time for a caller that is turned away to ask, and to read why.
const TURNED_AWAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Streams of one connection of HTTP/2.
const STREAMS_MAX: u32 = 256;

/// The time between two pings on a connection of HTTP/2, and for the answer.
const PING_EVERY: Duration = Duration::from_secs(10);

/// What callers may speak at a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocols {
    /// HTTP/1, which needs no look at the first bytes of a connection.
    Http1,
    /// HTTP/1 or HTTP/2, as the caller begins.
    Both,
}

/// The limits of a listener.
#[derive(Debug, Clone)]
pub(crate) struct Limits {
    /// Connections at a time.
    pub(crate) connections_max: usize,
    /// Connections from one address at a time.
    pub(crate) per_address_max: usize,
    /// The size of a request's head.
    pub(crate) header_bytes_max: usize,
    /// The time for a request's head to arrive, and for an idle connection.
    pub(crate) header_timeout: Duration,
    /// The whole answer to a connection over the limit.
    pub(crate) over_limit_response: Bytes,
    /// What callers may speak.
    pub(crate) protocols: Protocols,
}

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// A connection was accepted, and may be refused yet.
    Accepted,
    /// A connection was opened.
    Opened,
    /// A connection that was opened has ended.
    Closed,
    /// The listener was closed because the process is behind.
    ListenerClosed,
    /// A connection was turned away because too many are open.
    OverLimit,
    /// No whole request head arrived in time.
    HeadTimeout,
    /// A request head was too large.
    HeadTooLarge,
    /// A request head was not HTTP.
    HeadMalformed,
}

/// When a listener takes connections.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    /// Set while no connections are taken. They are then refused by the kernel, at no cost to the process and without a wait
    /// for callers, who may go to another address.
    pub(crate) closed: watch::Receiver<bool>,
    /// Set for good once the process stops.
    pub(crate) draining: watch::Receiver<bool>,
}

impl Gate {
    /// Returns a gate that is never closed.
    pub(crate) fn open(draining: watch::Receiver<bool>) -> Self {
        let (_, closed) = watch::channel(false);
        Self { closed, draining }
    }
}

/// Waits until a listener is to be closed.
async fn has_closed(closed: &mut watch::Receiver<bool>) {
    if closed.wait_for(|closed| *closed).await.is_err() {
        // Nobody is left to close it.
        std::future::pending::<()>().await;
    }
}

/// Waits until a listener may be open again, and opens it.
async fn reopen(closed: &mut watch::Receiver<bool>, address: SocketAddr) -> TcpListener {
    // Without anybody to close it, it may be open.
    let _ = closed.wait_for(|closed| !*closed).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => {
                log::error!(target: "listener", "address={address} cannot be opened again error={error}");
                sleep(LISTEN_RETRY).await;
            }
        }
    }
}

/// Serves connections until the gate's `draining` is set, then finishes what is open.
pub(crate) async fn serve<S>(
    mut listener: TcpListener,
    service: S,
    limits: Limits,
    events: impl Fn(Event) + Send + Sync + 'static,
    gate: Gate,
    busy: Busy,
) where
    S: Serves,
{
    let Gate {
        mut closed,
        mut draining,
    } = gate;
    let address = listener.local_addr();
    let connections = Arc::new(Semaphore::new(limits.connections_max));
    let addresses = Addresses::default();
    let turned_away = Arc::new(Semaphore::new(TURNED_AWAY_MAX));
    let server = Arc::new(Server {
        builder: builder(&limits),
        service,
        limits,
        events,
        busy,
    });
    loop {
        let accepted = tokio::select! {
            biased;
            _ = draining.wait_for(|draining| *draining) => return,
            () = has_closed(&mut closed), if address.is_ok() => None,
            accepted = listener.accept() => Some(accepted),
        };
        let accepted = match (accepted, &address) {
            (None, Ok(address)) => {
                drop(listener);
                (server.events)(Event::ListenerClosed);
                listener = tokio::select! {
                    _ = draining.wait_for(|draining| *draining) => return,
                    again = reopen(&mut closed, *address) => again,
                };
                continue;
            }
            (None, Err(_)) => continue,
            (Some(accepted), _) => accepted,
        };
        let Ok((stream, from)) = accepted else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        (server.events)(Event::Accepted);
        let permit = Arc::clone(&connections).try_acquire_owned().ok();
        let share = addresses.take(from.ip(), server.limits.per_address_max);
        if let (Some(permit), Some(share)) = (permit, share) {
            let server = Arc::clone(&server);
            let draining = draining.clone();
            tokio::spawn(async move {
                let serve = server.serve(stream, draining);
                server.busy.run(Stage::Connection, serve).await;
                drop((permit, share));
            });
            continue;
        }
        (server.events)(Event::OverLimit);
        if let Ok(permit) = Arc::clone(&turned_away).try_acquire_owned() {
            let answer = server.limits.over_limit_response.clone();
            tokio::spawn(async move {
                drop(timeout(TURNED_AWAY_TIMEOUT, turn_away(stream, &answer)).await);
                drop(permit);
            });
        }
    }
}

/// How many connections each address has open.
#[derive(Debug, Clone, Default)]
struct Addresses(Arc<Mutex<HashMap<IpAddr, usize>>>);

/// One connection of an address, until this is dropped.
#[derive(Debug)]
struct Share {
    addresses: Addresses,
    from: IpAddr,
}

impl Addresses {
    /// Counts a connection, unless the address has as many as it may.
    fn take(&self, from: IpAddr, max: usize) -> Option<Share> {
        let mut open = self.open();
        let count = open.entry(from).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Share {
            addresses: self.clone(),
            from,
        })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<IpAddr, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut open = self.addresses.open();
        if let Some(count) = open.get_mut(&self.from) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.from);
            }
        }
    }
}

/// What answers the requests of a listener's connections.
pub(crate) trait Serves:
    Service<Request<Incoming>, Response = Response, Error = Infallible, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S> Serves for S where
    S: Service<Request<Incoming>, Response = Response, Error = Infallible, Future: Send>
        + Clone
        + Send
        + Sync
        + 'static
{
}

/// What serves one connection after the other.
struct Server<S, F> {
    service: S,
    builder: auto::Builder<TokioExecutor>,
    limits: Limits,
    events: F,
    busy: Busy,
}

impl<S: Serves, F: Fn(Event)> Server<S, F> {
    async fn serve(&self, stream: TcpStream, mut draining: watch::Receiver<bool>) {
        let _open = Open::new(&self.events);
        // A connection without the option works as well, only slower.
        drop(stream.set_nodelay(true));
        let has_asked = Arc::new(AtomicBool::new(false));
        let service = {
            let has_asked = Arc::clone(&has_asked);
            let service = self.service.clone();
            service_fn(move |req| {
                has_asked.store(true, Ordering::Relaxed);
                service.clone().oneshot(req)
            })
        };
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = core::pin::pin!(connection);
        // The limits of either protocol do not hold before the protocol is known.
        let first_head = sleep(2 * self.limits.header_timeout);
        let mut first_head = core::pin::pin!(first_head);
        let mut awaits_first_head = true;
        let mut is_draining = false;
        let ended = loop {
            tokio::select! {
                ended = &mut connection => break ended,
                () = &mut first_head, if awaits_first_head => {
                    if !has_asked.load(Ordering::Relaxed) {
                        (self.events)(Event::HeadTimeout);
                        return;
                    }
                    awaits_first_head = false;
                }
                _ = draining.wait_for(|draining| *draining), if !is_draining => {
                    is_draining = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        };
        if let Err(error) = ended {
            self.tell(&*error);
        }
    }

    /// Tells what ended a connection before a request was whole.
    fn tell(&self, error: &(dyn std::error::Error + 'static)) {
        let Some(error) = error.downcast_ref::<hyper::Error>() else {
            return;
        };
        if error.is_timeout() {
            (self.events)(Event::HeadTimeout);
        } else if error.is_parse_too_large() {
            (self.events)(Event::HeadTooLarge);
        } else if error.is_parse() {
            (self.events)(Event::HeadMalformed);
        }
    }
}

/// Shows a connection as open until this is dropped.
struct Open<'a, F: Fn(Event)>(&'a F);

impl<'a, F: Fn(Event)> Open<'a, F> {
    fn new(events: &'a F) -> Self {
        events(Event::Opened);
        Self(events)
    }
}

impl<F: Fn(Event)> Drop for Open<'_, F> {
    fn drop(&mut self) {
        (self.0)(Event::Closed);
    }
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes_max);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(u32::try_from(limits.header_bytes_max).unwrap_or(u32::MAX))
        .keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_EVERY);
    match limits.protocols {
        Protocols::Http1 => builder.http1_only(),
        Protocols::Both => builder,
    }
}

/// Gives a connection over the limit its answer, once it has begun to ask: clients take an answer that
/// comes before their request for a fault of the connection.
async fn turn_away(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    let mut asked = [0; 1024];
    if stream.read(&mut asked).await? == 0 {
        return Ok(());
    }
    stream.write_all(answer).await?;
    stream.shutdown().await?;
    // Closing with unread bytes would take the answer away from the caller.
    while stream.read(&mut asked).await? > 0 {}
    Ok(())
}
