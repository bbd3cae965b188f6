//! Calls between routers: the capnp schema, the handshake and both ends of a connection.
//!
//! A connection carries calls in one direction. The router that has frames to send connects. Both
//! sides prove that they hold the fleet's key; the caller then sends frames through a [`Link`].
//! This crate treats frames as opaque bytes, so that an embedding without sockets can use the same
//! typed messages. See `docs/design/0003-peer-messages.md`.
//!
//! Both ends need a [`tokio::task::LocalSet`], because `capnp-rpc` capabilities are not `Send`.
//!
//! # Regenerating `peer_capnp.rs`
//!
//! The generated code is committed, so that the build needs no generator. After a change to the
//! schema, run in `crates/wire`:
//!
//! ```text
//! capnp compile -o rust:src/generated --src-prefix=schema schema/peer.capnp
//! rustfmt --edition 2024 src/generated/peer_capnp.rs
//! ```

mod client;
mod error;
mod handshake;
mod server;

#[cfg(test)]
mod tests;

#[expect(
    unreachable_pub,
    clippy::allow_attributes_without_reason,
    reason = "generated code keeps its generator's style"
)]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use crate::client::{Link, connect};
pub use crate::error::{Error, Refused};
pub use crate::handshake::{FLEET_KEY_BYTES_MIN, FleetKey};
pub use crate::server::{Event, Limits, serve};

/// The largest message that is read from a connection, in bytes: a frame and its envelope.
pub const MESSAGE_BYTES_MAX: usize = 1024 * 1024 + 64 * 1024;

/// Returns reader options that limit messages to [`MESSAGE_BYTES_MAX`].
fn reader_options() -> capnp::message::ReaderOptions {
    const WORD_BYTES: usize = 8;
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_BYTES_MAX / WORD_BYTES));
    options
}
