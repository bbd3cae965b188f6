//! Errors of connections between routers.

use core::{fmt, time::Duration};

/// Why a connection to a peer cannot be used.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] ErrorKind);

#[derive(Debug, thiserror::Error)]
pub(crate) enum ErrorKind {
    #[error("the fleet key has {len} bytes; it needs {min} or more", min = crate::FLEET_KEY_BYTES_MIN)]
    ShortKey { len: usize },
    #[error("the peer did not prove that it holds the fleet's key")]
    Unproved,
    #[error("router {found} answered in place of router {expected}")]
    WrongRouter { expected: u32, found: u32 },
    #[error("refused: {0}")]
    Refused(Refused),
    #[error("received nothing for {0:?}")]
    Idle(Duration),
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
}

/// Why the callee refused a caller's handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refused {
    /// A handshake message is malformed, or arrived out of order.
    Malformed,
    /// The caller used the id of the router that it called.
    OwnName,
    /// The proof does not match the fleet's key, the ids and the nonces of this connection.
    WrongProof,
    /// The caller did not complete the handshake within the timeout.
    TooSlow,
}

impl Error {
    /// Returns whether the other side did not prove that it holds the fleet's key, or is not the
    /// expected router.
    pub fn is_credentials(&self) -> bool {
        match &self.0 {
            ErrorKind::Unproved | ErrorKind::WrongRouter { .. } | ErrorKind::Refused(_) => true,
            ErrorKind::ShortKey { .. } | ErrorKind::Idle(_) | ErrorKind::Call(_) => false,
        }
    }

    /// Returns why this side refused the other's handshake, if this side did.
    pub fn refused(&self) -> Option<Refused> {
        match self.0 {
            ErrorKind::Refused(refused) => Some(refused),
            _ => None,
        }
    }
}

impl Refused {
    /// Every variant, in the order of declaration.
    pub const ALL: [Self; 4] = [
        Self::Malformed,
        Self::OwnName,
        Self::WrongProof,
        Self::TooSlow,
    ];

    /// Returns the stable name that metrics use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::OwnName => "own_name",
            Self::WrongProof => "wrong_proof",
            Self::TooSlow => "too_slow",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
