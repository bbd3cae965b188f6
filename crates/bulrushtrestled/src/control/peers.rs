//! Connections to and from the other routers.
//!
//! Each peer has its own task and bounded queue, so that an unresponsive peer does not delay the
//! others. Frames to a peer are sent in order. If the queue is full, its oldest frame is dropped,
//! because newer frames carry more recent state. See `docs/design/0003-peer-messages.md`.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::key::RouterId;
use bulrushtrestle_wire::{Event, FleetKey, Limits, Link, Refused};
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::metrics::{Edge, Metrics};
use crate::settings;

/// The most frames that are queued for one peer.
const QUEUE_FRAMES: usize = 64;

/// The most unanswered calls to one peer.
const CALLS_MAX: usize = 16;

/// The delay before the first retry of a failed connection. It doubles with each failure.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// The longest delay before a failed connection is retried.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// The number of heartbeat intervals without a call after which a connection from a peer is closed.
const IDLE_HEARTBEATS: u32 = 5;

/// The listener for connections from peers, and its limits.
#[derive(Debug)]
pub(super) struct PeerListener {
    pub(super) listener: TcpListener,
    /// This router's number.
    pub(super) router: u32,
    pub(super) cfg: settings::Peers,
}

/// The state shared by all connections to peers.
#[derive(Debug)]
struct Shared {
    /// This router's number.
    router: u32,
    cfg: settings::Peers,
    key: FleetKey,
    metrics: Arc<Metrics>,
}

/// The connections to the other routers.
#[derive(Debug)]
pub(super) struct Peers {
    shared: Rc<Shared>,
    outboxes: HashMap<RouterId, Outbox>,
}

/// The queue of one peer and the task that sends its frames.
#[derive(Debug)]
struct Outbox {
    state: Rc<OutboxState>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct OutboxState {
    to: u32,
    address: RefCell<Option<SocketAddr>>,
    frames: RefCell<VecDeque<Vec<u8>>>,
    changed: Notify,
}

impl Peers {
    /// Returns the connections of a router that does not know any peers.
    pub(super) fn new(
        router: u32,
        cfg: settings::Peers,
        key: &FleetKey,
        metrics: Arc<Metrics>,
    ) -> Self {
        let key = key.clone();
        Self {
            shared: Rc::new(Shared {
                router,
                cfg,
                key,
                metrics,
            }),
            outboxes: HashMap::new(),
        }
    }

    /// Sets the addresses of all peers. Drops the queues of peers that are not listed.
    pub(super) fn set_addresses<'a>(
        &mut self,
        addresses: impl Iterator<Item = (RouterId, &'a str)>,
    ) {
        let listed: HashMap<RouterId, Option<SocketAddr>> = addresses
            .map(|(id, address)| (id, address.parse().ok()))
            .collect();
        self.outboxes.retain(|id, _| listed.contains_key(id));
        for (id, address) in listed {
            let outbox = self
                .outboxes
                .entry(id)
                .or_insert_with(|| Outbox::start(id.0, Rc::clone(&self.shared)));
            *outbox.state.address.borrow_mut() = address;
        }
    }

    /// Queues a frame for a peer. Drops the frame if the peer is not listed.
    pub(super) fn send(&self, to: RouterId, frame: Vec<u8>) {
        let Some(outbox) = self.outboxes.get(&to) else {
            self.shared.metrics.edge(Edge::PeerFrameDropped);
            return;
        };
        let mut frames = outbox.state.frames.borrow_mut();
        if frames.len() >= QUEUE_FRAMES {
            frames.pop_front();
            self.shared.metrics.edge(Edge::PeerFrameDropped);
        }
        frames.push_back(frame);
        outbox.state.changed.notify_one();
    }
}

impl Outbox {
    fn start(to: u32, shared: Rc<Shared>) -> Self {
        let state = Rc::new(OutboxState {
            to,
            address: RefCell::new(None),
            frames: RefCell::new(VecDeque::new()),
            changed: Notify::new(),
        });
        let task = spawn_local(deliver(Rc::clone(&state), shared));
        Self { state, task }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a peer when frames are queued, and sends them.
async fn deliver(state: Rc<OutboxState>, shared: Rc<Shared>) {
    let mut wait = RETRY_FIRST;
    loop {
        if state.frames.borrow().is_empty() {
            state.changed.notified().await;
            continue;
        }
        match connect(&state, &shared).await {
            Ok(link) => {
                wait = RETRY_FIRST;
                shared.metrics.edge(Edge::PeerConnected);
                shared.metrics.peers.inc();
                let _connected = ConnectedGauge(&shared.metrics);
                send_frames(&link, &state, &shared).await;
                shared.metrics.edge(Edge::PeerCallFailed);
            }
            Err(event) => {
                shared.metrics.edge(event);
                sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Decrements the gauge of connected peers when dropped, which happens also if the task is aborted.
struct ConnectedGauge<'a>(&'a Metrics);

impl Drop for ConnectedGauge<'_> {
    fn drop(&mut self) {
        self.0.peers.dec();
    }
}

async fn connect(state: &OutboxState, shared: &Shared) -> Result<Link, Edge> {
    let address = state.address.borrow().ok_or(Edge::PeerConnectFailed)?;
    let connecting = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| Edge::PeerConnectFailed)?;
        stream
            .set_nodelay(true)
            .map_err(|_| Edge::PeerConnectFailed)?;
        bulrushtrestle_wire::connect(stream.compat(), shared.router, state.to, &shared.key)
            .await
            .map_err(|error| match error.is_credentials() {
                true => Edge::PeerUnproved,
                false => Edge::PeerConnectFailed,
            })
    };
    match timeout(shared.cfg.connect_timeout, connecting).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Edge::PeerConnectFailed),
    }
}

/// Sends frames in order, and pings after a heartbeat interval without frames. Returns when a call
/// fails or times out.
async fn send_frames(link: &Link, state: &OutboxState, shared: &Shared) {
    let limit = shared.cfg.call_timeout;
    let mut calls = FuturesUnordered::new();
    loop {
        while calls.len() < CALLS_MAX {
            let Some(frame) = state.frames.borrow_mut().pop_front() else {
                break;
            };
            calls.push(timeout(limit, link.exchange(&frame)));
        }
        tokio::select! {
            Some(answer) = calls.next() => {
                if !matches!(answer, Ok(Ok(()))) {
                    return;
                }
            }
            () = state.changed.notified(), if calls.len() < CALLS_MAX => {}
            () = sleep(shared.cfg.heartbeat) => {
                if !matches!(timeout(limit, link.ping()).await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}

/// Accepts connections from peers until the control thread ends. The number of connections whose
/// peer has not yet proved that it has the fleet's key is limited.
pub(super) async fn accept(
    at: PeerListener,
    key: FleetKey,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
) {
    let PeerListener {
        listener,
        router,
        cfg,
    } = at;
    let unproven = Arc::new(Semaphore::new(cfg.unproved_max));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_FIRST).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&unproven).try_acquire_owned() else {
            metrics.edge(Edge::PeerConnectionRefused);
            continue;
        };
        drop(stream.set_nodelay(true));
        let limits = Limits {
            handshake: cfg.connect_timeout,
            idle: cfg.heartbeat * IDLE_HEARTBEATS + cfg.call_timeout,
        };
        let key = key.clone();
        let inputs = inputs.clone();
        let metrics = Arc::clone(&metrics);
        spawn_local(async move {
            let permit = RefCell::new(Some(permit));
            let events = move |event: Event<'_>| match event {
                Event::Proved(_) => drop(permit.borrow_mut().take()),
                Event::Frame { from, bytes } => drop(inputs.send(Input::Peer {
                    from: RouterId(from),
                    bytes: bytes.to_vec(),
                })),
            };
            let ended =
                bulrushtrestle_wire::serve(stream.compat(), router, &key, limits, events).await;
            let refused: Option<Refused> = ended.err().and_then(|error| error.refused());
            match refused {
                Some(refused) => metrics.peer_refused(refused),
                None => metrics.edge(Edge::PeerConnectionEnded),
            }
        });
    }
}
