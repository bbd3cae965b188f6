//! Typed keys. Distinct types prevent one kind of key from being used as another.

use core::fmt;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident($repr:ty), $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

key! {
    /// A router, identified by the number of the VM on which it runs.
    RouterId(u32), "r"
}
key! {
    /// One run of a router process. A router draws a new value at each start, so that the counts of
    /// an earlier run are never added twice.
    Incarnation(u64), "i"
}
key! {
    /// An organisation, identified by the offset of the record that created its catalogue entry.
    OrganisationId(u32), "o"
}
key! {
    /// A target, identified by the offset of the record that created its catalogue entry.
    TargetId(u32), "t"
}
key! {
    /// A data centre, identified by the offset of the record that created its catalogue entry.
    DataCentreId(u32), "d"
}
key! {
    /// A pool of interchangeable targets (one model or one plain service), identified by the offset
    /// of the record that created its catalogue entry.
    PoolId(u32), "p"
}
key! {
    /// A position in the platform's log, or in a topic of a store. Edits have no order other than that
    /// of their offsets. The highest 24 bits hold the era of the store, so that offsets of a later era
    /// are greater than all of an earlier one; see `docs/design/0040-restored-store.md`. A log, and a
    /// store that states no era, have the era 0.
    Offset(u64), "@"
}

impl Offset {
    /// The number of bits of the position within the era. A topic with a thousand records a second
    /// reaches the largest position after 34 years.
    const POSITION_BITS: u32 = 40;
    /// The largest position within an era.
    pub const POSITION_MAX: u64 = (1 << Self::POSITION_BITS) - 1;
    /// The largest era.
    pub const ERA_MAX: u64 = u64::MAX >> Self::POSITION_BITS;

    /// Returns the offset at a position of an era; `None` if either is out of range.
    pub const fn in_era(era: u64, position: u64) -> Option<Self> {
        if era > Self::ERA_MAX || position > Self::POSITION_MAX {
            return None;
        }
        Some(Self(era << Self::POSITION_BITS | position))
    }

    /// Returns the number of times that the store had been restored when it gave out the offset.
    pub const fn era(self) -> u64 {
        self.0 >> Self::POSITION_BITS
    }

    /// Returns the position within the era, which is the offset that the store itself uses.
    pub const fn position(self) -> u64 {
        self.0 & Self::POSITION_MAX
    }
}
key! {
    /// A request, unique within one incarnation of one router. Assigned by the embedding.
    RequestId(u64), "q"
}
key! {
    /// One dispatch of a request to a target, unique within one incarnation of one router. Events
    /// for an attempt other than the current one of its request are dropped and counted.
    AttemptId(u64), "a"
}
key! {
    /// An append requested by this router; the answer carries the same value.
    AppendId(u64), "w"
}
key! {
    /// A fencing number: the offset of the record that acquired a lease.
    Fence(u64), "f"
}
key! {
    /// A hash of the content of a request. Requests with the same content have the same
    /// fingerprint, whatever idempotency keys they carry.
    Fingerprint(u64), "h"
}
