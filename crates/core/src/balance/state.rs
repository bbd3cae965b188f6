//! What is known of the load of targets.

use std::collections::{BTreeMap, VecDeque};

use crate::balance::holdings::shared;
use crate::balance::message::{FloorRow, HeldRow, LoadPart, LoadRow};
use crate::balance::{Config, Holdings};
use crate::prelude::*;

/// The most parts of prompts that peers are told of in one report: twice what a router of the users' fleets
/// sends in that time.
const HELD_MAX: usize = 8;
/// The most parts that wait to be told; the oldest are dropped, because they age fastest.
const UNTOLD_MAX: usize = 64;

/// What routers have at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that the target has still to read.
    pub unread: u64,
    /// Requests that wait or run there.
    pub requests: u32,
}

/// What a peer told last.
#[derive(Debug)]
struct Told {
    at: Time,
    loads: BTreeMap<TargetId, Load>,
    /// The lowest virtual time that waits there, by pool.
    floors: BTreeMap<PoolId, u64>,
}

/// The load of every target, as far as this router knows.
#[derive(Debug)]
pub struct Balance {
    pub(super) cfg: Config,
    pub(super) holdings: Holdings,
    own: BTreeMap<TargetId, Load>,
    told: BTreeMap<RouterId, Told>,
    /// Parts that peers have not been told of, the oldest first.
    untold: VecDeque<HeldRow>,
    /// What peers were told last, and when.
    reported: (Time, LoadPart),
}

impl Balance {
    /// Returns the state of a router that has sent nothing.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            holdings: Holdings::default(),
            own: BTreeMap::new(),
            told: BTreeMap::new(),
            untold: VecDeque::new(),
            reported: (Time::default(), LoadPart::default()),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns what the fleet has at a target.
    pub fn load(&self, now: Time, target: TargetId) -> Load {
        let mut sum = self.own.get(&target).copied().unwrap_or_default();
        for told in self.told.values() {
            let fresh = now.since(told.at) < self.cfg.stale_after;
            if let Some(load) = told.loads.get(&target).filter(|_| fresh) {
                sum.unread += load.unread;
                sum.requests += load.requests;
            }
        }
        sum
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
            let lately = now - self.cfg.keep / 2;
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
        let load = |row: &LoadRow| Load {
            unread: u64::from(row.unread),
            requests: row.requests,
        };
        let rows = part.rows.iter().map(|row| (row.target, load(row)));
        let floors = part.floors.iter().map(|row| (row.pool, row.lowest));
        let told = Told {
            at: now,
            loads: rows.collect(),
            floors: floors.collect(),
        };
        self.told.insert(from, told);
        for row in &part.held {
            self.holdings.note(now, row.target, row.chain);
        }
    }

    /// Returns the highest virtual time at which an organisation may be served now: a little above the lowest
    /// that waits at any peer.
    pub fn turn_limit(&self, now: Time, pool: PoolId) -> u64 {
        let fresh = |told: &&Told| now.since(told.at) < self.cfg.floor_for;
        let floors = self.told.values().filter(fresh);
        let lowest = floors.filter_map(|told| told.floors.get(&pool)).min();
        lowest.map_or(u64::MAX, |lowest| lowest.saturating_add(self.cfg.lead.0))
    }

    /// Returns what is told to peers, if it changed or was told long ago, and forgets peers that fell silent.
    pub fn report(&mut self, now: Time, floors: Vec<FloorRow>) -> Option<LoadPart> {
        let stale = self.cfg.stale_after;
        self.told.retain(|_, told| now.since(told.at) < stale);
        let rows = self.own.iter().map(|(&target, load)| LoadRow {
            target,
            unread: u32::try_from(load.unread).unwrap_or(u32::MAX),
            requests: load.requests,
        });
        let rows = rows.collect();
        let held = self.untold.len().min(HELD_MAX);
        let part = LoadPart {
            rows,
            floors,
            held: self.untold.drain(..held).collect(),
        };
        let is_known = part.held.is_empty() && part == self.reported.1;
        let is_fresh = now.since(self.reported.0) < self.cfg.stale_after / 4;
        if is_known && is_fresh {
            return None;
        }
        let state = LoadPart {
            held: Vec::new(),
            ..part.clone()
        };
        self.reported = (now, state);
        Some(part)
    }
}
