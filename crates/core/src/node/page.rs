//! The catalogue for operators' tools.

use crate::catalogue::message::Page;
use crate::node::Node;
use crate::prelude::*;

/// The most entries of a page, so that a page takes little time.
const PAGE_MAX: usize = 500;

impl Node {
    /// Returns the entries created after `after`; `None` unless the router is current, because what it
    /// holds while it catches up is no state that the log ever had.
    ///
    /// Entries may change between two pages. What changed stands on the log at or after the offset of
    /// the first page, so a tool that reads on from there misses nothing.
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
