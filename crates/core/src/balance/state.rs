//! What is known of the load of targets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::balance::holdings::shared;
use crate::balance::message::{ClaimRow, HeldRow, LoadPart, LoadRow};
use crate::balance::turns::Turns;
use crate::balance::{Config, Holdings};
use crate::pass::Pass;
use crate::prelude::*;

/// The most parts of prompts that peers are told of in one report: twice what a router of the users' fleets
/// sends in that time.
const HELD_MAX: usize = 8;
/// The most parts that wait to be told; the oldest are dropped, because they age fastest.
const UNTOLD_MAX: usize = 64;

/// How many requests a router has at targets, or more, that counts as one with work. Platforms ask each router now and
/// then how it is configured, and those requests alone should not make it one.
const WORK_MIN: u32 = 4;
/// The most busy routers that a report names. At four bytes each they stay below the rows of a report.
const BUSY_MAX: usize = 64;

/// What routers have at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that the target has still to read.
    pub unread: u64,
    /// Requests that wait or run there.
    pub requests: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.unread += other.unread;
        self.requests += other.requests;
    }

    fn subtract(&mut self, other: Self) {
        self.unread = self.unread.saturating_sub(other.unread);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// What a peer told.
#[derive(Debug, Default)]
pub(super) struct Told {
    pub(super) at: Time,
    loads: BTreeMap<TargetId, Load>,
    /// What waits there.
    pub(super) claims: Vec<ClaimRow>,
    /// When it last told of work.
    worked_at: Option<Time>,
    /// The routers with work that it has heard.
    busy: Vec<RouterId>,
}

impl Told {
    fn has_work(&self) -> bool {
        has_work(&self.loads, !self.claims.is_empty())
    }
}

/// Says whether a router has so much work that others should know of it.
fn has_work(loads: &BTreeMap<TargetId, Load>, waits: bool) -> bool {
    let requests: u32 = loads.values().map(|load| load.requests).sum();
    waits || requests >= WORK_MIN
}

/// The load of every target, as far as this router knows.
#[derive(Debug)]
pub struct Balance {
    pub(super) cfg: Config,
    pub(super) holdings: Holdings,
    own: BTreeMap<TargetId, Load>,
    pub(super) told: BTreeMap<RouterId, Told>,
    pub(super) turns: Turns,
    /// The sum of what all peers told, so that a look at a target costs the same for any number of peers.
    peers: BTreeMap<TargetId, Load>,
    /// The time of the oldest word of a peer in that sum.
    oldest: Time,
    /// Long parts that this router sent and peers have not been told of, the oldest first.
    untold: VecDeque<HeldRow>,
    reported: Reported,
}

/// What peers were told last.
#[derive(Debug, Default)]
struct Reported {
    at: Time,
    /// When they were told everything.
    full_at: Time,
    loads: BTreeMap<TargetId, Load>,
    claims: Vec<ClaimRow>,
    busy: Vec<RouterId>,
    /// When this router last had work to tell of.
    worked_at: Option<Time>,
}

impl Balance {
    /// Returns the state of a router that has sent nothing.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            holdings: Holdings::default(),
            own: BTreeMap::new(),
            told: BTreeMap::new(),
            turns: Turns::default(),
            peers: BTreeMap::new(),
            oldest: Time::default(),
            untold: VecDeque::new(),
            reported: Reported::default(),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns what the fleet has at a target.
    pub fn load(&self, now: Time, target: TargetId) -> Load {
        let mut sum = self.own.get(&target).copied().unwrap_or_default();
        if self.has_fresh_sum(now) {
            sum.add(self.peers.get(&target).copied().unwrap_or_default());
            return sum;
        }
        // Somebody fell silent since the last report, which removes it.
        let fresh = |told: &&Told| now.since(told.at) < self.cfg.stale_after;
        for told in self.told.values().filter(fresh) {
            sum.add(told.loads.get(&target).copied().unwrap_or_default());
        }
        sum
    }

    /// Returns what the fleet has at each of these targets, as [`load`](Self::load) does. In ascending order they take one
    /// pass over what is known, because a search for each target is most of a look at many.
    pub fn loads(
        &self,
        now: Time,
        targets: impl Iterator<Item = TargetId>,
    ) -> impl Iterator<Item = Load> {
        let fresh = self.has_fresh_sum(now);
        let (mut own, mut peers) = (Pass::new(&self.own), Pass::new(&self.peers));
        targets.map(move |target| {
            if !fresh {
                return self.load(now, target);
            }
            let mut sum = own.get(target).copied().unwrap_or_default();
            sum.add(peers.get(target).copied().unwrap_or_default());
            sum
        })
    }

    fn has_fresh_sum(&self, now: Time) -> bool {
        now.since(self.oldest) < self.cfg.stale_after
    }

    /// Notes that a request went to a target that has to read `unread` tokens for it.
    pub fn on_dispatch(&mut self, now: Time, target: TargetId, unread: u32, parts: &[PromptPart]) {
        let load = self.own.entry(target).or_default();
        load.unread += u64::from(unread);
        load.requests += 1;
        self.note_parts(now, target, parts);
    }

    /// Notes which parts a target has now. Peers are told of the deepest one, unless somebody sent it there
    /// not long ago or it is short.
    fn note_parts(&mut self, now: Time, target: TargetId, parts: &[PromptPart]) {
        let shared: Vec<_> = shared(parts).collect();
        let tokens: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if let Some(&(chain, _)) = shared.last()
            && tokens > self.cfg.reread_min
        {
            let lately = now - self.cfg.prefix_ttl / 2;
            let is_known = self.holdings.holders(lately, chain).any(|it| it == target);
            if !is_known {
                self.untold.push_back(HeldRow { target, chain });
            }
            if self.untold.len() > UNTOLD_MAX {
                self.untold.pop_front();
            }
        }
        for (chain, _) in shared {
            self.holdings.note(now, target, chain);
        }
    }

    /// Notes that a target has read what it had to read for a request.
    pub fn on_read(&mut self, target: TargetId, unread: u32) {
        if let Some(load) = self.own.get_mut(&target) {
            load.unread = load.unread.saturating_sub(u64::from(unread));
        }
    }

    /// Notes that a request is no longer at a target.
    pub fn on_end(&mut self, target: TargetId) {
        if let Some(load) = self.own.get_mut(&target) {
            load.requests = load.requests.saturating_sub(1);
            if load.requests == 0 {
                self.own.remove(&target);
            }
        }
    }

    /// Forgets what a target held, because it began anew.
    pub fn on_restart(&mut self, target: TargetId) {
        self.holdings.forget(target);
    }

    /// Takes in what a peer has at targets.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: &LoadPart) {
        let told = self.told.entry(from).or_default();
        told.at = now;
        if part.is_full {
            for (target, load) in core::mem::take(&mut told.loads) {
                self.peers.entry(target).or_default().subtract(load);
            }
        }
        for row in &part.rows {
            let load = Load {
                unread: u64::from(row.unread),
                requests: row.requests,
            };
            let before = match load == Load::default() {
                true => told.loads.remove(&row.target),
                false => told.loads.insert(row.target, load),
            };
            let sum = self.peers.entry(row.target).or_default();
            sum.subtract(before.unwrap_or_default());
            sum.add(load);
        }
        told.claims.clone_from(&part.claims);
        if told.has_work() {
            told.worked_at = Some(now);
        }
        if let Some(busy) = &part.busy {
            told.busy.clone_from(busy);
        }
        for row in &part.held {
            self.holdings.note(now, row.target, row.chain);
        }
        self.note_oldest(now);
    }

    fn note_oldest(&mut self, now: Time) {
        let heard = self.told.values().map(|told| told.at);
        self.oldest = heard.min().unwrap_or(now);
    }

    /// Returns how many peers have told lately what they have at targets and what waits at them.
    pub fn reporting_peers(&self, now: Time) -> usize {
        let fresh = |told: &&Told| now.since(told.at) < self.cfg.stale_after;
        self.told.values().filter(fresh).count()
    }

    /// Says whether this router has told of work lately.
    pub fn had_recent_work(&self, now: Time) -> bool {
        self.is_lately(now, self.reported.worked_at)
    }

    /// Returns the routers with work that this router knows of: those that told so, and those that others heard.
    pub fn busy_routers(&self, now: Time) -> BTreeSet<RouterId> {
        let fresh = |told: &&Told| now.since(told.at) < self.cfg.stale_after;
        let told = self.told.values().filter(fresh);
        let heard = told.flat_map(|told| told.busy.iter().copied());
        self.heard_busy(now).chain(heard).collect()
    }

    fn heard_busy(&self, now: Time) -> impl Iterator<Item = RouterId> {
        let told = self.told.iter();
        told.filter(move |(_, told)| self.is_lately(now, told.worked_at))
            .map(|(&router, _)| router)
    }

    fn is_lately(&self, now: Time, at: Option<Time>) -> bool {
        at.is_some_and(|at| now.since(at) < self.cfg.stale_after)
    }

    /// Returns everything that this router has at targets, for a peer that is told for the first time.
    pub fn full_report(&self) -> LoadPart {
        LoadPart {
            is_full: true,
            rows: self.rows(true),
            claims: self.reported.claims.clone(),
            held: Vec::new(),
            busy: Some(self.reported.busy.clone()),
        }
    }

    /// Returns what is told to peers, if it changed or was told long ago, and forgets peers that fell silent.
    /// `is_named` says whether callers are sent to a router, so that all that have work know it anyway.
    pub fn report(
        &mut self,
        now: Time,
        claims: Vec<ClaimRow>,
        is_named: impl Fn(RouterId) -> bool,
    ) -> Option<LoadPart> {
        self.forget_silent(now);
        let busy = self.heard_busy(now).filter(|&router| !is_named(router));
        let busy: Vec<RouterId> = busy.take(BUSY_MAX).collect();
        if has_work(&self.own, !claims.is_empty()) {
            self.reported.worked_at = Some(now);
        }
        let is_full = now.since(self.reported.full_at) >= self.cfg.stale_after / 2;
        let rows = self.rows(is_full);
        let is_known = rows.is_empty()
            && claims == self.reported.claims
            && busy == self.reported.busy
            && self.untold.is_empty();
        let is_fresh = now.since(self.reported.at) < self.cfg.stale_after / 4;
        if is_known && is_fresh && !is_full {
            return None;
        }
        let reported = &mut self.reported;
        reported.at = now;
        reported.loads.clone_from(&self.own);
        reported.claims.clone_from(&claims);
        let tells_busy = is_full || busy != reported.busy;
        reported.busy.clone_from(&busy);
        if is_full {
            reported.full_at = now;
        }
        let held = self.untold.len().min(HELD_MAX);
        Some(LoadPart {
            is_full,
            rows,
            claims,
            held: self.untold.drain(..held).collect(),
            busy: tells_busy.then_some(busy),
        })
    }

    /// Returns the rows of all targets, or those that differ from what was reported last.
    fn rows(&self, is_full: bool) -> Vec<LoadRow> {
        let row = |target, load: Load| LoadRow {
            target,
            unread: u32::try_from(load.unread).unwrap_or(u32::MAX),
            requests: load.requests,
        };
        let reported = &self.reported.loads;
        let is_new = |target, load| is_full || reported.get(target) != Some(load);
        let own = self
            .own
            .iter()
            .filter(|(target, load)| is_new(target, load));
        let own = own.map(|(&target, &load)| row(target, load));
        let left = reported
            .keys()
            .filter(|target| !is_full && !self.own.contains_key(target));
        own.chain(left.map(|&target| row(target, Load::default())))
            .collect()
    }

    fn forget_silent(&mut self, now: Time) {
        let stale = self.cfg.stale_after;
        let peers = &mut self.peers;
        self.told.retain(|_, told| {
            let stays = now.since(told.at) < stale;
            if !stays {
                for (target, load) in &told.loads {
                    peers.entry(*target).or_default().subtract(*load);
                }
            }
            stays
        });
        self.peers.retain(|_, load| *load != Load::default());
        self.note_oldest(now);
    }
}
