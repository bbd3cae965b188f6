//! Idempotency keys.

use uuid::Uuid;

use crate::prelude::*;

/// An idempotency key and the organisation to which it belongs.
///
/// Keys are ordered by their time, so that the oldest are forgotten first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The upper half of the UUID, which begins with the time.
    high: u64,
    low: u64,
    organisation: OrganisationId,
}

impl Key {
    /// Returns the key, or `None` if the UUID is not of version 7.
    pub fn new(organisation: OrganisationId, uuid: Uuid) -> Option<Self> {
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (high, low) = uuid.as_u64_pair();
        Some(Self {
            high,
            low,
            organisation,
        })
    }

    /// Returns the UUID.
    pub const fn uuid(&self) -> Uuid {
        Uuid::from_u64_pair(self.high, self.low)
    }

    /// Returns the organisation to which the key belongs.
    pub const fn organisation(&self) -> OrganisationId {
        self.organisation
    }

    /// Returns the time contained in the key.
    pub const fn time(&self) -> Time {
        Time::from_millis(self.high >> 16)
    }
}
