//! Typed keys, so that an offset can never be taken for a target or a router for an organisation.

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
    /// A router, by the number of the VM that it runs on.
    RouterId(u32), "r"
}
key! {
    /// One run of a router process. A restarted router draws a new one, so that what it counted
    /// before is never counted again.
    Incarnation(u64), "i"
}
key! {
    /// An organisation, by the offset of the record that created its catalogue entry.
    OrganisationId(u32), "o"
}
key! {
    /// A target, by the offset of the record that created its catalogue entry.
    TargetId(u32), "t"
}
key! {
    /// A data centre, by the offset of the record that created its catalogue entry.
    DataCentreId(u32), "d"
}
key! {
    /// A pool of interchangeable targets (one model or one plain service), by the offset of the
    /// record that created its catalogue entry.
    PoolId(u32), "p"
}
key! {
    /// A position in the platform's log. The order of offsets is the only order between edits.
    Offset(u64), "@"
}
key! {
    /// A request, unique within one incarnation of one router; drawn by the embedding.
    RequestId(u64), "q"
}
key! {
    /// One dispatch of a request to a target, unique within one incarnation of one router. Events
    /// that carry another attempt than the current one are dropped and counted.
    AttemptId(u64), "a"
}
key! {
    /// An append that this router asked for; echoed by the answer.
    AppendId(u64), "w"
}
key! {
    /// A fencing number: the offset of the record by which a lease was won.
    Fence(u64), "f"
}
key! {
    /// What a request contains, hashed. Two requests with the same content share it whatever key the
    /// caller gave them.
    Fingerprint(u64), "h"
}
