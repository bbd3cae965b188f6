//! Peer messages about targets.

use serde::{Deserialize, Serialize};

use crate::key::TargetId;

/// The part of a peer message that is about targets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetPart {
    /// To the owner: the sender's totals for the targets that it uses.
    pub seen: Vec<Totals>,
    /// From the owner to its standbys: the limits from which a new owner starts.
    pub limits: Vec<Limit>,
    /// Targets whose VM is leaving or removed: to the owner, according to the sender's VM list;
    /// from the owner, to the routers that use the target.
    pub leaving: Vec<TargetId>,
}

/// The results of one router's requests at a target, as totals since the router started.
///
/// As these are totals, a repeated message adds nothing twice, and a lost message is made up for by
/// the next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The target of the requests.
    pub target: TargetId,
    /// Answers that finished, including streams that were in progress for long enough to count.
    pub finished: u32,
    /// Requests that the target declined or failed, or whose answer started late.
    pub bad: u32,
    /// Connections that broke during an answer.
    pub broken: u32,
}

/// A limit that is maintained by the owner of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The target to which the limit applies.
    pub target: TargetId,
    /// The number of requests that the whole fleet may have at the target.
    pub limit: u32,
}
