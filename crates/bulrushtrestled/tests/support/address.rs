//! Addresses for the processes that tests start.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Returns an address of loopback that no other test uses.
///
/// Each one has an IP number of its own, made of the process and a count. A port that was only looked at
/// could be taken by another test before the daemon listens on it.
pub(crate) fn free_address() -> SocketAddr {
    const PORT: u16 = 9_000;
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    // 127.0.0.0/16 is left to everyone else.
    SocketAddr::from(([127, high | 0x80, low, host], PORT))
}
