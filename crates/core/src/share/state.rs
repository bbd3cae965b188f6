//! The ledger of the service that organisations received.

use core::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::share::Aggregators;
use crate::share::message::{OwnRow, Row, SharePart, TotalRow};

/// Settings by which service is counted and reported.
#[derive(Debug, Clone)]
pub struct Config {
    /// The minimum charge of a request, taken at its start. Default: 100 generated tokens, the cost
    /// of an ordinary short request.
    pub start_charge: Cost,
    /// The cost of one prompt token. Default: a tenth of a generated token.
    pub prompt_token: Cost,
    /// The most by which an organisation may lag behind the system virtual time. Default: 25000
    /// generated tokens.
    pub catch_up: Cost,
    /// The most by which an organisation may be above the system virtual time when it enters a
    /// pool. Default: 5000 generated tokens.
    pub entry_lead_max: Cost,
    /// The number of periods without service or waiting requests after which an organisation counts
    /// as idle. Default: 4.
    pub idle_after: u32,
    /// The number of routers in the largest fleet in which every router is an aggregator of every
    /// organisation. Default: 8.
    pub full_replication_max: usize,
    /// The number of aggregators of a shard in a larger fleet. Default: 2.
    pub aggregators: usize,
    /// The number of periods after which an unchanged row is reported again. Default: 10.
    pub repeat_after: u32,
    /// The number of periods without a change after which an account is removed. Default: 1200.
    pub forget_after: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            start_charge: Cost::tokens(100),
            prompt_token: Cost::PROMPT_TOKEN,
            catch_up: Cost::tokens(25_000),
            entry_lead_max: Cost::tokens(5_000),
            idle_after: 4,
            full_replication_max: 8,
            aggregators: 2,
            repeat_after: 10,
            forget_after: 1_200,
        }
    }
}

/// The service that each organisation has received in the fleet, as known to this router.
#[derive(Debug)]
pub struct Ledger {
    cfg: Config,
    me: RouterId,
    incarnation: Incarnation,
    accounts: BTreeMap<OrganisationId, Account>,
    aggregators: Aggregators,
    /// The newest incarnation of each peer from which a report was received.
    incarnations: BTreeMap<RouterId, Incarnation>,
    /// Peers that have just started or reconnected and need a complete report.
    new_peers: BTreeSet<RouterId>,
    /// The number of periods since this router started.
    period: u32,
}

/// The service of one organisation, as known to this router.
#[derive(Debug, Default)]
struct Account {
    /// Service that this incarnation of this router counted.
    own: u64,
    /// The amount that was overcharged and is deducted from the next charges.
    credit: Cost,
    /// Service that other incarnations of routers counted and reported.
    rows: BTreeMap<(RouterId, Incarnation), u64>,
    /// Service that others counted, as reported by an aggregator.
    others: u64,
    /// Whether an aggregator has reported a total.
    has_total: bool,
    /// The period in which another router last reported service of the organisation here.
    heard: Option<u32>,
    lift: u64,
    /// Whether the own row or the lift changed since they were reported.
    dirty: bool,
    /// The period in which the own row was last reported.
    reported: u32,
    /// The period in which anything last changed.
    changed: u32,
    /// Routers that reported service of this organisation, with the period of the last report.
    reporters: BTreeMap<RouterId, u32>,
    /// Whether anything changed that this router, as an aggregator, has not reported to the
    /// reporters.
    has_updates: bool,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(me: RouterId, incarnation: Incarnation, cfg: Config) -> Self {
        Self {
            cfg,
            me,
            incarnation,
            accounts: BTreeMap::new(),
            aggregators: Aggregators::default(),
            incarnations: BTreeMap::new(),
            new_peers: BTreeSet::new(),
            period: 0,
        }
    }

    /// Charges service to an organisation, after deducting its credit.
    pub fn charge(&mut self, organisation: OrganisationId, cost: Cost) {
        let account = self.accounts.entry(organisation).or_default();
        let from_credit = account.credit.min(cost);
        account.credit = account.credit.saturating_sub(from_credit);
        account.own += cost.saturating_sub(from_credit).0;
        account.dirty = true;
        account.changed = self.period;
    }

    /// Returns the service of every organisation in the fleet, as known to this router.
    pub fn totals(&self) -> BTreeMap<OrganisationId, Cost> {
        let total = |(&id, account): (&OrganisationId, &Account)| (id, Cost(account.total()));
        self.accounts.iter().map(total).collect()
    }

    /// Credits an overcharged amount to an organisation. The credit is deducted from its next
    /// charges.
    pub fn refund(&mut self, organisation: OrganisationId, cost: Cost) {
        self.accounts.entry(organisation).or_default().credit += cost;
    }

    /// Returns the virtual time of an organisation: its service divided by its weight, plus its
    /// lift. The organisation with the lowest virtual time is served next.
    pub fn virtual_time(&self, organisation: OrganisationId, weight: u32) -> u64 {
        self.accounts.get(&organisation).map_or(0, |account| {
            account.total() / u64::from(weight.max(1)) + account.lift
        })
    }

    /// Lifts an organisation to a virtual time, if its own is lower.
    pub fn lift(&mut self, organisation: OrganisationId, weight: u32, to: u64) {
        let time = self.virtual_time(organisation, weight);
        if time < to {
            let account = self.accounts.entry(organisation).or_default();
            account.lift += to - time;
            account.dirty = true;
            account.changed = self.period;
        }
    }

    /// Records that an organisation has waiting requests, so that no router counts it as idle.
    pub fn mark_active(&mut self, organisation: OrganisationId) {
        let account = self.accounts.entry(organisation).or_default();
        account.dirty = true;
        account.changed = self.period;
    }

    /// Returns whether this router knows what the fleet counted for an organisation: this router is
    /// one of the organisation's aggregators, or one of them has reported a total.
    pub fn has_fleet_total(&mut self, organisation: OrganisationId) -> bool {
        let account = self.accounts.get(&organisation);
        let has_total = account.is_some_and(|account| account.has_total);
        has_total || self.aggregators.of(organisation).contains(&self.me)
    }

    /// Returns whether no router has reported service or waiting requests of an organisation for
    /// more than [`Config::idle_after`] periods.
    pub fn is_idle(&self, organisation: OrganisationId) -> bool {
        let account = self.accounts.get(&organisation);
        account.is_none_or(|account| self.period > account.changed + self.cfg.idle_after)
    }

    /// Returns how many periods ago another router last reported service of an organisation here;
    /// `None` if none ever did.
    pub fn total_age(&self, organisation: OrganisationId) -> Option<u32> {
        let heard = self.accounts.get(&organisation)?.heard?;
        Some(self.period.saturating_sub(heard))
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns the service of an organisation in the fleet, as known to this router.
    pub fn total(&self, organisation: OrganisationId) -> Cost {
        Cost(self.accounts.get(&organisation).map_or(0, Account::total))
    }

    /// Sets the live routers. A router that is live again after an absence gets a complete report.
    pub fn on_live(&mut self, live: Vec<RouterId>) {
        let before: BTreeSet<RouterId> = self.incarnations.keys().copied().collect();
        let (full_replication_max, count) = (self.cfg.full_replication_max, self.cfg.aggregators);
        if self
            .aggregators
            .on_live(live.clone(), full_replication_max, count)
        {
            self.incarnations.retain(|router, _| live.contains(router));
            let new = live.iter().filter(|id| !before.contains(id));
            self.new_peers.extend(new.filter(|&&id| id != self.me));
        }
    }

    /// Applies a report of a peer's incarnation.
    pub fn on_part(&mut self, from: RouterId, incarnation: Incarnation, part: SharePart) {
        let known = self.incarnations.get(&from);
        match known.map(|known| incarnation.cmp(known)) {
            Some(Ordering::Less) => return,
            Some(Ordering::Equal) => {}
            Some(Ordering::Greater) | None => {
                self.incarnations.insert(from, incarnation);
                self.new_peers.insert(from);
            }
        }
        for row in part.own {
            let period = self.period;
            let account = self.accounts.entry(row.organisation).or_default();
            account.merge_row((from, incarnation), row.received);
            account.merge_lift(row.lift);
            account.reporters.insert(from, period);
            account.heard = Some(period);
            account.changed = period;
            account.has_updates = true;
        }
        for row in part.totals {
            let account = self.accounts.entry(row.organisation).or_default();
            account.others = account.others.max(row.others);
            account.has_total = true;
            account.heard = Some(self.period);
            account.merge_lift(row.lift);
        }
        for row in part.rows {
            let source = (row.router, row.incarnation);
            if source != (self.me, self.incarnation) {
                let account = self.accounts.entry(row.organisation).or_default();
                account.merge_row(source, row.received);
                account.heard = Some(self.period);
            }
        }
    }

    /// Begins a new period and returns the report that is due to each peer.
    pub fn report(&mut self) -> BTreeMap<RouterId, SharePart> {
        self.period += 1;
        let mut parts = BTreeMap::new();
        self.remove_unchanged();
        let organisations: Vec<OrganisationId> = self.accounts.keys().copied().collect();
        for organisation in organisations {
            self.report_account(organisation, &mut parts);
        }
        self.new_peers.clear();
        parts.retain(|_, part: &mut SharePart| !part.is_empty());
        parts
    }

    fn report_account(&mut self, id: OrganisationId, parts: &mut BTreeMap<RouterId, SharePart>) {
        let aggregators = self.aggregators.of(id);
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let due = account.dirty || account.is_repeat_due(self.period, self.cfg.repeat_after);
        for &to in aggregators.iter().filter(|&&to| to != self.me) {
            let is_new = self.new_peers.contains(&to);
            if due || is_new {
                parts.entry(to).or_default().own.push(account.own_row(id));
            }
            if is_new {
                let rows = &mut parts.entry(to).or_default().rows;
                rows.extend(account.rows(id));
            }
        }
        if due {
            account.reported = self.period;
            account.dirty = false;
        }
        if aggregators.contains(&self.me) && account.has_updates {
            let recent = self.period.saturating_sub(self.cfg.repeat_after * 2);
            account.reporters.retain(|_, period| *period >= recent);
            for &to in account.reporters.keys() {
                if !aggregators.contains(&to) {
                    let incarnation = self.incarnations.get(&to);
                    let receiver = incarnation.map(|&incarnation| (to, incarnation));
                    let row = account.total_row(id, receiver);
                    parts.entry(to).or_default().totals.push(row);
                }
            }
            account.has_updates = false;
        }
    }

    /// Removes accounts that have not changed for [`Config::forget_after`] periods.
    fn remove_unchanged(&mut self) {
        let limit = self.period.saturating_sub(self.cfg.forget_after);
        self.accounts.retain(|_, account| account.changed >= limit);
    }
}

impl Account {
    fn total(&self) -> u64 {
        let rows: u64 = self.rows.values().sum();
        self.own + rows.max(self.others)
    }

    fn merge_row(&mut self, source: (RouterId, Incarnation), received: u64) {
        let row = self.rows.entry(source).or_default();
        self.has_updates |= received > *row;
        *row = received.max(*row);
    }

    fn merge_lift(&mut self, lift: u64) {
        self.has_updates |= lift > self.lift;
        self.lift = self.lift.max(lift);
    }

    /// Returns whether the own row of an active account has to be reported again, in case the last
    /// report was lost.
    const fn is_repeat_due(&self, period: u32, repeat_after: u32) -> bool {
        period >= self.reported + repeat_after && self.changed + 2 * repeat_after >= period
    }

    const fn own_row(&self, organisation: OrganisationId) -> OwnRow {
        OwnRow {
            organisation,
            received: self.own,
            lift: self.lift,
        }
    }

    /// Returns the rows that other routers and incarnations counted.
    fn rows(&self, organisation: OrganisationId) -> impl Iterator<Item = Row> {
        self.rows
            .iter()
            .map(move |(&(router, incarnation), &received)| Row {
                organisation,
                router,
                incarnation,
                received,
            })
    }

    /// Returns the total service without what the receiver itself counted.
    fn total_row(
        &self,
        organisation: OrganisationId,
        receiver: Option<(RouterId, Incarnation)>,
    ) -> TotalRow {
        let receivers_own = receiver
            .and_then(|receiver| self.rows.get(&receiver))
            .copied();
        let rows: u64 = self.rows.values().sum();
        TotalRow {
            organisation,
            others: self.own + rows - receivers_own.unwrap_or(0),
            lift: self.lift,
        }
    }
}
