//! Peer messages about quarantine.

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, TargetId};
use crate::time::Time;

/// The part of a peer message that is about quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantinePart {
    /// The sender's entries for some fingerprints. Receivers merge them, so repeated and outdated
    /// entries are harmless.
    Entries(Vec<Entry>),
    /// The sender requests or renews a permit to try a suspect.
    Ask(Fingerprint),
    /// The receiver may try a suspect. The permit is valid for a term that both routers count from
    /// this message.
    Permit(Fingerprint),
    /// The sender no longer tries a suspect, and returns the permit. The outcome of the trial is
    /// known.
    Done(Fingerprint),
    /// The sender reserves a target for a suspect, for a term from this message on.
    Reserve(TargetId),
    /// The sender releases its reservation of a target.
    Free(TargetId),
}

/// The crashes attributed to the requests of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint of the requests' content.
    pub fingerprint: Fingerprint,
    /// The targets that crashed while they ran such a request, in ascending order; a target that
    /// crashed again occurs again.
    pub crashed: Vec<TargetId>,
    /// The targets in `crashed` that no longer count, because such a request has completed since or
    /// the target had not crashed after all.
    pub cleared: Vec<TargetId>,
    /// Whether such a request crashed a target on which it ran alone.
    pub quarantined: bool,
    /// When the entry expires.
    pub expires: Time,
}
