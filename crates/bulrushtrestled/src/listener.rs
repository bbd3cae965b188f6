//! HTTP/1 and HTTP/2 listeners: accepting connections, limiting them, and draining them at a
//! planned stop.
//!
//! A connection is closed if no complete request head arrives in time. A limited number of
//! connections over the limit receive a response that says so; the others are closed without a
//! response.

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

/// The delay after a connection could not be accepted, for example because the process ran out of
/// file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The delay between attempts to reopen a listener.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// The most connections over the limit that are sent a response at the same time.
const REJECTIONS_MAX: usize = 64;

/// The time in which a connection over the limit must send its request and read the response.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The most concurrent streams of an HTTP/2 connection.
const STREAMS_MAX: u32 = 256;

/// The interval of pings on an HTTP/2 connection, and the timeout for the response to each.
const PING_EVERY: Duration = Duration::from_secs(10);

/// The protocols that a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocols {
    /// HTTP/1 only. The first bytes of a connection are not examined to detect the protocol.
    Http1,
    /// HTTP/1 or HTTP/2, detected from the first bytes of a connection.
    Both,
}

/// The limits of a listener.
#[derive(Debug, Clone)]
pub(crate) struct Limits {
    /// The most concurrent connections.
    pub(crate) connections_max: usize,
    /// The most concurrent connections from one address.
    pub(crate) per_address_max: usize,
    /// The largest head of a request, in bytes.
    pub(crate) header_bytes_max: usize,
    /// The time in which the head of a request must arrive. It also limits how long a connection
    /// may be idle.
    pub(crate) header_timeout: Duration,
    /// The complete response to a connection over the limit, as raw bytes.
    pub(crate) over_limit_response: Bytes,
    /// The accepted protocols.
    pub(crate) protocols: Protocols,
}

/// An event of a listener or of one of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// A connection was accepted. It may still be refused.
    Accepted,
    /// A connection passed the limits and is being served.
    Opened,
    /// A connection that was being served has ended.
    Closed,
    /// The listener was closed because the process is overloaded.
    ListenerClosed,
    /// A connection was refused because too many are open.
    OverLimit,
    /// No complete request head arrived in time.
    HeadTimeout,
    /// A request head was too large.
    HeadTooLarge,
    /// A request head was not valid HTTP.
    HeadMalformed,
}

/// Signals that control when a listener accepts connections.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    /// Set while the listener is closed. The kernel then refuses connections, which costs the
    /// process nothing and lets callers try another address at once.
    pub(crate) closed: watch::Receiver<bool>,
    /// Set permanently once the process stops.
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
async fn wait_until_closed(closed: &mut watch::Receiver<bool>) {
    if closed.wait_for(|closed| *closed).await.is_err() {
        // The sender was dropped, so the listener will never be closed.
        std::future::pending::<()>().await;
    }
}

/// Waits until a listener may be open again, and reopens it.
async fn reopen(closed: &mut watch::Receiver<bool>, address: SocketAddr) -> TcpListener {
    // If the sender was dropped, the listener may be open.
    let _ = closed.wait_for(|closed| !*closed).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => {
                log::error!(target: "listener", "address={address} cannot reopen listener error={error}");
                sleep(LISTEN_RETRY).await;
            }
        }
    }
}

/// Serves connections until the gate's `draining` is set. Open connections then finish their
/// current requests.
pub(crate) async fn serve<S>(
    mut listener: TcpListener,
    service: S,
    limits: Limits,
    events: impl Fn(Event) + Send + Sync + 'static,
    gate: Gate,
    busy: Busy,
) where
    S: ConnectionService,
{
    let Gate {
        mut closed,
        mut draining,
    } = gate;
    let address = listener.local_addr();
    let connections = Arc::new(Semaphore::new(limits.connections_max));
    let address_counts = AddressCounts::default();
    let rejections = Arc::new(Semaphore::new(REJECTIONS_MAX));
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
            () = wait_until_closed(&mut closed), if address.is_ok() => None,
            accepted = listener.accept() => Some(accepted),
        };
        let accepted = match (accepted, &address) {
            (None, Ok(address)) => {
                drop(listener);
                (server.events)(Event::ListenerClosed);
                listener = tokio::select! {
                    _ = draining.wait_for(|draining| *draining) => return,
                    reopened = reopen(&mut closed, *address) => reopened,
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
        let slot = address_counts.acquire(from.ip(), server.limits.per_address_max);
        if let (Some(permit), Some(slot)) = (permit, slot) {
            let server = Arc::clone(&server);
            let draining = draining.clone();
            tokio::spawn(async move {
                let serve = server.serve(stream, draining);
                server.busy.run(Stage::Connection, serve).await;
                drop((permit, slot));
            });
            continue;
        }
        (server.events)(Event::OverLimit);
        if let Ok(permit) = Arc::clone(&rejections).try_acquire_owned() {
            let response = server.limits.over_limit_response.clone();
            tokio::spawn(async move {
                drop(timeout(REJECTION_TIMEOUT, reject(stream, &response)).await);
                drop(permit);
            });
        }
    }
}

/// The number of open connections from each address.
#[derive(Debug, Clone, Default)]
struct AddressCounts(Arc<Mutex<HashMap<IpAddr, usize>>>);

/// Counts one connection of an address until dropped.
#[derive(Debug)]
struct AddressSlot {
    counts: AddressCounts,
    from: IpAddr,
}

impl AddressCounts {
    /// Counts a connection. Returns `None` if the address already has `max` connections.
    fn acquire(&self, from: IpAddr, max: usize) -> Option<AddressSlot> {
        let mut counts = self.lock();
        let count = counts.entry(from).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(AddressSlot {
            counts: self.clone(),
            from,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<IpAddr, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for AddressSlot {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        if let Some(count) = counts.get_mut(&self.from) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.from);
            }
        }
    }
}

/// A service that answers the requests of a listener's connections.
pub(crate) trait ConnectionService:
    Service<Request<Incoming>, Response = Response, Error = Infallible, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S> ConnectionService for S where
    S: Service<Request<Incoming>, Response = Response, Error = Infallible, Future: Send>
        + Clone
        + Send
        + Sync
        + 'static
{
}

/// The state shared by all connections of a listener.
struct Server<S, F> {
    service: S,
    builder: auto::Builder<TokioExecutor>,
    limits: Limits,
    events: F,
    busy: Busy,
}

impl<S: ConnectionService, F: Fn(Event)> Server<S, F> {
    /// Serves one connection until it ends.
    async fn serve(&self, stream: TcpStream, mut draining: watch::Receiver<bool>) {
        let _open = OpenConnection::new(&self.events);
        // The option only reduces latency, so a failure is ignored.
        drop(stream.set_nodelay(true));
        let has_request = Arc::new(AtomicBool::new(false));
        let service = {
            let has_request = Arc::clone(&has_request);
            let service = self.service.clone();
            service_fn(move |req| {
                has_request.store(true, Ordering::Relaxed);
                service.clone().oneshot(req)
            })
        };
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = core::pin::pin!(connection);
        // The timeouts of either protocol apply only once the protocol is known.
        let first_head = sleep(2 * self.limits.header_timeout);
        let mut first_head = core::pin::pin!(first_head);
        let mut awaits_first_head = true;
        let mut is_draining = false;
        let ended = loop {
            tokio::select! {
                ended = &mut connection => break ended,
                () = &mut first_head, if awaits_first_head => {
                    if !has_request.load(Ordering::Relaxed) {
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
            self.report_error(&*error);
        }
    }

    /// Reports the error that ended a connection, if it concerns the head of a request.
    fn report_error(&self, error: &(dyn std::error::Error + 'static)) {
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

/// Reports a connection as opened, and as closed when dropped.
struct OpenConnection<'a, F: Fn(Event)>(&'a F);

impl<'a, F: Fn(Event)> OpenConnection<'a, F> {
    fn new(events: &'a F) -> Self {
        events(Event::Opened);
        Self(events)
    }
}

impl<F: Fn(Event)> Drop for OpenConnection<'_, F> {
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

/// Sends the response to a connection over the limit, once the caller has sent the start of a
/// request. Clients treat a response that arrives before their request as a connection error.
async fn reject(mut stream: TcpStream, response: &[u8]) -> std::io::Result<()> {
    let mut request = [0; 1024];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    stream.write_all(response).await?;
    stream.shutdown().await?;
    // Closing with unread bytes would reset the connection before the caller reads the response.
    while stream.read(&mut request).await? > 0 {}
    Ok(())
}
