//! Shares of the allowance of a cold target that routers lend one another.

use std::collections::BTreeMap;

use crate::cold_start::WINDOW;
use crate::prelude::*;

/// How long a lent share may be used, counted from when the borrower asked.
const TERM: Duration = Duration::from_secs(1);
/// The time between two requests for the same share: a loan is extended before its term ends.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// How long a router collects requests before it lends its share, so that all that want it are
/// considered: routers learn of a cold target at different times.
const COLLECTING: Duration = Duration::from_millis(100);
/// How long after the start of a router loans of its former run may be in use.
pub(super) const LOANS_OF_FORMER_RUN: Duration = TERM.saturating_add(WINDOW);

/// The shares that one router lent, borrowed and was asked for, all in requests per second.
#[derive(Debug, Default)]
pub(super) struct Loans {
    lent: BTreeMap<TargetId, BTreeMap<RouterId, Loan>>,
    borrowed: BTreeMap<TargetId, BTreeMap<RouterId, Loan>>,
    wanted: BTreeMap<TargetId, Wanted>,
    /// When this router last asked for shares of each target.
    asked: BTreeMap<TargetId, Time>,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    units: usize,
    until: Time,
}

/// The requests for a share that are not answered yet.
#[derive(Debug)]
struct Wanted {
    since: Time,
    by: BTreeMap<RouterId, Request>,
}

/// A router's request for a share.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    pub(super) demand: u32,
    /// When the router asked, by its own clock.
    pub(super) asked: Time,
}

impl Loans {
    /// Returns how much of its own share this router has lent.
    pub(super) fn lent(&self, now: Time, target: TargetId) -> usize {
        let loans = self.lent.get(&target).into_iter().flatten();
        let current = loans.filter(|(_, loan)| loan.until > now);
        current.map(|(_, loan)| loan.units).sum()
    }

    /// Returns how much this router has borrowed from routers that count.
    pub(super) fn borrowed(
        &self,
        now: Time,
        target: TargetId,
        counts: impl Fn(RouterId) -> bool,
    ) -> usize {
        let loans = self.borrowed.get(&target).into_iter().flatten();
        let current = loans.filter(|(lender, loan)| loan.until > now && counts(**lender));
        current.map(|(_, loan)| loan.units).sum()
    }

    /// Returns whether this router may ask for shares of a target again.
    pub(super) fn may_ask(&self, now: Time, target: TargetId) -> bool {
        let last = self.asked.get(&target);
        last.is_none_or(|&at| now.since(at) >= ASK_EVERY)
    }

    /// Records that this router asks for shares of a target.
    pub(super) fn on_asking(&mut self, now: Time, target: TargetId) {
        self.asked.insert(target, now);
    }

    /// Records that a router asks for this router's share.
    pub(super) fn on_ask(&mut self, now: Time, from: RouterId, target: TargetId, req: Request) {
        let wanted = self.wanted.entry(target).or_insert_with(|| Wanted {
            since: now,
            by: BTreeMap::new(),
        });
        wanted.by.insert(from, req);
    }

    /// Removes and returns the requests for a share if they have been collected for long enough.
    pub(super) fn take_wanted(
        &mut self,
        now: Time,
        target: TargetId,
    ) -> BTreeMap<RouterId, Request> {
        let wanted = self.wanted.get(&target);
        match wanted.is_some_and(|wanted| now.since(wanted.since) >= COLLECTING) {
            true => self
                .wanted
                .remove(&target)
                .map_or_else(BTreeMap::new, |it| it.by),
            false => BTreeMap::new(),
        }
    }

    /// Lends a router more of this router's share, and extends what it lent to it before. Returns the
    /// sum. This router does without it until the borrower's last request is out of the window.
    pub(super) fn lend(&mut self, now: Time, target: TargetId, to: RouterId, more: usize) -> usize {
        let loans = self.lent.entry(target).or_default();
        let current = loans.get(&to).filter(|loan| loan.until > now);
        let units = current.map_or(0, |loan| loan.units) + more;
        if units > 0 {
            let until = now + TERM + WINDOW;
            loans.insert(to, Loan { units, until });
        }
        units
    }

    /// Records that a router lent a share. The term counts from the request, which the lender
    /// received later, so that it ends here before it ends there, however long the messages took.
    /// A loan that does not answer the last request is ignored.
    pub(super) fn on_loan(&mut self, from: RouterId, target: TargetId, units: u32, asked: Time) {
        if self.asked.get(&target) != Some(&asked) {
            return;
        }
        let loan = Loan {
            units: usize::try_from(units).unwrap_or(usize::MAX),
            until: asked + TERM,
        };
        self.borrowed.entry(target).or_default().insert(from, loan);
    }

    /// Drops what has ended.
    pub(super) fn expire(&mut self, now: Time) {
        for loans in [&mut self.lent, &mut self.borrowed] {
            for by_router in loans.values_mut() {
                by_router.retain(|_, loan| loan.until > now);
            }
            loans.retain(|_, by_router| !by_router.is_empty());
        }
        self.wanted
            .retain(|_, wanted| now.since(wanted.since) < TERM);
        self.asked.retain(|_, &mut at| now.since(at) < TERM);
    }
}
