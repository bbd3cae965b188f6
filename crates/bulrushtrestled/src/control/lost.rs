//! Which routers the list names: the records of those that are lost for good are cleared.
//!
//! A router that its peers do not hear may still run and reach the store. Whoever is to clear its
//! record therefore first writes the record with the question whether it runs. A router that reads
//! this in its own record writes the record again, which is the answer; without one the record is
//! removed. A router that reads that its record was removed announces itself again.

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::input::Vm;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::node::LOST_AFTER;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_platform::router;

use crate::control::follow;
use crate::control::run::Control;

/// How long a router has to answer whether it runs. A router that does not read the store for so long
/// has stopped dispatching.
const ANSWER_WITHIN: Duration = Duration::from_secs(10);

/// The most records of lost routers that are written at once.
const CLEARED_MAX: usize = 32;

/// What the records of routers say on whether these run.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// When the record of each router was last read, and whether it holds the question.
    records: BTreeMap<u32, (Time, bool)>,
}

impl Questions {
    pub(super) fn on_record(&mut self, now: Time, router: u32, is_questioned: bool) {
        self.records.insert(router, (now, is_questioned));
    }

    pub(super) fn on_removed(&mut self, router: u32) {
        self.records.remove(&router);
    }

    /// Returns the keys and values of the records to write because these routers are lost. A record
    /// that was written recently shows that its router runs.
    pub(super) fn records<'a>(
        &self,
        now: Time,
        lost: impl Iterator<Item = &'a Vm>,
    ) -> Vec<(String, Option<Vec<u8>>)> {
        let record = |vm: &Vm| {
            let (read, is_questioned) = *self.records.get(&vm.id)?;
            let age = now.since(read);
            let value = match is_questioned {
                false if age >= LOST_AFTER => Some(router::encode(&vm.data_centre, true)),
                true if age >= ANSWER_WITHIN => None,
                false | true => return None,
            };
            Some((vm.address.clone(), value))
        };
        lost.filter_map(record).take(CLEARED_MAX).collect()
    }
}

impl Control {
    /// Clears the records of routers that are lost for good, if that is up to this router. `end` is
    /// the end of the topic.
    pub(super) fn clear_lost_routers(&self, end: Offset) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        let lost = self.node.routers_to_clear();
        let records = hosting.lost_router_records(&lost);
        if records.is_empty() {
            return;
        }
        for (key, value) in &records {
            let step = if value.is_some() { "asked" } else { "removed" };
            log::info!(target: "store", "lost router key={key} step={step}");
        }
        let store = hosting.store().clone();
        tokio::task::spawn_local(follow::append_router_records(store, records, end));
    }
}
