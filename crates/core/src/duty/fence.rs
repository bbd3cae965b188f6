//! The fencing number: the store's era in the high half, a counter in the low half. It rises also when
//! a restored store has forgotten claims.

use crate::key::Fence;

const COUNTER_BITS: u32 = 32;
/// The largest era of a fencing number, so that the number is a positive signed integer.
pub(super) const ERA_MAX: u64 = u64::MAX >> (COUNTER_BITS + 1);

pub(super) const fn new(era: u64, counter: u64) -> Fence {
    Fence(era << COUNTER_BITS | counter)
}

pub(super) const fn era(fence: Fence) -> u64 {
    fence.0 >> COUNTER_BITS
}

pub(super) const fn counter(fence: Fence) -> u64 {
    fence.0 & (u64::MAX >> COUNTER_BITS)
}
