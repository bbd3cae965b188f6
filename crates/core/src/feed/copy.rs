//! The newest records of one topic.

use std::collections::{BTreeMap, BTreeSet};

use crate::feed::message::{Record, TopicPart};
use crate::prelude::*;

/// The size at which the records of an answer are closed, in bytes.
const PART_BYTES: usize = 64 * 1024;
/// The largest record that is passed on, in bytes: it has to fit into a frame with others.
const RECORD_BYTES_MAX: usize = 512 * 1024;
/// How long removed keys are kept. A router that lags further reads the store itself.
const REMOVED_KEPT: Duration = Duration::from_secs(60);

/// The newest record of each key of a topic, as this router has received it.
#[derive(Debug, Default)]
pub(super) struct Copy {
    held: BTreeMap<String, Held>,
    /// The keys in the order of their last changes.
    changes: BTreeSet<(Offset, String)>,
    /// The keys that were removed, in the order of the times at which this router learnt it.
    removed: BTreeSet<(Time, String)>,
    /// All records below this offset are here.
    pub(super) known: Offset,
    /// Removed keys whose last change is below this offset may be missing.
    forgotten: Offset,
    /// The latest time as of which certainly no record was missing here.
    pub(super) as_of: Option<Time>,
}

#[derive(Debug)]
struct Held {
    /// The offset of the last record that said something new.
    changed: Offset,
    offset: Offset,
    digest: u64,
    value: Option<Vec<u8>>,
}

impl Copy {
    /// Applies records, and returns those that are newer than what was known of their keys.
    pub(super) fn admit(&mut self, now: Time, records: Vec<Record>) -> Vec<Record> {
        self.forget_removed(now);
        let mut newer = records;
        newer.retain(|record| self.apply(now, record));
        newer
    }

    /// Applies the newest records of all keys as of a time at which the topic did not end before
    /// `end`. Keys without a record have been removed. Returns what is new, removals included.
    pub(super) fn admit_all(
        &mut self,
        now: Time,
        records: Vec<Record>,
        end: Offset,
    ) -> Vec<Record> {
        let present: BTreeSet<&str> = records.iter().map(|record| &*record.key).collect();
        let last = Offset(end.0.saturating_sub(1));
        let is_gone = |(key, held): &(&String, &Held)| {
            held.value.is_some() && held.offset < last && !present.contains(key.as_str())
        };
        let gone: Vec<Record> = self
            .held
            .iter()
            .filter(is_gone)
            .map(|(key, _)| Record {
                key: key.clone(),
                offset: last,
                value: None,
                digest: last.0,
            })
            .collect();
        let mut all = records;
        all.extend(gone);
        self.admit(now, all)
    }

    /// Records that all records below `known` are here, and that there were no others at `as_of`.
    pub(super) fn on_complete(&mut self, known: Offset, as_of: Time) {
        self.known = self.known.max(known);
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Returns what a router lacks that has all records below `known`, and the newest records of the
    /// keys that it names.
    pub(super) fn part(&self, now: Time, known: Offset, named: &[String]) -> TopicPart {
        let lags_too_far = known > Offset(0) && known < self.forgotten;
        if lags_too_far {
            return TopicPart::default();
        }
        let mut part = TopicPart {
            known: self.known,
            age_ms: self.age_ms(now),
            ..TopicPart::default()
        };
        let mut bytes = 0;
        for (changed, key) in self.changes.range((known, String::new())..) {
            let Some(record) = self.record(key) else {
                continue;
            };
            let size = record.value.as_ref().map_or(0, Vec::len) + key.len();
            if size > RECORD_BYTES_MAX || bytes > 0 && bytes + size > PART_BYTES {
                part.known = *changed;
                part.age_ms = None;
                return part;
            }
            bytes += size;
            part.records.push(record);
        }
        let named = named.iter().filter_map(|key| self.record(key));
        part.records.extend(named);
        part
    }

    fn age_ms(&self, now: Time) -> Option<u32> {
        u32::try_from(now.since(self.as_of?).as_millis()).ok()
    }

    fn record(&self, key: &str) -> Option<Record> {
        let held = self.held.get(key)?;
        Some(Record {
            key: key.to_owned(),
            offset: held.offset,
            value: held.value.clone(),
            digest: held.digest,
        })
    }

    /// Applies a record, and returns whether it is newer than the last one of its key.
    fn apply(&mut self, now: Time, record: &Record) -> bool {
        let before = self.held.get(&record.key);
        if before.is_some_and(|held| held.offset >= record.offset) {
            return false;
        }
        let is_change = before.is_none_or(|held| {
            held.digest != record.digest || held.value.is_some() != record.value.is_some()
        });
        let changed = match before {
            Some(held) if !is_change => held.changed,
            Some(held) => {
                self.changes.remove(&(held.changed, record.key.clone()));
                record.offset
            }
            None => record.offset,
        };
        self.changes.insert((changed, record.key.clone()));
        if record.value.is_none() {
            self.removed.insert((now, record.key.clone()));
        }
        let held = Held {
            changed,
            offset: record.offset,
            digest: record.digest,
            value: record.value.clone(),
        };
        self.held.insert(record.key.clone(), held);
        true
    }

    /// Drops the keys that were removed long ago.
    fn forget_removed(&mut self, now: Time) {
        while let Some((at, key)) = self.removed.first().cloned()
            && now.since(at) >= REMOVED_KEPT
        {
            self.removed.pop_first();
            let is_removed = |held: &&Held| held.value.is_none();
            let Some(changed) = self.held.get(&key).filter(is_removed).map(|it| it.changed) else {
                continue;
            };
            self.held.remove(&key);
            self.changes.remove(&(changed, key));
            self.forgotten = self.forgotten.max(Offset(changed.0 + 1));
        }
    }
}
