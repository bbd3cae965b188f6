//! Load experiments against routers on the same machine.
//!
//! Arrivals are open-loop: every request has an intended start that is drawn before the experiment
//! begins and that does not depend on how the routers answer. Latencies are measured from that
//! intended start. If the tool or the routers fall behind, the latency of a delayed request includes
//! the delay. Otherwise a slow router would reduce the load and hide its own latency (coordinated
//! omission).
//!
//! An experiment has a maximum number of requests and a maximum duration. It sends requests to
//! loopback addresses only, even if a router names other addresses, so that the command cannot be
//! used to load other machines.

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
