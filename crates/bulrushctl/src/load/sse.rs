//! A parser for the subset of server-sent events that chat answers use.

/// The data of the event after the last token.
const END_MARK: &str = "[DONE]";

/// An event of a chat answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Event {
    /// A token.
    Token {
        /// The id of the event as a number, if the event has one.
        number: Option<u64>,
        /// The data of the event: a chunk in JSON.
        data: String,
    },
    /// The end mark that follows the last token.
    End,
    /// An error that the router reports in the middle of an answer.
    Problem,
}

/// An incremental parser that accepts bytes as they arrive.
#[derive(Debug, Default)]
pub(super) struct Parser {
    line: Vec<u8>,
    id: Option<u64>,
    event: Option<String>,
    data: Option<String>,
}

impl Parser {
    /// Parses bytes and calls `on_event` for each event that they complete.
    pub(super) fn push(&mut self, bytes: &[u8], mut on_event: impl FnMut(Event)) {
        for &byte in bytes {
            if byte != b'\n' {
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let text = String::from_utf8_lossy(&line);
            if let Some(event) = self.parse_line(text.trim_end_matches('\r')) {
                on_event(event);
            }
        }
    }

    fn parse_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            return self.finish_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = value.parse().ok(),
            "event" => self.event = Some(value.to_owned()),
            "data" => self.data = Some(value.to_owned()),
            _ => {}
        }
        None
    }

    fn finish_event(&mut self) -> Option<Event> {
        let (id, event, data) = (self.id.take(), self.event.take(), self.data.take());
        let data = data?;
        Some(match event.as_deref() {
            None | Some("message") if data == END_MARK => Event::End,
            None | Some("message") => Event::Token { number: id, data },
            Some(_) => Event::Problem,
        })
    }
}
