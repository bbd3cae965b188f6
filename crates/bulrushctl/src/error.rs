//! What can go wrong, and the exit code that scripts see.

use std::fmt;

use ::http::StatusCode;
use bulrushtrestle_core::catalogue::InvalidError;
use bulrushtrestle_core::catalogue::message::Stored;

use crate::http;

/// The exit code of a failure.
const FAILED: u8 = 1;
/// The exit code of wrong usage or invalid input.
pub(crate) const INVALID: u8 = 2;
/// The exit code of an edit that lost against another.
const CONFLICT: u8 = 3;
/// The exit code when a service cannot be reached.
const UNAVAILABLE: u8 = 4;

/// An error of a command.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub(crate) struct Error(#[from] ErrorKind);

#[derive(Debug, thiserror::Error)]
enum ErrorKind {
    #[error("{0}")]
    Failed(String),
    #[error("{field}: {problem}")]
    Field { field: String, problem: String },
    #[error("{0}")]
    Entry(#[from] InvalidError),
    #[error("another edit of {} {} won", .0.stored.kind.as_str(), .0.stored.name)]
    Conflict(Box<Winner>),
    #[error("{who} cannot be reached: {source}")]
    Unavailable { who: Service, source: http::Error },
    #[error("{0}")]
    Unknown(String),
}

/// A service that the command calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Service {
    /// The platform's log.
    Log,
    /// The operators' listener of a router.
    Router,
    /// The callers' listener of a router.
    Callers,
}

impl Service {
    /// Returns the option or field by which its token is given.
    const fn token_option(self) -> &'static str {
        match self {
            Self::Log => "--log-token-file",
            Self::Router => "--router-token-file",
            Self::Callers => "organisations[0].token",
        }
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Log => "the log",
            Self::Router | Self::Callers => "the router",
        })
    }
}

/// The entry that won against an edit.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Winner {
    /// The entry as it stands.
    #[serde(flatten)]
    pub(crate) stored: Stored,
    /// Who made the edit that won, if the edit is still on the log.
    pub(crate) author: Option<String>,
}

impl Error {
    /// Returns the error of something that did not work.
    pub(crate) fn failed(text: impl Into<String>) -> Self {
        ErrorKind::Failed(text.into()).into()
    }

    /// Returns the error of a field of the input that is missing or out of range.
    pub(crate) fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        ErrorKind::Field {
            field: field.into(),
            problem: problem.into(),
        }
        .into()
    }

    /// Returns the error of an edit that lost.
    pub(crate) fn conflict(winner: Winner) -> Self {
        ErrorKind::Conflict(Box::new(winner)).into()
    }

    /// Returns the error of a service that does not answer, or that does not know the caller.
    pub(crate) fn unavailable(who: Service, source: http::Error) -> Self {
        match source.status() {
            Some(StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) => {
                Self::field(who.token_option(), source.to_string())
            }
            _ => ErrorKind::Unavailable { who, source }.into(),
        }
    }

    /// Returns the error of an edit of which it is not known whether it applies.
    pub(crate) fn unknown(text: impl Into<String>) -> Self {
        ErrorKind::Unknown(text.into()).into()
    }

    /// Returns the code with which the process ends.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self.0 {
            ErrorKind::Failed(_) => FAILED,
            ErrorKind::Field { .. } | ErrorKind::Entry(_) => INVALID,
            ErrorKind::Conflict(_) => CONFLICT,
            ErrorKind::Unavailable { .. } | ErrorKind::Unknown(_) => UNAVAILABLE,
        }
    }

    /// Returns the stable name of the outcome for scripts.
    pub(crate) const fn outcome(&self) -> &'static str {
        match self.0 {
            ErrorKind::Failed(_) => "failed",
            ErrorKind::Field { .. } | ErrorKind::Entry(_) => "invalid",
            ErrorKind::Conflict(_) => "conflict",
            ErrorKind::Unavailable { .. } => "unavailable",
            ErrorKind::Unknown(_) => "unknown",
        }
    }

    /// Says whether it may be gone by itself in a moment.
    pub(crate) const fn is_passing(&self) -> bool {
        matches!(self.0, ErrorKind::Unavailable { .. })
    }

    /// Returns the entry that won, if the error is a conflict.
    pub(crate) const fn winner(&self) -> Option<&Winner> {
        match &self.0 {
            ErrorKind::Conflict(winner) => Some(winner),
            _ => None,
        }
    }
}

impl From<InvalidError> for Error {
    fn from(err: InvalidError) -> Self {
        ErrorKind::Entry(err).into()
    }
}
