//! Feed: the records of a store that routers pass on to one another.
//!
//! # Invariant
//!
//! Of each key a router holds the newest record that it has received, in the order of the store's
//! offsets, whoever delivered it: nothing goes back. A router takes a topic as complete as of a time
//! only if its own read shows so, or if a peer's answer does. An answer is dated by the question that
//! it answers, so a delayed answer proves nothing.
//!
//! In a large fleet a few routers read the store, the [relays](crate::relay), and the others ask
//! them, two in turn, every [`ASK_EVERY`]. A router whose questions are not answered in time, or
//! whose sources know nothing recent, reads the store itself. In a fleet of any size a router that
//! the store does not answer asks others.
//!
//! A store that was restored from an older copy begins a new era, and its offsets follow those of all
//! earlier eras. What is known of an earlier era stays in force until the new one has settled; see
//! `docs/design/0040-restored-store.md`.
//!
//! A record that differs from its key's last one only by a serial number is not passed on, unless it
//! is asked for by name. See `docs/design/0035-records.md`.

mod copy;
pub mod message;
mod state;
#[cfg(test)]
mod tests;

pub use self::copy::Restored;
pub use self::message::Record;
pub use self::state::{Config, Feed, Received};

use core::time::Duration;

/// The interval at which a router asks for records. A fifth more or less is added at random.
pub const ASK_EVERY: Duration = Duration::from_millis(300);

/// A topic whose records routers pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The records that operators write.
    Operators,
    /// The records that targets write.
    Targets,
    /// The records of routers.
    Routers,
}

impl Topic {
    /// Every topic, in the order of [`Topic::index`].
    pub const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Routers];

    /// Returns the topic's place in a list of all topics.
    pub const fn index(self) -> usize {
        match self {
            Self::Operators => 0,
            Self::Targets => 1,
            Self::Routers => 2,
        }
    }

    /// Returns the stable name used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Routers => "routers",
        }
    }
}
