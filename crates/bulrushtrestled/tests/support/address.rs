//! Listen addresses for the processes that tests start.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Returns a loopback address that no other test uses.
///
/// Each address has its own IP, derived from the process id and a counter. A port that was only
/// probed
/// could be taken by another test before the daemon listens on it.
pub(crate) fn free_address() -> SocketAddr {
    const PORT: u16 = 9_000;
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    // 127.0.0.0/16 is left to other programs.
    SocketAddr::from(([127, high | 0x80, low, host], PORT))
}
