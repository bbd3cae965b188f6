//! Reading a stream of server-sent events, as far as chat answers use them.

/// The data of the event after the last token.
const END_MARK: &str = "[DONE]";

/// What an event means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Event {
    /// A token.
    Token {
        /// Its number, if the event has one.
        number: Option<u64>,
        /// Its chunk.
        data: String,
    },
    /// The end mark.
    End,
    /// A problem that the router reports in the middle of an answer.
    Problem,
}

/// A reader that takes bytes as they arrive.
#[derive(Debug, Default)]
pub(super) struct Reader {
    line: Vec<u8>,
    id: Option<u64>,
    event: Option<String>,
    data: Option<String>,
}

impl Reader {
    /// Takes bytes and passes on the events that they complete.
    pub(super) fn take(&mut self, bytes: &[u8], mut on_event: impl FnMut(Event)) {
        for &byte in bytes {
            if byte != b'\n' {
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let text = String::from_utf8_lossy(&line);
            if let Some(event) = self.line(text.trim_end_matches('\r')) {
                on_event(event);
            }
        }
    }

    fn line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            return self.dispatch();
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

    fn dispatch(&mut self) -> Option<Event> {
        let (id, event, data) = (self.id.take(), self.event.take(), self.data.take());
        let data = data?;
        Some(match event.as_deref() {
            None | Some("message") if data == END_MARK => Event::End,
            None | Some("message") => Event::Token { number: id, data },
            Some(_) => Event::Problem,
        })
    }
}
