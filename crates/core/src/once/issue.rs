//! Keys that a router issues itself, for use while the log is out.
//!
//! An issued key looks like any UUID of version 7. Its 74 free bits hold a fixed mark, a counter and an
//! authentication code over the organisation, the router and its incarnation. Every router sees the mark
//! and leaves the key alone, and only the issuing incarnation can verify the code. One in 2^24 ordinary
//! keys carries the mark by chance; it is refused, and its caller has to draw another. One in 2^36
//! issued keys of another run verifies by chance.

use std::collections::BTreeSet;

use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use sha2::Sha256;
use uuid::Uuid;

use crate::once::Key;
use crate::prelude::*;

/// The bits after the version that mark an issued key.
const MARK_HIGH: u64 = 0xb57;
/// The bits after the variant that mark an issued key.
const MARK_LOW: u64 = 0x72e;
/// The bits of the counter.
const COUNTER_BITS: u32 = 14;
/// The bits of the authentication code.
const CODE_BITS: u32 = 36;
/// Where the second mark stands.
const MARK_LOW_SHIFT: u32 = COUNTER_BITS + CODE_BITS;
/// The bits of a half of the mark.
const MARK_MASK: u64 = 0xfff;
/// The version of the UUID, in its place.
const VERSION: u64 = 0x7000;
/// The variant of the UUID, in its place.
const VARIANT: u64 = 1 << 63;

/// Issues keys and knows which of them were used.
#[derive(Debug)]
pub struct Issuer {
    run: (RouterId, Incarnation),
    secret: [u8; 32],
    valid: Duration,
    /// The time and the counter of the next key.
    next: (u64, u64),
    used: BTreeSet<Key>,
}

/// Who issued a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The caller drew it.
    Caller,
    /// This run of this router issued it to this organisation.
    Here,
    /// Another router or an earlier run issued it, or it was made to look so.
    Elsewhere,
}

impl Issuer {
    /// Returns the issuer of a run, with a secret of its own.
    pub fn new(cx: &mut Context, valid: Duration) -> Self {
        Self {
            run: (cx.me, cx.incarnation),
            secret: cx.rng.random(),
            valid,
            next: (0, 0),
            used: BTreeSet::new(),
        }
    }

    /// Issues a key to an organisation.
    pub fn issue(&mut self, now: Time, organisation: OrganisationId) -> Uuid {
        let (millis, counter) = self.next.max((now.as_millis(), 0));
        self.next = if counter + 1 < 1 << COUNTER_BITS {
            (millis, counter + 1)
        } else {
            (millis + 1, 0)
        };
        let high = millis << 16 | VERSION | MARK_HIGH;
        let code = self.code(organisation, high, counter);
        let low = VARIANT | MARK_LOW << MARK_LOW_SHIFT | counter << CODE_BITS | code;
        Uuid::from_u64_pair(high, low)
    }

    /// Returns who issued a key.
    pub fn origin(&self, key: &Key) -> Origin {
        let (high, low) = key.uuid().as_u64_pair();
        let marked = high & MARK_MASK == MARK_HIGH && low >> MARK_LOW_SHIFT & MARK_MASK == MARK_LOW;
        if !marked {
            return Origin::Caller;
        }
        let counter = low >> CODE_BITS & ((1 << COUNTER_BITS) - 1);
        let code = low & ((1 << CODE_BITS) - 1);
        if self.code(key.organisation(), high, counter) == code {
            Origin::Here
        } else {
            Origin::Elsewhere
        }
    }

    /// Uses a key that was issued here.
    ///
    /// # Errors
    ///
    /// Fails if the key was used before or is no longer valid.
    pub fn take(&mut self, now: Time, key: Key) -> Result<(), Reason> {
        let limit = now - self.valid;
        while self.used.first().is_some_and(|used| used.time() <= limit) {
            self.used.pop_first();
        }
        if key.time() <= limit {
            Err(Reason::KeyTooOld)
        } else if self.used.insert(key) {
            Ok(())
        } else {
            Err(Reason::Duplicate)
        }
    }

    /// Takes back the use of a key that was certainly not sent to a target.
    pub fn give_back(&mut self, key: &Key) {
        self.used.remove(key);
    }

    fn code(&self, organisation: OrganisationId, high: u64, counter: u64) -> u64 {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any length will do");
        let (router, incarnation) = self.run;
        mac.update(&router.0.to_le_bytes());
        mac.update(&incarnation.0.to_le_bytes());
        mac.update(&organisation.0.to_le_bytes());
        mac.update(&high.to_le_bytes());
        mac.update(&counter.to_le_bytes());
        let sum = mac.finalize().into_bytes();
        let (head, _) = sum.split_first_chunk().expect("the sum is longer");
        u64::from_le_bytes(*head) & ((1 << CODE_BITS) - 1)
    }
}
