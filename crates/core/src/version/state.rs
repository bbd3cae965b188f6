//! The moves of the catalogue, and what is known of them.

mod stand;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

use crate::catalogue::Catalogue;
use crate::catalogue::entry::Move;
use crate::output::MovePhase;
use crate::prelude::*;
use crate::record::Record;
use crate::version::evidence::{Evidence, Measure, Pool, Route, Tally};
use crate::version::message::{Fact, Fault, MoveStep, Seen, TakenBack, VersionPart};
use crate::version::schedule::{ALL, Due, due, share};
use crate::version::{Config, Policy};

/// The most moves of which something is known before the catalogue names them.
const FACTS_MAX: usize = 256;

/// Which targets of a pool may take the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// All of them, as no move is under way.
    Any,
    /// Those that do not run the new version.
    Old,
    /// Those that run the new version.
    New,
}

/// Who takes the steps of moves, as this router sees it.
#[derive(Debug, Clone, Copy)]
pub struct Decider {
    /// The live router that rendezvous hashing prefers for the pool.
    pub best: RouterId,
    /// The fencing number, if this router holds the lease of the move.
    pub fence: Option<Fence>,
    /// Whether the log cannot be read, so that no lease can be held for long.
    pub log_down: bool,
    /// Whether the new version has a target that may be given work.
    pub has_target: bool,
}

/// What operators see of a move.
#[derive(Debug, Clone, serde::Serialize)]
pub struct MoveStatus {
    /// The name of the pool.
    pub pool: String,
    /// The version that served before.
    pub from: String,
    /// The version that shall serve.
    pub to: String,
    /// When all traffic shall have moved.
    pub finish_at: Time,
    /// The share of the new version, in thousandths.
    pub share: u32,
    /// What is known of the move.
    pub fact: Fact,
}

/// The moves of all pools.
#[derive(Debug)]
pub struct Moves {
    me: RouterId,
    cfg: Config,
    moves: BTreeMap<PoolId, Active>,
    facts: BTreeMap<(PoolId, Offset), Known>,
    /// The change of the catalogue that was followed last.
    followed: Option<u64>,
    next: Time,
}

/// A move of the catalogue.
#[derive(Debug)]
struct Active {
    name: String,
    revision: Offset,
    entry: Move,
    /// What the new version is owed, in thousandths of a request.
    credit: i64,
    /// The version whose turn it is, but of which this router has no slot, and since when.
    missed: Option<(Arm, Time)>,
    own: Evidence,
    /// What this router saw itself.
    alone: Pool,
    counted: BTreeMap<Route, Tally>,
    /// What all routers saw, if this router decides.
    pooled: Pool,
    heard: BTreeMap<RouterId, Heard>,
    sent: Option<(RouterId, Heard)>,
    /// The evidence that was logged last.
    logged: Tally,
    /// When this router last took a step.
    stepped: Option<Time>,
    /// The targets that run the new version.
    new_targets: BTreeSet<TargetId>,
    /// What operators were told last of how it stands.
    operators_know: Option<MovePhase>,
}

/// Totals of one router.
#[derive(Debug, Clone, Default, PartialEq)]
struct Heard {
    tallies: BTreeMap<Route, Tally>,
    breaks: BTreeMap<TargetId, u32>,
}

/// What is known of a move, and how far others know it.
#[derive(Debug, Default)]
struct Known {
    fact: Fact,
    /// What was read from the log, and what was appended last.
    logged: Fact,
    appended: Option<Time>,
    /// When it was last read from the log.
    logged_at: Time,
    told: Time,
    /// Whether there is news that peers have not been told.
    news: bool,
}

impl Moves {
    /// Returns the state of a router that knows of no move.
    pub const fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            me,
            cfg,
            moves: BTreeMap::new(),
            facts: BTreeMap::new(),
            followed: None,
            next: Time(0),
        }
    }

    /// Counts the end of a request at a target of this version.
    pub fn on_end(
        &mut self,
        cx: &mut Context,
        pool: PoolId,
        version: &str,
        route: Route,
        failed: bool,
    ) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        active.own.on_end(route, new, failed);
        if failed && new {
            self.judge(cx, pool);
        }
    }

    /// Counts broken connections of a target of this version.
    pub fn on_break(&mut self, cx: &mut Context, pool: PoolId, target: TargetId, version: &str) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        *active.own.breaks.entry(target).or_default() += 1;
        active.alone.on_break(cx.now, target, new);
        active.pooled.on_break(cx.now, target, new);
        self.judge(cx, pool);
    }

    /// Says whether a time of a request at a target of this version is slow, if that is known.
    pub fn is_slow(
        &mut self,
        pool: PoolId,
        version: &str,
        route: Route,
        measure: Measure,
        time: Duration,
    ) -> Option<bool> {
        let new = self.is_new(pool, version);
        let active = self.moves.get_mut(&pool)?;
        active.own.is_slow(route, new, measure, time)
    }

    /// Counts a request at a target of this version whose start was compared.
    pub fn on_started(&mut self, pool: PoolId, version: &str, route: Route, late: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_started(route, new, late);
        }
    }

    /// Counts a request at a target of this version whose times were compared.
    pub fn on_timed(&mut self, pool: PoolId, version: &str, route: Route, slow: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_timed(route, new, slow);
        }
    }

    /// Takes over a step that was read from the log.
    pub fn on_record(&mut self, cx: &mut Context, step: &MoveStep) {
        let known = self.facts.entry((step.pool, step.revision)).or_default();
        known.logged.merge(&step.fact);
        known.logged_at = cx.now;
        self.merge(cx, step);
    }

    /// Takes in what a peer tells.
    pub fn on_part(&mut self, cx: &mut Context, from: RouterId, part: &VersionPart) {
        for step in &part.steps {
            self.merge(cx, step);
        }
        for seen in &part.seen {
            let Some(active) = self.moves.get_mut(&seen.pool) else {
                continue;
            };
            if active.revision == seen.revision {
                active.on_seen(cx.now, from, seen);
            }
        }
    }

    /// Says whether it is time to follow the catalogue and the clock, and notes that it is done.
    pub fn is_due(&mut self, now: Time) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + self.cfg.period;
        }
        due
    }

    /// Follows the catalogue, which is to be done before the next dispatch, so that no target of a new
    /// version is used before its move is known.
    pub fn follow(&mut self, catalogue: &Catalogue) {
        if self.followed.replace(catalogue.changes()) == Some(catalogue.changes()) {
            return;
        }
        let entries: BTreeMap<PoolId, (&str, Offset, &Move)> = catalogue
            .pools()
            .filter_map(|(pool, entry)| {
                let (revision, entry_of_move) = catalogue.move_of(&entry.name)?;
                Some((pool, (entry.name.as_str(), revision, entry_of_move)))
            })
            .collect();
        self.moves.retain(|pool, _| entries.contains_key(pool));
        self.facts.retain(|(pool, revision), _| {
            let now = entries.get(pool).map(|(_, now, _)| *now);
            now.is_none_or(|now| *revision >= now)
        });
        while self.facts.len() > FACTS_MAX {
            self.facts.pop_first();
        }
        for (pool, (name, revision, entry)) in entries {
            let known = self.moves.get(&pool).map(|active| active.revision);
            if known != Some(revision) {
                let active = Active::new(self.me, pool, name, revision, entry);
                self.moves.insert(pool, active);
            }
            if let Some(active) = self.moves.get_mut(&pool) {
                let targets = catalogue.targets_of(pool);
                let new = targets.filter(|view| view.entry.version == active.entry.to);
                active.new_targets = new.map(|view| view.id).collect();
            }
        }
    }

    /// Returns the pools with a move that is not final.
    pub fn open(&self) -> Vec<PoolId> {
        let open = |(pool, active): (&PoolId, &Active)| {
            let fact = self.fact(*pool, active.revision);
            (!fact.is_some_and(Fact::is_final)).then_some(*pool)
        };
        self.moves.iter().filter_map(open).collect()
    }

    /// Says whether there is no move at all, so that nothing has to be compared.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    /// Returns every pool with a move.
    pub fn pools(&self) -> Vec<PoolId> {
        self.moves.keys().copied().collect()
    }

    /// Takes the steps that are due and judges the evidence.
    pub fn step(&mut self, cx: &mut Context, pool: PoolId, decider: Decider) {
        self.tell_decider(cx, pool, decider.best);
        self.judge(cx, pool);
        if decider.best == self.me {
            self.log_evidence(cx, pool);
        }
        let acts = decider.fence.is_some() || (decider.log_down && decider.best == self.me);
        let Some(active) = self.moves.get(&pool).filter(|_| acts) else {
            return;
        };
        let mut fact = self
            .fact(pool, active.revision)
            .cloned()
            .unwrap_or_default();
        let soon = active
            .stepped
            .is_some_and(|at| cx.now.since(at) < self.cfg.stage_min);
        if fact.is_final() || !decider.has_target || soon {
            return;
        }
        let start = *fact.start.get_or_insert(cx.now);
        fact.fence = fact.fence.max(decider.fence.unwrap_or_default());
        let next = fact.stage.map_or(0, |stage| stage.saturating_add(1));
        match due(cx.now, start, active.entry.finish_at - self.cfg.margin) {
            Due::Finish => fact.finished = true,
            Due::Stage(due) if due >= next => fact.stage = Some(next),
            Due::Stage(_) => return,
        }
        let step = MoveStep {
            pool,
            revision: active.revision,
            fact,
        };
        if let Some(active) = self.moves.get_mut(&pool) {
            active.stepped = Some(cx.now);
        }
        self.merge(cx, &step);
    }

    /// Records what the log does not hold yet, and tells peers what is new, or again after a while.
    pub fn spread(
        &mut self,
        cx: &mut Context,
        pool: PoolId,
        is_best: bool,
        log_down: bool,
        partners: &[RouterId],
    ) {
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let revision = active.revision;
        let retry = self.cfg.append_retry;
        let repeat = self.cfg.repeat;
        let Some(known) = self.facts.get_mut(&(pool, revision)) else {
            return;
        };
        let step = MoveStep {
            pool,
            revision,
            fact: known.fact.clone(),
        };
        let own_word = known
            .fact
            .taken_back
            .as_ref()
            .is_some_and(|back| back.by == cx.me);
        let waits = known.appended.is_some_and(|at| cx.now.since(at) < retry);
        let ages = cx.now.since(known.logged_at) >= self.cfg.refresh;
        let lacks = known.fact != known.logged || ages;
        if lacks && !waits && !log_down && (is_best || own_word) {
            known.appended = Some(cx.now);
            cx.append(&Record::Move(step.clone()));
        }
        if !known.news && cx.now.since(known.told) < repeat {
            return;
        }
        let urgency = if known.news {
            Urgency::Now
        } else {
            Urgency::Periodic
        };
        known.news = false;
        known.told = cx.now;
        for &to in partners {
            let part = VersionPart {
                steps: vec![step.clone()],
                seen: Vec::new(),
            };
            cx.send(to, Part::Version(part), urgency);
        }
    }

    /// Returns the moves for operators.
    pub fn status(&self) -> Vec<MoveStatus> {
        let status = |(pool, active): (&PoolId, &Active)| MoveStatus {
            pool: active.name.clone(),
            from: active.entry.from.clone(),
            to: active.entry.to.clone(),
            finish_at: active.entry.finish_at,
            share: self.share_of(*pool, active),
            fact: self
                .fact(*pool, active.revision)
                .cloned()
                .unwrap_or_default(),
        };
        self.moves.iter().map(status).collect()
    }

    fn is_new(&self, pool: PoolId, version: &str) -> bool {
        let active = self.moves.get(&pool);
        active.is_some_and(|active| active.entry.to == version)
    }

    fn fact(&self, pool: PoolId, revision: Offset) -> Option<&Fact> {
        self.facts.get(&(pool, revision)).map(|known| &known.fact)
    }

    fn share_of(&self, pool: PoolId, active: &Active) -> u32 {
        if self.cfg.policy == Policy::AtOnce {
            return ALL;
        }
        match self.fact(pool, active.revision) {
            Some(fact) if fact.taken_back.is_some() => 0,
            Some(fact) if fact.finished => ALL,
            Some(Fact {
                stage: Some(stage), ..
            }) => share(*stage).min(self.cfg.share_max),
            _ => 0,
        }
    }

    fn merge(&mut self, cx: &mut Context, step: &MoveStep) {
        let known = self.facts.entry((step.pool, step.revision)).or_default();
        let before = known.fact.clone();
        if !known.fact.merge(&step.fact) {
            return;
        }
        known.news = true;
        let after = known.fact.clone();
        let name = self.moves.get(&step.pool);
        let name = name.map_or_else(|| step.pool.to_string(), |active| active.name.clone());
        match &after.taken_back {
            Some(back) if before.taken_back.is_none() => {
                cx.count(Counter::MoveTakenBack);
                let fault = back.fault.as_str();
                let subject = format!("{name}: taken back by {}: {fault}", back.by);
                cx.notice(NoticeKind::Version, subject);
            }
            None if after.finished && !before.finished => {
                cx.count(Counter::MoveFinished);
                cx.notice(NoticeKind::Version, format!("{name}: finished"));
            }
            None if after.stage != before.stage => {
                let share = after.stage.map_or(0, share).min(self.cfg.share_max);
                let subject = format!("{name}: {share} in 1000 requests go to the new version");
                cx.notice(NoticeKind::Version, subject);
            }
            _ => {}
        }
    }

    /// Takes the move back if the new version is bad, by what this router saw or what all did.
    fn judge(&mut self, cx: &mut Context, pool: PoolId) {
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        active.count_own(cx.now);
        let revision = active.revision;
        let found = active.alone.fault().or_else(|| active.pooled.fault());
        let Some((route, fault)) = found.filter(|_| self.cfg.policy == Policy::Staged) else {
            return;
        };
        let mut fact = self.fact(pool, revision).cloned().unwrap_or_default();
        if fact.is_final() {
            return;
        }
        fact.taken_back = Some(TakenBack {
            at: cx.now,
            by: cx.me,
            fault,
            route,
        });
        let step = MoveStep {
            pool,
            revision,
            fact,
        };
        self.merge(cx, &step);
    }

    /// Writes what speaks for and against the new version, whenever that has changed.
    fn log_evidence(&mut self, cx: &mut Context, pool: PoolId) {
        let share = self.moves.get(&pool);
        let share = share.map_or(0, |active| self.share_of(pool, active));
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        let seen = active.pooled.whole();
        if core::mem::replace(&mut active.logged, seen) != seen {
            let name = &active.name;
            let subject = format!("{name}: share={share} old {} new {}", seen.old, seen.new);
            cx.notice(NoticeKind::Version, subject);
        }
    }

    fn tell_decider(&mut self, cx: &mut Context, pool: PoolId, best: RouterId) {
        let Some(active) = self.moves.get_mut(&pool).filter(|_| best != cx.me) else {
            return;
        };
        let totals = Heard {
            tallies: active.own.tallies.clone(),
            breaks: active.own.breaks.clone(),
        };
        let due = (best, totals);
        if due.1 == Heard::default() || active.sent.as_ref() == Some(&due) {
            return;
        }
        let seen = Seen {
            pool,
            revision: active.revision,
            tallies: due.1.tallies.iter().map(|(&k, &v)| (k, v)).collect(),
            breaks: due.1.breaks.iter().map(|(&k, &v)| (k, v)).collect(),
        };
        active.sent = Some(due);
        let part = VersionPart {
            steps: Vec::new(),
            seen: vec![seen],
        };
        cx.send(best, Part::Version(part), Urgency::Now);
    }
}

impl Active {
    fn new(me: RouterId, pool: PoolId, name: &str, revision: Offset, entry: &Move) -> Self {
        // Routers begin at different places, so that a small share of few requests each is exact
        // over the fleet too.
        let phase = u64::from(me.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(pool.0);
        let credit = i64::try_from((phase >> 20) % u64::from(ALL)).unwrap_or(0);
        Self {
            name: name.to_owned(),
            revision,
            entry: entry.clone(),
            credit,
            missed: None,
            own: Evidence::default(),
            alone: Pool::default(),
            counted: BTreeMap::new(),
            pooled: Pool::default(),
            heard: BTreeMap::new(),
            sent: None,
            logged: Tally::default(),
            stepped: None,
            new_targets: BTreeSet::new(),
            operators_know: None,
        }
    }

    /// Adds what this router saw since the last time.
    fn count_own(&mut self, now: Time) {
        for (&route, &tally) in &self.own.tallies {
            let before = self.counted.insert(route, tally).unwrap_or_default();
            let new = tally.since(before);
            if new != Tally::default() {
                self.alone.add(now, route, new, true);
                self.pooled.add(now, route, new, true);
            }
        }
    }

    /// Adds what another router saw since the last time. What it saw before this router first heard of
    /// it counts for the whole move, not for the recent past.
    fn on_seen(&mut self, now: Time, from: RouterId, seen: &Seen) {
        let is_recent = self.heard.contains_key(&from);
        let heard = self.heard.entry(from).or_default();
        for &(route, tally) in &seen.tallies {
            let before = heard.tallies.insert(route, tally).unwrap_or_default();
            self.pooled.add(now, route, tally.since(before), is_recent);
        }
        for &(target, breaks) in &seen.breaks {
            let before = heard.breaks.insert(target, breaks).unwrap_or_default();
            if breaks > before {
                let new = self.new_targets.contains(&target);
                self.pooled.on_break(now, target, new);
            }
        }
    }
}

impl Fault {
    /// Returns the stable name of the fault.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fails => "fails",
            Self::Slow => "slow",
        }
    }
}
