//! Records of this component.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::key::{Incarnation, OrganisationId, RouterId};

/// Steps of one router, decided in order at the offset of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Who claims and releases.
    pub router: RouterId,
    /// The run of that router.
    pub incarnation: Incarnation,
    /// The steps.
    pub steps: Vec<Step>,
}

/// A claim of a key, or its release by the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Whether the key is claimed or released.
    pub kind: StepKind,
    /// The organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// The key.
    pub key: Uuid,
    /// The number of the claim within the run of its router. A release names the claim that it undoes,
    /// so that it cannot undo a later one.
    pub number: u64,
}

/// What a step does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// Hold the key if nobody does.
    Claim,
    /// Let go of a key that was certainly not run.
    Release,
}
