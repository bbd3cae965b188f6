//! Looking up many keys of a map in their order.

use core::iter::Peekable;
use std::collections::BTreeMap;
use std::collections::btree_map::Iter;

/// One pass over a map for keys that mostly ascend.
///
/// Each step costs a fraction of a search from the root. A key that is not above the one before is searched for.
#[derive(Debug)]
pub(crate) struct AscendingLookup<'a, K, V> {
    map: &'a BTreeMap<K, V>,
    rest: Peekable<Iter<'a, K, V>>,
    last: Option<K>,
}

impl<'a, K: Ord + Copy, V> AscendingLookup<'a, K, V> {
    /// Returns a pass that begins at the first key.
    pub(crate) fn new(map: &'a BTreeMap<K, V>) -> Self {
        Self {
            map,
            rest: map.iter().peekable(),
            last: None,
        }
    }

    /// Returns the value of a key.
    pub(crate) fn get(&mut self, key: K) -> Option<&'a V> {
        if self.last.is_some_and(|last| key <= last) {
            return self.map.get(&key);
        }
        self.last = Some(key);
        while self.rest.next_if(|&(&other, _)| other < key).is_some() {}
        let found = self.rest.next_if(|&(&other, _)| other == key);
        found.map(|(_, value)| value)
    }
}
