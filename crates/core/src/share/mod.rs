//! Share: how much service each organisation has received in the whole fleet, and whose turn it is.
//!
//! # Invariant
//!
//! Service counts once: a restart, a replay or a repeated message changes no total. Between any two
//! organisations that stay backlogged, the service received in the whole fleet, divided by the weight,
//! differs by no more than the bound below, however long that lasts.
//!
//! # How it works
//!
//! Each router counts the service that it gives in one row for each organisation, which only grows. A row
//! belongs to one run of one router, so a router that restarts empty begins a new row and the old one
//! stays what it was. Routers send the rows that changed to the organisation's accountants, once in a
//! period. In a fleet of at most [`Config::full_replication_max`] routers everyone is an accountant. In a larger one
//! organisations fall into [`SHARDS`] shards, and each shard has [`Config::accountants`] routers by
//! rendezvous hash, which send back what others have counted. The shard and not the organisation is
//! hashed, so that many rows share a frame. See `docs/design/0001-fair-share.md`.
//!
//! A request is charged little at its start ([`Config::start_charge`]) and the rest as it runs past it.
//! Nothing depends on a guess of its cost. What was charged too much is kept as credit for the
//! organisation's next request, because rows never shrink.
//!
//! The *virtual time* of an organisation is its service divided by its weight, plus its *lift*. The lowest
//! is served next. Every pool has a *system virtual time*, the highest floor of the backlogged
//! organisations that was seen. An organisation that becomes backlogged is lifted to it, so that idle time
//! is not banked. One that falls more than [`Config::catch_up`] behind is lifted to that distance, which
//! bounds the catching up after a partition. A lift is merged by maximum: two routers that lift at the same
//! time do not lift twice.
//!
//! There is one ledger for an organisation over all pools, because the promise is about all service that it
//! receives: with one ledger for each pool, an organisation that uses three pools would get three shares.
//! What it used of an idle pool must not shut it out of a busy one, though. Where it enters a pool further
//! than [`Config::entry_lead_max`] above the system virtual time, the queue takes the excess off for as long as
//! the organisation stays backlogged there.
//!
//! # The bound
//!
//! For backlogged organisations *i* and *j* with weights *w*, and with the terms
//!
//! - `S` slots of the pool, `W` the sum of the weights of the backlogged organisations, `N` routers,
//! - `F(x) = S * w(x) / W`, the fair number of slots of *x*,
//! - `R(x) = 2 * F(x) + N`, the most slots that *x* holds: twice the fair number, and one that each
//!   router may still hand out before it hears,
//! - `C(x)`, the service of the dearest request of *x*, and `v`, the service of one slot in a second,
//! - `d`, the age of figures: the period of reports, plus the period of asks, plus one way between routers,
//!
//! the gap `|service(i)/w(i) - service(j)/w(j)|` that builds up while both stay backlogged is at most
//!
//! ```text
//! G(i, j) = R(i)/w(i) * (C(i) + v*d)  +  R(j)/w(j) * (C(j) + v*d)  +  lead
//! ```
//!
//! An organisation gets its last slot while it is, by figures of age `d`, not above the floor; from then on
//! only what runs goes on, each request to its end. `lead` is what urgent requests may take ahead of the
//! floor ([`queue::Config::lead`](crate::queue::Config)) plus the distance at which a slot is still reused
//! ([`slots::Config::slack`](crate::slots::Config)). A partition adds [`Config::catch_up`] once. An
//! organisation that finds the fleet idle may hold all `S` slots before others come; it has at most
//! `S * C(x)` more once, and waits until the others have caught up with what it was charged meanwhile.

mod bill;
pub mod message;
mod recent;
mod shard;
mod state;
#[cfg(test)]
mod tests;

pub use self::bill::ChargeAccount;
pub use self::recent::Recent;
pub use self::shard::{Accountants, SHARDS, shard_of};
pub use self::state::{Config, Ledger};
