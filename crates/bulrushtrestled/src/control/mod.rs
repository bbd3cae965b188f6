//! The control thread, which owns the node, the connections to peers and the platform's clients.
//!
//! # Invariant
//!
//! Only this thread accesses the node. Nothing on this thread blocks: everything that waits for the
//! network is a separate task that returns an [`Input`](bulrushtrestle_core::input::Input). New
//! requests arrive over a bounded channel, so that excess requests are refused early. Events of
//! admitted requests are never dropped; their number is bounded by that of the admitted requests.

mod backlog;
mod duty;
mod follow;
mod gate;
mod handle;
mod hosting;
mod log;
mod lost;
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
