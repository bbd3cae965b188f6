//! Splits a stream of server-sent events into events.

use bytes::{Bytes, BytesMut};

/// The most bytes that may be buffered without the end of an event. A stream with a larger event
/// is rejected.
pub(super) const EVENT_BYTES_MAX: usize = 256 * 1024;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    /// The event as received, including the blank line at its end.
    pub(super) raw: Bytes,
    /// The number in the `id` field, which is the number of the token in the answer.
    pub(super) id: Option<u64>,
    /// Whether the event is the end mark of the stream, `[DONE]`.
    pub(super) is_end: bool,
    /// Whether the event has no field, as one that only keeps the connection open.
    pub(super) is_comment: bool,
}

/// The error for an event larger than [`EVENT_BYTES_MAX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TooLarge;

/// Buffers received bytes until they contain a complete event.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buf: BytesMut,
    /// The length of the start of `buf` that contains no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Adds received bytes. All complete events must have been taken out with [`Self::next`]
    /// before.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buf.len() > EVENT_BYTES_MAX {
            return Err(TooLarge);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns whether bytes remain that are not yet a complete event.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the next complete event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.buf, self.scanned) else {
            // The blank line may be split between two chunks.
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
        let mut is_comment = true;
        for line in raw.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            is_comment &= line.first().is_none_or(|&first| first == b':');
            if let Some(value) = line.strip_prefix(b"id:") {
                id = str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.trim().parse().ok());
            } else if let Some(value) = line.strip_prefix(b"data:") {
                is_end = value.trim_ascii() == b"[DONE]";
            }
        }
        Self {
            raw,
            id,
            is_end,
            is_comment,
        }
    }

    /// Returns the value of the first `data` line, if there is one.
    pub(super) fn data(&self) -> Option<&[u8]> {
        self.raw
            .split(|&byte| byte == b'\n')
            .find_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
    }
}

/// Returns the offset behind the first event and its blank line, scanning from offset `from`.
fn end_of_event(buf: &[u8], from: usize) -> Option<usize> {
    (from..buf.len()).find_map(|at| match &buf[at..] {
        [b'\n', b'\n', ..] => Some(at + 2),
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}
