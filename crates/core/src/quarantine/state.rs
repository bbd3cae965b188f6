//! The quarantine state of one router.

use std::collections::{BTreeMap, VecDeque};

use crate::catalogue::Catalogue;
use crate::input::RunRecord;
use crate::membership::{Members, owner as rendezvous_owner};
use crate::prelude::*;
use crate::quarantine::message::{Entry, QuarantinePart};
use crate::quarantine::{
    Break, Breaks, Config, Evidence, Finding, Phase, SuspectStatus, Suspects, Trial,
};
use crate::target::Targets;

/// The suspects, trials, permits and reservations that one router knows.
#[derive(Debug)]
pub struct Quarantine {
    cfg: Config,
    me: RouterId,
    suspects: Suspects,
    breaks: Breaks,
    /// The requests that wait for a trial.
    lane: VecDeque<Suspect>,
    trial: Option<Trial>,
    /// The permits that this router granted as coordinator, with their holders and expiry times.
    permits: BTreeMap<Fingerprint, (RouterId, Time)>,
    /// The targets that other routers reserved for their suspects, with the expiry times.
    reserved: BTreeMap<TargetId, (RouterId, Time)>,
    /// The last load that each target reported, and when.
    loads: BTreeMap<TargetId, (u32, Time)>,
    next_exchange: Time,
}

/// A request that waits for a trial.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    request: RequestId,
    fingerprint: Fingerprint,
    pool: PoolId,
    deadline: Time,
    prefer: Option<TargetId>,
}

/// An action that the node must take for the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Send a message to all live routers.
    Broadcast(QuarantinePart),
    /// Send a message to the partners.
    SendToPartners(QuarantinePart),
    /// Send a message to one router.
    Send(RouterId, QuarantinePart),
    /// Dispatch a suspect to the target that is reserved for it.
    Dispatch(RequestId, TargetId),
    /// Requeue a request that is no longer a suspect.
    Requeue(RequestId),
    /// Refuse a request that is quarantined or barred.
    RefuseQuarantined(RequestId),
    /// Refuse a suspect whose deadline has passed.
    RefuseExpired(RequestId),
}

/// The state of the fleet that a trial depends on.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The current time.
    pub now: Time,
    /// The routers of the fleet.
    pub members: &'a Members,
    /// The catalogue, which lists the targets of each pool.
    pub catalogue: &'a Catalogue,
    /// The health of the targets.
    pub targets: &'a Targets,
}

impl Fleet<'_> {
    /// Returns the router that grants the permits for a fingerprint.
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
    /// Returns a state without suspects.
    pub fn new(me: RouterId, cfg: Config) -> Self {
        Self {
            me,
            suspects: Suspects::new(cfg.clone()),
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

    /// Returns how a request may run.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> SuspectStatus {
        self.suspects.status(now, fingerprint)
    }

    /// Returns whether a target is reserved for a suspect, by this router or another, and takes no
    /// other requests.
    pub fn is_reserved(&self, now: Time, target: TargetId) -> bool {
        let reserved_here = self.trial.and_then(|trial| trial.target()) == Some(target);
        reserved_here
            || self
                .reserved
                .get(&target)
                .is_some_and(|&(_, until)| until > now)
    }

    /// Appends a request to the suspects that wait for a trial. The trial takes place at the target
    /// `prefer` if that target is available.
    pub fn enqueue(&mut self, req: &Request, deadline: Time, prefer: Option<TargetId>) {
        self.lane.push_back(Suspect {
            request: req.id,
            fingerprint: req.fingerprint,
            pool: req.pool,
            deadline,
            prefer,
        });
    }

    /// Returns whether a request is running in a trial and has been alone at its target so far.
    pub fn is_alone(&self, request: RequestId) -> bool {
        self.trial
            .is_some_and(|trial| trial.request == request && trial.is_alone())
    }

    /// Removes a request from the waiting suspects, and ends its trial if it has one.
    pub fn remove(&mut self, fleet: Fleet<'_>, request: RequestId) -> Vec<Task> {
        self.lane.retain(|suspect| suspect.request != request);
        let trial = self.trial.take_if(|trial| trial.request == request);
        trial.map_or_else(Vec::new, |trial| self.end(fleet, trial))
    }

    /// Records that a connection broke while a request was running. Peers are only informed if that
    /// counts against the request, so that the loss of a data centre does not cause a flood of
    /// messages.
    pub fn on_break(&mut self, new: Break) -> Option<Task> {
        self.breaks.push(new);
        let entry = self
            .suspects
            .record_crash(new.at, new.fingerprint, new.target);
        self.suspects
            .has_open_crash(new.at, new.fingerprint)
            .then(|| broadcast(entry))
    }

    /// Processes data of an answer that arrived from a target, and returns messages about the
    /// requests that it clears. `sent` is when the answer's request was dispatched.
    pub fn on_data(&mut self, now: Time, target: TargetId, sent: Time) -> Vec<Task> {
        match self.cfg.evidence {
            Evidence::Reports => Vec::new(),
            Evidence::Answers => {
                let findings = self.breaks.on_data(now, target, sent);
                self.apply_findings(now, findings)
            }
        }
    }

    /// Processes a record that a target wrote, and returns messages about the requests that it
    /// clears.
    pub fn on_record(&mut self, now: Time, target: TargetId, record: RunRecord) -> Vec<Task> {
        match self.cfg.evidence {
            Evidence::Reports => Vec::new(),
            Evidence::Answers => {
                let findings = self.breaks.on_record(now, target, record);
                self.apply_findings(now, findings)
            }
        }
    }

    /// Records that a request completed.
    pub fn on_finished(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Task> {
        self.suspects
            .record_completion(now, fingerprint)
            .map(broadcast)
    }

    /// Processes the report of a target, and returns messages about the requests that it
    /// quarantines or clears.
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
        self.apply_findings(now, findings)
    }

    /// Processes a message from a peer.
    pub fn on_part(&mut self, now: Time, from: RouterId, part: QuarantinePart) -> Option<Task> {
        match part {
            QuarantinePart::Entries(entries) => {
                let entries = entries.iter().take(self.cfg.entries_max);
                entries.for_each(|entry| self.suspects.merge(now, entry));
            }
            QuarantinePart::Ask(fingerprint) => {
                if self.permit(now, from, fingerprint) {
                    return Some(Task::Send(from, QuarantinePart::Permit(fingerprint)));
                }
            }
            QuarantinePart::Permit(fingerprint) => {
                let until = now + self.cfg.term;
                if let Some(trial) = self.trial.as_mut().filter(|t| t.fingerprint == fingerprint) {
                    trial.permitted_until = until;
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

    /// Returns a message with all entries, for example for a newly connected router, or `None` if
    /// there are none.
    pub fn entries(&self) -> Option<QuarantinePart> {
        let entries: Vec<Entry> = self.suspects.entries().cloned().collect();
        (!entries.is_empty()).then_some(QuarantinePart::Entries(entries))
    }

    /// Performs all actions that are due: handles report timeouts, sends entries to partners, drops
    /// expired permits and reservations, and advances the trial.
    pub fn on_time(&mut self, now: Time, fleet: Fleet<'_>) -> Vec<Task> {
        let findings = self.breaks.on_timeout(now);
        let mut tasks = self.apply_findings(now, findings);
        if now >= self.next_exchange {
            self.next_exchange = now + self.cfg.exchange;
            self.suspects.expire(now);
            tasks.extend(self.entries().map(Task::SendToPartners));
        }
        self.permits.retain(|_, (_, until)| *until > now);
        self.reserved.retain(|_, (_, until)| *until > now);
        self.release_decided(now, &mut tasks);
        match self.cfg.evidence {
            Evidence::Reports => self.advance_trial(now, fleet, &mut tasks),
            Evidence::Answers => {}
        }
        tasks
    }

    /// Quarantines or clears requests according to the causes of broken connections.
    fn apply_findings(&mut self, now: Time, findings: Vec<Finding>) -> Vec<Task> {
        let entries = findings.into_iter().filter_map(|finding| match finding {
            Finding::Crashed(broken) if broken.alone => {
                Some(self.suspects.quarantine(now, broken.fingerprint))
            }
            Finding::Crashed(_) => None,
            Finding::StayedUp(broken) => self
                .suspects
                .has_open_crash(now, broken.fingerprint)
                .then(|| {
                    self.suspects
                        .clear_crash(now, broken.fingerprint, broken.target)
                }),
        });
        entries.map(broadcast).collect()
    }

    /// Adds tasks for the waiting requests that need no trial: those that are quarantined, barred,
    /// cleared or past their deadline.
    fn release_decided(&mut self, now: Time, tasks: &mut Vec<Task>) {
        let in_trial = self.trial.map(|trial| trial.request);
        for suspect in &self.lane {
            let request = suspect.request;
            let task = match self.suspects.status(now, suspect.fingerprint) {
                _ if in_trial == Some(request) => continue,
                SuspectStatus::Quarantined | SuspectStatus::Barred(_) => {
                    Task::RefuseQuarantined(request)
                }
                _ if suspect.deadline <= now => Task::RefuseExpired(request),
                SuspectStatus::Clear => Task::Requeue(request),
                SuspectStatus::Suspect => continue,
            };
            tasks.push(task);
        }
    }

    /// Advances the current trial, or starts the next one.
    fn advance_trial(&mut self, now: Time, fleet: Fleet<'_>, tasks: &mut Vec<Task>) {
        let Some(mut trial) = self.trial.take().or_else(|| self.next_trial(now)) else {
            return;
        };
        let status = self.suspects.status(now, trial.fingerprint);
        let running = matches!(trial.phase, Phase::Running { .. });
        let is_past_deadline = self
            .lane
            .iter()
            .any(|s| s.request == trial.request && s.deadline <= now);
        if !running && (status != SuspectStatus::Suspect || is_past_deadline) {
            tasks.extend(self.end(fleet, trial));
            return;
        }
        if now >= trial.renew_at {
            self.renew(now, fleet, &mut trial, tasks);
        }
        self.step(now, fleet, &mut trial, tasks);
        self.trial = Some(trial);
    }

    fn next_trial(&self, now: Time) -> Option<Trial> {
        let mut waiting = self.lane.iter().filter(|suspect| {
            let status = self.suspects.status(now, suspect.fingerprint);
            let is_undetermined = self.breaks.is_undetermined_alone(suspect.fingerprint);
            status == SuspectStatus::Suspect && !is_undetermined && suspect.deadline > now
        });
        let suspect = waiting.next()?;
        Some(Trial::new(
            suspect.request,
            suspect.fingerprint,
            suspect.pool,
            suspect.prefer,
        ))
    }

    /// Renews the permit and the reservation of a trial.
    fn renew(&mut self, now: Time, fleet: Fleet<'_>, trial: &mut Trial, tasks: &mut Vec<Task>) {
        let coordinator = fleet.coordinator(trial.fingerprint).unwrap_or(self.me);
        if coordinator != self.me {
            let ask = QuarantinePart::Ask(trial.fingerprint);
            tasks.push(Task::Send(coordinator, ask));
        } else if self.permit(now, self.me, trial.fingerprint) {
            trial.permitted_until = now + self.cfg.term;
        }
        if let Some(target) = trial.target() {
            tasks.push(Task::Broadcast(QuarantinePart::Reserve(target)));
        }
        let wait = if trial.permitted_until > now {
            self.cfg.renewal
        } else {
            self.cfg.permit_retry
        };
        trial.renew_at = now + wait;
    }

    /// Moves a permitted trial on to its next phase if possible.
    fn step(&mut self, now: Time, fleet: Fleet<'_>, trial: &mut Trial, tasks: &mut Vec<Task>) {
        if trial.permitted_until <= now {
            return;
        }
        let mut usable = fleet.usable(trial.pool);
        usable.retain(|target| self.load(now, *target).is_some());
        match trial.phase {
            Phase::Waiting => {
                let Some(target) = self.select_target(now, &usable, trial) else {
                    return;
                };
                let since = now;
                trial.phase = Phase::Draining {
                    target,
                    since,
                    idle: false,
                };
                tasks.push(Task::Broadcast(QuarantinePart::Reserve(target)));
                trial.renew_at = now + self.cfg.renewal;
            }
            Phase::Draining { target, .. } if !usable.contains(&target) => {
                tasks.push(Task::Broadcast(QuarantinePart::Free(target)));
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

    /// Returns the load that a target reported last, or `None` if that report is too old.
    fn load(&self, now: Time, target: TargetId) -> Option<u32> {
        let &(load, at) = self.loads.get(&target)?;
        (now < at + self.cfg.report_timeout).then_some(load)
    }

    /// Returns the preferred target if it is available, and otherwise the target with the least
    /// load. Targets that the suspect has not crashed come first, because they are more likely to
    /// be up.
    fn select_target(&self, now: Time, usable: &[TargetId], trial: &Trial) -> Option<TargetId> {
        let crashed = self.suspects.crashed(trial.fingerprint);
        let free = usable
            .iter()
            .copied()
            .filter(|&target| !self.is_reserved(now, target));
        free.min_by_key(|&target| {
            let preferred = trial.prefer == Some(target);
            let load = self.load(now, target);
            (!preferred, crashed.contains(&target), load, target)
        })
    }

    /// Releases the reservation of a trial and returns its permit. While it is not known whether
    /// the suspect crashed its target, the permit is left to expire instead, so that no router
    /// tries the suspect in the meantime.
    fn end(&mut self, fleet: Fleet<'_>, trial: Trial) -> Vec<Task> {
        let mut tasks = Vec::new();
        if let Some(target) = trial.target() {
            tasks.push(Task::Broadcast(QuarantinePart::Free(target)));
        }
        if !self.breaks.is_undetermined_alone(trial.fingerprint) {
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

    /// Grants or renews a permit, and returns whether it was granted. Refuses while another router
    /// holds it, and while so many permits are held that another cannot be recorded.
    fn permit(&mut self, now: Time, router: RouterId, fingerprint: Fingerprint) -> bool {
        self.permits.retain(|_, (_, until)| *until > now);
        let is_full = self.permits.len() >= self.cfg.entries_max;
        let is_granted = match self.permits.get(&fingerprint) {
            Some(&(holder, _)) => holder == router,
            None => !is_full,
        };
        if is_granted {
            let until = now + self.cfg.term;
            self.permits.insert(fingerprint, (router, until));
        }
        is_granted
    }

    fn revoke(&mut self, router: RouterId, fingerprint: Fingerprint) {
        if self
            .permits
            .get(&fingerprint)
            .is_some_and(|permit| permit.0 == router)
        {
            self.permits.remove(&fingerprint);
        }
    }

    fn on_reserve(&mut self, now: Time, from: RouterId, target: TargetId) {
        if let Some(trial) = self.trial.as_mut().filter(|t| t.target() == Some(target)) {
            trial.on_rival_reservation(from < self.me);
        }
        let is_known = self.reserved.contains_key(&target);
        if is_known || self.reserved.len() < self.cfg.entries_max {
            self.reserved.insert(target, (from, now + self.cfg.term));
        }
    }
}

fn broadcast(entry: Entry) -> Task {
    Task::Broadcast(QuarantinePart::Entries(vec![entry]))
}
