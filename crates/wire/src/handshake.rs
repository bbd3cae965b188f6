//! Mutual authentication of two routers by the fleet's key.
//!
//! Each side generates a new nonce. A proof is the HMAC-SHA256, under the fleet's key, of the
//! prover's side, both routers' ids and both nonces. The side prevents reflection of a proof. The
//! callee's nonce, which differs each time, prevents replay of a recorded handshake. The caller
//! proves first, so that an unproved caller never receives a proof on which it could mount an
//! offline attack.

use core::fmt;

use hmac::{Hmac, KeyInit, Mac};
use rand::Rng;
use sha2::Sha256;

use crate::error::{Error, ErrorKind};

/// The shortest fleet key that is accepted, in bytes.
pub const FLEET_KEY_BYTES_MIN: usize = 32;

pub(crate) const NONCE_BYTES: usize = 32;

const PROOF_BYTES: usize = 32;

pub(crate) type Nonce = [u8; NONCE_BYTES];
pub(crate) type Proof = [u8; PROOF_BYTES];

/// The secret shared by all routers of the fleet.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

/// The side of a connection that makes a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Caller,
    Callee,
}

/// The ids and nonces that the sides have exchanged before either proves that it holds the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Greeting {
    pub(crate) caller: u32,
    pub(crate) callee: u32,
    pub(crate) caller_nonce: Nonce,
    pub(crate) callee_nonce: Nonce,
}

impl FleetKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// Fails if the key is shorter than [`FLEET_KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() < FLEET_KEY_BYTES_MIN {
            return Err(ErrorKind::ShortKey { len: bytes.len() }.into());
        }
        Ok(Self(bytes.to_vec()))
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl Greeting {
    /// Returns the proof that `side` holds `key`.
    pub(crate) fn prove(&self, key: &FleetKey, side: Side) -> Proof {
        self.mac(key, side).finalize().into_bytes().into()
    }

    /// Returns whether `proof` shows that `side` holds `key`. The comparison takes constant time.
    pub(crate) fn verify(&self, key: &FleetKey, side: Side, proof: &[u8]) -> bool {
        self.mac(key, side).verify_slice(proof).is_ok()
    }

    fn mac(&self, key: &FleetKey, side: Side) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            Side::Caller => b"bulrushtrestle caller 1",
            Side::Callee => b"bulrushtrestle callee 1",
        };
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes keys of any length");
        mac.update(label);
        mac.update(&self.caller.to_be_bytes());
        mac.update(&self.callee.to_be_bytes());
        mac.update(&self.caller_nonce);
        mac.update(&self.callee_nonce);
        mac
    }
}

/// Generates a random nonce.
pub(crate) fn random_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}
