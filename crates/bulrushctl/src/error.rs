//! Errors of commands, and their exit codes.

use std::fmt;

use ::http::StatusCode;
use bulrushtrestle_core::catalogue::InvalidError;
use bulrushtrestle_core::catalogue::message::Stored;

use crate::http;

/// The exit code of a failure.
const FAILED: u8 = 1;
/// The exit code of wrong usage or invalid input.
pub(crate) const INVALID: u8 = 2;
/// The exit code of an edit that lost against another edit of the same entry.
const CONFLICT: u8 = 3;
/// The exit code if a service cannot be reached, or if the outcome of the command is not known.
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
    #[error("{service} cannot be reached: {source}")]
    Unavailable {
        service: Service,
        source: http::Error,
    },
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
    /// Returns the option or field that sets the token for the service.
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

/// The entry of an edit that won over the edit of this command.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Winner {
    /// The current entry.
    #[serde(flatten)]
    pub(crate) stored: Stored,
    /// The author of the edit that won, if that edit is still on the log.
    pub(crate) author: Option<String>,
}

impl Error {
    /// Returns an error for a failed operation.
    pub(crate) fn failed(text: impl Into<String>) -> Self {
        ErrorKind::Failed(text.into()).into()
    }

    /// Returns an error for an input field that is missing or invalid.
    pub(crate) fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        ErrorKind::Field {
            field: field.into(),
            problem: problem.into(),
        }
        .into()
    }

    /// Returns an error for an edit that lost against another edit.
    pub(crate) fn conflict(winner: Winner) -> Self {
        ErrorKind::Conflict(Box::new(winner)).into()
    }

    /// Returns an error for a service that does not answer, or that rejects the token.
    pub(crate) fn unavailable(service: Service, source: http::Error) -> Self {
        match source.status() {
            Some(StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) => {
                Self::field(service.token_option(), source.to_string())
            }
            _ => ErrorKind::Unavailable { service, source }.into(),
        }
    }

    /// Returns an error for a command whose outcome is not known.
    pub(crate) fn unknown(text: impl Into<String>) -> Self {
        ErrorKind::Unknown(text.into()).into()
    }

    /// Returns the exit code of the process.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self.0 {
            ErrorKind::Failed(_) => FAILED,
            ErrorKind::Field { .. } | ErrorKind::Entry(_) => INVALID,
            ErrorKind::Conflict(_) => CONFLICT,
            ErrorKind::Unavailable { .. } | ErrorKind::Unknown(_) => UNAVAILABLE,
        }
    }

    /// Returns the name of the outcome for scripts. The names are stable.
    pub(crate) const fn outcome(&self) -> &'static str {
        match self.0 {
            ErrorKind::Failed(_) => "failed",
            ErrorKind::Field { .. } | ErrorKind::Entry(_) => "invalid",
            ErrorKind::Conflict(_) => "conflict",
            ErrorKind::Unavailable { .. } => "unavailable",
            ErrorKind::Unknown(_) => "unknown",
        }
    }

    /// Returns whether the error is transient, so that a retry may succeed.
    pub(crate) const fn is_transient(&self) -> bool {
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
