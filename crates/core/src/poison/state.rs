//! The suspected and barred parts that one router knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::poison::message::{PartKey, PoisonPart, ROWS_MAX, Row};
use crate::poison::{Bar, Config, Crash, Evidence, Outcomes, SoundParts};
use crate::prelude::*;

/// The most breaks that are held back at a time.
const HELD_MAX: usize = 1_024;
/// The most crashes that are remembered as explained by a barred part.
const EXPLAINED_MAX: usize = 256;
/// The bits of a bar's identity that hold the router that set it; the time is above them.
const ROUTER_BITS: u32 = 12;
/// The factor by which a failed trial prolongs a bar.
const BAR_GROWTH: u32 = 2;

/// What one router knows of parts of prompts that crash targets.
#[derive(Debug)]
pub struct Poison {
    cfg: Config,
    me: RouterId,
    sound: SoundParts,
    outcomes: BTreeMap<PoolId, Outcomes>,
    /// Breaks that do not count yet, by time.
    held: VecDeque<Break>,
    parts: BTreeMap<PartKey, Evidence>,
    /// Crashes that a barred part explains, by the time at which they became known.
    explained: VecDeque<Crash>,
    /// The parts whose evidence changed since it was last sent.
    unsent: BTreeSet<PartKey>,
    /// Barred parts. Empty on nearly all days, which makes the check of a request cheap.
    barred: BTreeSet<PartKey>,
    /// The permits that this router granted, and until when no other is granted.
    granted: BTreeMap<PartKey, Time>,
    /// The permits that this router requested or holds.
    trials: BTreeMap<PartKey, Trial>,
    next_repeat: Time,
}

/// A break of a connection before the answer had begun.
#[derive(Debug)]
struct Break {
    crash: Crash,
    parts: Vec<PartKey>,
}

/// What speaks for a bar of a part.
#[derive(Debug)]
struct Conviction {
    key: PartKey,
    /// When the run of crashes began.
    since: Time,
    /// The length of the run.
    run: usize,
    /// The length of run that chance explains.
    explained_run: usize,
    /// Whether no target was ever seen to answer a request with the part.
    was_never_sound: bool,
}

/// The trial of a part whose bar has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trial {
    /// A permit was requested, and is requested again after this time.
    Asked(Time),
    /// A request may be sent until this time.
    Permitted(Time),
    /// This request is the trial.
    Running(RequestId),
}

/// A barred part that keeps a request from being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BarredPart {
    /// The part.
    pub key: PartKey,
    /// How long the request had better wait.
    pub left: Duration,
    /// Whether a permit for a trial is to be requested.
    pub wants_permit: bool,
}

/// A change in what the router believes of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A part crashed targets often enough to be barred.
    Barred {
        /// The part.
        key: PartKey,
        /// The bar.
        bar: Bar,
        /// The targets that crashed in the run, as far as they are remembered.
        targets: Vec<TargetId>,
        /// The length of run that chance would explain; `None` if a peer barred the part.
        explained_run: Option<usize>,
    },
    /// An answer showed that a barred part crashes no target.
    Cleared(PartKey),
}

impl Poison {
    /// Returns a state without suspected parts.
    pub const fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            me,
            sound: SoundParts::new(cfg.sound_max),
            cfg,
            outcomes: BTreeMap::new(),
            held: VecDeque::new(),
            parts: BTreeMap::new(),
            explained: VecDeque::new(),
            unsent: BTreeSet::new(),
            barred: BTreeSet::new(),
            granted: BTreeMap::new(),
            trials: BTreeMap::new(),
            next_repeat: Time(0),
        }
    }

    /// Returns the settings.
    pub const fn cfg(&self) -> &Config {
        &self.cfg
    }

    /// Returns the first barred part of a request's prompt. A request that holds the permit for a
    /// trial is not kept back by the part of the trial.
    pub fn check(&mut self, now: Time, req: &Request) -> Option<BarredPart> {
        if self.barred.is_empty() {
            return None;
        }
        let barred: Vec<PartKey> = shared_parts(req)
            .filter(|key| self.barred.contains(key))
            .collect();
        let blocked = barred
            .iter()
            .find_map(|&key| self.check_part(now, req.id, key));
        if blocked.is_none() {
            let trials = barred.into_iter().map(|key| (key, Trial::Running(req.id)));
            self.trials.extend(trials);
        }
        blocked
    }

    fn check_part(&mut self, now: Time, request: RequestId, key: PartKey) -> Option<BarredPart> {
        let bar = self.parts.get(&key)?.bar()?;
        let left = bar.until.since(now);
        let wants_permit = match self.trials.get(&key) {
            _ if !left.is_zero() => false,
            Some(Trial::Running(other)) if *other == request => return None,
            Some(Trial::Permitted(until)) if *until > now => return None,
            Some(Trial::Asked(until)) => *until <= now,
            Some(Trial::Running(_)) => false,
            Some(Trial::Permitted(_)) | None => true,
        };
        if wants_permit {
            let again = now + self.cfg.permit_retry;
            self.trials.insert(key, Trial::Asked(again));
        }
        Some(BarredPart {
            key,
            left: left.max(self.cfg.permit_retry),
            wants_permit,
        })
    }

    /// Records that a request ended, which ends its trial.
    pub fn on_closed(&mut self, request: RequestId) {
        self.trials
            .retain(|_, trial| *trial != Trial::Running(request));
    }

    /// Records that the answer to a request began and went on, which clears its parts.
    pub fn on_sound(&mut self, now: Time, req: &Request) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut counted = false;
        for key in shared_parts(req) {
            counted = true;
            self.sound.insert(now, key);
            self.clear(now, key, &mut changes);
        }
        if counted {
            self.outcomes.entry(req.pool).or_default().record_sound(now);
        }
        changes
    }

    /// Records that a target broke off a request whose answer had not begun.
    pub fn on_break(&mut self, now: Time, target: TargetId, req: &Request) {
        let again = now + self.cfg.trial_term;
        for trial in self.trials.values_mut() {
            if *trial == Trial::Running(req.id) {
                // The request is not sent again while the break is held back.
                *trial = Trial::Asked(again);
            }
        }
        let parts: Vec<PartKey> = shared_parts(req).collect();
        if parts.is_empty() {
            return;
        }
        self.outcomes
            .entry(req.pool)
            .or_default()
            .record_broken(now);
        if self.held.len() < HELD_MAX {
            let crash = Crash { target, at: now };
            self.held.push_back(Break { crash, parts });
        }
    }

    /// Merges rows received from a peer.
    pub fn on_rows(&mut self, now: Time, rows: &[Row]) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in rows.iter().take(ROWS_MAX) {
            let key = row.key;
            let known_sound = self.sound.last(key);
            let cfg = self.cfg;
            let evidence = self.evidence(key);
            let was_barred = evidence.bar();
            let mut is_news = evidence.merge(now, row, &cfg);
            is_news |= known_sound.is_some_and(|at| evidence.clear(at));
            if !is_news {
                continue;
            }
            evidence.changed = now;
            let bar = evidence.bar();
            self.unsent.insert(key);
            match bar {
                Some(bar) if was_barred.is_none_or(|was| was.failed_trials < bar.failed_trials) => {
                    self.bar(now, key, bar, None, &mut changes);
                }
                Some(_) => self.explain(key),
                None => self.note_cleared(key, &mut changes),
            }
        }
        changes
    }

    /// Grants a permit for a trial unless one was granted within the term of a trial.
    pub fn grant(&mut self, now: Time, key: PartKey) -> bool {
        self.granted.retain(|_, until| *until > now);
        let bar = self.parts.get(&key).and_then(Evidence::bar);
        let is_due = bar.is_some_and(|bar| bar.until <= now);
        let is_granted =
            is_due && !self.granted.contains_key(&key) && self.granted.len() < self.cfg.parts_max;
        if is_granted {
            self.granted.insert(key, now + self.cfg.trial_term);
        }
        is_granted
    }

    /// Records that this router may try a part once.
    pub fn on_permit(&mut self, now: Time, key: PartKey) {
        if let Some(Trial::Asked(_)) = self.trials.get(&key) {
            let until = now + self.cfg.trial_term;
            self.trials.insert(key, Trial::Permitted(until));
        }
    }

    /// Lifts the bar of a part in every pool and forgets its crashes, because operators know
    /// better. Returns what changed.
    pub fn lift(&mut self, now: Time, content: Fingerprint) -> Vec<Change> {
        let keys: Vec<PartKey> = self
            .barred
            .iter()
            .filter(|key| key.content == content)
            .copied()
            .collect();
        let mut changes = Vec::new();
        for key in keys {
            self.clear(now, key, &mut changes);
        }
        changes
    }

    /// Performs all actions that are due: counts breaks that were held back, and bars parts.
    /// `targets_of` returns the number of targets of a pool.
    pub fn on_time(&mut self, now: Time, targets_of: impl Fn(PoolId) -> usize) -> Vec<Change> {
        let mut changes = Vec::new();
        self.count_held(now, &mut changes);
        while let Some(conviction) = self.next_bar(now, &targets_of) {
            let key = conviction.key;
            let bar = Bar {
                id: self.new_id(now),
                since: conviction.since,
                until: now + self.cfg.bar_for,
                failed_trials: 0,
            };
            if let Some(evidence) = self.parts.get_mut(&key) {
                evidence.set_bar(bar);
                evidence.changed = now;
            }
            self.unsent.insert(key);
            self.bar(now, key, bar, Some(conviction.explained_run), &mut changes);
        }
        if now >= self.next_repeat {
            self.next_repeat = now + self.cfg.repeat;
            self.forget(now);
            self.unsent.extend(&self.barred);
        }
        changes
    }

    /// Returns the changed rows that are to be sent to peers, at most as many as fit a message.
    pub fn take_rows(&mut self, now: Time) -> Option<PoisonPart> {
        let mut rows = Vec::new();
        while rows.len() < ROWS_MAX {
            let Some(key) = self.unsent.pop_first() else {
                break;
            };
            rows.extend(self.parts.get(&key).map(|evidence| evidence.row(now, key)));
        }
        (!rows.is_empty()).then_some(PoisonPart::Rows(rows))
    }

    /// Returns the rows of the barred parts, for a router that has just been met.
    pub fn barred_rows(&self, now: Time) -> Option<PoisonPart> {
        let barred = self.barred.iter().take(ROWS_MAX);
        let rows: Vec<Row> = barred
            .filter_map(|&key| Some(self.parts.get(&key)?.row(now, key)))
            .collect();
        (!rows.is_empty()).then_some(PoisonPart::Rows(rows))
    }

    /// Returns the barred parts and their bars.
    pub fn barred(&self) -> impl Iterator<Item = (PartKey, Bar, &[Crash])> {
        self.barred.iter().filter_map(|&key| {
            let evidence = self.parts.get(&key)?;
            Some((key, evidence.bar()?, evidence.crashes()))
        })
    }

    /// Returns the number of suspected parts and of parts that are remembered as cleared.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.parts.len(), self.sound.len())
    }

    /// Counts the breaks that have been held back for long enough. Breaks of several targets at
    /// about the same time have a cause that they share, such as a rack or this router's network.
    fn count_held(&mut self, now: Time, changes: &mut Vec<Change>) {
        while self
            .held
            .front()
            .is_some_and(|held| now.since(held.crash.at) >= self.cfg.hold)
        {
            let Some(first) = self.held.front() else {
                return;
            };
            let until = first.crash.at + self.cfg.hold;
            let event = self.held.iter().take_while(|held| held.crash.at <= until);
            let targets: BTreeSet<TargetId> = event.map(|held| held.crash.target).collect();
            let has_common_cause = targets.len() >= self.cfg.common_cause_min;
            while let Some(held) = self.held.front()
                && held.crash.at <= until
            {
                let Some(held) = self.held.pop_front() else {
                    return;
                };
                if !has_common_cause {
                    self.count(now, &held, changes);
                }
            }
        }
    }

    /// Adds a crash to the evidence on each part of a request.
    fn count(&mut self, now: Time, held: &Break, changes: &mut Vec<Change>) {
        for &key in &held.parts {
            let same_crash = self.cfg.same_crash;
            let sound_at = self.sound.last(key);
            if sound_at.is_some_and(|at| held.crash.at < at + self.cfg.vouch_for) {
                continue;
            }
            let evidence = self.evidence(key);
            evidence.is_own = true;
            let bar = evidence.bar();
            if !evidence.add_crash(held.crash, same_crash) {
                continue;
            }
            evidence.changed = now;
            if let Some(at) = sound_at {
                evidence.clear(at);
            }
            self.unsent.insert(key);
            match bar {
                Some(bar) if held.crash.at >= bar.until => {
                    self.prolong(now, key, (held.crash, bar), changes);
                }
                Some(_) => self.explain(key),
                None => {}
            }
        }
    }

    /// Bars a part again whose trial crashed a target.
    fn prolong(
        &mut self,
        now: Time,
        key: PartKey,
        (crash, was): (Crash, Bar),
        changes: &mut Vec<Change>,
    ) {
        let failed_trials = was.failed_trials.saturating_add(1);
        let growth = BAR_GROWTH.saturating_pow(u32::from(failed_trials));
        let time = self.cfg.bar_for.saturating_mul(growth);
        let bar = Bar {
            id: self.new_id(now),
            since: crash.at,
            until: now + time.min(self.cfg.bar_max),
            failed_trials,
        };
        if let Some(evidence) = self.parts.get_mut(&key) {
            evidence.set_bar(bar);
        }
        self.bar(now, key, bar, None, changes);
    }

    /// Returns the part to be barred next.
    ///
    /// A part that no target has ever been seen to answer comes first: what stands beside it in the
    /// same prompts is then cleared of the same crashes.
    fn next_bar(&self, now: Time, targets_of: &impl Fn(PoolId) -> usize) -> Option<Conviction> {
        let convictions = self
            .parts
            .iter()
            .filter(|(_, evidence)| evidence.is_own && evidence.bar().is_none())
            .filter_map(|(&key, evidence)| self.convict(now, key, evidence, targets_of));
        convictions.max_by_key(|it| (it.was_never_sound, it.run))
    }

    /// Returns what speaks for a bar of a part, if its run of crashes is longer than chance explains.
    fn convict(
        &self,
        now: Time,
        key: PartKey,
        evidence: &Evidence,
        targets_of: &impl Fn(PoolId) -> usize,
    ) -> Option<Conviction> {
        if evidence.crashes().len() < self.cfg.run_min {
            return None;
        }
        let counted_until = now - self.cfg.hearing;
        let run = evidence.run(|crash| self.is_explained(crash));
        let run: Vec<Crash> = run.filter(|crash| crash.at <= counted_until).collect();
        let first = run.first()?;
        let outcomes = self.outcomes.get(&key.pool)?;
        let explained_run = outcomes.run_explained(now, self.cfg.chance_max);
        let needed = explained_run.max(self.cfg.run_min);
        let targets: BTreeSet<TargetId> = run.iter().map(|crash| crash.target).collect();
        // A crash that is heard of late may look like two, so that each target counts once unless
        // the pool has too few.
        let length = match targets_of(key.pool) >= 2 * needed {
            true => targets.len(),
            false => run.len(),
        };
        (length >= needed).then(|| Conviction {
            key,
            since: first.at,
            run: length,
            explained_run,
            was_never_sound: evidence.sound_at().or(self.sound.last(key)).is_none(),
        })
    }

    /// Returns an identity for a new bar of this router.
    fn new_id(&self, now: Time) -> u64 {
        now.0.wrapping_shl(ROUTER_BITS) | u64::from(self.me.0) & ((1 << ROUTER_BITS) - 1)
    }

    /// Applies a new bar.
    fn bar(
        &mut self,
        now: Time,
        key: PartKey,
        bar: Bar,
        explained_run: Option<usize>,
        changes: &mut Vec<Change>,
    ) {
        self.barred.insert(key);
        self.trials.remove(&key);
        self.explain(key);
        let crashes = self.parts.get(&key).map_or(&[][..], Evidence::crashes);
        let run = crashes.iter().filter(|crash| crash.at >= bar.since);
        let targets: BTreeSet<TargetId> = run.map(|crash| crash.target).collect();
        debug_assert!(bar.until >= now, "a bar does not begin in the past");
        changes.push(Change::Barred {
            key,
            bar,
            targets: targets.into_iter().collect(),
            explained_run,
        });
    }

    /// Remembers that the crashes of a barred part need no other explanation.
    fn explain(&mut self, key: PartKey) {
        let Some(evidence) = self.parts.get(&key) else {
            return;
        };
        let run: Vec<Crash> = evidence.run(|crash| self.is_explained(crash)).collect();
        for crash in run {
            if self.explained.len() >= EXPLAINED_MAX {
                self.explained.pop_front();
            }
            self.explained.push_back(crash);
        }
    }

    fn is_explained(&self, crash: Crash) -> bool {
        let within = self.cfg.same_crash;
        self.explained
            .iter()
            .any(|known| known.is_same(crash, within))
    }

    /// Clears a part of its crashes, and has peers told if that is news.
    fn clear(&mut self, now: Time, key: PartKey, changes: &mut Vec<Change>) {
        if let Some(evidence) = self.parts.get_mut(&key)
            && evidence.clear(now)
        {
            evidence.changed = now;
            self.unsent.insert(key);
            self.note_cleared(key, changes);
        }
    }

    /// Notes that a part is not barred any more, if it was.
    fn note_cleared(&mut self, key: PartKey, changes: &mut Vec<Change>) {
        let is_barred = self
            .parts
            .get(&key)
            .is_some_and(|evidence| evidence.bar().is_some());
        if !is_barred && self.barred.remove(&key) {
            self.trials.remove(&key);
            changes.push(Change::Cleared(key));
        }
    }

    /// Returns the evidence on a part. Forgets the part with the fewest crashes that is not barred
    /// if there are too many.
    fn evidence(&mut self, key: PartKey) -> &mut Evidence {
        if self.parts.len() >= self.cfg.parts_max && !self.parts.contains_key(&key) {
            let weakest = self
                .parts
                .iter()
                .min_by_key(|(_, evidence)| {
                    let is_barred = evidence.bar().is_some();
                    let run = evidence.run(|_| false).count();
                    (is_barred, run, evidence.changed)
                })
                .map(|(&key, _)| key);
            if let Some(weakest) = weakest {
                self.remove(weakest);
            }
        }
        self.parts.entry(key).or_default()
    }

    fn remove(&mut self, key: PartKey) {
        self.parts.remove(&key);
        self.barred.remove(&key);
        self.unsent.remove(&key);
        self.trials.remove(&key);
    }

    /// Forgets what has not changed for a long time.
    fn forget(&mut self, now: Time) {
        let remember_for = self.cfg.remember_for;
        let is_old = |evidence: &Evidence| {
            let until = evidence.bar().map_or(evidence.changed, |bar| bar.until);
            now.since(until.max(evidence.changed)) >= remember_for
        };
        let old: Vec<PartKey> = self
            .parts
            .iter()
            .filter(|(_, evidence)| is_old(evidence))
            .map(|(&key, _)| key)
            .collect();
        old.into_iter().for_each(|key| self.remove(key));
    }
}

/// Returns the parts of a request's prompt that other requests may share: all but the last.
pub fn shared_parts(req: &Request) -> impl Iterator<Item = PartKey> {
    let parts = &req.details.parts;
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let pool = req.pool;
    shared.iter().map(move |part| PartKey {
        pool,
        content: part.content,
    })
}
