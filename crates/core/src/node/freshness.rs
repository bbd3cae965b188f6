//! Freshness of the catalogue: whether this router may give out new work, and how it catches up
//! from peers.
//!
//! # Invariant
//!
//! A router gives out new work only if it knows every edit that was on the log
//! [`LogConfig::stale_after`] ago, or if most of the routers that it is in contact with report the
//! log as down too, in which case nobody can have published since. The evidence is the router's own
//! reads, an answer of a peer over the [feed](crate::feed), or a heartbeat of a peer that is current
//! and knows no more than this router does. An answer is dated by its question and a heartbeat by the
//! frame that it echoes, so delayed ones prove nothing.
//!
//! The rule costs service in the smaller part of a partition during an outage of the log.
//! Continuing to serve there would break the promise about data centres that were taken out of
//! service; see `docs/design/0005-stale-routers.md`.
//!
//! [`LogConfig::stale_after`]: crate::node::LogConfig::stale_after

use crate::catalogue::entry::Kind;
use crate::catalogue::message::{CataloguePart, Stored};
use crate::membership::message::Condition;
use crate::node::request::Stage;
use crate::node::{CatalogueSource, Node};
use crate::prelude::*;

/// The time that a peer must be ahead before its entries are requested.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);
/// The time after which an unanswered catch-up request is sent again.
const CATCH_UP_RETRY: Duration = Duration::from_millis(500);
/// The size at which a message of entries is closed, in bytes.
const PART_BYTES: usize = 32 * 1024;

/// The freshness of this router's catalogue, which decides whether it may give out new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Freshness {
    /// The router knows every recent edit.
    Current,
    /// The log is down for most of the fleet, and this router knows all that its peers know.
    Outage,
    /// The router cannot show that it knows every recent edit.
    Stale,
}

/// The state of catching up from a peer.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// Since when a peer is known to be ahead.
    behind_since: Option<Time>,
    pending: Option<CatchUpRequest>,
}

#[derive(Debug, Clone, Copy)]
struct CatchUpRequest {
    peer: RouterId,
    from: Offset,
    at: Time,
    /// The offset up to which the peer had applied the log when it sent the first part of its
    /// answer.
    applied: Option<Offset>,
}

impl Node {
    pub(super) fn freshness(&self) -> Freshness {
        let from_store = self.cfg.log.source == CatalogueSource::Store;
        if from_store && !self.catalogue.has_routes() {
            // The operators' first configuration has not arrived, so no route is known.
            return Freshness::Stale;
        }
        let limit = self.cx.now - self.cfg.log.stale_after;
        if self
            .reader
            .current_at
            .is_some_and(|current| current >= limit)
        {
            return Freshness::Current;
        }
        let known = self.reader.known;
        let mut ahead = false;
        let mut down = usize::from(self.reader.down);
        for (from, after, heartbeat) in self.members.heartbeats(self.cx.now) {
            let age = Duration::from_millis(u64::from(heartbeat.current_age_ms));
            // A peer that has not read the records of this era says nothing about them.
            let is_comparable = heartbeat.applied.era() == known.era();
            if is_comparable && heartbeat.applied <= known && after - age >= limit {
                return Freshness::Current;
            }
            ahead |= heartbeat.applied > known;
            let is_counted = self.members.is_fixed_partner(from);
            down += usize::from(is_counted && heartbeat.log_down && after >= limit);
        }
        let most_are_down = down * 2 > self.members.fixed_partner_count() + 1;
        if most_are_down && !ahead && known > Offset(0) {
            Freshness::Outage
        } else {
            Freshness::Stale
        }
    }

    /// Says whether the router takes new requests.
    pub fn is_ready(&self) -> bool {
        self.freshness() != Freshness::Stale
    }

    /// Publishes whether this router serves, and refuses the waiting requests if it does not.
    pub(super) fn update_readiness(&mut self) {
        let ready = self.is_ready();
        let condition = match (self.stopping, ready) {
            (Some(_), _) => Condition::Stopping,
            (None, true) => Condition::Ready,
            (None, false) => Condition::Unready,
        };
        self.members.set_condition(condition);
        if ready != self.was_ready {
            self.was_ready = ready;
            let subject = if ready { "ready" } else { "not current" };
            self.cx.notice(NoticeKind::Readiness, subject);
        }
        if !ready {
            self.abandon_waiting();
        }
    }

    /// Requests entries from a peer if the peer is ahead and the log does not deliver them. The
    /// records of a store come over the [feed](crate::feed).
    pub(super) fn catch_up_if_behind(&mut self) {
        if self.cfg.log.source == CatalogueSource::Store {
            return;
        }
        let now = self.cx.now;
        let known = self.reader.known;
        let best = self
            .members
            .heartbeats(now)
            .map(|(id, _, heartbeat)| (heartbeat.applied, id))
            .max()
            .filter(|(applied, _)| *applied > known);
        let Some((_, peer)) = best else {
            self.catch_up.behind_since = None;
            return;
        };
        let since = *self.catch_up.behind_since.get_or_insert(now);
        let is_pending = self
            .catch_up
            .pending
            .is_some_and(|pending| now.since(pending.at) < CATCH_UP_RETRY);
        if now.since(since) < CATCH_UP_DELAY || is_pending {
            return;
        }
        self.catch_up.pending = Some(CatchUpRequest {
            peer,
            from: known,
            at: now,
            applied: None,
        });
        let want = CataloguePart::Want {
            from: known,
            after: None,
        };
        self.cx.send(peer, Part::Catalogue(want), Urgency::Now);
    }

    pub(super) fn on_catalogue_part(&mut self, from: RouterId, part: CataloguePart) {
        match part {
            CataloguePart::Want {
                from: wanted,
                after,
            } => self.on_want(from, wanted, after),
            CataloguePart::Entries {
                json,
                from: wanted,
                applied,
                next,
            } => {
                self.on_entries(from, &json, wanted, applied, next);
            }
        }
    }

    fn on_want(&mut self, peer: RouterId, from: Offset, after: Option<Offset>) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut rest = self.catalogue.edited_since(from, after).peekable();
        while bytes < PART_BYTES
            && let Some(stored) = rest.next()
        {
            bytes += serde_json::to_vec(stored).map_or(0, |json| json.len());
            entries.push(stored);
        }
        let last = entries.last().map(|stored| stored.created);
        let next = rest.peek().and(last);
        let json = serde_json::to_vec(&entries)
            .expect("catalogue entries serialize to JSON, since their maps have string keys");
        let applied = self.reader.known;
        let part = CataloguePart::Entries {
            json,
            from,
            applied,
            next,
        };
        self.cx.send(peer, Part::Catalogue(part), Urgency::Now);
    }

    fn on_entries(
        &mut self,
        peer: RouterId,
        json: &[u8],
        from: Offset,
        applied: Offset,
        next: Option<Offset>,
    ) {
        let Some(pending) = self.catch_up.pending else {
            return;
        };
        if pending.peer != peer || pending.from != from {
            return;
        }
        let Ok(entries) = serde_json::from_slice::<Vec<Stored>>(json) else {
            self.cx.count(Counter::PeerMessageInvalid);
            return;
        };
        for stored in &entries {
            let merged = self.catalogue.merge(stored);
            if merged && stored.kind == Kind::Target {
                // The peer's copy does not say whether the target is cold.
                let id = u32::try_from(stored.created.0).unwrap_or(u32::MAX);
                self.cold_targets.suspect_restart(self.cx.now, TargetId(id));
            }
        }
        let applied = pending.applied.unwrap_or(applied);
        if next.is_some() {
            let now = self.cx.now;
            self.catch_up.pending = Some(CatchUpRequest {
                at: now,
                applied: Some(applied),
                ..pending
            });
            let want = CataloguePart::Want { from, after: next };
            self.cx.send(peer, Part::Catalogue(want), Urgency::Now);
            return;
        }
        self.catch_up.pending = None;
        self.catch_up.behind_since = None;
        self.reader.known = self.reader.known.max(applied);
    }

    fn abandon_waiting(&mut self) {
        let waiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, active)| active.stage == Stage::Waiting)
            .map(|(&id, _)| id)
            .collect();
        for request in waiting {
            self.abandon(request, Reason::NotCurrent);
        }
    }
}
