//! Splitting a stream of server-sent events into events.

use bytes::{Bytes, BytesMut};

/// The largest event that is accepted.
pub(super) const EVENT_BYTES_MAX: usize = 256 * 1024;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// The event as it arrived, with the blank line at its end.
    pub(super) raw: Bytes,
    /// The number of the token.
    pub(super) id: Option<u64>,
    /// Whether this is the end mark.
    pub(super) is_end: bool,
}

/// An event is larger than [`EVENT_BYTES_MAX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TooLarge;

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buf: BytesMut,
    /// How much of `buf` holds no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes that have arrived, after all whole events were taken out.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buf.len() > EVENT_BYTES_MAX {
            return Err(TooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Says whether there is the beginning of an event.
    pub(super) fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Takes out the next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.buf, self.scanned) else {
            // The blank line may straddle two pieces.
            self.scanned = self.buf.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        Some(Event::parse(self.buf.split_to(end).freeze()))
    }
}

impl Event {
    fn parse(raw: Bytes) -> Self {
        let mut id = None;
        let mut is_end = false;
        for line in raw.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = line.strip_prefix(b"id:") {
                id = str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.trim().parse().ok());
            } else if let Some(value) = line.strip_prefix(b"data:") {
                is_end = value.trim_ascii() == b"[DONE]";
            }
        }
        Self { raw, id, is_end }
    }

    /// Returns the data, if it is on one line.
    pub(super) fn data(&self) -> Option<&[u8]> {
        self.raw
            .split(|&byte| byte == b'\n')
            .find_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
    }
}

/// Returns where the first event ends, blank line included.
fn end_of_event(buf: &[u8], from: usize) -> Option<usize> {
    (from..buf.len()).find_map(|at| match &buf[at..] {
        [b'\n', b'\n', ..] => Some(at + 2),
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}
