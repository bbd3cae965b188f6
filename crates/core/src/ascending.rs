//! Lookup of many keys of a map in ascending order.

use core::iter::Peekable;
use std::collections::BTreeMap;
use std::collections::btree_map::Iter;

/// Looks up a sequence of mostly ascending keys in one pass over a map.
///
/// A step of the pass costs a fraction of a search from the root. A key that is not greater than
/// the previous one is searched for from the root.
#[derive(Debug)]
pub(crate) struct AscendingLookup<'a, K, V> {
    map: &'a BTreeMap<K, V>,
    rest: Peekable<Iter<'a, K, V>>,
    last: Option<K>,
}

impl<'a, K: Ord + Copy, V> AscendingLookup<'a, K, V> {
    /// Returns a lookup that begins at the first key of `map`.
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
