//! The moves of the catalogue, and what is known of them.

mod stand;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

use crate::catalogue::Catalogue;
use crate::catalogue::entry::Move;
use crate::output::MovePhase;
use crate::prelude::*;
use crate::record::Record;
use crate::version::evidence::{Evidence, Measure, Pool, Route, Slice, Tally, Verdict};
use crate::version::message::{Fact, Fault, MoveStep, Seen, TakenBack, VersionPart};
use crate::version::schedule::{ALL, Due, LAST, due, needs_proof, share, share_within};
use crate::version::{Config, Exposure, Policy};

/// The most moves of which something is known before the catalogue names them.
const FACTS_MAX: usize = 256;
/// The part of its share that the new version has to get in the last stage before the move is final, in hundredths. The
/// rest had to go to the old version for want of slots, so that the last step at most doubles what its targets bear.
const CARRIED: u64 = 50;
/// Answers of the new version in the last stage before the move is final.
const LAST_ANSWERS: u32 = 8;
/// The part of the exposure that is planned with, in hundredths: what others sent is known half a second late.
const PLANNED: u64 = 90;

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
pub struct Deciders<'a> {
    /// The live routers that rendezvous hashing prefers for the pool, the best first. All of them see the evidence of
    /// all, and any of them takes the steps that it finds due, because what is known of a move only merges.
    pub routers: &'a [RouterId],
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
    counted: BTreeMap<Slice, Tally>,
    /// What all routers saw, if this router decides.
    pooled: Pool,
    heard: BTreeMap<RouterId, Heard>,
    sent: Option<Sent>,
    /// The evidence that was logged last, and what it said.
    logged: (Tally, Option<Verdict>),
    /// The present stage as this router saw it begin.
    entered: Option<Entered>,
    /// Whether the new version has shown itself good at any time.
    proven: bool,
    /// The targets that run the new version.
    new_targets: BTreeSet<TargetId>,
    /// What operators were told last of how it stands.
    operators_know: Option<MovePhase>,
    /// What they are to be told, and since when.
    untold: Option<(MovePhase, Time)>,
}

/// The beginning of a stage.
#[derive(Debug, Clone, Copy)]
struct Entered {
    stage: Option<u8>,
    at: Time,
    /// The evidence of all at that time.
    seen: Tally,
}

/// What deciders were told last.
#[derive(Debug)]
struct Sent {
    to: Vec<RouterId>,
    totals: Heard,
    /// When all totals were sent.
    whole: Time,
}

/// Totals of one router.
#[derive(Debug, Clone, Default, PartialEq)]
struct Heard {
    tallies: BTreeMap<Slice, Tally>,
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
        slice: Slice,
        failed: bool,
    ) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        active.own.on_end(slice, new, failed);
        if failed && new {
            self.judge_alone(cx, pool);
        }
    }

    /// Counts a request that a target of this version declined.
    pub fn on_declined(&mut self, pool: PoolId, version: &str, slice: Slice) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_declined(slice, new);
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
        self.judge_alone(cx, pool);
    }

    /// Says whether a time of a request of so many tokens at a target of this version is slow, if that is known.
    pub fn is_slow(
        &mut self,
        pool: PoolId,
        version: &str,
        route: Route,
        measure: Measure,
        took: (u32, Duration),
    ) -> Option<bool> {
        let new = self.is_new(pool, version);
        let active = self.moves.get_mut(&pool)?;
        active.own.is_slow(route, new, measure, took)
    }

    /// Counts a request at a target of this version whose start was compared.
    pub fn on_started(&mut self, pool: PoolId, version: &str, slice: Slice, late: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_started(slice, new, late);
        }
    }

    /// Counts a request at a target of this version whose times were compared.
    pub fn on_timed(&mut self, pool: PoolId, version: &str, slice: Slice, slow: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_timed(slice, new, slow);
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

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Says whether there is no move at all, so that nothing has to be compared.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    /// Returns every pool with a move.
    pub fn pools(&self) -> Vec<PoolId> {
        self.moves.keys().copied().collect()
    }

    /// Judges the evidence and takes the step that is due, if the evidence allows it.
    ///
    /// The clock says which stage is due; the evidence says whether it may begin. Where too little is known a move
    /// stays where it is, also past its finishing time: a good version that comes late costs less than a bad one that
    /// cannot be taken back.
    pub fn step(&mut self, cx: &mut Context, pool: PoolId, deciders: Deciders<'_>) {
        self.tell_deciders(cx, pool, deciders.routers);
        self.judge_alone(cx, pool);
        if !deciders.routers.contains(&self.me) {
            return;
        }
        self.enter_stage(cx.now, pool);
        let verdict = self.judge(cx, pool);
        self.log_evidence(cx, pool, verdict);
        let acts = deciders.fence.is_some() || deciders.log_down;
        let Some(active) = self.moves.get(&pool).filter(|_| acts) else {
            return;
        };
        let fact = self.fact(pool, active.revision);
        let mut fact = fact.cloned().unwrap_or_default();
        if fact.is_final() || !deciders.has_target {
            return;
        }
        let start = *fact.start.get_or_insert(cx.now);
        let due = due(cx.now, start, active.entry.finish_at - self.cfg.margin);
        match active.next_step(cx.now, &self.cfg, due, verdict) {
            Some(Due::Finish) => fact.finished = true,
            Some(Due::Stage(stage)) => fact.stage = Some(stage),
            None if due == Due::Finish && verdict == Verdict::Doubtful => {
                let (route, fault) = active.pooled.most_harm();
                self.take_back(cx, pool, route, fault);
                return;
            }
            None => return,
        }
        fact.fence = fact.fence.max(deciders.fence.unwrap_or_default());
        let step = MoveStep {
            pool,
            revision: active.revision,
            fact,
        };
        self.merge(cx, &step);
        self.enter_stage(cx.now, pool);
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
            }) => share_within(*stage, self.cfg.share_max),
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
                cx.count(Counter::MoveRolledBack);
                let fault = back.fault.as_str();
                let subject = format!("{name}: taken back by {}: {fault}", back.by);
                cx.notice(NoticeKind::Version, subject);
            }
            None if after.finished && !before.finished => {
                cx.count(Counter::MoveFinished);
                cx.notice(NoticeKind::Version, format!("{name}: finished"));
            }
            None if after.stage != before.stage => {
                let unproven = self.cfg.share_max;
                let share = after.stage.map_or(0, |stage| share_within(stage, unproven));
                let subject = format!("{name}: {share} in 1000 requests go to the new version");
                cx.notice(NoticeKind::Version, subject);
            }
            _ => {}
        }
    }

    /// Takes the move back if the new version is bad by what this router saw.
    fn judge_alone(&mut self, cx: &mut Context, pool: PoolId) {
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        active.count_own(cx.now);
        if let Verdict::Bad(route, fault) = active.alone.verdict() {
            self.take_back(cx, pool, route, fault);
        }
    }

    /// Takes the move back if the new version is bad by what all routers saw, or has done too much harm without having
    /// shown itself good.
    fn judge(&mut self, cx: &mut Context, pool: PoolId) -> Verdict {
        let Some(active) = self.moves.get_mut(&pool) else {
            return Verdict::Undecided;
        };
        let verdict = active.pooled.verdict();
        // A stage that needs proof began with it, wherever that was found.
        let stage = active.entered.and_then(|entered| entered.stage);
        active.proven |= verdict == Verdict::Good;
        active.proven |= stage.is_some_and(|stage| needs_proof(stage, self.cfg.share_max));
        match verdict {
            Verdict::Bad(route, fault) => self.take_back(cx, pool, route, fault),
            _ if !active.proven && active.pooled.harm() >= self.cfg.harm_max => {
                let (route, fault) = active.pooled.most_harm();
                self.take_back(cx, pool, route, fault);
            }
            Verdict::Doubtful | Verdict::Undecided | Verdict::Good => {}
        }
        verdict
    }

    fn take_back(&mut self, cx: &mut Context, pool: PoolId, route: Route, fault: Fault) {
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let revision = active.revision;
        let mut fact = self.fact(pool, revision).cloned().unwrap_or_default();
        if fact.is_final() || self.cfg.policy != Policy::Staged {
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

    /// Notes the evidence with which a stage began, whoever began it.
    fn enter_stage(&mut self, now: Time, pool: PoolId) {
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let stage = self.fact(pool, active.revision).and_then(|fact| fact.stage);
        if let Some(active) = self.moves.get_mut(&pool)
            && active.entered.is_none_or(|it| it.stage != stage)
        {
            active.entered = Some(Entered {
                stage,
                at: now,
                seen: active.pooled.whole(),
            });
        }
    }

    /// Writes what speaks for and against the new version, whenever that has changed.
    fn log_evidence(&mut self, cx: &mut Context, pool: PoolId, verdict: Verdict) {
        let share = self
            .moves
            .get(&pool)
            .map_or(0, |active| self.share_of(pool, active));
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        let seen = active.pooled.whole();
        let now = (seen, Some(verdict));
        if core::mem::replace(&mut active.logged, now) == now {
            return;
        }
        let in_stage = active.in_stage();
        let subject = format!(
            "{}: {} proven={} share={share} stage_sent_old={} stage_sent_new={} harm={} old {} new {}",
            active.name,
            verdict.as_str(),
            active.proven,
            in_stage.old.sent,
            in_stage.new.sent,
            active.pooled.harm(),
            seen.old,
            seen.new
        );
        cx.notice(NoticeKind::Version, subject);
    }

    /// Tells those who decide what this router saw: what changed, and everything now and then.
    fn tell_deciders(&mut self, cx: &mut Context, pool: PoolId, deciders: &[RouterId]) {
        let repeat = self.cfg.repeat;
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        let totals = Heard {
            tallies: active.own.tallies.clone(),
            breaks: active.own.breaks.clone(),
        };
        if totals == Heard::default() {
            return;
        }
        let known = active.sent.as_ref();
        let known = known.filter(|sent| sent.to == deciders && cx.now.since(sent.whole) < repeat);
        let changed = totals.since(known.map(|sent| &sent.totals));
        let whole = known.map_or(cx.now, |sent| sent.whole);
        active.sent = Some(Sent {
            to: deciders.to_vec(),
            totals,
            whole,
        });
        if changed == Heard::default() {
            return;
        }
        let seen = Seen {
            pool,
            revision: active.revision,
            tallies: changed.tallies.into_iter().collect(),
            breaks: changed.breaks.into_iter().collect(),
        };
        let me = self.me;
        for &to in deciders.iter().filter(|&&to| to != me) {
            let part = VersionPart {
                steps: Vec::new(),
                seen: vec![seen.clone()],
            };
            cx.send(to, Part::Version(part), Urgency::Now);
        }
    }
}

impl Heard {
    /// Returns the rows that are not as they were.
    fn since(&self, known: Option<&Self>) -> Self {
        let Some(known) = known else {
            return self.clone();
        };
        let tallies = self.tallies.iter();
        let breaks = self.breaks.iter();
        Self {
            tallies: tallies
                .filter(|(slice, tally)| known.tallies.get(slice) != Some(tally))
                .map(|(&slice, &tally)| (slice, tally))
                .collect(),
            breaks: breaks
                .filter(|(target, count)| known.breaks.get(target) != Some(count))
                .map(|(&target, &count)| (target, count))
                .collect(),
        }
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
            logged: (Tally::default(), None),
            entered: None,
            proven: false,
            new_targets: BTreeSet::new(),
            operators_know: None,
            untold: None,
        }
    }

    /// Adds what this router saw since the last time.
    fn count_own(&mut self, now: Time) {
        for (&slice, &tally) in &self.own.tallies {
            let before = self.counted.insert(slice, tally).unwrap_or_default();
            let new = tally.since(before);
            if new != Tally::default() {
                self.alone.add(now, slice, new, true);
                self.pooled.add(now, slice, new, true);
            }
        }
    }

    /// Returns what all saw since the present stage began.
    fn in_stage(&self) -> Tally {
        let seen = self.pooled.whole();
        self.entered
            .map_or(seen, |entered| seen.since(entered.seen))
    }

    /// Returns the step that is due by the clock, if the evidence allows it.
    fn next_step(&self, now: Time, cfg: &Config, due: Due, verdict: Verdict) -> Option<Due> {
        let entered = self.entered?;
        let since = now.since(entered.at);
        let Some(stage) = entered.stage else {
            return Some(Due::Stage(0));
        };
        if since < cfg.stage_min {
            return None;
        }
        if due == Due::Finish && self.may_finish(now, cfg, stage, verdict) {
            return Some(Due::Finish);
        }
        let next = Due::Stage(stage.saturating_add(1).min(LAST));
        let may = match verdict {
            Verdict::Good => true,
            Verdict::Undecided => !needs_proof(stage + 1, cfg.share_max),
            Verdict::Doubtful | Verdict::Bad(..) => false,
        };
        let is_next = stage < LAST && due >= next && self.is_affordable(now, cfg, stage + 1);
        (is_next && may).then_some(next)
    }

    /// Says whether the new version has borne its share for long enough, and well. Where the exposure is limited, a stage
    /// below the last one will do.
    fn may_finish(&self, now: Time, cfg: &Config, stage: u8, verdict: Verdict) -> bool {
        let is_limited = cfg.exposure.share < ALL;
        let is_last = stage == LAST || (is_limited && needs_proof(stage, cfg.share_max));
        let Tally { old, new } = self.in_stage();
        let owed = (u64::from(old.sent) + u64::from(new.sent)) * u64::from(share(stage));
        let carries = u64::from(new.sent) * u64::from(ALL) * 100 >= owed * CARRIED;
        let since = self.entered.map_or(Duration::ZERO, |it| now.since(it.at));
        let is_watched = since >= cfg.watch && new.ended >= LAST_ANSWERS;
        is_last && carries && is_watched && verdict == Verdict::Good
    }

    /// Says whether the new version may get the share of a stage from now to when the move should end. Up to the largest
    /// share that needs no proof it always may.
    fn is_affordable(&self, now: Time, cfg: &Config, stage: u8) -> bool {
        let Exposure { share: most, slack } = cfg.exposure;
        let (Some(entered), false) = (self.entered, most >= ALL) else {
            return true;
        };
        if !needs_proof(stage, cfg.share_max) {
            return true;
        }
        let Tally { old, new } = self.pooled.whole();
        let all = u64::from(old.sent) + u64::from(new.sent);
        let may = (all * u64::from(most) / u64::from(ALL) + u64::from(slack)) * PLANNED / 100;
        let left = may.saturating_sub(u64::from(new.sent));
        let seen = self.in_stage();
        let sent = u64::from(seen.old.sent) + u64::from(seen.new.sent);
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let passed = millis(now.since(entered.at)).max(1);
        let end = self.entry.finish_at - cfg.margin;
        let to_come = sent.saturating_mul(millis(end.since(now))) / passed;
        to_come.saturating_mul(u64::from(share(stage))) / u64::from(ALL) <= left
    }

    /// Adds what another router saw since the last time. What it saw before this router first heard of
    /// it counts for the whole move, not for the recent past.
    fn on_seen(&mut self, now: Time, from: RouterId, seen: &Seen) {
        let is_recent = self.heard.contains_key(&from);
        let heard = self.heard.entry(from).or_default();
        for &(slice, tally) in &seen.tallies {
            let before = heard.tallies.insert(slice, tally).unwrap_or_default();
            self.pooled.add(now, slice, tally.since(before), is_recent);
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
