//! Load experiments against routers on the same machine.
//!
//! Arrivals are open-loop: every request has an intended start that is drawn before the experiment
//! begins and that does not depend on how the routers answer. Latencies count from that intended
//! start, so that a request which had to wait because the tool or the routers fell behind shows the
//! whole wait. Otherwise a slow router would slow down the load and hide its own slowness
//! (coordinated omission).
//!
//! An experiment is bounded in count and time, and goes to loopback addresses only, whatever the
//! routers answer: it is no tool to load machines of others.

mod address;
mod caller;
mod experiment;
mod gap;
mod plot;
mod report;
mod request;
mod run;
mod schedule;
mod sse;
mod tally;
#[cfg(test)]
mod tests;

pub(crate) use self::experiment::Experiment;
pub(crate) use self::run::run;
