//! Peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::key::TargetId;

/// What one router tells another about targets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetPart {
    /// To the owner: what the sender saw of targets that it uses.
    pub seen: Vec<Seen>,
    /// From the owner to its standbys: limits, from which a successor starts.
    pub limits: Vec<Limit>,
    /// To the owner: targets whose VM the sender's list shows as leaving or gone.
    pub leaving: Vec<TargetId>,
}

/// What a router saw of a target since it started.
///
/// The figures are totals, so that a repeated or late message adds nothing twice and a lost one is
/// made up for by the next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The target.
    pub target: TargetId,
    /// Answers that finished.
    pub finished: u32,
    /// Requests that the target declined, started late or failed.
    pub bad: u32,
    /// Connections that broke in the middle of an answer.
    pub broken: u32,
}

/// A limit that the owner of a target keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The target.
    pub target: TargetId,
    /// Requests that the whole fleet may have at it.
    pub limit: u32,
}
