//! Reading the platform's log, and appending entries again before they age out of it.

use crate::catalogue::message::{Refresh, Stored};
use crate::catalogue::{Applied, Catalogue, Retention};
use crate::input::{LogEvent, LogRecord};
use crate::lease::message::Lease;
use crate::membership;
use crate::node::{CatalogueSource, Node};
use crate::output::Output;
use crate::prelude::*;
use crate::record::Record;

/// The most entries in one refresh record.
const COPIES_PER_RECORD_MAX: usize = 100;
/// The rendezvous key of the router that appends entries again.
const REFRESH_KEY: u64 = u64::MAX;

/// The state of reading the log.
#[derive(Debug)]
pub(super) struct Reader {
    /// The next offset to read.
    pub(super) applied: Offset,
    /// Every edit below this offset is in the catalogue, read from the log or received from a peer.
    pub(super) known: Offset,
    /// The oldest offset that the log still keeps.
    pub(super) first: Offset,
    /// The latest time at which the log certainly held nothing that this router had not applied.
    pub(super) current_at: Option<Time>,
    /// Whether the last read failed.
    pub(super) down: bool,
    /// When a read last failed.
    pub(super) last_failure: Option<Time>,
    /// When each entry was last written to the log.
    pub(super) retention: Retention,
    /// When the next read is due; `None` while one is in progress.
    next: Option<Time>,
    /// When the latest read was sent.
    sent: Time,
    /// When copies of entries were appended that have not been read back; `None` if there are none.
    copies_sent: Option<Time>,
}

impl Reader {
    pub(super) fn new(now: Time) -> Self {
        Self {
            applied: Offset(0),
            known: Offset(0),
            first: Offset(0),
            current_at: None,
            down: false,
            last_failure: None,
            retention: Retention::new(),
            next: Some(now),
            sent: now,
            copies_sent: None,
        }
    }
}

impl Node {
    pub(super) fn on_log(&mut self, event: LogEvent) {
        match event {
            LogEvent::Read {
                records,
                tail,
                first,
            } => self.on_read(&records, tail, first),
            LogEvent::ReadFailed => self.on_read_failed(),
            LogEvent::Appended(id, _) => self.on_claims_appended(id, false),
            LogEvent::AppendFailed(id) => {
                self.leases.on_append_failed(id);
                self.on_claims_appended(id, true);
                self.cx.count(Counter::AppendUnanswered);
            }
            LogEvent::AppendUnknown(id) => {
                self.on_claims_appended(id, false);
                self.cx.count(Counter::AppendUnanswered);
            }
        }
    }

    pub(super) fn read_if_due(&mut self) {
        let on_log = self.cfg.log.source == CatalogueSource::Log;
        if on_log && self.reader.next.is_some_and(|next| next <= self.cx.now) {
            self.reader.next = None;
            self.reader.sent = self.cx.now;
            self.cx.out.push(Output::Read {
                from: self.reader.applied,
            });
        }
    }

    /// Appends entries again that would age out, if this router holds the lease for it.
    pub(super) fn refresh_if_due(&mut self) {
        let now = self.cx.now;
        let half = self.cfg.log.retention / 2;
        let waiting = self
            .reader
            .copies_sent
            .is_some_and(|sent| now < sent + self.cfg.lease.term);
        if waiting
            || self
                .reader
                .retention
                .older_than(now - half)
                .next()
                .is_none()
        {
            return;
        }
        if membership::owner(REFRESH_KEY, self.members.live(now)) != Some(self.cx.me) {
            return;
        }
        self.leases.claim_if_due(&mut self.cx, Lease::Refresh);
        let Some(fence) = self.leases.held(now, Lease::Refresh) else {
            return;
        };
        let due = self
            .reader
            .retention
            .older_than(now - half)
            .take(COPIES_PER_RECORD_MAX);
        let entries: Vec<Stored> = due
            .filter_map(|created| self.catalogue.stored_by_id(created).cloned())
            .collect();
        self.cx.append(&Record::Refresh(Refresh {
            fence: fence.0,
            entries,
        }));
        self.reader.copies_sent = Some(now);
    }

    fn on_read(&mut self, records: &[LogRecord], tail: Offset, first: Offset) {
        self.reader.first = first;
        let next = records.first().map(|record| record.at);
        self.once
            .on_read(self.cx.now, first, self.reader.applied, next);
        if self.reader.applied < first {
            self.reset_catalogue(first);
        }
        for record in records {
            if record.offset < self.reader.applied {
                self.cx.count(Counter::RecordRepeated);
                continue;
            }
            self.reader.applied = Offset(record.offset.0 + 1);
            self.once.on_age(record.offset, record.at);
            self.apply(record);
        }
        self.on_read_answered();
        if self.reader.applied >= tail {
            self.catalogue.on_tail_reached();
            self.reader.current_at = Some(self.reader.sent);
            self.reader.known = self.reader.known.max(self.reader.applied);
        }
        self.reader.next = Some(self.cx.now);
    }

    pub(super) fn on_read_answered(&mut self) {
        if self.reader.down {
            self.reader.down = false;
            self.cx.notice(NoticeKind::Log, "the log can be read again");
        }
    }

    /// Discards the catalogue, because edits that were never read have aged out.
    fn reset_catalogue(&mut self, first: Offset) {
        self.reader.applied = first;
        self.reader.known = Offset(0);
        self.reader.current_at = None;
        self.catalogue = Catalogue::with_truncated_log();
        self.cx.notice(
            NoticeKind::Catalogue,
            "records aged out before they were read; rebuilding the catalogue from the log",
        );
    }

    pub(super) fn on_read_failed(&mut self) {
        self.reader.last_failure = Some(self.cx.now);
        if !self.reader.down {
            self.reader.down = true;
            self.cx.notice(NoticeKind::Log, "the log cannot be read");
        }
        self.reader.next = Some(self.cx.now + self.cfg.log.retry);
    }

    fn apply(&mut self, record: &LogRecord) {
        match Record::decode(&record.bytes) {
            Err(_) => self.cx.count(Counter::RecordInvalid),
            Ok(Record::Edit(edit)) => {
                let applied = self.catalogue.apply(record.offset, &edit);
                self.count_applied(&applied);
                let (kind, name) = edit.change.subject();
                if let Some(stored) = self.catalogue.stored(kind, name)
                    && stored.revision == record.offset
                {
                    self.reader.retention.on_record(stored.created, record.at);
                }
            }
            Ok(Record::Refresh(refresh)) => {
                for copy in &refresh.entries {
                    self.catalogue.merge(copy);
                    self.reader.retention.on_record(copy.created, record.at);
                }
                self.reader.copies_sent = None;
            }
            Ok(Record::Lease(claim)) => {
                let first = self.reader.first;
                self.leases
                    .on_record(&mut self.cx, record.offset, first, &claim);
            }
            Ok(Record::Move(step)) => self.moves.on_record(&mut self.cx, &step),
            Ok(Record::Claims(batch)) => self.on_claims(&batch),
        }
    }

    fn count_applied(&mut self, applied: &Applied) {
        match applied {
            Applied::Accepted | Applied::Undecided => {}
            Applied::Repeated => self.cx.count(Counter::RecordRepeated),
            Applied::Conflict { .. } => self.cx.count(Counter::EditConflict),
            Applied::Invalid(_) => self.cx.count(Counter::RecordInvalid),
        }
    }
}
