//! Calls between routers: the capnp schema, the handshake and both ends of a connection.
//!
//! A connection carries calls in one direction. The router that has frames to send connects, both
//! sides prove that they hold the fleet's key, and the caller then holds a [`Link`] through which it
//! hands over frames. What a frame contains is not known here: frames are bytes, so that the same
//! typed messages serve an embedding that has no sockets. See `docs/design/0003-peer-messages.md`.
//!
//! Both ends need a [`tokio::task::LocalSet`], because capabilities of `capnp-rpc` stay on one thread.
//!
//! # Regenerating `peer_capnp.rs`
//!
//! The generated code is committed; the build needs no generator. After a change of the schema, in
//! `crates/wire`:
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
    reason = "generated code keeps the style of its generator"
)]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use crate::client::{Link, connect};
pub use crate::error::{Error, Refused};
pub use crate::handshake::{FLEET_KEY_BYTES_MIN, FleetKey};
pub use crate::server::{Event, Limits, serve};

/// The largest message that is read from a connection, in bytes: a frame with room for its envelope.
pub const MESSAGE_BYTES_MAX: usize = 1024 * 1024 + 64 * 1024;

/// Returns how messages from the network are read: no more than [`MESSAGE_BYTES_MAX`].
fn reader_options() -> capnp::message::ReaderOptions {
    const WORD_BYTES: usize = 8;
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_BYTES_MAX / WORD_BYTES));
    options
}
