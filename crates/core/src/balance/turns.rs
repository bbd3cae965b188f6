//! Whose turn it is, where each router sends what it has by itself.
//!
//! # Invariant
//!
//! Room at targets goes first to organisations that had less service lately, as far as requests of theirs wait somewhere and
//! their routers take them: an organisation may use what the claims of such others leave, and of that the part that its own
//! requests are of all that wait with about as much service. So capacity is held back for nobody who cannot use it, and
//! an organisation at one router gets as much as one at many.
//!
//! # How it works
//!
//! Routers tell their claims with their loads ([`ClaimRow`]). At each report a router works out for each organisation
//! that waits what it may use until the next one, in requests of the size of its own. A target takes as many of these as it
//! has slots for or reads soon, whichever are fewer. What is less than a request is kept until it is one. A claim is
//! bounded by what its router took since the report before, so that one that is slow does not hold up the others.

use std::collections::BTreeMap;

use crate::balance::Balance;
use crate::balance::message::ClaimRow;
use crate::balance::score::CandidateLoad;
use crate::output::Turn;
use crate::prelude::*;

/// Parts of a request in which shares are reckoned.
const PARTS: u64 = 1_000;

/// Requests, and tokens of their prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Workload {
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens: u64,
}

impl Workload {
    /// Returns the prompt tokens of one request in the mean.
    pub const fn tokens_each(self) -> u64 {
        match self.requests {
            0 => 0,
            requests => self.tokens / requests,
        }
    }
}

/// What an organisation may use of a pool until the next report.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Whether it holds since the last report.
    is_fresh: bool,
    /// Whether nobody else waits who had not clearly more.
    is_free: bool,
    /// What is left, in parts of a request.
    parts: u64,
    /// The least recent service with which somebody else waits elsewhere.
    lowest: Option<u64>,
}

/// The accounts of all organisations that wait at this router.
#[derive(Debug, Default)]
pub(super) struct Turns(BTreeMap<(PoolId, OrganisationId), Account>);

/// Why a request may go, and what that rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Why.
    pub turn: Turn,
    /// The least recent service with which another organisation waits at a peer.
    pub lowest: Option<u64>,
}

impl Balance {
    /// Lets what organisations may use be worked out anew.
    pub fn invalidate_turns(&mut self) {
        self.turns.0.retain(|_, account| account.is_fresh);
        for account in self.turns.0.values_mut() {
            account.is_fresh = false;
        }
    }

    /// Says whether it was worked out since the last report what an organisation may use.
    pub fn has_turn(&self, pool: PoolId, organisation: OrganisationId) -> bool {
        let account = self.turns.0.get(&(pool, organisation));
        account.is_some_and(|account| account.is_fresh)
    }

    /// Works out what an organisation with a recent service of `level` may use of a pool until the next report. `own` is
    /// what waits of it here, and `room` how many of these the targets take.
    pub fn compute_turn(
        &mut self,
        now: Time,
        (pool, organisation): (PoolId, OrganisationId),
        level: u64,
        own: Workload,
        room: u64,
    ) {
        let key = (pool, organisation);
        let kept = self.turns.0.get(&key).copied().unwrap_or_default();
        let lead = self.cfg.lead.0;
        let each = own.tokens_each().max(1);
        let (mut lower, mut near, mut elsewhere, mut lowest) = (0, 0, 0, None);
        for row in self.claims(now, pool) {
            // Larger requests take the room of several.
            let claimed = u64::from(row.requests).max(u64::from(row.tokens) / each);
            if row.organisation == organisation {
                elsewhere += claimed;
                continue;
            }
            lowest = Some(lowest.map_or(row.level, |lowest: u64| lowest.min(row.level)));
            if row.level.saturating_add(lead) < level {
                lower += claimed;
            } else if row.level <= level.saturating_add(lead) {
                near += claimed;
            }
        }
        let mut account = Account {
            is_fresh: true,
            is_free: lower + near == 0,
            lowest,
            ..Account::default()
        };
        if !account.is_free {
            account.parts =
                kept.parts.min(PARTS) + share(room, lower, near + elsewhere, own.requests);
        }
        self.turns.0.insert(key, account);
    }

    /// Says why a request of an organisation may go now, if it may.
    pub fn turn(&self, pool: PoolId, organisation: OrganisationId) -> Option<Due> {
        let account = self.turns.0.get(&(pool, organisation))?;
        let turn = match account.is_free {
            true => Turn::Due,
            false => Turn::Share,
        };
        let may_go = account.is_free || account.parts >= PARTS;
        may_go.then_some(Due {
            turn,
            lowest: account.lowest,
        })
    }

    /// Notes that a request of an organisation goes.
    pub fn spend_turn(&mut self, pool: PoolId, organisation: OrganisationId) {
        if let Some(account) = self.turns.0.get_mut(&(pool, organisation)) {
            account.parts = account.parts.saturating_sub(PARTS);
        }
    }

    /// Returns how many requests with prompts of `tokens` the targets take: as many as they have slots, and as many as they
    /// read soon. `is_light` says whether they generate much for what they read.
    pub fn free_capacity(&self, places: &[CandidateLoad], tokens: u64, is_light: bool) -> u64 {
        let ahead = self.cfg.max_unread_tokens();
        let room = |place: &CandidateLoad| {
            let slots = place.candidate.slots_for(is_light);
            if slots < place.candidate.slots && place.load.unread > 0 {
                return 0;
            }
            let slots = slots.saturating_sub(place.load.requests);
            let left = ahead.saturating_sub(place.load.unread);
            let soon = match (tokens, place.load.unread) {
                (0, _) => u64::MAX,
                // An idle target takes a request of any size.
                (tokens, 0) => (left / tokens).max(1),
                (tokens, _) => left / tokens,
            };
            soon.min(u64::from(slots))
        };
        places.iter().map(room).sum()
    }

    /// Returns what waits for a pool at peers that told so lately.
    fn claims(&self, now: Time, pool: PoolId) -> impl Iterator<Item = &ClaimRow> {
        let claim_ttl = self.cfg.claim_ttl;
        let fresh = self
            .told
            .values()
            .filter(move |told| now.since(told.at) < claim_ttl);
        fresh
            .flat_map(|told| &told.claims)
            .filter(move |row| row.pool == pool)
    }
}

/// Returns the part of what the claims of those that had less leave, in thousandths.
fn share(room: u64, lower: u64, near: u64, own: u64) -> u64 {
    let own = own.max(1);
    let left = room.saturating_sub(lower).saturating_mul(PARTS);
    left.saturating_mul(own) / (own + near)
}
