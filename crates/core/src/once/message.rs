//! The log records of claims.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::key::{Incarnation, OrganisationId, RouterId};

/// Steps of one router. They take effect in order at the offset of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The router that claims and releases.
    pub router: RouterId,
    /// The run of that router.
    pub incarnation: Incarnation,
    /// The claims and releases, in order.
    pub steps: Vec<Step>,
}

/// A claim of a key, or its release by the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Whether the key is claimed or released.
    pub kind: StepKind,
    /// The organisation to which the key belongs.
    pub organisation: OrganisationId,
    /// The key.
    pub key: Uuid,
    /// The number of the claim within the run of its router. A release carries the number of the
    /// claim that it undoes, so that it cannot undo a later claim of the same key.
    pub number: u64,
}

/// The effect of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// Hold the key if no other claim holds it.
    Claim,
    /// Release a key whose request certainly did not run.
    Release,
}
