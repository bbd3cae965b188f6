//! Cold start: the limit on the requests that a cold target is sent per second.
//!
//! # Invariant
//!
//! A target that is cold, or may be, is sent no more requests in any second than its pool allows,
//! summed over the entire fleet, whichever routers are cut off. Every router has a fixed share of the
//! allowance, calculated over all routers that the platform lists, live or not, so that a router that
//! hears nobody needs no message.
//!
//! # Shares follow the demand
//!
//! A router with more requests than its share allows asks the routers with a share, and each of these
//! lends what it does not use: each request per second to one router, drawn by demand, itself
//! included. A loan moves a part of one share and adds nothing to the sum. It has a term, which the
//! borrower counts from its own request and the lender from the later moment at which it lends, so
//! that both never use it at the same time, however late a message is. After its term the lender waits
//! until the borrower's last request has left the window. A lost message costs capacity, never the
//! bound.
//!
//! A router that has just started does not know what its former run lent. Until those loans have ended
//! it uses its share of half of the allowance and lends nothing. See `docs/design/0042-pace.md`.
//!
//! # When a target may be cold
//!
//! A target reports that it is cold when it starts. It may also have restarted without reporting
//! so: connections to it broke, or its data centre was out of service. It then counts as cold until
//! it has published its state again, late enough after the event that the state includes a restart.

mod loans;
pub mod message;
mod state;
#[cfg(test)]
mod tests;

use crate::prelude::*;

pub use self::state::{Allowance, ColdTargets};

/// The time over which requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);
