//! Small stand-ins for the platform and the targets, for tests and experiments.
//!
//! Each stand-in speaks the HTTP interface that `docs/DESIGN.md` gives for it, and nothing more than
//! that is known of it to the fleet. All of them run inside one process ([`log::spawn`],
//! [`engine::spawn`] and so on) or as processes of their own (`examples/standin.rs`). They listen on
//! loopback unless they are told otherwise.
//!
//! # Faults
//!
//! A stand-in is of use for what it does wrong. Every one of them has a `Faults` type. It is set when
//! the stand-in starts, by [`Handle::set_faults`] or by `PUT /v1/faults`, and it holds from then on.
//! `POST /v1/silence` makes every open connection fall silent for good, while new ones work;
//! `POST /v1/crash?restart_ms=500` takes the stand-in down, with all that it holds in memory.
//!
//! # Examples
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! use bulrushtrestle_standin::log;
//!
//! let log = log::spawn(log::Config::default()).await?;
//! assert!(log.address().ip().is_loopback());
//! log.set_faults(log::Faults { append_refused: true, ..log::Faults::default() });
//! # Ok(())
//! # }
//! ```

pub mod endpoint;
pub mod engine;
pub mod fault;
pub mod log;
pub mod plain;
pub mod server;
pub mod target;
pub mod vms;
pub mod weights;

pub use crate::server::Handle;
