//! Queue: the requests that wait at this router.
//!
//! # Invariant
//!
//! Each organisation has a queue of its own for each pool and class, each queue has a limit, and each
//! request in it has a deadline. No request waits past its deadline.

mod state;

pub use self::state::{Queues, Waiting};
