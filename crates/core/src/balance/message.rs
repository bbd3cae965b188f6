//! Peer messages of the load balancer.

use serde::{Deserialize, Serialize};

use crate::balance::prefix_index::PrefixHash;
use crate::key::{OrganisationId, PoolId, TargetId};
use crate::limit::message::{DemandRow, LimitRow};
use crate::speed::message::SpeedRow;

/// Whose figures a report covers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coverage {
    /// The figures of the sender.
    #[default]
    Router,
    /// The sums of the figures of the sender, which is a relay, and of the routers that report to
    /// it.
    Members,
}

/// A router's load at targets, its waiting requests, and the prompt prefixes that it sent recently.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Numbers the sender's reports in ascending order.
    pub number: u32,
    /// Whose figures the report covers.
    pub coverage: Coverage,
    /// The number of routers whose figures the report covers.
    pub routers: u32,
    /// The figures.
    pub figures: Figures,
}

/// The sums of the figures of the whole fleet, from a relay to a router that reports to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPart {
    /// The number of the receiver's last report that the sums contain, or zero. The receiver
    /// subtracts the figures of that report.
    pub included: u32,
    /// The number of routers whose figures the sums cover.
    pub routers: u32,
    /// The sums.
    pub figures: Figures,
}

/// Loads at targets, waiting requests and prompt prefixes of one router or of several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Whether `rows` lists every target with requests. If not, `rows` lists only the targets whose
    /// figures changed since the last report.
    pub is_full: bool,
    /// The load per target. A partial report has a row of zeros for a target that no longer has
    /// requests.
    pub rows: Vec<LoadRow>,
    /// The requests that wait, by pool and organisation.
    pub claims: Vec<ClaimRow>,
    /// Long prompt prefixes that were sent to targets recently.
    pub held: Vec<HeldRow>,
    /// Targets that stated, since the last report, that they are leaving.
    pub leaving: Vec<TargetId>,
    /// Changes since the last report of the limits that targets state.
    pub limits: Vec<LimitRow>,
    /// The requests that recently arrived, for each pool with a limited target.
    pub demand: Vec<DemandRow>,
    /// Changes since the last report of the work that targets state.
    pub speeds: Vec<SpeedRow>,
}

impl Figures {
    /// Returns whether targets stated anything that is news.
    pub fn has_statements(&self) -> bool {
        !self.leaving.is_empty() || !self.limits.is_empty()
    }
}

/// A prompt prefix that a target is presumed to cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// The target.
    pub target: TargetId,
    /// Hash of the prefix.
    pub chain: PrefixHash,
}

/// The waiting requests of one organisation at one router that the router is likely to dispatch
/// before its next report, and what the organisation asked for and was sent at the router within a
/// window. Rows without waiting requests are reported while requests are unserved anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The pool for which the requests wait.
    pub pool: PoolId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service that the organisation received recently, divided by its weight, in thousandths
    /// of a generated token. The greatest value if no request waits.
    pub level: u64,
    /// The number of waiting requests.
    pub requests: u32,
    /// The tokens of the prompts of these requests.
    pub tokens: u32,
    /// The tokens of the prompts and answers of requests that arrived within the window, and of
    /// those that have waited for longer.
    pub asked: u32,
    /// The tokens of the prompts and answers of requests that were sent to targets within the window.
    pub sent: u32,
    /// The requests that wait or were refused for lack of capacity within the window.
    pub unserved: u32,
}

/// The load that one router has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens of the router's requests that the target has not read yet.
    pub unread: u32,
    /// Requests of the router that wait or run at the target.
    pub requests: u32,
}
