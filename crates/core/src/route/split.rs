//! The exact split of a route's requests between pools.

use std::collections::BTreeMap;

use crate::catalogue::entry::{PoolShare, Route};

/// The weighted split of each route's requests between its pools.
///
/// With each request, every pool earns its weight as credit. The pool with the most credit gets the
/// request and pays the sum of all weights. After any number of requests, each pool's count thus
/// differs from its share by less than one request.
#[derive(Debug, Default)]
pub struct Splits {
    credit: BTreeMap<String, BTreeMap<String, i64>>,
}

impl Splits {
    /// Returns the name of the pool that takes the route's next request; `None` if no pool has any
    /// weight.
    pub fn next<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let weighted = |part: &&PoolShare| part.weight > 0;
        let parts: Vec<&PoolShare> = route.pools.iter().filter(weighted).collect();
        if let [only] = *parts {
            return Some(&only.pool);
        }
        let all: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        let credit = self.credit.entry(route.name.clone()).or_default();
        credit.retain(|pool, _| parts.iter().any(|part| part.pool == *pool));
        for part in &parts {
            *credit.entry(part.pool.clone()).or_default() += i64::from(part.weight);
        }
        let next = parts.iter().max_by_key(|part| credit[&part.pool])?;
        if let Some(credit) = credit.get_mut(&next.pool) {
            *credit -= all;
        }
        Some(&next.pool)
    }
}
