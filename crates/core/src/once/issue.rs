//! Keys that a router issues itself, for use while the log is unavailable.
//!
//! An issued key is a valid UUID of version 7. Its 74 free bits hold a fixed mark, a counter and an
//! authentication code over the organisation, the router and its incarnation. Every router
//! recognises the mark and does not run the key unless it can verify the code, which only the
//! issuing incarnation can. One in 2^24 ordinary keys carries the mark by chance. Such a key is
//! refused, and its caller has to generate another one. One in 2^36 issued keys of another run
//! verifies by chance.

use std::collections::BTreeSet;

use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use sha2::Sha256;
use uuid::Uuid;

use crate::once::Key;
use crate::prelude::*;

/// The upper half of the mark of issued keys, in the bits after the version.
const MARK_HIGH: u64 = 0xb57;
/// The lower half of the mark of issued keys, in the bits after the variant.
const MARK_LOW: u64 = 0x72e;
/// The width of the counter, in bits.
const COUNTER_BITS: u32 = 14;
/// The width of the authentication code, in bits.
const CODE_BITS: u32 = 36;
/// The position of the lower half of the mark in the lower half of the UUID.
const MARK_LOW_SHIFT: u32 = COUNTER_BITS + CODE_BITS;
/// A bit mask with the width of one half of the mark.
const MARK_MASK: u64 = 0xfff;
/// The version field of a UUID of version 7, within the upper half.
const VERSION: u64 = 0x7000;
/// The variant field of a UUID of version 7, within the lower half.
const VARIANT: u64 = 1 << 63;

/// Issues keys and records which of them were used.
#[derive(Debug)]
pub struct Issuer {
    run: (RouterId, Incarnation),
    secret: [u8; 32],
    valid: Duration,
    /// The earliest time, in milliseconds, and the counter of the next key.
    next: (u64, u64),
    used: BTreeSet<Key>,
}

/// The source of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The caller generated the key.
    Caller,
    /// This run of this router issued the key to this organisation.
    Here,
    /// Another router or an earlier run issued the key, or the key was forged.
    Elsewhere,
}

impl Issuer {
    /// Returns the issuer of a run, with a new random secret.
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

    /// Returns the source of a key.
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

    /// Marks a key that this issuer issued as used.
    ///
    /// # Errors
    ///
    /// Fails if the key was used before or is no longer valid.
    pub fn mark_used(&mut self, now: Time, key: Key) -> Result<(), Reason> {
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

    /// Marks a key as unused again. The request of the key was certainly not sent to a target.
    pub fn unmark_used(&mut self, key: &Key) {
        self.used.remove(key);
    }

    fn code(&self, organisation: OrganisationId, high: u64, counter: u64) -> u64 {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        let (router, incarnation) = self.run;
        mac.update(&router.0.to_le_bytes());
        mac.update(&incarnation.0.to_le_bytes());
        mac.update(&organisation.0.to_le_bytes());
        mac.update(&high.to_le_bytes());
        mac.update(&counter.to_le_bytes());
        let tag = mac.finalize().into_bytes();
        let (head, _) = tag.split_first_chunk().expect("the tag has 32 bytes");
        u64::from_le_bytes(*head) & ((1 << CODE_BITS) - 1)
    }
}
