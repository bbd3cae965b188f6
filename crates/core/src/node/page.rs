//! Pages of the catalogue for operators' tools.

use crate::catalogue::message::Page;
use crate::node::Node;
use crate::prelude::*;

/// The most entries of a page; the bound keeps the time to build a page short.
const PAGE_MAX: usize = 500;

impl Node {
    /// Returns a page of the entries created after `after`; `None` unless the router is current,
    /// because a catalogue that is still catching up matches no state that the log ever had.
    ///
    /// Entries may change between two pages. Each change is on the log at or after the offset of
    /// the first page, so a tool that reads the log from that offset misses nothing.
    pub fn catalogue_page(&self, after: Option<Offset>) -> Option<Page> {
        let page = || Page {
            applied: self.reader.applied,
            entries: self
                .catalogue
                .edited_since(Offset(0), after)
                .take(PAGE_MAX)
                .cloned()
                .collect(),
        };
        self.is_ready().then(page)
    }
}
