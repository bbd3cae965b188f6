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
/// How long after the first complete read of a new era what was known before stays in force: the
/// platform promises that operators and targets have written their records again by then.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The newest record of each key of a topic, as this router has received it.
#[derive(Debug)]
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
    /// The last era in which the topic was known completely, and the first time as of which it was.
    completed: (u64, Time),
    /// The last era that has settled. The records of a later one may be those of an older copy, after
    /// which newer ones are written again.
    settled: u64,
    /// What is to be done because the store was restored.
    restored: Restored,
    /// Whether the receiver of a key's records detects outdated ones.
    is_versioned: fn(&str) -> bool,
}

/// What is to be done with records of a topic because the store was restored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Records that say what was in force before, at a new offset.
    pub again: Vec<Record>,
    /// Removals of keys whose records were lost and not written again. The keys were not removed by
    /// whoever wrote them.
    pub lost: Vec<Record>,
    /// Records of the older copy that take effect because no newer ones were written again.
    pub in_force: Vec<Record>,
}

#[derive(Debug)]
struct Held {
    /// The offset of the last record that said something new.
    changed: Offset,
    offset: Offset,
    digest: u64,
    value: Option<Vec<u8>>,
    /// The value of an earlier era, if it is still in force instead of this one.
    former: Option<Option<Vec<u8>>>,
}

impl Copy {
    /// Returns the copy of a topic of which nothing has been received.
    pub(super) fn new(is_versioned: fn(&str) -> bool) -> Self {
        Self {
            held: BTreeMap::new(),
            changes: BTreeSet::new(),
            removed: BTreeSet::new(),
            known: Offset::default(),
            forgotten: Offset::default(),
            as_of: None,
            completed: (0, Time::default()),
            settled: 0,
            restored: Restored::default(),
            is_versioned,
        }
    }

    /// Records that the store is in this era. A router that knows nothing of an earlier era takes the
    /// records of this one as they are.
    pub(super) fn begin_era(&mut self, era: u64) {
        if self.held.is_empty() {
            self.settled = era;
        }
    }

    /// Returns whether the topic is known completely in its present era, and has no value of a key.
    pub(super) fn lacks(&self, key: &str) -> bool {
        let era = self.known.era();
        let is_present = |held: &Held| held.offset.era() == era && held.value.is_some();
        self.completed.0 == era && !self.held.get(key).is_some_and(is_present)
    }

    /// Returns what is to be done because the store was restored.
    pub(super) fn take_restored(&mut self) -> Restored {
        core::mem::take(&mut self.restored)
    }

    /// Applies records, and returns those that are newer than what was known of their keys.
    pub(super) fn admit(&mut self, now: Time, records: Vec<Record>) -> Vec<Record> {
        self.forget_removed(now);
        let mut newer = records;
        newer.retain(|record| self.apply(now, record));
        newer
    }

    /// Applies the newest records of all keys as of a time at which the topic did not end before
    /// `end`. Keys without a record have been removed, unless what is known of them is of an earlier
    /// era. Returns what is new, removals included.
    pub(super) fn admit_all(
        &mut self,
        now: Time,
        records: Vec<Record>,
        end: Offset,
    ) -> Vec<Record> {
        let present: BTreeSet<&str> = records.iter().map(|record| &*record.key).collect();
        let last = Offset(end.0.saturating_sub(1));
        let is_gone = |(key, held): &(&String, &Held)| {
            held.value.is_some()
                && held.offset.era() == end.era()
                && held.offset < last
                && !present.contains(key.as_str())
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
    pub(super) fn on_complete(&mut self, now: Time, known: Offset, as_of: Time) {
        self.known = self.known.max(known);
        self.as_of = self.as_of.max(Some(as_of));
        let era = known.era();
        if era > self.completed.0 {
            self.completed = (era, as_of);
        }
        let (completed, since) = self.completed;
        if era > self.settled && era == completed && as_of >= since + SETTLE_TIME {
            self.settle(now, era);
        }
    }

    /// Ends what was known in earlier eras: keys without a record in this era are removed, and the
    /// records of this era take effect.
    fn settle(&mut self, now: Time, era: u64) {
        self.settled = era;
        let mut keys = Vec::new();
        for (key, held) in &mut self.held {
            let is_present = held.offset.era() == era;
            if is_present && held.former.take().is_some() {
                keys.push(key.clone());
            }
        }
        self.restored.in_force = keys.iter().filter_map(|key| self.record(key)).collect();
        // The last offset before this era is above that of every record lost and below that of every
        // record of this era.
        let last = Offset(Offset::in_era(era, 0).map_or(0, |first| first.0 - 1));
        let is_lost = |held: &Held| {
            let in_force = held.former.as_ref().unwrap_or(&held.value);
            in_force.is_some() && held.offset.era() < era
        };
        let lost = self.held.iter().filter(|(_, held)| is_lost(held));
        let lost: Vec<Record> = lost
            .map(|(key, _)| Record {
                key: key.clone(),
                offset: last,
                value: None,
                digest: last.0,
            })
            .collect();
        for record in &lost {
            self.insert(now, record, record.offset, None);
        }
        self.restored.lost = lost;
    }

    /// Returns what a router lacks that has all records below `known`, and the newest records of the
    /// keys that it names.
    pub(super) fn part(&self, now: Time, known: Offset, named: &[String]) -> TopicPart {
        // A router that knows only earlier eras needs every record of this one.
        let era_start = Offset::in_era(self.known.era(), 0).unwrap_or_default();
        let known = known.max(era_start);
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

    /// Applies a record, and returns whether it takes effect: it is newer than the last one of its key,
    /// and it neither repeats what was in force before a restore nor may be an outdated one.
    fn apply(&mut self, now: Time, record: &Record) -> bool {
        let before = self.held.get(&record.key);
        if before.is_some_and(|held| held.offset >= record.offset) {
            return false;
        }
        let is_change = before.is_none_or(|held| {
            held.digest != record.digest
                || held.value.is_some() != record.value.is_some()
                // Whoever lacks records of this era has to learn that the key has one.
                || held.offset.era() != record.offset.era()
        });
        let changed = match before {
            Some(held) if !is_change => held.changed,
            _ => record.offset,
        };
        let Some(held) = before.filter(|_| record.offset.era() > self.settled) else {
            self.insert(now, record, changed, None);
            return true;
        };
        let in_force = held.former.as_ref().unwrap_or(&held.value);
        if *in_force == record.value {
            self.restored.again.push(record.clone());
            self.insert(now, record, changed, None);
            return false;
        }
        let may_be_outdated = !(self.is_versioned)(&record.key)
            && held.offset.era() < record.offset.era()
            && (held.former.is_some() || record.offset.position() <= held.offset.position());
        let former = may_be_outdated.then(|| in_force.clone());
        self.insert(now, record, changed, former);
        !may_be_outdated
    }

    fn insert(
        &mut self,
        now: Time,
        record: &Record,
        changed: Offset,
        former: Option<Option<Vec<u8>>>,
    ) {
        if let Some(before) = self.held.get(&record.key) {
            self.changes.remove(&(before.changed, record.key.clone()));
        }
        self.changes.insert((changed, record.key.clone()));
        if record.value.is_none() {
            self.removed.insert((now, record.key.clone()));
        }
        let held = Held {
            changed,
            offset: record.offset,
            digest: record.digest,
            value: record.value.clone(),
            former,
        };
        self.held.insert(record.key.clone(), held);
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
