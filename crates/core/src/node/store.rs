//! Updating the catalogue from a store that keeps the newest content of its records.

use std::collections::BTreeSet;

use crate::catalogue::Scope;
use crate::catalogue::entry::{DataCentreState, Entry, Kind};
use crate::input::{StoreChange, StoreEvent, TargetState};
use crate::node::Node;
use crate::prelude::*;

/// The time after a failed read during which a lapse of a target counts as a consequence of the
/// outage.
const RECENT_OUTAGE: Duration = Duration::from_secs(3);
/// How long a target that lapsed because of an outage is still used: the platform promises that the
/// entries of live targets are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);

impl Node {
    pub(super) fn on_store(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Defaults(entries) => {
                for entry in entries {
                    self.catalogue.set_default(entry);
                }
            }
            StoreEvent::Changed(changes) => self.on_changes(changes),
            StoreEvent::MoveRenumbered { pool, revision } => self.renumber_move(&pool, revision),
            StoreEvent::Named(names) => {
                let names = names.iter().map(|(kind, name)| (*kind, name.as_str()));
                self.catalogue.assign_identities(names);
            }
            StoreEvent::Current { known, asked } => self.on_current(known, asked),
            StoreEvent::TargetsRead { asked } => {
                self.targets_read = self.targets_read.max(Some(asked));
                self.target_store_down = false;
            }
            StoreEvent::TargetsFailed => self.target_store_down = true,
            StoreEvent::Failed => self.on_read_failed(),
            StoreEvent::Targets(states) => self.on_target_states(&states),
            StoreEvent::MoveStatuses { asked, statuses } => {
                self.moves.follow(self.cx.now, &self.catalogue);
                self.moves
                    .on_recorded_statuses(&mut self.cx, asked, &statuses);
            }
        }
    }

    fn on_changes(&mut self, changes: Vec<StoreChange>) {
        let out_before = self.data_centres_out_of_service();
        let entries = changes.iter().flat_map(|change| &change.entries);
        self.catalogue
            .assign_identities(entries.map(|entry| (entry.kind(), entry.name())));
        for change in changes {
            let Some(change) = self.defer_lapse(change) else {
                continue;
            };
            let scope = format!("{:?}", change.scope);
            let count = change.entries.len();
            if self
                .catalogue
                .replace(change.revision, &change.scope, change.entries)
            {
                let subject = format!("{scope} now has {count} entries at {}", change.revision);
                self.cx.notice(NoticeKind::Catalogue, subject);
            }
        }
        let restored: BTreeSet<String> = &out_before - &self.data_centres_out_of_service();
        self.suspect_restarts_in(&restored);
        let (now, catalogue) = (self.cx.now, &self.catalogue);
        self.cold_targets
            .retain_known(now, |target| catalogue.target(target).is_some());
    }

    /// Gives a move the revision that its record has after a restore of the store. The move goes on as
    /// the same, and its status is recorded again.
    fn renumber_move(&mut self, pool: &str, revision: Offset) {
        let Some((former, entry)) = self.catalogue.move_of(pool) else {
            return;
        };
        let entries = vec![Entry::Move(entry.clone())];
        if let Some((id, _)) = self.catalogue.pool_by_name(pool) {
            self.moves.renumber(id, former, revision);
        }
        let scope = Scope::One(Kind::Move, pool.to_owned());
        self.catalogue.replace(revision, &scope, entries);
        let subject = format!("the move of {pool} at {former} is now at {revision}");
        self.cx.notice(NoticeKind::Version, subject);
    }

    /// Defers the removal of a target if the store was recently unreachable: the entries of targets
    /// lapse during an outage, and live targets write theirs again soon.
    fn defer_lapse(&mut self, change: StoreChange) -> Option<StoreChange> {
        let Scope::One(Kind::Target, name) = &change.scope else {
            return Some(change);
        };
        let name = name.clone();
        let failed_at = self.reader.last_failure;
        let was_down = failed_at.is_some_and(|at| self.cx.now.since(at) < RECENT_OUTAGE);
        if change.entries.is_empty() && was_down {
            self.lapsed
                .insert(name, (self.cx.now + LAPSE_GRACE, change));
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
                let subject = format!("{name} did not come back after an outage of the store");
                self.cx.notice(NoticeKind::Target, subject);
            }
        }
    }

    /// Says whether this router's view of the targets is so old that one of them may have left.
    /// While the store does not answer, the router uses what it knows, because no other router
    /// knows more.
    pub(super) fn targets_are_stale(&self) -> bool {
        let limit = self.cfg.log.targets_stale_after;
        let is_old = |at| self.cx.now.since(at) > limit;
        !self.target_store_down && self.targets_read.is_some_and(is_old)
    }

    fn on_current(&mut self, known: Offset, asked: Time) {
        self.on_read_answered();
        self.reader.known = self.reader.known.max(known);
        self.reader.current_at = self.reader.current_at.max(Some(asked));
    }

    fn on_target_states(&mut self, states: &[TargetState]) {
        for state in states {
            self.on_record_after_break(state);
            if self.targets.on_state(self.cx.now, state) {
                let subject = format!("{} may be used again: it began a new run", state.target);
                self.cx.notice(NoticeKind::Target, subject);
            }
            let is_new = !self.cold_targets.has_state(state.target);
            let has_restarted = self.cold_targets.on_state(self.cx.now, state);
            if is_new || has_restarted {
                self.start_pace(state.target);
            }
            if has_restarted {
                self.balance.on_restart(state.target);
                let subject = format!("{} began a new run", state.target);
                self.cx.notice(NoticeKind::Target, subject);
            }
        }
    }

    /// Treats the targets of data centres that are back in service as if they had restarted: they
    /// may have done so while nothing was sent to them.
    fn suspect_restarts_in(&mut self, data_centres: &BTreeSet<String>) {
        if data_centres.is_empty() {
            return;
        }
        let is_restored = |name: &String| data_centres.contains(name);
        let targets = self.catalogue.targets();
        let targets = targets.filter(|view| is_restored(&view.entry.data_centre));
        for view in targets {
            self.cold_targets.suspect_restart(self.cx.now, view.id);
        }
    }

    fn data_centres_out_of_service(&self) -> BTreeSet<String> {
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
