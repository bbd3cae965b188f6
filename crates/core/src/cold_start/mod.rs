//! Cold start: the limit on the requests that a cold target is sent per second.
//!
//! # Invariant
//!
//! A target that is cold, or may be, is sent no more requests in any second than its pool allows,
//! summed over the entire fleet, whichever routers are cut off. Every router takes the same fixed
//! part of the allowance, calculated over all routers that the platform lists, live or not, so that
//! no message is needed and none can be lost.
//!
//! # When a target may be cold
//!
//! A target reports that it is cold when it starts. It may also have restarted without reporting
//! so: connections to it broke, or its data centre was out of service. It then counts as cold until
//! it has published its state again, late enough after the event that the state includes a restart.

mod state;
#[cfg(test)]
mod tests;

pub use self::state::{Allowance, ColdTargets};
