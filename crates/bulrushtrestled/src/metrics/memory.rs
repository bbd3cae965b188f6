//! The memory of the process, as the kernel shows it.

use std::fs;

/// The size of a page on the machines that this runs on.
const PAGE_BYTES: i64 = 4096;

/// Returns the resident memory, or zero where the kernel does not show it.
pub(crate) fn resident_bytes() -> i64 {
    fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|statm| statm.split_whitespace().nth(1)?.parse::<i64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}
