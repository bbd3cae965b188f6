//! The reports that are kept in the store, so that a window is never reported in two ways.

use serde::{Deserialize, Serialize};

/// The requests that began in one window, over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the window since the Unix epoch.
    pub window: u64,
    /// The names of organisations and their requests, in the order of names.
    pub counts: Vec<(String, u64)>,
}

/// The record under the key [`RECORD_KEY`](super::RECORD_KEY): the last reports, the oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct UsageRecord {
    pub(super) reports: Vec<Report>,
}

impl UsageRecord {
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names and numbers can be written as JSON")
    }
}
