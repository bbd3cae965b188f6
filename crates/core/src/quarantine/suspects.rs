//! The entries of suspected and quarantined requests.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::quarantine::message::Entry;
use crate::quarantine::{Config, Evidence};

/// Maximum number of targets in each list of an entry.
const TARGETS_MAX: usize = 4;

/// The entries that a router knows. Entries only merge, so routers that receive the same entries
/// agree, whatever the order and the number of repetitions.
#[derive(Debug)]
pub struct Suspects {
    cfg: Config,
    entries: BTreeMap<Fingerprint, Entry>,
    /// The crashes within the storm window that this router knows of.
    recent: VecDeque<(Time, TargetId)>,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request may run like any other.
    Clear,
    /// The request may only run alone on a target. Without reports it waits until it is cleared or
    /// barred.
    Suspect,
    /// The request may not run, because it was at several crashes and cannot be tried. The status
    /// may change after this time.
    Barred(Duration),
    /// The request may not run.
    Quarantined,
}

impl Suspects {
    /// Returns a state without entries.
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Records that a target crashed while a request was running there, and returns the entry for
    /// peers.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, target: TargetId) -> Entry {
        let expires = now + self.cfg.suspect_for;
        let (suspect_for, downtime_min) = (self.cfg.suspect_for, self.cfg.downtime_min);
        // What breaks at a target within the shortest downtime belongs to one crash.
        let is_new = |entry: &&Entry| now >= entry.last_crash(suspect_for) + downtime_min;
        let before = self.entries.get(&fingerprint).filter(is_new);
        let counted = match self.cfg.evidence {
            Evidence::Reports => 0,
            Evidence::Answers => before.map_or(0, |entry| count(&entry.crashed, target)),
        };
        self.update(now, fingerprint, expires, |entry| {
            insert(&mut entry.crashed, target, counted + 1);
        })
    }

    /// Records that a request crashed a target on which it ran alone, and returns the entry for
    /// peers.
    pub fn quarantine(&mut self, now: Time, fingerprint: Fingerprint) -> Entry {
        let expires = now + self.cfg.quarantine_for;
        self.update(now, fingerprint, expires, |entry| entry.quarantined = true)
    }

    /// Records that a target had not crashed after all, and returns the entry for peers.
    pub fn clear_crash(&mut self, now: Time, fingerprint: Fingerprint, target: TargetId) -> Entry {
        self.update(now, fingerprint, now, |entry| {
            insert(&mut entry.cleared, target, 1);
        })
    }

    /// Records that a request completed, and returns the entry for peers if the request was a
    /// suspect.
    pub fn record_completion(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Entry> {
        if self.entries.get(&fingerprint)?.open_crashes() == 0 {
            return None;
        }
        Some(self.update(now, fingerprint, now, |entry| {
            entry.cleared.clone_from(&entry.crashed);
            entry.cleared.dedup();
        }))
    }

    /// Merges an entry received from a peer. Ignores entries that have expired or are too large.
    pub fn merge(&mut self, now: Time, received: &Entry) {
        // By the clock of another router the last crash may be yet to come.
        let latest = match received.quarantined {
            true => now + self.cfg.quarantine_for,
            false => now + self.cfg.suspect_for,
        };
        if received.expires <= now
            || received.crashed.len().max(received.cleared.len()) > TARGETS_MAX
        {
            return;
        }
        self.update(
            now,
            received.fingerprint,
            received.expires.min(latest),
            |entry| {
                received.crashed.iter().for_each(|&target| {
                    insert(&mut entry.crashed, target, count(&received.crashed, target));
                });
                received.cleared.iter().for_each(|&target| {
                    insert(&mut entry.cleared, target, 1);
                });
                entry.quarantined |= received.quarantined;
            },
        );
    }

    /// Returns how a request may run.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> SuspectStatus {
        let entry = self.entries.get(&fingerprint);
        let Some(entry) = entry.filter(|entry| entry.expires > now) else {
            return SuspectStatus::Clear;
        };
        if entry.quarantined {
            return SuspectStatus::Quarantined;
        }
        let crashes = entry.open_crashes();
        match self.cfg.evidence {
            _ if crashes == 0 => SuspectStatus::Clear,
            Evidence::Reports => SuspectStatus::Suspect,
            Evidence::Answers if crashes < self.cfg.crashes_min => SuspectStatus::Clear,
            Evidence::Answers => {
                let last = entry.last_crash(self.cfg.suspect_for);
                let determined = last + self.cfg.report_timeout;
                if now < last + self.cfg.hold {
                    SuspectStatus::Suspect
                } else if now < determined {
                    SuspectStatus::Barred(determined.since(now))
                } else {
                    SuspectStatus::Barred(entry.expires.since(now))
                }
            }
        }
    }

    /// Returns whether a request that is not quarantined was at a crash that is not cleared.
    pub fn has_open_crash(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| {
            entry.expires > now && !entry.quarantined && entry.open_crashes() > 0
        })
    }

    /// Returns the targets that crashed while they ran a request with this fingerprint.
    pub fn crashed(&self, fingerprint: Fingerprint) -> &[TargetId] {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(&[], |entry| &entry.crashed)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes an entry, which is created if it does not exist, and returns the result. Checks for
    /// a storm if the entry is recent.
    fn update(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        expires: Time,
        change: impl FnOnce(&mut Entry),
    ) -> Entry {
        self.evict_for(fingerprint);
        let entry = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Entry::new(fingerprint, expires));
        entry.expires = entry.expires.max(expires);
        let before = entry.crashed.clone();
        change(entry);
        let last = entry.last_crash(self.cfg.suspect_for);
        let is_recent = !entry.quarantined && last + self.cfg.storm_window >= now;
        if is_recent {
            let new = entry.crashed.iter().filter(|t| !before.contains(t));
            let new: Vec<TargetId> = new.copied().collect();
            for target in new {
                self.add_recent_crash(now, target);
            }
            self.clear_in_storm(fingerprint);
        }
        self.entries[&fingerprint].clone()
    }

    /// Removes an entry if a new one for the fingerprint would exceed the maximum: the one that
    /// expires first, and one that is cleared before others.
    fn evict_for(&mut self, fingerprint: Fingerprint) {
        if self.entries.len() < self.cfg.entries_max || self.entries.contains_key(&fingerprint) {
            return;
        }
        let rank = |entry: &&Entry| (entry.quarantined || entry.open_crashes() > 0, entry.expires);
        let first = self.entries.values().min_by_key(rank);
        if let Some(first) = first.map(|entry| entry.fingerprint) {
            self.entries.remove(&first);
        }
    }

    /// Adds a target to the recent crashes. When the number of recent crashes reaches a storm, also
    /// clears the requests that ran at the targets that crashed earlier in it.
    fn add_recent_crash(&mut self, now: Time, target: TargetId) {
        let oldest = now - self.cfg.storm_window;
        self.recent
            .retain(|&(at, other)| at >= oldest && other != target);
        self.recent.push_back((now, target));
        if self.recent.len() == self.cfg.storm_min {
            let all: Vec<Fingerprint> = self.entries.keys().copied().collect();
            all.into_iter().for_each(|one| self.clear_in_storm(one));
        }
    }

    /// Clears a request that ran at a single crashed target if that target crashed in a storm.
    fn clear_in_storm(&mut self, fingerprint: Fingerprint) {
        if self.recent.len() < self.cfg.storm_min {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && let [only] = *entry.crashed
            && self.recent.iter().any(|&(_, target)| target == only)
        {
            insert(&mut entry.cleared, only, 1);
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

    /// Returns the number of crashes that are not cleared.
    fn open_crashes(&self) -> usize {
        let is_open = |target: &&TargetId| !self.cleared.contains(target);
        self.crashed.iter().filter(is_open).count()
    }

    /// Returns when the last crash was recorded, for an entry that is not quarantined and expires
    /// `suspect_for` after it.
    fn last_crash(&self, suspect_for: Duration) -> Time {
        self.expires - suspect_for
    }
}

/// Returns how often a target occurs in a list.
fn count(targets: &[TargetId], target: TargetId) -> usize {
    targets.iter().filter(|other| **other == target).count()
}

/// Makes a target occur at least `times` times in a sorted list that retains its first
/// [`TARGETS_MAX`] elements.
fn insert(targets: &mut Vec<TargetId>, target: TargetId, times: usize) {
    for _ in count(targets, target)..times {
        let index = targets.partition_point(|other| *other <= target);
        targets.insert(index, target);
    }
    targets.truncate(TARGETS_MAX);
}
