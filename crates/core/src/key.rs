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
    /// A position in the platform's log. Edits have no order other than that of their offsets.
    Offset(u64), "@"
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
