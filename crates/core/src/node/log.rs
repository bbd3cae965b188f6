//! Reading the platform's log.

use crate::catalogue::Applied;
use crate::input::{LogEvent, LogRecord};
use crate::node::Node;
use crate::output::Output;
use crate::prelude::*;
use crate::record::Record;

/// How far the log has been read.
#[derive(Debug)]
pub(super) struct Reader {
    /// The next offset to apply.
    pub(super) applied: Offset,
    /// When everything up to the log's tail was applied, as seen last.
    pub(super) current: Option<Time>,
    /// Whether the last read failed.
    pub(super) down: bool,
    /// When the next read is due; `None` while one is under way.
    pub(super) next: Option<Time>,
}

impl Reader {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            applied: Offset(0),
            current: None,
            down: false,
            next: Some(now),
        }
    }

    /// Says whether the router has caught up with the log since it started.
    pub(super) const fn is_ready(&self) -> bool {
        self.current.is_some()
    }
}

impl Node {
    pub(super) fn on_log(&mut self, event: LogEvent) {
        match event {
            LogEvent::Read {
                records,
                tail,
                first: _,
            } => self.on_read(&records, tail),
            LogEvent::ReadFailed => self.on_read_failed(),
            LogEvent::Appended(..) => {}
            LogEvent::AppendFailed(_) | LogEvent::AppendUnknown(_) => {
                self.cx.count(Counter::AppendUnanswered);
            }
        }
    }

    pub(super) fn read_if_due(&mut self) {
        if self.reader.next.is_some_and(|next| next <= self.cx.now) {
            self.reader.next = None;
            self.cx.out.push(Output::Read {
                from: self.reader.applied,
            });
        }
    }

    fn on_read(&mut self, records: &[LogRecord], tail: Offset) {
        for record in records {
            if record.offset < self.reader.applied {
                self.cx.count(Counter::RecordRepeated);
                continue;
            }
            self.reader.applied = Offset(record.offset.0 + 1);
            self.apply(record);
        }
        if self.reader.down {
            self.reader.down = false;
            self.cx.notice(NoticeKind::Log, "the log is back");
        }
        if self.reader.applied >= tail {
            if !self.reader.is_ready() {
                self.cx
                    .notice(NoticeKind::Readiness, "caught up with the log");
            }
            self.reader.current = Some(self.cx.now);
        }
        self.reader.next = Some(self.cx.now);
    }

    fn on_read_failed(&mut self) {
        if !self.reader.down {
            self.reader.down = true;
            self.cx.notice(NoticeKind::Log, "the log cannot be read");
        }
        self.reader.next = Some(self.cx.now + self.cfg.read_retry);
    }

    fn apply(&mut self, record: &LogRecord) {
        match Record::decode(&record.bytes) {
            Err(_) => self.cx.count(Counter::RecordInvalid),
            Ok(Record::Edit(edit)) => match self.catalogue.apply(record.offset, &edit) {
                Applied::Accepted => {}
                Applied::Repeated => self.cx.count(Counter::RecordRepeated),
                Applied::Conflict { .. } => self.cx.count(Counter::EditConflict),
                Applied::Invalid(_) => self.cx.count(Counter::RecordInvalid),
            },
            Ok(Record::Refresh(refresh)) => {
                for copy in &refresh.entries {
                    self.catalogue.merge(copy);
                }
            }
            Ok(Record::Claims(_) | Record::Lease(_) | Record::Move(_)) => {}
        }
    }
}
