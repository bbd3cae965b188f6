//! Lines for changes of state. Everything else is counted.

use std::time::UNIX_EPOCH;

use bulrushtrestle_core::output::{Notice, NoticeKind};
use logforth::append::Stderr;
use logforth::core::Logger;
use logforth::record::{Level, Record};
use logforth::{Diagnostic, Layout};

/// Writes one line for each change of state to the standard error stream.
#[derive(Debug)]
pub(crate) struct Journal(Logger);

/// Lines of the time in milliseconds since the Unix epoch, the level, the kind and the subject.
#[derive(Debug)]
struct Lines;

impl Journal {
    /// Opens the journal.
    pub(crate) fn new() -> Self {
        let logger = logforth::core::builder()
            .dispatch(|dispatch| dispatch.append(Stderr::default().with_layout(Lines)))
            .build();
        Self(logger)
    }

    /// Writes a change of state that the node saw.
    pub(crate) fn notice(&self, notice: &Notice) {
        self.line(name(notice.kind), &notice.subject);
    }

    /// Writes a change of state of the process itself.
    pub(crate) fn line(&self, kind: &str, subject: &str) {
        let builder = Record::builder().level(Level::Info).target(kind);
        self.0
            .log(&builder.payload(format_args!("{subject}")).build());
    }
}

impl Layout for Lines {
    fn format(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        let time = record.time().duration_since(UNIX_EPOCH);
        let line = format!(
            "{} {} {}: {}",
            time.unwrap_or_default().as_millis(),
            record.level().name(),
            record.target(),
            record.payload(),
        );
        Ok(line.into_bytes())
    }
}

const fn name(kind: NoticeKind) -> &'static str {
    match kind {
        NoticeKind::Readiness => "readiness",
        NoticeKind::Log => "log",
        NoticeKind::Peer => "peer",
        NoticeKind::Catalogue => "catalogue",
        NoticeKind::Target => "target",
        NoticeKind::Version => "version",
        NoticeKind::Lease => "lease",
        NoticeKind::Quarantine => "quarantine",
        NoticeKind::Stop => "stop",
    }
}
