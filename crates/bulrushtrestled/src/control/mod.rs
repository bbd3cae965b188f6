//! The control thread: the node, the connections to peers, the platform's clients.
//!
//! # Invariant
//!
//! The node is touched by this thread alone. Nothing on this thread blocks: whatever waits for the
//! network is a task of its own that hands back an [`Input`](bulrushtrestle_core::input::Input).
//! Requests come in over a bounded channel, so that a flood is refused at the door; what is learnt of
//! requests that were taken in is never dropped, and grows only with their number.

mod backlog;
mod follow;
mod handle;
mod hosting;
mod log;
mod message;
mod orders;
mod outputs;
mod peers;
mod run;
#[cfg(test)]
mod tests;
mod watch;
mod withdrawn;

pub(crate) use self::backlog::{DEFAULT_RETRY_AFTER, LATE_MAX, spread_retry_after};
pub(crate) use self::handle::Handle;
pub(crate) use self::message::{
    Arrival, AttemptNames, Decision, ForwardingPlan, HostedCall, Identity,
};
pub(crate) use self::run::{Control, ControlContext, Receivers, channels};
#[cfg(test)]
pub(crate) use self::withdrawn::Withdrawn;
