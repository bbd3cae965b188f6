//! The memory use of the process, as reported by the kernel.

use std::fs;

/// The size of a memory page on the supported machines, in bytes.
const PAGE_BYTES: i64 = 4096;

/// Returns the resident memory in bytes, or zero if the kernel does not report it.
pub(crate) fn resident_bytes() -> i64 {
    fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|statm| statm.split_whitespace().nth(1)?.parse::<i64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}
