//! The state of the component at one router.

use std::collections::{BTreeMap, VecDeque};

use crate::catalogue::Catalogue;
use crate::membership::{Members, owner as rendezvous_owner};
use crate::prelude::*;
use crate::quarantine::message::{Entry, QuarantinePart};
use crate::quarantine::{Book, Break, Breaks, Config, Finding, Phase, Standing, Trial};
use crate::target::Targets;

/// Everything about requests that crash targets.
#[derive(Debug)]
pub struct Quarantine {
    cfg: Config,
    me: RouterId,
    book: Book,
    breaks: Breaks,
    /// Suspects that wait to be tried.
    lane: VecDeque<Suspect>,
    trial: Option<Trial>,
    /// Who may try which suspect, as far as this router coordinates it.
    permits: BTreeMap<Fingerprint, (RouterId, Time)>,
    /// Targets that other routers keep for their suspects.
    reserved: BTreeMap<TargetId, (RouterId, Time)>,
    /// What targets reported last, and when.
    loads: BTreeMap<TargetId, (u32, Time)>,
    next_exchange: Time,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    request: RequestId,
    fingerprint: Fingerprint,
    pool: PoolId,
    deadline: Time,
    prefer: Option<TargetId>,
}

/// What the node does for this component.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Tell all routers.
    Tell(QuarantinePart),
    /// Tell the partners.
    Exchange(QuarantinePart),
    /// Tell one router.
    Send(RouterId, QuarantinePart),
    /// Dispatch a suspect to the target that is kept for it.
    Dispatch(RequestId, TargetId),
    /// Treat a request like any other again.
    Requeue(RequestId),
    /// Refuse a request that is quarantined.
    Condemn(RequestId),
    /// Refuse a request whose deadline passed.
    Expire(RequestId),
}

/// What a trial has to know of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The time.
    pub now: Time,
    /// The routers.
    pub members: &'a Members,
    /// The entries of the targets.
    pub catalogue: &'a Catalogue,
    /// The state of the targets.
    pub targets: &'a Targets,
}

impl Fleet<'_> {
    /// Returns the router that gives the permits for a fingerprint.
    pub fn coordinator(&self, fingerprint: Fingerprint) -> Option<RouterId> {
        rendezvous_owner(fingerprint.0, self.members.live(self.now))
    }

    fn usable(&self, pool: PoolId) -> Vec<TargetId> {
        self.catalogue
            .targets_of(pool)
            .filter(|view| self.targets.usable(self.now, view))
            .map(|view| view.id)
            .collect()
    }
}

impl Quarantine {
    /// Returns the state of a router that has seen no crash.
    pub fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            me,
            book: Book::new(cfg.clone()),
            breaks: Breaks::new(cfg.clone()),
            lane: VecDeque::new(),
            trial: None,
            permits: BTreeMap::new(),
            reserved: BTreeMap::new(),
            loads: BTreeMap::new(),
            next_exchange: Time(0),
            cfg,
        }
    }

    /// Returns what may be done with a request.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        self.book.standing(now, fingerprint)
    }

    /// Says whether a target is kept for a suspect and takes nothing else.
    pub fn keeps_off(&self, now: Time, target: TargetId) -> bool {
        let kept = self.trial.and_then(|trial| trial.target()) == Some(target);
        kept || self
            .reserved
            .get(&target)
            .is_some_and(|&(_, until)| until > now)
    }

    /// Puts a suspect at the end of those that wait to be tried, if it can be, at `prefer`.
    pub fn hold(&mut self, req: &Request, deadline: Time, prefer: Option<TargetId>) {
        self.lane.push_back(Suspect {
            request: req.id,
            fingerprint: req.fingerprint,
            pool: req.pool,
            deadline,
            prefer,
        });
    }

    /// Says whether a request is tried and was alone so far.
    pub fn is_alone(&self, request: RequestId) -> bool {
        self.trial
            .is_some_and(|trial| trial.request == request && trial.is_alone())
    }

    /// Forgets a request, or ends its trial if it is tried.
    pub fn remove(&mut self, fleet: Fleet<'_>, request: RequestId) -> Vec<Task> {
        self.lane.retain(|suspect| suspect.request != request);
        let trial = self.trial.take_if(|trial| trial.request == request);
        trial.map_or_else(Vec::new, |trial| self.end(fleet, trial))
    }

    /// Takes in that a connection broke under a request. The peers are told of suspects only, so that
    /// the loss of a data centre does not become a flood of messages.
    pub fn on_break(&mut self, new: Break) -> Option<Task> {
        self.breaks.push(new);
        let entry = self.book.crash(new.at, new.fingerprint, new.target);
        self.is_suspect(new.at, new.fingerprint)
            .then(|| tell(entry))
    }

    /// Takes in that a request ran to its end.
    pub fn on_finished(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Task> {
        self.book.finish(now, fingerprint).map(tell)
    }

    /// Takes in the report of a target, and returns the fingerprints that are condemned by it.
    pub fn on_report(
        &mut self,
        now: Time,
        target: TargetId,
        load: u32,
        uptime: Duration,
    ) -> Vec<Task> {
        self.loads.insert(target, (load, now));
        let lag = self.cfg.report_lag;
        if let Some(trial) = self.trial.as_mut().filter(|t| t.target() == Some(target)) {
            trial.on_report(now, lag, load);
        }
        let findings = self.breaks.on_report(now, target, uptime);
        self.conclude(now, findings)
    }

    /// Takes in a message.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: QuarantinePart) -> Option<Task> {
        match part {
            QuarantinePart::Entries(entries) => {
                let entries = entries.iter().take(self.cfg.entries_max);
                entries.for_each(|entry| self.book.merge(now, entry));
            }
            QuarantinePart::Ask(fingerprint) => {
                if self.permit(now, from, fingerprint) {
                    return Some(Task::Send(from, QuarantinePart::Permit(fingerprint)));
                }
            }
            QuarantinePart::Permit(fingerprint) => {
                let until = now + self.cfg.term;
                if let Some(trial) = self.trial.as_mut().filter(|t| t.fingerprint == fingerprint) {
                    trial.permitted = until;
                }
            }
            QuarantinePart::Done(fingerprint) => self.revoke(from, fingerprint),
            QuarantinePart::Reserve(target) => self.on_reserve(now, from, target),
            QuarantinePart::Free(target) => {
                if self.reserved.get(&target).is_some_and(|r| r.0 == from) {
                    self.reserved.remove(&target);
                }
            }
        }
        None
    }

    /// Returns all entries, for a router that has just been met.
    pub fn entries(&self) -> Option<QuarantinePart> {
        let entries: Vec<Entry> = self.book.entries().cloned().collect();
        (!entries.is_empty()).then_some(QuarantinePart::Entries(entries))
    }

    /// Does what is due.
    pub fn on_time(&mut self, now: Time, fleet: Fleet<'_>) -> Vec<Task> {
        let findings = self.breaks.on_silence(now);
        let mut tasks = self.conclude(now, findings);
        if now >= self.next_exchange {
            self.next_exchange = now + self.cfg.exchange;
            self.book.expire(now);
            tasks.extend(self.entries().map(Task::Exchange));
        }
        self.permits.retain(|_, (_, until)| *until > now);
        self.reserved.retain(|_, (_, until)| *until > now);
        self.sort_out(now, &mut tasks);
        self.try_next(now, fleet, &mut tasks);
        tasks
    }

    fn conclude(&mut self, now: Time, findings: Vec<Finding>) -> Vec<Task> {
        let entries = findings.into_iter().filter_map(|finding| match finding {
            Finding::Crashed(one) if one.alone => Some(self.book.condemn(now, one.fingerprint)),
            Finding::Crashed(_) => None,
            Finding::WentOn(one) => self
                .is_suspect(now, one.fingerprint)
                .then(|| self.book.excuse(now, one.fingerprint, one.target)),
        });
        entries.map(tell).collect()
    }

    fn is_suspect(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.book.standing(now, fingerprint) == Standing::Suspect
    }

    /// Takes those out of the lane that need not wait there any more.
    fn sort_out(&mut self, now: Time, tasks: &mut Vec<Task>) {
        let tried = self.trial.map(|trial| trial.request);
        for suspect in &self.lane {
            let request = suspect.request;
            let task = match self.book.standing(now, suspect.fingerprint) {
                _ if tried == Some(request) => continue,
                Standing::Quarantined => Task::Condemn(request),
                _ if suspect.deadline <= now => Task::Expire(request),
                Standing::Clear => Task::Requeue(request),
                Standing::Suspect => continue,
            };
            tasks.push(task);
        }
    }

    fn try_next(&mut self, now: Time, fleet: Fleet<'_>, tasks: &mut Vec<Task>) {
        let Some(mut trial) = self.trial.take().or_else(|| self.next_trial(now)) else {
            return;
        };
        let standing = self.book.standing(now, trial.fingerprint);
        let running = matches!(trial.phase, Phase::Running { .. });
        let over = self
            .lane
            .iter()
            .any(|s| s.request == trial.request && s.deadline <= now);
        if !running && (standing != Standing::Suspect || over) {
            tasks.extend(self.end(fleet, trial));
            return;
        }
        if now >= trial.renew {
            self.renew(now, fleet, &mut trial, tasks);
        }
        self.step(now, fleet, &mut trial, tasks);
        self.trial = Some(trial);
    }

    fn next_trial(&self, now: Time) -> Option<Trial> {
        let mut waiting = self.lane.iter().filter(|suspect| {
            let standing = self.book.standing(now, suspect.fingerprint);
            let unclear = self.breaks.is_open_alone(suspect.fingerprint);
            standing == Standing::Suspect && !unclear && suspect.deadline > now
        });
        let suspect = waiting.next()?;
        Some(Trial::new(
            suspect.request,
            suspect.fingerprint,
            suspect.pool,
            suspect.prefer,
        ))
    }

    fn renew(&mut self, now: Time, fleet: Fleet<'_>, trial: &mut Trial, tasks: &mut Vec<Task>) {
        let coordinator = fleet.coordinator(trial.fingerprint).unwrap_or(self.me);
        if coordinator != self.me {
            let ask = QuarantinePart::Ask(trial.fingerprint);
            tasks.push(Task::Send(coordinator, ask));
        } else if self.permit(now, self.me, trial.fingerprint) {
            trial.permitted = now + self.cfg.term;
        }
        if let Some(target) = trial.target() {
            tasks.push(Task::Tell(QuarantinePart::Reserve(target)));
        }
        let wait = if trial.permitted > now {
            self.cfg.renewal
        } else {
            self.cfg.ask_again
        };
        trial.renew = now + wait;
    }

    fn step(&mut self, now: Time, fleet: Fleet<'_>, trial: &mut Trial, tasks: &mut Vec<Task>) {
        if trial.permitted <= now {
            return;
        }
        let mut usable = fleet.usable(trial.pool);
        usable.retain(|target| self.load(now, *target).is_some());
        match trial.phase {
            Phase::Waiting => {
                let Some(target) = self.pick(now, &usable, trial) else {
                    return;
                };
                let since = now;
                trial.phase = Phase::Draining {
                    target,
                    since,
                    idle: false,
                };
                tasks.push(Task::Tell(QuarantinePart::Reserve(target)));
                trial.renew = now + self.cfg.renewal;
            }
            Phase::Draining { target, .. } if !usable.contains(&target) => {
                tasks.push(Task::Tell(QuarantinePart::Free(target)));
                trial.phase = Phase::Waiting;
            }
            Phase::Draining { target, idle, .. } if idle => {
                self.lane.retain(|suspect| suspect.request != trial.request);
                trial.phase = Phase::Running {
                    target,
                    alone: true,
                };
                tasks.push(Task::Dispatch(trial.request, target));
            }
            Phase::Draining { .. } | Phase::Running { .. } => {}
        }
    }

    /// Returns the load that a target reported lately.
    fn load(&self, now: Time, target: TargetId) -> Option<u32> {
        let &(load, at) = self.loads.get(&target)?;
        (now < at + self.cfg.silence).then_some(load)
    }

    /// Returns the preferred target, or the one with the least load of those that the suspect has not
    /// crashed, which are up more likely.
    fn pick(&self, now: Time, usable: &[TargetId], trial: &Trial) -> Option<TargetId> {
        let crashed = self.book.crashed(trial.fingerprint);
        let free = usable
            .iter()
            .copied()
            .filter(|&target| !self.keeps_off(now, target));
        free.min_by_key(|&target| {
            let preferred = trial.prefer == Some(target);
            let load = self.load(now, target);
            (!preferred, crashed.contains(&target), load, target)
        })
    }

    /// Lets go of what a trial keeps. The permit stays until its term is over if a break is open, so
    /// that nobody tries the suspect before it is known whether it crashed its target.
    fn end(&mut self, fleet: Fleet<'_>, trial: Trial) -> Vec<Task> {
        let mut tasks = Vec::new();
        if let Some(target) = trial.target() {
            tasks.push(Task::Tell(QuarantinePart::Free(target)));
        }
        if !self.breaks.is_open_alone(trial.fingerprint) {
            let coordinator = fleet.coordinator(trial.fingerprint).unwrap_or(self.me);
            if coordinator == self.me {
                self.revoke(self.me, trial.fingerprint);
            } else {
                let done = QuarantinePart::Done(trial.fingerprint);
                tasks.push(Task::Send(coordinator, done));
            }
        }
        tasks
    }

    fn permit(&mut self, now: Time, router: RouterId, fingerprint: Fingerprint) -> bool {
        let taken = self
            .permits
            .get(&fingerprint)
            .is_some_and(|&(holder, until)| holder != router && until > now);
        if !taken && self.permits.len() < self.cfg.entries_max {
            let until = now + self.cfg.term;
            self.permits.insert(fingerprint, (router, until));
        }
        !taken
    }

    fn revoke(&mut self, router: RouterId, fingerprint: Fingerprint) {
        if self
            .permits
            .get(&fingerprint)
            .is_some_and(|p| p.0 == router)
        {
            self.permits.remove(&fingerprint);
        }
    }

    fn on_reserve(&mut self, now: Time, from: RouterId, target: TargetId) {
        if let Some(trial) = self.trial.as_mut().filter(|t| t.target() == Some(target)) {
            trial.on_rival(from < self.me);
        }
        if self.reserved.len() < self.cfg.entries_max {
            self.reserved.insert(target, (from, now + self.cfg.term));
        }
    }
}

fn tell(entry: Entry) -> Task {
    Task::Tell(QuarantinePart::Entries(vec![entry]))
}
