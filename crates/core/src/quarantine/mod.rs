//! Quarantine of requests that crash the targets on which they run.
//!
//! # Invariant
//!
//! A request that was running at a target when the target crashed is a suspect. Suspects are
//! identified by the fingerprint of their content, not by their key. A suspect only runs alone on a
//! target, and at most once at a time in the fleet. A suspect that crashes a target on which it
//! runs alone is quarantined: no router runs it until the entry expires. A request is never
//! quarantined for a crash while other requests were running, and a request that completes is
//! cleared.
//!
//! # How it works
//!
//! A connection that breaks, or an answer that ends early, is presumed to be a crash until the
//! target's next report, whose uptime shows whether the process restarted ([`Breaks`]). Routers
//! exchange entries about suspects, and these entries only merge ([`Suspects`]). A router tries one
//! suspect at a time ([`Trial`]): the router asks the coordinator of the fingerprint for a permit,
//! reserves a target, waits until the target reports that it is idle, and only then dispatches the
//! suspect.
//!
//! When several targets crash at about the same time, their data centre or rack is a likelier cause
//! than a request. Requests that ran at only one of these targets are not suspected then.
//!
//! # Without reports
//!
//! On a hosting platform targets send no reports ([`Evidence::Answers`]). There a request is a
//! suspect after its second crash, so that one that broke off once is sent again at once. Data that
//! a target goes on sending after a break, or a later record of the same run, shows that the target
//! stayed up. A suspect is not tried: if it is not cleared shortly after its last crash, it is
//! refused. See `docs/design/0021-quarantine.md`.

mod breaks;
mod config;
pub mod message;
mod state;
mod suspects;
#[cfg(test)]
mod tests;
mod trial;

pub use self::breaks::{Break, Breaks, Finding};
pub use self::config::{Config, Evidence};
pub use self::state::{Fleet, Quarantine, Task};
pub use self::suspects::{SuspectStatus, Suspects};
pub use self::trial::{Phase, Trial};
