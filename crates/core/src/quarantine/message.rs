//! Peer messages of this component.

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, TargetId};
use crate::time::Time;

/// What one router tells another about this component.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantinePart {
    /// What the sender knows of some requests. Receivers merge it; repeats and old copies do no harm.
    Entries(Vec<Entry>),
    /// The sender wants to try a suspect, or goes on trying it.
    Ask(Fingerprint),
    /// The receiver may try a suspect, for the term that both count from this message.
    Permit(Fingerprint),
    /// The sender no longer tries a suspect, and nothing is left to find out about it.
    Done(Fingerprint),
    /// The sender keeps a target for a suspect, for the term from this message on.
    Reserve(TargetId),
    /// The sender no longer keeps a target.
    Free(TargetId),
}

/// What is known of the requests of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What the requests contain.
    pub fingerprint: Fingerprint,
    /// Targets that crashed while they ran it.
    pub crashed: Vec<TargetId>,
    /// Those of them that no longer count, because the request has run to its end since or the target
    /// had not crashed after all.
    pub cleared: Vec<TargetId>,
    /// Whether one of them ran nothing else.
    pub quarantined: bool,
    /// When the entry is forgotten.
    pub expires: Time,
}
