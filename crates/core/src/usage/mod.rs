//! Usage: how many requests of each organisation began in each window of time, over the fleet.
//!
//! # Invariant
//!
//! No two reports of one window differ, whichever routers make them and whatever the store loses. A
//! report may be missing.
//!
//! # How it works
//!
//! Each router counts a request once, at the first token of its answer, in the window of the fleet's
//! time ([`Usage::on_begin`]). Once a second it sends its counts to the holder of the duties and to
//! the next candidate ([`message::Figures`]). The holder closes a window when all live routers have
//! reported past its end. What it found is frozen, written to the store under a condition that fails
//! if another holder wrote, and sent only once the store has confirmed it. A later holder sends what
//! the store holds and never counts such a window itself.
//!
//! A store that is restored may have lost reports that were sent. So after a restore, and after the
//! start of a router, windows that ended before are reported only as this router has read them from
//! the store. See `docs/design/0039-usage-and-autoscale.md`.

mod clock;
pub mod message;
mod report;
mod state;
#[cfg(test)]
mod tests;

pub use self::report::Report;
pub use self::state::{Config, Usage};

/// The key of the record that holds the last reports.
pub const RECORD_KEY: &str = "usage";
