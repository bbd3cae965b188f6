//! The callers' listener: connections, their limits, and their end at a planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bulrushtrestle_core::verdict::{Reason, Refusal};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};
use tower::ServiceExt;

use crate::metrics::Edge;
use crate::traffic::Traffic;
use crate::traffic::callers;
use crate::traffic::progress;
use crate::traffic::refusal;
use crate::traffic::refusal::RETRY_SOON;

/// The wait after a connection could not be accepted, for want of file handles for example.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Connections over the limit that are told so at the same time; others are closed without a word.
const TURNED_AWAY_MAX: usize = 64;

/// The time for a caller that is turned away to read why.
const TURNED_AWAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Streams of one connection of HTTP/2.
const STREAMS_MAX: u32 = 256;

/// The time between two pings on a connection of HTTP/2, and for the answer.
const PING_EVERY: Duration = Duration::from_secs(10);

/// Serves callers until `draining` is set, then finishes what is open.
pub(crate) async fn serve(
    listener: TcpListener,
    traffic: Arc<Traffic>,
    mut draining: watch::Receiver<bool>,
) {
    tokio::spawn(progress::flush(Arc::clone(&traffic)));
    let connections = Arc::new(Semaphore::new(traffic.settings.callers.connections_max));
    let turned_away = Arc::new(Semaphore::new(TURNED_AWAY_MAX));
    let server = Arc::new(Server::new(traffic));
    loop {
        let accepted = tokio::select! {
            _ = draining.wait_for(|draining| *draining) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let server = Arc::clone(&server);
        match Arc::clone(&connections).try_acquire_owned() {
            Ok(permit) => {
                let draining = draining.clone();
                tokio::spawn(async move {
                    server.serve(stream, draining).await;
                    drop(permit);
                });
            }
            Err(_) => {
                server.traffic.metrics.edge(Edge::CallerConnectionRefused);
                let refusal = Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON));
                let refusal = server.traffic.refused(refusal);
                if let Ok(permit) = Arc::clone(&turned_away).try_acquire_owned() {
                    tokio::spawn(async move {
                        drop(timeout(TURNED_AWAY_TIMEOUT, turn_away(stream, &refusal)).await);
                        drop(permit);
                    });
                }
            }
        }
    }
}

/// What serves one connection after the other.
struct Server {
    traffic: Arc<Traffic>,
    router: axum::Router,
    builder: auto::Builder<TokioExecutor>,
}

impl Server {
    fn new(traffic: Arc<Traffic>) -> Self {
        let cfg = &traffic.settings.callers;
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(cfg.header_timeout)
            .max_buf_size(cfg.header_bytes_max);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(STREAMS_MAX)
            .max_header_list_size(u32::try_from(cfg.header_bytes_max).unwrap_or(u32::MAX))
            .keep_alive_interval(PING_EVERY)
            .keep_alive_timeout(PING_EVERY);
        Self {
            router: callers::router(Arc::clone(&traffic)),
            traffic,
            builder,
        }
    }

    async fn serve(&self, stream: TcpStream, mut draining: watch::Receiver<bool>) {
        let _counted = Counted::new(&self.traffic);
        drop(stream.set_nodelay(true));
        let has_asked = Arc::new(AtomicBool::new(false));
        let service = {
            let has_asked = Arc::clone(&has_asked);
            let router = self.router.clone();
            service_fn(move |req| {
                has_asked.store(true, Ordering::Relaxed);
                router.clone().oneshot(req)
            })
        };
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = core::pin::pin!(connection);
        let first_head = sleep(2 * self.traffic.settings.callers.header_timeout);
        let mut first_head = core::pin::pin!(first_head);
        let mut is_draining = false;
        let mut may_be_idle = true;
        let ended = loop {
            tokio::select! {
                ended = &mut connection => break ended,
                () = &mut first_head, if may_be_idle => {
                    // The limits of HTTP/1 do not hold before the protocol is known.
                    if !has_asked.load(Ordering::Relaxed) {
                        self.traffic.metrics.edge(Edge::CallerHeadTimeout);
                        return;
                    }
                    may_be_idle = false;
                }
                _ = draining.wait_for(|draining| *draining), if !is_draining => {
                    is_draining = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        };
        if let Err(error) = ended {
            self.count(&*error);
        }
    }

    /// Counts what ended a connection before a request was whole.
    fn count(&self, error: &(dyn std::error::Error + 'static)) {
        let Some(error) = error.downcast_ref::<hyper::Error>() else {
            return;
        };
        let metrics = &self.traffic.metrics;
        if error.is_timeout() {
            metrics.edge(Edge::CallerHeadTimeout);
        } else if error.is_parse_too_large() {
            metrics.edge(Edge::CallerHeadTooLarge);
        } else if error.is_parse() {
            metrics.edge(Edge::CallerHeadMalformed);
        }
    }
}

/// Counts a connection for as long as it is open.
struct Counted<'a>(&'a Traffic);

impl<'a> Counted<'a> {
    fn new(traffic: &'a Traffic) -> Self {
        traffic.metrics.connections.inc();
        Self(traffic)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.metrics.connections.dec();
    }
}

/// Tells a caller over the limit that it is turned away.
async fn turn_away(mut stream: TcpStream, refusal: &Refusal) -> std::io::Result<()> {
    let document = refusal::document(refusal);
    let head = format!(
        "HTTP/1.1 {} Service Unavailable\r\ncontent-type: application/problem+json\r\n\
         content-length: {}\r\nretry-after: {}\r\nconnection: close\r\n\r\n",
        refusal.reason.status(),
        document.len(),
        RETRY_SOON.as_secs(),
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&document).await?;
    stream.shutdown().await?;
    // Closing with unread bytes would take the answer away from the caller.
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
