//! The service that was counted.

use core::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::share::Accountants;
use crate::share::message::{OwnRow, Row, SharePart, TotalRow};

/// How service is counted and told.
#[derive(Debug, Clone)]
pub struct Config {
    /// The least charge of a request, taken at its start: an ordinary short request. Default: 100
    /// generated tokens.
    pub start_charge: Cost,
    /// The service of one prompt token. Default: a tenth of a generated one.
    pub prompt_token: Cost,
    /// How far an organisation may lag behind the system virtual time. Default: 25000 generated tokens.
    pub catch_up: Cost,
    /// How far above the system virtual time an organisation may enter a pool. Default: 5000 generated
    /// tokens.
    pub entry_lead_max: Cost,
    /// The number of periods without service or waiting after which an organisation counts as idle.
    /// Default: 4.
    pub idle_after: u32,
    /// The largest fleet in which every router keeps all accounts. Default: 8.
    pub full_replication_max: usize,
    /// How many routers keep the accounts of a shard in a larger fleet. Default: 2.
    pub accountants: usize,
    /// After how many periods a row is told again although it did not change. Default: 10.
    pub repeat_after: u32,
    /// After how many periods without a change an account is forgotten. Default: 1200.
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
            accountants: 2,
            repeat_after: 10,
            forget_after: 1_200,
        }
    }
}

/// The service that each organisation has received in the fleet, as far as this router knows.
#[derive(Debug)]
pub struct Ledger {
    cfg: Config,
    me: RouterId,
    incarnation: Incarnation,
    accounts: BTreeMap<OrganisationId, Account>,
    accountants: Accountants,
    /// The last run of each peer that was heard.
    runs: BTreeMap<RouterId, Incarnation>,
    /// Peers that have just started or come back and are to be told everything.
    newcomers: BTreeSet<RouterId>,
    period: u32,
}

/// What is known of one organisation's service.
#[derive(Debug, Default)]
struct Account {
    own: u64,
    /// What was charged too much and goes towards the next charge.
    credit: Cost,
    /// What other runs of routers counted, as they told it.
    rows: BTreeMap<(RouterId, Incarnation), u64>,
    /// What others counted, as an accountant told it.
    others: u64,
    /// Whether an accountant has told.
    heard: bool,
    lift: u64,
    /// Whether the own row or the lift changed since they were told.
    dirty: bool,
    /// The period in which the own row was told last.
    told: u32,
    /// The period in which anything changed last.
    changed: u32,
    /// Routers that reported this organisation, with the period in which they did so last.
    reporters: BTreeMap<RouterId, u32>,
    /// Whether something is known that was not told to reporters.
    news: bool,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(me: RouterId, incarnation: Incarnation, cfg: Config) -> Self {
        Self {
            cfg,
            me,
            incarnation,
            accounts: BTreeMap::new(),
            accountants: Accountants::default(),
            runs: BTreeMap::new(),
            newcomers: BTreeSet::new(),
            period: 0,
        }
    }

    /// Counts service of an organisation.
    pub fn charge(&mut self, organisation: OrganisationId, cost: Cost) {
        let account = self.accounts.entry(organisation).or_default();
        let from_credit = account.credit.min(cost);
        account.credit = account.credit.saturating_sub(from_credit);
        account.own += cost.saturating_sub(from_credit).0;
        account.dirty = true;
        account.changed = self.period;
    }

    /// Returns the service of every organisation in the fleet, as far as this router knows.
    pub fn totals(&self) -> BTreeMap<OrganisationId, Cost> {
        let total = |(&id, account): (&OrganisationId, &Account)| (id, Cost(account.total()));
        self.accounts.iter().map(total).collect()
    }

    /// Takes back what was charged too much. It goes towards the organisation's next charge.
    pub fn refund(&mut self, organisation: OrganisationId, cost: Cost) {
        self.accounts.entry(organisation).or_default().credit += cost;
    }

    /// Returns the service received relative to the weight, lift included. The organisation with the
    /// lowest value is served next.
    pub fn virtual_time(&self, organisation: OrganisationId, weight: u32) -> u64 {
        self.accounts.get(&organisation).map_or(0, |account| {
            account.total() / u64::from(weight.max(1)) + account.lift
        })
    }

    /// Lifts an organisation to a virtual time, if it is below.
    pub fn lift(&mut self, organisation: OrganisationId, weight: u32, to: u64) {
        let time = self.virtual_time(organisation, weight);
        if time < to {
            let account = self.accounts.entry(organisation).or_default();
            account.lift += to - time;
            account.dirty = true;
            account.changed = self.period;
        }
    }

    /// Notes that an organisation waits, so that it does not count as idle anywhere.
    pub fn touch(&mut self, organisation: OrganisationId) {
        let account = self.accounts.entry(organisation).or_default();
        account.dirty = true;
        account.changed = self.period;
    }

    /// Says whether this router knows what the fleet counted for an organisation: it is one of its
    /// accountants, or one of them has answered.
    pub fn has_fleet_total(&mut self, organisation: OrganisationId) -> bool {
        let heard = self.accounts.get(&organisation).is_some_and(|a| a.heard);
        heard || self.accountants.of(organisation).contains(&self.me)
    }

    /// Says whether nobody has told of service or of waiting for a few periods.
    pub fn is_idle(&self, organisation: OrganisationId) -> bool {
        let account = self.accounts.get(&organisation);
        account.is_none_or(|account| self.period > account.changed + self.cfg.idle_after)
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns all service of an organisation that this router knows of.
    pub fn total(&self, organisation: OrganisationId) -> Cost {
        Cost(self.accounts.get(&organisation).map_or(0, Account::total))
    }

    /// Takes over which routers are alive. A router that has come back is told everything again.
    pub fn on_live(&mut self, live: Vec<RouterId>) {
        let before: BTreeSet<RouterId> = self.runs.keys().copied().collect();
        let (full_replication_max, count) = (self.cfg.full_replication_max, self.cfg.accountants);
        if self
            .accountants
            .on_live(live.clone(), full_replication_max, count)
        {
            self.runs.retain(|router, _| live.contains(router));
            let back = live.iter().filter(|id| !before.contains(id));
            self.newcomers.extend(back.filter(|&&id| id != self.me));
        }
    }

    /// Takes over what a run of a peer tells.
    pub fn on_part(&mut self, from: RouterId, incarnation: Incarnation, part: SharePart) {
        match self.runs.get(&from).map(|known| incarnation.cmp(known)) {
            Some(Ordering::Less) => return,
            Some(Ordering::Equal) => {}
            Some(Ordering::Greater) | None => {
                self.runs.insert(from, incarnation);
                self.newcomers.insert(from);
            }
        }
        for row in part.own {
            let period = self.period;
            let account = self.accounts.entry(row.organisation).or_default();
            account.merge_row((from, incarnation), row.received);
            account.merge_lift(row.lift);
            account.reporters.insert(from, period);
            account.changed = period;
            account.news = true;
        }
        for row in part.totals {
            let account = self.accounts.entry(row.organisation).or_default();
            account.others = account.others.max(row.others);
            account.heard = true;
            account.merge_lift(row.lift);
        }
        for row in part.rows {
            let run = (row.router, row.incarnation);
            if run != (self.me, self.incarnation) {
                let account = self.accounts.entry(row.organisation).or_default();
                account.merge_row(run, row.received);
            }
        }
    }

    /// Returns what is due to each peer in this period.
    pub fn report(&mut self) -> BTreeMap<RouterId, SharePart> {
        self.period += 1;
        let mut parts = BTreeMap::new();
        self.forget();
        let organisations: Vec<OrganisationId> = self.accounts.keys().copied().collect();
        for organisation in organisations {
            self.report_account(organisation, &mut parts);
        }
        self.newcomers.clear();
        parts.retain(|_, part: &mut SharePart| !part.is_empty());
        parts
    }

    fn report_account(&mut self, id: OrganisationId, parts: &mut BTreeMap<RouterId, SharePart>) {
        let accountants = self.accountants.of(id);
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let due = account.dirty || account.is_old(self.period, self.cfg.repeat_after);
        for &to in accountants.iter().filter(|&&to| to != self.me) {
            let new = self.newcomers.contains(&to);
            if due || new {
                parts.entry(to).or_default().own.push(account.own_row(id));
            }
            if new {
                let rows = &mut parts.entry(to).or_default().rows;
                rows.extend(account.rows(id));
            }
        }
        if due {
            account.told = self.period;
            account.dirty = false;
        }
        if accountants.contains(&self.me) && account.news {
            let recent = self.period.saturating_sub(self.cfg.repeat_after * 2);
            account.reporters.retain(|_, period| *period >= recent);
            for &to in account.reporters.keys() {
                if !accountants.contains(&to) {
                    let run = self.runs.get(&to).map(|&run| (to, run));
                    let row = account.total_row(id, run);
                    parts.entry(to).or_default().totals.push(row);
                }
            }
            account.news = false;
        }
    }

    fn forget(&mut self) {
        let limit = self.period.saturating_sub(self.cfg.forget_after);
        self.accounts.retain(|_, account| account.changed >= limit);
    }
}

impl Account {
    fn total(&self) -> u64 {
        let rows: u64 = self.rows.values().sum();
        self.own + rows.max(self.others)
    }

    fn merge_row(&mut self, run: (RouterId, Incarnation), received: u64) {
        let row = self.rows.entry(run).or_default();
        self.news |= received > *row;
        *row = received.max(*row);
    }

    fn merge_lift(&mut self, lift: u64) {
        self.news |= lift > self.lift;
        self.lift = self.lift.max(lift);
    }

    /// Says whether the own row of an active account was told so long ago that it may have been lost.
    const fn is_old(&self, period: u32, repeat_after: u32) -> bool {
        period >= self.told + repeat_after && self.changed + 2 * repeat_after >= period
    }

    const fn own_row(&self, organisation: OrganisationId) -> OwnRow {
        OwnRow {
            organisation,
            received: self.own,
            lift: self.lift,
        }
    }

    /// Returns the rows of all other runs.
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

    fn total_row(
        &self,
        organisation: OrganisationId,
        to: Option<(RouterId, Incarnation)>,
    ) -> TotalRow {
        let its = to.and_then(|run| self.rows.get(&run)).copied();
        let rows: u64 = self.rows.values().sum();
        TotalRow {
            organisation,
            others: self.own + rows - its.unwrap_or(0),
            lift: self.lift,
        }
    }
}
