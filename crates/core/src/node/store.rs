//! Taking over the catalogue from a store that keeps the newest content of its records.

use std::collections::BTreeSet;

use crate::catalogue::Scope;
use crate::catalogue::entry::{DataCentreState, Entry, Kind};
use crate::input::{StoreChange, StoreEvent, TargetState};
use crate::node::Node;
use crate::prelude::*;

/// How long after a failed read the store counts as having been away.
const AWAY: Duration = Duration::from_secs(3);
/// For how long a target that lapsed meanwhile is still used: the platform promises that the entries of targets that
/// live are back within about two seconds.
const LAPSE: Duration = Duration::from_millis(1_900);

impl Node {
    pub(super) fn on_store(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Changed(changes) => self.on_changes(changes),
            StoreEvent::Current { known, asked } => self.on_current(known, asked),
            StoreEvent::TargetsRead { asked } => {
                self.targets_read = self.targets_read.max(Some(asked));
                self.targets_away = false;
            }
            StoreEvent::TargetsFailed => self.targets_away = true,
            StoreEvent::Failed => self.on_read_failed(),
            StoreEvent::Targets(states) => self.on_target_states(&states),
            StoreEvent::MoveProgress(stand) => {
                self.moves.follow(&self.catalogue);
                self.moves.on_recorded_status(&mut self.cx, &stand);
            }
        }
    }

    fn on_changes(&mut self, changes: Vec<StoreChange>) {
        let out = self.data_centres_out();
        for change in changes {
            let Some(change) = self.hold_back_lapse(change) else {
                continue;
            };
            let what = format!("{:?}", change.scope);
            let count = change.entries.len();
            if self
                .catalogue
                .replace(change.revision, &change.scope, change.entries)
            {
                let subject = format!("{what} now has {count} entries at {}", change.revision);
                self.cx.notice(NoticeKind::Catalogue, subject);
            }
        }
        let back: BTreeSet<String> = &out - &self.data_centres_out();
        self.doubt_targets_of(&back);
        let (now, catalogue) = (self.cx.now, &self.catalogue);
        self.starts
            .forget(now, |target| catalogue.target(target).is_some());
    }

    /// Holds the removal of a target back for a while if the store was away just now: the entries of targets lapse
    /// meanwhile, and those that live write theirs again soon.
    fn hold_back_lapse(&mut self, change: StoreChange) -> Option<StoreChange> {
        let Scope::One(Kind::Target, name) = &change.scope else {
            return Some(change);
        };
        let name = name.clone();
        let away = self.reader.failed;
        let was_away = away.is_some_and(|at| self.cx.now.since(at) < AWAY);
        if change.entries.is_empty() && was_away {
            self.lapsed.insert(name, (self.cx.now + LAPSE, change));
            return None;
        }
        self.lapsed.remove(&name);
        Some(change)
    }

    /// Removes the targets that have not come back after a lapse.
    pub(super) fn remove_lapsed(&mut self) {
        let now = self.cx.now;
        let is_due = |name: &String| self.lapsed.get(name).is_some_and(|(due, _)| *due <= now);
        let due: Vec<String> = self
            .lapsed
            .keys()
            .filter(|name| is_due(name))
            .cloned()
            .collect();
        for name in due {
            if let Some((_, change)) = self.lapsed.remove(&name) {
                self.catalogue
                    .replace(change.revision, &change.scope, change.entries);
                let subject = format!("{name} has not come back after the store was away");
                self.cx.notice(NoticeKind::Target, subject);
            }
        }
    }

    /// Says whether this router's view of the targets is so old that one of them may have left. While the store does
    /// not answer, it goes by what it knows: nobody else knows more.
    pub(super) fn targets_are_stale(&self) -> bool {
        let limit = self.cfg.log.targets_stale_after;
        let is_old = |at| self.cx.now.since(at) > limit;
        !self.targets_away && self.targets_read.is_some_and(is_old)
    }

    fn on_current(&mut self, known: Offset, asked: Time) {
        self.on_read_answered();
        self.reader.known = self.reader.known.max(known);
        self.reader.current = self.reader.current.max(Some(asked));
    }

    fn on_target_states(&mut self, states: &[TargetState]) {
        for state in states {
            if self.starts.on_state(self.cx.now, state) {
                self.balance.on_restart(state.target);
                let subject = format!("{} began a new run", state.target);
                self.cx.notice(NoticeKind::Target, subject);
            }
        }
    }

    /// Treats the targets of data centres that are in again as if they had started again: they may have,
    /// while nothing was sent to them.
    fn doubt_targets_of(&mut self, data_centres: &BTreeSet<String>) {
        if data_centres.is_empty() {
            return;
        }
        let of = |name: &String| data_centres.contains(name);
        let targets = self.catalogue.targets();
        let targets = targets.filter(|view| of(&view.entry.data_centre));
        for view in targets {
            self.starts.doubt(self.cx.now, view.id);
        }
    }

    fn data_centres_out(&self) -> BTreeSet<String> {
        let entries = self.catalogue.iter();
        let entries = entries.filter_map(|stored| stored.entry.as_ref());
        let out = entries.filter_map(|entry| match entry {
            Entry::DataCentre(entry) if entry.state == DataCentreState::Out => {
                Some(entry.name.clone())
            }
            _ => None,
        });
        out.collect()
    }
}
