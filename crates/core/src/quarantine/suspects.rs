//! What is known of requests that were at a crash.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::quarantine::Config;
use crate::quarantine::message::Entry;

/// The most targets in one list of an entry.
const TARGETS_MAX: usize = 4;

/// The entries of a router. They only merge: the order and the number of times in which routers hear of
/// the same entries makes no difference.
#[derive(Debug)]
pub struct Book {
    cfg: Config,
    entries: BTreeMap<Fingerprint, Entry>,
    /// The latest crashes that this router heard of.
    recent: VecDeque<(Time, TargetId)>,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It may run like any other.
    Clear,
    /// It may run alone.
    Suspect,
    /// It may not run.
    Quarantined,
}

impl Book {
    /// Returns a book without entries.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Notes that a target crashed while it ran a request, and returns the entry for the peers.
    pub fn crash(&mut self, now: Time, fingerprint: Fingerprint, target: TargetId) -> Entry {
        let expires = now + self.cfg.suspect_for;
        self.change(now, fingerprint, expires, |entry| {
            insert(&mut entry.crashed, target);
        })
    }

    /// Notes that a request crashed a target on which it was alone.
    pub fn condemn(&mut self, now: Time, fingerprint: Fingerprint) -> Entry {
        let expires = now + self.cfg.quarantine_for;
        self.change(now, fingerprint, expires, |entry| entry.quarantined = true)
    }

    /// Notes that a presumed crash was none.
    pub fn excuse(&mut self, now: Time, fingerprint: Fingerprint, target: TargetId) -> Entry {
        self.change(now, fingerprint, now, |entry| {
            insert(&mut entry.cleared, target);
        })
    }

    /// Notes that a request ran to its end, and returns the entry if it was suspected before.
    pub fn finish(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Entry> {
        if !self.entries.get(&fingerprint)?.is_open() {
            return None;
        }
        Some(self.change(now, fingerprint, now, |entry| {
            entry.cleared.clone_from(&entry.crashed);
        }))
    }

    /// Takes in an entry of a peer.
    pub fn merge(&mut self, now: Time, heard: &Entry) {
        let latest = now + self.cfg.quarantine_for;
        if heard.expires <= now || heard.crashed.len().max(heard.cleared.len()) > TARGETS_MAX {
            return;
        }
        self.change(now, heard.fingerprint, heard.expires.min(latest), |entry| {
            heard.crashed.iter().for_each(|&target| {
                insert(&mut entry.crashed, target);
            });
            heard.cleared.iter().for_each(|&target| {
                insert(&mut entry.cleared, target);
            });
            entry.quarantined |= heard.quarantined;
        });
    }

    /// Returns what may be done with a request.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> SuspectStatus {
        let entry = self.entries.get(&fingerprint);
        let Some(entry) = entry.filter(|entry| entry.expires > now) else {
            return SuspectStatus::Clear;
        };
        if entry.quarantined {
            return SuspectStatus::Quarantined;
        }
        if entry.is_open() {
            SuspectStatus::Suspect
        } else {
            SuspectStatus::Clear
        }
    }

    /// Returns the targets that crashed while they ran a request.
    pub fn crashed(&self, fingerprint: Fingerprint) -> &[TargetId] {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(&[], |entry| &entry.crashed)
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Says whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn change(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        expires: Time,
        change: impl FnOnce(&mut Entry),
    ) -> Entry {
        self.make_room(fingerprint);
        let entry = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Entry::new(fingerprint, expires));
        entry.expires = entry.expires.max(expires);
        let before = entry.crashed.clone();
        change(entry);
        let began = entry.expires - self.cfg.suspect_for;
        let is_recent = !entry.quarantined && began + self.cfg.storm_window >= now;
        if is_recent {
            let new = entry.crashed.iter().filter(|t| !before.contains(t));
            let new: Vec<TargetId> = new.copied().collect();
            for target in new {
                self.note_crash(now, target);
            }
            self.clear_in_storm(fingerprint);
        }
        self.entries[&fingerprint].clone()
    }

    /// Drops the entry that would expire first if the book is full.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.entries.len() < self.cfg.entries_max || self.entries.contains_key(&fingerprint) {
            return;
        }
        let first = self.entries.values().min_by_key(|entry| entry.expires);
        if let Some(first) = first.map(|entry| entry.fingerprint) {
            self.entries.remove(&first);
        }
    }

    /// Notes that a target crashed. With the crash that makes a storm of several, what was at the
    /// earlier ones is cleared.
    fn note_crash(&mut self, now: Time, target: TargetId) {
        let oldest = now - self.cfg.storm_window;
        self.recent
            .retain(|&(at, other)| at >= oldest && other != target);
        self.recent.push_back((now, target));
        if self.recent.len() == self.cfg.storm {
            let all: Vec<Fingerprint> = self.entries.keys().copied().collect();
            all.into_iter().for_each(|one| self.clear_in_storm(one));
        }
    }

    /// Clears a request that was at one target only if that crashed together with several others.
    fn clear_in_storm(&mut self, fingerprint: Fingerprint) {
        if self.recent.len() < self.cfg.storm {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && let [only] = *entry.crashed
            && self.recent.iter().any(|&(_, target)| target == only)
        {
            insert(&mut entry.cleared, only);
        }
    }
}

impl Entry {
    const fn new(fingerprint: Fingerprint, expires: Time) -> Self {
        Self {
            fingerprint,
            crashed: Vec::new(),
            cleared: Vec::new(),
            quarantined: false,
            expires,
        }
    }

    /// Says whether a crash still counts.
    fn is_open(&self) -> bool {
        self.crashed
            .iter()
            .any(|target| !self.cleared.contains(target))
    }
}

/// Adds a target to a short sorted list that keeps its first few.
fn insert(targets: &mut Vec<TargetId>, target: TargetId) {
    if let Err(place) = targets.binary_search(&target) {
        targets.insert(place, target);
        targets.truncate(TARGETS_MAX);
    }
}
