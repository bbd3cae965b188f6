//! Errors of reading settings.

use std::io;
use std::path::PathBuf;

/// Settings could not be used. The text names the file, the key and the allowed values.
#[derive(Debug, thiserror::Error)]
#[error("{}: {kind}", file.display())]
pub(crate) struct Error {
    file: PathBuf,
    kind: Kind,
}

#[derive(Debug, thiserror::Error)]
pub(super) enum Kind {
    #[error("cannot be read: {0}")]
    Unreadable(io::Error),
    #[error("is larger than {max} bytes")]
    TooLarge { max: u64 },
    #[error("is not JSON: {0}")]
    NotJson(serde_json::Error),
    #[error("the file has to hold one JSON object")]
    NotObject,
    #[error("key {key}: unknown; allowed here: {allowed}")]
    Unknown { key: String, allowed: String },
    #[error("key {key}: missing; it has to be {allowed}")]
    Missing { key: String, allowed: String },
    #[error("key {key}: {found}; it has to be {allowed}")]
    Wrong {
        key: String,
        found: String,
        allowed: String,
    },
    #[error("key {key}: the file {} cannot be used: {reason}", path.display())]
    SecretFile {
        key: String,
        path: PathBuf,
        reason: String,
    },
}

impl Error {
    pub(super) fn new(file: impl Into<PathBuf>, kind: Kind) -> Self {
        Self {
            file: file.into(),
            kind,
        }
    }
}
