//! The state of leases: their holders, and when they lapse.

use std::collections::BTreeMap;

use crate::lease::message::{Lease, LeaseClaim};
use crate::prelude::*;
use crate::record::Record;

/// The settings of leases.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a claim holds. Default: 10 s.
    pub term: Duration,
    /// How much earlier than the term's end the holder stops, and how much later others may claim.
    /// Default: 1 s.
    pub margin: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(10),
            margin: Duration::from_secs(1),
        }
    }
}

/// The leases, as this router has read them from the log.
#[derive(Debug)]
pub struct Leases {
    cfg: Config,
    entries: BTreeMap<Lease, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// The claim that holds the lease: its offset, its holder and the holder's run, and when the
    /// lease lapses for the other routers.
    held: Option<(Offset, RouterId, Incarnation, Time)>,
    /// The time until which this router may act, if it is the holder.
    own_until: Option<Time>,
    /// This router's claim that has not been read back: when it was sent, and the id of its append.
    pending_claim: Option<(Time, AppendId)>,
}

impl Leases {
    /// Returns the leases with no known holder.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the fencing number if this router holds the lease at `now`. Callers must ask again
    /// right before each act, with the time of that moment.
    pub fn held(&self, now: Time, lease: Lease) -> Option<Fence> {
        let entry = self.entries.get(&lease)?;
        let until = entry.own_until?;
        let (offset, ..) = entry.held?;
        (now < until).then_some(Fence(offset.0))
    }

    /// Claims the lease, or extends it, if that is due. The caller decides which router should
    /// claim.
    pub fn claim_if_due(&mut self, cx: &mut Context, lease: Lease) {
        let (term, margin) = (self.cfg.term, self.cfg.margin);
        let entry = self.entries.entry(lease).or_default();
        if entry
            .pending_claim
            .is_some_and(|(sent, _)| cx.now < sent + term)
        {
            return;
        }
        let due = match (entry.own_until, entry.held) {
            (Some(until), _) if cx.now < until => cx.now + term / 2 >= until,
            (_, Some((_, _, _, lapses))) => cx.now >= lapses + margin,
            (_, None) => true,
        };
        if !due {
            return;
        }
        let claim = LeaseClaim {
            lease,
            holder: cx.me,
            incarnation: cx.incarnation,
            follows: entry.held.map(|(offset, ..)| offset),
            term_ms: u32::try_from(term.as_millis()).unwrap_or(u32::MAX),
        };
        let id = cx.append(&Record::Lease(claim));
        entry.pending_claim = Some((cx.now, id));
    }

    /// Records that an append certainly had no effect, so that the claim can be sent again at once.
    pub fn on_append_failed(&mut self, id: AppendId) {
        for entry in self.entries.values_mut() {
            if entry.pending_claim.is_some_and(|(_, append)| append == id) {
                entry.pending_claim = None;
            }
        }
    }

    /// Applies a claim that was read from the log. `first` is the oldest offset that the log still
    /// keeps: a claim may follow one that can no longer be read.
    pub fn on_record(
        &mut self,
        cx: &mut Context,
        offset: Offset,
        first: Offset,
        claim: &LeaseClaim,
    ) {
        let (now, margin) = (cx.now, self.cfg.margin);
        let entry = self.entries.entry(claim.lease).or_default();
        let known = entry.held.map(|(offset, ..)| offset);
        let unreadable = known.is_none() && claim.follows.is_some_and(|follows| follows < first);
        let own = claim.holder == cx.me && claim.incarnation == cx.incarnation;
        if claim.follows != known && !unreadable {
            if own {
                entry.pending_claim = None;
            }
            return;
        }
        let term = Duration::from_millis(u64::from(claim.term_ms));
        entry.held = Some((offset, claim.holder, claim.incarnation, now + term));
        if own {
            let sent = entry.pending_claim.take().map(|(sent, _)| sent);
            entry.own_until = sent.map(|sent| sent + term.saturating_sub(margin));
        } else if entry.own_until.take().is_some() {
            cx.count(Counter::LeaseLost);
        }
    }
}
