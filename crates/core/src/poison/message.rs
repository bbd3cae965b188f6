//! Peer messages about parts of prompts that crash targets.

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, PoolId, TargetId};

/// The largest number of rows in one message.
pub const ROWS_MAX: usize = 64;

/// A part of prompts for one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The pool whose targets answer on the part.
    pub pool: PoolId,
    /// The hash of the part's content.
    pub content: Fingerprint,
}

/// The part of a peer message that is about parts of prompts that crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonPart {
    /// What the sender knows of some parts. Receivers merge it, so repeated and outdated rows are
    /// harmless.
    Rows(Vec<Row>),
    /// The sender requests a permit to try a part whose bar has run out.
    Ask(PartKey),
    /// The receiver may try a part once.
    Permit(PartKey),
}

/// What a router knows of a part. Times are sent as ages, because the clocks of routers differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The part.
    pub key: PartKey,
    /// The targets that crashed before they answered a request with the part, and how many
    /// milliseconds ago.
    pub crashes: Vec<(TargetId, u32)>,
    /// How many milliseconds ago a target was last known to answer a request with the part.
    pub sound_age_ms: Option<u32>,
    /// The bar of the part.
    pub bar: Option<BarRow>,
}

/// The bar of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BarRow {
    /// Identifies the bar.
    pub id: u64,
    /// How many milliseconds ago the run of crashes began for which the part is barred.
    pub since_age_ms: u32,
    /// How many milliseconds remain; zero if the bar has run out and a trial is due.
    pub left_ms: u32,
    /// How many trials of the part have failed.
    pub failed_trials: u8,
}
