//! Connections to and from the other routers.
//!
//! Every peer has a task and a bounded queue of its own, so that a peer that hangs delays nobody
//! else. Frames to one peer leave in order; when the queue is full the oldest gives way, because the
//! newest say more. See `docs/design/0003-peer-messages.md`.

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

/// Frames that wait for one peer.
const QUEUE_FRAMES: usize = 64;

/// Calls to one peer that are not answered yet.
const CALLS_MAX: usize = 16;

/// The first and the longest wait before a connection is tried again.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// After how many heartbeats without a call a connection from a peer is closed.
const IDLE_HEARTBEATS: u32 = 5;

/// What all connections share.
/// Where peers connect to, and by which limits.
#[derive(Debug)]
pub(super) struct PeerListener {
    pub(super) listener: TcpListener,
    /// This router's number.
    pub(super) router: u32,
    pub(super) cfg: settings::Peers,
}

#[derive(Debug)]
struct Shared {
    me: u32,
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

/// One peer's queue and the task that empties it.
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
    /// Returns the connections of a router that knows no others yet.
    pub(super) fn new(
        me: u32,
        cfg: settings::Peers,
        key: &FleetKey,
        metrics: Arc<Metrics>,
    ) -> Self {
        let key = key.clone();
        Self {
            shared: Rc::new(Shared {
                me,
                cfg,
                key,
                metrics,
            }),
            outboxes: HashMap::new(),
        }
    }

    /// Takes over where the other routers are, and forgets those that are gone.
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

    /// Queues a frame for a peer.
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

/// Connects whenever there are frames, and sends them.
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
                let _connected = Connected(&shared.metrics);
                use_link(&link, &state, &shared).await;
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

/// Keeps the gauge of connected peers right, also when the task is dropped.
struct Connected<'a>(&'a Metrics);

impl Drop for Connected<'_> {
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
        bulrushtrestle_wire::connect(stream.compat(), shared.me, state.to, &shared.key)
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

/// Sends frames in order until a call fails or is not answered in time.
async fn use_link(link: &Link, state: &OutboxState, shared: &Shared) {
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

/// Accepts connections from peers for as long as the thread lives.
pub(super) async fn accept(
    at: PeerListener,
    key: FleetKey,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
) {
    let PeerListener {
        listener,
        router: me,
        cfg,
    } = at;
    let strangers = Arc::new(Semaphore::new(cfg.unproved_max));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_FIRST).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&strangers).try_acquire_owned() else {
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
            let ended = bulrushtrestle_wire::serve(stream.compat(), me, &key, limits, events).await;
            let refused: Option<Refused> = ended.err().and_then(|error| error.refused());
            match refused {
                Some(refused) => metrics.peer_refused(refused),
                None => metrics.edge(Edge::PeerConnectionEnded),
            }
        });
    }
}
