//! The exact split of a route's requests between pools.

use std::collections::BTreeMap;

use crate::catalogue::entry::{PoolShare, Route};

/// What each pool of each route is owed.
///
/// Every pool earns its weight with each request; the one that is owed most gets the request and pays the sum of
/// all weights. So each pool has its share after any number of requests, to less than one request.
#[derive(Debug, Default)]
pub struct Splits {
    owed: BTreeMap<String, BTreeMap<String, i64>>,
}

impl Splits {
    /// Returns the name of the pool that takes the route's next request; nothing if no pool has any weight.
    pub fn next<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let weighted = |part: &&PoolShare| part.weight > 0;
        let parts: Vec<&PoolShare> = route.pools.iter().filter(weighted).collect();
        if let [only] = *parts {
            return Some(&only.pool);
        }
        let all: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        let owed = self.owed.entry(route.name.clone()).or_default();
        owed.retain(|pool, _| parts.iter().any(|part| part.pool == *pool));
        for part in &parts {
            *owed.entry(part.pool.clone()).or_default() += i64::from(part.weight);
        }
        let next = parts.iter().max_by_key(|part| owed[&part.pool])?;
        if let Some(owed) = owed.get_mut(&next.pool) {
            *owed -= all;
        }
        Some(&next.pool)
    }
}
