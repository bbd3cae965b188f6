//! The head of an answer, as far as callers need it.

use std::time::Duration;

/// What the head of an answer says.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head {
    pub(crate) status: u16,
    /// When the caller may come back.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the router closes the connection.
    pub(crate) closes: bool,
    /// The size of the body; nothing if it comes in chunks.
    length: Option<usize>,
    /// Where the body begins.
    end: usize,
}

impl Head {
    /// Reads a head, once it is whole.
    pub(crate) fn parse(buf: &[u8]) -> Option<Self> {
        const END: &[u8] = b"\r\n\r\n";
        let end = buf.windows(END.len()).position(|bytes| bytes == END)?;
        let text = str::from_utf8(&buf[..end]).ok()?;
        let header = |name: &str| {
            text.lines().skip(1).find_map(|line| {
                let (found, value) = line.split_once(':')?;
                found.eq_ignore_ascii_case(name).then(|| value.trim())
            })
        };
        let seconds = header("retry-after").and_then(|text| text.parse().ok());
        Some(Self {
            status: text.split(' ').nth(1)?.parse().ok()?,
            retry_after: seconds.map(Duration::from_secs_f64),
            closes: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            length: header("content-length").and_then(|text| text.parse().ok()),
            end: end + END.len(),
        })
    }

    /// Says whether something of the body has come.
    pub(crate) const fn has_begun(&self, buf: &[u8]) -> bool {
        buf.len() > self.end
    }

    /// Says whether the whole answer has come.
    pub(crate) fn is_whole(&self, buf: &[u8]) -> bool {
        match self.length {
            Some(length) => buf.len() >= self.end + length,
            None => buf[self.end..].ends_with(b"0\r\n\r\n"),
        }
    }
}
