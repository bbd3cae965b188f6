//! Pace: the requests per second at which a target that has started or recovered is used, found from
//! its answers.
//!
//! # Invariant
//!
//! While a target is paced, the rate at which all routers use it grows by no more than a factor of
//! two in each round of answered requests, and halves in a router to which the target answers slowly,
//! refuses or breaks off. A target that is cold gets no more than [`cold_start`](crate::cold_start)
//! allows, whatever its pace is.
//!
//! # How it works
//!
//! Each router keeps its own estimate of the rate that the target bears from the whole fleet, and
//! uses a part of it by demand, as [`limit`](crate::limit) divides a stated limit. A round ends when
//! half of the requests that this router sent in it have begun to be answered. A router whose part is
//! too small to send any goes by the load that the other routers report: a time in which others have
//! requests and these do not pile up at the target counts as a round, unless this router's last
//! request there met trouble. Pacing ends when this router's part is no less than all requests
//! that arrive here for the pool.
//!
//! An answer is slow if it takes far longer to start than is usual for its pool and its prompt. The
//! pace is a bound of quality: routers may differ in their estimates. See `docs/design/0042-pace.md`.

mod state;
#[cfg(test)]
mod tests;
mod usual;

pub use self::state::{Change, Pace, Surroundings};
pub use self::usual::Usual;
