//! Taking over the catalogue from a store that keeps the newest content of its records.

use std::collections::BTreeSet;

use crate::catalogue::entry::{DataCentreState, Entry};
use crate::input::{StoreChange, StoreEvent, TargetState};
use crate::node::Node;
use crate::prelude::*;

impl Node {
    pub(super) fn on_store(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Changed(changes) => self.on_changes(changes),
            StoreEvent::Current { known, asked } => self.on_current(known, asked),
            StoreEvent::Failed => self.on_read_failed(),
            StoreEvent::Targets(states) => self.on_target_states(&states),
            StoreEvent::Moved(stand) => {
                self.moves.follow(&self.catalogue);
                self.moves.on_stand(&mut self.cx, &stand);
            }
        }
    }

    fn on_changes(&mut self, changes: Vec<StoreChange>) {
        let out = self.data_centres_out();
        for change in changes {
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
