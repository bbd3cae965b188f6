//! The listener that all stand-ins share: it can crash, come back, and let connections fall silent.
//!
//! An ordinary HTTP server cannot misbehave below the level of requests. This one owns its accept
//! loop, so that a crash closes every socket and the listener too, and it wraps each connection, so
//! that one can stop moving bytes without being closed.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::extract::Query;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Extension, Router};
use futures::FutureExt;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::fault::Dial;

/// How long a listener waits before it tries again to bind its old address after a crash.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// For how long a stand-in is down after a crash that names no time of its own.
pub const RESTART_MS: u64 = 500;

/// A running stand-in. It stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<F> {
    address: SocketAddr,
    faults: Dial<F>,
    control: Control,
    task: JoinHandle<()>,
}

impl<F: Clone> Handle<F> {
    /// Returns where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base of its URLs, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces its faults, as `PUT /v1/faults` does.
    pub fn set_faults(&self, faults: F) {
        self.faults.set(faults);
    }

    /// Returns its faults as they stand now; those that count down have done so.
    pub fn faults(&self) -> F {
        self.faults.get()
    }

    /// Lets every open connection fall silent for good. New connections work.
    pub fn silence(&self) {
        self.control.silence(None);
    }

    /// Takes the stand-in down for a while: every connection and the listener are closed, and what it
    /// holds in memory is lost.
    pub fn crash(&self, down_for: Duration) {
        self.control.crash(down_for);
    }

    /// Waits until the stand-in ends, which happens only by [`Handle::stop`] or by a panic.
    pub async fn wait(mut self) {
        // Either outcome means that the stand-in is gone.
        let _ = (&mut self.task).await;
    }

    /// Stops the stand-in.
    pub fn stop(self) {}
}

impl<F> Drop for Handle<F> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a stand-in can do to its own connections.
#[derive(Debug, Clone, Default)]
pub struct Control(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    next_connection: AtomicU64,
    silent_below: AtomicU64,
    heard: Mutex<HashSet<u64>>,
    crashed: Notify,
    down_for_ms: AtomicU64,
    crashes: AtomicU64,
}

impl Control {
    /// Takes the stand-in down for a while.
    pub fn crash(&self, down_for: Duration) {
        let millis = u64::try_from(down_for.as_millis()).unwrap_or(u64::MAX);
        self.0.down_for_ms.store(millis, Ordering::SeqCst);
        self.0.crashes.fetch_add(1, Ordering::SeqCst);
        self.0.crashed.notify_one();
    }

    /// Returns how often the stand-in has crashed.
    pub fn crashes(&self) -> u64 {
        self.0.crashes.load(Ordering::SeqCst)
    }

    /// Lets every connection that is open now fall silent, but for the one that asked.
    fn silence(&self, asked_by: Option<u64>) {
        self.heard().extend(asked_by);
        let next = self.0.next_connection.load(Ordering::SeqCst);
        self.0.silent_below.store(next, Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.0.silent_below.load(Ordering::SeqCst) && !self.heard().contains(&number)
    }

    fn heard(&self) -> std::sync::MutexGuard<'_, HashSet<u64>> {
        self.0
            .heard
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

/// The connection that a request came in on, as an extension of the request.
#[derive(Debug, Clone)]
pub struct Connection {
    number: u64,
    closing: Arc<Notify>,
}

impl Connection {
    /// Closes the connection without an answer to the request that is being handled.
    pub async fn close(&self) -> ! {
        self.closing.notify_one();
        hang().await
    }
}

/// Never answers; the connection stays open.
pub async fn hang() -> ! {
    std::future::pending::<std::convert::Infallible>().await;
    unreachable!("a pending future never ends")
}

/// A stand-in that is ready to listen.
pub(crate) struct Server<F> {
    pub(crate) listen: SocketAddr,
    pub(crate) faults: Dial<F>,
    pub(crate) control: Control,
    pub(crate) app: Router,
}

impl<F> Server<F>
where
    F: Clone + Send + 'static + serde::Serialize + serde::de::DeserializeOwned,
{
    /// Binds the address and serves until the handle is dropped. `on_crash` loses what was held in
    /// memory; `background` runs beside the server.
    pub(crate) async fn spawn(
        self,
        on_crash: impl Fn(Duration) + Send + 'static,
        background: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<Handle<F>> {
        let listener = TcpListener::bind(self.listen).await?;
        let address = listener.local_addr()?;
        let app = self
            .app
            .merge(self.faults.routes())
            .merge(control_routes(self.control.clone()));
        let control = self.control.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                () = run(listener, address, app, control, on_crash) => {}
                () = async { background.await; std::future::pending::<()>().await } => {}
            }
        });
        Ok(Handle {
            address,
            faults: self.faults,
            control: self.control,
            task,
        })
    }
}

#[derive(Debug, serde::Deserialize)]
struct CrashQuery {
    #[serde(default = "default_restart_ms")]
    restart_ms: u64,
}

const fn default_restart_ms() -> u64 {
    RESTART_MS
}

fn control_routes(control: Control) -> Router {
    let silencer = control.clone();
    Router::new()
        .route(
            "/v1/silence",
            post(
                move |Extension(connection): Extension<Connection>| async move {
                    silencer.silence(Some(connection.number));
                    StatusCode::NO_CONTENT
                },
            ),
        )
        .route(
            "/v1/crash",
            post(move |Query(query): Query<CrashQuery>| async move {
                control.crash(Duration::from_millis(query.restart_ms));
                StatusCode::NO_CONTENT
            }),
        )
}

async fn run(
    mut listener: TcpListener,
    address: SocketAddr,
    app: Router,
    control: Control,
    on_crash: impl Fn(Duration),
) {
    loop {
        accept_until_crash(&listener, &app, &control).await;
        drop(listener);
        let down_for = Duration::from_millis(control.0.down_for_ms.load(Ordering::SeqCst));
        on_crash(down_for);
        tokio::time::sleep(down_for).await;
        listener = rebind(address).await;
        // A crash that was asked for while it was down has happened already.
        let _ = control.0.crashed.notified().now_or_never();
    }
}

/// Serves until the next crash, and closes every connection.
async fn accept_until_crash(listener: &TcpListener, app: &Router, control: &Control) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = control.0.crashed.notified() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, app.clone(), control.clone()));
                }
            }
        }
    }
    connections.shutdown().await;
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

async fn serve(stream: TcpStream, app: Router, control: Control) {
    // A connection without the option works as well, only slower.
    let _ = stream.set_nodelay(true);
    let number = control.0.next_connection.fetch_add(1, Ordering::SeqCst);
    let closing = Arc::new(Notify::new());
    let connection = Connection {
        number,
        closing: closing.clone(),
    };
    let service = TowerToHyperService::new(app.layer(Extension(connection)));
    let io = TokioIo::new(Gate {
        stream,
        number,
        control,
    });
    tokio::select! {
        // A caller that breaks its connection off is no concern of the stand-in.
        _ = http1::Builder::new().serve_connection(io, service) => {}
        () = closing.notified() => {}
    }
}

/// A connection that stops moving bytes once it has been silenced.
struct Gate {
    stream: TcpStream,
    number: u64,
    control: Control,
}

impl Gate {
    fn is_silent(&self) -> bool {
        self.control.is_silent(self.number)
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
