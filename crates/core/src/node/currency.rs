//! Whether this router may give out new work, and how it catches up from peers.
//!
//! # Invariant
//!
//! A router gives out new work only if it knows every edit that was on the log [`LogConfig::stale_after`]
//! ago, or if most of the routers that it keeps contact with see the log as down too, in which case nobody
//! can have published since. It shows this by its own reads or by a heartbeat of a peer that is current and
//! knows no more than this router does. A heartbeat is dated by the frame that it echoes, so one that was
//! held up on the way proves nothing.
//!
//! The rule costs service in the smaller part of a partition during an outage of the log. Serving on there
//! would break the promise about a data centre that was taken out; see
//! `docs/design/0005-stale-routers.md`.
//!
//! [`LogConfig::stale_after`]: crate::node::LogConfig::stale_after

use crate::catalogue::entry::Kind;
use crate::catalogue::message::{CataloguePart, Stored};
use crate::membership::message::Condition;
use crate::node::request::Stage;
use crate::node::{CatalogueSource, Node};
use crate::prelude::*;

/// The time without progress after which entries are asked for from a peer.
const PATIENCE: Duration = Duration::from_millis(300);
/// The time after which an unanswered question to a peer is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// The most bytes of entries in one message.
const PART_BYTES: usize = 32 * 1024;

/// What this router may do with new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Currency {
    /// It knows every recent edit.
    Current,
    /// The log is down for most of the fleet, and this router knows all that its peers know.
    Outage,
    /// It cannot show that it knows every recent edit.
    Stale,
}

/// Catching up from a peer.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// Since when a peer is known to be ahead.
    behind_since: Option<Time>,
    asked: Option<Asked>,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    peer: RouterId,
    from: Offset,
    at: Time,
    /// What the peer had applied when it sent the first part.
    applied: Option<Offset>,
}

impl Node {
    pub(super) fn currency(&self) -> Currency {
        let from_store = self.cfg.log.source == CatalogueSource::Store;
        if from_store && !self.catalogue.has_routes() {
            // The operators' first configuration has not come; nobody can be told what there is.
            return Currency::Stale;
        }
        let limit = self.cx.now - self.cfg.log.stale_after;
        if self.reader.current.is_some_and(|current| current >= limit) {
            return Currency::Current;
        }
        let known = self.reader.known;
        let mut ahead = false;
        let mut down = usize::from(self.reader.down);
        for (_, after, heartbeat) in self.members.heartbeats(self.cx.now) {
            let age = Duration::from_millis(u64::from(heartbeat.current_age_ms));
            if heartbeat.applied <= known && after - age >= limit {
                return Currency::Current;
            }
            ahead |= heartbeat.applied > known;
            down += usize::from(heartbeat.log_down && after >= limit);
        }
        let most = down * 2 > self.members.partner_count() + 1;
        if most && !ahead && known > Offset(0) {
            Currency::Outage
        } else {
            Currency::Stale
        }
    }

    /// Says whether the router takes new requests.
    pub fn is_ready(&self) -> bool {
        self.currency() != Currency::Stale
    }

    /// Tells the fleet whether this router serves, and lets go of what waits if it does not.
    pub(super) fn watch_currency(&mut self) {
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
            self.give_up_waiting();
        }
    }

    /// Asks a peer for entries if it is ahead and the log does not bring them.
    pub(super) fn catch_up_if_behind(&mut self) {
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
        let waits = self
            .catch_up
            .asked
            .is_some_and(|asked| now.since(asked.at) < ASK_AGAIN);
        if now.since(since) < PATIENCE || waits {
            return;
        }
        self.catch_up.asked = Some(Asked {
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
        let json = serde_json::to_vec(&entries).expect("entries have no maps with odd keys");
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
        let Some(asked) = self.catch_up.asked else {
            return;
        };
        if asked.peer != peer || asked.from != from {
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
                self.starts.doubt(self.cx.now, TargetId(id));
            }
        }
        let applied = asked.applied.unwrap_or(applied);
        if next.is_some() {
            let now = self.cx.now;
            self.catch_up.asked = Some(Asked {
                at: now,
                applied: Some(applied),
                ..asked
            });
            let want = CataloguePart::Want { from, after: next };
            self.cx.send(peer, Part::Catalogue(want), Urgency::Now);
            return;
        }
        self.catch_up.asked = None;
        self.catch_up.behind_since = None;
        self.reader.known = self.reader.known.max(applied);
    }

    fn give_up_waiting(&mut self) {
        let waiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, active)| active.stage == Stage::Waiting)
            .map(|(&id, _)| id)
            .collect();
        for request in waiting {
            self.give_up(request, Reason::NotCurrent);
        }
    }
}
