//! Determines which of two configurations is newer.

use crate::key::Offset;

/// The version of the configuration that was applied last.
///
/// # Invariant
///
/// After a restore of the store, no configuration of a lower version than that applied before takes
/// effect. Within an era, offsets alone decide, so that operators may go back to a lower version.
#[derive(Debug, Default)]
pub struct ConfigurationOrder {
    last: Option<(Offset, u64)>,
}

impl ConfigurationOrder {
    /// Processes a configuration with its version, and returns whether it is to be applied.
    pub fn admits(&mut self, revision: Offset, version: u64) -> bool {
        if let Some((applied, last)) = self.last
            && revision.era() > applied.era()
            && version < last
        {
            return false;
        }
        self.last = Some((revision, version));
        true
    }
}
