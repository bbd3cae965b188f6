//! The called end of a connection.

use core::cell::{Cell, RefCell};
use core::time::Duration;
use std::rc::Rc;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::error::{Error, ErrorKind, Refused};
use crate::handshake::{FleetKey, Greeting, Nonce, Side, random_nonce};
use crate::peer_capnp::{greeter, peer, session};

/// The time for which a connection stays open after a refusal, so that the caller can read the
/// reason.
const REFUSAL_LINGER: Duration = Duration::from_millis(100);

/// An event of a connection, reported to the router that serves the connection.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The caller, the router with this id, proved that it holds the fleet's key.
    Proved(u32),
    /// A frame arrived.
    Frame {
        /// The id of the router that sent the frame.
        from: u32,
        /// The encoded frame.
        bytes: &'a [u8],
    },
}

/// Timeouts for callers.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest time from the start of the connection to a valid proof.
    pub handshake: Duration,
    /// The longest time between two calls after the proof.
    pub idle: Duration,
}

/// Serves one connection until it ends, as the router `me`.
///
/// # Errors
///
/// Fails if the caller's handshake is refused, if the caller makes no call within the idle timeout,
/// or if the connection breaks.
pub async fn serve<T>(
    stream: T,
    me: u32,
    key: &FleetKey,
    limits: Limits,
    events: impl Fn(Event<'_>) + 'static,
) -> Result<(), Error>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let state = Rc::new(State {
        me,
        key: key.clone(),
        events: Box::new(events),
        greeted: Cell::new(false),
        proved: Cell::new(false),
        last_call: Cell::new(Instant::now()),
        refused: RefCell::new(None),
        changed: Notify::new(),
    });
    let (reader, writer) = futures::io::AsyncReadExt::split(stream);
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        crate::reader_options(),
    );
    let greeter: greeter::Client = capnp_rpc::new_client(Greeter(Rc::clone(&state)));
    let mut system = RpcSystem::new(Box::new(network), Some(greeter.client));
    system.set_background_error_handler(drop);
    let mut system = core::pin::pin!(system);
    let outcome = tokio::select! {
        ended = &mut system => Ok(ended.map_err(ErrorKind::Call)?),
        failed = watch(&state, limits) => Err(failed),
    };
    if let Err(ErrorKind::Refused(_)) = outcome {
        drop(timeout(REFUSAL_LINGER, system).await);
    }
    Ok(outcome?)
}

/// The state shared by the capabilities of one connection.
struct State {
    me: u32,
    key: FleetKey,
    events: Box<dyn Fn(Event<'_>)>,
    greeted: Cell<bool>,
    proved: Cell<bool>,
    last_call: Cell<Instant>,
    refused: RefCell<Option<Refused>>,
    /// Notified when `proved` or `refused` is set.
    changed: Notify,
}

struct Greeter(Rc<State>);

struct Session {
    state: Rc<State>,
    greeting: Cell<Option<Greeting>>,
}

struct Peer {
    state: Rc<State>,
    from: u32,
}

impl State {
    /// Records a refusal, which ends the connection, and returns the error for the caller.
    fn refuse(&self, refused: Refused) -> capnp::Error {
        *self.refused.borrow_mut() = Some(refused);
        self.changed.notify_one();
        capnp::Error::failed(refused.as_str().to_owned())
    }
}

impl greeter::Server for Greeter {
    async fn greet(
        self: Rc<Self>,
        params: greeter::GreetParams,
        mut results: greeter::GreetResults,
    ) -> Result<(), capnp::Error> {
        let state = &self.0;
        if state.greeted.replace(true) {
            return Err(state.refuse(Refused::Malformed));
        }
        let params = params.get()?;
        if params.get_router() == state.me {
            return Err(state.refuse(Refused::OwnName));
        }
        let Ok(caller_nonce) = Nonce::try_from(params.get_nonce()?) else {
            return Err(state.refuse(Refused::Malformed));
        };
        let greeting = Greeting {
            caller: params.get_router(),
            callee: state.me,
            caller_nonce,
            callee_nonce: random_nonce(),
        };
        let mut results = results.get();
        results.set_router(state.me);
        results.set_nonce(&greeting.callee_nonce);
        results.set_session(capnp_rpc::new_client(Session {
            state: Rc::clone(state),
            greeting: Cell::new(Some(greeting)),
        }));
        Ok(())
    }
}

impl session::Server for Session {
    async fn prove(
        self: Rc<Self>,
        params: session::ProveParams,
        mut results: session::ProveResults,
    ) -> Result<(), capnp::Error> {
        let state = &self.state;
        let Some(greeting) = self.greeting.take() else {
            return Err(state.refuse(Refused::Malformed));
        };
        if !greeting.verify(&state.key, Side::Caller, params.get()?.get_proof()?) {
            return Err(state.refuse(Refused::WrongProof));
        }
        state.proved.set(true);
        state.last_call.set(Instant::now());
        state.changed.notify_one();
        (state.events)(Event::Proved(greeting.caller));
        let mut results = results.get();
        results.set_proof(&greeting.prove(&state.key, Side::Callee));
        results.set_peer(capnp_rpc::new_client(Peer {
            state: Rc::clone(state),
            from: greeting.caller,
        }));
        Ok(())
    }
}

impl peer::Server for Peer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        _results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        self.state.last_call.set(Instant::now());
        (self.state.events)(Event::Frame {
            from: self.from,
            bytes: params.get()?.get_frame()?,
        });
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), capnp::Error> {
        self.state.last_call.set(Instant::now());
        Ok(())
    }
}

/// Waits until the connection must be ended, and returns the reason.
async fn watch(state: &State, limits: Limits) -> ErrorKind {
    let opened = Instant::now();
    loop {
        if let Some(refused) = *state.refused.borrow() {
            return ErrorKind::Refused(refused);
        }
        if state.proved.get() {
            break;
        }
        tokio::select! {
            () = state.changed.notified() => {}
            () = sleep_until(opened + limits.handshake) => {
                return ErrorKind::Refused(Refused::TooSlow);
            }
        }
    }
    loop {
        let idle = state.last_call.get().elapsed();
        if idle >= limits.idle {
            return ErrorKind::Idle(limits.idle);
        }
        if let Some(refused) = *state.refused.borrow() {
            return ErrorKind::Refused(refused);
        }
        sleep(limits.idle - idle).await;
    }
}
