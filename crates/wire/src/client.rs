//! The calling end of a connection.

use core::fmt;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

use crate::error::{Error, ErrorKind};
use crate::handshake::{FleetKey, Greeting, Nonce, Side, random_nonce};
use crate::peer_capnp::{greeter, peer};

/// A connection over which both sides have proved that they hold the fleet's key. Dropping the link
/// closes the connection.
pub struct Link {
    peer: peer::Client,
    _driver: Driver,
}

/// The task that drives the connection's I/O. Dropping the driver aborts the task.
struct Driver(JoinHandle<()>);

/// Performs the handshake with the router `expected` over a new connection, as the router `me`.
///
/// This function has no timeout; the caller must set one.
///
/// # Errors
///
/// Fails if the connection breaks, if the other side is not `expected`, or if either side's proof
/// does not match the key.
pub async fn connect<T>(stream: T, me: u32, expected: u32, key: &FleetKey) -> Result<Link, Error>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (greeter, driver) = bootstrap(stream);
    let caller_nonce = random_nonce();
    let mut greet = greeter.greet_request();
    greet.get().set_router(me);
    greet.get().set_nonce(&caller_nonce);
    let greeted = greet.send().promise.await.map_err(ErrorKind::Call)?;
    let greeted = greeted.get().map_err(ErrorKind::Call)?;
    if greeted.get_router() != expected {
        return Err(ErrorKind::WrongRouter {
            expected,
            found: greeted.get_router(),
        }
        .into());
    }
    let greeting = Greeting {
        caller: me,
        callee: expected,
        caller_nonce,
        callee_nonce: parse_nonce(greeted.get_nonce().map_err(ErrorKind::Call)?)?,
    };
    let session = greeted.get_session().map_err(ErrorKind::Call)?;
    let mut prove = session.prove_request();
    prove.get().set_proof(&greeting.prove(key, Side::Caller));
    let proved = prove.send().promise.await.map_err(prove_error)?;
    let proved = proved.get().map_err(ErrorKind::Call)?;
    let proof = proved.get_proof().map_err(ErrorKind::Call)?;
    if !greeting.verify(key, Side::Callee, proof) {
        return Err(ErrorKind::Unproved.into());
    }
    Ok(Link {
        peer: proved.get_peer().map_err(ErrorKind::Call)?,
        _driver: driver,
    })
}

impl Link {
    /// Sends one frame. Frames arrive in the order of the calls of this method, even if the
    /// returned futures have not been awaited yet.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks. The frame may have arrived nevertheless.
    pub fn exchange(&self, frame: &[u8]) -> impl Future<Output = Result<(), Error>> + use<> {
        let mut req = self.peer.exchange_request();
        req.get().set_frame(frame);
        let sent = req.send();
        async move {
            sent.promise.await.map_err(ErrorKind::Call)?;
            Ok(())
        }
    }

    /// Sends a heartbeat and waits for its acknowledgement.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub fn ping(&self) -> impl Future<Output = Result<(), Error>> + use<> {
        let sent = self.peer.ping_request().send();
        async move {
            sent.promise.await.map_err(ErrorKind::Call)?;
            Ok(())
        }
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Link(..)")
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts the RPC system on a connection and returns the other side's bootstrap capability.
fn bootstrap<T>(stream: T) -> (greeter::Client, Driver)
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (reader, writer) = futures::io::AsyncReadExt::split(stream);
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Client,
        crate::reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    system.set_background_error_handler(drop);
    let greeter = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let driver = tokio::task::spawn_local(async move {
        // Calls that are still pending report how the connection ended.
        drop(system.await);
    });
    (greeter, Driver(driver))
}

/// Maps an error of the `prove` call: the callee refused the proof, or the connection broke.
fn prove_error(error: capnp::Error) -> ErrorKind {
    match error.kind {
        capnp::ErrorKind::Failed => ErrorKind::Unproved,
        _ => ErrorKind::Call(error),
    }
}

fn parse_nonce(bytes: &[u8]) -> Result<Nonce, ErrorKind> {
    bytes.try_into().map_err(|_| ErrorKind::Unproved)
}
