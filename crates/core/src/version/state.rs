//! The version moves of the catalogue, and the progress of each.

mod operator_status;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

use crate::catalogue::Catalogue;
use crate::catalogue::entry::Move;
use crate::output::MovePhase;
use crate::prelude::*;
use crate::record::Record;
use crate::version::evidence::{Evidence, Measure, Route, Slice, Tallies, Tally, Verdict};
use crate::version::message::{Fact, Fault, MoveStep, Rollback, RouterTotals, VersionPart};
use crate::version::schedule::{
    Due, FULL_SHARE, LAST_STAGE, due, needs_proof, share, share_within,
};
use crate::version::{Config, Exposure, Policy};

/// Maximum number of moves whose facts are stored, including moves that the catalogue does not name
/// yet.
const FACTS_MAX: usize = 256;
/// Percentage of its share that the new version must have received in the last stage before the
/// move may finish. The remainder went to the old version for lack of slots, so finishing at most
/// doubles the load of the new version's targets.
const CARRIED_PERCENT_MIN: u64 = 50;
/// Number of requests that must have ended at the new version in the last stage before the move may
/// finish.
const LAST_STAGE_ENDED_MIN: u32 = 8;
/// The time after the start of a router before which it does not rely on the absence of targets.
/// Targets whose records lapsed in an outage of the store write them again within two seconds.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// The interval at which the recorded statuses are requested until they have been read.
const STATUS_READ_RETRY: Duration = Duration::from_secs(1);
/// Percentage of the permitted exposure that planning uses. The rest is a reserve, because the
/// counts of other routers arrive half a second late.
const PLANNED_EXPOSURE_PERCENT: u64 = 90;

/// The targets of a pool that may receive a request, selected by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// All targets, because the pool has no move.
    Any,
    /// The targets that do not run the new version.
    Old,
    /// The targets that run the new version.
    New,
}

/// The routers that may advance a move, as determined by this router.
#[derive(Debug, Clone, Copy)]
pub struct Deciders<'a> {
    /// The live routers that rendezvous hashing prefers for the pool, the most preferred first.
    /// Each of them receives the evidence of all routers and may take any step that is due: facts
    /// about a move only merge, so concurrent steps do not conflict.
    pub routers: &'a [RouterId],
    /// The fencing number of the move's lease, if this router holds the lease.
    pub fence: Option<Fence>,
    /// Whether the log cannot be read, in which case no lease can be held for long.
    pub log_down: bool,
    /// Whether a target of the new version may currently receive requests.
    pub has_target: bool,
    /// The time as of which the records of all targets are known; `None` if they were never read.
    pub targets_known: Option<Time>,
}

/// The status of a move, for operators.
#[derive(Debug, Clone, serde::Serialize)]
pub struct MoveStatus {
    /// The name of the pool.
    pub pool: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// The time by which all traffic is to have moved.
    pub finish_at: Time,
    /// The current share of the new version, in thousandths.
    pub share: u32,
    /// The merged facts about the move.
    pub fact: Fact,
}

/// The version moves of all pools, as known to one router.
#[derive(Debug)]
pub struct Moves {
    me: RouterId,
    cfg: Config,
    moves: BTreeMap<PoolId, Active>,
    facts: BTreeMap<(PoolId, Offset), Known>,
    /// The change counter of the catalogue when it was last applied.
    followed: Option<u64>,
    /// The time of the next periodic check.
    next_check: Time,
    /// Whether the statuses of moves are recorded in a store, from which a router must read them
    /// before it decides on a move.
    has_recorded_status: bool,
    /// The time before which the recorded statuses are not requested again.
    next_status_read: Time,
    /// The first and the last time at which the catalogue was followed.
    started: Option<Time>,
    now: Time,
}

/// A move that the catalogue names.
#[derive(Debug)]
struct Active {
    name: String,
    revision: Offset,
    entry: Move,
    /// When this router learned of the move.
    known_since: Time,
    /// Whether the recorded status of the move, if there is one, is known. Until then another
    /// router may have finished the move or rolled it back before this one started.
    is_status_read: bool,
    /// Whether a target of any other version is listed now, and whether one ever was since this
    /// router learned of the move.
    has_old_target: bool,
    had_old_target: bool,
    /// The number of requests that the new version is owed, in thousandths.
    credit: i64,
    /// The arm whose turn it is while this router has no slot at its targets, and the time since
    /// which it has waited for one.
    starved: Option<(Arm, Time)>,
    own: Evidence,
    /// Tallies of the requests that this router dispatched.
    local: Tallies,
    /// The totals of `own` that `local` and `fleet` already contain.
    counted: BTreeMap<Slice, Tally>,
    /// Tallies of the requests of all routers. Only complete if this router is a decider.
    fleet: Tallies,
    /// The latest totals that each peer reported.
    reported: BTreeMap<RouterId, Totals>,
    last_report: Option<Report>,
    /// The tally and the verdict that were last written to the process log.
    logged: (Tally, Option<Verdict>),
    /// When and with which tally this router entered the current stage.
    entered: Option<StageEntry>,
    /// Whether the verdict on the new version has ever been good.
    proven: bool,
    /// The targets that run the new version.
    new_targets: BTreeSet<TargetId>,
    /// The phase that was last reported to operators.
    reported_phase: Option<MovePhase>,
    /// The phase that is still to be reported to operators, and the time since which it has
    /// applied.
    pending_phase: Option<(MovePhase, Time)>,
}

/// The start of a stage.
#[derive(Debug, Clone, Copy)]
struct StageEntry {
    stage: Option<u8>,
    at: Time,
    /// The tally of all routers when the stage started.
    tally: Tally,
}

/// The last report of this router to the deciders of a move.
#[derive(Debug)]
struct Report {
    to: Vec<RouterId>,
    totals: Totals,
    /// When a report last contained every total rather than only the changed ones.
    complete_at: Time,
}

/// The evidence of one router, as totals since the move started.
#[derive(Debug, Clone, Default, PartialEq)]
struct Totals {
    tallies: BTreeMap<Slice, Tally>,
    breaks: BTreeMap<TargetId, u32>,
}

/// The facts about a move, and how far they have been published.
#[derive(Debug, Default)]
struct Known {
    fact: Fact,
    /// The facts that were read from the log.
    logged: Fact,
    /// When the facts were last appended to the log.
    appended: Option<Time>,
    /// When a record of the move was last read from the log.
    logged_at: Time,
    /// When the facts were last sent to peers.
    sent_at: Time,
    /// Whether the facts have changed since they were last sent to peers.
    has_update: bool,
}

impl Moves {
    /// Returns a state without moves.
    pub const fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            me,
            cfg,
            moves: BTreeMap::new(),
            facts: BTreeMap::new(),
            followed: None,
            next_check: Time(0),
            has_recorded_status: false,
            next_status_read: Time(0),
            started: None,
            now: Time(0),
        }
    }

    /// Returns a state without moves whose statuses are recorded in a store. No step is taken on a
    /// move before [`on_recorded_statuses`](Self::on_recorded_statuses).
    pub fn with_recorded_status(me: RouterId, cfg: Config) -> Self {
        Self {
            has_recorded_status: true,
            ..Self::new(me, cfg)
        }
    }

    /// Counts a request that ended at a target of the given version. Rolls the move back if the
    /// failure proves the new version bad.
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
            self.evaluate_local(cx, pool);
        }
    }

    /// Counts a request that a target of the given version declined.
    pub fn on_declined(&mut self, pool: PoolId, version: &str, slice: Slice) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_declined(slice, new);
        }
    }

    /// Counts a broken connection to a target of the given version. Rolls the move back if the
    /// failure proves the new version bad.
    pub fn on_break(&mut self, cx: &mut Context, pool: PoolId, target: TargetId, version: &str) {
        let new = self.is_new(pool, version);
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        *active.own.breaks.entry(target).or_default() += 1;
        active.local.on_break(cx.now, target, new);
        active.fleet.on_break(cx.now, target, new);
        self.evaluate_local(cx, pool);
    }

    /// Returns whether a measured time at a target of the given version is slow, or `None` if too
    /// few times of the old version are known. `took` is the number of tokens of the request and
    /// the time.
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

    /// Counts a request at a target of the given version whose time to the first byte was compared.
    pub fn on_started(&mut self, pool: PoolId, version: &str, slice: Slice, late: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_started(slice, new, late);
        }
    }

    /// Counts a request at a target of the given version whose pace was compared.
    pub fn on_timed(&mut self, pool: PoolId, version: &str, slice: Slice, slow: bool) {
        let new = self.is_new(pool, version);
        if let Some(active) = self.moves.get_mut(&pool) {
            active.own.on_timed(slice, new, slow);
        }
    }

    /// Merges a step that was read from the log.
    pub fn on_record(&mut self, cx: &mut Context, step: &MoveStep) {
        let known = self.facts.entry((step.pool, step.revision)).or_default();
        known.logged.merge(&step.fact);
        known.logged_at = cx.now;
        self.merge(cx, step);
    }

    /// Merges the facts and the evidence that a peer sent.
    pub fn on_part(&mut self, cx: &mut Context, from: RouterId, part: &VersionPart) {
        for step in &part.steps {
            self.merge(cx, step);
        }
        for seen in &part.seen {
            let Some(active) = self.moves.get_mut(&seen.pool) else {
                continue;
            };
            if active.revision == seen.revision {
                active.add_reported(cx.now, from, seen);
            }
        }
    }

    /// Returns whether the periodic check of all moves is due, and schedules the next one if so.
    pub fn is_due(&mut self, now: Time) -> bool {
        let due = now >= self.next_check;
        if due {
            self.next_check = now + self.cfg.period;
        }
        due
    }

    /// Updates the moves from the catalogue. The caller must do this between a change of the
    /// catalogue and the next dispatch, so that no target of a new version is used before its move
    /// is known.
    pub fn follow(&mut self, now: Time, catalogue: &Catalogue) {
        self.started.get_or_insert(now);
        self.now = now;
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
            let current = entries.get(pool).map(|(_, current, _)| *current);
            current.is_none_or(|current| *revision >= current)
        });
        while self.facts.len() > FACTS_MAX {
            self.facts.pop_first();
        }
        for (pool, (name, revision, entry)) in entries {
            let known = self.moves.get(&pool).map(|active| active.revision);
            if known != Some(revision) {
                let active = Active {
                    known_since: now,
                    is_status_read: !self.has_recorded_status,
                    ..Active::new(self.me, pool, name, revision, entry)
                };
                self.moves.insert(pool, active);
                self.next_status_read = now;
            }
            if let Some(active) = self.moves.get_mut(&pool) {
                let (new, old): (Vec<_>, Vec<_>) = catalogue
                    .targets_of(pool)
                    .partition(|view| view.entry.version == active.entry.to);
                active.new_targets = new.iter().map(|view| view.id).collect();
                active.has_old_target = !old.is_empty();
                active.had_old_target |= active.has_old_target;
            }
        }
    }

    /// Returns the pools whose move is neither finished nor rolled back.
    pub fn unfinished(&self) -> Vec<PoolId> {
        let unfinished = |(pool, active): (&PoolId, &Active)| {
            let fact = self.fact(*pool, active.revision);
            (!fact.is_some_and(Fact::is_final)).then_some(*pool)
        };
        self.moves.iter().filter_map(unfinished).collect()
    }

    /// Returns the settings of version moves.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns whether no pool has a move, in which case versions need not be compared.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    /// Returns the pools that have a move, including final ones.
    pub fn pools(&self) -> Vec<PoolId> {
        self.moves.keys().copied().collect()
    }

    /// Evaluates the evidence and takes the step that is due, if the evidence allows it.
    ///
    /// The clock determines which stage is due, and the evidence whether that stage may start. With
    /// too little evidence a move keeps its stage, even past its finishing time: a good version
    /// that is late costs less than a bad one that cannot be rolled back. A version that is
    /// doubtful when its move is due to finish is rolled back.
    pub fn step(&mut self, cx: &mut Context, pool: PoolId, deciders: Deciders<'_>) {
        self.report_to_deciders(cx, pool, deciders.routers);
        self.evaluate_local(cx, pool);
        if !deciders.routers.contains(&self.me) {
            return;
        }
        self.enter_stage(cx.now, pool);
        let verdict = self.evaluate_fleet(cx, pool);
        self.log_evidence(cx, pool, verdict);
        let may_decide = deciders.fence.is_some() || deciders.log_down;
        let is_status_read = |active: &&Active| active.is_status_read;
        let active = self.moves.get(&pool).filter(|_| may_decide);
        let Some(active) = active.filter(is_status_read) else {
            return;
        };
        let fact = self.fact(pool, active.revision);
        let mut fact = fact.cloned().unwrap_or_default();
        if fact.is_final() || !deciders.has_target {
            return;
        }
        let start = *fact.start.get_or_insert(cx.now);
        let due = due(cx.now, start, active.entry.finish_at - self.cfg.margin);
        let knows_targets = deciders.targets_known >= Some(active.known_since);
        let is_uncontested = self.is_uncontested(active, &fact) && knows_targets;
        match active.next_step(cx.now, &self.cfg, due, verdict) {
            // No evidence can compare the new version with targets that do not exist.
            _ if due == Due::Finish && is_uncontested => fact.finished = true,
            Some(Due::Finish) => fact.finished = true,
            Some(Due::Stage(stage)) => fact.stage = Some(stage),
            None if due == Due::Finish && verdict == Verdict::Doubtful => {
                let (route, fault) = active.fleet.worst_route();
                self.roll_back(cx, pool, route, fault);
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

    /// Appends facts to the log that it does not contain yet, and sends the facts to peers when
    /// they have changed or the repeat interval has passed.
    pub fn publish(
        &mut self,
        cx: &mut Context,
        pool: PoolId,
        is_first: bool,
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
        let rolled_back_here = known
            .fact
            .taken_back
            .as_ref()
            .is_some_and(|rollback| rollback.by == cx.me);
        let is_pending = known.appended.is_some_and(|at| cx.now.since(at) < retry);
        let needs_refresh = cx.now.since(known.logged_at) >= self.cfg.refresh;
        let needs_append = known.fact != known.logged || needs_refresh;
        if needs_append && !is_pending && !log_down && (is_first || rolled_back_here) {
            known.appended = Some(cx.now);
            cx.append(&Record::Move(step.clone()));
        }
        if !known.has_update && cx.now.since(known.sent_at) < repeat {
            return;
        }
        let urgency = if known.has_update {
            Urgency::Now
        } else {
            Urgency::Periodic
        };
        known.has_update = false;
        known.sent_at = cx.now;
        for &to in partners {
            let part = VersionPart {
                steps: vec![step.clone()],
                seen: Vec::new(),
            };
            cx.send(to, Part::Version(part), urgency);
        }
    }

    /// Returns the status of every move, for operators.
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
            return FULL_SHARE;
        }
        match self.fact(pool, active.revision) {
            Some(fact) if fact.taken_back.is_some() => 0,
            Some(fact) if fact.finished => FULL_SHARE,
            fact if self.is_uncontested(active, fact.unwrap_or(&Fact::default())) => FULL_SHARE,
            Some(Fact {
                stage: Some(stage), ..
            }) => share_within(*stage, self.cfg.share_max),
            _ => 0,
        }
    }

    /// Returns whether the new version is the only one that can take the pool's requests: no other
    /// version has a target, and none had one since this router learned of the move. The latter
    /// counts only once it is known that the move is not final, because the targets of the old
    /// version stop as soon as a move has finished.
    fn is_uncontested(&self, active: &Active, fact: &Fact) -> bool {
        let is_settled = self
            .started
            .is_some_and(|started| self.now.since(started) >= SETTLED_AFTER);
        let may_be_final = !active.is_status_read && *fact == Fact::default();
        let is_alone = !active.has_old_target && !active.new_targets.is_empty();
        is_settled && is_alone && (!active.had_old_target || may_be_final)
    }

    fn merge(&mut self, cx: &mut Context, step: &MoveStep) {
        let known = self.facts.entry((step.pool, step.revision)).or_default();
        let before = known.fact.clone();
        if !known.fact.merge(&step.fact) {
            return;
        }
        known.has_update = true;
        let after = known.fact.clone();
        let name = self.moves.get(&step.pool);
        let name = name.map_or_else(|| step.pool.to_string(), |active| active.name.clone());
        match &after.taken_back {
            Some(rollback) if before.taken_back.is_none() => {
                cx.count(Counter::MoveRolledBack);
                let fault = rollback.fault.as_str();
                let subject = format!("{name}: taken back by {}: {fault}", rollback.by);
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

    /// Rolls the move back if the requests of this router alone prove the new version bad.
    fn evaluate_local(&mut self, cx: &mut Context, pool: PoolId) {
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        active.count_own(cx.now);
        if let Verdict::Bad(route, fault) = active.local.verdict() {
            self.roll_back(cx, pool, route, fault);
        }
    }

    /// Rolls the move back if the requests of all routers prove the new version bad, or if it has
    /// given too many bad answers without ever having had a good verdict. Returns the verdict.
    fn evaluate_fleet(&mut self, cx: &mut Context, pool: PoolId) -> Verdict {
        let Some(active) = self.moves.get_mut(&pool) else {
            return Verdict::Undecided;
        };
        let verdict = active.fleet.verdict();
        // A stage that requires a good verdict only starts after one, on whichever router it was
        // reached.
        let stage = active.entered.and_then(|entered| entered.stage);
        active.proven |= verdict == Verdict::Good;
        active.proven |= stage.is_some_and(|stage| needs_proof(stage, self.cfg.share_max));
        match verdict {
            Verdict::Bad(route, fault) => self.roll_back(cx, pool, route, fault),
            _ if !active.proven && active.fleet.harm() >= self.cfg.harm_max => {
                let (route, fault) = active.fleet.worst_route();
                self.roll_back(cx, pool, route, fault);
            }
            Verdict::Doubtful | Verdict::Undecided | Verdict::Good => {}
        }
        verdict
    }

    fn roll_back(&mut self, cx: &mut Context, pool: PoolId, route: Route, fault: Fault) {
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let revision = active.revision;
        let mut fact = self.fact(pool, revision).cloned().unwrap_or_default();
        if fact.is_final() || self.cfg.policy != Policy::Staged {
            return;
        }
        if self.is_uncontested(active, &fact) {
            // There is no version to which the traffic could return.
            return;
        }
        fact.taken_back = Some(Rollback {
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

    /// Records the time and the tally at the start of the current stage, whichever router started
    /// it.
    fn enter_stage(&mut self, now: Time, pool: PoolId) {
        let Some(active) = self.moves.get(&pool) else {
            return;
        };
        let stage = self.fact(pool, active.revision).and_then(|fact| fact.stage);
        if let Some(active) = self.moves.get_mut(&pool)
            && active.entered.is_none_or(|entered| entered.stage != stage)
        {
            active.entered = Some(StageEntry {
                stage,
                at: now,
                tally: active.fleet.sum(),
            });
        }
    }

    /// Logs the verdict and the tallies of both versions if they have changed.
    fn log_evidence(&mut self, cx: &mut Context, pool: PoolId, verdict: Verdict) {
        let share = self
            .moves
            .get(&pool)
            .map_or(0, |active| self.share_of(pool, active));
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        let tally = active.fleet.sum();
        let current = (tally, Some(verdict));
        if core::mem::replace(&mut active.logged, current) == current {
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
            active.fleet.harm(),
            tally.old,
            tally.new
        );
        cx.notice(NoticeKind::Version, subject);
    }

    /// Sends the evidence of this router to the deciders: the totals that changed, or every total
    /// once per repeat interval.
    fn report_to_deciders(&mut self, cx: &mut Context, pool: PoolId, deciders: &[RouterId]) {
        let repeat = self.cfg.repeat;
        let Some(active) = self.moves.get_mut(&pool) else {
            return;
        };
        let totals = Totals {
            tallies: active.own.tallies.clone(),
            breaks: active.own.breaks.clone(),
        };
        if totals == Totals::default() {
            return;
        }
        let last = active.last_report.as_ref();
        let last =
            last.filter(|last| last.to == deciders && cx.now.since(last.complete_at) < repeat);
        let changed = totals.changed_since(last.map(|last| &last.totals));
        let complete_at = last.map_or(cx.now, |last| last.complete_at);
        active.last_report = Some(Report {
            to: deciders.to_vec(),
            totals,
            complete_at,
        });
        if changed == Totals::default() {
            return;
        }
        let seen = RouterTotals {
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

impl Totals {
    /// Returns the totals that differ from `earlier`, or all of them if there is no earlier report.
    fn changed_since(&self, earlier: Option<&Self>) -> Self {
        let Some(earlier) = earlier else {
            return self.clone();
        };
        let tallies = self.tallies.iter();
        let breaks = self.breaks.iter();
        Self {
            tallies: tallies
                .filter(|(slice, tally)| earlier.tallies.get(slice) != Some(tally))
                .map(|(&slice, &tally)| (slice, tally))
                .collect(),
            breaks: breaks
                .filter(|(target, count)| earlier.breaks.get(target) != Some(count))
                .map(|(&target, &count)| (target, count))
                .collect(),
        }
    }
}

impl Active {
    fn new(me: RouterId, pool: PoolId, name: &str, revision: Offset, entry: &Move) -> Self {
        // Routers start with different credits. Otherwise a small share would not be met over the
        // fleet if each router dispatches only a few requests.
        let phase = u64::from(me.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(pool.0);
        let credit = i64::try_from((phase >> 20) % u64::from(FULL_SHARE)).unwrap_or(0);
        Self {
            name: name.to_owned(),
            revision,
            entry: entry.clone(),
            known_since: Time(0),
            is_status_read: true,
            has_old_target: false,
            had_old_target: false,
            credit,
            starved: None,
            own: Evidence::default(),
            local: Tallies::default(),
            counted: BTreeMap::new(),
            fleet: Tallies::default(),
            reported: BTreeMap::new(),
            last_report: None,
            logged: (Tally::default(), None),
            entered: None,
            proven: false,
            new_targets: BTreeSet::new(),
            reported_phase: None,
            pending_phase: None,
        }
    }

    /// Adds the counts of this router since the previous call to the local and fleet tallies.
    fn count_own(&mut self, now: Time) {
        for (&slice, &tally) in &self.own.tallies {
            let before = self.counted.insert(slice, tally).unwrap_or_default();
            let added = tally.since(before);
            if added != Tally::default() {
                self.local.add(now, slice, added, true);
                self.fleet.add(now, slice, added, true);
            }
        }
    }

    /// Returns the tally of all routers since the current stage started.
    fn in_stage(&self) -> Tally {
        let sum = self.fleet.sum();
        self.entered.map_or(sum, |entered| sum.since(entered.tally))
    }

    /// Returns the next step, if it is due by the clock and the evidence allows it.
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
        let next = Due::Stage(stage.saturating_add(1).min(LAST_STAGE));
        let may = match verdict {
            Verdict::Good => true,
            Verdict::Undecided => !needs_proof(stage + 1, cfg.share_max),
            Verdict::Doubtful | Verdict::Bad(..) => false,
        };
        let is_next = stage < LAST_STAGE && due >= next && self.is_affordable(now, cfg, stage + 1);
        (is_next && may).then_some(next)
    }

    /// Returns whether the new version has sustained its share for long enough, with a good
    /// verdict. If the exposure is limited, any stage that requires a good verdict suffices;
    /// otherwise only the last one does.
    fn may_finish(&self, now: Time, cfg: &Config, stage: u8, verdict: Verdict) -> bool {
        let is_limited = cfg.exposure.share < FULL_SHARE;
        let is_last = stage == LAST_STAGE || (is_limited && needs_proof(stage, cfg.share_max));
        let Tally { old, new } = self.in_stage();
        let owed = (u64::from(old.sent) + u64::from(new.sent)) * u64::from(share(stage));
        let carries =
            u64::from(new.sent) * u64::from(FULL_SHARE) * 100 >= owed * CARRIED_PERCENT_MIN;
        let since = self
            .entered
            .map_or(Duration::ZERO, |entered| now.since(entered.at));
        let is_observed = since >= cfg.final_stage_min && new.ended >= LAST_STAGE_ENDED_MIN;
        is_last && carries && is_observed && verdict == Verdict::Good
    }

    /// Returns whether the exposure limit allows the share of a stage from now until the planned
    /// end of the move. Stages that require no good verdict are always allowed.
    fn is_affordable(&self, now: Time, cfg: &Config, stage: u8) -> bool {
        let Exposure {
            share: share_max,
            slack,
        } = cfg.exposure;
        let (Some(entered), false) = (self.entered, share_max >= FULL_SHARE) else {
            return true;
        };
        if !needs_proof(stage, cfg.share_max) {
            return true;
        }
        let Tally { old, new } = self.fleet.sum();
        let all = u64::from(old.sent) + u64::from(new.sent);
        let allowed = (all * u64::from(share_max) / u64::from(FULL_SHARE) + u64::from(slack))
            * PLANNED_EXPOSURE_PERCENT
            / 100;
        let left = allowed.saturating_sub(u64::from(new.sent));
        let in_stage = self.in_stage();
        let sent = u64::from(in_stage.old.sent) + u64::from(in_stage.new.sent);
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let passed = millis(now.since(entered.at)).max(1);
        let end = self.entry.finish_at - cfg.margin;
        let expected = sent.saturating_mul(millis(end.since(now))) / passed;
        expected.saturating_mul(u64::from(share(stage))) / u64::from(FULL_SHARE) <= left
    }

    /// Adds the counts of another router since its previous report. Its first report covers
    /// the move so far, and so is added to the total but not to the recent period.
    fn add_reported(&mut self, now: Time, from: RouterId, seen: &RouterTotals) {
        let is_recent = self.reported.contains_key(&from);
        let totals = self.reported.entry(from).or_default();
        for &(slice, tally) in &seen.tallies {
            let before = totals.tallies.insert(slice, tally).unwrap_or_default();
            self.fleet.add(now, slice, tally.since(before), is_recent);
        }
        for &(target, breaks) in &seen.breaks {
            let before = totals.breaks.insert(target, breaks).unwrap_or_default();
            if breaks > before {
                let new = self.new_targets.contains(&target);
                self.fleet.on_break(now, target, new);
            }
        }
    }
}

impl Fault {
    /// Returns the name of the fault in logs and statuses. The name is stable.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fails => "fails",
            Self::Slow => "slow",
        }
    }
}
