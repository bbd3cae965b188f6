//! Choosing targets without anybody who hands out slots.

use crate::address;
use crate::balance::{Candidate, Choice, Wanted};
use crate::catalogue::TargetView;
use crate::catalogue::entry::Route;
use crate::node::Node;
use crate::prelude::*;
use crate::queue::Waiting;
use crate::starts::Allowance;
use crate::version::Arm;

/// The shortest time that a request may wait, however short its objective is.
const PATIENCE_MIN: Duration = Duration::from_millis(30);

impl Node {
    /// Dispatches what waits for a pool as long as a target has room for the next request.
    ///
    /// The next request is that of the organisation with the lowest virtual time. If no target has room for
    /// it, everything behind it waits too, so that large requests and small organisations are not passed
    /// over again and again.
    pub(super) fn pump_locally(&mut self, pool: PoolId) {
        while let Some((turn, _)) = self.turns(pool) {
            let next = self
                .queues
                .pop(self.cx.now, pool, turn.organisation, turn.kept);
            let Some((class, waiting)) = next else {
                break;
            };
            if waiting.deadline <= self.cx.now {
                self.give_up(waiting.request, Reason::DeadlinePassed);
                continue;
            }
            if self.holds_suspect(waiting.request) {
                continue;
            }
            let Some(choice) = self.choose_locally(pool, waiting.request) else {
                self.put_back(pool, turn.organisation, class, waiting);
                break;
            };
            self.dispatch(pool, class, waiting, choice.target);
            self.note_unread(waiting.request, choice);
        }
    }

    /// Tells peers what this router has at targets.
    pub(super) fn report_load(&mut self) {
        let Some(part) = self.balance.report(self.cx.now) else {
            return;
        };
        let partners: Vec<RouterId> = self.members.partners().collect();
        for to in partners {
            self.cx.send(to, Part::Load(part.clone()), Urgency::Now);
        }
    }

    /// Returns for how long a request may wait for a target.
    pub(super) fn patience(&self, req: &Request) -> Option<Duration> {
        let objective = req.terms.objective?;
        let share = self.balance.cfg().patience;
        Some((objective * share / 100).max(PATIENCE_MIN))
    }

    /// Refuses a request that would wait in vain behind others of its organisation.
    pub(super) fn check_wait(&self, req: &Request) -> Result<(), Refusal> {
        let Some(patience) = self.patience(req) else {
            return Ok(());
        };
        if self.queues.waiting(req.organisation) == 0 {
            return Ok(());
        }
        match self.queues.retry_after(self.cx.now, req.organisation) {
            Some(wait) if wait > patience => Err(Refusal::not_run(Reason::QueueFull, Some(wait))),
            _ => Ok(()),
        }
    }

    fn put_back(
        &mut self,
        pool: PoolId,
        organisation: OrganisationId,
        class: Class,
        waiting: Waiting,
    ) {
        let enters = self.queues.lane_mut(pool, organisation).is_none();
        self.queues.push_front(pool, organisation, class, waiting);
        if enters {
            self.enter(pool, organisation);
        }
    }

    fn choose_locally(&mut self, pool: PoolId, request: RequestId) -> Option<Choice> {
        let first = self.moves.next_arm(pool);
        if let Some(choice) = self.choose_of_arm((pool, first), request) {
            return Some(choice);
        }
        let other = self.moves.other_arm(self.cx.now, pool, first)?;
        self.choose_of_arm((pool, other), request)
    }

    fn choose_of_arm(&self, (pool, arm): (PoolId, Arm), request: RequestId) -> Option<Choice> {
        let now = self.cx.now;
        let active = self.requests.get(&request)?;
        let wish = active.life.wish();
        let wanted = Wanted::of(&active.req);
        let allowance = self.allowance(pool);
        let open = |view: &TargetView<'_>| {
            self.moves.takes(pool, arm, &view.entry.version)
                && self.targets.usable(now, view)
                && !self.quarantine.keeps_off(now, view.id)
                && self.starts.allows(now, view.id, &allowance, self.cx.me)
        };
        let candidates = self.catalogue.targets_of(pool).filter(open);
        let candidates = candidates.map(|view| Candidate {
            target: view.id,
            slots: view.entry.slots,
            distance: self.distance(&view),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let preferred = candidates
            .iter()
            .copied()
            .filter(|candidate| wish.prefer == Some(candidate.target));
        let rest = candidates
            .iter()
            .copied()
            .filter(|candidate| !wish.avoid.contains(&candidate.target));
        self.balance
            .choose(now, wanted, preferred)
            .or_else(|| self.balance.choose(now, wanted, rest))
    }

    /// Takes this router's part of the retries that the fleet may make beyond what requests earn.
    pub(super) fn share_fleet_burst(&mut self) {
        if let Some(burst) = self.cfg.attempt.fleet_burst {
            let others = self.members.peers().filter(|(_, peer)| peer.listed).count();
            let routers = u32::try_from(others + 1).unwrap_or(u32::MAX);
            self.budgets.set_burst(burst / routers);
        }
    }

    /// Returns how much the fleet may send to a cold target of a pool.
    fn allowance(&self, pool: PoolId) -> Allowance {
        let per_second = self
            .catalogue
            .pool(pool)
            .map_or(0, |pool| pool.bounds.cold_starts_per_s);
        let listed = self.members.peers().filter(|(_, peer)| peer.listed);
        Allowance {
            per_second,
            routers: listed.map(|(id, _)| id).chain([self.cx.me]).collect(),
        }
    }

    fn note_unread(&mut self, request: RequestId, choice: Choice) {
        let Some(active) = self.requests.get(&request) else {
            return;
        };
        let parts = &active.req.terms.parts;
        self.balance
            .on_dispatch(self.cx.now, choice.target, choice.unread, parts);
        if let crate::node::request::Stage::Running(attempt) = active.stage
            && let Some(attempt) = self.attempts.get_mut(&attempt)
        {
            attempt.unread = choice.unread;
            attempt.is_balanced = true;
        }
    }

    /// Returns the route of a caller's request and the pool that takes it, by the route's shares. It is to be
    /// asked once for each request.
    pub fn resolve(&mut self, host: &str, path: &str) -> Option<(Route, PoolId)> {
        let route = self.catalogue.route(host, path)?.clone();
        let (pool, _) = self.catalogue.pool_by_name(self.splits.next(&route)?)?;
        Some((route, pool))
    }

    /// Returns where callers near a data centre should go: the routers there that serve, or all that serve if
    /// there are too few to bear the loss of one.
    pub fn addresses_near(&self, data_centre: Option<&str>) -> Vec<String> {
        address::near(
            &self.members,
            self.cx.now,
            data_centre,
            &self.cfg.data_centre,
        )
    }
}
