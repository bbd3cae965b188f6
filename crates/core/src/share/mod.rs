//! Share: the service that each organisation has received in the whole fleet, and the order between
//! organisations that follows from it.
//!
//! # Invariant
//!
//! Service counts once: a restart, a replay or a repeated message changes no total. For any two
//! organisations that stay backlogged, the service received in the whole fleet, divided by the
//! weight, differs by no more than the bound below, however long they stay backlogged.
//!
//! # How it works
//!
//! Each router counts the service that it gives in one row for each organisation. A row only grows.
//! A row belongs to one incarnation of one router, so a router that restarts empty begins a new
//! row, and the old row keeps its value. Once in a period, routers send the rows that changed to
//! the organisation's aggregators. In a fleet of at most [`Config::full_replication_max`] routers,
//! every router is an aggregator. In a larger one, organisations are divided into [`SHARDS`]
//! shards, and rendezvous hashing assigns [`Config::aggregators`] routers to each shard. The
//! aggregators send back what other routers have counted. The shard and not the organisation is
//! hashed, so that many rows share a frame. See `docs/design/0001-fair-share.md`.
//!
//! A request is charged a small amount at its start ([`Config::start_charge`]), and the rest as its
//! use exceeds that. Nothing depends on an estimate of its cost. An amount that was charged and not
//! used is kept as credit for the organisation's next request, because rows never shrink.
//!
//! The *virtual time* of an organisation is its service divided by its weight, plus its *lift*. The
//! organisation with the lowest virtual time is served next. Every pool has a *system virtual
//! time*, the highest floor of the backlogged organisations so far. An organisation that becomes
//! backlogged is lifted to the system virtual time, so that idle time is not banked. One that falls
//! more than [`Config::catch_up`] behind is lifted to that distance, which bounds the catching up
//! after a partition. Lifts are merged by maximum, so two routers that lift an organisation at the
//! same time do not lift it twice.
//!
//! An organisation has one ledger over all pools, because fairness covers all service that it
//! receives: with one ledger for each pool, an organisation that uses three pools would get three
//! shares. However, service from an idle pool must not exclude an organisation from a busy one.
//! Where an organisation enters a pool further than [`Config::entry_lead_max`] above the system
//! virtual time, the queue discounts the excess for as long as the organisation stays backlogged
//! there.
//!
//! # The bound
//!
//! For backlogged organisations *i* and *j* with weights *w*, and with the terms
//!
//! - `S` slots of the pool, `W` the sum of the weights of the backlogged organisations, `N` the
//!   number of routers,
//! - `F(x) = S * w(x) / W`, the fair number of slots of *x*,
//! - `R(x) = 2 * F(x) + N`, the most slots that *x* holds: twice the fair number, and one that each
//!   router may still grant before it receives newer figures,
//! - `C(x)`, the service of the most expensive request of *x*, and `v`, the service of one slot in
//!   a second,
//! - `d`, the age of figures: the period of reports, plus the period of asks, plus one way between
//!   routers,
//!
//! the gap `|service(i)/w(i) - service(j)/w(j)|` that builds up while both stay backlogged is at
//! most
//!
//! ```text
//! G(i, j) = R(i)/w(i) * (C(i) + v*d)  +  R(j)/w(j) * (C(j) + v*d)  +  lead
//! ```
//!
//! An organisation gets its last slot while it is not above the floor by figures of age `d`. After
//! that, only its running requests continue, each to its end. `lead` is what urgent requests may
//! take ahead of the floor ([`queue::Config::lead`](crate::queue::Config)) plus the distance at
//! which a slot is still reused ([`slots::Config::slack`](crate::slots::Config)). A partition adds
//! [`Config::catch_up`] once. An organisation that finds the fleet idle may hold all `S` slots
//! before others arrive. Then it receives at most `S * C(x)` more, once, and waits until the others
//! have caught up with what it was charged meanwhile.

mod aggregators;
mod charge_account;
pub mod message;
mod recent;
mod state;
#[cfg(test)]
mod tests;

pub use self::aggregators::{Aggregators, SHARDS, shard_of};
pub use self::charge_account::ChargeAccount;
pub use self::recent::Recent;
pub use self::state::{Config, Ledger};
